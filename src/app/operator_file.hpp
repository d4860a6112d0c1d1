// The operator file: settings that the platform's configuration does not have. It configures the Diameter
// frontend and peers, servers of the session API, translation and the tenant directory; without the file none
// of these is used.
#pragma once

#include <asio.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "directory/tenants.hpp"
#include "translate/table.hpp"

namespace amberknot::app {

/// The Diameter frontend and the session servers that use Diameter.
struct DiameterConfig {
  std::string origin_host;
  std::string origin_realm;
  std::optional<asio::ip::tcp::endpoint> listen;  ///< the frontend for Diameter clients
  std::set<std::string> clients;                  ///< Origin-Hosts that are admitted; empty admits any
  std::set<std::string> servers;  ///< names of session servers that use Diameter; `*` means all
  std::chrono::milliseconds watchdog_interval{30'000};      ///< interval (Tw of RFC 3539)
  std::map<std::string, std::string, std::less<>> tenants;  ///< tenant names by User-Name or realm

  [[nodiscard]] bool is_diameter_server(const std::string& server) const {
    return servers.contains(server) || servers.contains("*");
  }
};

/// Which session servers use the session API, and which version of it; `*` stands for all others.
struct SessionApiConfig {
  /// `session-1`, `session-2` or `learn` (detect the version), by the server's name.
  std::map<std::string, std::string, std::less<>> servers;

  /// The entry for a server; null if it does not use the session API.
  [[nodiscard]] const std::string* version_of(const std::string& server) const {
    auto found = servers.find(server);
    if (found == servers.end()) found = servers.find("*");
    return found != servers.end() ? &found->second : nullptr;
  }
};

/// The file's sections; one that is absent leaves its feature unused.
struct OperatorFile {
  std::optional<DiameterConfig> diameter;
  std::optional<SessionApiConfig> session_api;
  translate::MappingTable translate;
  std::optional<directory::LdapSource> ldap;
};

/// Parses and checks an operator file. Throws ConfigError, whose text names the field.
OperatorFile read_operator_file(std::string json);

}  // namespace amberknot::app
