// The links to session servers that speak the session API (docs/session-api.md): what each speaks is asked
// when connecting, set-ups are put in that version's words, and what stands is followed on a stream of
// events.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "http2/body.hpp"
#include "http2/connection.hpp"
#include "net/log.hpp"
#include "settings/sse.hpp"
#include "translate/eligibility.hpp"
#include "translate/versions.hpp"

namespace amberknot::http2 {

class ConnectionPool : public core::UpstreamPool {
 public:
  /// Told when a server begins or ceases to take new calls, or speaks another version.
  using OnChange = std::function<void(ServerId server, bool started_anew)>;
  /// What the operator's file says that a server speaks; empty: it is asked.
  using Configured = std::function<std::optional<ProtocolVersion>(const std::string& server)>;

  ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                 core::Counters& counters, const net::ResourceLimits& bounds,
                 const translate::Translator& translator, Duration connect_limit, Duration max_stay_away,
                 Configured configured, OnChange on_change);
  ~ConnectionPool() override;

  void on_endpoint_changed(const core::Endpoint& listed) override;
  void forget_server(ServerId server) override;
  [[nodiscard]] bool is_available(ServerId server) const override;

  void set_up(const core::SetUp& set_up) override;
  bool cancel(const core::AttemptRef& attempt) override;
  void release(const core::AttemptRef& attempt, core::Cause cause) override;
  void forget(const core::AttemptRef& attempt) override;
  void check_health(ServerId server) override;

  [[nodiscard]] const translate::Versions& versions() const { return versions_; }

 private:
  using Key = Connection::Key;
  struct Conn;
  struct Server;
  /// One attempt that waits to leave, is out, or stands.
  struct Attempt {
    core::AttemptRef ref;
    std::string id;
    std::string body;
    ProtocolVersion version{};
    std::size_t client = 0;
    Conn* conn = nullptr;  ///< by which it left; null while it waits and once it stands
    Key key = 0;
    Instant sent{};
    int moved = 0;
    bool standing = false;
    std::optional<std::pair<Outcome, core::Cause>> over;  ///< its end came before its answer
  };
  enum class What : std::uint8_t { kSetUp, kRelease, kVersions, kEvents, kCheck, kProbe };
  /// A request that is out on some connection.
  struct Out {
    What what{};
    CallId call{};
    std::string id;
    Instant sent{};
    std::uint64_t connection = 0;  ///< its number
  };
  struct Release {
    core::Cause cause{};
    bool out = false;
    int tries = 0;
  };

  Server& of(ServerId id);
  void keep_warm(Server& server);
  void connect(Server& server);
  void pump(Server& server);
  Conn* pick(Server& server);
  void on_up(Conn& conn);
  void on_response(Conn& conn, Key key, Response& response);
  void on_failure(Conn& conn, Key key, Failure failure);
  bool on_chunk(Conn& conn, Key key, int status, std::string_view chunk);
  void on_down(Conn& conn, net::CloseReason why);
  void on_set_up_answer(Conn& conn, CallId call, Response& response);
  void on_event(Server& server, const settings::SseEvent& event);
  void session_over(Server& server, const std::string& id, Outcome outcome, core::Cause cause);
  void follow_events(Server& server);
  void again_events(Server& server);
  void check_sessions(Server& server);
  void delete_session(Server& server, const std::string& id, core::Cause cause);
  void release_out(Server& server, const std::string& id, bool confirmed);
  void take_back(Server& server);
  /// What waits has not left: it ends as moot.
  void end_waiting(Server& server);
  void stop_timers(const Server& server);
  /// A connection that was closed from here tells nothing: what was out on it is forgotten.
  void forget_out(Server& server, const Conn& conn);
  /// By value: it drops the attempt that the reference may belong to.
  void end(core::AttemptRef ref, core::AttemptEnd what);
  void end_later(core::AttemptRef ref, core::AttemptEnd what);
  void apply(translate::Versions::Actions actions);
  void look_at_versions();
  void drop(CallId call);
  Attempt* find(const core::AttemptRef& attempt);

  net::Loop& loop_;
  core::CallTable& table_;
  core::EndpointRegistry& servers_;
  core::Counters& counters_;
  net::ResourceLimits bounds_;
  const translate::Translator& translator_;
  Duration connect_limit_;
  Duration max_stay_away_;
  Configured configured_;
  OnChange on_change_;
  translate::Versions versions_;
  BodyReader reader_;
  translate::Record record_, said_;
  std::map<ServerId, std::unique_ptr<Server>> by_id_;
  std::unordered_map<CallId, Attempt> attempts_;
  std::map<std::pair<ServerId, std::string>, CallId> by_session_;
  std::unordered_map<Key, Out> out_;
  Key next_key_ = 1;
  std::uint64_t next_connection_ = 1;
  std::size_t connections_ = 0;
  core::TimerWheel::Handle look_ = 0;
  net::log::RateLimiter log_bad_, log_link_;
};

}  // namespace amberknot::http2
