// The core servers, by name: an address may pass from a server that has gone to a new one.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"
#include "core/ports.hpp"

namespace amberknot::core {

struct ListedServer {
  ServerId id{};
  std::string name;
  std::string address;  ///< host:port
  CellNo cell{};
  ListState state = ListState::kReady;
  std::int64_t started_unix_ms = 0;  ///< zero: long ago
  std::optional<Instant> started;    ///< the same on the monotonic clock, read once for each start
  ServerPort* port = nullptr;        ///< whose links lead there
};

/// One line of news.
struct ListChange {
  std::string name;
  std::string address;
  std::uint32_t cell = 0;
  ListState state = ListState::kReady;
  std::int64_t started_unix_ms = 0;
};

class ServerList {
 public:
  /// The entry of that name, made on first sight. Ids are never used again.
  ListedServer& of(std::string_view name);
  [[nodiscard]] ListedServer* find(ServerId id);
  [[nodiscard]] const ListedServer* find(ServerId id) const;
  [[nodiscard]] const std::deque<ListedServer>& all() const { return servers_; }
  [[nodiscard]] std::deque<ListedServer>& all() { return servers_; }

 private:
  std::deque<ListedServer> servers_;  ///< by id
  std::map<std::string, ServerId, std::less<>> by_name_;
};

}  // namespace amberknot::core
