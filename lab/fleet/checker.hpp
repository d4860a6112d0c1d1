// Checks the history of a run against the router's rules. The check is a pure function of the history and the
// limits. A run without calls or answers, with most calls excused, or with a relay that was late proves
// nothing and does not pass.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lab/fleet/history.hpp"

namespace amberknot::lab::fleet {

/// Limits that the rules apply. They match the settings that the fleet's routers get.
struct RuleLimits {
  /// Added to each time limit that is observed on sockets (the operators' page PROTOCOL).
  Duration tolerance = std::chrono::milliseconds{50};
  /// How long after a process has closed its listener its end may be recorded.
  Duration max_exit_delay = std::chrono::milliseconds{50};
  Duration drain_grace_period = std::chrono::milliseconds{500};
  Duration min_retry_delay = std::chrono::milliseconds{500};
  std::size_t max_attempts = 4;
  Duration class_deadline = std::chrono::seconds{3};
  /// How long an event of the command channel may be unknown to a router after the channel failed (the
  /// operators' rules of dense trials).
  Duration max_notice_delay_after_failure = std::chrono::seconds{6};
  /// How long a router may still send set-ups for a caller that has left (the operators' page
  /// STANDING).
  Duration caller_left_grace_period = std::chrono::milliseconds{300};
  Duration release_timeout = std::chrono::seconds{1};
  /// Replaces `release_timeout` if a link fault may have kept the release from being sent, or if the server
  /// that had the call could not send one (the operators' page PROTOCOL).
  Duration late_release_timeout = std::chrono::seconds{8};
  /// How long after `standby` a router may have idle connections of callers and recent requests, and how old
  /// a request has to be then to count as an earlier one (the operators' page DAYS).
  Duration drain_time = std::chrono::seconds{4};
  Duration drain_request_age = std::chrono::seconds{2};
  /// How long the reply to an admin command may take, and the first passed health check after `active` (the
  /// operators' page DAYS).
  Duration admin_reply_time = std::chrono::seconds{1};
  Duration ready_after_active = std::chrono::seconds{2};
  /// A run in which the relay itself was later than this proves nothing.
  Duration max_relay_lateness = std::chrono::milliseconds{50};
};

/// Returns how long after SIGTERM the platform sends SIGKILL at the earliest (the operators' page PROTOCOL).
Duration earliest_kill_delay(const RuleLimits& limits);

/// One breach of a rule.
struct Violation {
  std::string description;
  History events;  ///< the events that show the breach, and no others
};

/// The result for one rule.
struct RuleVerdict {
  std::string_view rule;
  std::size_t checked = 0;  ///< cases to which the rule applied
  std::size_t excused = 0;  ///< cases that a fault of the schedule explains; not counted against the router
  std::vector<Violation> violations;
};

/// The result of a run.
struct Verdict {
  std::vector<RuleVerdict> rules;
  /// Why the run proves nothing; empty if it is conclusive.
  std::string inconclusive_reason;
  /// Returns true if the run is conclusive and no rule was broken.
  [[nodiscard]] bool has_passed() const;
};

/// Checks `history` against each rule.
Verdict check(const History& history, const RuleLimits& limits);

/// Returns one line for each rule, and for each broken rule the events of its first violation.
std::string format_verdict(const Verdict& verdict);

}  // namespace amberknot::lab::fleet
