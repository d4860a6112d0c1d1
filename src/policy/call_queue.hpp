#pragma once

#include <unordered_map>

#include "policy/context.hpp"

namespace amberknot::policy {

/// A call from its arrival to its final answer, or to its end if it is established.
struct Call {
  static constexpr double kObjectiveMargin = 0.1;  // share kept in hand for the set-up's own variation

  NewCall facts;
  std::shared_ptr<const CallClass> cls;  // as it was when the call came
  Instant arrived{};
  Instant reject_after{};      // queued no longer than this
  Instant late_from{};         // set-ups that begin later would be established after the objective
  double priority_weight = 0;  // of being established now
  bool late = false;
  Instant not_before{};  // the pause before a retry ends
  std::uint32_t attempts = 0;
  std::optional<ServerId> server;  // where the attempt is in flight, or the call established
  Instant sent{};
  bool cancelling = false;
  bool established = false;
  bool may_have_run = false;

  Call(const NewCall& call, std::shared_ptr<const CallClass> call_class, Instant now, Duration batch_interval)
      : facts(call), cls(std::move(call_class)), arrived(now), not_before(now) {
    reject_after = facts.expires - 2 * batch_interval;
    // A marked redial belongs to a first attempt whose objective has most likely gone by.
    const bool is_repeated = facts.is_redial && !facts.was_aborted;
    late_from = is_repeated ? now : now + scaled(cls->latency_objective, 1.0 - kObjectiveMargin);
    late = now >= late_from;
    priority_weight = late ? cls->priority_weight * cls->late_weight_fraction : cls->priority_weight;
  }
  // The caller must not hang up first: callers of little patience would leave abandoned work behind.
  [[nodiscard]] Instant establish_by() const {
    return late ? Instant{} : std::min(arrived + cls->latency_objective, facts.expires);  // late: all alike
  }
  [[nodiscard]] bool is_attempt(ServerId at, std::uint32_t attempt) const {
    return server == at && attempts == attempt + 1;
  }
};

/// The calls of one sender, and those that wait for a server: by weight, then newest first. When not all can
/// be placed, the oldest would be established just late.
class CallQueue {
 public:
  explicit CallQueue(Context& context) : context_(context) {}

  [[nodiscard]] Call* find(CallId id) { return calls_.contains(id) ? &calls_.at(id) : nullptr; }
  void add(const Call& call) { calls_.emplace(call.facts.call, call); }
  void erase(CallId id) { calls_.erase(id); }
  void enqueue(CallId id) { queue_.insert(queue_key(id)); }
  void dequeue(CallId id) { queue_.erase(queue_key(id)); }
  [[nodiscard]] bool is_empty() const { return queue_.empty(); }
  // The visitor may take the call out of the queue or move it there.
  void for_each_queued(auto visit) {
    for (auto next = queue_.begin(); next != queue_.end();) visit(std::get<CallId>(*next++));
  }

  // Departure: a call past its objective stays queued while its caller waits, behind all that can be in time.
  // Rejected, it would be redialled at once and pass for a fresh call where redials are not marked.
  void mark_late() {
    for_each_queued([this](CallId id) {
      auto& call = calls_.at(id);
      if (call.late || context_.now < call.late_from) return;
      dequeue(id);
      call.late = true;
      call.priority_weight *= call.cls->late_weight_fraction;
      enqueue(id);
    });
  }

  void cancel(CallId id) {
    auto* call = find(id);
    if (call == nullptr || !call->server || call->established || call->cancelling) return;
    if (!context_.settings.limits.cancel) return;
    call->cancelling = true;
    context_.act(CancelAttempt{id, call->attempts - 1});
  }

  // Departure: a set-up older than one established since was lost, on a lossy link or by a restart, and would
  // hold its token until its caller leaves. Departure: one that can no longer be in time must not feed an
  // overload while others wait in time. Of no use where a processor works on what was abandoned.
  void cancel_overdue(const Server& server) {
    if (server.in_flight.empty()) return;
    const auto [sent, id] = *server.in_flight.begin();
    const auto* call = find(id);
    const bool is_lost =
        sent < server.last_established_sent && context_.now - sent > context_.silence_timeout();
    const bool has_queued_in_time = !queue_.empty() && !calls_.at(std::get<CallId>(*queue_.begin())).late;
    const bool is_overdue =
        call != nullptr && !call->late && context_.now - call->arrived > call->cls->latency_objective;
    if (is_lost || (is_overdue && has_queued_in_time)) cancel(id);
  }

 private:
  using QueueKey = std::tuple<double, Duration, CallId>;
  [[nodiscard]] QueueKey queue_key(CallId id) const {
    const auto& call = calls_.at(id);
    return {-call.priority_weight, Instant{} - call.arrived, id};
  }

  Context& context_;
  std::unordered_map<CallId, Call> calls_;  // found by id only: its order would not be the same everywhere
  std::set<QueueKey> queue_;
};

}  // namespace amberknot::policy
