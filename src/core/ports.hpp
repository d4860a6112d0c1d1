// What the core asks of the two sides. A front or a kind of server link implements one of these; the core
// knows neither wires nor sockets.
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

/// A set-up as its front read it, for links that need more of it than the fields below. The core only carries
/// it.
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
  Duration wait{};                           ///< how long an answer is waited for
  const ProtocolMessage* message = nullptr;  ///< null: the front keeps no more
};

/// Towards callers.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  /// False: the answer does not fit this side's messages; the call is then failed.
  virtual bool answer(CallId call, std::string_view description) = 0;
  /// Trying again is harmless; `retry_after` says when, zero: no advice.
  virtual void reject(CallId call, Reason reason, Duration retry_after) = 0;
  /// This call is over, and no more is said.
  virtual void fail(CallId call, Reason reason) = 0;
  virtual void release(CallId call, Cause cause) = 0;
};

/// Towards servers. Nothing is reported back from inside one of these calls.
class ServerPort {
 public:
  virtual ~ServerPort() = default;
  virtual void set_up(const SetUp& set_up) = 0;
  /// True: no byte of the set-up had left, and none will; the server has heard nothing of it.
  virtual bool cancel(const AttemptRef& attempt) = 0;
  virtual void release(const AttemptRef& attempt, Cause cause) = 0;
  /// The attempt is over and the server knows, or is no more: nothing is sent.
  virtual void forget(const AttemptRef& attempt) = 0;
  virtual void probe(ServerId server) = 0;
};

/// One kind of callers' front, as the composition of the program holds it.
class Frontend : public ClientPort {
 public:
  /// Where its callers connect, as host:port.
  [[nodiscard]] virtual std::string where() const = 0;
  /// Open connections of callers.
  [[nodiscard]] virtual std::size_t connections() const = 0;
  /// Whether nothing of a set-up is on its way in (unread, half read, or on a connection not yet taken) and
  /// nothing that was said waits to be written. May take such connections.
  [[nodiscard]] virtual bool settled() { return true; }
  /// The program ends: every other side is told, where its protocol has words for that.
  virtual void leave() {}
  /// After leave(): whether every connection has been closed by its other side too.
  [[nodiscard]] virtual bool closed() const { return true; }
  /// Standby (DAYS, drain): callers are told that this router is not ready, what comes is still served, and
  /// each connection is closed once nothing on it waits for an answer. False: take clients again.
  virtual void standby(bool /*on*/) {}
  /// Another process serves the same callers: no new connection is taken here, and each is closed once no
  /// set-up on it waits for an answer. What stands goes on.
  /// `untold` takes the releases whose callers have no connection here any more.
  virtual void hand_over(std::function<void(UndeliveredRelease)> /*untold*/) {}
  /// Tells a caller what a replaced process could not.
  virtual void take_over(const UndeliveredRelease& /*release*/) {}
};

/// The links to all servers of one kind.
class UpstreamPool : public ServerPort {
 public:
  /// The list was changed: open links to what is new, close those to what has gone, take back what may not
  /// leave any more.
  virtual void on_endpoint_changed(const Endpoint& server) = 0;
  /// It has gone and nothing of it is left: its name, if it comes again, is another server's.
  virtual void forget_server(ServerId server) = 0;
  /// False: nothing new may go there now, whatever the list says.
  [[nodiscard]] virtual bool is_available(ServerId /*server*/) const { return true; }
  /// The program ends.
  virtual void leave() {}
};

}  // namespace amberknot::core
