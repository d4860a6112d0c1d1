// The core servers, by name: an address may pass from a server that has gone to a new one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"
#include "core/ports.hpp"

namespace amberknot::core {

struct Endpoint {
  ServerId id{};
  std::string name;
  std::string address;  ///< host:port
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  std::int64_t started_unix_ms = 0;   ///< zero: long ago
  std::optional<Instant> started;     ///< the same on the monotonic clock, read once for each start
  UpstreamPool* port = nullptr;       ///< whose links lead there
  ProtocolVersion version{};          ///< of the protocol that it speaks
  std::optional<Instant> removed_at;  ///< while it is gone
};

/// One line of news.
struct EndpointChange {
  std::string name;
  std::string address;
  std::uint32_t pool = 0;
  EndpointState state = EndpointState::kReady;
  std::int64_t started_unix_ms = 0;
};

class EndpointRegistry {
 public:
  /// The entry of that name, made on first sight. Ids are never used again.
  Endpoint& of(std::string_view name);
  [[nodiscard]] Endpoint* find(ServerId id);
  [[nodiscard]] const Endpoint* find(std::string_view name) const;
  [[nodiscard]] const Endpoint* find(ServerId id) const;
  [[nodiscard]] const std::map<ServerId, Endpoint>& all() const { return servers_; }
  /// Nothing refers to it any more. Its name, if it comes again, gets another id.
  void forget(ServerId id);

 private:
  std::map<ServerId, Endpoint> servers_;
  std::uint32_t next_id_ = 0;
  std::map<std::string, ServerId, std::less<>> by_name_;
};

}  // namespace amberknot::core
