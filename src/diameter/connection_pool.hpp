// The links to the session servers that speak Diameter: one peer connection each, Credit-Control sessions
// on it. A server is used only while its peer is up and answers its watchdog.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "diameter/peer.hpp"

namespace amberknot::diameter {

class ConnectionPool : public core::UpstreamPool {
 public:
  /// Told when a server begins or ceases to take new calls, or has started anew.
  using OnChange = std::function<void(ServerId server, bool started_anew)>;

  ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                 core::Counters& counters, Identity& identity, Duration connect_limit, OnChange on_change);
  ~ConnectionPool() override;

  void on_endpoint_changed(const core::Endpoint& server) override;
  void forget_server(ServerId server) override;
  [[nodiscard]] bool is_available(ServerId server) const override;
  void shut_down() override;

  void set_up(const core::SetUp& set_up) override;
  bool cancel(const core::AttemptRef& attempt) override;
  void release(const core::AttemptRef& attempt, core::Cause cause) override;
  void forget(const core::AttemptRef& attempt) override;
  void check_health(ServerId server) override;

 private:
  struct Server;
  struct Attempt {
    core::AttemptRef ref;
    std::string session;
    std::uint32_t hop_by_hop = 0;
    bool standing = false;
  };

  Server& of(ServerId id);
  void connect(Server& server);
  Attempt* find(Server& server, const core::AttemptRef& attempt);
  void drop(Server& server, CallId call);
  void terminate(Server& server, const std::string& session);
  void take_back(Server& server);
  void end_out(Server& server, Outcome outcome);
  void on_answer(Server& server, const Message& message);
  void on_abort(Server& server, const Message& message);
  static net::TcpConnection::Tag tag(const core::AttemptRef& attempt) {
    return (static_cast<net::TcpConnection::Tag>(attempt.call) << 8U) + attempt.attempt + 1;
  }

  net::Loop& loop_;
  core::CallTable& table_;
  core::EndpointRegistry& servers_;
  core::Counters& counters_;
  Identity& identity_;
  Duration connect_limit_;
  OnChange on_change_;
  std::map<ServerId, std::unique_ptr<Server>> by_id_;
};

}  // namespace amberknot::diameter
