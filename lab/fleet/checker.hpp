// Says of a history, rule by rule, what held: a pure function. A rule that had nothing to look at has not
// held.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/fleet/history.hpp"

namespace amberknot::lab::fleet {

/// From the settings and the rig; PROTOCOL: every time limit on sockets is 50 ms longer.
struct RuleTimes {
  Duration slack = std::chrono::milliseconds{50};
  Duration drain_grace_period = std::chrono::milliseconds{500};
  Duration retry_pause = std::chrono::milliseconds{500};
  std::size_t max_tries = 4;
  Duration left_grace = std::chrono::milliseconds{300};  ///< STANDING: a client that has left
  Duration release_within = std::chrono::seconds{1};
  Duration release_late = std::chrono::seconds{8};  ///< where it could not be sent before
  /// The relay's own lateness beyond which a run proves nothing.
  Duration max_late = std::chrono::milliseconds{50};
};

struct Violation {
  std::string what;
  History slice;  ///< the shortest part of the history that shows it
};

struct RuleVerdict {
  std::string_view rule;
  std::size_t looked_at = 0;
  std::size_t excused = 0;  ///< a fault of the schedule explains it: not the router's
  std::vector<Violation> violations;
};

struct Verdict {
  std::vector<RuleVerdict> rules;
  /// The run says nothing: why. Empty: it does.
  std::string nothing_shown;
  [[nodiscard]] bool held() const;
};

Verdict check(const History& history, const RuleTimes& times);

/// A line for each rule, and the slices of what was broken.
std::string text_of(const Verdict& verdict);

}  // namespace amberknot::lab::fleet
