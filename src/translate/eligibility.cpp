#include "translate/eligibility.hpp"

#include <algorithm>

namespace amberknot::translate {

Translator::Translator(const std::vector<std::string>& clients, const std::vector<std::string>& servers,
                       Table operators)
    : operators_(std::move(operators)) {
  const auto take = [this](const std::vector<std::string>& names, std::vector<Dialect>& to,
                           const char* side) {
    for (const auto& name : names) {
      if (const auto* dialect = find_dialect(name)) {
        to.push_back(with_errors(*dialect, operators_));
      } else {
        faults_.push_back(std::string(side) + ": \"" + name + "\" is no dialect");
      }
    }
    if (to.size() > kMaxDialects)
      faults_.push_back(std::string(side) + ": more dialects than can be told apart");
  };
  take(clients, clients_, "clients");
  take(servers, servers_, "servers");
  if (servers_.size() > kMaxDialects) servers_.resize(kMaxDialects);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].name.rfind("session-", 0) == 0) translated_ |= set_of(static_cast<DialectNo>(i));
  }
  for (const auto& client : clients_) {
    for (const auto& server : servers_) {
      auto mapping = compile(client, server, operators_, faults_);
      mappings_.push_back(mapping ? std::make_unique<Mapping>(std::move(*mapping)) : nullptr);
    }
  }
  // A dialect of several pairs would tell its own faults for each of them.
  std::vector<std::string> once;
  for (auto& fault : faults_) {
    if (std::find(once.begin(), once.end(), fault) == once.end()) once.push_back(std::move(fault));
  }
  faults_ = std::move(once);
}

std::optional<std::size_t> Translator::client_no(std::string_view name) const {
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    if (clients_[i].name == name) return i;
  }
  return std::nullopt;
}

std::optional<DialectNo> Translator::server_no(std::string_view name) const {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].name == name) return static_cast<DialectNo>(i);
  }
  return std::nullopt;
}

const Mapping* Translator::mapping(std::size_t client, DialectNo server) const {
  return mappings_[client * servers_.size() + static_cast<std::size_t>(server)].get();
}

Translator::Ruling Translator::rule(std::size_t client, const Record& set_up, Record& scratch) const {
  Ruling ruling;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const auto no = static_cast<DialectNo>(i);
    const auto* pair = mapping(client, no);
    ruling.why[i] = pair != nullptr ? pair->set_up.run(set_up, scratch) : Said{Bar::kMissing, 0};
    if (!ruling.why[i]) ruling.out |= set_of(no);
  }
  return ruling;
}

DialectSet Translator::rule(const Message& message, Record& scratch) const {
  if (fault_in(clients_[message.client()].of(Kind::kSetUp), message.record())) return translated_;
  return rule(message.client(), message.record(), scratch).out & translated_;
}

}  // namespace amberknot::translate
