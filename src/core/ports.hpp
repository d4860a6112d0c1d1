// What the core asks of its two sides: frontends towards callers, upstream pools towards servers. The core
// itself knows no protocol and no socket. All calls are made on the event loop's thread.
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

/// Q.850 causes that travel with releases.
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

/// One attempt of a call at a server.
struct AttemptRef {
  CallId call{};
  std::uint32_t attempt = 0;
  ServerId server{};
};

/// A set-up as its frontend read it, for upstream pools that need more of it than the fields below. The core
/// only carries it.
class ProtocolMessage {
 public:
  virtual ~ProtocolMessage() = default;
};

/// What a set-up carries on to a server, unchanged from its caller.
struct SetUp {
  AttemptRef attempt;
  std::string_view id;  ///< 16 hex digits
  std::string_view call_class;
  std::string_view number;
  std::string_view description;
  Duration wait{};                           ///< how long an answer is awaited
  const ProtocolMessage* message = nullptr;  ///< null: the frontend keeps no more
};

/// Towards callers.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  /// False: the answer does not fit this protocol's messages; the call is then failed.
  virtual bool answer(CallId call, std::string_view description) = 0;
  /// A retry is harmless; `retry_after` says when, zero: no advice.
  virtual void reject(CallId call, Reason reason, Duration retry_after) = 0;
  /// The call is over; whether a retry is harmless is not known.
  virtual void fail(CallId call, Reason reason) = 0;
  /// An established call is over.
  virtual void release(CallId call, Cause cause) = 0;
};

/// Towards servers. No implementation reports back to the core from inside one of these calls.
class ServerPort {
 public:
  virtual ~ServerPort() = default;
  virtual void set_up(const SetUp& set_up) = 0;
  /// True: no byte of the set-up had left, and none will; the server has not heard of it.
  virtual bool cancel(const AttemptRef& attempt) = 0;
  virtual void release(const AttemptRef& attempt, Cause cause) = 0;
  /// The attempt is over and the server knows, or is lost: nothing is sent.
  virtual void forget(const AttemptRef& attempt) = 0;
  virtual void check_health(ServerId server) = 0;
};

/// Callers of one protocol: its listener, connections and sessions.
class Frontend : public ClientPort {
 public:
  /// Where its callers connect, as host:port.
  [[nodiscard]] virtual std::string listen_address() const = 0;
  /// Open connections of callers.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  /// Whether no set-up is on its way in (unread, half read, or on a connection not yet accepted) and no
  /// message waits to be written. May accept such connections.
  [[nodiscard]] virtual bool is_settled() { return true; }
  /// The process ends: every peer is notified, where the protocol has a message for that.
  virtual void shut_down() {}
  /// After shut_down(): whether every connection has been closed by its peer too.
  [[nodiscard]] virtual bool is_closed() const { return true; }
  /// Drain on the operators' `standby`: health checks of callers fail, what arrives is still served, and each
  /// connection is closed once nothing on it awaits an answer. False: accept clients again.
  virtual void set_standby(bool /*is_standby*/) {}
  /// Hot restart: another process serves the same callers. No new connection is accepted here, and each is
  /// closed once no set-up on it awaits an answer. Established calls go on; `undelivered` receives the
  /// releases of those whose callers have no connection here any more.
  virtual void begin_hot_restart(std::function<void(UndeliveredRelease)> /*undelivered*/) {}
  /// Sends a caller the release that a replaced process could not deliver.
  virtual void deliver_release(const UndeliveredRelease& /*release*/) {}
};

/// The connections to all servers of one protocol.
class UpstreamPool : public ServerPort {
 public:
  /// The endpoint's entry was changed: connections to a new one are opened, those to a removed one closed,
  /// and set-ups that may not leave any more withdrawn.
  virtual void on_endpoint_changed(const Endpoint& server) = 0;
  /// It was removed and nothing refers to it: its name, if it returns, is another server's.
  virtual void forget_server(ServerId server) = 0;
  /// False: nothing new may go there now, whatever the endpoint list says.
  [[nodiscard]] virtual bool is_available(ServerId /*server*/) const { return true; }
  /// The process ends.
  virtual void shut_down() {}
};

}  // namespace amberknot::core
