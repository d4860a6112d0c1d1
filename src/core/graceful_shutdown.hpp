// How a process leaves after SIGTERM: until when it waits for what, and whether another has taken its place.
// No I/O: what the disk says comes in as records, the time as an argument.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// A process that serves, as it says in the folder that it shares with the one it replaces.
struct InstanceRecord {
  std::string name;    ///< of the router
  std::string listen;  ///< the callers' address
  std::int64_t started_unix_us = 0;
  friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

/// Whether one of the processes that are alive beside `self` serves the same callers and started later.
bool is_replaced_by_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive);
/// Whether `self` takes the place of one that is still alive.
bool replaces_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive);

/// What a replaced process has left to say to a caller who has gone to the other one: its call is over.
struct UndeliveredRelease {
  std::string caller;  ///< address
  std::string id;      ///< of the call, as its caller named it
  int cause = 0;       ///< Q.850
  friend bool operator==(const UndeliveredRelease&, const UndeliveredRelease&) = default;
};

/// The times of a process that SIGTERM reached.
struct GracefulShutdown {
  Instant accept_until{};  ///< callers go on connecting and asking until then
  Instant answer_by{};     ///< every call has its final answer by then, whenever it was taken
  Instant exit_by{};       ///< what stands is not waited for any longer

  /// `longest` is the longest deadline of a class. SIGKILL comes no sooner than that, or its bound, plus the
  /// time in which callers still come.
  static GracefulShutdown plan(Instant now, Duration longest, bool replaced);

  /// `unsettled`: set-ups are on their way in, or answers not yet written; waited for until `answer_by`.
  [[nodiscard]] bool may_exit(Instant now, std::size_t unanswered, std::size_t standing,
                              bool unsettled = false) const;
  /// Until when callers may take to close their connections, once all is said.
  [[nodiscard]] Instant end_by(Instant now) const;
};

}  // namespace amberknot::core
