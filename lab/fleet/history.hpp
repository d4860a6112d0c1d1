// The history of a run: what each process observed, one event per line of JSON, merged by time. Times count
// from the start of the run, on the clock of the machine or, in the simulation, on the simulated clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::lab::fleet {

/// The kind of an event. It determines what the other fields of the event mean.
enum class EventKind : std::uint8_t {
  // Observed by a caller
  kSetUp,     ///< sent a set-up to router `peer`; `number`: how long the caller waits, in ms
  kAnswer,    ///< the call is established; `text`: the session description
  kRejected,  ///< the call was rejected; `number`: when to retry, in ms
  kFailed,    ///< the call failed; `number`: the cause
  kGaveUp,    ///< the caller has stopped waiting
  kLost,      ///< the connection closed before the answer
  kReleased,  ///< the router reported the end of an established call
  kLeft,      ///< the caller ended the established call
  // Observed by a session server
  /// A complete attempt arrived from router `peer`; `number`: the attempt's number within its call,
  /// from 1, or 0 if unknown.
  kInvite,
  kAnswered,   ///< the server answered; `text`: the session description
  kDenied,     ///< the server refused the attempt; `number`: the status
  kCancelled,  ///< the router cancelled the attempt
  kBroken,     ///< the connection closed during an attempt
  kHungUp,     ///< the server ended an established call
  kEnded,      ///< the router ended an established call
  kDrained,    ///< the endpoint list reported the server as draining
  kResumed,    ///< the endpoint list reported the server as ready again
  kVanished,   ///< the server's machine fell silent with all its calls
  kDied,       ///< the server's process died with all its calls
  kReturned,   ///< the server serves again, without calls
  kUnlisted,   ///< the endpoint list reported the server as gone
  // Observed of a process
  kStarted,
  kReady,
  kKilled,
  kFrozen,
  kThawed,
  kStopping,
  kOverdue,     ///< killed because it had not ended by the earliest SIGKILL after its SIGTERM
  kExited,      ///< `number`: the exit status, or the negative number of the signal
  kStandby,     ///< an operator sent the router the command `standby`
  kActive,      ///< an operator sent the router the command `active`
  kAdminReply,  ///< the router replied to the latest command; `text`: the reply
  // Observed by the front, which asks router `peer` again and again whether it takes callers
  kHealthCheckPassed,  ///< the answer is yes
  kHealthCheckFailed,  ///< the answer is no
  // Observed by a caller, of its connection to router `peer`
  kConnected,
  kDisconnected,
  kPartWritten,  ///< wrote a part of a set-up
  // Observed by the relay
  kFaultOn,  ///< a fault began; `text`: its kind; `who` and `peer`: the link
  kFaultOff,
  kLate,  ///< the relay itself was late; `number`: by how much, in ms
  kCount
};
/// Returns the name of the kind in a history file.
std::string_view name_of(EventKind kind);

/// One event of a history.
struct Event {
  Duration time{};
  std::string who;  ///< the caller, server, process or relay that observed it
  EventKind kind = EventKind::kSetUp;
  std::string call;
  std::string peer;
  std::int64_t number = 0;
  std::string text;
  friend bool operator==(const Event&, const Event&) = default;
};

using History = std::vector<Event>;

/// Returns the event as one line of JSON, without the line break.
std::string to_json_line(const Event& event);
/// Returns nullopt if the line is not a valid event.
std::optional<Event> parse_event(std::string_view line);
/// Parses one event per line. Skips lines that are not valid, such as a last line that a crash truncated, and
/// adds their number to `unreadable`.
History parse_history(std::string_view text, std::size_t& unreadable);
/// Merges histories in order of time. Events of the same time keep the order of their sources.
History merge_by_time(std::vector<History> parts);

}  // namespace amberknot::lab::fleet
