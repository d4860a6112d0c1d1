#include "app/endpoint_updates.hpp"

#include <algorithm>
#include <set>
#include <string>

#include "net/log.hpp"

namespace amberknot::app {
namespace {

using std::chrono::milliseconds;

// How long the entry of a removed server is kept: some of its calls may still have to be released.
constexpr Duration kRemovedRetention = std::chrono::seconds{20};

/// The state as part of a log line.
const char* state_text(EndpointState state) {
  switch (state) {
    case EndpointState::kReady:
      return " is ready";
    case EndpointState::kDraining:
      return " is draining";
    case EndpointState::kRemoved:
      return " is removed";
  }
  return "";
}

/// Converts the start time of a process from Unix time to the monotonic clock.
Instant start_instant(std::int64_t started_unix_ms) {
  const auto age = std::max<std::int64_t>(0, net::Loop::unix_ms() - started_unix_ms);
  return net::Loop::now() - milliseconds{age};
}

}  // namespace

void EndpointUpdates::apply(const discovery::EndpointUpdate& update) {
  if (!update.has_endpoint_list) return;
  const auto changes = changes_of(update);
  AffectedServers affected;
  std::vector<core::ServerDescription> facts;
  for (const auto& change : changes) facts.push_back(description_of(apply_change(change, affected)));
  context_.table.on_endpoints_changed(update.is_full_list, facts);
  // The decision module is told of a drain before the pools withdraw set-ups: withdrawn set-ups are placed
  // again at once and must not go to the draining server.
  for (const auto& change : changes) {
    if (change.state == EndpointState::kReady) continue;
    const auto& server = context_.servers.find_or_create(change.name);
    server.upstream_pool->on_endpoint_changed(server);
  }
  // The calls of a process that has ended are lost, and their callers may still need a release. This comes
  // last, when the decision module knows the whole update: each call that ends lets it place queued calls,
  // and those must not go to a removed server.
  for (const auto id : affected.removed)
    context_.table.abort_calls_at(id, "server removed from the endpoint list");
  for (const auto& [id, started] : affected.restarted) {
    context_.table.abort_calls_sent_before(id, started, "server restarted");
  }
}

std::vector<core::EndpointChange> EndpointUpdates::changes_of(const discovery::EndpointUpdate& update) const {
  auto changes = update.changes;
  // A server whose pool was never given is not used: calls may be limited to some pools.
  std::erase_if(changes, [this](const core::EndpointChange& change) {
    return !change.pool && context_.servers.find(change.name) == nullptr;
  });
  if (!update.is_full_list) return changes;
  std::set<std::string> listed;
  for (const auto& change : changes) listed.insert(change.name);
  for (const auto& [id, server] : context_.servers.all()) {
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
                                                    AffectedServers& affected) {
  auto& server = context_.servers.find_or_create(change.name);
  const bool is_known = server.upstream_pool != nullptr;
  const bool is_removed_now = change.state == EndpointState::kRemoved;
  if (is_removed_now && server.state != EndpointState::kRemoved) affected.removed.push_back(server.id);
  server.address = change.address;
  if (change.pool) server.pool = PoolId{*change.pool};
  server.state = change.state;
  if (!is_removed_now) {
    server.removed_at.reset();
  } else if (!server.removed_at) {
    server.removed_at = net::Loop::now();
  }
  if (!is_known) assign_pool(server);
  const bool is_started = change.started_unix_ms > server.started_unix_ms;
  if (is_started) {
    // Converted only once for each start: a second conversion could give a slightly different time, which the
    // decision module would treat as another restart.
    server.started_unix_ms = change.started_unix_ms;
    server.started = start_instant(change.started_unix_ms);
  }
  const bool is_restarted = is_started && is_known;
  net::log::info("endpoint update: server ", server.name, " at ", server.address, state_text(change.state),
                 is_restarted ? ", restarted" : "");
  if (is_restarted) affected.restarted.emplace_back(server.id, *server.started);
  // Connections to a new server are opened before the decision module sends it set-ups.
  if (server.state == EndpointState::kReady) server.upstream_pool->on_endpoint_changed(server);
  return server;
}

void EndpointUpdates::assign_pool(core::Endpoint& server) const {
  const auto kinds = upstream_pool_kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (!pools_[i] || !kinds[i].is_protocol_of(context_.operator_file, server.name)) continue;
    server.upstream_pool = pools_[i].get();
    if (!context_.translator) return;
    const auto dialect = kinds[i].dialect;
    server.version = dialect.empty()
                         ? core::kUnknownVersion
                         : context_.translator->server_dialect_index(dialect).value_or(core::kUnknownVersion);
    return;
  }
}

core::ServerDescription EndpointUpdates::description_of(const core::Endpoint& server) {
  core::ServerDescription facts{.server = server.id,
                                .pool = server.pool,
                                .state = server.state,
                                .started = server.started,
                                .version = server.version};
  // If the pool cannot send new set-ups to a server, for example because a Diameter peer is not up or has not
  // answered a watchdog, attempts in flight may still finish. The decision module sees such a server as
  // draining.
  const bool is_unavailable =
      server.state == EndpointState::kReady && !server.upstream_pool->is_available(server.id);
  if (is_unavailable) facts.state = EndpointState::kDraining;
  return facts;
}

void EndpointUpdates::on_availability_changed(ServerId id, bool is_restarted) {
  auto& server = *context_.servers.find(id);
  if (is_restarted) server.started = net::Loop::now();
  context_.table.on_endpoints_changed(false, {description_of(server)});
}

void EndpointUpdates::forget_removed_servers(Instant now) {
  std::vector<ServerId> expired;
  for (const auto& [id, server] : context_.servers.all()) {
    const bool is_expired = server.removed_at && now - *server.removed_at > kRemovedRetention;
    if (is_expired && !context_.table.has_calls_at(id)) expired.push_back(id);
  }
  for (const auto id : expired) {
    for (const auto& pool : pools_) {
      if (pool) pool->forget_server(id);
    }
    context_.servers.forget(id);
  }
}

}  // namespace amberknot::app
