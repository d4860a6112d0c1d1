// What the program took in, sent and answered. Printed on SIGUSR1 and at exit.
#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

namespace amberknot::core {

/// The outcomes of one class's requests, counted where the outcome is decided (DAYS: the figures).
struct ClassCounts {
  std::uint64_t fulfilled = 0;  ///< answered: the call stands
  std::uint64_t throttled = 0;  ///< refused
  std::uint64_t faulted = 0;    ///< failed
  std::uint64_t relayed = 0;    ///< attempts written to a server; one taken back before its write is not
};

struct Counters {
  // taken in
  std::uint64_t received = 0;   ///< set-ups from callers
  std::uint64_t abandoned = 0;  ///< of these, given up by their callers
  std::uint64_t abandoned_while_queued =
      0;                           ///< of these, while no attempt of theirs was out: nothing is sent for them
  std::uint64_t malformed = 0;     ///< set-ups with a readable id and a bad field
  std::uint64_t unreadable = 0;    ///< lines or heads that ended their connection
  std::uint64_t repeated_ids = 0;  ///< set-ups under the id of a live call
  std::uint64_t rejected_for_capacity = 0;    ///< connections and set-ups refused for want of room
  std::uint64_t evicted = 0;                  ///< connections closed to make room for newcomers
  std::uint64_t idle_closed = 0;              ///< connections closed that had said nothing of use
  std::uint64_t unknown_ids = 0;              ///< messages about no call that is known
  std::uint64_t endpoint_events = 0;          ///< changes of the server list applied
  std::uint64_t endpoint_watch_restarts = 0;  ///< connections to the command channel after the first
  std::uint64_t load_reports = 0;
  std::uint64_t directory_failures = 0;
  std::uint64_t reloads = 0;         ///< new configurations taken over
  std::uint64_t reloads_failed = 0;  ///< new configurations that could not be read
  // sent
  std::uint64_t attempts = 0;  ///< attempts
  std::uint64_t cancels = 0;
  std::uint64_t health_checks = 0;
  std::uint64_t withdrawn = 0;            ///< set-ups withdrawn before they were written
  std::uint64_t moved = 0;                ///< set-ups that never left by a lost link and went by another
  std::uint64_t stalled_connections = 0;  ///< links cut that were open and served no more
  std::uint64_t late_connections =
      0;  ///< connections to servers that came up after their time, and were taken
  std::uint64_t malformed_answers = 0;  ///< answers whose description cannot be one
  std::uint64_t late_answers = 0;       ///< answers to attempts already ended: acknowledged and released
  std::uint64_t second_answers = 0;  ///< answers to attempts that have had one: acknowledged, told to nobody
  // answered
  std::uint64_t established = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t released = 0;
  std::uint64_t undelivered_answers =
      0;                      ///< stood, and were released: their caller left before the answer was written
  std::uint64_t aborted = 0;  ///< of the released, ended by no side's wish
  // how attempts ended before they stood, by Outcome
  std::uint64_t attempt_ends[8] = {};

  /// By the class's number in the settings; grows as classes are seen.
  std::vector<ClassCounts> by_class;

  ClassCounts& of_class(std::size_t number) {
    if (number >= by_class.size()) by_class.resize(number + 1);
    return by_class[number];
  }
  void print(std::ostream& out) const;
};

}  // namespace amberknot::core
