// What a router is told at its start: the platform's file and environment.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"
#include "core/names.hpp"
#include "discovery/endpoint_update.hpp"

namespace amberknot::app {

/// The text names the field at fault.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  asio::ip::tcp::endpoint listen;
  std::optional<asio::ip::tcp::endpoint> control;  ///< the admin server's address; none: not started
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory_mb = 64;
  asio::ip::tcp::endpoint channel;
  std::optional<asio::ip::udp::endpoint> peer_listen;
  std::vector<asio::ip::udp::endpoint> peers;
  std::optional<asio::ip::udp::endpoint> peers_all;
  std::uint64_t cursor = 0;
  std::vector<discovery::EndpointUpdate> known;
  Settings settings;
  std::string settings_text;  ///< as path=value lines, to tell whether they were changed
  core::Names names;
  Duration connect_limit{};
};

/// `listen`, `name` and `control` from the environment take the place of the file's where they are not empty.
Config read_config(std::string json, std::string_view name, std::string_view listen,
                   std::string_view control = {});

/// The whole file. Throws ConfigError.
std::string read_file(const std::string& path);

}  // namespace amberknot::app
