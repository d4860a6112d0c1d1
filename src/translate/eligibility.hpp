// Which call may go to which version of server, and what becomes of a call whose attempt ended with an error.
// The module chooses the server; it is told which versions are ruled out for the call, and nothing else.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "translate/mapping.hpp"
#include "translate/message.hpp"
#include "translate/versions.hpp"

namespace amberknot::translate {

/// Every mapping between the clients' and the servers' dialects of this router, compiled at its start.
class Translator {
 public:
  /// The names of the dialects that are in use here. Throws nothing: faults() tells what is wrong, and a pair
  /// with a fault has no mapping. A router does not start with any.
  Translator(const std::vector<std::string>& clients, const std::vector<std::string>& servers,
             Table operators);
  Translator(const Translator&) = delete;
  Translator& operator=(const Translator&) = delete;

  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

  [[nodiscard]] std::size_t clients() const { return clients_.size(); }
  [[nodiscard]] std::size_t servers() const { return servers_.size(); }
  [[nodiscard]] const Dialect& client(std::size_t no) const { return clients_[no]; }
  [[nodiscard]] const Dialect& server(DialectNo no) const { return servers_[static_cast<std::size_t>(no)]; }
  [[nodiscard]] std::optional<std::size_t> client_no(std::string_view name) const;
  [[nodiscard]] std::optional<DialectNo> server_no(std::string_view name) const;
  /// Null: that pair was refused.
  [[nodiscard]] const Mapping* mapping(std::size_t client, DialectNo server) const;

  /// The servers' dialects in which this set-up cannot be said. `why` has the reason for each of them.
  struct Ruling {
    DialectSet out = 0;
    std::array<Said, kMaxDialects> why{};
  };
  Ruling rule(std::size_t client, const Record& set_up, Record& scratch) const;

  /// The same for what a front has read. Only dialects that are reached by translation are ruled out: the
  /// older links take the fields as they are. A set-up that is not as its own dialect says is said in none of
  /// them.
  DialectSet rule(const Message& message, Record& scratch) const;
  /// The dialects that are reached by translation.
  [[nodiscard]] DialectSet translated() const { return translated_; }

  /// All dialects of this router's servers.
  [[nodiscard]] DialectSet all() const { return (DialectSet{1} << servers_.size()) - 1; }

 private:
  std::vector<Dialect> clients_;
  std::vector<Dialect> servers_;
  Table operators_;
  std::vector<std::unique_ptr<Mapping>> mappings_;  ///< client by client
  std::vector<std::string> faults_;
  DialectSet translated_ = 0;
};

}  // namespace amberknot::translate
