// The router's configuration: the platform's JSON file, with overrides from the environment.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"
#include "core/names.hpp"
#include "discovery/endpoint_update.hpp"

namespace amberknot::app {

/// An invalid configuration or operator file; what() names the field.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A configuration that has been read and checked.
struct Config {
  std::string name;                ///< of this router
  asio::ip::tcp::endpoint listen;  ///< for callers over JSON lines
  std::optional<asio::ip::tcp::endpoint>
      admin_listen;                         ///< the admin server's address; it is not started without one
  std::uint64_t seed = 0;                   ///< of the random numbers
  std::size_t max_sockets = 1024;           ///< limit on open sockets
  std::size_t max_memory_mb = 64;           ///< limit on memory, in MB
  asio::ip::tcp::endpoint command_channel;  ///< the command channel, an HTTP server
  std::optional<asio::ip::udp::endpoint> peer_listen;        ///< for gossip of the other routers
  std::vector<asio::ip::udp::endpoint> peers;                ///< the other routers of the fleet
  std::optional<asio::ip::udp::endpoint> all_peers_address;  ///< reaches all peers at once
  std::uint64_t last_event_id =
      0;  ///< number of the last command channel event that `known_updates` includes
  std::vector<discovery::EndpointUpdate> known_updates;  ///< the endpoint list at the start
  Settings settings;
  std::string settings_text;              ///< as path=value lines; a reload compares them with those in force
  std::set<std::string> optional_fields;  ///< fields of the file that a deployment may do without
  core::ConfiguredNames names;            ///< of classes and tenants
  Duration connect_timeout{};             ///< timeout for connecting to a server
};

/// Parses and checks a configuration file. `name`, `listen` and `admin_listen` come from the environment and
/// override the file unless they are empty. Throws ConfigError.
Config read_config(std::string json, std::string_view name, std::string_view listen,
                   std::string_view admin_listen = {});

/// Throws ConfigError, which names the field, if `updated` lacks a field that `current` has: a file that is
/// read while a router runs is defective if it lacks what the router was given before.
void check_fields_retained(const Config& current, const Config& updated);

/// Returns the content of a file. Throws ConfigError if it cannot be read.
std::string read_file(const std::string& path);

}  // namespace amberknot::app
