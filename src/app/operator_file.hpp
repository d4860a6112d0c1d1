// The operator's file: what the platform does not say. It sets up the Diameter front and peers and the
// tenants' directory; without it neither is there.
#pragma once

#include <asio.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "directory/tenants.hpp"

namespace amberknot::app {

struct DiameterSetup {
  std::string origin_host;
  std::string origin_realm;
  std::optional<asio::ip::tcp::endpoint> listen;  ///< of the callers' second front
  std::set<std::string> clients;                  ///< Origin-Hosts that are admitted; empty: any
  std::set<std::string> servers;                  ///< names of session servers that speak Diameter; `*`: all
  std::chrono::milliseconds watchdog{30'000};
  std::map<std::string, std::string, std::less<>> tenants;  ///< by User-Name or realm

  [[nodiscard]] bool speaks_diameter(const std::string& server) const {
    return servers.contains(server) || servers.contains("*");
  }
};

struct OperatorFile {
  std::optional<DiameterSetup> diameter;
  std::optional<directory::LdapSource> ldap;
};

/// Throws ConfigError, whose text names the field.
OperatorFile read_operator_file(std::string json);

}  // namespace amberknot::app
