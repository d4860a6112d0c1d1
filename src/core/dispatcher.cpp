#include "core/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace amberknot::core {
namespace {

/// The destination of a call without a preferred pool: no server is in this pool.
constexpr PoolId kNoPool{std::numeric_limits<std::uint32_t>::max()};

/// Converts an action of the module into a decision.
struct DecisionWriter {
  Decision& decision;
  void operator()(ForwardCall& action) const {
    decision.kind = Decision::Kind::kForward;
    decision.call = action.call;
    decision.server = action.server;
    decision.time = action.attempt_timeout;
  }
  void operator()(RejectCall& action) const {
    decision.kind = Decision::Kind::kReject;
    decision.call = action.call;
    decision.time = action.retry_after;
  }
  void operator()(FailCall& action) const {
    decision.kind = Decision::Kind::kFail;
    decision.call = action.call;
  }
  void operator()(CancelAttempt& action) const {
    decision.kind = Decision::Kind::kCancel;
    decision.call = action.call;
    decision.attempt = action.attempt;
  }
  void operator()(CheckHealth& action) const {
    decision.kind = Decision::Kind::kCheckHealth;
    decision.server = action.server;
  }
  void operator()(BroadcastGossip& action) const {
    decision.kind = Decision::Kind::kBroadcast;
    decision.bytes = std::move(action.bytes);
  }
  void operator()(LogMessage& action) const { decision.text = std::move(action.text); }
  // The command channel sends every update of the endpoint list unasked, so there is nothing to subscribe to.
  void operator()(WatchEndpoints& /*action*/) const {
    decision.text = "asked to watch the endpoint list; no action needed, updates are pushed";
  }
  void operator()(SetTimer& /*action*/) const {}
};

}  // namespace

Dispatcher::Dispatcher(Settings settings, Instant now) : settings_(settings), admission_(settings) {
  std::vector<Action> actions;
  admission_.start(now, actions);
  collect(actions, start_decisions_);
}

void Dispatcher::collect(std::vector<Action>& actions, Decisions& decisions) {
  for (auto& action : actions) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      pending_timers_.push({timer->when, timer->handle});
      continue;
    }
    std::visit(DecisionWriter{decisions.emplace_back()}, action);
  }
}

Decisions Dispatcher::handle_event(Instant now, const Event& event) {
  std::vector<Action> actions;
  admission_.handle(now, event, actions);
  Decisions decisions = std::exchange(start_decisions_, {});
  collect(actions, decisions);
  return decisions;
}

Decisions Dispatcher::report_new_call(Instant now, CallId call, const CallRequest& request) {
  NewCall event;
  event.call = call;
  event.expires = request.expires;
  event.destination = request.preferred_pool.value_or(kNoPool);
  event.width = request.width;
  event.call_class = request.call_class;
  event.tenant = request.tenant;
  event.was_aborted = request.was_aborted;
  event.excluded_versions = request.excluded_versions;
  return handle_event(now, event);
}

Decisions Dispatcher::report_established(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                                         Duration elapsed) {
  return handle_event(now, Established{call, server, attempt, elapsed});
}

Decisions Dispatcher::report_attempt_ended(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                                           const AttemptReport& report) {
  AttemptEnded event;
  event.call = call;
  event.server = server;
  event.attempt = attempt;
  event.outcome = report.outcome;
  event.elapsed = report.elapsed;
  event.call_ended = report.call_ended;
  event.is_caller_fault = report.is_caller_fault;
  event.newly_excluded_versions = report.newly_excluded_versions;
  event.retry_after = report.retry_after;
  event.report = report.load;
  return handle_event(now, event);
}

Decisions Dispatcher::report_abandoned(Instant now, CallId call) {
  return handle_event(now, CallAbandoned{call});
}

Decisions Dispatcher::report_health_check(Instant now, ServerId server, Outcome outcome, Duration elapsed,
                                          const LoadReport& load) {
  return handle_event(now, HealthCheckResult{server, outcome, false, elapsed, load});
}

Decisions Dispatcher::report_load(Instant now, ServerId server, const LoadReport& load) {
  return handle_event(now, HealthCheckResult{server, Outcome::kOk, true, Duration::zero(), load});
}

Decisions Dispatcher::report_endpoints(Instant now, bool is_full_list,
                                       const std::vector<ServerDescription>& servers) {
  EndpointUpdate event{is_full_list ? EndpointUpdateScope::kFull : EndpointUpdateScope::kDelta, {}};
  for (const auto& server : servers)
    event.entries.push_back({server.server, server.pool, server.state, server.started, server.version});
  return handle_event(now, event);
}

Decisions Dispatcher::report_peer_message(Instant now, std::uint32_t from, std::vector<std::uint8_t> bytes) {
  return handle_event(now, PeerMessage{PeerId{from}, std::move(bytes)});
}

Decisions Dispatcher::tick(Instant now) {
  Decisions decisions;
  while (!pending_timers_.empty() && pending_timers_.top().when <= now) {
    const auto handle = pending_timers_.top().handle;
    pending_timers_.pop();
    auto timer_decisions = handle_event(now, TimerExpired{handle});
    decisions.insert(decisions.end(), std::make_move_iterator(timer_decisions.begin()),
                     std::make_move_iterator(timer_decisions.end()));
  }
  return decisions;
}

Duration Dispatcher::longest_deadline() const {
  Duration longest{};
  for (const auto& call_class : settings_.classes) longest = std::max(longest, call_class.deadline);
  return longest;
}

std::optional<Instant> Dispatcher::next_tick() const {
  if (pending_timers_.empty()) return std::nullopt;
  return pending_timers_.top().when;
}

}  // namespace amberknot::core
