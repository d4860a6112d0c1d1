// Applies endpoint updates to the registry, the upstream pools and the call table. The order of these steps
// ensures that no set-up is sent to a removed or draining server. Used on the event loop's thread only.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "app/kinds.hpp"
#include "discovery/endpoint_update.hpp"

namespace amberknot::app {

/// In the order of upstream_pool_kinds(); null if the operator file does not configure that kind.
using UpstreamPools = std::vector<std::unique_ptr<core::UpstreamPool>>;

/// Applies endpoint updates and the availability that the pools report.
class EndpointUpdates {
 public:
  /// `context`, what it refers to, and `pools` must outlive this object.
  EndpointUpdates(const RouterContext& context, const UpstreamPools& pools)
      : context_(context), pools_(pools) {}

  /// Applies an update from the configuration or the endpoint watcher. A full list removes every server that
  /// it does not name.
  void apply(const discovery::EndpointUpdate& update);
  /// Handles the report of a pool that a server now accepts calls, no longer accepts calls, or was restarted.
  void on_availability_changed(ServerId id, bool is_restarted);
  /// Deletes the entries of servers whose retention time has passed at `now` and that no call refers to.
  void forget_removed_servers(Instant now);

 private:
  /// Servers whose established calls an update ends.
  struct AffectedServers {
    std::vector<ServerId> removed;
    std::vector<std::pair<ServerId, Instant>> restarted;  ///< with the time of the new start
  };
  /// The changes of an update; a full list adds the removal of each server that it does not name.
  [[nodiscard]] std::vector<core::EndpointChange> changes_of(const discovery::EndpointUpdate& update) const;
  /// Updates the registry entry and opens connections if the server is ready.
  const core::Endpoint& apply_change(const core::EndpointChange& change, AffectedServers& affected);
  /// Assigns the upstream pool and the protocol version, if the pool has only one, to a new entry.
  void assign_pool(core::Endpoint& server) const;
  /// What the decision module is told about a server.
  [[nodiscard]] static core::ServerDescription description_of(const core::Endpoint& server);

  const RouterContext& context_;
  const UpstreamPools& pools_;
};

}  // namespace amberknot::app
