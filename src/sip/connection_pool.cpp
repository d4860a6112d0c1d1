#include "sip/connection_pool.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "net/log.hpp"

namespace amberknot::sip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWarmConnections = 2;
constexpr std::size_t kMaxConnections = 4;  // a server tells its state on no more
constexpr Duration kMinBackoff = milliseconds{100};
constexpr Duration kMaxBackoff = seconds{1};
// A connection that ends sooner has not shown that the server takes connections again.
constexpr Duration kShortLifetime = milliseconds{500};
// A health check unanswered this long is reported as timed out: it waits in a queue or is lost.
constexpr Duration kHealthCheckTimeout = milliseconds{250};
// A release not confirmed when its connection is lost is told again, up to this age.
constexpr Duration kReleaseConfirmationTimeout = seconds{3};
// So long a server's release counts as told if it could not be sent before (PROTOCOL).
constexpr Duration kReleaseRetention = seconds{8};
constexpr std::size_t kMaxPendingReleases = 256;
// The start of a message whose rest does not come: the connection is cut.
constexpr Duration kHalfMessage = milliseconds{400};
// Set-ups sent so much later have been answered, and so long ago: what is out on a silent connection is lost.
constexpr Duration kStalledAfterSetUps = milliseconds{60};
constexpr Duration kStalledTimeout = milliseconds{60};
// The same while answers go on by other connections, or where all that was out on it has been cancelled.
// Cutting a connection loses the releases that are on their way in it, so it is cut late, and others are
// chosen meanwhile.
constexpr Duration kStallSuspicionTime = seconds{3};
constexpr Duration kWatchInterval = milliseconds{20};
// So many refusals in a row, and no connection left, show that no process listens there any more.
constexpr int kRefusalsOfDeath = 2;
// A second answer to an attempt may come some milliseconds after the first; by then it is long over.
constexpr Duration kSecondAnswer = seconds{1};
// A set-up given up when a part of it was written, and whose rest waits on a blocked connection: its client
// has left, and 0.3 s later nothing is sent on for it (STANDING). The connection is cut before.
constexpr Duration kPartialWriteTimeout = milliseconds{200};
// A connection may come up so long after its time (STANDING, join+mass: up to 1 s late). What waits on it is
// not kept so long; the connection is, since its server may have taken it for open before we see that, and
// told a release on it that it tells on no other.
constexpr Duration kLateConnectTimeout = seconds{1};
constexpr std::size_t kMaxLateConnections =
    2;  // a machine that is cut off must not hold the other servers' places
// A connection that we gave up is read on until its server closes it too, so long at least, and longer while
// calls stand that came by it: their releases are told there. Each holds a descriptor.
constexpr Duration kHalfClosedFor = kReleaseRetention;
constexpr std::size_t kMaxHalfClosed = 4;
// Until then another connection is opened so often: what is told by the one given up may be lost, a server
// tells it again on the next one that opens, and that one may meet the same fault. Several times within
// kReleaseRetention.
constexpr Duration kReopenInterval = seconds{2};
// A set-up that never left is moved from one lost connection to the next so many times.
constexpr int kMaxMoves = 3;

}  // namespace

/// One connection to a server, and what left by it.
struct ConnectionPool::Connection : net::TcpConnection::Owner, std::enable_shared_from_this<Connection> {
  Connection(ConnectionPool& all, Server& server) : all(all), server(server) {}
  void on_open(net::TcpConnection& /*stream*/) override { all.on_connection_open(*this); }
  void on_late(net::TcpConnection& /*stream*/) override { all.on_connection_late(*this); }
  std::size_t on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) override {
    return all.on_connection_bytes(*this, bytes);
  }
  void on_closed(net::TcpConnection& /*stream*/, net::CloseReason why) override {
    all.on_connection_closed(*this, why);
  }

  struct PendingRelease {
    std::string id;
    std::string text;
    Instant sent{};
  };
  ConnectionPool& all;
  Server& server;
  std::shared_ptr<net::TcpConnection> stream;
  std::vector<core::AttemptRef> in_flight;      ///< in the order in which they were queued
  std::deque<PendingRelease> pending_releases;  ///< not yet confirmed
  std::size_t established = 0;                  ///< calls that came by it and stand
  int moves = 0;                                ///< how often what waits on it has been moved, at most
  Instant connected_at{};
  bool is_late = false;               ///< not up in its time; nothing waits for it
  std::optional<Instant> half_since;  ///< the start of a message is there, and not its end
  /// When the first set-up left by it of all since which nothing has been heard on it. Outlives the set-up:
  /// one that was cancelled unanswered tells as much of the connection as one that is out.
  std::optional<Instant> unanswered_since;
  /// A set-up that was given up half written: the connection sends its rest, or is cut.
  std::optional<std::pair<net::TcpConnection::Tag, Instant>> partially_written;
  std::optional<Instant> half_closed_at;      ///< when we gave it up; nothing is sent by it any more
  std::optional<Instant> stall_suspected_at;  ///< when later set-ups by other connections had been answered

  [[nodiscard]] bool is_usable() const { return stream->is_open() && !half_since; }
  /// It may be stalled: other connections are to be preferred.
  [[nodiscard]] bool is_suspected_stalled() const {
    return stall_suspected_at || (unanswered_since && in_flight.empty());
  }
};

struct ConnectionPool::Server {
  explicit Server(ServerId id) : id(id) {}
  ServerId id;
  std::string address;
  bool is_wanted = false;
  std::vector<std::shared_ptr<Connection>> connections;  // connecting and open
  HalfClosed half_closed;
  std::size_t next_connection = 0;
  Duration backoff = kMinBackoff;
  core::TimerWheel::Handle retry = 0;
  int refusals = 0;         // in a row
  Instant answered_sent{};  // when the latest set-up that has been answered was sent
  Instant answered_at{};    // and since when that is known
  std::deque<std::pair<std::string, std::string>> pending;  // releases that no connection could take
  /// When a connection broke while calls were established: releases in it are told again on the next
  /// connection that opens, and only there (PROTOCOL). Empty: one has opened since.
  std::optional<Instant> releases_maybe_lost_since;
  Instant reopened_at{};  // when a connection was opened last since one that was given up is not closed by
                          // the server

  [[nodiscard]] std::size_t open_connections() const {
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(),
                      [](const auto& connection) { return connection->stream->is_open(); }));
  }
  /// Open, or coming up in their time.
  [[nodiscard]] std::size_t counted_connections() const {
    return static_cast<std::size_t>(std::count_if(
        connections.begin(), connections.end(), [](const auto& connection) { return !connection->is_late; }));
  }
};

ConnectionPool::ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                               core::Counters& counters, const net::ResourceLimits& bounds,
                               std::string own_name, Duration connect_limit)
    : loop_(loop),
      table_(table),
      servers_(servers),
      counters_(counters),
      bounds_(bounds),
      own_name_(std::move(own_name)),
      connect_limit_(connect_limit) {
  schedule_watch();
}

ConnectionPool::~ConnectionPool() {
  for (auto& [id, server] : by_id_) {
    for (auto& connection : server->connections) connection->stream->close();
    for (auto& connection : server->half_closed) connection->stream->close();
  }
}

ConnectionPool::Server& ConnectionPool::of(ServerId id) {
  auto& server = by_id_[id];
  if (!server) server = std::make_unique<Server>(id);
  return *server;
}

void ConnectionPool::on_endpoint_changed(const core::Endpoint& listed) {
  auto& server = of(listed.id);
  const bool moved = !server.address.empty() && server.address != listed.address;
  server.address = listed.address;
  std::vector<core::AttemptRef> back;
  if (listed.state != EndpointState::kReady || moved) {
    // The drain rule binds at the write: what still waits on a connecting or blocked socket never leaves. Nor
    // does it go to an address that the server has left.
    for (const auto& connection : server.connections) {
      for (const auto& ref : connection->in_flight) {
        if (connection->stream->take_back(tag(ref))) back.push_back(ref);
      }
    }
    counters_.withdrawn += back.size();
    for (const auto& ref : back) drop(find(ref));
  }
  server.is_wanted = listed.state != EndpointState::kRemoved;
  std::vector<std::shared_ptr<Connection>> closed;
  if (!server.is_wanted || moved) {
    closed = std::exchange(server.connections, {});
    connection_count_ -= closed.size() + server.half_closed.size();
    for (const auto& connection : closed) connection->stream->close();
    for (const auto& connection : std::exchange(server.half_closed, {})) connection->stream->close();
  }
  if (!server.is_wanted) {
    server.pending.clear();
    loop_.wheel.cancel(std::exchange(server.retry, 0));
  }
  if (server.is_wanted) open_warm_connections(server);
  // Told last: what ends is placed anew at once, and must not find the old connections.
  for (const auto& ref : back)
    table_.on_attempt_ended(ref, {Outcome::kNotSent, core::Cause::kOutOfOrder, false, {}});
  for (const auto& connection : closed) end_on(*connection, Outcome::kReset);
}

void ConnectionPool::forget_server(ServerId id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  auto& server = *found->second;
  loop_.wheel.cancel(server.retry);
  for (const auto& connection : server.connections) connection->stream->close();
  for (const auto& connection : server.half_closed) connection->stream->close();
  connection_count_ -= server.connections.size() + server.half_closed.size();
  std::vector<std::string> probes;
  for (const auto& [key, probe] : pending_health_checks_) {
    if (probe.server == id) probes.push_back(key);
  }
  for (const auto& key : probes) {
    loop_.wheel.cancel(pending_health_checks_.at(key).limit);
    pending_health_checks_.erase(key);
  }
  by_id_.erase(found);
}

// ---- connections --------------------------------------------------------------------------------------

void ConnectionPool::open_warm_connections(Server& server) {
  if (!server.is_wanted || server.retry != 0) return;
  const auto one_more = [&server] {
    if (server.connections.size() < kWarmConnections) return true;
    if (!server.releases_maybe_lost_since || server.counted_connections() >= kMaxConnections) return false;
    return server.open_connections() == server.counted_connections();  // else one is coming up already
  };
  while (one_more()) {
    const auto had = server.connections.size();
    connect(server);
    if (server.connections.size() == had) return;
  }
}

void ConnectionPool::connect(Server& server) {
  const auto to = net::read_endpoint(server.address);
  if (!to) {
    net::log::warn("server address cannot be read: ", server.address);
    return;
  }
  // The first connection to a server is not denied: the list of servers is short.
  if (connection_count_ >= bounds_.upstream_connections && !close_oldest_half_closed() &&
      !server.connections.empty())
    return;
  auto connection = std::make_shared<Connection>(*this, server);
  connection->stream = std::make_shared<net::TcpConnection>(loop_, *connection);
  server.connections.push_back(connection);
  ++connection_count_;
  connection->stream->connect(*to, connect_limit_, kLateConnectTimeout);
}

// The open connection with the fewest set-ups out, so that one malformed answer or reset takes few others
// along; with some out on each, one more is opened for those to come. Without an open connection one that is
// coming up, or a new one, backoff or not.
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
    const bool better = connection.get() == avoid || !best || rank(*connection) < rank(*best);
    // Closed by the server, and we have not read so far: what is written now would be reset unread.
    if (!better || !connection->is_usable() || connection->stream->has_ended()) continue;
    (connection.get() == avoid ? avoided : best) = connection;
  }
  ++server.next_connection;
  const bool room = server.counted_connections() < kMaxConnections;
  if (best) {
    if (!best->in_flight.empty() && server.is_wanted && server.retry == 0 && room) connect(server);
    return best;
  }
  const auto coming =
      std::find_if(server.connections.begin(), server.connections.end(), [](const auto& connection) {
        return !connection->is_late && !connection->stream->is_closed() && !connection->stream->is_open() &&
               !connection->half_since;
      });
  if (coming != server.connections.end()) return *coming;
  if (!avoided || room) connect(server);
  return server.connections.size() > count ? server.connections.back() : avoided;
}

const ConnectionPool::Connection* ConnectionPool::recently_ended_on(const core::AttemptRef& attempt) const {
  if (attempt.attempt == 0) return nullptr;
  for (auto one = over_.rbegin(); one != over_.rend(); ++one) {
    if (one->call != attempt.call) continue;
    if (const auto connection = one->connection.lock(); connection && connection->server.id == attempt.server)
      return connection.get();
  }
  return nullptr;
}

void ConnectionPool::on_connection_open(Connection& connection) {
  auto& server = connection.server;
  connection.connected_at = net::Loop::now();
  if (std::exchange(connection.is_late, false)) ++counters_.late_connections;
  server.refusals = 0;
  server.releases_maybe_lost_since.reset();
  net::log::debug("link up: ", servers_.find(server.id)->name);
  for (auto& [id, release] : std::exchange(server.pending, {}))
    send_release(server, std::move(id), std::move(release));
}

// What never left goes by another connection: it is no attempt's end. Only with nothing to go by is it one. A
// refusal, or silence for the whole time, says that there is nothing; a reset of a new connection does not.
void ConnectionPool::move_unsent(Connection& connection, bool dead) {
  auto& server = connection.server;
  auto unsent = connection.stream->take_unsent();
  const bool again = server.is_wanted && (server.open_connections() > 0 || !dead);
  std::vector<core::AttemptRef> withdrawn;
  for (auto& message : unsent) {
    if (message.tag == 0) continue;
    const auto ref = std::find_if(connection.in_flight.begin(), connection.in_flight.end(),
                                  [&](const auto& one) { return tag(one) == message.tag; });
    if (ref == connection.in_flight.end()) continue;
    const auto attempt = find(*ref);
    const auto other = again && connection.moves < kMaxMoves ? pick_connection(server) : nullptr;
    if (attempt == attempts_.end() || !other) {
      withdrawn.push_back(*ref);
      continue;
    }
    ++counters_.moved;
    other->moves = std::max(other->moves, connection.moves + 1);
    other->in_flight.push_back(*ref);
    attempt->second.connection = other;
    attempt->second.sent = net::Loop::now();
    if (!other->unanswered_since) other->unanswered_since = attempt->second.sent;
    connection.in_flight.erase(ref);
    other->stream->send(std::move(message.head), std::move(message.body), message.tag);
  }
  for (const auto& ref : withdrawn) {
    const auto attempt = find(ref);
    if (attempt == attempts_.end()) continue;
    drop(attempt);
    table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kTemporaryFailure, false, {}});
  }
}

void ConnectionPool::on_connection_late(Connection& connection) {
  auto& server = connection.server;
  const auto keep = connection.shared_from_this();
  net::log::debug("link late: ", servers_.find(server.id)->name);
  connection.is_late = true;
  connection.unanswered_since.reset();  // nothing left by it
  move_unsent(connection, true);
  end_on(connection, Outcome::kConnectFailed);
  for (auto& release : std::exchange(connection.pending_releases, {}))
    send_release(server, std::move(release.id), std::move(release.text));
  if (server.connections.size() - server.counted_connections() > kMaxLateConnections) {
    connection.stream->fail(net::CloseReason::kNeverUp);
    return;
  }
  // A server that tells releases on the next connection that opens may never see this one: another one is
  // opened.
  open_warm_connections(server);
}

void ConnectionPool::on_connection_closed(Connection& closed, net::CloseReason why) {
  if (closed.half_closed_at) {
    on_half_closed_end(closed, why);
    return;
  }
  auto& server = closed.server;
  const auto at = std::find_if(server.connections.begin(), server.connections.end(),
                               [&](const auto& connection) { return connection.get() == &closed; });
  if (at == server.connections.end()) return;
  const auto connection = *at;  // keeps it alive
  server.connections.erase(at);
  --connection_count_;
  on_lost(*connection, why);
}

void ConnectionPool::on_lost(Connection& connection, net::CloseReason why) {
  auto& server = connection.server;
  const Instant now = net::Loop::now();
  const bool was_up = connection.connected_at != Instant{};
  if (was_up) {
    net::log::info(connection_log_limit_, "link to ", servers_.find(server.id)->name, " ", name(why));
  } else {
    net::log::debug("no link to ", servers_.find(server.id)->name, ": ", name(why));
  }
  server.refusals = why == net::CloseReason::kRefused ? server.refusals + 1 : 0;

  move_unsent(connection, why == net::CloseReason::kRefused || why == net::CloseReason::kNeverUp);
  // A connection that was lost leaves what it carried in doubt.
  end_on(connection, was_up ? Outcome::kReset : Outcome::kConnectFailed);
  for (auto& release : std::exchange(connection.pending_releases, {})) {
    if (now - release.sent < kReleaseConfirmationTimeout)
      send_release(server, std::move(release.id), std::move(release.text));
  }
  // What stood has been cut, and nobody is left who could say so.
  if (server.refusals >= kRefusalsOfDeath && server.open_connections() == 0) {
    table_.abort_all(server.id, "connection refused");
  }
  const bool stands = has_established_calls_at(server.id);
  if (was_up && why != net::CloseReason::kEnded && stands) server.releases_maybe_lost_since = now;
  if (!stands ||
      (server.releases_maybe_lost_since && now - *server.releases_maybe_lost_since > kReleaseRetention))
    server.releases_maybe_lost_since.reset();
  // Callers are owed a release within 1 s: a pause that is longer, begun by another connection, is not waited
  // for.
  if (server.releases_maybe_lost_since) {
    loop_.wheel.cancel(std::exchange(server.retry, 0));
    server.backoff = kMinBackoff;
  }
  if (!server.is_wanted || server.retry != 0) return;
  if (was_up && now - connection.connected_at >= kShortLifetime) {
    server.backoff = kMinBackoff;
    open_warm_connections(server);
    return;
  }
  server.retry = loop_.after(server.backoff, [this, &server] {
    server.retry = 0;
    open_warm_connections(server);
  });
  server.backoff = std::min(server.backoff * 2, kMaxBackoff);
}

// A server tells a release on the connection of its set-up, and on the next one that opens. While what we
// said does not reach it, it takes a connection that we gave up for open, after the next one has opened too:
// closed at our side, its releases would be lost for good.
void ConnectionPool::half_close(Connection& connection, net::CloseReason why) {
  auto& server = connection.server;
  const auto keep = connection.shared_from_this();
  if (connection_count_ >= bounds_.upstream_connections || !connection.stream->is_open()) {
    connection.stream->fail(why);
    return;
  }
  if (server.half_closed.size() >= kMaxHalfClosed) close_half_closed(server, server.half_closed.begin());
  std::erase(server.connections, keep);
  server.half_closed.push_back(keep);
  connection.half_closed_at = net::Loop::now();
  on_lost(connection, why);
  connection.stream->close_output();
}

void ConnectionPool::on_half_closed_end(Connection& connection, net::CloseReason why) {
  auto& server = connection.server;
  std::erase(server.half_closed, connection.shared_from_this());
  --connection_count_;
  // It closed in its turn: all that it told by that connection has come. A reset may have overtaken some of
  // it.
  if (why == net::CloseReason::kEnded || !has_established_calls_at(server.id)) return;
  server.releases_maybe_lost_since = net::Loop::now();
  loop_.wheel.cancel(std::exchange(server.retry, 0));
  server.backoff = kMinBackoff;
  open_warm_connections(server);
}

ConnectionPool::HalfClosed::iterator ConnectionPool::close_half_closed(Server& server,
                                                                       HalfClosed::iterator at) {
  (*at)->stream->close();
  --connection_count_;
  return server.half_closed.erase(at);
}

bool ConnectionPool::close_oldest_half_closed() {
  Server* oldest = nullptr;
  for (const auto& [id, server] : by_id_) {
    if (server->half_closed.empty()) continue;
    const bool older = oldest == nullptr || server->half_closed.front()->half_closed_at <
                                                oldest->half_closed.front()->half_closed_at;
    if (older) oldest = server.get();
  }
  if (oldest == nullptr) return false;
  close_half_closed(*oldest, oldest->half_closed.begin());
  return true;
}

void ConnectionPool::close_useless_half_closed(Server& server, Instant now) {
  for (auto at = server.half_closed.begin(); at != server.half_closed.end();) {
    const auto& connection = **at;
    const bool is_useless = connection.established == 0 && now - *connection.half_closed_at > kHalfClosedFor;
    at = is_useless ? close_half_closed(server, at) : std::next(at);
  }
}

bool ConnectionPool::should_reopen(const Server& server, Instant now) {
  if (!server.is_wanted || now - server.reopened_at < kReopenInterval) return false;
  return std::any_of(server.half_closed.begin(), server.half_closed.end(), [now](const auto& connection) {
    return connection->established > 0 && now - *connection->half_closed_at >= kReopenInterval;
  });
}

// With as many connections as a server takes, one that carries nothing makes room.
void ConnectionPool::open_connection_for_releases(Server& server) {
  server.reopened_at = net::Loop::now();
  server.releases_maybe_lost_since = server.reopened_at;
  if (server.counted_connections() < kMaxConnections) {
    loop_.wheel.cancel(std::exchange(server.retry, 0));
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
  half_close(*connection, net::CloseReason::kEnded);
}

bool ConnectionPool::has_established_calls_at(ServerId server) const {
  return std::any_of(attempts_.begin(), attempts_.end(), [server](const auto& item) {
    return item.first.first == server && item.second.established;
  });
}

void ConnectionPool::end_on(Connection& connection, Outcome outcome) {
  const auto over = std::exchange(connection.in_flight, {});
  std::vector<std::string> probes;
  for (const auto& [id, probe] : pending_health_checks_) {
    if (probe.connection.get() == &connection) probes.push_back(id);
  }
  for (const auto& ref : over) {
    const auto attempt = find(ref);
    if (attempt == attempts_.end()) continue;
    drop(attempt);
    table_.on_attempt_ended(ref, {outcome, core::Cause::kTemporaryFailure, false, {}});
  }
  for (const auto& id : probes) {
    const auto found = pending_health_checks_.find(id);
    if (found == pending_health_checks_.end()) continue;
    // One lost connection says nothing of the server while others are open: it is asked again by one of them.
    auto& server = of(found->second.server);
    const auto other = server.open_connections() > 0 ? pick_connection(server) : nullptr;
    if (other) {
      found->second.connection = other;
      other->stream->send(options_head(id, own_name_));
    } else {
      end_health_check(id, Outcome::kConnectFailed, {});
    }
  }
}

// Guards against a connection that is open and serves no further use: its server has answered what was sent
// by other connections later, or a message on it has begun and does not end. What is out on it is lost, and
// held on to it would wait for its callers' whole patience.
bool ConnectionPool::is_stalled(const Connection& connection, Instant now) {
  if (connection.partially_written && now - connection.partially_written->second > kPartialWriteTimeout)
    return true;
  if (connection.half_since) return now - *connection.half_since > kHalfMessage;
  if (!connection.stream->is_open() || !connection.stall_suspected_at) return false;
  if (now - *connection.stall_suspected_at > kStallSuspicionTime) return true;
  return !connection.in_flight.empty() && now - connection.server.answered_at > kStalledTimeout;
}

// Silence counts from when the connection was up: until then a set-up waits for the connection.
void ConnectionPool::update_stall_detection(Connection& connection, Instant now) {
  if (!connection.unanswered_since || connection.stall_suspected_at) return;
  if (std::max(*connection.unanswered_since, connection.connected_at) + kStalledAfterSetUps <
      connection.server.answered_sent)
    connection.stall_suspected_at = now;
}

void ConnectionPool::schedule_watch() {
  loop_.after(kWatchInterval, [this] {
    const Instant now = net::Loop::now();
    std::vector<std::shared_ptr<Connection>> stalled;
    std::vector<Server*> to_reopen;
    for (const auto& [id, server] : by_id_) {
      close_useless_half_closed(*server, now);
      if (should_reopen(*server, now)) to_reopen.push_back(server.get());
      for (const auto& connection : server->connections) {
        update_stall_detection(*connection, now);
        if (connection->partially_written &&
            !connection->stream->is_unsent(connection->partially_written->first))
          connection->partially_written.reset();
        if (is_stalled(*connection, now)) stalled.push_back(connection);
        while (!connection->pending_releases.empty() &&
               now - connection->pending_releases.front().sent > kReleaseConfirmationTimeout)
          connection->pending_releases.pop_front();
      }
    }
    while (!over_.empty() && now - over_.front().at > kSecondAnswer) over_.pop_front();
    for (const auto& connection : stalled) {
      ++counters_.stalled_connections;
      net::log::warn(malformed_log_limit_, "link to ", servers_.find(connection->server.id)->name,
                     " is stuck: cut, with ", connection->in_flight.size(), " set-ups out");
      half_close(*connection, net::CloseReason::kReset);
    }
    for (auto* server : to_reopen) open_connection_for_releases(*server);
    schedule_watch();
  });
}

// ---- what the core asks ---------------------------------------------------------------------------------

void ConnectionPool::set_up(const core::SetUp& set_up) {
  auto& server = of(set_up.attempt.server);
  // Answers name their call and not their attempt: after one that had left the next goes by another
  // connection, by which no second or late answer to the first one comes.
  const auto connection = pick_connection(server, recently_ended_on(set_up.attempt));
  if (!connection) {
    asio::post(loop_.io, [this, ref = set_up.attempt] {
      table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kOutOfOrder, false, {}});
    });
    return;
  }
  Key key{server.id, std::string(set_up.id)};
  by_call_[set_up.attempt.call] = key;
  attempts_[std::move(key)] = {.ref = set_up.attempt,
                               .number = std::string(set_up.number),
                               .connection = connection,
                               .sent = net::Loop::now(),
                               .established = false,
                               .established_on = {}};
  connection->in_flight.push_back(set_up.attempt);
  if (!connection->unanswered_since) connection->unanswered_since = net::Loop::now();
  connection->stream->send(invite_head({set_up.id, set_up.number, set_up.attempt.attempt + 1}, own_name_,
                                       set_up.call_class, set_up.wait, set_up.description.size()),
                           std::string(set_up.description), tag(set_up.attempt));
}

bool ConnectionPool::cancel(const core::AttemptRef& attempt) {
  const auto found = find(attempt);
  if (found == attempts_.end()) return false;
  const auto connection = found->second.connection;
  const std::string number = found->second.number;
  const std::string id = found->first.second;
  drop(found);
  if (!connection || connection->stream->is_closed()) return false;
  if (connection->stream->take_back(tag(attempt))) {
    ++counters_.withdrawn;
    // It never left, so that no answer to it tells nothing of the connection.
    if (connection->in_flight.empty() && !connection->stall_suspected_at)
      connection->unanswered_since.reset();
    return true;
  }
  over_.push_back({attempt.call, connection, net::Loop::now()});
  if (connection->stream->is_unsent(tag(attempt)))
    connection->partially_written = {tag(attempt), net::Loop::now()};
  connection->stream->send(request_head("CANCEL", {id, number, attempt.attempt + 1}, own_name_));
  return false;
}

void ConnectionPool::release(const core::AttemptRef& attempt, core::Cause cause) {
  const auto found = find(attempt);
  if (found == attempts_.end()) return;
  std::string id = found->first.second;
  auto release = request_head("BYE", {id, found->second.number, attempt.attempt + 2}, own_name_, cause);
  auto& server = of(attempt.server);
  drop(found);
  send_release(server, std::move(id), std::move(release));
}

// A release that is lost leaves a call standing for good: it is kept until it is confirmed, and told again
// when its connection is lost before that.
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
  if (!server.is_wanted || server.pending.size() >= bounds_.waiting_of_one) return;
  server.pending.emplace_back(std::move(id), std::move(release));
  open_warm_connections(server);
}

void ConnectionPool::check_health(ServerId id) {
  auto& server = of(id);
  const auto connection = pick_connection(server);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next_health_check_id_++));
  PendingHealthCheck probe{id, connection, net::Loop::now(), 0};
  probe.limit = loop_.after(
      kHealthCheckTimeout, [this, key = std::string(text)] { end_health_check(key, Outcome::kTimeout, {}); });
  pending_health_checks_.emplace(text, std::move(probe));
  if (connection) connection->stream->send(options_head(text, own_name_));
}

void ConnectionPool::end_health_check(const std::string& id, Outcome outcome, const LoadReport& load) {
  const auto found = pending_health_checks_.find(id);
  if (found == pending_health_checks_.end()) return;
  const auto probe = std::move(found->second);
  pending_health_checks_.erase(found);
  loop_.wheel.cancel(probe.limit);
  table_.on_health_check_result(probe.server, outcome, net::Loop::now() - probe.sent, load);
}

void ConnectionPool::drop(Attempts::iterator at) {
  if (at == attempts_.end()) return;
  if (const auto& connection = at->second.connection) {
    std::erase_if(connection->in_flight, [&](const auto& ref) { return ref.call == at->second.ref.call; });
  }
  if (const auto connection = at->second.established_on.lock()) --connection->established;
  by_call_.erase(at->second.ref.call);
  attempts_.erase(at);
}

ConnectionPool::Attempts::iterator ConnectionPool::find(const core::AttemptRef& attempt) {
  const auto key = by_call_.find(attempt.call);
  if (key == by_call_.end()) return attempts_.end();
  const auto found = attempts_.find(key->second);
  if (found == attempts_.end() || found->second.ref.call != attempt.call ||
      found->second.ref.attempt != attempt.attempt) {
    return attempts_.end();
  }
  return found;
}

// ---- what the servers say -------------------------------------------------------------------------------

std::size_t ConnectionPool::on_connection_bytes(Connection& connection, std::span<char> bytes) {
  const auto keep = connection.shared_from_this();
  connection.unanswered_since.reset();
  connection.stall_suspected_at.reset();
  std::size_t taken = 0;
  while (taken < bytes.size()) {
    const auto read = read_sip({bytes.data() + taken, bytes.size() - taken}, net::kMaxMessage);
    if (read.state == SipRead::State::kMore) break;
    if (read.state == SipRead::State::kBad) {
      ++counters_.unreadable;
      net::log::warn(malformed_log_limit_, "unreadable head from ", servers_.find(connection.server.id)->name,
                     ": link closed");
      connection.stream->fail(net::CloseReason::kReset);
      return bytes.size();
    }
    on_message(connection, read);
    if (connection.stream->is_closed()) return bytes.size();
    taken += read.size();
  }
  if (taken == bytes.size()) {
    connection.half_since.reset();
  } else if (taken > 0 || !connection.half_since) {
    connection.half_since = net::Loop::now();
  }
  return taken;
}

void ConnectionPool::on_message(Connection& connection, const SipRead& read) {
  const auto& head = read.head;
  if (head.status != 0) {
    if (head.method == "INVITE") {
      on_invite_answer(connection, read);
    } else if (head.method == "OPTIONS") {
      if (head.status < 200) return;
      end_health_check(std::string(head.call_id), head.status < 300 ? Outcome::kOk : Outcome::kFull,
                       read_load_report(head.occupancy));
    } else if (head.method == "BYE") {
      std::erase_if(connection.pending_releases,
                    [&](const auto& release) { return release.id == head.call_id; });
    }
    return;
  }
  if (head.method == "NOTIFY") {
    if (connection.half_closed_at) return;  // it may be old, and the other connections have told what is new
    table_.on_load_report(connection.server.id, read_load_report(head.occupancy));
  } else if (head.method == "BYE") {
    on_bye(connection, head);
  } else if (head.method != "ACK") {
    connection.stream->send(ok_head(head));
  }
}

void ConnectionPool::on_invite_answer(Connection& connection, const SipRead& read) {
  const auto& head = read.head;
  auto& server = connection.server;
  if (head.status < 200) return;
  const auto found = attempts_.find({server.id, std::string(head.call_id)});
  // The Call-ID and the method tell whose answer it is, nothing else does: servers answer a second attempt
  // too with the number 1 in CSeq.
  // An answer comes by the connection of its attempt (PROTOCOL: a set-up is given up with its connection). By
  // another connection it is a second answer to an earlier attempt of the same call at this server.
  const bool current =
      found != attempts_.end() && !found->second.established && found->second.connection.get() == &connection;
  const SipCall call{head.call_id, current ? std::string_view(found->second.number) : "late",
                     std::max(head.sequence, 1U)};
  // Every final answer is acknowledged, also one that crossed our CANCEL or came after our patience.
  connection.stream->send(request_head("ACK", call, own_name_));
  if (current && found->second.sent > server.answered_sent) {
    server.answered_sent = found->second.sent;
    server.answered_at = net::Loop::now();
  }
  if (head.status < 300) {
    // The answer of the call that stands, repeated, or one to an earlier attempt while another is out: a
    // release would cut that call.
    if (!current && found != attempts_.end()) {
      ++counters_.second_answers;
      return;
    }
    const bool plausible = is_description(read.body);
    if (current && plausible) {
      const auto ref = found->second.ref;
      found->second.established = true;
      if (const auto by = std::exchange(found->second.connection, nullptr)) {
        ++by->established;
        found->second.established_on = by;
        std::erase_if(by->in_flight, [&](const auto& one) { return one.call == ref.call; });
      }
      if (table_.on_established(ref, read.body)) return;
      drop(find(ref));
    }
    const std::string id(head.call_id);
    auto release =
        request_head("BYE", {call.id, call.number, call.sequence + 1}, own_name_, core::Cause::kNormal);
    if (current && !plausible) {
      // It has run, and what it says is malformed: released there, and no part of it is passed on. The
      // connection carries nothing more.
      ++counters_.malformed_answers;
      net::log::warn(malformed_log_limit_, "spoilt answer of ", servers_.find(server.id)->name, " to ", id,
                     ": link closed");
      const auto keep = connection.shared_from_this();
      connection.stream->fail(net::CloseReason::kReset);
      send_release(server, id, std::move(release));
      return;
    }
    ++counters_.late_answers;
    net::log::info(late_answer_log_limit_, "late answer of ", servers_.find(server.id)->name,
                   " released: ", call.id);
    // Nobody waits for it any more: it is released, and no second answer is passed on.
    if (connection.half_closed_at) {
      send_release(server, id, std::move(release));
    } else {
      connection.stream->send(std::move(release));
    }
    return;
  }
  if (!current) {
    ++counters_.second_answers;
    return;
  }
  const auto ref = found->second.ref;
  over_.push_back({ref.call, found->second.connection, net::Loop::now()});
  drop(found);
  core::AttemptEnd end;
  end.load = read_load_report(head.occupancy);
  switch (head.status) {
    case 503:
      end.outcome = Outcome::kFull;
      end.retry_after = read_lag(head.diagnosis, head.lag);
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
  connection.stream->send(ok_head(head));
  const auto found = attempts_.find({connection.server.id, std::string(head.call_id)});
  if (found == attempts_.end()) {
    ++counters_.unknown_ids;  // a release is told again on the next connection that opens
    return;
  }
  const auto ref = found->second.ref;
  const bool established = found->second.established;
  // Of an earlier attempt of this call, which went by that connection and was answered unheard.
  if (connection.half_closed_at && !established) return;
  drop(found);
  const int cause = read_reason(head.reason).value_or(static_cast<int>(core::Cause::kNormal));
  const bool ok = cause == static_cast<int>(core::Cause::kNormal);
  core::AttemptEnd end;
  end.outcome = ok && established ? Outcome::kOk : Outcome::kReset;
  end.cause = static_cast<core::Cause>(cause);
  if (!connection.half_closed_at) end.load = read_load_report(head.occupancy);
  table_.on_attempt_ended(ref, end);
}

}  // namespace amberknot::sip
