// Connections to the session servers that speak Diameter: one connection for each server, on which each call
// is a Credit-Control session. A server gets calls only while its connection is up and its watchdog is
// answered.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/server_liveness.hpp"
#include "diameter/peer.hpp"
#include "net/log.hpp"

namespace amberknot::diameter {

/// The Diameter connections to all session servers. It lives in the loop's thread.
class ConnectionPool : public core::UpstreamPool {
 public:
  /// Called when a server becomes available or unavailable for new calls, or has restarted.
  using OnChange = std::function<void(ServerId server, bool has_restarted)>;

  ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                 core::Counters& counters, Identity& identity, Duration connect_timeout, OnChange on_change);
  ~ConnectionPool() override;

  void on_endpoint_changed(const core::Endpoint& server) override;
  void forget_server(ServerId server) override;
  [[nodiscard]] bool is_available(ServerId server) const override;
  void shut_down() override;

  void set_up(const core::OutgoingSetUp& set_up) override;
  bool cancel(const core::AttemptId& attempt) override;
  void release(const core::AttemptId& attempt, core::Cause cause) override;
  void forget_attempt(const core::AttemptId& attempt) override;
  void check_health(ServerId server) override;

 private:
  struct Server;
  /// An attempt to set up a call at a server, and the session that results from it.
  struct Attempt {
    core::AttemptId ref;
    std::string session_id;
    std::uint32_t hop_by_hop = 0;
    bool is_established = false;
  };

  /// Returns the entry of a server, which is created if there is none.
  Server& find_or_add(ServerId id);
  void connect(Server& server);
  /// Discards what is known of the process that ran before the one that started at `started`.
  void forget_process(Server& server, std::optional<Instant> started) const;
  /// Returns the attempt, or null if it is over.
  Attempt* find_attempt(Server& server, const core::AttemptId& attempt);
  /// Removes the attempt of a call without a message to anyone.
  void erase_attempt(Server& server, CallId call);
  /// Removes an attempt and ends its session at the server.
  void end_session(Server& server, const Attempt& attempt);
  /// Ends a session at its server: now, or when the connection is up again.
  void terminate_session(Server& server, const std::string& session_id);
  /// Withdraws all set-up requests that are queued but not written yet.
  void withdraw_queued(Server& server);
  /// Ends all attempts that the server has not answered.
  void end_unanswered(Server& server, Outcome outcome);
  void on_answer(Server& server, const Message& message);
  /// Handles an answer to a request that is not outstanding: a second copy, or an answer that comes late.
  void on_unexpected_answer(Server& server, const Message& message, Outcome outcome);
  /// Ends the attempt that a malformed answer belongs to. Its session may be established and is terminated.
  void on_malformed_answer(Server& server, const Message& message);
  void fail_malformed_attempt(Server& server, const Attempt& attempt, const char* fault);
  void on_abort(Server& server, const Message& message);
  /// Probes servers that are silent while sessions are established there, and gives up those sessions when
  /// the silence lasts.
  void check_silent_servers();
  void probe(Server& server);
  void schedule_silence_check();
  /// Returns the tag with which an attempt's request is queued, so that it can be withdrawn.
  static net::TcpConnection::Tag tag(const core::AttemptId& attempt) {
    return (static_cast<net::TcpConnection::Tag>(attempt.call) << 8U) + attempt.attempt + 1;
  }

  net::Loop& loop_;
  core::CallTable& table_;
  core::EndpointRegistry& servers_;
  core::Counters& counters_;
  Identity& identity_;
  Duration connect_timeout_;
  OnChange on_change_;
  std::map<ServerId, std::unique_ptr<Server>> servers_by_id_;
  core::TimerWheel::Handle silence_timer_ = 0;
  net::log::RateLimiter malformed_log_limit_, second_answer_log_limit_;
};

}  // namespace amberknot::diameter
