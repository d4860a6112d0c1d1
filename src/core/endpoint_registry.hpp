// The registry of session servers, by name: an address may pass from a server that was removed to a new one.
// No I/O and no clock; the event loop's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"
#include "core/ports.hpp"

namespace amberknot::core {

/// One session server as service discovery last described it.
struct Endpoint {
  ServerId id{};
  std::string name;
  std::string address;  ///< host:port
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  std::int64_t started_unix_ms = 0;   ///< zero: long ago
  std::optional<Instant> started;     ///< the same on the monotonic clock, read once for each start
  UpstreamPool* port = nullptr;       ///< the upstream pool that leads there; null: none assigned yet
  ProtocolVersion version{};          ///< the protocol it supports
  std::optional<Instant> removed_at;  ///< set while its state is kRemoved
};

/// One entry of an endpoint update.
struct EndpointChange {
  std::string name;
  std::string address;  ///< host:port
  std::uint32_t pool = 0;
  EndpointState state = EndpointState::kReady;
  std::int64_t started_unix_ms = 0;  ///< zero: long ago
};

class EndpointRegistry {
 public:
  /// The entry of that name, made on first use. Ids are never used again.
  Endpoint& of(std::string_view name);
  /// Null where it is not registered.
  [[nodiscard]] Endpoint* find(ServerId id);
  [[nodiscard]] const Endpoint* find(std::string_view name) const;
  [[nodiscard]] const Endpoint* find(ServerId id) const;
  [[nodiscard]] const std::map<ServerId, Endpoint>& all() const { return servers_; }
  /// The protocol versions of all servers that have not been removed.
  [[nodiscard]] ProtocolVersionSet supported_versions() const;
  /// Deletes the entry, to which nothing may refer any more. Its name, if it returns, gets another id.
  void forget(ServerId id);

 private:
  std::map<ServerId, Endpoint> servers_;
  std::uint32_t next_id_ = 0;
  std::map<std::string, ServerId, std::less<>> by_name_;
};

}  // namespace amberknot::core
