// Decides which versions of servers can take a call. The decision module chooses the server; it only learns
// which versions are excluded for the call.
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

/// The mappings between all client and server dialects of this router, compiled when it starts.
class Translator {
 public:
  /// `clients` and `servers` name the dialects in use. Reports invalid names and tables through
  /// mapping_errors() instead of throwing; a pair of dialects with a fault has no mapping. A router does not
  /// start if there are faults.
  Translator(const std::vector<std::string>& clients, const std::vector<std::string>& servers,
             MappingTable operator_table);
  Translator(const Translator&) = delete;
  Translator& operator=(const Translator&) = delete;

  /// Everything that is wrong with the dialects and the table, one text per fault; empty if nothing is.
  [[nodiscard]] const std::vector<std::string>& mapping_errors() const { return faults_; }

  /// Number of client dialects.
  [[nodiscard]] std::size_t client_dialect_count() const { return clients_.size(); }
  /// Number of server dialects.
  [[nodiscard]] std::size_t server_dialect_count() const { return servers_.size(); }
  [[nodiscard]] const Dialect& client_dialect(std::size_t index) const { return clients_[index]; }
  [[nodiscard]] const Dialect& server_dialect(DialectIndex index) const {
    return servers_[static_cast<std::size_t>(index)];
  }
  /// Index of the client dialect of that name; nullopt if it is not in use.
  [[nodiscard]] std::optional<std::size_t> client_dialect_index(std::string_view name) const;
  /// Index of the server dialect of that name; nullopt if it is not in use.
  [[nodiscard]] std::optional<DialectIndex> server_dialect_index(std::string_view name) const;
  /// Returns null if the pair of dialects has faults.
  [[nodiscard]] const Mapping* mapping(std::size_t client, DialectIndex server) const;

  /// The server dialects into which a set-up cannot be translated, with the result for each server dialect.
  struct Eligibility {
    DialectSet ineligible = 0;
    std::array<MappingResult, kMaxDialects> results{};
  };
  /// Tries the set-up in every server dialect. `scratch` is overwritten.
  Eligibility check_eligibility(std::size_t client, const Record& set_up, Record& scratch) const;

  /// Returns the server dialects that cannot take a set-up as read by a frontend. Only translated dialects
  /// are excluded: the SIP and Diameter connections take the fields without translation. A set-up that is
  /// invalid in its own dialect excludes all translated ones.
  DialectSet ineligible_dialects(const Message& message, Record& scratch) const;
  /// The server dialects whose messages are produced by translation.
  [[nodiscard]] DialectSet translated_dialects() const { return translated_dialects_; }

  /// All server dialects of this router.
  [[nodiscard]] DialectSet all_dialects() const { return (DialectSet{1} << servers_.size()) - 1; }

 private:
  std::vector<Dialect> clients_;
  std::vector<Dialect> servers_;
  MappingTable operator_table_;
  std::vector<std::unique_ptr<Mapping>> mappings_;  ///< for each client dialect, one for each server dialect
  std::vector<std::string> faults_;
  DialectSet translated_dialects_ = 0;
};

}  // namespace amberknot::translate
