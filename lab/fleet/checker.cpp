#include "lab/fleet/checker.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

#include "lab/fleet/drain_rule.hpp"

namespace amberknot::lab::fleet {
namespace {

using EventPointers = std::vector<const Event*>;

/// A time span in which a process or a link was subject to a fault.
struct FaultSpan {
  Duration from{}, until = Duration::max();
  bool is_uncertain = true;  ///< false for a closed connection, of which both ends know
};

/// Returns true if a fault of that kind leaves the two ends of a link with different knowledge of what
/// arrived when. A closed connection is closed for both ends.
bool leaves_ends_uncertain(std::string_view kind) {
  return kind != "reset" && kind != "finish" && kind != "duplicate" && kind != "reorder";
}

/// An index of the history: the events of each call and the time spans of faults.
class HistoryIndex {
 public:
  /// `held_delivery` is how long after the end of a fault the bytes that it held may arrive.
  HistoryIndex(const History& history, Duration held_delivery) : history_(history) {
    // A link may have several faults at the same time; each one ends on its own.
    std::map<std::string, std::vector<std::size_t>> open_spans;
    for (const auto& event : history) {
      if (!event.call.empty()) calls_[event.call].push_back(&event);
      const bool is_link_event = event.kind == EventKind::kFaultOn || event.kind == EventKind::kFaultOff;
      const auto key = is_link_event ? event.who + ">" + event.peer : event.who;
      const auto open_faults = open_spans.find(key + event.text);
      switch (event.kind) {
        case EventKind::kKilled:
        case EventKind::kFrozen:
        case EventKind::kVanished:
        case EventKind::kDied:
        case EventKind::kFaultOn:
          open_spans[key + event.text].push_back(fault_spans_[key].size());
          fault_spans_[key].push_back(
              {event.time, Duration::max(), !is_link_event || leaves_ends_uncertain(event.text)});
          break;
        case EventKind::kExited:
          open_spans[key + "#down"].push_back(fault_spans_[key + "#down"].size());
          fault_spans_[key + "#down"].push_back({event.time, Duration::max(), false});
          break;
        case EventKind::kReady:  // the process was restarted
          for (const auto span : std::exchange(open_spans[key + "#down"], {}))
            fault_spans_[key + "#down"][span].until = event.time;
          [[fallthrough]];
        case EventKind::kReturned:
        case EventKind::kThawed:
        case EventKind::kFaultOff:
          if (open_faults == open_spans.end() || open_faults->second.empty()) break;
          fault_spans_[key][open_faults->second.back()].until =
              event.time + (is_link_event ? held_delivery : Duration::zero());
          open_faults->second.pop_back();
          break;
        default:
          break;
      }
    }
  }

  /// Returns true if, at some time from `from` to `until`, one of the two was killed or frozen, or a fault of
  /// the link between them, in either direction, left them with different knowledge.
  [[nodiscard]] bool had_uncertain_fault(const std::string& first, const std::string& second, Duration from,
                                         Duration until) const {
    return has_fault(first, from, until, true) || has_fault(second, from, until, true) ||
           has_fault(first + ">" + second, from, until, true) ||
           has_fault(second + ">" + first, from, until, true);
  }
  /// Returns true if the process was killed or frozen, or the server lost, at some time from `from` to
  /// `until`.
  [[nodiscard]] bool had_process_fault(const std::string& who, Duration from, Duration until) const {
    return has_fault(who, from, until, true);
  }
  /// Returns true if the command channel of the router had a fault at some time from `from` to `until`.
  [[nodiscard]] bool had_channel_fault(const std::string& router, Duration from, Duration until) const {
    return has_fault(router + ">channel", from, until, false);
  }
  /// Returns true if no process of the router served at some time from `from` to `until`.
  [[nodiscard]] bool was_down(const std::string& router, Duration from, Duration until) const {
    return has_fault(router + "#down", from, until, false);
  }
  /// Returns true if the link between the two had any fault, closed connections included.
  [[nodiscard]] bool had_link_fault(const std::string& first, const std::string& second, Duration from,
                                    Duration until) const {
    return has_fault(first + ">" + second, from, until, false) ||
           has_fault(second + ">" + first, from, until, false);
  }
  [[nodiscard]] const std::map<std::string, EventPointers>& calls() const { return calls_; }
  [[nodiscard]] const History& history() const { return history_; }

 private:
  [[nodiscard]] bool has_fault(const std::string& key, Duration from, Duration until,
                               bool uncertain_only) const {
    const auto found = fault_spans_.find(key);
    return found != fault_spans_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const FaultSpan& span) {
             return span.from <= until && from <= span.until && (span.is_uncertain || !uncertain_only);
           });
  }
  const History& history_;
  std::map<std::string, EventPointers> calls_;
  std::map<std::string, std::vector<FaultSpan>> fault_spans_;
};

History sorted_events(const EventPointers& events) {
  History sorted;
  for (const auto* event : events) {
    if (event != nullptr) sorted.push_back(*event);
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Event& a, const Event& b) { return a.time < b.time; });
  return sorted;
}

const Event* first_of(const EventPointers& events, EventKind kind) {
  const auto found =
      std::find_if(events.begin(), events.end(), [kind](const auto* event) { return event->kind == kind; });
  return found == events.end() ? nullptr : *found;
}

/// Returns true if the call is over for its caller with this event. A caller that gave up needs no release,
/// even if an answer crosses that.
bool is_end_at_caller(const Event& event) {
  return event.kind == EventKind::kReleased || event.kind == EventKind::kLeft ||
         event.kind == EventKind::kGaveUp;
}

/// Returns the event with which the call ended for its caller, or null.
const Event* end_at_caller(const EventPointers& events) {
  const auto found =
      std::find_if(events.begin(), events.end(), [](const auto* event) { return is_end_at_caller(*event); });
  return found == events.end() ? nullptr : *found;
}

bool is_final(EventKind kind) {
  return kind == EventKind::kAnswer || kind == EventKind::kRejected || kind == EventKind::kFailed;
}

RuleVerdict check_final_answers(const HistoryIndex& index, const RuleLimits& limits) {
  RuleVerdict verdict{"each call gets one final answer before its caller gives up", 0, 0, {}};
  for (const auto& [id, events] : index.calls()) {
    const auto* set_up = first_of(events, EventKind::kSetUp);
    if (set_up == nullptr) continue;
    ++verdict.checked;
    const Duration deadline = set_up->time + std::chrono::milliseconds{set_up->number} + limits.tolerance;
    EventPointers final_answers;
    for (const auto* event : events) {
      if (is_final(event->kind)) final_answers.push_back(event);
    }
    if (final_answers.size() > 1) {
      verdict.violations.push_back({"the call got a second final answer",
                                    sorted_events({set_up, final_answers[0], final_answers[1]})});
    } else if (final_answers.empty() || final_answers[0]->time > deadline) {
      const auto* lost = first_of(events, EventKind::kLost);
      // The caller gave up in time, so no answer is required.
      const auto* gave_up = first_of(events, EventKind::kGaveUp);
      if (final_answers.empty() && gave_up != nullptr && gave_up->time + limits.tolerance < deadline)
        continue;
      // A set-up that crossed the close of a connection was sent again, and no process was there to take it.
      // The end of a process is recorded shortly after it has closed its listener.
      const bool found_no_process =
          lost != nullptr && lost->text == "refused" &&
          index.was_down(set_up->peer, lost->time, lost->time + limits.max_exit_delay);
      if (found_no_process || index.had_uncertain_fault(set_up->who, set_up->peer, set_up->time, deadline)) {
        ++verdict.excused;
        continue;
      }
      const char* problem = lost != nullptr         ? "the caller's connection closed before an answer"
                            : final_answers.empty() ? "the call got no answer"
                                                    : "the call was answered too late";
      verdict.violations.push_back(
          {problem,
           sorted_events({set_up, lost, gave_up, final_answers.empty() ? nullptr : final_answers[0]})});
    }
  }
  return verdict;
}

RuleVerdict check_answer_origins(const HistoryIndex& index) {
  RuleVerdict verdict{"each answer was given by a server for the same call", 0, 0, {}};
  for (const auto& [id, events] : index.calls()) {
    const auto* answer = first_of(events, EventKind::kAnswer);
    if (answer == nullptr) continue;
    ++verdict.checked;
    const bool is_genuine = std::any_of(events.begin(), events.end(), [&](const auto* event) {
      return event->kind == EventKind::kAnswered && event->text == answer->text &&
             event->time <= answer->time;
    });
    if (!is_genuine) verdict.violations.push_back({"no server gave the answer", sorted_events(events)});
  }
  return verdict;
}

/// One attempt of a call as its server observed it.
struct Attempt {
  const Event* invite = nullptr;
  const Event* end = nullptr;
};

std::vector<Attempt> attempts_of(const EventPointers& events) {
  std::vector<Attempt> attempts;
  for (const auto* event : events) {
    if (event->kind == EventKind::kInvite) attempts.push_back({event, nullptr});
    const bool ends = event->kind == EventKind::kAnswered || event->kind == EventKind::kDenied ||
                      event->kind == EventKind::kCancelled || event->kind == EventKind::kBroken;
    if (!ends) continue;
    // The latest attempt of this call at the server that has not ended.
    const auto latest = std::find_if(attempts.rbegin(), attempts.rend(), [&](const Attempt& attempt) {
      return attempt.end == nullptr && attempt.invite->who == event->who;
    });
    if (latest != attempts.rend()) latest->end = event;
  }
  // A stalled link may deliver an attempt after the next one of its call. The attempts are therefore checked
  // in the order in which the router made them.
  std::stable_sort(attempts.begin(), attempts.end(),
                   [](const Attempt& a, const Attempt& b) { return a.invite->number < b.invite->number; });
  return attempts;
}

RuleVerdict check_attempt_spacing(const HistoryIndex& index, const RuleLimits& limits) {
  RuleVerdict verdict{
      "one attempt of a call at a time, and none within 500 ms after a timeout, reset or cancel", 0, 0, {}};
  for (const auto& [id, events] : index.calls()) {
    const auto attempts = attempts_of(events);
    for (std::size_t i = 1; i < attempts.size(); ++i) {
      ++verdict.checked;
      const auto& previous = attempts[i - 1];
      const auto& next = attempts[i];
      const bool was_rejected = previous.end != nullptr && previous.end->time <= next.invite->time &&
                                previous.end->kind == EventKind::kDenied;
      if (was_rejected) continue;  // the server rejected it, so the next attempt may follow at once
      const char* problem = nullptr;
      if (previous.end == nullptr || previous.end->time > next.invite->time) {
        problem = "two attempts of the call at the same time";
      } else if (next.invite->time + limits.tolerance < previous.end->time + limits.min_retry_delay) {
        problem = "the next attempt was sent too early";
      }
      if (problem == nullptr) continue;
      // A router that was killed or cut off and its server do not know of each other's state.
      const auto [from, until] = std::minmax(previous.invite->time, next.invite->time);
      if (index.had_uncertain_fault(previous.invite->who, previous.invite->peer, from, until)) {
        ++verdict.excused;
      } else {
        verdict.violations.push_back({problem, sorted_events({previous.invite, previous.end, next.invite})});
      }
    }
  }
  return verdict;
}

RuleVerdict check_attempt_counts(const HistoryIndex& index, const RuleLimits& limits) {
  RuleVerdict verdict{"no call has more attempts than the settings allow", 0, 0, {}};
  for (const auto& [id, events] : index.calls()) {
    EventPointers invites;
    for (const auto* event : events) {
      if (event->kind == EventKind::kInvite) invites.push_back(event);
    }
    if (invites.empty()) continue;
    ++verdict.checked;
    if (invites.size() > limits.max_attempts) {
      verdict.violations.push_back({std::to_string(invites.size()) + " attempts", sorted_events(invites)});
    }
  }
  return verdict;
}

RuleVerdict check_drained_servers(const HistoryIndex& index, const RuleLimits& limits) {
  RuleVerdict verdict{"no set-up reaches a draining server after 500 ms", 0, 0, {}};
  std::map<std::string, const Event*> drain_events;
  for (const auto& event : index.history()) {
    if (event.kind == EventKind::kDrained) {
      drain_events[event.who] = &event;
      ++verdict.checked;
    }
    if (event.kind == EventKind::kResumed) drain_events.erase(event.who);
    if (event.kind != EventKind::kInvite) continue;
    const auto found = drain_events.find(event.who);
    if (found == drain_events.end() ||
        event.time <= found->second->time + limits.drain_grace_period + limits.tolerance)
      continue;
    const Duration unknown_until = event.time - limits.drain_grace_period - limits.tolerance;
    const bool was_unknown = index.had_channel_fault(
        event.peer, std::max(found->second->time, unknown_until - limits.max_notice_delay_after_failure),
        unknown_until);
    if (was_unknown || index.had_uncertain_fault(event.who, event.peer, found->second->time, event.time)) {
      ++verdict.excused;
    } else {
      verdict.violations.push_back(
          {"a set-up reached the draining server", sorted_events({found->second, &event})});
    }
  }
  return verdict;
}

RuleVerdict check_releases(const HistoryIndex& index, const RuleLimits& limits) {
  RuleVerdict verdict{"the end of a call is reported to its caller", 0, 0, {}};
  const Duration last = index.history().empty() ? Duration{} : index.history().back().time;
  for (const auto& [id, events] : index.calls()) {
    const auto* answer = first_of(events, EventKind::kAnswer);
    if (answer == nullptr) continue;
    // Only the end of the answered session counts. An earlier attempt may have been established at a server
    // whose answer did not arrive.
    const auto answered = std::find_if(events.begin(), events.end(), [answer](const auto* event) {
      return event->kind == EventKind::kAnswered && event->text == answer->text;
    });
    const auto ended = std::find_if(answered, events.end(), [&](const auto* event) {
      return event->kind == EventKind::kHungUp && event->who == (*answered)->who;
    });
    if (ended == events.end()) continue;
    const auto* hang_up = *ended;
    const auto* released = end_at_caller(events);
    Duration deadline = hang_up->time + limits.release_timeout + limits.tolerance;
    // After a fault of the link the release may not have been sent at first, so a longer time limit applies.
    if (index.had_link_fault(hang_up->who, hang_up->peer, answer->time, deadline) ||
        index.had_process_fault(hang_up->who, hang_up->time, deadline))
      deadline = hang_up->time + limits.late_release_timeout + limits.tolerance;
    if (deadline > last && released == nullptr) continue;  // the run ended before the release was due
    ++verdict.checked;
    if (released != nullptr && released->time <= deadline) continue;
    // A router that was killed has forgotten the call, and one that is frozen cannot report its end.
    if (index.had_process_fault(hang_up->peer, answer->time, deadline)) {
      ++verdict.excused;
    } else {
      verdict.violations.push_back(
          {released == nullptr ? "the end was not reported" : "the end was reported too late",
           sorted_events({answer, hang_up, released})});
    }
  }
  return verdict;
}

/// Whether the call of these events was established at a server when that was lost.
bool was_established_at(const EventPointers& events, const Event& loss) {
  const auto* answer = first_of(events, EventKind::kAnswer);
  if (answer == nullptr) return false;
  const auto is_answer_there = [&](const Event* event) {
    return event->kind == EventKind::kAnswered && event->who == loss.who && event->text == answer->text &&
           event->time <= loss.time;
  };
  if (std::none_of(events.begin(), events.end(), is_answer_there)) return false;
  return std::none_of(events.begin(), events.end(), [&](const Event* event) {
    const bool is_end_there =
        event->who == loss.who && (event->kind == EventKind::kHungUp || event->kind == EventKind::kEnded);
    return (is_end_there || is_end_at_caller(*event)) && event->time <= loss.time;
  });
}

RuleVerdict check_lost_servers(const HistoryIndex& index, const RuleLimits& limits) {
  RuleVerdict verdict{"the calls of a server that vanished or died are released to their callers", 0, 0, {}};
  const Duration last = index.history().empty() ? Duration{} : index.history().back().time;
  for (const auto& loss : index.history()) {
    if (loss.kind != EventKind::kVanished && loss.kind != EventKind::kDied) continue;
    const Duration deadline = loss.time + limits.late_release_timeout + limits.tolerance;
    for (const auto& [id, events] : index.calls()) {
      if (!was_established_at(events, loss)) continue;
      const auto* answer = first_of(events, EventKind::kAnswer);
      const auto* released = end_at_caller(events);
      if (deadline > last && released == nullptr) continue;  // the run ended before the release was due
      ++verdict.checked;
      if (released != nullptr && released->time <= deadline) continue;
      // A router that was killed has forgotten the call, and one that is frozen cannot report its end.
      if (index.had_process_fault(first_of(events, EventKind::kSetUp)->peer, answer->time, deadline)) {
        ++verdict.excused;
      } else {
        verdict.violations.push_back(
            {released == nullptr ? "the loss was not reported" : "the loss was reported too late",
             sorted_events({answer, &loss, released})});
      }
    }
  }
  return verdict;
}

RuleVerdict check_departed_callers(const HistoryIndex& index, const RuleLimits& limits) {
  RuleVerdict verdict{"no set-up is sent for a caller that left more than 300 ms before", 0, 0, {}};
  for (const auto& [id, events] : index.calls()) {
    const auto departure = std::find_if(events.begin(), events.end(), [](const auto* event) {
      return event->kind == EventKind::kGaveUp || event->kind == EventKind::kLost;
    });
    if (departure == events.end()) continue;
    ++verdict.checked;
    for (auto it = departure; it != events.end(); ++it) {
      const auto* attempt = *it;
      if (attempt->kind != EventKind::kInvite ||
          attempt->time <= (*departure)->time + limits.caller_left_grace_period + limits.tolerance)
        continue;
      // A router that was frozen or cut off from its caller did not know. If it was cut off from the server,
      // it may have sent the attempt before the caller left.
      if (index.had_uncertain_fault((*departure)->who, attempt->peer, (*departure)->time, attempt->time) ||
          index.had_uncertain_fault(attempt->who, attempt->peer, (*departure)->time, attempt->time)) {
        ++verdict.excused;
      } else {
        verdict.violations.push_back(
            {"a set-up was sent after the caller left", sorted_events({*departure, attempt})});
      }
    }
  }
  return verdict;
}

RuleVerdict check_process_exits(const HistoryIndex& index) {
  RuleVerdict verdict{"no process exits without being stopped or killed", 0, 0, {}};
  std::map<std::string, const Event*> stop_requests;
  for (const auto& event : index.history()) {
    if (event.kind == EventKind::kStarted) {
      ++verdict.checked;
      stop_requests.erase(event.who);
    }
    if (event.kind == EventKind::kKilled || event.kind == EventKind::kStopping)
      stop_requests[event.who] = &event;
    if (event.kind != EventKind::kExited) continue;
    const auto found = stop_requests.find(event.who);
    // After SIGTERM the exit status must be 0.
    const bool is_expected =
        found != stop_requests.end() && (found->second->kind == EventKind::kKilled || event.number == 0);
    if (!is_expected) {
      verdict.violations.push_back(
          {"exited with status " + std::to_string(event.number),
           sorted_events({found == stop_requests.end() ? nullptr : found->second, &event})});
    }
  }
  return verdict;
}

}  // namespace

Duration earliest_kill_delay(const RuleLimits& limits) {
  constexpr Duration kMaxDeadline = std::chrono::seconds{3};
  constexpr Duration kArrivalPeriod = std::chrono::milliseconds{700};
  return std::min(limits.class_deadline, kMaxDeadline) + kArrivalPeriod;
}

bool Verdict::has_passed() const {
  return inconclusive_reason.empty() && std::all_of(rules.begin(), rules.end(), [](const RuleVerdict& rule) {
           return rule.violations.empty();
         });
}

Verdict check(const History& history, const RuleLimits& limits) {
  const HistoryIndex index(history, limits.tolerance);
  Verdict verdict;
  verdict.rules = {check_final_answers(index, limits),   check_answer_origins(index),
                   check_attempt_spacing(index, limits), check_attempt_counts(index, limits),
                   check_drained_servers(index, limits), check_process_exits(index),
                   check_releases(index, limits),        check_departed_callers(index, limits),
                   check_lost_servers(index, limits),    check_drained_routers(history, limits),
                   check_admin_commands(history, limits)};
  const auto count = [&](EventKind kind) {
    return std::count_if(history.begin(), history.end(),
                         [kind](const Event& event) { return event.kind == kind; });
  };
  // A run without calls, or in which most calls are excused, breaks no rule but proves nothing.
  const auto late_event = std::find_if(history.begin(), history.end(), [&](const Event& event) {
    return event.kind == EventKind::kLate &&
           std::chrono::milliseconds{event.number} > limits.max_relay_lateness;
  });
  if (count(EventKind::kSetUp) == 0) verdict.inconclusive_reason = "no set-up was sent";
  if (count(EventKind::kAnswer) == 0) verdict.inconclusive_reason = "no call was answered";
  if (verdict.rules[0].excused * 2 > verdict.rules[0].checked) {
    verdict.inconclusive_reason = "most calls are excused by faults of the schedule";
  }
  if (late_event != history.end()) {
    verdict.inconclusive_reason =
        "the relay itself was late by " + std::to_string(late_event->number) + " ms";
  }
  return verdict;
}

std::string format_verdict(const Verdict& verdict) {
  std::ostringstream out;
  for (const auto& rule : verdict.rules) {
    out << (rule.violations.empty() ? "held    " : "BROKEN  ") << rule.rule << ": " << rule.checked
        << " checked, " << rule.excused << " excused, " << rule.violations.size() << " broken\n";
    if (rule.violations.empty()) continue;
    const auto& first = rule.violations.front();
    out << "        " << first.description << "\n";
    for (const auto& event : first.events) out << "        " << to_json_line(event) << "\n";
  }
  if (!verdict.inconclusive_reason.empty()) out << "VOID    " << verdict.inconclusive_reason << "\n";
  return out.str();
}

}  // namespace amberknot::lab::fleet
