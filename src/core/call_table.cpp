#include "core/call_table.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amberknot::core {

// An attempt is given up this much before its caller stops waiting, so that the answer still reaches it.
constexpr Duration kAnswerMargin = 2 * TimerWheel::kTick;

CallTable::CallTable(Dispatcher& dispatcher, EndpointRegistry& servers, TimerWheel& wheel, Counters& counters,
                     Clock clock)
    : dispatcher_(dispatcher),
      servers_(servers),
      wheel_(wheel),
      counters_(counters),
      clock_(std::move(clock)),
      broadcast_([](const auto&) {}),
      log_([](const auto&) {}) {}

void CallTable::connect(BroadcastSink broadcast, LogSink log) {
  broadcast_ = std::move(broadcast);
  log_ = std::move(log);
}

// ---- from the callers' side -----------------------------------------------------------------------------

CallId CallTable::admit(ClientPort& client, NewSetUp set_up) {
  while (calls_.contains(CallId{next_id_})) ++next_id_;
  const CallId id{next_id_++};
  if (shutdown_) set_up.facts.expires = std::min(set_up.facts.expires, shutdown_->answer_by);
  set_up.facts.expires -= kAnswerMargin;
  auto& call = calls_[id];
  call.client = &client;
  call.set_up = std::move(set_up);
  call.placement = Placement(call.set_up.facts.excluded_versions);
  set_deadline(id, call, call.set_up.facts.expires);
  ++counters_.received;
  return id;
}

// SIGKILL may come sooner than the callers of these calls stop waiting: without an earlier end they would
// never be answered. The module keeps the caller's own deadline, since only this process's time is short.
void CallTable::begin_shutdown(const GracefulShutdown& plan) {
  shutdown_ = plan;
  const Instant latest = plan.answer_by - kAnswerMargin;
  for (auto& [id, call] : calls_) {
    const bool is_unanswered = call.state == State::kQueued || call.state == State::kInFlight;
    if (!is_unanswered || call.set_up.facts.expires <= latest) continue;
    call.set_up.facts.expires = latest;
    // An attempt in flight may have been given less time than that: its own limit stays.
    const bool has_earlier_limit = call.wakes_at <= latest;
    if (!has_earlier_limit) set_deadline(id, call, latest);
  }
}

void CallTable::route(CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) execute(dispatcher_.pick(clock_(), id, found->second.set_up.facts));
}

void CallTable::abandon(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.state == State::kEstablished) return;
  ++counters_.abandoned;
  const bool out = found->second.state == State::kInFlight;
  const auto attempt = attempt_of(id, found->second);
  const Duration elapsed = clock_() - found->second.sent;
  const std::size_t cls = found->second.set_up.facts.call_class;
  forget(id);
  Outcome outcome = Outcome::kCancelled;
  if (out) {
    outcome = cancel_attempt(attempt, Outcome::kCancelled);
    count_attempt_end(outcome, cls);
  } else {
    ++counters_.abandoned_while_queued;
  }
  execute(dispatcher_.report_abandoned(clock_(), id));
  if (out) {
    execute(dispatcher_.report_end(clock_(), id, attempt.server, attempt.attempt,
                                   {outcome, elapsed, true, false, 0, {}}));
  }
}

Outcome CallTable::cancel_attempt(const AttemptRef& attempt, Outcome otherwise) {
  auto* to = port(attempt.server);
  if (to != nullptr && to->cancel(attempt)) return Outcome::kNotSent;
  ++counters_.cancels;
  return otherwise;
}

// Taken back before its first byte was written: no attempt reached the server.
void CallTable::count_attempt_end(Outcome outcome, std::size_t call_class) {
  ++counters_.attempt_ends[static_cast<std::size_t>(outcome)];
  auto& relayed = counters_.of_class(call_class).relayed;
  if (outcome == Outcome::kNotSent && relayed > 0) --relayed;
}

void CallTable::close_by_client(CallId id, Cause cause) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  if (found->second.state != State::kEstablished) {
    abandon(id);
    return;
  }
  const auto attempt = attempt_of(id, found->second);
  const Duration elapsed = clock_() - found->second.sent;
  ++counters_.released;
  forget(id);
  if (auto* to = port(attempt.server)) to->release(attempt, cause);
  execute(dispatcher_.report_end(clock_(), id, attempt.server, attempt.attempt,
                                 {Outcome::kOk, elapsed, true, false, 0, {}}));
}

// ---- from the servers' side -----------------------------------------------------------------------------

bool CallTable::on_established(const AttemptRef& attempt, std::string_view description) {
  auto* call = find(attempt);
  if (call == nullptr || call->state != State::kInFlight) return false;
  wheel_.cancel(std::exchange(call->deadline, 0));
  call->state = State::kEstablished;
  ++established_;
  const Duration elapsed = clock_() - call->sent;
  if (!call->client->answer(attempt.call, description)) {
    // The caller is owed a final answer, and this one does not fit its side.
    ++counters_.failed;
    ++counters_.of_class(call->set_up.facts.call_class).faulted;
    call->client->fail(attempt.call, Reason::kFieldRejected);
    forget(attempt.call);
    execute(dispatcher_.report_end(clock_(), attempt.call, attempt.server, attempt.attempt,
                                   {Outcome::kError, elapsed, true, false, 0, {}}));
    return false;
  }
  ++counters_.established;
  ++counters_.of_class(call->set_up.facts.call_class).fulfilled;
  execute(dispatcher_.report_established(clock_(), attempt.call, attempt.server, attempt.attempt, elapsed));
  return true;
}

void CallTable::on_attempt_ended(const AttemptRef& attempt, const AttemptEnd& end) {
  if (find(attempt) != nullptr) end_attempt(attempt.call, end);
}

void CallTable::end_attempt(CallId id, const AttemptEnd& end) {
  auto& call = calls_.at(id);
  const auto attempt = attempt_of(id, call);
  EndFacts facts{end.outcome, clock_() - call.sent, call.state == State::kEstablished, end.is_caller_fault, 0,
                 end.load};
  if (end.outcome == Outcome::kFull && !end.error && end.retry_after) {
    // No call waits longer than its deadline: what asks for more is spoilt, and must not shut the server for
    // good.
    facts.retry_after = std::min(*end.retry_after, dispatcher_.longest_deadline());
  }
  if (end.error && call.state == State::kInFlight) {
    const auto verdict = call.placement.on_attempt_ended(call.version, *end.error, end.retry_after);
    facts.outcome = verdict.outcome;
    facts.is_caller_fault = verdict.is_caller_fault;
    facts.excludes_versions = verdict.final_now ? kAllVersions : call.placement.excluded_versions();
  }
  if (facts.call_ended) {
    call.state = State::kReleasing;
    --established_;
    ++counters_.released;
    if (end.outcome != Outcome::kOk) ++counters_.aborted;
    call.client->release(id, end.cause);
    forget(id);
  } else {
    count_attempt_end(facts.outcome, call.set_up.facts.call_class);
    call.state = State::kQueued;
  }
  execute(dispatcher_.report_end(clock_(), id, attempt.server, attempt.attempt, facts));
}

void CallTable::abort_sent_before(ServerId server, Instant moment, const char* why) {
  std::vector<CallId> cut;
  for (const auto& [id, call] : calls_) {
    if (call.state == State::kEstablished && call.server == server && call.sent < moment) cut.push_back(id);
  }
  if (!cut.empty()) log_("cut " + std::to_string(cut.size()) + " standing calls: " + why);
  for (const CallId id : cut) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    if (auto* to = port(server)) to->forget(attempt_of(id, found->second));
    end_attempt(id, {Outcome::kReset, Cause::kTemporaryFailure, false, {}});
  }
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

void CallTable::on_endpoints_changed(bool whole_list, const std::vector<ServerFacts>& servers) {
  execute(dispatcher_.report_servers(clock_(), whole_list, servers));
}

void CallTable::on_gossip(std::uint32_t from, std::vector<std::uint8_t> bytes) {
  execute(dispatcher_.report_peer(clock_(), from, std::move(bytes)));
}

bool CallTable::has_calls_at(ServerId server) const {
  return std::any_of(calls_.begin(), calls_.end(), [server](const auto& item) {
    return item.second.state != State::kQueued && item.second.server == server;
  });
}

void CallTable::release_all() {
  std::vector<CallId> established;
  for (const auto& [id, call] : calls_) {
    if (call.state == State::kEstablished) established.push_back(id);
  }
  for (const CallId id : established) {
    auto& call = calls_.at(id);
    const auto attempt = attempt_of(id, call);
    call.client->release(id, Cause::kTemporaryFailure);
    if (auto* to = port(attempt.server)) to->release(attempt, Cause::kTemporaryFailure);
    ++counters_.released;
    ++counters_.aborted;
    forget(id);
  }
}

// ---- what the module decides ----------------------------------------------------------------------------

// Carrying one decision out may lead to the next: they are queued, never nested, since a call may end in
// between.
void CallTable::execute(Decisions decisions) {
  pending_decisions_.insert(pending_decisions_.end(), std::make_move_iterator(decisions.begin()),
                            std::make_move_iterator(decisions.end()));
  if (is_executing_) return;
  is_executing_ = true;
  while (!pending_decisions_.empty()) {
    Decision decision = std::move(pending_decisions_.front());
    pending_decisions_.pop_front();
    execute_one(decision);
  }
  is_executing_ = false;
  arm_tick();
}

void CallTable::execute_one(Decision& decision) {
  const auto found = calls_.find(decision.call);
  const bool held = found != calls_.end() && found->second.state == State::kQueued;
  switch (decision.kind) {
    case Decision::Kind::kForward:
      if (!held) break;
      // A shutdown ends calls sooner than the module knows.
      if (clock_() < found->second.set_up.facts.expires) {
        send(decision);
      } else {
        reject_expired(decision.call);
      }
      break;
    case Decision::Kind::kReject:
      // Given up on is answered at once: the advice tells the caller when to come back.
      if (held) send_final_answer(decision.call, Reason::kCongestion, decision.time);
      break;
    case Decision::Kind::kFail:
      if (held) send_final_answer(decision.call, Reason::kServerFault, Duration::zero());
      break;
    case Decision::Kind::kCancel: {
      if (found == calls_.end() || found->second.state != State::kInFlight) break;
      const auto attempt = attempt_of(decision.call, found->second);
      if (attempt.attempt != decision.attempt) break;
      end_attempt(decision.call, {cancel_attempt(attempt, Outcome::kCancelled), Cause::kNormal, false, {}});
      break;
    }
    case Decision::Kind::kCheckHealth:
      ++counters_.health_checks;
      if (auto* to = port(decision.server)) to->probe(decision.server);
      break;
    case Decision::Kind::kBroadcast:
      broadcast_(decision.bytes);
      break;
    case Decision::Kind::kLog:
      log_("module: " + decision.text);
      break;
  }
}

void CallTable::send_final_answer(CallId id, Reason otherwise, Duration retry_after) {
  auto& call = calls_.at(id);
  const bool nobody =
      call.placement.excluded_versions() != 0 && call.placement.is_unroutable(listed_versions());
  const auto reason = call.placement.reason(nobody ? Reason::kNoCompatibleServer : otherwise);
  if (facts_of(reason).final_answer == Final::kRejected) {
    ++counters_.rejected;
    ++counters_.of_class(call.set_up.facts.call_class).throttled;
    // The servers' wish counts where the settings allow any, and no longer than they do.
    const auto& limits = dispatcher_.settings().limits;
    const Duration asked = call.placement.retry_after().value_or(Duration::zero());
    if (limits.retry_advice) retry_after = std::max(retry_after, std::min(asked, limits.max_retry_advice));
    call.client->reject(id, reason, retry_after);
  } else {
    ++counters_.failed;
    ++counters_.of_class(call.set_up.facts.call_class).faulted;
    call.client->fail(id, reason);
  }
  forget(id);
}

ProtocolVersionSet CallTable::listed_versions() const {
  ProtocolVersionSet set = 0;
  for (const auto& [id, server] : servers_.all()) {
    if (server.state != EndpointState::kRemoved) set |= set_of(server.version);
  }
  return set;
}

void CallTable::send(const Decision& decision) {
  auto& call = calls_.at(decision.call);
  call.state = State::kInFlight;
  call.server = decision.server;
  if (const auto* listed = servers_.find(decision.server)) call.version = listed->version;
  call.sent = clock_();
  ++call.attempts;
  ++counters_.attempts;
  ++counters_.of_class(call.set_up.facts.call_class).relayed;
  const auto attempt = attempt_of(decision.call, call);
  auto* to = port(decision.server);
  if (to == nullptr) {
    end_attempt(decision.call, {Outcome::kNotSent, Cause::kOutOfOrder, false, {}});
    return;
  }
  Duration wait = call.set_up.facts.expires - call.sent;
  if (decision.time > Duration::zero() && decision.time < wait) wait = decision.time;
  set_deadline(decision.call, call, call.sent + wait);
  to->set_up({attempt, call.set_up.id, call.set_up.call_class, call.set_up.number, call.set_up.description,
              wait, call.set_up.message.get()});
}

void CallTable::set_deadline(CallId id, Call& call, Instant moment) {
  wheel_.cancel(call.deadline);
  call.wakes_at = moment;
  call.deadline = wheel_.at(moment, [this, id] { time_out(id); });
}

void CallTable::time_out(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = found->second;
  call.deadline = 0;
  const bool last = clock_() >= call.set_up.facts.expires;
  if (!last) set_deadline(id, call, call.set_up.facts.expires);
  if (call.state == State::kInFlight) {
    const auto attempt = attempt_of(id, call);
    end_attempt(id, {cancel_attempt(attempt, Outcome::kTimeout), Cause::kTimerExpiry, false, {}});
  } else {
    execute(dispatcher_.tick(clock_()));
  }
  // Guards the rule of one final answer in time: whatever is still undecided now is refused.
  const auto still = calls_.find(id);
  if (last && still != calls_.end() && still->second.state == State::kQueued) reject_expired(id);
}

void CallTable::reject_expired(CallId id) {
  send_final_answer(id, Reason::kTimeout, shutdown_retry_after());
  execute(dispatcher_.report_abandoned(clock_(), id));
}

Duration CallTable::shutdown_retry_after() const {
  const auto& limits = dispatcher_.settings().limits;
  if (!shutdown_ || !limits.retry_advice) return Duration::zero();
  const Duration until_exit = shutdown_->exit_by - clock_();
  return std::clamp(until_exit, Duration::zero(), limits.max_retry_advice);
}

void CallTable::arm_tick() {
  const auto next = dispatcher_.next_tick();
  if (!next || (tick_ != 0 && tick_at_ && *tick_at_ <= *next)) return;
  wheel_.cancel(tick_);
  tick_at_ = next;
  tick_ = wheel_.at(*next, [this] {
    tick_ = 0;
    execute(dispatcher_.tick(clock_()));
  });
}

ServerPort* CallTable::port(ServerId server) {
  auto* entry = servers_.find(server);
  return entry != nullptr ? entry->port : nullptr;
}

CallTable::Call* CallTable::find(const AttemptRef& attempt) {
  const auto found = calls_.find(attempt.call);
  if (found == calls_.end()) return nullptr;
  auto& call = found->second;
  const bool alive = call.state == State::kInFlight || call.state == State::kEstablished;
  return alive && call.server == attempt.server && call.attempts == attempt.attempt + 1 ? &call : nullptr;
}

void CallTable::forget(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  wheel_.cancel(found->second.deadline);
  if (found->second.state == State::kEstablished) --established_;
  calls_.erase(found);
}

}  // namespace amberknot::core
