#include "core/call_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace amberknot::core {

// Calls are ended this long before their callers stop waiting, so that the final answer arrives in time.
constexpr Duration kAnswerMargin = 2 * TimerWheel::kTick;
// How many ids of aborted calls a log line names.
constexpr std::size_t kMaxLoggedIds = 8;
// Callers wait a few seconds for an answer, and come again soon or not at all.
constexpr Duration kExecutedCallRetention = std::chrono::seconds{30};

CallTable::CallTable(Dispatcher& dispatcher, EndpointRegistry& servers, TimerWheel& wheel, Counters& counters,
                     Clock clock, std::size_t max_executed_calls)
    : dispatcher_(dispatcher),
      servers_(servers),
      wheel_(wheel),
      counters_(counters),
      clock_(std::move(clock)),
      broadcast_([](const auto&) {}),
      log_([](const auto&) {}),
      decisions_([this](const Decision& decision) { execute_decision(decision); }),
      executed_calls_(max_executed_calls, kExecutedCallRetention) {}

void CallTable::set_sinks(BroadcastSink broadcast, LogSink log) {
  broadcast_ = std::move(broadcast);
  log_ = std::move(log);
}

// ---- events from callers ---------------------------------------------------------------------------------

CallId CallTable::add_call(ClientPort& client, SetUpRequest set_up) {
  while (calls_.contains(CallId{next_id_})) ++next_id_;
  const CallId id{next_id_++};
  if (shutdown_) set_up.request.expires = std::min(set_up.request.expires, shutdown_->answer_by);
  set_up.request.expires -= kAnswerMargin;
  auto& call = calls_[id];
  call.client = &client;
  call.set_up = std::move(set_up);
  const auto& classes = dispatcher_.settings().classes;
  const auto call_class = call.set_up.request.call_class;
  const bool is_idempotent = call_class < classes.size() && classes[call_class].idempotent;
  call.history = AttemptHistory(call.set_up.request.excluded_versions, is_idempotent);
  set_timer(id, call, call.set_up.request.expires);
  ++counters_.received;
  trace(call, {.kind = CallEventKind::kReceived});
  return id;
}

void CallTable::route(CallId id) {
  const auto* call = find(id);
  if (call == nullptr || fail_repeated(id, *call)) return;
  if (shutdown_ && !shutdown_->serves_set_ups(clock_())) {
    send_final_answer(id, Reason::kTimeout, shutdown_retry_after());
    return;
  }
  execute(dispatcher_.report_new_call(clock_(), id, call->set_up.request));
}

void CallTable::reject_unrouted(CallId id) {
  const auto* call = find(id);
  if (call == nullptr || fail_repeated(id, *call)) return;
  send_final_answer(id, Reason::kCongestion, Duration::zero());
}

bool CallTable::fail_repeated(CallId id, const Call& call) {
  if (call.history.is_idempotent() || !executed_calls_.contains(repeat_key(call), clock_())) return false;
  ++counters_.repeated_requests;
  send_final_answer(id, Reason::kDuplicate, Duration::zero());
  return true;
}

void CallTable::abandon(CallId id) {
  auto* call = find(id);
  if (call == nullptr || call->state == CallState::kEstablished) return;
  ++counters_.abandoned;
  trace(*call, {.kind = CallEventKind::kAbandoned});
  const bool is_in_flight = call->state == CallState::kInFlight;
  const auto attempt = latest_attempt(id, *call);
  const Duration elapsed = clock_() - call->sent_at;
  const std::size_t call_class = call->set_up.request.call_class;
  if (!is_in_flight) {
    forget(id);
    ++counters_.abandoned_while_queued;
    execute(dispatcher_.report_abandoned(clock_(), id));
    return;
  }
  const Outcome outcome = cancel_attempt(attempt, Outcome::kCancelled);
  call->history.on_attempt_ended(outcome);
  forget(id);
  counters_.count_attempt_end(outcome, call_class);
  execute(dispatcher_.report_abandoned(clock_(), id));
  execute(dispatcher_.report_attempt_ended(clock_(), id, attempt.server, attempt.attempt,
                                           {.outcome = outcome, .elapsed = elapsed, .call_ended = true}));
}

void CallTable::close_by_client(CallId id, Cause cause) {
  const auto* call = find(id);
  if (call == nullptr) return;
  if (call->state != CallState::kEstablished) {
    abandon(id);
    return;
  }
  const auto attempt = latest_attempt(id, *call);
  const Duration elapsed = clock_() - call->sent_at;
  ++counters_.released;
  trace(*call, {.kind = CallEventKind::kReleased, .cause = cause});
  forget(id);
  if (auto* upstream_pool = server_port(attempt.server)) upstream_pool->release(attempt, cause);
  execute(
      dispatcher_.report_attempt_ended(clock_(), id, attempt.server, attempt.attempt,
                                       {.outcome = Outcome::kOk, .elapsed = elapsed, .call_ended = true}));
}

// An unanswered call that expires after `plan.answer_by` gets that time as its deadline, less the margin for
// the final answer: SIGKILL may arrive before the original deadline, and its caller would then never be
// answered. The decision module is not told of the earlier deadline: the call itself has not changed, only
// the lifetime of this process is limited.
void CallTable::begin_shutdown(const GracefulShutdown& plan) {
  shutdown_ = plan;
  const Instant latest_expiry = plan.answer_by - kAnswerMargin;
  for (auto& [id, call] : calls_) {
    if (!call.is_unanswered() || call.set_up.request.expires <= latest_expiry) continue;
    call.set_up.request.expires = latest_expiry;
    // The timeout of an attempt in flight may be earlier than that and then remains armed.
    if (call.timer_due_at > latest_expiry) set_timer(id, call, latest_expiry);
  }
}

// ---- events from servers --------------------------------------------------------------------------------

bool CallTable::on_established(const AttemptId& attempt, std::string_view description) {
  auto* call = find(attempt);
  if (call == nullptr || call->state != CallState::kInFlight) return false;
  wheel_.cancel(std::exchange(call->timer, 0));
  change_state(*call, CallState::kEstablished);
  call->history.on_attempt_ended(Outcome::kOk);
  const Duration elapsed = clock_() - call->sent_at;
  if (!call->client->answer(attempt.call, description)) {
    fail_established(attempt, *call, elapsed);
    return false;
  }
  ++counters_.established;
  ++counters_.of_class(call->set_up.request.call_class).fulfilled;
  trace(*call, {.kind = CallEventKind::kEstablished});
  execute(dispatcher_.report_established(clock_(), attempt.call, attempt.server, attempt.attempt, elapsed));
  return true;
}

void CallTable::fail_established(const AttemptId& attempt, Call& call, Duration elapsed) {
  ++counters_.failed;
  ++counters_.of_class(call.set_up.request.call_class).faulted;
  trace(call, {.kind = CallEventKind::kFailed, .reason = Reason::kFieldRejected});
  call.client->fail(attempt.call, Reason::kFieldRejected);
  forget(attempt.call);
  execute(
      dispatcher_.report_attempt_ended(clock_(), attempt.call, attempt.server, attempt.attempt,
                                       {.outcome = Outcome::kError, .elapsed = elapsed, .call_ended = true}));
}

void CallTable::on_attempt_ended(const AttemptId& attempt, const AttemptEnd& end) {
  if (find(attempt) != nullptr) end_attempt(attempt.call, end);
}

void CallTable::abort_calls(ServerId server, const std::function<bool(const AttemptId&)>& is_affected,
                            const char* why, LostServer state) {
  std::vector<CallId> aborted;
  for (const auto& [id, call] : calls_) {
    const bool is_established_there = call.state == CallState::kEstablished && call.server == server;
    if (is_established_there && is_affected(latest_attempt(id, call))) aborted.push_back(id);
  }
  if (!aborted.empty()) log_aborted(aborted, server, why);
  for (const CallId id : aborted) {
    const auto* call = find(id);
    if (call == nullptr) continue;
    const auto attempt = latest_attempt(id, *call);
    auto* upstream_pool = server_port(server);
    if (upstream_pool != nullptr && state == LostServer::kProcessEnded)
      upstream_pool->forget_attempt(attempt);
    if (upstream_pool != nullptr && state == LostServer::kUnreachable)
      upstream_pool->release(attempt, Cause::kTemporaryFailure);
    end_attempt(id, {.outcome = Outcome::kReset, .cause = Cause::kTemporaryFailure});
  }
}

void CallTable::log_aborted(const std::vector<CallId>& aborted, ServerId server, const char* why) {
  std::string text = "call table: aborted " + std::to_string(aborted.size()) + " established calls";
  if (const auto* entry = servers_.find(server)) text += " at " + entry->name;
  text += ": ";
  text += why;
  text += aborted.size() > kMaxLoggedIds ? "; the first ones:" : ";";
  for (std::size_t i = 0; i < std::min(aborted.size(), kMaxLoggedIds); ++i)
    text += " " + calls_.at(aborted[i]).set_up.id;
  log_(text);
}

void CallTable::on_health_check_result(ServerId server, Outcome outcome, Duration elapsed,
                                       const LoadReport& load) {
  ++counters_.load_reports;
  execute(dispatcher_.report_health_check(clock_(), server, outcome, elapsed, load));
}

void CallTable::on_load_report(ServerId server, const LoadReport& load) {
  ++counters_.load_reports;
  execute(dispatcher_.report_load(clock_(), server, load));
}

void CallTable::on_endpoints_changed(bool is_full_list, const std::vector<ServerDescription>& servers) {
  execute(dispatcher_.report_endpoints(clock_(), is_full_list, servers));
}

void CallTable::on_gossip(std::uint32_t from, std::vector<std::uint8_t> bytes) {
  execute(dispatcher_.report_peer_message(clock_(), from, std::move(bytes)));
}

bool CallTable::has_calls_at(ServerId server) const {
  return std::any_of(calls_.begin(), calls_.end(), [server](const auto& entry) {
    return entry.second.state != CallState::kQueued && entry.second.server == server;
  });
}

void CallTable::end_all() {
  std::vector<CallId> unanswered;
  for (const auto& [id, call] : calls_) {
    if (call.is_unanswered()) unanswered.push_back(id);
  }
  for (const CallId id : unanswered) {
    auto* call = find(id);
    if (call == nullptr) continue;
    wheel_.cancel(call->timer);
    call->set_up.request.expires = clock_();
    on_timer(id);
  }
  std::vector<CallId> established;
  for (const auto& [id, call] : calls_) {
    if (call.state == CallState::kEstablished) established.push_back(id);
  }
  for (const CallId id : established) {
    auto& call = calls_.at(id);
    const auto attempt = latest_attempt(id, call);
    trace(call, {.kind = CallEventKind::kReleased, .cause = Cause::kTemporaryFailure});
    call.client->release(id, Cause::kTemporaryFailure);
    if (auto* upstream_pool = server_port(attempt.server))
      upstream_pool->release(attempt, Cause::kTemporaryFailure);
    ++counters_.released;
    ++counters_.aborted;
    forget(id);
  }
}

// ---- execution of the module's decisions ----------------------------------------------------------------

void CallTable::execute(Decisions decisions) {
  if (decisions_.execute(std::move(decisions))) arm_tick();
}

void CallTable::execute_decision(const Decision& decision) {
  const auto* call = find(decision.call);
  const bool is_queued = call != nullptr && call->state == CallState::kQueued;
  switch (decision.kind) {
    case Decision::Kind::kForward:
      if (is_queued) forward_unless_expired(decision);
      break;
    case Decision::Kind::kReject:
      if (is_queued) send_final_answer(decision.call, Reason::kCongestion, decision.time);
      break;
    case Decision::Kind::kFail:
      if (is_queued) send_final_answer(decision.call, Reason::kServerFault, Duration::zero());
      break;
    case Decision::Kind::kCancel:
      cancel(decision);
      break;
    case Decision::Kind::kCheckHealth:
      ++counters_.health_checks;
      if (auto* upstream_pool = server_port(decision.server)) upstream_pool->check_health(decision.server);
      break;
    case Decision::Kind::kBroadcast:
      broadcast_(decision.bytes);
      break;
    case Decision::Kind::kLog:
      log_("decision module: " + decision.text);
      break;
  }
}

// During a shutdown the deadline of a call in this table may be earlier than the one that the decision module
// knows, so the module may still forward an expired call.
void CallTable::forward_unless_expired(const Decision& decision) {
  if (clock_() < calls_.at(decision.call).set_up.request.expires) {
    forward(decision);
  } else {
    reject_expired(decision.call);
  }
}

void CallTable::forward(const Decision& decision) {
  auto& call = calls_.at(decision.call);
  change_state(call, CallState::kInFlight);
  call.server = decision.server;
  if (const auto* server = servers_.find(decision.server)) call.version = server->version;
  call.sent_at = clock_();
  ++call.attempts;
  ++counters_.attempts;
  ++counters_.of_class(call.set_up.request.call_class).relayed;
  trace(call, {.kind = CallEventKind::kForwarded});
  auto* upstream_pool = server_port(decision.server);
  if (upstream_pool == nullptr) {
    end_attempt(decision.call, {.outcome = Outcome::kNotSent, .cause = Cause::kOutOfOrder});
    return;
  }
  Duration wait = call.set_up.request.expires - call.sent_at;
  if (decision.time > Duration::zero()) wait = std::min(wait, decision.time);
  set_timer(decision.call, call, call.sent_at + wait);
  upstream_pool->set_up({.attempt = latest_attempt(decision.call, call),
                         .id = call.set_up.id,
                         .call_class = call.set_up.call_class,
                         .number = call.set_up.number,
                         .description = call.set_up.description,
                         .answer_timeout = wait,
                         .message = call.set_up.message.get()});
}

void CallTable::cancel(const Decision& decision) {
  const auto* call = find(decision.call);
  if (call == nullptr || call->state != CallState::kInFlight) return;
  const auto attempt = latest_attempt(decision.call, *call);
  if (attempt.attempt != decision.attempt) return;
  const Outcome outcome = cancel_attempt(attempt, Outcome::kCancelled);
  end_attempt(decision.call, {.outcome = outcome, .cause = Cause::kNormal});
}

// ---- ends of attempts and calls -------------------------------------------------------------------------

void CallTable::end_attempt(CallId id, const AttemptEnd& end) {
  auto& call = calls_.at(id);
  const auto attempt = latest_attempt(id, call);
  const auto report = report_of_end(call, end);
  if (report.call_ended) {
    release_to_client(id, call, end);
  } else {
    counters_.count_attempt_end(report.outcome, call.set_up.request.call_class);
    trace(call, {.kind = CallEventKind::kAttemptEnded, .outcome = report.outcome});
    change_state(call, CallState::kQueued);
  }
  execute(dispatcher_.report_attempt_ended(clock_(), id, attempt.server, attempt.attempt, report));
}

AttemptReport CallTable::report_of_end(Call& call, const AttemptEnd& end) const {
  AttemptReport report{.outcome = end.outcome,
                       .elapsed = clock_() - call.sent_at,
                       .call_ended = call.state == CallState::kEstablished,
                       .is_caller_fault = end.is_caller_fault,
                       .load = end.load};
  if (end.outcome == Outcome::kFull && !end.error && end.retry_after) {
    // No call waits longer than the longest deadline, and a server that asks for an excessive delay must not
    // be ejected permanently.
    report.retry_after = std::min(*end.retry_after, dispatcher_.longest_deadline());
  }
  if (end.error && call.state == CallState::kInFlight) {
    const auto verdict = call.history.on_attempt_ended(call.version, *end.error, end.retry_after);
    report.outcome = verdict.outcome;
    report.is_caller_fault = verdict.is_caller_fault;
    report.newly_excluded_versions =
        verdict.answer_immediately ? kAllVersions : call.history.excluded_versions();
  } else if (call.state == CallState::kInFlight) {
    call.history.on_attempt_ended(end.outcome);
  }
  return report;
}

void CallTable::release_to_client(CallId id, Call& call, const AttemptEnd& end) {
  change_state(call, CallState::kReleasing);
  ++counters_.released;
  if (end.outcome != Outcome::kOk) ++counters_.aborted;
  trace(call, {.kind = CallEventKind::kReleased, .cause = end.cause});
  call.client->release(id, end.cause);
  forget(id);
}

Outcome CallTable::cancel_attempt(const AttemptId& attempt, Outcome outcome_if_sent) {
  auto* upstream_pool = server_port(attempt.server);
  if (upstream_pool != nullptr && upstream_pool->cancel(attempt)) return Outcome::kNotSent;
  ++counters_.cancels;
  return outcome_if_sent;
}

void CallTable::send_final_answer(CallId id, Reason reason, Duration retry_after) {
  auto& call = calls_.at(id);
  auto& class_counts = counters_.of_class(call.set_up.request.call_class);
  const auto answer = final_answer(call.history, servers_.supported_versions(), reason, retry_after,
                                   dispatcher_.settings().limits);
  if (answer.is_rejection()) {
    ++counters_.rejected;
    ++class_counts.throttled;
    trace(call, {.kind = CallEventKind::kRejected, .reason = answer.reason});
    call.client->reject(id, answer.reason, answer.retry_after);
  } else {
    ++counters_.failed;
    ++class_counts.faulted;
    trace(call, {.kind = CallEventKind::kFailed, .reason = answer.reason});
    call.client->fail(id, answer.reason);
  }
  forget(id);
}

void CallTable::reject_expired(CallId id) {
  send_final_answer(id, Reason::kTimeout, shutdown_retry_after());
  execute(dispatcher_.report_abandoned(clock_(), id));
}

Duration CallTable::shutdown_retry_after() const {
  const auto& limits = dispatcher_.settings().limits;
  if (!shutdown_ || !limits.may_advise_retry) return Duration::zero();
  const Duration until_exit = shutdown_->exit_by - clock_();
  return std::clamp(until_exit, Duration::zero(), limits.max_retry_after);
}

void CallTable::forget(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const auto& call = found->second;
  if (call.history.must_not_run_again()) executed_calls_.add(repeat_key(call), clock_());
  wheel_.cancel(call.timer);
  if (call.state == CallState::kEstablished) --established_;
  calls_.erase(found);
}

// ---- timers ---------------------------------------------------------------------------------------------

void CallTable::set_timer(CallId id, Call& call, Instant due) {
  wheel_.cancel(call.timer);
  call.timer_due_at = due;
  call.timer = wheel_.schedule_at(due, [this, id] { on_timer(id); });
}

void CallTable::on_timer(CallId id) {
  auto* call = find(id);
  if (call == nullptr) return;
  call->timer = 0;
  const bool is_expired = clock_() >= call->set_up.request.expires;
  if (!is_expired) set_timer(id, *call, call->set_up.request.expires);
  if (call->state == CallState::kInFlight) {
    const Outcome outcome = cancel_attempt(latest_attempt(id, *call), Outcome::kTimeout);
    end_attempt(id, {.outcome = outcome, .cause = Cause::kTimerExpiry});
  } else {
    execute(dispatcher_.tick(clock_()));
  }
  // Ensures one final answer by the deadline: a call that is still queued now is rejected.
  const auto* remaining_call = find(id);
  if (is_expired && remaining_call != nullptr && remaining_call->state == CallState::kQueued)
    reject_expired(id);
}

void CallTable::arm_tick() {
  const auto next_due = dispatcher_.next_tick();
  if (!next_due || (tick_timer_ != 0 && tick_due_at_ && *tick_due_at_ <= *next_due)) return;
  wheel_.cancel(tick_timer_);
  tick_due_at_ = next_due;
  tick_timer_ = wheel_.schedule_at(*next_due, [this] {
    tick_timer_ = 0;
    execute(dispatcher_.tick(clock_()));
  });
}

// ---- state changes and look-ups -------------------------------------------------------------------------

void CallTable::trace(const Call& call, CallEvent event) const {
  if (!events_) return;
  event.call = call.set_up.id;
  event.attempt = call.attempts;
  const auto* server = call.attempts > 0 ? servers_.find(call.server) : nullptr;
  if (server != nullptr) event.server = server->name;
  events_(event);
}

void CallTable::change_state(Call& call, CallState next_state) {
  assert(is_transition(call.state, next_state));
  if (call.state == CallState::kEstablished) --established_;
  if (next_state == CallState::kEstablished) ++established_;
  call.state = next_state;
}

Call* CallTable::find(CallId id) {
  const auto found = calls_.find(id);
  return found != calls_.end() ? &found->second : nullptr;
}

Call* CallTable::find(const AttemptId& attempt) {
  auto* call = find(attempt.call);
  if (call == nullptr) return nullptr;
  const bool has_attempt = call->state == CallState::kInFlight || call->state == CallState::kEstablished;
  const bool is_this_one = call->server == attempt.server && call->attempts == attempt.attempt + 1;
  return has_attempt && is_this_one ? call : nullptr;
}

ServerPort* CallTable::server_port(ServerId server) {
  auto* entry = servers_.find(server);
  return entry != nullptr ? entry->upstream_pool : nullptr;
}

}  // namespace amberknot::core
