#include "lab/fleet/checker.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

namespace amberknot::lab::fleet {
namespace {

using Marks = std::vector<const Event*>;

/// A time in which a process or a link was not itself.
struct Trouble {
  Duration from{}, until = Duration::max();
  bool unsure = true;  ///< false: a connection was ended, and both ends know
};

/// Whether a fault of that kind leaves the two ends with different knowledge of what arrived when. A
/// connection that is ended is ended for both.
bool leaves_unsure(std::string_view kind) {
  return kind != "reset" && kind != "finish" && kind != "duplicate" && kind != "reorder";
}

/// The history sorted by what the rules ask.
class View {
 public:
  explicit View(const History& history) : history_(history) {
    // Several faults may be on at once at one link: each ends by itself.
    std::map<std::string, std::vector<std::size_t>> open;
    for (const auto& event : history) {
      if (!event.call.empty()) calls_[event.call].push_back(&event);
      const bool link = event.what == What::kFaultOn || event.what == What::kFaultOff;
      const auto key = link ? event.who + ">" + event.peer : event.who;
      const auto opened = open.find(key + event.text);
      switch (event.what) {
        case What::kKilled:
        case What::kFrozen:
        case What::kFaultOn:
          open[key + event.text].push_back(troubles_[key].size());
          troubles_[key].push_back({event.at, Duration::max(), !link || leaves_unsure(event.text)});
          break;
        case What::kReady:  // of a process that was started again
        case What::kThawed:
        case What::kFaultOff:
          if (opened == open.end() || opened->second.empty()) break;
          troubles_[key][opened->second.back()].until = event.at;
          opened->second.pop_back();
          break;
        default:
          break;
      }
    }
  }

  /// Whether one of the two was killed or frozen, or the link between them left them unsure in either
  /// direction, at some time between the two moments.
  [[nodiscard]] bool troubled(const std::string& one, const std::string& other, Duration from,
                              Duration until) const {
    return any(one, from, until, true) || any(other, from, until, true) ||
           any(one + ">" + other, from, until, true) || any(other + ">" + one, from, until, true);
  }
  [[nodiscard]] bool process_troubled(const std::string& who, Duration from, Duration until) const {
    return any(who, from, until, true);
  }
  /// Whether anything was the matter with the link between the two, ended connections included.
  [[nodiscard]] bool link_troubled(const std::string& one, const std::string& other, Duration from,
                                   Duration until) const {
    return any(one + ">" + other, from, until, false) || any(other + ">" + one, from, until, false);
  }
  [[nodiscard]] const std::map<std::string, Marks>& calls() const { return calls_; }
  [[nodiscard]] const History& history() const { return history_; }

 private:
  [[nodiscard]] bool any(const std::string& key, Duration from, Duration until, bool unsure_only) const {
    const auto found = troubles_.find(key);
    return found != troubles_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const Trouble& one) {
             return one.from <= until && from <= one.until && (one.unsure || !unsure_only);
           });
  }
  const History& history_;
  std::map<std::string, Marks> calls_;
  std::map<std::string, std::vector<Trouble>> troubles_;
};

History slice_of(const Marks& marks) {
  History slice;
  for (const auto* one : marks) {
    if (one != nullptr) slice.push_back(*one);
  }
  std::stable_sort(slice.begin(), slice.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
  return slice;
}

const Event* first_of(const Marks& marks, What what) {
  const auto found =
      std::find_if(marks.begin(), marks.end(), [what](const auto* one) { return one->what == what; });
  return found == marks.end() ? nullptr : *found;
}

bool is_final(What what) {
  return what == What::kAnswer || what == What::kRefused || what == What::kFailed;
}

RuleVerdict one_final_answer(const View& view, const RuleTimes& times) {
  RuleVerdict verdict{"one final answer before the caller gives up", 0, 0, {}};
  for (const auto& [id, marks] : view.calls()) {
    const auto* set_up = first_of(marks, What::kSetUp);
    if (set_up == nullptr) continue;
    ++verdict.looked_at;
    const Duration due = set_up->at + std::chrono::milliseconds{set_up->number} + times.slack;
    Marks finals;
    for (const auto* one : marks) {
      if (is_final(one->what)) finals.push_back(one);
    }
    if (finals.size() > 1) {
      verdict.violations.push_back({"a second answer", slice_of({set_up, finals[0], finals[1]})});
    } else if (finals.empty() || finals[0]->at > due) {
      const auto* lost = first_of(marks, What::kLost);
      // The caller took its set-up back in time: no answer is owed.
      const auto* gave_up = first_of(marks, What::kGaveUp);
      if (finals.empty() && gave_up != nullptr && gave_up->at + times.slack < due) continue;
      if (view.troubled(set_up->who, set_up->peer, set_up->at, due)) {
        ++verdict.excused;
        continue;
      }
      const char* what = lost != nullptr  ? "its connection ended with no answer"
                         : finals.empty() ? "no answer"
                                          : "answered too late";
      verdict.violations.push_back(
          {what, slice_of({set_up, lost, gave_up, finals.empty() ? nullptr : finals[0]})});
    }
  }
  return verdict;
}

RuleVerdict true_answers(const View& view) {
  RuleVerdict verdict{"an answer is one that a server gave for this call", 0, 0, {}};
  for (const auto& [id, marks] : view.calls()) {
    const auto* answer = first_of(marks, What::kAnswer);
    if (answer == nullptr) continue;
    ++verdict.looked_at;
    const bool given = std::any_of(marks.begin(), marks.end(), [&](const auto* one) {
      return one->what == What::kAnswered && one->text == answer->text && one->at <= answer->at;
    });
    if (!given) verdict.violations.push_back({"no server gave it", slice_of(marks)});
  }
  return verdict;
}

/// One attempt of a call as its server saw it.
struct Attempt {
  const Event* invite = nullptr;
  const Event* end = nullptr;
};

std::vector<Attempt> attempts_of(const Marks& marks) {
  std::vector<Attempt> attempts;
  for (const auto* one : marks) {
    if (one->what == What::kInvite) attempts.push_back({one, nullptr});
    const bool ends = one->what == What::kAnswered || one->what == What::kDenied ||
                      one->what == What::kCancelled || one->what == What::kBroken;
    if (!ends) continue;
    // The server's latest attempt of this call that is still out.
    const auto open = std::find_if(attempts.rbegin(), attempts.rend(), [&](const Attempt& attempt) {
      return attempt.end == nullptr && attempt.invite->who == one->who;
    });
    if (open != attempts.rend()) open->end = one;
  }
  // A link that stalls may bring an attempt after the call's next one: they are judged as the router made
  // them.
  std::stable_sort(attempts.begin(), attempts.end(),
                   [](const Attempt& a, const Attempt& b) { return a.invite->number < b.invite->number; });
  return attempts;
}

RuleVerdict attempts_apart(const View& view, const RuleTimes& times) {
  RuleVerdict verdict{"one attempt out, and none within 500 ms after a timeout, reset or cancel", 0, 0, {}};
  for (const auto& [id, marks] : view.calls()) {
    const auto attempts = attempts_of(marks);
    for (std::size_t i = 1; i < attempts.size(); ++i) {
      ++verdict.looked_at;
      const auto& before = attempts[i - 1];
      const auto& next = attempts[i];
      const bool certain =
          before.end != nullptr && before.end->at <= next.invite->at && before.end->what == What::kDenied;
      if (certain) continue;  // a server's word that it is over: the next may go at once
      const char* what = nullptr;
      if (before.end == nullptr || before.end->at > next.invite->at) {
        what = "two attempts out";
      } else if (next.invite->at + times.slack < before.end->at + times.retry_pause) {
        what = "sent again too early";
      }
      if (what == nullptr) continue;
      // A router that was killed or cut off does not know what the server knows, nor the server of it.
      const auto [from, until] = std::minmax(before.invite->at, next.invite->at);
      if (view.troubled(before.invite->who, before.invite->peer, from, until)) {
        ++verdict.excused;
      } else {
        verdict.violations.push_back({what, slice_of({before.invite, before.end, next.invite})});
      }
    }
  }
  return verdict;
}

RuleVerdict four_tries(const View& view, const RuleTimes& times) {
  RuleVerdict verdict{"no more tries than the settings allow", 0, 0, {}};
  for (const auto& [id, marks] : view.calls()) {
    Marks invites;
    for (const auto* one : marks) {
      if (one->what == What::kInvite) invites.push_back(one);
    }
    if (invites.empty()) continue;
    ++verdict.looked_at;
    if (invites.size() > times.max_tries) {
      verdict.violations.push_back({std::to_string(invites.size()) + " tries", slice_of(invites)});
    }
  }
  return verdict;
}

RuleVerdict nothing_to_the_drained(const View& view, const RuleTimes& times) {
  RuleVerdict verdict{"nothing new to a drained server after 500 ms", 0, 0, {}};
  std::map<std::string, const Event*> drained;
  for (const auto& event : view.history()) {
    if (event.what == What::kDrained) {
      drained[event.who] = &event;
      ++verdict.looked_at;
    }
    if (event.what == What::kResumed) drained.erase(event.who);
    if (event.what != What::kInvite) continue;
    const auto found = drained.find(event.who);
    if (found == drained.end() || event.at <= found->second->at + times.drain_grace_period + times.slack)
      continue;
    if (view.troubled(event.who, event.peer, found->second->at, event.at)) {
      ++verdict.excused;
    } else {
      verdict.violations.push_back({"a set-up came", slice_of({found->second, &event})});
    }
  }
  return verdict;
}

RuleVerdict releases_told(const View& view, const RuleTimes& times) {
  RuleVerdict verdict{"a call that is over is told to its caller", 0, 0, {}};
  const Duration last = view.history().empty() ? Duration{} : view.history().back().at;
  for (const auto& [id, marks] : view.calls()) {
    const auto* answer = first_of(marks, What::kAnswer);
    if (answer == nullptr) continue;
    // The end of that very session: an earlier attempt may have stood at a server that could not say so.
    const auto given = std::find_if(marks.begin(), marks.end(), [answer](const auto* one) {
      return one->what == What::kAnswered && one->text == answer->text;
    });
    const auto ended = std::find_if(given, marks.end(), [&](const auto* one) {
      return one->what == What::kHungUp && one->who == (*given)->who;
    });
    if (ended == marks.end()) continue;
    const auto* over = *ended;
    const auto* told = first_of(marks, What::kReleased);
    Duration due = over->at + times.release_within + times.slack;
    // Where a link left the two ends unsure the release may not have been sent at all.
    if (view.link_troubled(over->who, over->peer, answer->at, due))
      due = over->at + times.release_late + times.slack;
    if (due > last && told == nullptr) continue;  // the run ended before
    ++verdict.looked_at;
    if (told != nullptr && told->at <= due) continue;
    // A router that was killed knows nothing of it, nor does one that is frozen tell.
    if (view.process_troubled(over->peer, answer->at, due)) {
      ++verdict.excused;
    } else {
      verdict.violations.push_back(
          {told == nullptr ? "never told" : "told too late", slice_of({answer, over, told})});
    }
  }
  return verdict;
}

RuleVerdict nothing_for_who_left(const View& view, const RuleTimes& times) {
  RuleVerdict verdict{"nothing sent on for a client that left 300 ms before", 0, 0, {}};
  for (const auto& [id, marks] : view.calls()) {
    const auto left = std::find_if(marks.begin(), marks.end(), [](const auto* one) {
      return one->what == What::kGaveUp || one->what == What::kLost;
    });
    if (left == marks.end()) continue;
    ++verdict.looked_at;
    for (auto at = left; at != marks.end(); ++at) {
      const auto* sent = *at;
      if (sent->what != What::kInvite || sent->at <= (*left)->at + times.left_grace + times.slack) continue;
      // A router that was frozen or cut off from its caller did not know; one cut off from the server had
      // sent before.
      if (view.troubled((*left)->who, sent->peer, (*left)->at, sent->at) ||
          view.troubled(sent->who, sent->peer, (*left)->at, sent->at)) {
        ++verdict.excused;
      } else {
        verdict.violations.push_back({"a set-up came", slice_of({*left, sent})});
      }
    }
  }
  return verdict;
}

RuleVerdict processes_live(const View& view) {
  RuleVerdict verdict{"no process ends that was not asked to", 0, 0, {}};
  std::map<std::string, const Event*> asked;
  for (const auto& event : view.history()) {
    if (event.what == What::kStarted) {
      ++verdict.looked_at;
      asked.erase(event.who);
    }
    if (event.what == What::kKilled || event.what == What::kStopping) asked[event.who] = &event;
    if (event.what != What::kExited) continue;
    const auto found = asked.find(event.who);
    // After SIGTERM the end has to be a clean one.
    const bool clean = found != asked.end() && (found->second->what == What::kKilled || event.number == 0);
    if (!clean) {
      verdict.violations.push_back({"ended with " + std::to_string(event.number),
                                    slice_of({found == asked.end() ? nullptr : found->second, &event})});
    }
  }
  return verdict;
}

}  // namespace

bool Verdict::held() const {
  return nothing_shown.empty() && std::all_of(rules.begin(), rules.end(),
                                              [](const RuleVerdict& one) { return one.violations.empty(); });
}

Verdict check(const History& history, const RuleTimes& times) {
  const View view(history);
  Verdict verdict;
  verdict.rules = {one_final_answer(view, times),       true_answers(view),
                   attempts_apart(view, times),         four_tries(view, times),
                   nothing_to_the_drained(view, times), processes_live(view),
                   releases_told(view, times),          nothing_for_who_left(view, times)};
  const auto count = [&](What what) {
    return std::count_if(history.begin(), history.end(),
                         [what](const Event& one) { return one.what == what; });
  };
  // A run in which nothing was sent, or most was excused, breaks no rule and shows nothing.
  const auto late = std::find_if(history.begin(), history.end(), [&](const Event& one) {
    return one.what == What::kLate && std::chrono::milliseconds{one.number} > times.max_late;
  });
  if (count(What::kSetUp) == 0) verdict.nothing_shown = "no call was set up";
  if (count(What::kAnswer) == 0) verdict.nothing_shown = "no call was answered";
  if (verdict.rules[0].excused * 2 > verdict.rules[0].looked_at) {
    verdict.nothing_shown = "most calls met a fault of the schedule";
  }
  if (late != history.end()) {
    verdict.nothing_shown = "the relay itself was late by " + std::to_string(late->number) + " ms";
  }
  return verdict;
}

std::string text_of(const Verdict& verdict) {
  std::ostringstream out;
  for (const auto& rule : verdict.rules) {
    out << (rule.violations.empty() ? "held    " : "BROKEN  ") << rule.rule << ": " << rule.looked_at
        << " looked at, " << rule.excused << " excused, " << rule.violations.size() << " broken\n";
    if (rule.violations.empty()) continue;
    const auto& first = rule.violations.front();
    out << "        " << first.what << "\n";
    for (const auto& event : first.slice) out << "        " << line_of(event) << "\n";
  }
  if (!verdict.nothing_shown.empty()) out << "VOID    " << verdict.nothing_shown << "\n";
  return out.str();
}

}  // namespace amberknot::lab::fleet
