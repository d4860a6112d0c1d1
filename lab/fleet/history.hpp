// What happened in a run, as every process saw it: one event a line of JSON, merged by time. The wall clock
// of one machine, counted from the start of the run; in the simulation the simulated one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::lab::fleet {

enum class What : std::uint8_t {
  // a caller
  kSetUp,     ///< to router `peer`; `number`: how long it waits, in ms
  kAnswer,    ///< the call stands; `text`: the description
  kRefused,   ///< `number`: when to come back, in ms
  kFailed,    ///< `number`: the cause
  kGaveUp,    ///< it waits no longer
  kLost,      ///< its connection ended before the answer
  kReleased,  ///< the router said that what stood is over
  // a session server
  kInvite,  ///< an attempt came whole, from router `peer`; `number`: which of the call's, from 1; 0: unknown
  kAnswered,   ///< `text`: the description
  kDenied,     ///< `number`: the status
  kCancelled,  ///< the router gave the attempt up
  kBroken,     ///< the connection of an attempt that was out ended
  kHungUp,     ///< what stood is over, by the server's word
  kEnded,      ///< what stood is over, by the router's word
  kDrained,    ///< the list has said that it drains
  kResumed,    ///< the list has said that it is ready
  // a process
  kStarted,
  kReady,
  kKilled,
  kFrozen,
  kThawed,
  kStopping,
  kExited,  ///< `number`: its status; a signal's number below zero
  // the relay
  kFaultOn,  ///< `text`: the kind; `who` and `peer`: the link
  kFaultOff,
  kLate,  ///< the relay itself was late; `number`: by so many ms
  kCount
};
std::string_view name_of(What what);

struct Event {
  Duration at{};
  std::string who;
  What what = What::kSetUp;
  std::string call;
  std::string peer;
  std::int64_t number = 0;
  std::string text;
  friend bool operator==(const Event&, const Event&) = default;
};

using History = std::vector<Event>;

std::string line_of(const Event& event);
std::optional<Event> read_line(std::string_view line);
/// One event a line; a last line that was cut short by a crash is left out and counted.
History read_history(std::string_view text, std::size_t& unreadable);
/// In the order of time; events of one moment stay in the order of their sources.
History merged(std::vector<History> parts);

}  // namespace amberknot::lab::fleet
