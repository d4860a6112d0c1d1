#include "core/call_table.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amberknot::core {

// An attempt is given up this much before its caller stops waiting, so that the answer still reaches it.
constexpr Duration kAnswerMargin = 2 * TimerWheel::kTick;

CallTable::CallTable(Dispatcher& dispatcher, ServerList& servers, TimerWheel& wheel, Counters& counters,
                     Clock clock)
    : dispatcher_(dispatcher),
      servers_(servers),
      wheel_(wheel),
      counters_(counters),
      clock_(std::move(clock)),
      tell_([](const auto&) {}),
      note_([](const auto&) {}) {}

void CallTable::connect(Tell tell, Note note) {
  tell_ = std::move(tell);
  note_ = std::move(note);
}

// ---- from the callers' side -----------------------------------------------------------------------------

CallId CallTable::take(ClientPort& client, NewSetUp set_up) {
  while (calls_.contains(CallId{next_id_})) ++next_id_;
  const CallId id{next_id_++};
  if (shutdown_) set_up.facts.expires = std::min(set_up.facts.expires, shutdown_->answer_by);
  set_up.facts.expires -= kAnswerMargin;
  auto& call = calls_[id];
  call.client = &client;
  call.set_up = std::move(set_up);
  call.placement = Placement(call.set_up.facts.ruled_out);
  set_deadline(id, call, call.set_up.facts.expires);
  ++counters_.taken;
  return id;
}

// SIGKILL may come sooner than the callers of these calls stop waiting: without an earlier end they would
// never be answered. The module keeps the caller's own deadline, since only this process's time is short.
void CallTable::begin_shutdown(const Leaving& plan) {
  shutdown_ = plan;
  const Instant latest = plan.answer_by - kAnswerMargin;
  for (auto& [id, call] : calls_) {
    const bool is_unanswered = call.state == State::kHeld || call.state == State::kOut;
    if (!is_unanswered || call.set_up.facts.expires <= latest) continue;
    call.set_up.facts.expires = latest;
    // An attempt in flight may have been given less time than that: its own limit stays.
    const bool has_earlier_limit = call.wakes_at <= latest;
    if (!has_earlier_limit) set_deadline(id, call, latest);
  }
}

void CallTable::decide(CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) enact(dispatcher_.pick(clock_(), id, found->second.set_up.facts));
}

void CallTable::give_up(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.state == State::kStanding) return;
  ++counters_.given_up;
  const bool out = found->second.state == State::kOut;
  const auto attempt = attempt_of(id, found->second);
  const Duration taken = clock_() - found->second.sent;
  const std::size_t cls = found->second.set_up.facts.call_class;
  forget(id);
  Outcome outcome = Outcome::kCancelled;
  if (out) {
    outcome = call_off(attempt, Outcome::kCancelled);
    count_ended(outcome, cls);
  } else {
    ++counters_.left_waiting;
  }
  enact(dispatcher_.report_given_up(clock_(), id));
  if (out) {
    enact(dispatcher_.report_end(clock_(), id, attempt.server, attempt.attempt,
                                 {outcome, taken, true, false, 0, {}}));
  }
}

Outcome CallTable::call_off(const AttemptRef& attempt, Outcome otherwise) {
  auto* to = port(attempt.server);
  if (to != nullptr && to->cancel(attempt)) return Outcome::kMoot;
  ++counters_.cancels;
  return otherwise;
}

// Taken back before its first byte was written: no attempt reached the server.
void CallTable::count_ended(Outcome outcome, std::size_t call_class) {
  ++counters_.ended[static_cast<std::size_t>(outcome)];
  auto& relayed = counters_.of_class(call_class).relayed;
  if (outcome == Outcome::kMoot && relayed > 0) --relayed;
}

void CallTable::close_by_client(CallId id, Cause cause) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  if (found->second.state != State::kStanding) {
    give_up(id);
    return;
  }
  const auto attempt = attempt_of(id, found->second);
  const Duration taken = clock_() - found->second.sent;
  ++counters_.released;
  forget(id);
  if (auto* to = port(attempt.server)) to->release(attempt, cause);
  enact(dispatcher_.report_end(clock_(), id, attempt.server, attempt.attempt,
                               {Outcome::kOk, taken, true, false, 0, {}}));
}

// ---- from the servers' side -----------------------------------------------------------------------------

bool CallTable::stood(const AttemptRef& attempt, std::string_view description) {
  auto* call = find(attempt);
  if (call == nullptr || call->state != State::kOut) return false;
  wheel_.cancel(std::exchange(call->deadline, 0));
  call->state = State::kStanding;
  ++standing_;
  const Duration taken = clock_() - call->sent;
  if (!call->client->answer(attempt.call, description)) {
    // The caller is owed a final answer, and this one does not fit its side.
    ++counters_.failed;
    ++counters_.of_class(call->set_up.facts.call_class).faulted;
    call->client->fail(attempt.call, Reason::kFieldRefused);
    forget(attempt.call);
    enact(dispatcher_.report_end(clock_(), attempt.call, attempt.server, attempt.attempt,
                                 {Outcome::kError, taken, true, false, 0, {}}));
    return false;
  }
  ++counters_.stood;
  ++counters_.of_class(call->set_up.facts.call_class).fulfilled;
  enact(dispatcher_.report_stood(clock_(), attempt.call, attempt.server, attempt.attempt, taken));
  return true;
}

void CallTable::ended(const AttemptRef& attempt, const AttemptEnd& end) {
  if (find(attempt) != nullptr) end_attempt(attempt.call, end);
}

void CallTable::end_attempt(CallId id, const AttemptEnd& end) {
  auto& call = calls_.at(id);
  const auto attempt = attempt_of(id, call);
  EndFacts facts{end.outcome, clock_() - call.sent, call.state == State::kStanding, end.of_the_call, 0,
                 end.load};
  if (end.outcome == Outcome::kFull && !end.error && end.stay_away) {
    // No call waits longer than its deadline: what asks for more is spoilt, and must not shut the server for
    // good.
    facts.asked_wait = std::min(*end.stay_away, dispatcher_.longest_deadline());
  }
  if (end.error && call.state == State::kOut) {
    const auto verdict = call.placement.ended(call.version, *end.error, end.stay_away);
    facts.outcome = verdict.outcome;
    facts.of_the_call = verdict.of_the_call;
    facts.rules_out = verdict.final_now ? kAllVersions : call.placement.ruled_out();
  }
  if (facts.call_ended) {
    call.state = State::kReleasing;
    --standing_;
    ++counters_.released;
    if (end.outcome != Outcome::kOk) ++counters_.cut;
    call.client->release(id, end.cause);
    forget(id);
  } else {
    count_ended(facts.outcome, call.set_up.facts.call_class);
    call.state = State::kHeld;
  }
  enact(dispatcher_.report_end(clock_(), id, attempt.server, attempt.attempt, facts));
}

void CallTable::cut_before(ServerId server, Instant moment, const char* why) {
  std::vector<CallId> cut;
  for (const auto& [id, call] : calls_) {
    if (call.state == State::kStanding && call.server == server && call.sent < moment) cut.push_back(id);
  }
  if (!cut.empty()) note_("cut " + std::to_string(cut.size()) + " standing calls: " + why);
  for (const CallId id : cut) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    if (auto* to = port(server)) to->forget(attempt_of(id, found->second));
    end_attempt(id, {Outcome::kReset, Cause::kTemporaryFailure, false, {}});
  }
}

void CallTable::probed(ServerId server, Outcome outcome, Duration taken, const Report& load) {
  ++counters_.load_reports;
  enact(dispatcher_.report_probe(clock_(), server, outcome, taken, load));
}

void CallTable::load_told(ServerId server, const Report& load) {
  ++counters_.load_reports;
  enact(dispatcher_.report_load(clock_(), server, load));
}

void CallTable::list_changed(bool whole_list, const std::vector<ServerFacts>& servers) {
  enact(dispatcher_.report_servers(clock_(), whole_list, servers));
}

void CallTable::peer_said(std::uint32_t from, std::vector<std::uint8_t> bytes) {
  enact(dispatcher_.report_peer(clock_(), from, std::move(bytes)));
}

bool CallTable::uses(ServerId server) const {
  return std::any_of(calls_.begin(), calls_.end(), [server](const auto& item) {
    return item.second.state != State::kHeld && item.second.server == server;
  });
}

void CallTable::release_all() {
  std::vector<CallId> standing;
  for (const auto& [id, call] : calls_) {
    if (call.state == State::kStanding) standing.push_back(id);
  }
  for (const CallId id : standing) {
    auto& call = calls_.at(id);
    const auto attempt = attempt_of(id, call);
    call.client->release(id, Cause::kTemporaryFailure);
    if (auto* to = port(attempt.server)) to->release(attempt, Cause::kTemporaryFailure);
    ++counters_.released;
    ++counters_.cut;
    forget(id);
  }
}

// ---- what the module decides ----------------------------------------------------------------------------

// Carrying one decision out may lead to the next: they are queued, never nested, since a call may end in
// between.
void CallTable::enact(Decisions decisions) {
  to_do_.insert(to_do_.end(), std::make_move_iterator(decisions.begin()),
                std::make_move_iterator(decisions.end()));
  if (enacting_) return;
  enacting_ = true;
  while (!to_do_.empty()) {
    Decision decision = std::move(to_do_.front());
    to_do_.pop_front();
    carry_out(decision);
  }
  enacting_ = false;
  arm();
}

void CallTable::carry_out(Decision& decision) {
  const auto found = calls_.find(decision.call);
  const bool held = found != calls_.end() && found->second.state == State::kHeld;
  switch (decision.kind) {
    case Decision::Kind::kSend:
      if (!held) break;
      // A shutdown ends calls sooner than the module knows.
      if (clock_() < found->second.set_up.facts.expires) {
        send(decision);
      } else {
        reject_expired(decision.call);
      }
      break;
    case Decision::Kind::kRefuse:
      // Given up on is answered at once: the advice tells the caller when to come back.
      if (held) tell(decision.call, Reason::kCongestion, decision.time);
      break;
    case Decision::Kind::kFail:
      if (held) tell(decision.call, Reason::kServerFault, Duration::zero());
      break;
    case Decision::Kind::kCancel: {
      if (found == calls_.end() || found->second.state != State::kOut) break;
      const auto attempt = attempt_of(decision.call, found->second);
      if (attempt.attempt != decision.attempt) break;
      end_attempt(decision.call, {call_off(attempt, Outcome::kCancelled), Cause::kNormal, false, {}});
      break;
    }
    case Decision::Kind::kProbe:
      ++counters_.probes;
      if (auto* to = port(decision.server)) to->probe(decision.server);
      break;
    case Decision::Kind::kTell:
      tell_(decision.bytes);
      break;
    case Decision::Kind::kNote:
      note_("module: " + decision.text);
      break;
  }
}

void CallTable::tell(CallId id, Reason otherwise, Duration stay_away) {
  auto& call = calls_.at(id);
  const bool nobody = call.placement.ruled_out() != 0 && call.placement.stranded(versions());
  const auto reason = call.placement.reason(nobody ? Reason::kNoServerSpeaks : otherwise);
  if (facts_of(reason).final_answer == Final::kRefused) {
    ++counters_.refused;
    ++counters_.of_class(call.set_up.facts.call_class).throttled;
    // The servers' wish counts where the settings allow any, and no longer than they do.
    const auto& limits = dispatcher_.settings().limits;
    const Duration asked = call.placement.stay_away().value_or(Duration::zero());
    if (limits.retry_advice) stay_away = std::max(stay_away, std::min(asked, limits.max_retry_advice));
    call.client->refuse(id, reason, stay_away);
  } else {
    ++counters_.failed;
    ++counters_.of_class(call.set_up.facts.call_class).faulted;
    call.client->fail(id, reason);
  }
  forget(id);
}

VersionSet CallTable::versions() const {
  VersionSet set = 0;
  for (const auto& [id, server] : servers_.all()) {
    if (server.state != ListState::kGone) set |= set_of(server.version);
  }
  return set;
}

void CallTable::send(const Decision& decision) {
  auto& call = calls_.at(decision.call);
  call.state = State::kOut;
  call.server = decision.server;
  if (const auto* listed = servers_.find(decision.server)) call.version = listed->version;
  call.sent = clock_();
  ++call.attempts;
  ++counters_.sent;
  ++counters_.of_class(call.set_up.facts.call_class).relayed;
  const auto attempt = attempt_of(decision.call, call);
  auto* to = port(decision.server);
  if (to == nullptr) {
    end_attempt(decision.call, {Outcome::kMoot, Cause::kOutOfOrder, false, {}});
    return;
  }
  Duration wait = call.set_up.facts.expires - call.sent;
  if (decision.time > Duration::zero() && decision.time < wait) wait = decision.time;
  set_deadline(decision.call, call, call.sent + wait);
  to->set_up({attempt, call.set_up.id, call.set_up.call_class, call.set_up.number, call.set_up.description,
              wait, call.set_up.told.get()});
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
  if (call.state == State::kOut) {
    const auto attempt = attempt_of(id, call);
    end_attempt(id, {call_off(attempt, Outcome::kTimeout), Cause::kTimerExpiry, false, {}});
  } else {
    enact(dispatcher_.tick(clock_()));
  }
  // Guards the rule of one final answer in time: whatever is still undecided now is refused.
  const auto still = calls_.find(id);
  if (last && still != calls_.end() && still->second.state == State::kHeld) reject_expired(id);
}

void CallTable::reject_expired(CallId id) {
  tell(id, Reason::kTimeout, shutdown_retry_after());
  enact(dispatcher_.report_given_up(clock_(), id));
}

Duration CallTable::shutdown_retry_after() const {
  const auto& limits = dispatcher_.settings().limits;
  if (!shutdown_ || !limits.retry_advice) return Duration::zero();
  const Duration until_exit = shutdown_->leave_by - clock_();
  return std::clamp(until_exit, Duration::zero(), limits.max_retry_advice);
}

void CallTable::arm() {
  const auto next = dispatcher_.next_tick();
  if (!next || (tick_ != 0 && tick_at_ && *tick_at_ <= *next)) return;
  wheel_.cancel(tick_);
  tick_at_ = next;
  tick_ = wheel_.at(*next, [this] {
    tick_ = 0;
    enact(dispatcher_.tick(clock_()));
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
  const bool alive = call.state == State::kOut || call.state == State::kStanding;
  return alive && call.server == attempt.server && call.attempts == attempt.attempt + 1 ? &call : nullptr;
}

void CallTable::forget(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  wheel_.cancel(found->second.deadline);
  if (found->second.state == State::kStanding) --standing_;
  calls_.erase(found);
}

}  // namespace amberknot::core
