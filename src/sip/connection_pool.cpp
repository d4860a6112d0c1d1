#include "sip/connection_pool.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/session_description.hpp"
#include "net/log.hpp"

namespace amberknot::sip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWarmConnections = 2;
constexpr std::size_t kMaxConnections = 4;  // a server sends load reports on no more than these
constexpr Duration kMinBackoff = milliseconds{100};
constexpr Duration kMaxBackoff = seconds{1};
// A connection that closes sooner does not count as proof that the server accepts connections again.
constexpr Duration kMinStableLifetime = milliseconds{500};
// A health check without an answer for this long is reported as timed out: it is queued at the server or
// lost.
constexpr Duration kHealthCheckTimeout = milliseconds{250};
// A release that is unconfirmed when its connection is lost is sent again, unless it is older than this.
constexpr Duration kReleaseConfirmationTimeout = seconds{3};
// By the protocol, a server that could not send a release may still send it up to this long afterwards.
constexpr Duration kReleaseRetention = seconds{8};
constexpr std::size_t kMaxPendingReleases = 256;
// A connection is closed if a message that has begun to arrive is incomplete for longer than this.
constexpr Duration kPartialMessageTimeout = milliseconds{400};
// A connection is stalled if other connections have answered set-ups that were sent more than kStallSetUpGap
// after its oldest unanswered one, and kStallConfirmationTime has passed since the last of those answers.
// Set-ups in flight on a stalled connection are lost.
constexpr Duration kStallSetUpGap = milliseconds{60};
constexpr Duration kStallConfirmationTime = milliseconds{60};
// Timeout for a suspected stall while answers still arrive on other connections, or if all set-ups on the
// connection were cancelled. It is long because closing a connection loses the releases in transit on it;
// until then, other connections are preferred.
constexpr Duration kStallSuspicionTimeout = seconds{3};
constexpr Duration kCheckInterval = milliseconds{20};
// A connection that carries established calls and was silent for core::ServerLiveness::kProbeDelay is pinged.
// It is stalled if nothing is received for this long after that: releases sent on it would be lost. The time
// is above the queueing delay of an overloaded server, and leaves some seconds to receive the releases on
// another connection.
constexpr Duration kPingTimeout = milliseconds{2500};
// This many refused connects in a row, with no connection left, mean that no process listens at the address.
constexpr int kRefusalsUntilDown = 2;
// A second answer to an attempt arrives within milliseconds of the first; ended attempts are remembered this
// long to recognise it.
constexpr Duration kSecondAnswerWindow = seconds{1};
// A set-up may be cancelled when it is partly written and the rest waits on a blocked connection. Nothing may
// be sent for a call 0.3 s after its client left, so the connection is closed before that.
constexpr Duration kPartialWriteTimeout = milliseconds{200};
// A connect may complete up to this long after its timeout. Set-ups that wait for it are moved away at the
// timeout, but the connection is kept: the server may have seen it open before the router did, and may have
// sent a release on it that it sends nowhere else.
constexpr Duration kLateConnectTimeout = seconds{1};
// An unreachable server must not use up the connections of the other servers.
constexpr std::size_t kMaxLateConnections = 2;
// A half-closed connection is read until its server closes it too. If the server does not, the router closes
// it after this time, but not while calls established on it are active, because the server sends their
// releases there. Each half-closed connection holds a descriptor.
constexpr Duration kMinHalfClosedTime = kReleaseRetention;
constexpr std::size_t kMaxHalfClosed = 4;
// While a half-closed connection with established calls remains open, another connection is opened at this
// interval. A message on the half-closed one may be lost; the server repeats it on the next connection that
// opens, which may fail the same way. The interval allows several tries within kReleaseRetention.
constexpr Duration kReopenInterval = seconds{2};
// A server sends a load report first of all on each new connection. A connection without one after this time
// was accepted by the server's kernel or the network, and the server itself may not know of it.
constexpr Duration kFirstReportTimeout = seconds{1};
// A load report may be older than the connection on which it is received by this much.
constexpr Duration kMaxReportAge = seconds{1};
// How often a set-up that was never written may move from a lost connection to another one.
constexpr int kMaxMoves = 3;

}  // namespace

/// A connection to a server, and the attempts and releases that were sent on it.
struct ConnectionPool::Connection : net::TcpConnection::EventHandler,
                                    std::enable_shared_from_this<Connection> {
  Connection(ConnectionPool& pool, Server& server) : pool(pool), server(server) {}
  void on_open(net::TcpConnection& /*stream*/) override { pool.on_connection_open(*this); }
  void on_connect_timeout(net::TcpConnection& /*stream*/) override { pool.on_connect_timeout(*this); }
  std::size_t on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) override {
    return pool.on_connection_bytes(*this, bytes);
  }
  void on_closed(net::TcpConnection& /*stream*/, net::CloseReason reason) override {
    pool.on_connection_closed(*this, reason);
  }

  struct PendingRelease {
    std::string id;
    std::string text;
    Instant sent_at{};
  };
  ConnectionPool& pool;
  Server& server;
  std::shared_ptr<net::TcpConnection> stream;
  std::vector<core::AttemptId> in_flight;       ///< in the order they were queued
  std::deque<PendingRelease> pending_releases;  ///< not confirmed by the server yet
  std::size_t established = 0;                  ///< established calls that were set up on this connection
  int move_count = 0;                           ///< highest number of moves of any set-up queued here
  Instant connected_at{};
  bool is_late = false;  ///< not open within the connect timeout; no set-up waits for it
  std::optional<Instant> partial_message_since;  ///< when an incomplete message began to arrive
  /// Send time of the first set-up after the last bytes received on this connection; empty if there is none.
  /// It stays set after that set-up ends: a set-up that was cancelled without an answer indicates a stall as
  /// much as one in flight.
  std::optional<Instant> unanswered_since;
  /// A set-up that was cancelled when it was partly written, and when. The connection must finish writing it
  /// or is closed.
  std::optional<std::pair<net::TcpConnection::Tag, Instant>> partially_written;
  std::optional<Instant> half_closed_at;  ///< when the router stopped sending on it
  /// When it was noticed that later set-ups were answered on other connections.
  std::optional<Instant> stall_suspected_at;
  core::ServerLiveness liveness;  ///< of the releases of the calls established on it
  bool has_received = false;
  bool has_reported = false;  ///< a load report was received on it
  std::optional<Instant>
      pinged_at;  ///< when an OPTIONS was sent because of silence; empty if it was answered

  [[nodiscard]] bool is_usable() const { return stream->is_open() && !partial_message_since; }
  /// Whether it may be stalled, so that other connections are preferred.
  [[nodiscard]] bool is_suspected_stalled() const {
    return stall_suspected_at || (unanswered_since && in_flight.empty());
  }
};

/// A server and its connections.
struct ConnectionPool::Server {
  explicit Server(ServerId id) : id(id) {}
  ServerId id;
  std::string address;
  bool is_listed = false;
  bool reports_on_connect = false;  ///< it has sent a load report on a connection
  /// Of the releases of the calls whose connection is closed. Empty if there are no such calls.
  std::optional<core::ServerLiveness> detached_liveness;
  Instant last_received_at{};                            // on any connection; zero before the first bytes
  std::size_t established = 0;                           // established calls
  std::vector<std::shared_ptr<Connection>> connections;  // connecting or open
  HalfClosed half_closed;
  std::size_t next_connection = 0;
  Duration backoff = kMinBackoff;
  core::TimerWheel::Handle retry_timer = 0;
  int consecutive_refusals = 0;     // of connects
  Instant last_answered_sent_at{};  // send time of the latest set-up that was answered
  Instant last_answered_at{};       // when last_answered_sent_at was last updated
  /// Call-ID and text of the releases that wait for a connection.
  std::deque<std::pair<std::string, std::string>> unsent_releases;
  /// When a connection was lost while calls were established. The server repeats the releases lost on that
  /// connection, but only on the next connection that opens. Empty if a connection has opened since.
  std::optional<Instant> releases_maybe_lost_since;
  /// When a connection was last opened because the server had not closed a half-closed one.
  Instant reopened_at{};

  [[nodiscard]] std::size_t open_connections() const {
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(),
                      [](const auto& connection) { return connection->stream->is_open(); }));
  }
  /// Connections that are open or still within their connect timeout.
  [[nodiscard]] std::size_t counted_connections() const {
    return static_cast<std::size_t>(std::count_if(
        connections.begin(), connections.end(), [](const auto& connection) { return !connection->is_late; }));
  }
};

ConnectionPool::ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                               core::Counters& counters, const net::ResourceLimits& limits,
                               const Settings& settings, std::string own_name, Duration connect_timeout)
    : loop_(loop),
      table_(table),
      servers_(servers),
      counters_(counters),
      limits_(limits),
      settings_(settings),
      own_name_(std::move(own_name)),
      connect_timeout_(connect_timeout) {
  schedule_check();
}

ConnectionPool::~ConnectionPool() {
  for (auto& [id, server] : servers_by_id_) {
    for (auto& connection : server->connections) connection->stream->close();
    for (auto& connection : server->half_closed) connection->stream->close();
  }
}

ConnectionPool::Server& ConnectionPool::find_or_create_server(ServerId id) {
  auto& server = servers_by_id_[id];
  if (!server) server = std::make_unique<Server>(id);
  return *server;
}

void ConnectionPool::on_endpoint_changed(const core::Endpoint& endpoint) {
  auto& server = find_or_create_server(endpoint.id);
  const bool has_moved = !server.address.empty() && server.address != endpoint.address;
  server.address = endpoint.address;
  std::vector<core::AttemptId> withdrawn_refs;
  if (endpoint.state != EndpointState::kReady || has_moved) {
    // A set-up must not be written to a draining server: set-ups that wait on a connecting or blocked socket
    // are withdrawn. They must not reach an address that the server has left either.
    for (const auto& connection : server.connections) {
      for (const auto& ref : connection->in_flight) {
        if (connection->stream->withdraw(attempt_tag(ref))) withdrawn_refs.push_back(ref);
      }
    }
    counters_.withdrawn_set_ups += withdrawn_refs.size();
    for (const auto& ref : withdrawn_refs) remove_attempt(find_attempt(ref));
  }
  server.is_listed = endpoint.state != EndpointState::kRemoved;
  std::vector<std::shared_ptr<Connection>> closed;
  if (!server.is_listed || has_moved) {
    closed = std::exchange(server.connections, {});
    connection_count_ -= closed.size() + server.half_closed.size();
    auto half_closed = std::exchange(server.half_closed, {});
    for (const auto* connections : {&closed, &half_closed}) {
      for (const auto& connection : *connections) {
        connection->stream->close();
        detach_calls(server, *connection);
      }
    }
  }
  if (!server.is_listed) {
    server.unsent_releases.clear();
    loop_.timers.cancel(std::exchange(server.retry_timer, 0));
  }
  if (server.is_listed) open_warm_connections(server);
  // Reported last, because ended attempts are routed again at once and must not find the old connections.
  for (const auto& ref : withdrawn_refs)
    table_.on_attempt_ended(ref, {Outcome::kNotSent, core::Cause::kOutOfOrder, false, {}});
  for (const auto& connection : closed) end_attempts_on(*connection, Outcome::kReset);
}

void ConnectionPool::forget_server(ServerId id) {
  const auto found = servers_by_id_.find(id);
  if (found == servers_by_id_.end()) return;
  auto& server = *found->second;
  loop_.timers.cancel(server.retry_timer);
  for (const auto& connection : server.connections) connection->stream->close();
  for (const auto& connection : server.half_closed) connection->stream->close();
  connection_count_ -= server.connections.size() + server.half_closed.size();
  std::vector<std::string> health_check_ids;
  for (const auto& [key, health_check] : pending_health_checks_) {
    if (health_check.server == id) health_check_ids.push_back(key);
  }
  for (const auto& key : health_check_ids) {
    loop_.timers.cancel(pending_health_checks_.at(key).timeout_timer);
    pending_health_checks_.erase(key);
  }
  servers_by_id_.erase(found);
}

// ---- connections --------------------------------------------------------------------------------------

void ConnectionPool::open_warm_connections(Server& server) {
  if (!server.is_listed || server.retry_timer != 0) return;
  const auto needs_connection = [&server] {
    if (server.connections.size() < kWarmConnections) return true;
    if (!server.releases_maybe_lost_since || server.counted_connections() >= kMaxConnections) return false;
    return server.open_connections() == server.counted_connections();  // otherwise one is already connecting
  };
  while (needs_connection()) {
    const auto count_before = server.connections.size();
    connect(server);
    if (server.connections.size() == count_before) return;
  }
}

void ConnectionPool::connect(Server& server) {
  const auto address = net::parse_endpoint(server.address);
  if (!address) {
    net::log::warn("sip: no connection to a server: cannot parse its address as host:port: ", server.address);
    return;
  }
  // The connection limit does not apply to the first connection of a server; the number of servers is small.
  if (connection_count_ >= limits_.max_upstream_connections && !close_oldest_half_closed() &&
      !server.connections.empty())
    return;
  auto connection = std::make_shared<Connection>(*this, server);
  connection->stream = std::make_shared<net::TcpConnection>(loop_, *connection);
  server.connections.push_back(connection);
  ++connection_count_;
  connection->stream->connect(*address, connect_timeout_, kLateConnectTimeout);
}

// Picks the open connection with the fewest set-ups in flight, so that a malformed answer or a reset affects
// few other set-ups. If all connections have some, one more is opened for later set-ups. Without an open
// connection, picks one that is connecting or opens a new one, regardless of the backoff.
std::shared_ptr<ConnectionPool::Connection> ConnectionPool::pick_connection(Server& server,
                                                                            const Connection* avoid) {
  std::shared_ptr<Connection> best;
  std::shared_ptr<Connection> avoided;
  const std::size_t count = server.connections.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto& connection = server.connections[(server.next_connection + i) % count];
    const auto rank = [](const Connection& one) {
      return std::pair(one.is_suspected_stalled(), one.in_flight.size());
    };
    const bool is_better = connection.get() == avoid || !best || rank(*connection) < rank(*best);
    // If the server has closed the connection and this is not read yet, data written now would be answered
    // with a reset and lost.
    if (!is_better || !connection->is_usable() || connection->stream->has_ended()) continue;
    (connection.get() == avoid ? avoided : best) = connection;
  }
  ++server.next_connection;
  const bool has_room = server.counted_connections() < kMaxConnections;
  if (best) {
    if (!best->in_flight.empty() && server.is_listed && server.retry_timer == 0 && has_room) connect(server);
    return best;
  }
  const auto connecting =
      std::find_if(server.connections.begin(), server.connections.end(), [](const auto& connection) {
        return !connection->is_late && !connection->stream->is_closed() && !connection->stream->is_open() &&
               !connection->partial_message_since;
      });
  if (connecting != server.connections.end()) return *connecting;
  if (!avoided || has_room) connect(server);
  return server.connections.size() > count ? server.connections.back() : avoided;
}

const ConnectionPool::Connection* ConnectionPool::connection_of_ended_attempt(
    const core::AttemptId& attempt) const {
  if (attempt.attempt == 0) return nullptr;
  for (auto ended = recently_ended_.rbegin(); ended != recently_ended_.rend(); ++ended) {
    if (ended->call != attempt.call) continue;
    if (const auto connection = ended->connection.lock();
        connection && connection->server.id == attempt.server)
      return connection.get();
  }
  return nullptr;
}

void ConnectionPool::on_connection_open(Connection& connection) {
  auto& server = connection.server;
  connection.connected_at = net::Loop::now();
  if (std::exchange(connection.is_late, false)) ++counters_.late_connections;
  server.consecutive_refusals = 0;
  if (!server.reports_on_connect) server.releases_maybe_lost_since.reset();
  net::log::debug("sip: connection opened: ", servers_.find(server.id)->name);
  for (auto& [id, release] : std::exchange(server.unsent_releases, {}))
    resend_release(server, std::move(id), std::move(release));
}

// A set-up that was never written moves to another connection, and its attempt goes on. The attempt ends only
// if no connection can take it: a refused or timed-out connect means that the server is unreachable, a reset
// of a new connection does not.
void ConnectionPool::move_unsent_set_ups(Connection& connection, bool is_unreachable) {
  auto& server = connection.server;
  auto unsent = connection.stream->take_unsent();
  const bool may_move = server.is_listed && (server.open_connections() > 0 || !is_unreachable);
  std::vector<core::AttemptId> withdrawn;
  for (auto& message : unsent) {
    if (message.tag == 0) continue;
    const auto ref = std::find_if(connection.in_flight.begin(), connection.in_flight.end(),
                                  [&](const auto& one) { return attempt_tag(one) == message.tag; });
    if (ref == connection.in_flight.end()) continue;
    const auto attempt = find_attempt(*ref);
    const auto replacement =
        may_move && connection.move_count < kMaxMoves ? pick_connection(server) : nullptr;
    if (attempt == attempts_.end() || !replacement) {
      withdrawn.push_back(*ref);
      continue;
    }
    ++counters_.moved_set_ups;
    replacement->move_count = std::max(replacement->move_count, connection.move_count + 1);
    replacement->in_flight.push_back(*ref);
    attempt->second.connection = replacement;
    attempt->second.sent_at = net::Loop::now();
    if (!replacement->unanswered_since) replacement->unanswered_since = attempt->second.sent_at;
    connection.in_flight.erase(ref);
    replacement->stream->send(std::move(message.head), std::move(message.body), message.tag);
  }
  for (const auto& ref : withdrawn) {
    const auto attempt = find_attempt(ref);
    if (attempt == attempts_.end()) continue;
    remove_attempt(attempt);
    table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kTemporaryFailure, false, {}});
  }
}

void ConnectionPool::on_connect_timeout(Connection& connection) {
  auto& server = connection.server;
  const auto keep_alive = connection.shared_from_this();
  net::log::info(connect_log_limit_, "sip: connect timed out, still waiting for the connection: ",
                 servers_.find(server.id)->name);
  connection.is_late = true;
  connection.unanswered_since.reset();  // nothing was sent on it
  move_unsent_set_ups(connection, true);
  end_attempts_on(connection, Outcome::kConnectFailed);
  for (auto& release : std::exchange(connection.pending_releases, {}))
    resend_release(server, std::move(release.id), std::move(release.text));
  if (server.connections.size() - server.counted_connections() > kMaxLateConnections) {
    connection.stream->fail(net::CloseReason::kConnectFailed);
    return;
  }
  // The server may send releases on the next connection that it sees as open. That may be this late one,
  // which may never open on the router's side. Another connection is therefore opened for the releases.
  open_warm_connections(server);
}

void ConnectionPool::on_connection_closed(Connection& closed, net::CloseReason reason) {
  if (closed.half_closed_at) {
    on_half_closed_end(closed, reason);
    return;
  }
  auto& server = closed.server;
  const auto at = std::find_if(server.connections.begin(), server.connections.end(),
                               [&](const auto& connection) { return connection.get() == &closed; });
  if (at == server.connections.end()) return;
  const auto connection = *at;  // keeps the object alive
  server.connections.erase(at);
  --connection_count_;
  // After an orderly close everything that the server sent has arrived.
  if (reason == net::CloseReason::kClosedByPeer) connection->liveness.on_received(net::Loop::now());
  detach_calls(server, *connection);
  on_connection_lost(*connection, reason);
  if (reason == net::CloseReason::kReset) on_reset(server);
}

void ConnectionPool::on_reset(Server& server) {
  const Instant never{};
  if (server.last_received_at == never || server.established == 0) return;
  if (!core::ServerLiveness::shows_restart(net::Loop::now() - server.last_received_at)) return;
  table_.abort_calls_at_silent_server(server.id, "connection reset after a long silence");
}

void ConnectionPool::on_connection_lost(Connection& connection, net::CloseReason reason) {
  auto& server = connection.server;
  const Instant now = net::Loop::now();
  const bool was_open = connection.connected_at != Instant{};
  if (was_open) {
    net::log::info(connection_log_limit_, "sip: connection closed: ", servers_.find(server.id)->name, ": ",
                   close_reason_name(reason), "; ", connection.in_flight.size(), " set-ups in flight, ",
                   connection.established, " calls established on it");
  } else {
    net::log::info(connect_log_limit_, "sip: connect failed: ", servers_.find(server.id)->name, ": ",
                   close_reason_name(reason));
  }
  server.consecutive_refusals =
      reason == net::CloseReason::kConnectionRefused ? server.consecutive_refusals + 1 : 0;

  move_unsent_set_ups(connection, reason == net::CloseReason::kConnectionRefused ||
                                      reason == net::CloseReason::kConnectFailed);
  // The server may or may not have received the set-ups that were sent on a lost connection.
  end_attempts_on(connection, was_open ? Outcome::kReset : Outcome::kConnectFailed);
  for (auto& release : std::exchange(connection.pending_releases, {})) {
    if (now - release.sent_at < kReleaseConfirmationTimeout)
      resend_release(server, std::move(release.id), std::move(release.text));
  }
  // The established calls are lost with the server process, which cannot report that any more.
  if (server.consecutive_refusals >= kRefusalsUntilDown && server.open_connections() == 0) {
    table_.abort_calls_at(server.id, "connection refused");
  }
  const bool has_established = server.established > 0;
  if (was_open && reason != net::CloseReason::kClosedByPeer && has_established)
    server.releases_maybe_lost_since = now;
  if (!has_established ||
      (server.releases_maybe_lost_since && now - *server.releases_maybe_lost_since > kReleaseRetention))
    server.releases_maybe_lost_since.reset();
  // Callers must get a release within 1 s, so a pending reconnect timer, which may run for longer, is
  // cancelled and the backoff is reset to its minimum.
  if (server.releases_maybe_lost_since) {
    loop_.timers.cancel(std::exchange(server.retry_timer, 0));
    server.backoff = kMinBackoff;
  }
  if (!server.is_listed || server.retry_timer != 0) return;
  if (was_open && now - connection.connected_at >= kMinStableLifetime) {
    server.backoff = kMinBackoff;
    open_warm_connections(server);
    return;
  }
  server.retry_timer = loop_.run_after(server.backoff, [this, &server] {
    server.retry_timer = 0;
    open_warm_connections(server);
  });
  server.backoff = std::min(server.backoff * 2, kMaxBackoff);
}

// A server sends a release on the connection of its set-up and on the next connection that opens. If the
// network drops what the router sends, the server may still regard a connection that the router has given up
// as open, even after the next one has opened. If the router closed that connection fully, releases sent on
// it would be lost for good.
void ConnectionPool::half_close(Connection& connection, net::CloseReason reason) {
  auto& server = connection.server;
  const auto keep_alive = connection.shared_from_this();
  if (connection_count_ >= limits_.max_upstream_connections || !connection.stream->is_open()) {
    connection.stream->fail(reason);
    return;
  }
  if (server.half_closed.size() >= kMaxHalfClosed) {
    const auto without_calls =
        std::find_if(server.half_closed.begin(), server.half_closed.end(),
                     [](const auto& half_closed) { return half_closed->established == 0; });
    close_half_closed(server,
                      without_calls != server.half_closed.end() ? without_calls : server.half_closed.begin());
  }
  std::erase(server.connections, keep_alive);
  server.half_closed.push_back(keep_alive);
  connection.half_closed_at = net::Loop::now();
  on_connection_lost(connection, reason);
  connection.stream->close_output();
}

void ConnectionPool::on_half_closed_end(Connection& connection, net::CloseReason reason) {
  auto& server = connection.server;
  const auto keep_alive = connection.shared_from_this();
  std::erase(server.half_closed, keep_alive);
  --connection_count_;
  if (reason == net::CloseReason::kClosedByPeer) connection.liveness.on_received(net::Loop::now());
  detach_calls(server, connection);
  // The server closed it too, so everything it sent on that connection has arrived. A reset, however, may
  // have destroyed messages in transit.
  if (reason == net::CloseReason::kClosedByPeer) return;
  on_reset(server);
  if (server.established == 0) return;
  server.releases_maybe_lost_since = net::Loop::now();
  loop_.timers.cancel(std::exchange(server.retry_timer, 0));
  server.backoff = kMinBackoff;
  open_warm_connections(server);
}

ConnectionPool::HalfClosed::iterator ConnectionPool::close_half_closed(Server& server,
                                                                       HalfClosed::iterator at) {
  (*at)->stream->close();
  --connection_count_;
  detach_calls(server, **at);
  return server.half_closed.erase(at);
}

bool ConnectionPool::close_oldest_half_closed() {
  Server* oldest = nullptr;
  for (const auto& [id, server] : servers_by_id_) {
    if (server->half_closed.empty()) continue;
    const bool older = oldest == nullptr || server->half_closed.front()->half_closed_at <
                                                oldest->half_closed.front()->half_closed_at;
    if (older) oldest = server.get();
  }
  if (oldest == nullptr) return false;
  close_half_closed(*oldest, oldest->half_closed.begin());
  return true;
}

void ConnectionPool::close_expired_half_closed(Server& server, Instant now) {
  for (auto at = server.half_closed.begin(); at != server.half_closed.end();) {
    const auto& connection = **at;
    const bool is_expired =
        connection.established == 0 && now - *connection.half_closed_at > kMinHalfClosedTime;
    at = is_expired ? close_half_closed(server, at) : std::next(at);
  }
}

bool ConnectionPool::should_reopen(const Server& server, Instant now) {
  if (!server.is_listed || now - server.reopened_at < kReopenInterval) return false;
  return std::any_of(server.half_closed.begin(), server.half_closed.end(), [now](const auto& connection) {
    return connection->established > 0 && now - *connection->half_closed_at >= kReopenInterval;
  });
}

// If the server has the maximum number of connections, an idle one is half-closed to make room.
void ConnectionPool::open_connection_for_releases(Server& server) {
  server.reopened_at = net::Loop::now();
  server.releases_maybe_lost_since = server.reopened_at;
  if (server.counted_connections() < kMaxConnections) {
    loop_.timers.cancel(std::exchange(server.retry_timer, 0));
    open_warm_connections(server);
    return;
  }
  const auto idle =
      std::find_if(server.connections.begin(), server.connections.end(), [](const auto& connection) {
        return connection->stream->is_open() && connection->in_flight.empty() &&
               connection->pending_releases.empty();
      });
  if (idle == server.connections.end()) return;
  const auto connection = *idle;
  half_close(*connection, net::CloseReason::kClosedByPeer);
}

std::string ConnectionPool::new_health_check_id() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next_health_check_id_++));
  return text;
}

void ConnectionPool::ping(Connection& connection, Instant now) {
  if (connection.pinged_at || !connection.is_usable()) return;
  connection.pinged_at = now;
  ++counters_.health_checks;
  // The id is not among the pending health checks: any bytes prove that the connection works.
  connection.stream->send(options_head(new_health_check_id(), own_name_));
}

void ConnectionPool::end_attempts_on(Connection& connection, Outcome outcome) {
  const auto lost = std::exchange(connection.in_flight, {});
  std::vector<std::string> health_check_ids;
  for (const auto& [id, health_check] : pending_health_checks_) {
    if (health_check.connection.get() == &connection) health_check_ids.push_back(id);
  }
  for (const auto& ref : lost) {
    const auto attempt = find_attempt(ref);
    if (attempt == attempts_.end()) continue;
    remove_attempt(attempt);
    table_.on_attempt_ended(ref, {outcome, core::Cause::kTemporaryFailure, false, {}});
  }
  for (const auto& id : health_check_ids) {
    const auto found = pending_health_checks_.find(id);
    if (found == pending_health_checks_.end()) continue;
    // A single lost connection says nothing about the server while others are open: the health check is
    // repeated on one of those.
    auto& server = find_or_create_server(found->second.server);
    const auto replacement = server.open_connections() > 0 ? pick_connection(server) : nullptr;
    if (replacement) {
      found->second.connection = replacement;
      replacement->stream->send(options_head(id, own_name_));
    } else {
      end_health_check(id, Outcome::kConnectFailed, {});
    }
  }
}

void ConnectionPool::on_releases_repeated(Server& server, Instant opened_at) {
  for (const auto* connections : {&server.connections, &server.half_closed}) {
    for (const auto& connection : *connections) connection->liveness.on_received(opened_at);
  }
  if (server.detached_liveness) server.detached_liveness->on_received(opened_at);
}

void ConnectionPool::detach_calls(Server& server, const Connection& connection) {
  if (connection.established == 0) return;
  auto& detached = server.detached_liveness;
  if (!detached || connection.liveness.last_received_at() < detached->last_received_at())
    detached = connection.liveness;
}

// A release is sent on the connection of its set-up and on the next connection that opens. A call may
// therefore have ended unnoticed if its own connection is silent and no other one has opened, however much
// the server sends on the others.
void ConnectionPool::check_silent_paths(Server& server, Instant now) {
  using Verdict = core::ServerLiveness::Verdict;
  std::size_t attached = 0;
  bool needs_connection = false;
  std::set<const Connection*> lost;
  for (const auto* connections : {&server.connections, &server.half_closed}) {
    for (const auto& connection : *connections) {
      attached += connection->established;
      const auto verdict = connection->liveness.check(now, connection->established > 0);
      if (verdict == Verdict::kLost) lost.insert(connection.get());
      if (verdict != Verdict::kProbe) continue;
      if (settings_.limits.may_check_health && !connection->half_closed_at) {
        ping(*connection, now);
      } else {
        needs_connection = true;
      }
    }
  }
  if (server.established == attached) server.detached_liveness.reset();
  const auto detached =
      server.detached_liveness ? server.detached_liveness->check(now, true) : Verdict::kAlive;
  needs_connection = needs_connection || detached == Verdict::kProbe;
  const bool may_open = server.is_listed && now - server.reopened_at >= core::ServerLiveness::kProbeInterval;
  if (needs_connection && may_open) open_connection_for_releases(server);
  if (lost.empty() && detached != Verdict::kLost) return;
  table_.abort_silent_calls(server.id, "server silent", [&](const core::AttemptId& ref) {
    const auto attempt = find_attempt(ref);
    if (attempt == attempts_.end()) return false;
    const auto connection = attempt->second.established_on.lock();
    const bool is_attached = connection && !connection->stream->is_closed();
    return is_attached ? lost.contains(connection.get()) : detached == Verdict::kLost;
  });
}

// Detects a connection that is open but unusable: the server has answered set-ups that were sent later on
// other connections, or a message has begun to arrive and does not end. Set-ups in flight on it are lost, and
// would otherwise wait until their callers give up.
bool ConnectionPool::is_stalled(const Connection& connection, Instant now) {
  if (connection.partially_written && now - connection.partially_written->second > kPartialWriteTimeout)
    return true;
  if (connection.partial_message_since)
    return now - *connection.partial_message_since > kPartialMessageTimeout;
  const bool lacks_first_report = connection.stream->is_open() && !connection.has_received &&
                                  connection.server.reports_on_connect && connection.server.established > 0;
  if (lacks_first_report && now - connection.connected_at > kFirstReportTimeout) return true;
  if (connection.pinged_at && now - *connection.pinged_at > kPingTimeout) return true;
  if (!connection.stream->is_open() || !connection.stall_suspected_at) return false;
  if (now - *connection.stall_suspected_at > kStallSuspicionTimeout) return true;
  return !connection.in_flight.empty() && now - connection.server.last_answered_at > kStallConfirmationTime;
}

// Time without an answer counts from when the connection opened; before that, a set-up only waits for the
// connection.
void ConnectionPool::update_stall_detection(Connection& connection, Instant now) {
  if (!connection.unanswered_since || connection.stall_suspected_at) return;
  if (std::max(*connection.unanswered_since, connection.connected_at) + kStallSetUpGap <
      connection.server.last_answered_sent_at)
    connection.stall_suspected_at = now;
}

void ConnectionPool::schedule_check() {
  loop_.run_after(kCheckInterval, [this] {
    const Instant now = net::Loop::now();
    std::vector<std::shared_ptr<Connection>> stalled;
    std::vector<Server*> to_reopen;
    for (const auto& [id, server] : servers_by_id_) {
      close_expired_half_closed(*server, now);
      if (should_reopen(*server, now)) to_reopen.push_back(server.get());
      for (const auto& connection : server->connections) {
        update_stall_detection(*connection, now);
        if (connection->partially_written &&
            !connection->stream->is_unsent(connection->partially_written->first))
          connection->partially_written.reset();
        if (is_stalled(*connection, now)) stalled.push_back(connection);
        while (!connection->pending_releases.empty() &&
               now - connection->pending_releases.front().sent_at > kReleaseConfirmationTimeout)
          connection->pending_releases.pop_front();
      }
    }
    while (!recently_ended_.empty() && now - recently_ended_.front().ended_at > kSecondAnswerWindow)
      recently_ended_.pop_front();
    for (const auto& connection : stalled) {
      ++counters_.stalled_connections;
      net::log::warn(malformed_log_limit_,
                     "sip: connection stalled: ", servers_.find(connection->server.id)->name,
                     ": no longer used, with ", connection->in_flight.size(), " set-ups in flight");
      half_close(*connection, net::CloseReason::kReset);
    }
    for (auto* server : to_reopen) open_connection_for_releases(*server);
    for (const auto& [id, server] : servers_by_id_) check_silent_paths(*server, now);
    schedule_check();
  });
}

// ---- requests of the core --------------------------------------------------------------------------------

void ConnectionPool::set_up(const core::OutgoingSetUp& set_up) {
  auto& server = find_or_create_server(set_up.attempt.server);
  // An answer identifies its call but not its attempt. If an earlier attempt of the call was sent, the next
  // one uses another connection, where no second or late answer to the earlier one can arrive.
  const auto connection = pick_connection(server, connection_of_ended_attempt(set_up.attempt));
  if (!connection) {
    asio::post(loop_.io, [this, ref = set_up.attempt] {
      table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kOutOfOrder, false, {}});
    });
    return;
  }
  AttemptKey key{server.id, std::string(set_up.id)};
  keys_by_call_[set_up.attempt.call] = key;
  attempts_[std::move(key)] = {.ref = set_up.attempt,
                               .number = std::string(set_up.number),
                               .connection = connection,
                               .sent_at = net::Loop::now(),
                               .established = false,
                               .established_on = {}};
  connection->in_flight.push_back(set_up.attempt);
  if (!connection->unanswered_since) connection->unanswered_since = net::Loop::now();
  connection->stream->send(invite_head({set_up.id, set_up.number, set_up.attempt.attempt + 1}, own_name_,
                                       set_up.call_class, set_up.answer_timeout, set_up.description.size()),
                           std::string(set_up.description), attempt_tag(set_up.attempt));
}

bool ConnectionPool::cancel(const core::AttemptId& attempt) {
  const auto found = find_attempt(attempt);
  if (found == attempts_.end()) return false;
  const auto connection = found->second.connection;
  const std::string number = found->second.number;
  const std::string id = found->first.second;
  remove_attempt(found);
  if (!connection || connection->stream->is_closed()) return false;
  if (connection->stream->withdraw(attempt_tag(attempt))) {
    ++counters_.withdrawn_set_ups;
    // It was never sent, so a missing answer to it says nothing about the connection.
    if (connection->in_flight.empty() && !connection->stall_suspected_at)
      connection->unanswered_since.reset();
    return true;
  }
  recently_ended_.push_back({attempt.call, connection, net::Loop::now()});
  if (connection->stream->is_unsent(attempt_tag(attempt)))
    connection->partially_written = {attempt_tag(attempt), net::Loop::now()};
  connection->stream->send(request_head("CANCEL", {id, number, attempt.attempt + 1}, own_name_));
  return false;
}

void ConnectionPool::release(const core::AttemptId& attempt, core::Cause cause) {
  const auto found = find_attempt(attempt);
  if (found == attempts_.end()) return;
  std::string id = found->first.second;
  auto release = request_head("BYE", {id, found->second.number, attempt.attempt + 2}, own_name_, cause);
  auto& server = find_or_create_server(attempt.server);
  remove_attempt(found);
  send_release(server, std::move(id), std::move(release));
}

// A lost release would leave a call established at the server for good. It is therefore kept until the server
// confirms it, and sent again if its connection is lost before that.
void ConnectionPool::send_release(Server& server, std::string id, std::string release) {
  if (server.open_connections() > 0) {
    if (const auto connection = pick_connection(server)) {
      if (connection->pending_releases.size() >= kMaxPendingReleases)
        connection->pending_releases.pop_front();
      connection->pending_releases.push_back({std::move(id), release, net::Loop::now()});
      connection->stream->send(std::move(release));
      return;
    }
  }
  if (!server.is_listed || server.unsent_releases.size() >= limits_.max_undelivered_releases_per_peer) return;
  server.unsent_releases.emplace_back(std::move(id), std::move(release));
  open_warm_connections(server);
}

// All attempts of a call share its Call-ID. A release of an earlier attempt would end the session of the
// current one, which takes the place of the earlier one at the server.
void ConnectionPool::resend_release(Server& server, std::string id, std::string release) {
  if (attempts_.contains({server.id, id})) {
    net::log::info(late_answer_log_limit_, "sip: release of an earlier attempt not sent again to ",
                   servers_.find(server.id)->name, ": a later attempt is there: ", id);
    return;
  }
  send_release(server, std::move(id), std::move(release));
}

void ConnectionPool::check_health(ServerId id) {
  auto& server = find_or_create_server(id);
  const auto connection = pick_connection(server);
  const auto id_text = new_health_check_id();
  PendingHealthCheck health_check{id, connection, net::Loop::now(), 0};
  health_check.timeout_timer = loop_.run_after(
      kHealthCheckTimeout, [this, key = id_text] { end_health_check(key, Outcome::kTimeout, {}); });
  pending_health_checks_.emplace(id_text, std::move(health_check));
  if (connection) connection->stream->send(options_head(id_text, own_name_));
}

void ConnectionPool::end_health_check(const std::string& id, Outcome outcome, const LoadReport& load) {
  const auto found = pending_health_checks_.find(id);
  if (found == pending_health_checks_.end()) return;
  const auto health_check = std::move(found->second);
  pending_health_checks_.erase(found);
  loop_.timers.cancel(health_check.timeout_timer);
  table_.on_health_check_result(health_check.server, outcome, net::Loop::now() - health_check.sent_at, load);
}

void ConnectionPool::remove_attempt(Attempts::iterator at) {
  if (at == attempts_.end()) return;
  if (const auto& connection = at->second.connection) {
    std::erase_if(connection->in_flight, [&](const auto& ref) { return ref.call == at->second.ref.call; });
  }
  if (const auto connection = at->second.established_on.lock()) --connection->established;
  if (at->second.established) {
    if (const auto server = servers_by_id_.find(at->second.ref.server); server != servers_by_id_.end())
      --server->second->established;
  }
  keys_by_call_.erase(at->second.ref.call);
  attempts_.erase(at);
}

ConnectionPool::Attempts::iterator ConnectionPool::find_attempt(const core::AttemptId& attempt) {
  const auto key = keys_by_call_.find(attempt.call);
  if (key == keys_by_call_.end()) return attempts_.end();
  const auto found = attempts_.find(key->second);
  if (found == attempts_.end() || found->second.ref.call != attempt.call ||
      found->second.ref.attempt != attempt.attempt) {
    return attempts_.end();
  }
  return found;
}

// ---- messages from servers -------------------------------------------------------------------------------

std::size_t ConnectionPool::on_connection_bytes(Connection& connection, std::span<char> bytes) {
  const auto keep_alive = connection.shared_from_this();
  connection.unanswered_since.reset();
  connection.stall_suspected_at.reset();
  connection.pinged_at.reset();
  connection.liveness.on_received(net::Loop::now());
  connection.server.last_received_at = net::Loop::now();
  // Only now is it certain that the server knows the connection and repeats its releases there.
  if (!std::exchange(connection.has_received, true)) {
    connection.server.releases_maybe_lost_since.reset();
    on_releases_repeated(connection.server, connection.connected_at);
  }
  std::size_t taken = 0;
  while (taken < bytes.size()) {
    const auto read = parse_sip_message({bytes.data() + taken, bytes.size() - taken}, net::kMaxMessageBytes);
    if (read.state == SipParseResult::State::kIncomplete) break;
    if (read.state == SipParseResult::State::kMalformed) {
      ++counters_.unreadable_messages;
      net::log::warn(malformed_log_limit_, "sip: cannot parse a message head from ",
                     servers_.find(connection.server.id)->name, ": connection closed");
      connection.stream->fail(net::CloseReason::kReset);
      return bytes.size();
    }
    on_message(connection, read);
    if (connection.stream->is_closed()) return bytes.size();
    taken += read.size();
  }
  if (taken == bytes.size()) {
    connection.partial_message_since.reset();
  } else if (taken > 0 || !connection.partial_message_since) {
    connection.partial_message_since = net::Loop::now();
  }
  return taken;
}

// A process that was restarted at the same address answers on new connections as the old one did, and does
// not know its calls. If all lines are free, the calls that were established before have ended.
void ConnectionPool::on_first_report(Connection& connection, const LoadReport& report) {
  auto& server = connection.server;
  server.reports_on_connect = true;
  const bool has_no_calls = report.free_lines && report.total_lines && *report.total_lines > 0 &&
                            *report.free_lines >= *report.total_lines;
  if (!has_no_calls || server.established == 0) return;
  table_.abort_calls_sent_before(server.id, connection.connected_at - kMaxReportAge,
                                 "server reports that all its lines are free");
}

void ConnectionPool::on_message(Connection& connection, const SipParseResult& read) {
  const auto& head = read.head;
  if (head.status != 0) {
    if (head.method == "INVITE") {
      on_invite_answer(connection, read);
    } else if (head.method == "OPTIONS") {
      if (head.status < 200) return;
      end_health_check(std::string(head.call_id), head.status < 300 ? Outcome::kOk : Outcome::kFull,
                       parse_load_report(head.occupancy));
    } else if (head.method == "BYE") {
      // A second copy of the answer must not confirm a later release of the same call.
      auto& pending = connection.pending_releases;
      const auto confirmed = std::find_if(pending.begin(), pending.end(),
                                          [&](const auto& release) { return release.id == head.call_id; });
      if (confirmed != pending.end()) pending.erase(confirmed);
    }
    return;
  }
  if (head.method == "NOTIFY") {
    if (connection.half_closed_at) return;  // it may be outdated, and newer reports came on other connections
    const auto report = parse_load_report(head.occupancy);
    if (!std::exchange(connection.has_reported, true)) on_first_report(connection, report);
    table_.on_load_report(connection.server.id, report);
  } else if (head.method == "BYE") {
    on_bye(connection, head);
  } else if (head.method != "ACK") {
    connection.stream->send(ok_response_head(head));
  }
}

void ConnectionPool::on_invite_answer(Connection& connection, const SipParseResult& read) {
  const auto& head = read.head;
  auto& server = connection.server;
  if (head.status < 200) return;
  const auto found = attempts_.find({server.id, std::string(head.call_id)});
  // Only the Call-ID and the method match an answer to its call: servers answer a second attempt with CSeq
  // number 1 too. The answer to the current attempt can arrive only on the connection of that attempt,
  // because closing a connection ends its set-ups. An answer on another connection is a second answer to an
  // earlier attempt of the call at this server.
  const bool is_current =
      found != attempts_.end() && !found->second.established && found->second.connection.get() == &connection;
  const SipCall call{head.call_id, is_current ? std::string_view(found->second.number) : "late",
                     std::max(head.sequence, 1U)};
  // Every final answer is acknowledged, also one that crosses a CANCEL or arrives after the timeout.
  connection.stream->send(request_head("ACK", call, own_name_));
  if (is_current && found->second.sent_at > server.last_answered_sent_at) {
    server.last_answered_sent_at = found->second.sent_at;
    server.last_answered_at = net::Loop::now();
  }
  if (head.status < 300) {
    // This is either a repeated answer for the established call, or an answer to an earlier attempt while a
    // later attempt is in flight. No release is sent, because it would end the call at the server in both
    // cases.
    if (!is_current && found != attempts_.end()) {
      ++counters_.second_answers;
      return;
    }
    const bool is_valid = core::is_session_description(read.body);
    if (is_current && is_valid) {
      const auto ref = found->second.ref;
      found->second.established = true;
      ++server.established;
      if (const auto connection_of_call = std::exchange(found->second.connection, nullptr)) {
        ++connection_of_call->established;
        found->second.established_on = connection_of_call;
        std::erase_if(connection_of_call->in_flight, [&](const auto& one) { return one.call == ref.call; });
      }
      if (table_.on_established(ref, read.body)) return;
      remove_attempt(find_attempt(ref));
    }
    const std::string id(head.call_id);
    auto release =
        request_head("BYE", {call.id, call.number, call.sequence + 1}, own_name_, core::Cause::kNormal);
    if (is_current && !is_valid) {
      // The server has set the call up but its description is malformed: the call is released, nothing is
      // passed on to the caller, and the connection is closed.
      ++counters_.malformed_answers;
      net::log::warn(malformed_log_limit_, "sip: malformed description from ", servers_.find(server.id)->name,
                     " in the answer to call ", id, ": call released and connection closed");
      const auto keep_alive = connection.shared_from_this();
      connection.stream->fail(net::CloseReason::kReset);
      send_release(server, id, std::move(release));
      return;
    }
    ++counters_.late_answers;
    net::log::info(late_answer_log_limit_, "sip: late answer from ", servers_.find(server.id)->name,
                   ": call released: ", call.id);
    // The attempt is over, so the call is released at the server and the answer is not passed on.
    if (connection.half_closed_at) {
      send_release(server, id, std::move(release));
    } else {
      connection.stream->send(std::move(release));
    }
    return;
  }
  if (!is_current) {
    ++counters_.second_answers;
    return;
  }
  const auto ref = found->second.ref;
  recently_ended_.push_back({ref.call, found->second.connection, net::Loop::now()});
  remove_attempt(found);
  core::AttemptEnd end;
  end.load = parse_load_report(head.occupancy);
  switch (head.status) {
    case 503:
      end.outcome = Outcome::kFull;
      end.retry_after = parse_retry_after(head.diagnosis, head.lag);
      break;
    case 480:
      end.outcome = Outcome::kNotSent;
      break;
    case 504:
      end.outcome = Outcome::kReset;
      break;
    default:
      end.outcome = Outcome::kError;
      end.is_caller_fault = head.diagnosis == "sub";
  }
  table_.on_attempt_ended(ref, end);
}

void ConnectionPool::on_bye(Connection& connection, const SipHead& head) {
  connection.stream->send(ok_response_head(head));
  const auto found = attempts_.find({connection.server.id, std::string(head.call_id)});
  if (found == attempts_.end()) {
    ++counters_.unknown_ids;  // normal: servers repeat a release on the next connection that opens
    return;
  }
  const auto ref = found->second.ref;
  const bool established = found->second.established;
  // A release on a half-closed connection for a call that is not established belongs to an earlier attempt,
  // whose answer was never received.
  if (connection.half_closed_at && !established) return;
  remove_attempt(found);
  const int cause = parse_q850_cause(head.reason).value_or(static_cast<int>(core::Cause::kNormal));
  const bool is_normal = cause == static_cast<int>(core::Cause::kNormal);
  core::AttemptEnd end;
  end.outcome = is_normal && established ? Outcome::kOk : Outcome::kReset;
  end.cause = static_cast<core::Cause>(cause);
  if (!connection.half_closed_at) end.load = parse_load_report(head.occupancy);
  table_.on_attempt_ended(ref, end);
}

}  // namespace amberknot::sip
