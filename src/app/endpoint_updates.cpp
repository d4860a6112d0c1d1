#include "app/endpoint_updates.hpp"

#include <algorithm>
#include <set>
#include <string>

#include "net/log.hpp"

namespace amberknot::app {
namespace {

using std::chrono::milliseconds;

// The entry of a removed server is kept for a while, since some of its calls may still need their release.
constexpr Duration kRemovedRetention = std::chrono::seconds{20};

const char* name_of(EndpointState state) {
  switch (state) {
    case EndpointState::kReady:
      return " ready";
    case EndpointState::kDraining:
      return " draining";
    case EndpointState::kRemoved:
      return " gone";
  }
  return "";
}

/// When a process that started at that Unix time did so on the monotonic clock.
Instant start_instant(std::int64_t started_unix_ms) {
  const auto age = std::max<std::int64_t>(0, net::Loop::unix_ms() - started_unix_ms);
  return net::Loop::now() - milliseconds{age};
}

}  // namespace

void EndpointUpdates::apply(const discovery::EndpointUpdate& update) {
  if (!update.has_servers) return;
  const auto changes = changes_of(update);
  Aftermath aftermath;
  std::vector<core::ServerFacts> facts;
  for (const auto& change : changes) facts.push_back(facts_of(apply_change(change, aftermath)));
  site_.table.on_endpoints_changed(update.whole_list, facts);
  // The module hears of a drain before the pools withdraw set-ups: those are placed anew at once, and must
  // not go there again.
  for (const auto& change : changes) {
    if (change.state == EndpointState::kReady) continue;
    const auto& server = site_.servers.of(change.name);
    server.port->on_endpoint_changed(server);
  }
  // A process that has died took its calls along; some may still need their release. Last, when the module
  // has heard the whole update: each end lets it place what is queued, and that must not go to a removed
  // server.
  for (const auto id : aftermath.removed) site_.table.abort_all(id, "server gone");
  for (const auto& [id, started] : aftermath.restarted) {
    site_.table.abort_sent_before(id, started, "server started anew");
  }
}

std::vector<core::EndpointChange> EndpointUpdates::changes_of(const discovery::EndpointUpdate& update) const {
  auto changes = update.changes;
  if (!update.whole_list) return changes;
  std::set<std::string> listed;
  for (const auto& change : changes) listed.insert(change.name);
  for (const auto& [id, server] : site_.servers.all()) {
    if (server.state == EndpointState::kRemoved || listed.contains(server.name)) continue;
    changes.push_back({.name = server.name,
                       .address = server.address,
                       .pool = static_cast<std::uint32_t>(server.pool),
                       .state = EndpointState::kRemoved,
                       .started_unix_ms = server.started_unix_ms});
  }
  return changes;
}

const core::Endpoint& EndpointUpdates::apply_change(const core::EndpointChange& change,
                                                    Aftermath& aftermath) {
  auto& server = site_.servers.of(change.name);
  const bool is_known = server.port != nullptr;
  const bool is_removed_now = change.state == EndpointState::kRemoved;
  if (is_removed_now && server.state != EndpointState::kRemoved) aftermath.removed.push_back(server.id);
  server.address = change.address;
  server.pool = PoolId{change.pool};
  server.state = change.state;
  if (!is_removed_now) {
    server.removed_at.reset();
  } else if (!server.removed_at) {
    server.removed_at = net::Loop::now();
  }
  if (!is_known) assign_pool(server);
  const bool is_started = change.started_unix_ms > server.started_unix_ms;
  if (is_started) {
    // Read once for each start: the module takes a later moment for another start.
    server.started_unix_ms = change.started_unix_ms;
    server.started = start_instant(change.started_unix_ms);
  }
  const bool is_restarted = is_started && is_known;
  net::log::info("server ", server.name, " at ", server.address, name_of(change.state),
                 is_restarted ? ", started anew" : "");
  if (is_restarted) aftermath.restarted.emplace_back(server.id, *server.started);
  // Connections to a new server come first, so that the module's set-ups find them.
  if (server.state == EndpointState::kReady) server.port->on_endpoint_changed(server);
  return server;
}

void EndpointUpdates::assign_pool(core::Endpoint& server) const {
  const auto kinds = upstream_pool_kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (!pools_[i] || !kinds[i].speaks(site_.setup, server.name)) continue;
    server.port = pools_[i].get();
    if (!site_.translator) return;
    const auto dialect = kinds[i].dialect;
    server.version =
        dialect.empty() ? core::kNotKnown : site_.translator->server_no(dialect).value_or(core::kNotKnown);
    return;
  }
}

core::ServerFacts EndpointUpdates::facts_of(const core::Endpoint& server) {
  core::ServerFacts facts{.server = server.id,
                          .pool = server.pool,
                          .state = server.state,
                          .started = server.started,
                          .version = server.version};
  // A server whose pool cannot take anything new now, as a Diameter peer that is not up or whose watchdog is
  // unanswered, may finish what is in flight. To the module that is a server that drains.
  const bool is_unavailable = server.state == EndpointState::kReady && !server.port->is_available(server.id);
  if (is_unavailable) facts.state = EndpointState::kDraining;
  return facts;
}

void EndpointUpdates::on_availability_changed(ServerId id, bool is_restarted) {
  auto& server = *site_.servers.find(id);
  if (is_restarted) server.started = net::Loop::now();
  site_.table.on_endpoints_changed(false, {facts_of(server)});
}

void EndpointUpdates::forget_removed(Instant now) {
  std::vector<ServerId> expired;
  for (const auto& [id, server] : site_.servers.all()) {
    const bool is_old = server.removed_at && now - *server.removed_at > kRemovedRetention;
    if (is_old && !site_.table.has_calls_at(id)) expired.push_back(id);
  }
  for (const auto id : expired) {
    for (const auto& pool : pools_) {
      if (pool) pool->forget_server(id);
    }
    site_.servers.forget(id);
  }
}

}  // namespace amberknot::app
