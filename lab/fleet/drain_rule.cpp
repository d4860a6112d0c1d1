#include "lab/fleet/drain_rule.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace amberknot::lab::fleet {
namespace {

/// A caller's connection to a router, at one moment of the history.
struct CallerConnection {
  const Event* connected = nullptr;
  std::map<std::string, const Event*> unanswered;  ///< set-ups by call id
  std::set<std::string> established;
  Duration used_at{};

  void apply(const Event& event) {
    used_at = event.time;
    switch (event.kind) {
      case EventKind::kSetUp:
        unanswered[event.call] = &event;
        break;
      case EventKind::kAnswer:
        unanswered.erase(event.call);
        established.insert(event.call);
        break;
      case EventKind::kRejected:
      case EventKind::kFailed:
      case EventKind::kGaveUp:
      case EventKind::kLost:
      case EventKind::kReleased:
      case EventKind::kLeft:
        unanswered.erase(event.call);
        established.erase(event.call);
        break;
      default:
        break;
    }
  }
};

/// Returns true if the router's process was stopped, killed, replaced, started or frozen by this event, so
/// that its standby ends or cannot be judged.
bool interrupts_standby(EventKind kind) {
  return kind == EventKind::kKilled || kind == EventKind::kFrozen || kind == EventKind::kStopping ||
         kind == EventKind::kStarted || kind == EventKind::kExited || kind == EventKind::kActive;
}

bool is_connection_event(EventKind kind) {
  return kind <= EventKind::kLeft || kind == EventKind::kPartWritten;
}

/// Follows the drain of one router through the history.
class RouterDrain {
 public:
  RouterDrain(std::string router, const RuleLimits& limits) : router_(std::move(router)), limits_(limits) {}

  void apply(const Event& event, RuleVerdict& verdict) {
    if (standby_ != nullptr && !is_judged_ && event.time > deadline()) judge(verdict);
    if (event.who == router_) {
      if (event.kind == EventKind::kStandby && standby_ == nullptr) begin(event);
      if (interrupts_standby(event.kind)) standby_ = nullptr;
    } else if (event.peer == router_) {
      on_peer_event(event, verdict);
    }
  }

 private:
  [[nodiscard]] Duration deadline() const { return standby_->time + limits_.drain_time; }

  void begin(const Event& event) {
    standby_ = &event;
    is_judged_ = false;
  }

  void on_peer_event(const Event& event, RuleVerdict& verdict) {
    if (event.kind == EventKind::kConnected) connections_[event.who] = {&event, {}, {}, event.time};
    if (event.kind == EventKind::kDisconnected) connections_.erase(event.who);
    const auto connection = connections_.find(event.who);
    if (connection != connections_.end() && is_connection_event(event.kind)) connection->second.apply(event);
    if (event.kind == EventKind::kReleased) {  // it may come on another connection than the call's
      for (auto& [who, other] : connections_) other.established.erase(event.call);
    }
    const bool is_drained = standby_ != nullptr && event.time > deadline();
    if (is_drained && event.kind == EventKind::kHealthCheckPassed)
      verdict.violations.push_back({"the router took callers in standby", {*standby_, event}});
  }

  void judge(RuleVerdict& verdict) {
    is_judged_ = true;
    for (const auto& [who, connection] : connections_) {
      ++verdict.checked;
      judge(connection, verdict);
    }
  }

  void judge(const CallerConnection& connection, RuleVerdict& verdict) const {
    const Duration latest = deadline() - limits_.tolerance;
    for (const auto& [id, set_up] : connection.unanswered) {
      const bool is_recent = set_up->time > deadline() - limits_.drain_request_age && set_up->time <= latest;
      if (!is_recent) continue;
      verdict.violations.push_back({"a connection carried a recent request", {*standby_, *set_up}});
      return;
    }
    const bool is_idle = connection.unanswered.empty() && connection.established.empty();
    if (is_idle && connection.used_at <= latest)
      verdict.violations.push_back({"a connection was held idle", {*connection.connected, *standby_}});
  }

  std::string router_;
  const RuleLimits& limits_;
  const Event* standby_ = nullptr;  ///< the command in force, or null
  bool is_judged_ = false;
  std::map<std::string, CallerConnection> connections_;
};

std::set<std::string> drained_routers(const History& history) {
  std::set<std::string> routers;
  for (const auto& event : history) {
    if (event.kind == EventKind::kStandby) routers.insert(event.who);
  }
  return routers;
}

bool is_confirmation(const Event& event) {
  return event.kind == EventKind::kAdminReply && event.text.starts_with("+OK");
}

/// Judges whether an event of that description follows the command in time. Excused if the process was
/// stopped, killed or frozen meanwhile, if a further command came, or if the history ends before.
void judge_command(const History& history, History::const_iterator command, Duration time,
                   const std::function<bool(const Event&)>& is_expected, const char* problem,
                   RuleVerdict& verdict) {
  for (auto event = command + 1; event != history.end(); ++event) {
    if (event->time > command->time + time) {
      ++verdict.checked;
      verdict.violations.push_back({problem, {*command}});
      return;
    }
    if (is_expected(*event)) {
      ++verdict.checked;
      return;
    }
    if (event->who == command->who && (event->kind == EventKind::kStandby || interrupts_standby(event->kind)))
      break;
  }
  ++verdict.excused;
}

}  // namespace

RuleVerdict check_drained_routers(const History& history, const RuleLimits& limits) {
  RuleVerdict verdict{"4 s after standby a router has no idle connection and no recent request", 0, 0, {}};
  for (const auto& router : drained_routers(history)) {
    RouterDrain drain(router, limits);
    for (const auto& event : history) drain.apply(event, verdict);
  }
  return verdict;
}

RuleVerdict check_admin_commands(const History& history, const RuleLimits& limits) {
  RuleVerdict verdict{"admin commands are confirmed, and an active router takes callers again", 0, 0, {}};
  for (auto command = history.begin(); command != history.end(); ++command) {
    const bool is_active = command->kind == EventKind::kActive;
    if (!is_active && command->kind != EventKind::kStandby) continue;
    judge_command(
        history, command, limits.admin_reply_time + limits.tolerance,
        [&](const Event& event) { return event.who == command->who && is_confirmation(event); },
        "the command was not confirmed in time", verdict);
    if (!is_active) continue;
    judge_command(
        history, command, limits.ready_after_active + limits.tolerance,
        [&](const Event& event) {
          return event.peer == command->who && event.kind == EventKind::kHealthCheckPassed;
        },
        "the router did not take callers again in time", verdict);
  }
  return verdict;
}

}  // namespace amberknot::lab::fleet
