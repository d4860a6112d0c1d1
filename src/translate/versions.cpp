#include "translate/versions.hpp"

#include <algorithm>

namespace amberknot::translate {

void Versions::become(ServerId id, Server& server, std::optional<DialectNo> dialect, Actions& actions) {
  if (server.dialect == dialect) return;
  server.dialect = dialect;
  actions.push_back({VersionAction::What::kChanged, id, 0, dialect});
}

void Versions::forget(ServerId id, Server& server, Actions& actions) {
  if (server.dialect || !server.process.empty()) ++counts_.forgotten;
  server.process.clear();
  server.denied = 0;
  server.due.reset();
  server.pause = Duration::zero();
  server.asked_on = 0;
  server.state = VersionState::kUnknown;
  become(id, server, std::nullopt, actions);
}

void Versions::ask(Instant now, ServerId id, Server& server, Actions& actions) {
  if (server.connections.empty()) {
    server.state = VersionState::kUnknown;
    server.due.reset();
    return;
  }
  ++counts_.asked;
  server.state = VersionState::kAsking;
  server.asked_on = server.connections.back();
  server.due = now + rules_.patience;
  actions.push_back({VersionAction::What::kAsk, id, server.asked_on, std::nullopt});
}

// Nothing that it speaks is spoken here, or it does not answer: nothing is sent there, and it is asked again
// after a pause that doubles, so that a fleet of old servers is no storm of questions.
void Versions::bar(Instant now, ServerId id, Server& server, Actions& actions) {
  ++counts_.barred;
  server.state = VersionState::kBarred;
  server.pause = std::clamp(server.pause * 2, rules_.min_pause, rules_.max_pause);
  server.due = now + server.pause;
  become(id, server, std::nullopt, actions);
}

std::optional<DialectNo> Versions::best(const Server& server, std::span<const DialectNo> spoken) const {
  std::optional<DialectNo> found;
  std::uint32_t rank = 0;
  for (const auto dialect : spoken) {
    const auto no = static_cast<std::size_t>(dialect);
    if (no >= ranks_.size() || ranks_[no] <= rank || (server.denied & set_of(dialect)) != 0) continue;
    found = dialect;
    rank = ranks_[no];
  }
  return found;
}

void Versions::listed(Instant now, ServerId id, std::string_view address, std::int64_t started,
                      std::optional<DialectNo> configured, Actions& actions) {
  auto& server = servers_[id];
  const bool moved = server.address != address;
  const bool replaced = moved || started > server.started;
  server.address = address;
  server.started = std::max(server.started, started);
  if (configured) {
    server.state = VersionState::kConfigured;
    server.due.reset();
    become(id, server, configured, actions);
    return;
  }
  if (server.state == VersionState::kConfigured) {
    // The operator's word is taken back: what the server says counts again.
    forget(id, server, actions);
    ask(now, id, server, actions);
    return;
  }
  if (!replaced) return;
  // At another address nothing of what is connected leads to it. At the same one the links may have met the
  // new process before the list tells of it, and a dead one does not answer: the newest connection is asked.
  if (moved) server.connections.clear();
  forget(id, server, actions);
  ask(now, id, server, actions);
}

void Versions::gone(ServerId id) {
  servers_.erase(id);
}

void Versions::connected(Instant now, ServerId id, std::uint64_t connection, Actions& actions) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  auto& server = found->second;
  server.connections.push_back(connection);
  switch (server.state) {
    case VersionState::kUnknown:
    case VersionState::kKnown:
      // Also of one that is known: another process may have taken the address and nobody said so yet. What is
      // known counts until the answer.
      if (server.state == VersionState::kKnown) {
        ++counts_.asked;
        server.asked_on = connection;
        server.due = now + rules_.keep;
        actions.push_back({VersionAction::What::kAsk, id, connection, std::nullopt});
      } else {
        ask(now, id, server, actions);
      }
      break;
    case VersionState::kAsking:
    case VersionState::kConfigured:
    case VersionState::kBarred:
      break;
  }
}

void Versions::disconnected(Instant now, ServerId id, std::uint64_t connection) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  auto& server = found->second;
  if (std::erase(server.connections, connection) == 0) return;
  if (server.state != VersionState::kAsking || server.asked_on != connection) return;
  // The question went with it; it is put on the next one, or at once on another that is up.
  server.due = now;
}

Versions::Server* Versions::of_live(ServerId id, std::uint64_t connection) {
  const auto found = servers_.find(id);
  if (found == servers_.end() || found->second.state == VersionState::kConfigured) return nullptr;
  auto& server = found->second;
  // An answer on a connection of the process before would be believed of the one that took its place.
  if (std::find(server.connections.begin(), server.connections.end(), connection) ==
      server.connections.end()) {
    ++counts_.stale;
    return nullptr;
  }
  return &server;
}

void Versions::told(Instant now, ServerId id, std::uint64_t connection, std::string_view process,
                    std::span<const DialectNo> spoken, Actions& actions) {
  auto* believed = of_live(id, connection);
  if (believed == nullptr) return;
  auto& server = *believed;
  if (server.process != process) {
    if (!server.process.empty()) {
      ++counts_.forgotten;
      server.denied = 0;
    }
    server.process = process;
  }
  const auto dialect = best(server, spoken);
  if (!dialect) return bar(now, id, server, actions);
  if (server.dialect &&
      ranks_[static_cast<std::size_t>(*dialect)] < ranks_[static_cast<std::size_t>(*server.dialect)]) {
    ++counts_.downgraded;
  }
  ++counts_.learned;
  server.state = VersionState::kKnown;
  server.due = now + rules_.keep;
  server.pause = Duration::zero();
  become(id, server, dialect, actions);
}

void Versions::denied(Instant now, ServerId id, std::uint64_t connection, DialectNo dialect,
                      Actions& actions) {
  auto* believed = of_live(id, connection);
  if (believed == nullptr) return;
  auto& server = *believed;
  ++counts_.denied;
  server.denied |= set_of(dialect);
  if (server.dialect != dialect) return;  // it was sent before it moved on
  become(id, server, std::nullopt, actions);
  ask(now, id, server, actions);
}

void Versions::tick(Instant now, Actions& actions) {
  for (auto& [id, server] : servers_) {
    if (!server.due || now < *server.due) continue;
    switch (server.state) {
      case VersionState::kAsking: {
        const bool lost = std::find(server.connections.begin(), server.connections.end(), server.asked_on) ==
                          server.connections.end();
        if (lost) {
          ask(now, id, server, actions);
        } else {
          bar(now, id, server, actions);
        }
        break;
      }
      case VersionState::kBarred:
        ask(now, id, server, actions);
        break;
      case VersionState::kKnown:
        // Each connection confirms it; with one up it is asked again, without one it is forgotten.
        if (server.connections.empty()) {
          forget(id, server, actions);
        } else {
          ++counts_.asked;
          server.asked_on = server.connections.back();
          server.due = now + rules_.keep;
          actions.push_back({VersionAction::What::kAsk, id, server.asked_on, std::nullopt});
        }
        break;
      case VersionState::kUnknown:
      case VersionState::kConfigured:
        server.due.reset();
        break;
    }
  }
}

std::optional<Instant> Versions::next_tick() const {
  std::optional<Instant> next;
  for (const auto& [id, server] : servers_) {
    if (server.due && (!next || *server.due < *next)) next = server.due;
  }
  return next;
}

std::optional<DialectNo> Versions::speaks(ServerId id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() ? found->second.dialect : std::nullopt;
}

VersionState Versions::state(ServerId id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() ? found->second.state : VersionState::kUnknown;
}

DialectSet Versions::spoken() const {
  DialectSet set = 0;
  for (const auto& [id, server] : servers_) {
    if (server.dialect) set |= set_of(*server.dialect);
  }
  return set;
}

std::optional<DialectNo> Versions::pinned(CallId call) const {
  const auto found = pins_.find(call);
  return found != pins_.end() ? std::optional(found->second) : std::nullopt;
}

}  // namespace amberknot::translate
