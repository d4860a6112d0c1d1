// The connections to the session servers that speak SIP: some are kept warm to each, and every attempt knows
// the one it left by.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "net/log.hpp"
#include "net/stream.hpp"
#include "sip/codec.hpp"

namespace amberknot::sip {

class ConnectionPool : public core::UpstreamPool {
 public:
  ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                 core::Counters& counters, const net::ResourceLimits& bounds, std::string own_name,
                 Duration connect_limit);
  ~ConnectionPool() override;

  void on_endpoint_changed(const core::Endpoint& server) override;
  void forget_server(ServerId server) override;
  [[nodiscard]] std::size_t servers() const { return by_id_.size(); }

  void set_up(const core::SetUp& set_up) override;
  bool cancel(const core::AttemptRef& attempt) override;
  void release(const core::AttemptRef& attempt, core::Cause cause) override;
  void forget(const core::AttemptRef& attempt) override { drop(find(attempt)); }
  void check_health(ServerId server) override;

 private:
  struct Connection;
  struct Server;
  using HalfClosed =
      std::vector<std::shared_ptr<Connection>>;  ///< given up by us and read on, the first one first
  /// One attempt that is out, or a call that stands.
  struct Attempt {
    core::AttemptRef ref;
    std::string number;
    std::shared_ptr<Connection> connection;  ///< which it left by; null once it stands or that is lost
    Instant sent{};
    bool established = false;
    std::weak_ptr<Connection> established_on;  ///< once it stands
  };
  struct PendingHealthCheck {
    ServerId server{};
    std::shared_ptr<Connection> connection;
    Instant sent{};
    core::TimerWheel::Handle limit = 0;
  };
  using Key = std::pair<ServerId, std::string>;  ///< a Call-ID means a call only at its server
  struct KeyHash {
    std::size_t operator()(const Key& key) const {
      return std::hash<std::string>{}(key.second) * 31 + static_cast<std::size_t>(key.first);
    }
  };
  using Attempts = std::unordered_map<Key, Attempt, KeyHash>;

  Server& of(ServerId id);
  void open_warm_connections(Server& server);
  void connect(Server& server);
  /// `avoid`: not that connection, as long as there is another or one can be opened.
  std::shared_ptr<Connection> pick_connection(Server& server, const Connection* avoid = nullptr);
  /// The connection by which an attempt of the call went to that server and ended of late; null: none.
  [[nodiscard]] const Connection* recently_ended_on(const core::AttemptRef& attempt) const;
  void on_connection_open(Connection& connection);
  /// Its time to come up is over, and what waits on it is not kept; it may come up for others.
  void on_connection_late(Connection& connection);
  /// What never left by the connection goes by another one, or ends where nothing listens any more (`dead`).
  void move_unsent(Connection& connection, bool dead);
  void on_connection_closed(Connection& connection, net::CloseReason why);
  /// What a connection carried goes by others or ends, and others are opened in its place. It is listed no
  /// more.
  void on_lost(Connection& connection, net::CloseReason why);
  /// Gives a connection up that is open and serves no further use. Its server may not know of that for some
  /// time: until it closes too what it tells by that connection is heard.
  void half_close(Connection& connection, net::CloseReason why);
  void on_half_closed_end(Connection& connection, net::CloseReason why);
  HalfClosed::iterator close_half_closed(Server& server, HalfClosed::iterator at);
  /// Closes the one that was half-closed first, of all servers, for its descriptor; false: there is none.
  bool close_oldest_half_closed();
  void close_useless_half_closed(Server& server, Instant now);
  /// Whether a server has not closed for long what we gave up, and calls are established that came by it.
  static bool should_reopen(const Server& server, Instant now);
  /// Opens another connection: a server tells there what was not confirmed.
  void open_connection_for_releases(Server& server);
  std::size_t on_connection_bytes(Connection& connection, std::span<char> bytes);
  void on_message(Connection& connection, const SipRead& read);
  void on_invite_answer(Connection& connection, const SipRead& read);
  void on_bye(Connection& connection, const SipHead& head);
  void send_release(Server& server, std::string id, std::string release);
  [[nodiscard]] bool has_established_calls_at(ServerId server) const;
  void end_on(Connection& connection, Outcome outcome);
  void end_health_check(const std::string& id, Outcome outcome, const LoadReport& load);
  void schedule_watch();
  static void update_stall_detection(Connection& connection, Instant now);
  [[nodiscard]] static bool is_stalled(const Connection& connection, Instant now);
  Attempts::iterator find(const core::AttemptRef& attempt);
  void drop(Attempts::iterator at);
  static net::TcpConnection::Tag tag(const core::AttemptRef& attempt) {
    return (static_cast<net::TcpConnection::Tag>(attempt.call) << 8U) + attempt.attempt + 1;
  }

  net::Loop& loop_;
  core::CallTable& table_;
  core::EndpointRegistry& servers_;
  core::Counters& counters_;
  net::ResourceLimits bounds_;
  std::string own_name_;
  Duration connect_limit_;
  std::map<ServerId, std::unique_ptr<Server>> by_id_;
  Attempts attempts_;
  /// Attempts that ended of late, and by which connection they had left: a second or late answer may follow.
  struct Over {
    CallId call{};
    std::weak_ptr<Connection> connection;
    Instant at{};
  };
  std::deque<Over> over_;
  std::unordered_map<CallId, Key> by_call_;
  std::unordered_map<std::string, PendingHealthCheck> pending_health_checks_;
  std::uint64_t next_health_check_id_ = 1;
  std::size_t connection_count_ = 0;  ///< connecting and open, to all servers
  net::log::RateLimiter late_answer_log_limit_, malformed_log_limit_, connection_log_limit_;
};

}  // namespace amberknot::sip
