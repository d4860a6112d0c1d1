// Connection pool for the session servers that speak SIP. A few connections to each server are kept open, and
// every attempt records the connection it was sent on.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/server_liveness.hpp"
#include "net/log.hpp"
#include "net/stream.hpp"
#include "sip/codec.hpp"

namespace amberknot::sip {

/// Sends set-ups, cancels, releases and health checks to the SIP servers, and reports the outcomes to the
/// call table. Runs on the thread of the event loop.
class ConnectionPool : public core::UpstreamPool {
 public:
  /// `own_name` goes into the Via header; a connection not open after `connect_timeout` takes no set-ups.
  /// `settings` say whether servers may be sent health checks.
  ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                 core::Counters& counters, const net::ResourceLimits& limits, const Settings& settings,
                 std::string own_name, Duration connect_timeout);
  ~ConnectionPool() override;

  void on_endpoint_changed(const core::Endpoint& server) override;
  void forget_server(ServerId server) override;
  /// Number of servers known to the pool.
  [[nodiscard]] std::size_t servers() const { return servers_by_id_.size(); }

  void set_up(const core::OutgoingSetUp& set_up) override;
  bool cancel(const core::AttemptId& attempt) override;
  void release(const core::AttemptId& attempt, core::Cause cause) override;
  void forget_attempt(const core::AttemptId& attempt) override { remove_attempt(find_attempt(attempt)); }
  void check_health(ServerId server) override;

 private:
  struct Connection;
  struct Server;
  /// Connections that the router has stopped sending on, oldest first.
  using HalfClosed = std::vector<std::shared_ptr<Connection>>;
  /// An attempt in flight or an established call.
  struct Attempt {
    core::AttemptId ref;
    std::string number;
    /// The connection it was sent on; null once the call is established or the connection is lost.
    std::shared_ptr<Connection> connection;
    Instant sent_at{};
    bool established = false;
    std::weak_ptr<Connection> established_on;  ///< the connection of an established call
  };
  struct PendingHealthCheck {
    ServerId server{};
    std::shared_ptr<Connection> connection;
    Instant sent_at{};
    core::TimerWheel::Handle timeout_timer = 0;
  };
  using AttemptKey = std::pair<ServerId, std::string>;  ///< a Call-ID is unique only within one server
  struct AttemptKeyHash {
    std::size_t operator()(const AttemptKey& key) const {
      return std::hash<std::string>{}(key.second) * 31 + static_cast<std::size_t>(key.first);
    }
  };
  using Attempts = std::unordered_map<AttemptKey, Attempt, AttemptKeyHash>;

  /// Returns the entry of a server, which is created if there is none.
  Server& find_or_create_server(ServerId id);
  void open_warm_connections(Server& server);
  void connect(Server& server);
  /// Returns null if no connection can be opened. `avoid` is returned only if there is no other connection
  /// and none can be opened.
  std::shared_ptr<Connection> pick_connection(Server& server, const Connection* avoid = nullptr);
  /// Returns the connection that a recent attempt of the call at that server was sent on, or null.
  [[nodiscard]] const Connection* connection_of_ended_attempt(const core::AttemptId& attempt) const;
  void on_connection_open(Connection& connection);
  /// The connect timeout has expired. Set-ups that wait for the connection are moved to other connections.
  /// The connect may still complete; later set-ups may then use the connection.
  void on_connect_timeout(Connection& connection);
  /// Moves set-ups that were never written to other connections. Ends a set-up if no connection can take it.
  /// All of them end if the server is not listed, if it `is_unreachable` and has no open connection, or if a
  /// set-up on the connection has already been moved kMaxMoves times.
  void move_unsent_set_ups(Connection& connection, bool is_unreachable);
  void on_connection_closed(Connection& connection, net::CloseReason reason);
  /// Moves or ends everything that was in flight on a connection that is already removed from its server, and
  /// opens others in its place.
  void on_connection_lost(Connection& connection, net::CloseReason reason);
  /// Stops sending on a connection that is open but unusable. The server may not notice for some time; until
  /// it closes the connection too, messages on it are still handled.
  void half_close(Connection& connection, net::CloseReason reason);
  /// Ends the calls of a server that was silent for long before it reset a connection.
  void on_reset(Server& server);
  void on_half_closed_end(Connection& connection, net::CloseReason reason);
  HalfClosed::iterator close_half_closed(Server& server, HalfClosed::iterator at);
  /// Closes the oldest half-closed connection of all servers to free its descriptor. Returns false if there
  /// is none.
  bool close_oldest_half_closed();
  void close_expired_half_closed(Server& server, Instant now);
  /// Whether a half-closed connection with established calls has been left open by the server for a long
  /// time.
  static bool should_reopen(const Server& server, Instant now);
  /// A connection that opened at `opened_at` is known to its server, which repeats unconfirmed releases
  /// there: whatever was released before that will be received.
  static void on_releases_repeated(Server& server, Instant opened_at);
  /// The connection is closed: its established calls depend on the next one that opens.
  static void detach_calls(Server& server, const Connection& connection);
  /// Probes paths that are silent while calls depend on them, and releases the calls if the silence lasts.
  void check_silent_paths(Server& server, Instant now);
  /// Sends an OPTIONS on a connection that has been silent for long while calls established on it are active.
  void ping(Connection& connection, Instant now);
  [[nodiscard]] std::string new_health_check_id();
  /// Opens another connection, on which the server repeats its unconfirmed releases.
  void open_connection_for_releases(Server& server);
  std::size_t on_connection_bytes(Connection& connection, std::span<char> bytes);
  /// Handles the first load report on a connection.
  void on_first_report(Connection& connection, const LoadReport& report);
  void on_message(Connection& connection, const SipParseResult& read);
  void on_invite_answer(Connection& connection, const SipParseResult& read);
  void on_bye(Connection& connection, const SipHead& head);
  void send_release(Server& server, std::string id, std::string release);
  /// The same for a release that was sent or kept before, unless a later attempt of the call is at the
  /// server.
  void resend_release(Server& server, std::string id, std::string release);
  void end_attempts_on(Connection& connection, Outcome outcome);
  void end_health_check(const std::string& id, Outcome outcome, const LoadReport& load);
  void schedule_check();
  static void update_stall_detection(Connection& connection, Instant now);
  [[nodiscard]] static bool is_stalled(const Connection& connection, Instant now);
  Attempts::iterator find_attempt(const core::AttemptId& attempt);
  void remove_attempt(Attempts::iterator at);
  static net::TcpConnection::Tag attempt_tag(const core::AttemptId& attempt) {
    return (static_cast<net::TcpConnection::Tag>(attempt.call) << 8U) + attempt.attempt + 1;
  }

  net::Loop& loop_;
  core::CallTable& table_;
  core::EndpointRegistry& servers_;
  core::Counters& counters_;
  net::ResourceLimits limits_;
  const Settings& settings_;
  std::string own_name_;
  Duration connect_timeout_;
  std::map<ServerId, std::unique_ptr<Server>> servers_by_id_;
  Attempts attempts_;
  /// Attempts that ended recently and the connections they were sent on; a second or late answer may follow.
  struct EndedAttempt {
    CallId call{};
    std::weak_ptr<Connection> connection;
    Instant ended_at{};
  };
  std::deque<EndedAttempt> recently_ended_;
  std::unordered_map<CallId, AttemptKey> keys_by_call_;
  std::unordered_map<std::string, PendingHealthCheck> pending_health_checks_;
  std::uint64_t next_health_check_id_ = 1;
  std::size_t connection_count_ = 0;  ///< connecting, open and half-closed, to all servers
  net::log::RateLimiter late_answer_log_limit_, malformed_log_limit_, connection_log_limit_,
      connect_log_limit_;
};

}  // namespace amberknot::sip
