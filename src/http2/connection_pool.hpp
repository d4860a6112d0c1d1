// Connections to the session servers that speak the session API (docs/session-api.md). Asks each server on
// connecting which versions it speaks, sends set-ups in that version, and follows established sessions on the
// server's event stream.
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
#include "core/server_liveness.hpp"
#include "http2/body.hpp"
#include "http2/connection.hpp"
#include "net/log.hpp"
#include "settings/sse.hpp"
#include "translate/eligibility.hpp"
#include "translate/versions.hpp"

namespace amberknot::http2 {

/// The upstream pool for servers of the session API. All methods are called on the thread of the event loop.
class ConnectionPool : public core::UpstreamPool {
 public:
  /// Called when a server starts or stops taking new calls, or speaks another version than before.
  /// `restarted` tells whether the server's process has restarted; this pool always passes false.
  using OnChange = std::function<void(ServerId server, bool restarted)>;
  /// Returns the version that the operator file (app::OperatorFile::session_api) sets for a server, or
  /// nullopt if the server has to be asked.
  using ConfiguredVersion = std::function<std::optional<ProtocolVersion>(const std::string& server)>;

  /// `max_retry_after` caps the Retry-After that a server asks for.
  ConnectionPool(net::Loop& loop, core::CallTable& call_table, core::EndpointRegistry& endpoints,
                 core::Counters& counters, const net::ResourceLimits& resource_limits,
                 const translate::Translator& translator, Duration connect_timeout, Duration max_retry_after,
                 ConfiguredVersion configured_version, OnChange on_change);
  ~ConnectionPool() override;

  void on_endpoint_changed(const core::Endpoint& endpoint) override;
  void forget_server(ServerId server) override;
  [[nodiscard]] bool is_available(ServerId server) const override;

  void set_up(const core::OutgoingSetUp& set_up) override;
  bool cancel(const core::AttemptId& attempt) override;
  void release(const core::AttemptId& attempt, core::Cause cause) override;
  void forget_attempt(const core::AttemptId& attempt) override;
  void check_health(ServerId server) override;

  /// Which version each server speaks.
  [[nodiscard]] const translate::Versions& versions() const { return versions_; }

 private:
  using RequestKey = Connection::RequestKey;
  struct PooledConnection;
  struct Server;
  /// How a session ended at its server.
  struct SessionEnd {
    Outcome outcome{};
    core::Cause cause{};
  };
  /// An attempt whose set-up waits or is outstanding, or whose session is established.
  struct Attempt {
    core::AttemptId ref;
    std::string id;
    std::string body;
    ProtocolVersion version{};
    std::size_t client_dialect = 0;
    PooledConnection* pooled = nullptr;  ///< while the set-up is outstanding: the connection it was sent on
    RequestKey request_key = 0;
    Instant sent_at{};
    bool established = false;
    /// Set if an event has reported the session's end and this has yet to be acted upon.
    std::optional<SessionEnd> reported_end;
  };
  enum class RequestKind : std::uint8_t { kSetUp, kRelease, kVersions, kEvents, kCheckSession, kHealthCheck };
  /// A request that has been handed to a connection and has not ended.
  struct OutstandingRequest {
    RequestKind kind{};
    CallId call{};              ///< kSetUp
    std::uint32_t attempt = 0;  ///< kCheckSession; the id is shared by all attempts of a call
    std::string id;             ///< session; kSetUp, kRelease and kCheckSession
    Instant sent_at{};
    std::uint64_t connection_number = 0;
  };
  /// The connection on which a set-up was sent.
  struct SetUpConnection {
    std::uint64_t number = 0;  ///< of the connection; 0 if unknown
    Instant sent_at{};
  };
  /// A release that the server has not confirmed. As long as there is one, no set-up with the same id is sent
  /// to the server: the release, or a repetition of it, would end the new session.
  struct PendingRelease {
    core::Cause cause{};
    SetUpConnection set_up;    ///< of the attempt that is released
    bool outstanding = false;  ///< a DELETE request has been sent and has not ended
    int attempts = 0;
    Instant requested_at{};
  };

  /// What a server's answer to a versions request says.
  struct VersionsAnswer {
    std::vector<translate::DialectIndex> supported;
    std::string process;  ///< empty if the process has no name
  };

  /// Adds the server if the pool does not have it.
  Server& find_or_add_server(ServerId id);
  void maintain_connections(Server& server);
  void connect(Server& server);
  void send_waiting(Server& server);
  /// Sends the releases that wait, while connections have capacity.
  void send_releases(Server& server);
  /// Sends the set-ups that wait, except those whose id has a pending release. Returns whether some need
  /// another connection.
  bool send_set_ups(Server& server);
  void send_set_up(Attempt& attempt, PooledConnection& pooled);
  /// Returns the connection with the fewest outstanding requests, or null if none has capacity. The
  /// connection `avoided` is used only if there is no other.
  PooledConnection* pick_connection(Server& server, std::uint64_t avoided = 0);
  /// Returns the connection for a release, or null if none has capacity.
  PooledConnection* pick_release_connection(Server& server, const PendingRelease& release);
  void on_up(PooledConnection& pooled);
  void on_response(PooledConnection& pooled, RequestKey key, Response& response);
  void on_failure(PooledConnection& pooled, RequestKey key, Failure failure);
  bool on_chunk(PooledConnection& pooled, RequestKey key, int status, std::string_view chunk);
  void on_down(PooledConnection& pooled, net::CloseReason reason);
  /// Closes all connections to the server and ends the attempts on them.
  void close_connections(Server& server);
  void on_set_up_answer(PooledConnection& pooled, CallId call, Response& response);
  void on_event(Server& server, const settings::SseEvent& event);
  /// `first` is the first connection that names the new process, `previous_since` when the process before it
  /// was first connected to.
  void on_process_replaced(PooledConnection& first, Instant previous_since);
  void on_events_numbered_anew(Server& server);
  /// An event reports the end of a session.
  void on_end_reported(Server& server, const std::string& id, SessionEnd end);
  /// The server has answered whether it holds a session.
  void on_session_checked(Server& server, const OutstandingRequest& request, int status);
  void check_session(Server& server, const std::string& id);
  void open_event_stream(Server& server);
  void reopen_event_stream(Server& server);
  /// Asks the server for each session that it is to hold, whether it still does.
  void check_all_sessions(Server& server);
  void check_sessions(Server& server);
  void delete_session(Server& server, const std::string& id, core::Cause cause);
  /// The same for an attempt whose set-up was sent on that connection.
  void delete_session(Server& server, const std::string& id, core::Cause cause, SetUpConnection set_up);
  /// Returns whether the release is over: confirmed, or given up after too many attempts.
  bool on_release_ended(Server& server, const std::string& id, bool confirmed);
  void withdraw_set_ups(Server& server);
  /// Ends all attempts whose set-up still waits, with the outcome kNotSent.
  void end_waiting(Server& server);
  void cancel_timers(const Server& server);
  /// Removes the requests that are outstanding on a connection that the pool has closed: Connection::close()
  /// reports no failures for them.
  void forget_outstanding(Server& server, const PooledConnection& pooled);
  /// Takes the reference by value because it may belong to the attempt that is removed.
  void end_attempt(core::AttemptId ref, core::AttemptEnd attempt_end);
  /// Releases a session that may be established, and ends its attempt with an error.
  void release_and_end(Server& server, const Attempt& attempt, core::Cause cause,
                       const core::ErrorClassification& meaning);
  void end_attempt_later(core::AttemptId ref, core::AttemptEnd attempt_end);
  /// Describes a request that is handed to a connection now; `id` is that of its session, if it has one.
  static OutstandingRequest make_outstanding(RequestKind kind, const PooledConnection& pooled,
                                             std::string id = {});
  void request_versions(PooledConnection& pooled);
  void on_versions_answer(PooledConnection& pooled, Response& response);
  /// Returns nothing if the answer says nothing about versions.
  std::optional<VersionsAnswer> read_versions_answer(const Server& server, Response& response);
  void apply_version_actions(translate::Versions::Actions actions);
  void schedule_version_tick();
  /// Gives up the sessions of servers from which nothing has been received for too long.
  void check_silent_servers();
  void schedule_silence_check();
  void remove_attempt(CallId call);
  Attempt* find_attempt(const core::AttemptId& ref);

  net::Loop& loop_;
  core::CallTable& call_table_;
  core::EndpointRegistry& endpoints_;
  core::Counters& counters_;
  net::ResourceLimits resource_limits_;
  const translate::Translator& translator_;
  Duration connect_timeout_;
  Duration max_retry_after_;
  ConfiguredVersion configured_version_;
  OnChange on_change_;
  translate::Versions versions_;
  BodyReader reader_;
  translate::Record record_, translated_;  // reused for each message
  std::map<ServerId, std::unique_ptr<Server>> servers_by_id_;
  std::unordered_map<CallId, Attempt> attempts_;
  std::map<std::pair<ServerId, std::string>, CallId> calls_by_session_;
  std::unordered_map<RequestKey, OutstandingRequest> outstanding_;
  RequestKey next_key_ = 1;
  std::uint64_t next_connection_number_ = 1;
  std::size_t connection_count_ = 0;
  core::TimerWheel::Handle version_timer_ = 0;
  core::TimerWheel::Handle silence_timer_ = 0;
  net::log::RateLimiter invalid_message_log_, connection_log_;
};

}  // namespace amberknot::http2
