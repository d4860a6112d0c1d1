#include "translate/versions.hpp"

#include <algorithm>

namespace amberknot::translate {

void Versions::set_dialect(ServerId id, Server& server, std::optional<DialectIndex> dialect,
                           Actions& actions) {
  if (server.dialect == dialect) return;
  server.dialect = dialect;
  actions.push_back({VersionAction::Kind::kChanged, id, 0, dialect});
}

void Versions::discard_learned(ServerId id, Server& server, Actions& actions) {
  if (server.dialect || !server.process.empty()) ++counts_.discarded;
  server.process.clear();
  server.rejected = 0;
  server.due.reset();
  server.retry_delay = Duration::zero();
  server.request_connection = 0;
  server.state = VersionState::kUnknown;
  set_dialect(id, server, std::nullopt, actions);
}

void Versions::request_versions(Instant now, ServerId id, Server& server, Actions& actions) {
  if (server.connections.empty()) {
    server.state = VersionState::kUnknown;
    server.due.reset();
    return;
  }
  ++counts_.requests;
  server.state = VersionState::kRequesting;
  server.request_connection = server.connections.back();
  server.due = now + rules_.answer_timeout;
  actions.push_back({VersionAction::Kind::kRequest, id, server.request_connection, std::nullopt});
}

// The server has no dialect in common with this router or does not answer. It gets no set-ups, and the
// versions are requested again after a delay that doubles each time, so that many old servers do not cause a
// flood of requests.
void Versions::mark_unsupported(Instant now, ServerId id, Server& server, Actions& actions) {
  ++counts_.unsupported;
  server.state = VersionState::kUnsupported;
  server.retry_delay = std::clamp(server.retry_delay * 2, rules_.min_retry_delay, rules_.max_retry_delay);
  server.due = now + server.retry_delay;
  set_dialect(id, server, std::nullopt, actions);
}

std::optional<DialectIndex> Versions::preferred_dialect(const Server& server,
                                                        std::span<const DialectIndex> supported) const {
  std::optional<DialectIndex> best;
  std::uint32_t best_rank = 0;
  for (const auto dialect : supported) {
    const auto index = static_cast<std::size_t>(dialect);
    if (index >= ranks_.size() || ranks_[index] <= best_rank || (server.rejected & version_set(dialect)) != 0)
      continue;
    best = dialect;
    best_rank = ranks_[index];
  }
  return best;
}

void Versions::on_server_listed(Instant now, ServerId id, std::string_view address, std::int64_t started,
                                std::optional<DialectIndex> configured, Actions& actions) {
  auto& server = servers_[id];
  const bool address_changed = server.address != address;
  const bool is_new_process = address_changed || started > server.started;
  server.address = address;
  server.started = std::max(server.started, started);
  if (configured) {
    server.state = VersionState::kConfigured;
    server.due.reset();
    set_dialect(id, server, configured, actions);
    return;
  }
  if (server.state == VersionState::kConfigured) {
    // The operator has removed the configured dialect, so the server's answers count again.
    discard_learned(id, server, actions);
    request_versions(now, id, server, actions);
    return;
  }
  if (!is_new_process) return;
  // After a change of address no existing connection leads to the new process. At the same address,
  // connections are kept: some may have reached the new process before the list announced it. Requests on
  // connections to the old process get no answer, so the versions are requested on the newest connection.
  if (address_changed) server.connections.clear();
  discard_learned(id, server, actions);
  request_versions(now, id, server, actions);
}

void Versions::on_server_removed(ServerId id) {
  servers_.erase(id);
}

void Versions::on_connected(Instant now, ServerId id, std::uint64_t connection, Actions& actions) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  auto& server = found->second;
  server.connections.push_back(connection);
  switch (server.state) {
    case VersionState::kUnknown:
    case VersionState::kKnown:
      // A known server is asked too: a new process may have taken over the address without an announcement.
      // The known dialect stays valid until the answer.
      if (server.state == VersionState::kKnown) {
        ++counts_.requests;
        server.request_connection = connection;
        server.due = now + rules_.learned_version_ttl;
        actions.push_back({VersionAction::Kind::kRequest, id, connection, std::nullopt});
      } else {
        request_versions(now, id, server, actions);
      }
      break;
    case VersionState::kRequesting:
    case VersionState::kConfigured:
    case VersionState::kUnsupported:
      break;
  }
}

void Versions::on_disconnected(Instant now, ServerId id, std::uint64_t connection) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  auto& server = found->second;
  if (std::erase(server.connections, connection) == 0) return;
  if (server.state != VersionState::kRequesting || server.request_connection != connection) return;
  // The request is lost with its connection. It is repeated at once on another established connection, or on
  // the next one.
  server.due = now;
}

Versions::Server* Versions::find_connected(ServerId id, std::uint64_t connection) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.state == VersionState::kConfigured) return nullptr;
  auto& server = found->second;
  // An answer from a connection to the previous process says nothing about its replacement.
  if (std::find(server.connections.begin(), server.connections.end(), connection) ==
      server.connections.end()) {
    ++counts_.stale_answers;
    return nullptr;
  }
  return &server;
}

void Versions::on_versions_received(Instant now, ServerId id, std::uint64_t connection,
                                    std::string_view process, std::span<const DialectIndex> supported,
                                    Actions& actions) {
  auto* connected_server = find_connected(id, connection);
  if (connected_server == nullptr) return;
  auto& server = *connected_server;
  if (server.process != process) {
    if (!server.process.empty()) {
      ++counts_.discarded;
      server.rejected = 0;
    }
    server.process = process;
  }
  const auto dialect = preferred_dialect(server, supported);
  if (!dialect) return mark_unsupported(now, id, server, actions);
  if (server.dialect &&
      ranks_[static_cast<std::size_t>(*dialect)] < ranks_[static_cast<std::size_t>(*server.dialect)]) {
    ++counts_.downgraded;
  }
  ++counts_.learned;
  server.state = VersionState::kKnown;
  server.due = now + rules_.learned_version_ttl;
  server.retry_delay = Duration::zero();
  set_dialect(id, server, dialect, actions);
}

void Versions::on_version_rejected(Instant now, ServerId id, std::uint64_t connection, DialectIndex dialect,
                                   Actions& actions) {
  auto* connected_server = find_connected(id, connection);
  if (connected_server == nullptr) return;
  auto& server = *connected_server;
  ++counts_.rejected;
  server.rejected |= version_set(dialect);
  if (server.dialect != dialect) return;  // the message was sent before the server changed its dialect
  set_dialect(id, server, std::nullopt, actions);
  request_versions(now, id, server, actions);
}

void Versions::on_timer(Instant now, Actions& actions) {
  for (auto& [id, server] : servers_) {
    if (!server.due || now < *server.due) continue;
    switch (server.state) {
      case VersionState::kRequesting: {
        const bool is_connection_lost = std::find(server.connections.begin(), server.connections.end(),
                                                  server.request_connection) == server.connections.end();
        if (is_connection_lost) {
          request_versions(now, id, server, actions);
        } else {
          mark_unsupported(now, id, server, actions);
        }
        break;
      }
      case VersionState::kUnsupported:
        request_versions(now, id, server, actions);
        break;
      case VersionState::kKnown:
        // No new connection has confirmed the dialect for a while: with a connection it is requested again,
        // without one it is discarded.
        if (server.connections.empty()) {
          discard_learned(id, server, actions);
        } else {
          ++counts_.requests;
          server.request_connection = server.connections.back();
          server.due = now + rules_.learned_version_ttl;
          actions.push_back({VersionAction::Kind::kRequest, id, server.request_connection, std::nullopt});
        }
        break;
      case VersionState::kUnknown:
      case VersionState::kConfigured:
        server.due.reset();
        break;
    }
  }
}

std::optional<Instant> Versions::next_timer() const {
  std::optional<Instant> next;
  for (const auto& [id, server] : servers_) {
    if (server.due && (!next || *server.due < *next)) next = server.due;
  }
  return next;
}

std::optional<DialectIndex> Versions::dialect_of(ServerId id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() ? found->second.dialect : std::nullopt;
}

VersionState Versions::state(ServerId id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() ? found->second.state : VersionState::kUnknown;
}

DialectSet Versions::dialects_in_use() const {
  DialectSet set = 0;
  for (const auto& [id, server] : servers_) {
    if (server.dialect) set |= version_set(*server.dialect);
  }
  return set;
}

std::optional<DialectIndex> Versions::pinned(CallId call) const {
  const auto found = pins_.find(call);
  return found != pins_.end() ? std::optional(found->second) : std::nullopt;
}

}  // namespace amberknot::translate
