// Counters of what the process received, sent and answered, printed on SIGUSR1 and at exit. docs/on-call.md
// lists the printed names and what each means for the operator.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// Outcomes of the calls of one class, counted where each outcome is decided. The operators' `stats` command
/// shows them under these names.
struct ClassCounts {
  std::uint64_t fulfilled = 0;  ///< calls established
  std::uint64_t throttled = 0;  ///< calls rejected: a retry is safe
  std::uint64_t faulted = 0;    ///< calls failed
  std::uint64_t relayed = 0;    ///< attempts forwarded, except those that ended as `kNotSent`
};

inline constexpr std::size_t kOutcomeCount = 8;  ///< number of enumerators of Outcome

/// The counters of the process since its start.
struct Counters {
  // ---- received -----------------------------------------------------------------------------------------
  /// Set-ups from callers.
  std::uint64_t received = 0;
  /// Received set-ups that their callers abandoned.
  std::uint64_t abandoned = 0;
  /// Abandoned set-ups without an attempt in flight, for which nothing is sent to a server.
  std::uint64_t abandoned_while_queued = 0;
  /// Over JSON lines: set-ups with a readable id and an invalid field. Over Diameter: invalid messages from
  /// any peer, and set-ups that the frontend refuses for an invalid field, an unknown tenant or too many
  /// sessions.
  std::uint64_t malformed_set_ups = 0;
  /// Lines or message headers that could not be parsed, so that their connection was closed.
  std::uint64_t unreadable_messages = 0;
  /// Set-ups with the id of a call that has not ended.
  std::uint64_t repeated_ids = 0;
  /// Connections and set-ups rejected because a resource limit was reached.
  std::uint64_t rejected_for_capacity = 0;
  /// Set-ups that repeat a request which may have been executed and may not be again.
  std::uint64_t repeated_requests = 0;
  /// Set-ups rejected because they arrived in standby, after the period in which they are still served.
  std::uint64_t rejected_in_standby = 0;
  /// Connections closed to make room for new ones.
  std::uint64_t evicted_connections = 0;
  /// Connections closed because they sent no valid message in time.
  std::uint64_t idle_connections_closed = 0;
  /// Messages that refer to an unknown call, and repeated Diameter initial requests for a known session.
  std::uint64_t unknown_ids = 0;
  /// Updates with a new number from the command channel or a configuration, including those that change no
  /// entry of the endpoint list.
  std::uint64_t endpoint_events = 0;
  /// Reconnections of the endpoint watcher.
  std::uint64_t endpoint_watch_restarts = 0;
  /// Load reports from servers, including those in health check results.
  std::uint64_t load_reports = 0;
  std::uint64_t directory_failures = 0;
  /// New configurations applied.
  std::uint64_t reloads = 0;
  /// New configurations that could not be read or are invalid.
  std::uint64_t reloads_failed = 0;

  // ---- sent ---------------------------------------------------------------------------------------------
  /// Attempts forwarded, including those withdrawn before their first byte was written.
  std::uint64_t attempts = 0;
  std::uint64_t cancels = 0;
  std::uint64_t health_checks = 0;
  /// Set-ups withdrawn before their first byte was written.
  std::uint64_t withdrawn_set_ups = 0;
  /// Set-ups not yet written to a connection when it was lost, and sent on another one.
  std::uint64_t moved_set_ups = 0;
  /// Connections to servers that were abandoned as stalled: still open, but unusable.
  std::uint64_t stalled_connections = 0;
  /// Servers whose established calls were aborted because nothing was received from them for too long.
  std::uint64_t silent_servers = 0;
  /// Connections to servers that were established after their connect timeout and kept.
  std::uint64_t late_connections = 0;
  /// Answers with a malformed description.
  std::uint64_t malformed_answers = 0;
  /// Answers to attempts that had already ended, which are acknowledged and released.
  std::uint64_t late_answers = 0;
  /// Repeated answers to an attempt, which are acknowledged and dropped.
  std::uint64_t second_answers = 0;

  // ---- answered -----------------------------------------------------------------------------------------
  std::uint64_t established = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t released = 0;
  /// Established calls released because their caller disconnected before the answer was written.
  std::uint64_t undelivered_answers = 0;
  /// Released calls that neither the caller nor the server ended.
  std::uint64_t aborted = 0;

  /// Attempts that ended before their calls were established, by Outcome.
  std::array<std::uint64_t, kOutcomeCount> attempt_ends{};

  /// By the index of the class in the settings; grows when a class is first used.
  std::vector<ClassCounts> by_class;

  /// Returns the counts of the class with that index.
  ClassCounts& of_class(std::size_t index) {
    if (index >= by_class.size()) by_class.resize(index + 1);
    return by_class[index];
  }
  /// Counts an attempt that ended before its call was established. One that ended as `kNotSent` does not
  /// count as relayed: it was withdrawn before its first byte was written, or no server executed it.
  void count_attempt_end(Outcome outcome, std::size_t call_class) {
    ++attempt_ends[static_cast<std::size_t>(outcome)];
    auto& relayed = of_class(call_class).relayed;
    if (outcome == Outcome::kNotSent && relayed > 0) --relayed;
  }
  /// Prints all counters on one line, without a line break at the end.
  void print(std::ostream& out) const;
};

}  // namespace amberknot::core
