// The registry of session servers. Servers are identified by name, because a new server may take over the
// address of one that was removed. Does no I/O and reads no clock; used only on the event loop's thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"
#include "core/ports.hpp"

namespace amberknot::core {

/// A session server, as last described by service discovery.
struct Endpoint {
  ServerId id{};
  std::string name;
  std::string address;  ///< host:port
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  std::int64_t started_unix_ms = 0;       ///< zero if it started long ago
  std::optional<Instant> started;         ///< start on the monotonic clock, converted once per start
  UpstreamPool* upstream_pool = nullptr;  ///< upstream pool that connects to it; null until assigned
  ProtocolVersion version{};              ///< protocol version that it supports
  std::optional<Instant> removed_at;      ///< set only in the state kRemoved
};

/// One changed server in an endpoint update.
struct EndpointChange {
  std::string name;
  std::string address;                     ///< host:port
  std::optional<std::uint32_t> pool = {};  ///< if it is not given, the server keeps its pool
  EndpointState state = EndpointState::kReady;
  std::int64_t started_unix_ms = 0;  ///< zero if it started long ago
};

/// Maps names and ids of session servers to their entries.
class EndpointRegistry {
 public:
  /// Returns the entry of that name, which is created on first use. Ids are never reused.
  Endpoint& find_or_create(std::string_view name);
  /// Returns the entry of that server, or null if it is not registered.
  [[nodiscard]] Endpoint* find(ServerId id);
  [[nodiscard]] const Endpoint* find(std::string_view name) const;
  [[nodiscard]] const Endpoint* find(ServerId id) const;
  [[nodiscard]] const std::map<ServerId, Endpoint>& all() const { return servers_; }
  /// Returns the protocol versions of all servers that have not been removed.
  [[nodiscard]] ProtocolVersionSet supported_versions() const;
  /// Deletes an entry to which nothing refers any more. If its name is registered again, it gets a new id.
  void forget(ServerId id);

 private:
  std::map<ServerId, Endpoint> servers_;
  std::uint32_t next_id_ = 0;
  std::map<std::string, ServerId, std::less<>> ids_by_name_;
};

}  // namespace amberknot::core
