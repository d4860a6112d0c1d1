// The operator's file: what the platform does not say. It sets up the Diameter front and peers, servers of
// the session API, translation and the tenants' directory; without it none is there.
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

struct DiameterSetup {
  std::string origin_host;
  std::string origin_realm;
  std::optional<asio::ip::tcp::endpoint> listen;  ///< of the callers' second front
  std::set<std::string> clients;                  ///< Origin-Hosts that are admitted; empty: any
  std::set<std::string> servers;                  ///< names of session servers that speak Diameter; `*`: all
  std::chrono::milliseconds watchdog{30'000};
  std::map<std::string, std::string, std::less<>> tenants;  ///< by User-Name or realm

  [[nodiscard]] bool is_diameter_server(const std::string& server) const {
    return servers.contains(server) || servers.contains("*");
  }
};

/// Which session servers speak the session API, and which version; `*`: all others.
struct SessionApiSetup {
  /// "learn", "session-1" or "session-2", by the server's name.
  std::map<std::string, std::string, std::less<>> servers;

  [[nodiscard]] const std::string* of(const std::string& server) const {
    auto found = servers.find(server);
    if (found == servers.end()) found = servers.find("*");
    return found != servers.end() ? &found->second : nullptr;
  }
};

struct OperatorFile {
  std::optional<DiameterSetup> diameter;
  std::optional<SessionApiSetup> session_api;
  translate::Table translate;
  std::optional<directory::LdapSource> ldap;
};

/// Throws ConfigError, whose text names the field.
OperatorFile read_operator_file(std::string json);

}  // namespace amberknot::app
