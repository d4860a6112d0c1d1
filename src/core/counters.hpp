// Counters of what the process received, sent and answered, printed on SIGUSR1 and at exit. The names that
// are printed are listed, with what each means for the operator, in docs/on-call.md.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// The outcomes of one class's requests, counted where each outcome is decided; the operators' `stats` shows
/// them under these names.
struct ClassCounts {
  std::uint64_t fulfilled = 0;  ///< answered: the call was established
  std::uint64_t throttled = 0;  ///< rejected: a retry is harmless
  std::uint64_t faulted = 0;    ///< failed
  std::uint64_t relayed = 0;  ///< attempts written to a server; one withdrawn before its write does not count
};

inline constexpr std::size_t kOutcomes = 8;  ///< enumerators of Outcome

struct Counters {
  // ---- received -----------------------------------------------------------------------------------------
  /// Set-ups from callers.
  std::uint64_t received = 0;
  /// Of these, abandoned by their callers.
  std::uint64_t abandoned = 0;
  /// Of the abandoned, those without an attempt in flight: nothing is sent for them.
  std::uint64_t abandoned_while_queued = 0;
  /// Set-ups with a readable id and a bad field.
  std::uint64_t malformed = 0;
  /// Lines or message heads that ended their connection.
  std::uint64_t unreadable = 0;
  /// Set-ups under the id of a live call.
  std::uint64_t repeated_ids = 0;
  /// Connections and set-ups rejected because a resource limit was reached.
  std::uint64_t rejected_for_capacity = 0;
  /// Connections closed to make room for new ones.
  std::uint64_t evicted = 0;
  /// Connections closed that had sent nothing of use in time.
  std::uint64_t idle_closed = 0;
  /// Messages about no known call.
  std::uint64_t unknown_ids = 0;
  /// Changes of the endpoint list applied.
  std::uint64_t endpoint_events = 0;
  /// Connections of the endpoint watcher after the first.
  std::uint64_t endpoint_watch_restarts = 0;
  std::uint64_t load_reports = 0;
  std::uint64_t directory_failures = 0;
  /// New configurations applied.
  std::uint64_t reloads = 0;
  /// New configurations that could not be read.
  std::uint64_t reloads_failed = 0;

  // ---- sent ---------------------------------------------------------------------------------------------
  std::uint64_t attempts = 0;
  std::uint64_t cancels = 0;
  std::uint64_t health_checks = 0;
  /// Set-ups withdrawn before their first byte was written.
  std::uint64_t withdrawn = 0;
  /// Set-ups that had not left by a lost connection and went by another.
  std::uint64_t moved = 0;
  /// Connections to servers given up as stalled: open, but of no further use.
  std::uint64_t stalled_connections = 0;
  /// Connections to servers that were established after their timeout, and were kept.
  std::uint64_t late_connections = 0;
  /// Answers whose description is malformed.
  std::uint64_t malformed_answers = 0;
  /// Answers to attempts that had already ended: acknowledged and released.
  std::uint64_t late_answers = 0;
  /// Further answers to an attempt that has had one: acknowledged and dropped.
  std::uint64_t second_answers = 0;

  // ---- answered -----------------------------------------------------------------------------------------
  std::uint64_t established = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t released = 0;
  /// Established calls that were released because their caller left before the answer was written.
  std::uint64_t undelivered_answers = 0;
  /// Of the released, those that neither side ended.
  std::uint64_t aborted = 0;

  /// How attempts ended before their calls were established, by Outcome.
  std::array<std::uint64_t, kOutcomes> attempt_ends{};

  /// By the class's index in the settings; grows as classes are seen.
  std::vector<ClassCounts> by_class;

  ClassCounts& of_class(std::size_t index) {
    if (index >= by_class.size()) by_class.resize(index + 1);
    return by_class[index];
  }
  /// An attempt ended before its call was established. One that was withdrawn before its first byte was
  /// written reached no server and was not relayed.
  void count_attempt_end(Outcome outcome, std::size_t call_class) {
    ++attempt_ends[static_cast<std::size_t>(outcome)];
    auto& relayed = of_class(call_class).relayed;
    if (outcome == Outcome::kNotSent && relayed > 0) --relayed;
  }
  /// All counters on one line.
  void print(std::ostream& out) const;
};

}  // namespace amberknot::core
