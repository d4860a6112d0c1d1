// What the core asks of the two sides. A front or a kind of server link implements one of these; the core
// knows neither wires nor sockets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::core {

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

/// What a set-up carries on to a server, unchanged from its caller.
struct SetUp {
  AttemptRef attempt;
  std::string_view id;  ///< 16 hex digits
  std::string_view call_class;
  std::string_view number;
  std::string_view description;
  Duration wait{};  ///< how long an answer is waited for
};

/// Towards callers.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  /// False: the answer does not fit this side's messages; the call is then failed.
  virtual bool answer(CallId call, std::string_view description) = 0;
  virtual void refuse(CallId call, Duration stay_away) = 0;
  virtual void fail(CallId call, Cause cause) = 0;
  virtual void release(CallId call, Cause cause) = 0;
};

/// Towards servers. Nothing is reported back from inside one of these calls.
class ServerPort {
 public:
  virtual ~ServerPort() = default;
  virtual void set_up(const SetUp& set_up) = 0;
  virtual void cancel(const AttemptRef& attempt) = 0;
  virtual void release(const AttemptRef& attempt, Cause cause) = 0;
  /// The attempt is over and the server knows, or is no more: nothing is sent.
  virtual void forget(const AttemptRef& attempt) = 0;
  virtual void probe(ServerId server) = 0;
};

}  // namespace amberknot::core
