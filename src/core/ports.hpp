// The interfaces through which the core uses frontends (towards callers) and upstream pools (towards
// servers). The core itself depends on no protocol and no socket. All functions are called on the event
// loop's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"
#include "core/graceful_shutdown.hpp"
#include "core/reason.hpp"

namespace amberknot::core {

struct Endpoint;

/// Q.850 cause values that releases carry.
enum class Cause : int {
  kNormal = 16,
  kBusy = 17,
  kNoCircuit = 34,
  kOutOfOrder = 38,
  kTemporaryFailure = 41,
  kCongestion = 42,
  kInvalidContents = 100,
  kTimerExpiry = 102,
};

/// Identifies one attempt to set up a call at a server.
struct AttemptId {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId server{};
};

/// A set-up request as parsed by its frontend, for upstream pools that need more than the fields of
/// OutgoingSetUp. The core passes it on without reading it.
class ProtocolMessage {
 public:
  virtual ~ProtocolMessage() = default;
};

/// The set-up of one attempt, with the fields that are passed unchanged from the caller to the server.
struct OutgoingSetUp {
  AttemptId attempt;
  std::string_view id;  ///< 16 hex digits
  std::string_view call_class;
  std::string_view number;
  std::string_view description;
  Duration answer_timeout{};                 ///< how long to wait for an answer
  const ProtocolMessage* message = nullptr;  ///< null if the frontend keeps no parsed request
};

/// Sends answers and releases to callers.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  /// Answers a call that its server has accepted. Returns false if this protocol cannot carry the answer; the
  /// core then fails the call.
  virtual bool answer(CallId call, std::string_view description) = 0;
  /// Rejects a call, which the caller may safely retry after `retry_after`; zero gives no advice.
  virtual void reject(CallId call, Reason reason, Duration retry_after) = 0;
  /// Fails a call; it is not known whether a retry is safe.
  virtual void fail(CallId call, Reason reason) = 0;
  /// Tells the caller that an established call has ended.
  virtual void release(CallId call, Cause cause) = 0;
};

/// Sends set-ups, cancels and releases to servers. An implementation must not call back into the core from
/// within one of these functions.
class ServerPort {
 public:
  virtual ~ServerPort() = default;
  /// Sends a set-up to its server.
  virtual void set_up(const OutgoingSetUp& set_up) = 0;
  /// Cancels an attempt in flight. Returns true if no byte of its set-up has been or will be written, so that
  /// the server never sees it.
  virtual bool cancel(const AttemptId& attempt) = 0;
  /// Releases an established call at its server.
  virtual void release(const AttemptId& attempt, Cause cause) = 0;
  /// Drops the state of an attempt that has ended, without sending anything, because the server has ended
  /// it itself or is lost.
  virtual void forget_attempt(const AttemptId& attempt) = 0;
  /// Sends a health check to a server.
  virtual void check_health(ServerId server) = 0;
};

/// Serves the callers of one protocol: listener, connections and sessions.
class Frontend : public ClientPort {
 public:
  /// The address on which it listens for callers, as host:port.
  [[nodiscard]] virtual std::string listen_address() const = 0;
  /// Number of open connections from callers.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  /// Returns whether no set-up is still arriving (unread, partly read, or on a connection not yet accepted)
  /// and no message is waiting to be written. May accept pending connections.
  [[nodiscard]] virtual bool is_settled() { return true; }
  /// Called when the process exits. Notifies every peer if the protocol has a message for that.
  virtual void shut_down() {}
  /// Returns, after shut_down(), whether every peer has closed its connection too.
  [[nodiscard]] virtual bool is_closed() const { return true; }
  /// Drains this frontend on the operators' `standby` command, as ConnectionDrain decides: callers' health
  /// checks fail, requests that still arrive are served for a short period and then rejected at once, and
  /// each connection is closed once it carries no call. With false, accepts callers again.
  virtual void set_standby(bool /*is_standby*/) {}
  /// Hands over to another process that serves the same callers (hot restart). No new connection is accepted
  /// here, and each connection is closed once no set-up on it awaits an answer. Established calls continue;
  /// `undelivered` receives the releases of calls whose callers no longer have a connection here.
  virtual void begin_hot_restart(std::function<void(UndeliveredRelease)> /*undelivered*/) {}
  /// Sends a caller a release that the replaced process could not deliver.
  virtual void deliver_release(const UndeliveredRelease& /*release*/) {}
};

/// Manages the connections to all servers of one protocol.
class UpstreamPool : public ServerPort {
 public:
  /// Called when an endpoint's entry has changed. Opens connections to a new endpoint, closes those to a
  /// removed one, and withdraws set-ups that must no longer be sent.
  virtual void on_endpoint_changed(const Endpoint& server) = 0;
  /// Drops the state of a removed server that nothing refers to any more. If its name is listed again, it
  /// belongs to another server.
  virtual void forget_server(ServerId server) = 0;
  /// Returns false if no new call may be sent to the server at present, whatever the endpoint list says.
  [[nodiscard]] virtual bool is_available(ServerId /*server*/) const { return true; }
  /// Called when the process exits.
  virtual void shut_down() {}
};

}  // namespace amberknot::core
