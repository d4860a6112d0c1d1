// Events in the life of a call, for a trace that follows one call by its id from its set-up to its release.
// Does no I/O: the application decides whether the events are written.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"
#include "core/ports.hpp"

namespace amberknot::core {

/// What happened to a call.
enum class CallEventKind : std::uint8_t {
  kReceived,      ///< a frontend accepted the set-up
  kForwarded,     ///< an attempt was sent to `server`
  kAttemptEnded,  ///< the attempt at `server` ended as `outcome`; the call goes on
  kEstablished,   ///< `server` accepted the call
  kRejected,      ///< the caller got a rejection with `reason`
  kFailed,        ///< the caller got a failure with `reason`
  kAbandoned,     ///< the caller stopped waiting
  kReleased,      ///< the established call ended; the caller got a release with `cause`
};
/// Returns the name of the kind in log lines.
std::string_view name_of(CallEventKind kind);
/// Returns the name of an outcome in log lines.
std::string_view name_of(Outcome outcome);

/// One event of a call. Fields that the kind does not mention have no meaning.
struct CallEvent {
  CallEventKind kind = CallEventKind::kReceived;
  std::string_view call = {};    ///< the id that callers and servers use, 16 hex digits
  std::string_view server = {};  ///< empty if there is none
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::kOk;
  Cause cause = Cause::kNormal;
  Reason reason = Reason::kNormal;
};
/// Returns the text of the event, without a level and a line break.
std::string to_text(const CallEvent& event);

}  // namespace amberknot::core
