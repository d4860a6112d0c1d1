// Graceful shutdown after SIGTERM: the deadlines for accepting callers, answering calls and exiting, and
// whether another process has replaced this one. Does no I/O: records read from disk and the time are passed
// in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// A running router process, as it describes itself in the folder that it shares with the process it
/// replaces.
struct InstanceRecord {
  std::string name;    ///< name of the router
  std::string listen;  ///< address on which it listens for callers
  std::int64_t started_unix_us = 0;
  friend bool operator==(const InstanceRecord&, const InstanceRecord&) = default;
};

/// Returns whether one of the other running processes serves the same callers as `self` and started later.
bool is_replaced_by_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive);
/// Returns whether `self` replaces a process that is still running.
bool replaces_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive);

/// The release of a call whose caller is now connected to the replacing process, so that the replaced process
/// could not deliver it.
struct UndeliveredRelease {
  std::string caller;   ///< the caller's address
  std::string call_id;  ///< the caller's id of the call
  int cause = 0;        ///< Q.850 cause value
  friend bool operator==(const UndeliveredRelease&, const UndeliveredRelease&) = default;
};

/// The deadlines of a process that has received SIGTERM.
struct GracefulShutdown {
  Instant accept_until{};  ///< callers still connect and send set-ups until then
  Instant answer_by{};     ///< every call gets its final answer by then, whenever it was received
  Instant exit_by{};       ///< established calls are not waited for beyond this time

  /// Plans the shutdown of a process that receives SIGTERM at `now`. `longest_deadline` is the longest
  /// deadline of any class of call; `is_replaced` says that another process has taken over. SIGKILL is
  /// expected no earlier than the period in which callers still arrive, plus that deadline up to a maximum.
  static GracefulShutdown plan(Instant now, Duration longest_deadline, bool is_replaced);

  /// Whether a set-up that arrives at `now` is served. Later ones are rejected at once: callers that go on
  /// sending would otherwise keep calls unanswered, and the process from its exit, until SIGKILL.
  [[nodiscard]] bool serves_set_ups(Instant now) const { return now < answer_by; }
  /// Returns whether the process may exit. `has_pending_io` says that set-ups are still arriving or answers
  /// are not yet written, which is waited for until `answer_by`. Nothing is waited for beyond `exit_by`.
  [[nodiscard]] bool may_exit(Instant now, std::size_t unanswered, std::size_t established,
                              bool has_pending_io = false) const;
  /// Returns until when callers may close their connections, if everything has been sent at `now`.
  [[nodiscard]] Instant callers_close_by(Instant now) const;
};

}  // namespace amberknot::core
