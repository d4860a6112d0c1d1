#include "http2/connection_pool.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/load_report.hpp"
#include "http2/server_process.hpp"
#include "translate/message.hpp"
#include "translate/retry_after.hpp"

namespace amberknot::http2 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using translate::DialectIndex;
using translate::Meaning;
using translate::MessageKind;

// The pool keeps kMinConnectionsPerServer connections to each server open, and opens up to
// kMaxConnectionsPerServer while set-ups wait.
constexpr std::size_t kMinConnectionsPerServer = 2;
constexpr std::size_t kMaxConnectionsPerServer = 4;
constexpr Duration kMinReconnectBackoff = milliseconds{100};
constexpr Duration kMaxReconnectBackoff = seconds{1};
// Tries per release. They are limited because a server may hold a session that nobody can release.
constexpr int kMaxReleaseAttempts = 20;
constexpr Duration kReleaseRetryInterval = milliseconds{300};
// No set-up or release is sent to a server for this long after it reset a stream with ENHANCE_YOUR_CALM.
constexpr Duration kCalmPause = seconds{1};
// A connection to a draining server is closed if its output is still blocked after this time, because the
// output may hold set-ups.
constexpr Duration kBlockedDrainTimeout = milliseconds{400};
// After events were lost, the sessions of the server are checked one by one, 50 a second.
constexpr Duration kSessionCheckInterval = milliseconds{20};
constexpr Duration kSilenceCheckInterval = milliseconds{100};
constexpr Duration kEventStreamRetryInterval = milliseconds{100};

core::AttemptEnd make_end(Outcome outcome, core::Cause cause = core::Cause::kTemporaryFailure) {
  core::AttemptEnd result;
  result.outcome = outcome;
  result.cause = cause;
  return result;
}

core::AttemptEnd make_error(const core::ErrorClassification& meaning,
                            std::optional<Duration> retry_after = std::nullopt) {
  auto result = make_end(Outcome::kError);
  result.error = meaning;
  result.retry_after = retry_after;
  return result;
}

}  // namespace

/// One connection of the pool; passes its events on to the pool.
struct ConnectionPool::PooledConnection : Connection::Handler {
  PooledConnection(ConnectionPool& pool, Server& server, std::uint64_t number)
      : pool(pool), server(server), number(number) {}
  void on_up(Connection& /*c*/) override { pool.on_up(*this); }
  void on_response(Connection& /*c*/, RequestKey key, Response& response) override {
    pool.on_response(*this, key, response);
  }
  void on_failure(Connection& /*c*/, RequestKey key, Failure failure) override {
    pool.on_failure(*this, key, failure);
  }
  bool on_chunk(Connection& /*c*/, RequestKey key, int status, std::string_view chunk) override {
    return pool.on_chunk(*this, key, status, chunk);
  }
  void on_capacity(Connection& /*c*/) override;
  void on_health_changed(Connection& /*c*/, bool /*healthy*/) override;
  void on_going_away(Connection& /*c*/) override;
  void on_down(Connection& /*c*/, net::CloseReason reason) override { pool.on_down(*this, reason); }

  ConnectionPool& pool;
  Server& server;
  std::uint64_t number;  // unique in the pool
  std::shared_ptr<Connection> connection;
  Instant up_since{};  // zero until the connection is up
  bool is_versions_requested = false;
  std::optional<std::string> process_name;  // once it has answered a versions request
};

/// The pool's state for one server.
struct ConnectionPool::Server {
  explicit Server(ServerId id) : id(id) {}
  ServerId id;
  std::string name;
  std::string address;
  std::int64_t started_unix_ms = 0;
  bool listed = false;    // in the endpoint list and not removed
  bool ready = false;     // in state kReady in the endpoint list
  bool draining = false;  // the server has sent a draining event and has not restarted since
  ServerProcess process;
  std::vector<std::shared_ptr<PooledConnection>> connections;
  std::deque<CallId> waiting_set_ups;  // calls whose set-up has not been sent, oldest first
  std::map<std::string, PendingRelease> pending_releases;
  core::ServerLiveness liveness;
  std::size_t established = 0;   // established sessions
  Instant sending_resumes_at{};  // no set-ups or releases before this, after ENHANCE_YOUR_CALM
  core::TimerWheel::Handle reconnect_timer = 0;
  core::TimerWheel::Handle pause_timer = 0;
  core::TimerWheel::Handle release_retry_timer = 0;
  Duration reconnect_backoff = kMinReconnectBackoff;
  // Event stream.
  RequestKey event_stream_key = 0;  // zero if no stream is open
  core::TimerWheel::Handle event_stream_timer = 0;
  EventCursor event_cursor;
  settings::SseParser sse_reader{net::kMaxMessageBytes};
  std::deque<std::string> sessions_to_check;
  core::TimerWheel::Handle check_timer = 0;
};

void ConnectionPool::PooledConnection::on_capacity(Connection& /*c*/) {
  pool.send_waiting(server);
}
void ConnectionPool::PooledConnection::on_health_changed(Connection& /*c*/, bool healthy) {
  net::log::info(pool.connection_log_, "session api: ", server.name,
                 healthy ? " answers PING again; new requests are sent on this connection"
                         : " did not answer a PING in time; no new requests are sent on this connection");
  pool.send_waiting(server);
}
void ConnectionPool::PooledConnection::on_going_away(Connection& /*c*/) {
  // Opens a replacement at once, so that the next set-up does not have to wait for a connection.
  pool.maintain_connections(server);
  if (pool.outstanding_.contains(server.event_stream_key)) pool.reopen_event_stream(server);
}

ConnectionPool::ConnectionPool(net::Loop& loop, core::CallTable& call_table,
                               core::EndpointRegistry& endpoints, core::Counters& counters,
                               const net::ResourceLimits& resource_limits,
                               const translate::Translator& translator, Duration connect_timeout,
                               Duration max_retry_after, ConfiguredVersion configured_version,
                               OnChange on_change)
    : loop_(loop),
      call_table_(call_table),
      endpoints_(endpoints),
      counters_(counters),
      resource_limits_(resource_limits),
      translator_(translator),
      connect_timeout_(connect_timeout),
      max_retry_after_(max_retry_after),
      configured_version_(std::move(configured_version)),
      on_change_(std::move(on_change)),
      versions_({}, [&translator] {
        // Only versions of the session API can be learned by asking the server.
        std::vector<std::uint32_t> ranks;
        for (std::size_t i = 0; i < translator.server_dialect_count(); ++i) {
          const auto& dialect = translator.server_dialect(static_cast<DialectIndex>(i));
          ranks.push_back(dialect.name.rfind("session-", 0) == 0 ? dialect.version : 0);
        }
        return ranks;
      }()) {
  schedule_silence_check();
}

ConnectionPool::~ConnectionPool() {
  loop_.timers.cancel(silence_timer_);
  loop_.timers.cancel(version_timer_);
  for (auto& [id, server] : servers_by_id_) {
    cancel_timers(*server);
    for (auto& pooled : server->connections) pooled->connection->close();
  }
}

void ConnectionPool::cancel_timers(const Server& server) {
  for (const auto timer : {server.reconnect_timer, server.pause_timer, server.release_retry_timer,
                           server.event_stream_timer, server.check_timer}) {
    loop_.timers.cancel(timer);
  }
}

ConnectionPool::Server& ConnectionPool::find_or_add_server(ServerId id) {
  auto& server = servers_by_id_[id];
  if (!server) server = std::make_unique<Server>(id);
  return *server;
}

// ---- endpoint list --------------------------------------------------------------------------------------

void ConnectionPool::on_endpoint_changed(const core::Endpoint& endpoint) {
  auto& server = find_or_add_server(endpoint.id);
  server.name = endpoint.name;
  const bool address_changed = !server.address.empty() && server.address != endpoint.address;
  const bool restarted = endpoint.started_unix_ms > server.started_unix_ms;
  server.address = endpoint.address;
  server.started_unix_ms = endpoint.started_unix_ms;
  server.ready = endpoint.state == EndpointState::kReady;
  server.listed = endpoint.state != EndpointState::kRemoved;
  const bool is_other_process = restarted || address_changed;
  if (is_other_process) server.draining = false;  // reported by the process before
  // A server that drains gets no more set-ups, including those that were accepted but not written.
  if (!server.ready) withdraw_set_ups(server);
  if (!server.listed || address_changed) close_connections(server);
  if (!server.listed) {
    server.pending_releases.clear();
    server.sessions_to_check.clear();
    loop_.timers.cancel(std::exchange(server.reconnect_timer, 0));
    versions_.on_server_removed(server.id);
    return;
  }
  translate::Versions::Actions actions;
  versions_.on_server_listed(net::Loop::now(), server.id, server.address, server.started_unix_ms,
                             configured_version_(server.name), actions);
  apply_version_actions(std::move(actions));
  const Instant since = address_changed ? net::Loop::now() : endpoint.started.value_or(Instant{});
  if (is_other_process && server.event_cursor.on_process_replaced(since)) reopen_event_stream(server);
  maintain_connections(server);
}

void ConnectionPool::close_connections(Server& server) {
  const auto closed = std::exchange(server.connections, {});
  connection_count_ -= closed.size();
  server.event_stream_key = 0;
  for (const auto& pooled : closed) {
    // close() does not call the connection's handler, so the outstanding attempts are ended here. `server` is
    // already up to date, so attempts that are routed again see its new state.
    std::vector<core::AttemptId> lost_attempts;
    for (const auto& [call, attempt] : attempts_) {
      if (attempt.pooled == pooled.get()) lost_attempts.push_back(attempt.ref);
    }
    pooled->connection->close();
    forget_outstanding(server, *pooled);
    std::sort(lost_attempts.begin(), lost_attempts.end(),
              [](const auto& a, const auto& b) { return a.call < b.call; });
    for (const auto& ref : lost_attempts) end_attempt(ref, make_end(Outcome::kReset));
  }
}

void ConnectionPool::forget_server(ServerId id) {
  const auto found = servers_by_id_.find(id);
  if (found == servers_by_id_.end()) return;
  auto& server = *found->second;
  cancel_timers(server);
  for (auto& pooled : server.connections) {
    pooled->connection->close();
    forget_outstanding(server, *pooled);
  }
  connection_count_ -= server.connections.size();
  versions_.on_server_removed(id);
  servers_by_id_.erase(found);
}

bool ConnectionPool::is_available(ServerId id) const {
  const auto found = servers_by_id_.find(id);
  if (found == servers_by_id_.end()) return false;
  return versions_.dialect_of(id).has_value() && !found->second->draining;
}

void ConnectionPool::forget_outstanding(Server& server, const PooledConnection& pooled) {
  std::erase_if(outstanding_, [&](const auto& item) {
    const auto& request = item.second;
    if (request.connection_number != pooled.number) return false;
    if (request.kind == RequestKind::kRelease) on_release_ended(server, request.id, false);
    return true;
  });
}

void ConnectionPool::end_waiting(Server& server) {
  const auto waiting_calls = std::exchange(server.waiting_set_ups, {});
  for (const auto call : waiting_calls) {
    const auto found = attempts_.find(call);
    if (found == attempts_.end()) continue;
    ++counters_.withdrawn_set_ups;
    end_attempt(found->second.ref, make_end(Outcome::kNotSent, core::Cause::kOutOfOrder));
  }
}

void ConnectionPool::withdraw_set_ups(Server& server) {
  end_waiting(server);
  // A set-up handed to a connection may be written only in part. No frame can be removed from a connection's
  // output, so the connection is closed if it stays blocked.
  for (const auto& pooled : server.connections) {
    if (!pooled->connection->is_blocked()) continue;
    loop_.run_after(kBlockedDrainTimeout, [this, id = server.id, number = pooled->number] {
      const auto found = servers_by_id_.find(id);
      if (found == servers_by_id_.end() || found->second->ready) return;
      for (const auto& candidate : std::vector(found->second->connections)) {
        if (candidate->number == number && candidate->connection->is_blocked())
          candidate->connection->fail(net::CloseReason::kReset);
      }
    });
  }
}

// ---- versions -------------------------------------------------------------------------------------------

void ConnectionPool::apply_version_actions(translate::Versions::Actions actions) {
  for (const auto& action : actions) {
    const auto found = servers_by_id_.find(action.server);
    if (found == servers_by_id_.end()) continue;
    auto& server = *found->second;
    if (action.kind == translate::VersionAction::Kind::kChanged) {
      if (auto* endpoint = endpoints_.find(server.id))
        endpoint->version = action.dialect.value_or(core::kUnknownVersion);
      net::log::info("session api: ", server.name, " speaks ",
                     action.dialect ? translator_.server_dialect(*action.dialect).name
                                    : std::string("no known version; no set-ups are sent to it"));
      // The decision module is told first: withdrawn set-ups are placed again at once and must not go to this
      // server.
      on_change_(server.id, false);
      if (!action.dialect) {
        end_waiting(server);
      }
      continue;
    }
    for (const auto& pooled : server.connections) {
      if (pooled->number == action.connection) request_versions(*pooled);
    }
  }
  schedule_version_tick();
}

ConnectionPool::OutstandingRequest ConnectionPool::make_outstanding(RequestKind kind,
                                                                    const PooledConnection& pooled,
                                                                    std::string id) {
  OutstandingRequest request;
  request.kind = kind;
  request.id = std::move(id);
  request.sent_at = net::Loop::now();
  request.connection_number = pooled.number;
  return request;
}

void ConnectionPool::request_versions(PooledConnection& pooled) {
  if (!pooled.connection->has_capacity()) return;
  const RequestKey key = next_key_++;
  outstanding_[key] = make_outstanding(RequestKind::kVersions, pooled);
  pooled.is_versions_requested =
      pooled.connection->request(key, {"GET", "/versions", {{"accept", "application/json"}}});
  if (!pooled.is_versions_requested) outstanding_.erase(key);
}

// Everything that is known of the process before is discarded: its sessions, what it said of itself, and what
// is still to be sent to it.
void ConnectionPool::on_process_replaced(PooledConnection& first, Instant previous_since) {
  auto& server = first.server;
  // Connections that have not named their process yet may lead to the new one.
  Instant since = first.up_since;
  std::vector<std::shared_ptr<PooledConnection>> of_predecessor;
  for (const auto& pooled : server.connections) {
    const bool is_of_predecessor = pooled->process_name && !server.process.is_current(*pooled->process_name);
    if (is_of_predecessor) of_predecessor.push_back(pooled);
    if (!is_of_predecessor && pooled->up_since != Instant{}) since = std::min(since, pooled->up_since);
  }
  net::log::warn("session api: ", server.name,
                 " was replaced by a new process; sessions established before are aborted");
  std::erase_if(server.pending_releases,
                [since](const auto& item) { return item.second.requested_at < since; });
  if (server.sending_resumes_at < since + kCalmPause) server.sending_resumes_at = {};
  server.draining = false;
  if (server.event_cursor.on_process_replaced(since)) reopen_event_stream(server);
  for (const auto& pooled : of_predecessor) pooled->connection->fail(net::CloseReason::kReset);
  call_table_.abort_calls_sent_before(server.id, since, "process replaced");
  // Of the sessions that were set up since, some may have been set up at the process before.
  check_all_sessions(server);
  const auto* endpoint = endpoints_.find(server.id);
  const bool is_restart_listed = endpoint != nullptr && endpoint->started > previous_since;
  on_change_(server.id, !is_restart_listed);
}

void ConnectionPool::schedule_version_tick() {
  const auto next_tick = versions_.next_timer();
  if (!next_tick || version_timer_ != 0) return;
  version_timer_ = loop_.timers.schedule_at(std::min(*next_tick, net::Loop::now() + seconds{1}), [this] {
    version_timer_ = 0;
    translate::Versions::Actions actions;
    versions_.on_timer(net::Loop::now(), actions);
    apply_version_actions(std::move(actions));
  });
}

// ---- connections ----------------------------------------------------------------------------------------

void ConnectionPool::maintain_connections(Server& server) {
  if (!server.listed || server.reconnect_timer != 0) return;
  const auto is_usable = [](const auto& pooled) {
    return !pooled->connection->is_closed() && !pooled->connection->is_going_away();
  };
  while (static_cast<std::size_t>(std::count_if(server.connections.begin(), server.connections.end(),
                                                is_usable)) < kMinConnectionsPerServer) {
    const auto count_before = server.connections.size();
    connect(server);
    if (server.connections.size() == count_before) return;
  }
}

void ConnectionPool::schedule_silence_check() {
  silence_timer_ = loop_.run_after(kSilenceCheckInterval, [this] {
    check_silent_servers();
    schedule_silence_check();
  });
}

// No probe is needed: connections send PINGs, and a lost connection is opened again after at most
// kMaxReconnectBackoff.
void ConnectionPool::check_silent_servers() {
  const Instant now = net::Loop::now();
  std::vector<ServerId> lost;
  for (const auto& [id, server] : servers_by_id_) {
    for (const auto& pooled : server->connections)
      server->liveness.on_received(pooled->connection->last_received_at());
    const auto verdict = server->liveness.check(now, server->established > 0);
    if (verdict == core::ServerLiveness::Verdict::kLost) lost.push_back(id);
  }
  for (const auto id : lost) call_table_.abort_calls_at_silent_server(id, "server silent");
}

void ConnectionPool::connect(Server& server) {
  const auto remote = net::parse_endpoint(server.address);
  if (!remote) {
    net::log::warn("session api: not connecting, server address is not IP:port: ", server.address);
    return;
  }
  if (connection_count_ >= resource_limits_.max_upstream_connections && !server.connections.empty()) return;
  if (server.connections.size() >= kMaxConnectionsPerServer + kMinConnectionsPerServer)
    return;  // the excess is for connections that are going away
  Connection::Limits limits;
  limits.connect_timeout = connect_timeout_;
  limits.max_streams = resource_limits_.max_http2_requests_per_connection;
  auto pooled = std::make_shared<PooledConnection>(*this, server, next_connection_number_++);
  pooled->connection = std::make_shared<Connection>(loop_, *pooled, limits);
  server.connections.push_back(pooled);
  ++connection_count_;
  pooled->connection->connect(*remote);
}

void ConnectionPool::on_up(PooledConnection& pooled) {
  auto& server = pooled.server;
  pooled.up_since = net::Loop::now();
  server.reconnect_backoff = kMinReconnectBackoff;
  translate::Versions::Actions actions;
  versions_.on_connected(pooled.up_since, server.id, pooled.number, actions);
  apply_version_actions(std::move(actions));
  // Each connection is asked which process it leads to, also where the version is configured or already
  // asked.
  if (!pooled.is_versions_requested) request_versions(pooled);
  if (server.event_stream_key == 0) open_event_stream(server);
  send_waiting(server);
}

void ConnectionPool::on_down(PooledConnection& closed, net::CloseReason reason) {
  auto& server = closed.server;
  const auto position = std::find_if(server.connections.begin(), server.connections.end(),
                                     [&](const auto& candidate) { return candidate.get() == &closed; });
  if (position == server.connections.end()) return;
  const auto self = *position;
  server.connections.erase(position);
  --connection_count_;
  const bool was_up = closed.up_since != Instant{};
  net::log::info(connection_log_, "session api: connection to ", server.name,
                 " closed: ", net::close_reason_name(reason));
  versions_.on_disconnected(net::Loop::now(), server.id, closed.number);
  schedule_version_tick();
  if (!server.listed) return;
  if (!was_up && server.connections.empty()) {
    // No connection could be established, so the waiting set-ups fail; none of them has been sent.
    const auto waiting_calls = std::exchange(server.waiting_set_ups, {});
    for (const auto call : waiting_calls) {
      const auto attempt = attempts_.find(call);
      if (attempt != attempts_.end()) end_attempt(attempt->second.ref, make_end(Outcome::kConnectFailed));
    }
    if (reason == net::CloseReason::kConnectionRefused)
      call_table_.abort_calls_at(server.id, "connection refused");
  }
  if (server.reconnect_timer != 0) return;
  server.reconnect_timer =
      loop_.run_after(was_up ? kMinReconnectBackoff / 10 : server.reconnect_backoff, [this, &server] {
        server.reconnect_timer = 0;
        maintain_connections(server);
      });
  if (!was_up) server.reconnect_backoff = std::min(server.reconnect_backoff * 2, kMaxReconnectBackoff);
}

ConnectionPool::PooledConnection* ConnectionPool::pick_connection(Server& server, std::uint64_t avoided) {
  const auto rank = [avoided](const PooledConnection& pooled) {
    return std::pair(pooled.number == avoided, pooled.connection->outstanding_requests());
  };
  PooledConnection* best = nullptr;
  for (const auto& pooled : server.connections) {
    if (!pooled->connection->has_capacity()) continue;
    if (best == nullptr || rank(*pooled) < rank(*best)) best = pooled.get();
  }
  return best;
}

// On the connection of the set-up the release follows the end of its stream, so that the server cannot set
// the session up later. If nothing has been received there since, that connection may be silent, and the
// release would be as late as the answer.
ConnectionPool::PooledConnection* ConnectionPool::pick_release_connection(Server& server,
                                                                          const PendingRelease& release) {
  for (const auto& pooled : server.connections) {
    const auto& connection = *pooled->connection;
    const bool is_of_set_up = pooled->number == release.set_up.number;
    if (is_of_set_up && connection.has_capacity() && connection.last_received_at() >= release.set_up.sent_at)
      return pooled.get();
  }
  return pick_connection(server, release.set_up.number);
}

// Sends waiting requests while connections have capacity. Releases go first, because they free sessions that
// other calls wait for.
void ConnectionPool::send_waiting(Server& server) {
  if (net::Loop::now() < server.sending_resumes_at) return;
  send_releases(server);
  const bool needs_connection = send_set_ups(server);
  if (needs_connection && server.listed && server.reconnect_timer == 0 &&
      server.connections.size() < kMaxConnectionsPerServer) {
    connect(server);
  }
}

void ConnectionPool::send_releases(Server& server) {
  for (auto& [id, release] : server.pending_releases) {
    if (release.outstanding) continue;
    auto* pooled = pick_release_connection(server, release);
    if (pooled == nullptr) break;
    const RequestKey key = next_key_++;
    outstanding_[key] = make_outstanding(RequestKind::kRelease, *pooled, id);
    release.outstanding = true;
    ++release.attempts;
    const auto cause = std::to_string(static_cast<int>(release.cause));
    pooled->connection->request(key, {"DELETE", "/sessions/" + id + "?cause=" + cause});
  }
}

bool ConnectionPool::send_set_ups(Server& server) {
  auto& waiting = server.waiting_set_ups;
  for (auto at = waiting.begin(); at != waiting.end();) {
    const auto found = attempts_.find(*at);
    if (found == attempts_.end()) {
      at = waiting.erase(at);
      continue;
    }
    if (server.pending_releases.contains(found->second.id)) {
      ++at;
      continue;
    }
    auto* pooled =
        outstanding_.size() < resource_limits_.max_http2_requests ? pick_connection(server) : nullptr;
    if (pooled == nullptr) return true;
    at = waiting.erase(at);
    send_set_up(found->second, *pooled);
  }
  return false;
}

void ConnectionPool::send_set_up(Attempt& attempt, PooledConnection& pooled) {
  attempt.request_key = next_key_++;
  attempt.pooled = &pooled;
  attempt.sent_at = net::Loop::now();
  auto outstanding = make_outstanding(RequestKind::kSetUp, pooled, attempt.id);
  outstanding.call = attempt.ref.call;
  outstanding_[attempt.request_key] = std::move(outstanding);
  const auto version = std::to_string(translator_.server_dialect(attempt.version).version);
  pooled.connection->request(
      attempt.request_key,
      {"POST", "/sessions", {{"content-type", "application/json"}, {"api-version", version}}, attempt.body});
  attempt.body.clear();
  attempt.body.shrink_to_fit();
}

// ---- requests of the core -------------------------------------------------------------------------------

void ConnectionPool::set_up(const core::OutgoingSetUp& set_up) {
  auto& server = find_or_add_server(set_up.attempt.server);
  const auto version = versions_.dialect_of(server.id);
  const auto* message = dynamic_cast<const translate::Message*>(set_up.message);
  if (!version || message == nullptr || !server.listed) {
    end_attempt_later(set_up.attempt, make_end(Outcome::kNotSent, core::Cause::kOutOfOrder));
    return;
  }
  const auto* mapping = translator_.mapping(message->client_dialect(), *version);
  const auto translation = mapping->set_up.translate_record(message->record(), translated_);
  if (!translation) {
    // Versions that cannot take the call were excluded when it arrived, but the server has changed its
    // version since.
    end_attempt_later(set_up.attempt,
                      make_error({core::Reason::kNoCompatibleServer, core::ExecutionState::kNotExecuted,
                                  core::ErrorScope::kVersion}));
    return;
  }
  const auto& fields = translator_.server_dialect(*version).of(MessageKind::kSetUp);
  const auto answer_timeout_ms = std::chrono::duration_cast<milliseconds>(set_up.answer_timeout).count();
  translated_.set(translate::index_of(fields, Meaning::kRemainingWait),
                  std::max<std::int64_t>(answer_timeout_ms, 1));
  Attempt attempt;
  attempt.ref = set_up.attempt;
  attempt.id = set_up.id;
  attempt.body = write_body(fields, translated_);
  attempt.version = *version;
  attempt.client_dialect = message->client_dialect();
  calls_by_session_[{server.id, attempt.id}] = set_up.attempt.call;
  versions_.pin(set_up.attempt.call, *version);
  attempts_[set_up.attempt.call] = std::move(attempt);
  server.waiting_set_ups.push_back(set_up.attempt.call);
  maintain_connections(server);
  send_waiting(server);
}

bool ConnectionPool::cancel(const core::AttemptId& ref) {
  auto* attempt = find_attempt(ref);
  if (attempt == nullptr) return false;
  auto& server = find_or_add_server(ref.server);
  const std::string id = attempt->id;
  if (attempt->pooled == nullptr) {
    ++counters_.withdrawn_set_ups;
    std::erase(server.waiting_set_ups, ref.call);
    remove_attempt(ref.call);
    return true;
  }
  const auto connection = attempt->pooled->connection;
  const SetUpConnection set_up{attempt->pooled->number, attempt->sent_at};
  const RequestKey key = attempt->request_key;
  remove_attempt(ref.call);
  outstanding_.erase(key);
  connection->cancel(key);
  // The answer may cross the cancel; the session is then established at the server and has to be released.
  delete_session(server, id, core::Cause::kNormal, set_up);
  return false;
}

void ConnectionPool::release(const core::AttemptId& ref, core::Cause cause) {
  auto* attempt = find_attempt(ref);
  if (attempt == nullptr) return;
  const std::string id = attempt->id;
  remove_attempt(ref.call);
  delete_session(find_or_add_server(ref.server), id, cause);
}

void ConnectionPool::forget_attempt(const core::AttemptId& ref) {
  if (find_attempt(ref) != nullptr) remove_attempt(ref.call);
}

// A lost release would leave the session established for good, so it is kept until the server confirms it.
void ConnectionPool::delete_session(Server& server, const std::string& id, core::Cause cause) {
  delete_session(server, id, cause, SetUpConnection());
}

void ConnectionPool::delete_session(Server& server, const std::string& id, core::Cause cause,
                                    SetUpConnection set_up) {
  if (!server.listed || server.pending_releases.size() >= resource_limits_.max_undelivered_releases_per_peer)
    return;
  server.pending_releases.try_emplace(
      id, PendingRelease{.cause = cause, .set_up = set_up, .requested_at = net::Loop::now()});
  send_waiting(server);
}

bool ConnectionPool::on_release_ended(Server& server, const std::string& id, bool confirmed) {
  const auto found = server.pending_releases.find(id);
  if (found == server.pending_releases.end()) return true;
  if (confirmed || found->second.attempts >= kMaxReleaseAttempts) {
    server.pending_releases.erase(found);
    return true;
  }
  found->second.outstanding = false;
  if (server.release_retry_timer != 0) return false;
  server.release_retry_timer = loop_.run_after(kReleaseRetryInterval, [this, &server] {
    server.release_retry_timer = 0;
    send_waiting(server);
  });
  return false;
}

void ConnectionPool::check_health(ServerId id) {
  auto& server = find_or_add_server(id);
  auto* pooled = pick_connection(server);
  if (pooled == nullptr) {
    const bool connecting = !server.connections.empty();
    asio::post(loop_.io, [this, id, connecting] {
      call_table_.on_health_check_result(id, connecting ? Outcome::kTimeout : Outcome::kConnectFailed,
                                         Duration::zero(), {});
    });
    return;
  }
  const RequestKey key = next_key_++;
  outstanding_[key] = make_outstanding(RequestKind::kHealthCheck, *pooled);
  pooled->connection->request(key, {"GET", "/versions", {{"accept", "application/json"}}});
  loop_.run_after(milliseconds{250}, [this, id, key] {
    if (outstanding_.erase(key) == 0) return;
    call_table_.on_health_check_result(id, Outcome::kTimeout, milliseconds{250}, {});
  });
}

ConnectionPool::Attempt* ConnectionPool::find_attempt(const core::AttemptId& ref) {
  const auto found = attempts_.find(ref.call);
  if (found == attempts_.end() || found->second.ref.attempt != ref.attempt ||
      found->second.ref.server != ref.server) {
    return nullptr;
  }
  return &found->second;
}

void ConnectionPool::remove_attempt(CallId call) {
  const auto found = attempts_.find(call);
  if (found == attempts_.end()) return;
  const auto session = calls_by_session_.find({found->second.ref.server, found->second.id});
  if (session != calls_by_session_.end() && session->second == call) calls_by_session_.erase(session);
  versions_.unpin(call);
  if (found->second.established) {
    if (const auto server = servers_by_id_.find(found->second.ref.server); server != servers_by_id_.end())
      --server->second->established;
  }
  attempts_.erase(found);
}

void ConnectionPool::end_attempt(core::AttemptId ref, core::AttemptEnd attempt_end) {
  if (find_attempt(ref) == nullptr) return;
  remove_attempt(ref.call);
  call_table_.on_attempt_ended(ref, attempt_end);
}

// The release comes first: the decision module may send the next attempt, which has the same id, at once.
void ConnectionPool::release_and_end(Server& server, const Attempt& attempt, core::Cause cause,
                                     const core::ErrorClassification& meaning) {
  const auto ref = attempt.ref;
  const SetUpConnection set_up{attempt.pooled != nullptr ? attempt.pooled->number : 0, attempt.sent_at};
  delete_session(server, attempt.id, cause, set_up);
  end_attempt(ref, make_error(meaning));
}

void ConnectionPool::end_attempt_later(core::AttemptId ref, core::AttemptEnd attempt_end) {
  asio::post(loop_.io, [this, ref, attempt_end] { call_table_.on_attempt_ended(ref, attempt_end); });
}

// ---- responses and failures -----------------------------------------------------------------------------

void ConnectionPool::on_response(PooledConnection& pooled, RequestKey key, Response& response) {
  const auto found = outstanding_.find(key);
  if (found == outstanding_.end()) return;
  const OutstandingRequest request = std::move(found->second);
  outstanding_.erase(found);
  auto& server = pooled.server;
  switch (request.kind) {
    case RequestKind::kSetUp:
      on_set_up_answer(pooled, request.call, response);
      break;
    case RequestKind::kRelease:
      if (on_release_ended(server, request.id, response.status == 204 || response.status == 404))
        send_waiting(server);
      break;
    case RequestKind::kHealthCheck:
      call_table_.on_health_check_result(
          server.id, response.status == 503 || response.status == 429 ? Outcome::kFull : Outcome::kOk,
          net::Loop::now() - request.sent_at, {});
      break;
    case RequestKind::kVersions:
      on_versions_answer(pooled, response);
      break;
    case RequestKind::kEvents:
      reopen_event_stream(server);
      break;
    case RequestKind::kCheckSession:
      on_session_checked(server, request, response.status);
      break;
  }
}

std::optional<ConnectionPool::VersionsAnswer> ConnectionPool::read_versions_answer(const Server& server,
                                                                                   Response& response) {
  VersionsAnswer answer;
  const auto add_version = [&](std::uint32_t version) {
    if (const auto dialect = translator_.server_dialect_index("session-" + std::to_string(version)))
      answer.supported.push_back(*dialect);
  };
  if (response.status == 404) {
    add_version(1);  // a server of version 1 does not have this path
    return answer;
  }
  if (response.status != 200) return std::nullopt;
  std::string fault;
  const auto body = reader_.read_versions({response.body.data(), response.body.size()}, fault);
  if (!body) {
    net::log::warn(invalid_message_log_, "session api: versions body of ", server.name,
                   " is invalid and ignored: ", fault);
    return std::nullopt;
  }
  for (const auto version : body->versions) add_version(version);
  answer.process = body->process;
  return answer;
}

void ConnectionPool::on_versions_answer(PooledConnection& pooled, Response& response) {
  auto& server = pooled.server;
  const auto answer = read_versions_answer(server, response);
  if (!answer) return;  // versions_ asks again after its timeout
  pooled.process_name = answer->process;
  const Instant previous_since = server.process.first_connected_at();
  const auto verdict = server.process.on_reported(answer->process, pooled.up_since);
  if (verdict == ServerProcess::Verdict::kPredecessor)
    return pooled.connection->fail(net::CloseReason::kReset);
  translate::Versions::Actions actions;
  versions_.on_versions_received(net::Loop::now(), server.id, pooled.number, answer->process,
                                 answer->supported, actions);
  apply_version_actions(std::move(actions));
  if (verdict == ServerProcess::Verdict::kReplaced) on_process_replaced(pooled, previous_since);
  send_waiting(server);
}

void ConnectionPool::on_set_up_answer(PooledConnection& pooled, CallId call, Response& response) {
  const auto found = attempts_.find(call);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  auto& server = pooled.server;
  const auto ref = attempt.ref;
  const auto& dialect = translator_.server_dialect(attempt.version);
  std::string fault;
  if (response.status != 201) {
    std::string type;
    if (response.content_type.rfind("application/problem+json", 0) == 0) {
      if (const auto problem = reader_.read_problem({response.body.data(), response.body.size()}, fault))
        type = problem->type;
    }
    const auto retry_after =
        translate::read_retry_after(response.retry_after, net::Loop::unix_ms(), max_retry_after_);
    const auto meaning = translate::meaning_of(dialect, static_cast<std::uint32_t>(response.status), type);
    translate::Versions::Actions actions;
    if (response.status == 505) {
      versions_.on_version_rejected(net::Loop::now(), server.id, pooled.number, attempt.version, actions);
    }
    // The decision module learns first that the version is not spoken any more, because the call may have to
    // wait until the server has been asked again.
    apply_version_actions(std::move(actions));
    end_attempt(ref, make_error(meaning, retry_after));
    return;
  }
  const auto version = dialect.version;
  if (!reader_.read_answer(version, {response.body.data(), response.body.size()}, record_, fault)) {
    ++counters_.malformed_answers;
    net::log::warn(invalid_message_log_, "session api: set-up answer of ", server.name, " to ", attempt.id,
                   " is invalid; the session is released: ", fault);
    release_and_end(
        server, attempt, core::Cause::kInvalidContents,
        {core::Reason::kServerFault, core::ExecutionState::kMayHaveExecuted, core::ErrorScope::kServer});
    return;
  }
  const auto* mapping = translator_.mapping(attempt.client_dialect, attempt.version);
  const auto translation = mapping->answer.translate_record(record_, translated_);
  const auto& fields = dialect.of(MessageKind::kAnswer);
  const bool is_same_session = record_.text(translate::index_of(fields, Meaning::kCall)) == attempt.id;
  if (!translation || !is_same_session) {
    // The session is established, but its answer cannot be translated for the client or names another
    // session. The session is released and the attempt fails.
    ++counters_.malformed_answers;
    release_and_end(server, attempt, core::Cause::kInvalidContents,
                    {is_same_session ? core::Reason::kFieldRejected : core::Reason::kServerFault,
                     core::ExecutionState::kMayHaveExecuted,
                     is_same_session ? core::ErrorScope::kCall : core::ErrorScope::kServer});
    return;
  }
  const auto& client_fields = translator_.client_dialect(attempt.client_dialect).of(MessageKind::kAnswer);
  const std::string description(translated_.text(translate::index_of(client_fields, Meaning::kDescription)));
  attempt.established = true;
  ++server.established;
  attempt.pooled = nullptr;
  attempt.request_key = 0;
  const auto reported_end = attempt.reported_end;
  const std::string id = attempt.id;
  if (!call_table_.on_established(ref, description)) {
    remove_attempt(call);
    delete_session(server, id, core::Cause::kInvalidContents);
    return;
  }
  // An event reported the session's end before the answer to its set-up arrived.
  if (reported_end) on_end_reported(server, id, *reported_end);
}

void ConnectionPool::on_failure(PooledConnection& pooled, RequestKey key, Failure failure) {
  const auto found = outstanding_.find(key);
  if (found == outstanding_.end()) return;
  const OutstandingRequest request = std::move(found->second);
  outstanding_.erase(found);
  auto& server = pooled.server;
  if (failure == Failure::kEnhanceYourCalm) {
    server.sending_resumes_at = net::Loop::now() + kCalmPause;
    if (server.pause_timer == 0) {
      server.pause_timer = loop_.run_after(kCalmPause, [this, &server] {
        server.pause_timer = 0;
        send_waiting(server);
      });
    }
  }
  switch (request.kind) {
    case RequestKind::kSetUp: {
      const auto attempt_entry = attempts_.find(request.call);
      if (attempt_entry == attempts_.end()) return;
      auto& attempt = attempt_entry->second;
      switch (failure) {
        case Failure::kNotProcessed:
          end_attempt(attempt.ref, make_error({core::Reason::kServerFault, core::ExecutionState::kNotExecuted,
                                               core::ErrorScope::kServer}));
          break;
        case Failure::kEnhanceYourCalm:
          end_attempt(attempt.ref,
                      make_error({core::Reason::kCongestion, core::ExecutionState::kMayHaveExecuted,
                                  core::ErrorScope::kServer}));
          break;
        case Failure::kTooLarge:
          release_and_end(server, attempt, core::Cause::kInvalidContents,
                          {core::Reason::kServerFault, core::ExecutionState::kMayHaveExecuted,
                           core::ErrorScope::kServer});
          break;
        case Failure::kReset:
          // After a reset the session may or may not be established.
          release_and_end(
              server, attempt, core::Cause::kTemporaryFailure,
              {core::Reason::kAborted, core::ExecutionState::kMayHaveExecuted, core::ErrorScope::kServer});
          break;
      }
      break;
    }
    case RequestKind::kRelease:
      if (on_release_ended(server, request.id, false)) send_waiting(server);
      break;
    case RequestKind::kEvents:
      reopen_event_stream(server);
      break;
    case RequestKind::kCheckSession:
      check_session(server, request.id);
      break;
    case RequestKind::kHealthCheck:
      call_table_.on_health_check_result(server.id, Outcome::kReset, net::Loop::now() - request.sent_at, {});
      break;
    case RequestKind::kVersions:
      break;
  }
}

// ---- events ---------------------------------------------------------------------------------------------

void ConnectionPool::open_event_stream(Server& server) {
  if (server.event_stream_key != 0) return;
  auto* pooled = pick_connection(server);
  if (pooled == nullptr) return;
  const RequestKey key = next_key_++;
  Request request{"GET", "/events", {{"accept", "text/event-stream"}}, {}, true};
  if (const auto last_number = server.event_cursor.last_number())
    request.headers.emplace_back("last-event-id", std::to_string(*last_number));
  server.sse_reader = settings::SseParser(net::kMaxMessageBytes);
  server.event_stream_key = key;
  outstanding_[key] = make_outstanding(RequestKind::kEvents, *pooled);
  pooled->connection->request(key, request);
}

void ConnectionPool::reopen_event_stream(Server& server) {
  if (server.event_stream_key != 0) {
    outstanding_.erase(server.event_stream_key);
    for (const auto& pooled : server.connections) pooled->connection->cancel(server.event_stream_key);
    server.event_stream_key = 0;
  }
  if (!server.listed || server.event_stream_timer != 0) return;
  server.event_stream_timer = loop_.run_after(kEventStreamRetryInterval, [this, &server] {
    server.event_stream_timer = 0;
    open_event_stream(server);
    // No connection has capacity yet; tries again later.
    if (server.event_stream_key == 0) reopen_event_stream(server);
  });
}

bool ConnectionPool::on_chunk(PooledConnection& pooled, RequestKey key, int status, std::string_view chunk) {
  const auto found = outstanding_.find(key);
  if (found == outstanding_.end()) return false;
  auto& server = pooled.server;
  if (status != 200) {
    outstanding_.erase(found);
    server.event_stream_key = 0;
    reopen_event_stream(server);
    return false;
  }
  if (server.event_stream_key != key) return false;
  const bool is_accepted =
      server.sse_reader.feed(chunk, [&](const settings::SseEvent& event) { on_event(server, event); });
  if (is_accepted && server.event_stream_key == key) return true;
  if (!is_accepted) {
    ++counters_.unreadable_messages;
    net::log::warn(invalid_message_log_, "session api: an event of ", server.name,
                   " exceeds the size limit; the event stream is opened again");
  }
  outstanding_.erase(key);
  if (server.event_stream_key == key) server.event_stream_key = 0;
  reopen_event_stream(server);
  return false;
}

void ConnectionPool::on_event(Server& server, const settings::SseEvent& event) {
  std::uint64_t event_id = 0;
  const auto [parse_end, parse_error] =
      std::from_chars(event.id.data(), event.id.data() + event.id.size(), event_id);
  const bool has_event_id = parse_error == std::errc{} && parse_end == event.id.data() + event.id.size();
  std::string data = event.data;
  std::string fault;
  const auto session_event = reader_.read_event(event.name, {data.data(), data.size()}, fault);
  // A process that is asked for what follows a number of the process before says first that events are lost.
  // Its own numbers may be lower.
  const bool are_events_lost = session_event && session_event->kind == SessionEvent::Kind::kEventsLost;
  if (are_events_lost && server.event_cursor.on_lost(session_event->lost_before, net::Loop::now()))
    on_events_numbered_anew(server);
  if (has_event_id && !are_events_lost && server.event_cursor.is_repeated(event_id)) return;
  if (has_event_id) server.event_cursor.on_received(event_id, net::Loop::now());
  if (!session_event) {
    ++counters_.unreadable_messages;
    net::log::warn(invalid_message_log_, "session api: event ", event.id, " of ", server.name,
                   " is invalid; all sessions of the server are checked: ", fault);
    // The event may have reported a session's end, so all sessions of this server are checked.
    check_all_sessions(server);
    return;
  }
  switch (session_event->kind) {
    case SessionEvent::Kind::kReleased:
      on_end_reported(server, session_event->id,
                      {Outcome::kOk, static_cast<core::Cause>(session_event->cause)});
      break;
    case SessionEvent::Kind::kAborted:
      on_end_reported(server, session_event->id, {Outcome::kReset, core::Cause::kTemporaryFailure});
      break;
    case SessionEvent::Kind::kLoad: {
      LoadReport report;
      for (const auto& [name, value] : session_event->load) core::set_load_report_field(report, name, value);
      call_table_.on_load_report(server.id, report);
      break;
    }
    case SessionEvent::Kind::kEventsLost:
      check_all_sessions(server);
      break;
    case SessionEvent::Kind::kDraining:
      if (std::exchange(server.draining, true)) break;
      on_change_(server.id, false);
      withdraw_set_ups(server);
      break;
    case SessionEvent::Kind::kUnknown:
      break;
  }
}

// A process without a name shows by this that it has replaced another one. Its sessions are checked as after
// any loss of events.
void ConnectionPool::on_events_numbered_anew(Server& server) {
  net::log::info("session api: ", server.name, " numbers its events anew");
  if (std::exchange(server.draining, false)) on_change_(server.id, false);
}

// An event names only the id, which all attempts of a call share: if this is not the first attempt, the event
// may be a late one about the session of an earlier attempt, and the server is asked.
void ConnectionPool::on_end_reported(Server& server, const std::string& id, SessionEnd end) {
  const auto found = calls_by_session_.find({server.id, id});
  if (found == calls_by_session_.end()) {
    ++counters_.unknown_ids;
    return;
  }
  auto& attempt = attempts_.at(found->second);
  if (attempt.established && attempt.ref.attempt == 0) {
    end_attempt(attempt.ref, make_end(end.outcome, end.cause));
    return;
  }
  attempt.reported_end = end;
  if (attempt.established) check_session(server, id);
}

void ConnectionPool::on_session_checked(Server& server, const OutstandingRequest& request, int status) {
  const auto found = calls_by_session_.find({server.id, request.id});
  if (found == calls_by_session_.end()) return;
  auto& attempt = attempts_.at(found->second);
  if (!attempt.established || attempt.ref.attempt != request.attempt) return;
  const auto reported_end = std::exchange(attempt.reported_end, std::nullopt);
  const bool is_held = status == 200 || (status != 404 && !reported_end);
  if (is_held) return;
  const auto end = reported_end.value_or(SessionEnd{Outcome::kReset, core::Cause::kTemporaryFailure});
  end_attempt(attempt.ref, make_end(end.outcome, end.cause));
}

void ConnectionPool::check_session(Server& server, const std::string& id) {
  server.sessions_to_check.push_back(id);
  check_sessions(server);
}

void ConnectionPool::check_all_sessions(Server& server) {
  server.sessions_to_check.clear();
  for (const auto& [key, call] : calls_by_session_) {
    if (key.first == server.id) server.sessions_to_check.push_back(key.second);
  }
  check_sessions(server);
}

void ConnectionPool::check_sessions(Server& server) {
  if (server.check_timer != 0 || server.sessions_to_check.empty()) return;
  server.check_timer = loop_.run_after(kSessionCheckInterval, [this, &server] {
    server.check_timer = 0;
    if (server.sessions_to_check.empty()) return;
    if (auto* pooled = pick_connection(server)) {
      const std::string id = server.sessions_to_check.front();
      server.sessions_to_check.pop_front();
      const auto found = calls_by_session_.find({server.id, id});
      if (found != calls_by_session_.end() && attempts_.at(found->second).established) {
        const RequestKey key = next_key_++;
        outstanding_[key] = make_outstanding(RequestKind::kCheckSession, *pooled, id);
        outstanding_[key].attempt = attempts_.at(found->second).ref.attempt;
        pooled->connection->request(key, {"GET", "/sessions/" + id});
      }
    }
    check_sessions(server);
  });
}

}  // namespace amberknot::http2
