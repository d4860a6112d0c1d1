#include "translate/eligibility.hpp"

#include <algorithm>

namespace amberknot::translate {

Translator::Translator(const std::vector<std::string>& clients, const std::vector<std::string>& servers,
                       MappingTable operator_table)
    : operator_table_(std::move(operator_table)) {
  const auto add_dialects = [this](const std::vector<std::string>& names, std::vector<Dialect>& target,
                                   const char* side) {
    for (const auto& name : names) {
      if (const auto* dialect = find_dialect(name)) {
        target.push_back(with_errors(*dialect, operator_table_));
      } else {
        faults_.push_back(std::string(side) + ": \"" + name + "\" is not a known dialect");
      }
    }
    if (target.size() > kMaxDialects)
      faults_.push_back(std::string(side) + ": more dialects than the router supports");
  };
  add_dialects(clients, clients_, "clients");
  add_dialects(servers, servers_, "servers");
  if (servers_.size() > kMaxDialects) servers_.resize(kMaxDialects);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].name.rfind("session-", 0) == 0)
      translated_dialects_ |= version_set(static_cast<DialectIndex>(i));
  }
  for (const auto& client : clients_) {
    for (const auto& server : servers_) {
      auto mapping = compile(client, server, operator_table_, faults_);
      mappings_.push_back(mapping ? std::make_unique<Mapping>(std::move(*mapping)) : nullptr);
    }
  }
  // The faults of a dialect itself are reported for each of its pairs; each is kept once.
  std::vector<std::string> once;
  for (auto& fault : faults_) {
    if (std::find(once.begin(), once.end(), fault) == once.end()) once.push_back(std::move(fault));
  }
  faults_ = std::move(once);
}

std::optional<std::size_t> Translator::client_dialect_index(std::string_view name) const {
  for (std::size_t i = 0; i < clients_.size(); ++i) {
    if (clients_[i].name == name) return i;
  }
  return std::nullopt;
}

std::optional<DialectIndex> Translator::server_dialect_index(std::string_view name) const {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].name == name) return static_cast<DialectIndex>(i);
  }
  return std::nullopt;
}

const Mapping* Translator::mapping(std::size_t client, DialectIndex server) const {
  return mappings_[client * servers_.size() + static_cast<std::size_t>(server)].get();
}

Translator::Eligibility Translator::check_eligibility(std::size_t client, const Record& set_up,
                                                      Record& scratch) const {
  Eligibility eligibility;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const auto dialect_index = static_cast<DialectIndex>(i);
    const auto* pair_mapping = mapping(client, dialect_index);
    eligibility.results[i] = pair_mapping != nullptr ? pair_mapping->set_up.translate_record(set_up, scratch)
                                                     : MappingResult{MappingFailure::kSourceMissing, 0};
    if (!eligibility.results[i]) eligibility.ineligible |= version_set(dialect_index);
  }
  return eligibility;
}

DialectSet Translator::ineligible_dialects(const Message& message, Record& scratch) const {
  if (find_invalid_field(clients_[message.client_dialect()].of(MessageKind::kSetUp), message.record()))
    return translated_dialects_;
  return check_eligibility(message.client_dialect(), message.record(), scratch).ineligible &
         translated_dialects_;
}

}  // namespace amberknot::translate
