// Applies endpoint updates to the registry, the upstream pools and the call table, in the one order in which
// no set-up can reach a server that was removed or drains. The event loop's thread only.
#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "app/kinds.hpp"
#include "discovery/endpoint_update.hpp"

namespace amberknot::app {

/// In the order of upstream_pool_kinds(); null: not set up.
using UpstreamPools = std::vector<std::unique_ptr<core::UpstreamPool>>;

class EndpointUpdates {
 public:
  /// All of `site` and `pools` outlive this object.
  EndpointUpdates(const Site& site, const UpstreamPools& pools) : site_(site), pools_(pools) {}

  /// Applies one update, from the configuration or the endpoint watcher. A whole list removes what it does
  /// not name.
  void apply(const discovery::EndpointUpdate& update);
  /// A pool reports that a server accepts new calls now, or no longer, or was restarted.
  void on_availability_changed(ServerId id, bool is_restarted);
  /// Deletes the entries of servers that had been removed for long by then and that no call refers to.
  void forget_removed(Instant now);

 private:
  /// What an update means for calls that are established at its servers.
  struct Aftermath {
    std::vector<ServerId> removed;
    std::vector<std::pair<ServerId, Instant>> restarted;
  };
  [[nodiscard]] std::vector<core::EndpointChange> changes_of(const discovery::EndpointUpdate& update) const;
  /// Updates the registry's entry and opens connections to a server that is ready.
  const core::Endpoint& apply_change(const core::EndpointChange& change, Aftermath& aftermath);
  void assign_pool(core::Endpoint& server) const;
  [[nodiscard]] static core::ServerFacts facts_of(const core::Endpoint& server);

  const Site& site_;
  const UpstreamPools& pools_;
};

}  // namespace amberknot::app
