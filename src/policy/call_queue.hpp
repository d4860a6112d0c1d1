// The calls of one sender, and the queue of those that wait for a server.
#pragma once

#include <unordered_map>

#include "policy/context.hpp"

namespace amberknot::policy {

/// A call from its arrival to its final answer or, if it is established, to its end.
struct Call {
  // Share of the objective kept for the variation of set-up times
  static constexpr double kSetUpTimeMarginShare = 0.1;

  NewCall request;
  std::shared_ptr<const CallClass> class_settings;  // as configured when the call arrived
  Instant arrived{};
  Instant reject_after{};      // end of its time in the queue
  Instant late_after{};        // a set-up sent after this would miss the latency objective
  double priority_weight = 0;  // current weight; lower once the call is late
  bool is_late = false;
  Instant not_before{};  // end of the pause before a retry
  std::uint32_t attempts = 0;
  std::optional<ServerId> server;  // the server of the attempt in flight or of the established call
  Instant sent{};
  bool is_cancelling = false;
  bool is_established = false;
  bool may_have_been_executed = false;

  Call(const NewCall& call, std::shared_ptr<const CallClass> call_class, Instant now, Duration batch_interval)
      : request(call), class_settings(std::move(call_class)), arrived(now), not_before(now) {
    reject_after = request.expires - 2 * batch_interval;
    // A call marked as a redial follows an earlier call whose latency objective has most likely passed.
    const bool is_repeated = request.is_redial && !request.was_aborted;
    late_after =
        is_repeated ? now : now + scaled(class_settings->latency_objective, 1.0 - kSetUpTimeMarginShare);
    is_late = now >= late_after;
    priority_weight = is_late ? class_settings->priority_weight * class_settings->late_weight_fraction
                              : class_settings->priority_weight;
  }
  /// Latest time of establishment that is still of use. It is no later than the expiry, because a caller who
  /// hangs up first leaves abandoned work at the server. A late call has no such time: all late calls return
  /// the epoch, so that after one of them has found no server, ServerChoice skips the others of its kind.
  [[nodiscard]] Instant establish_by() const {
    return is_late ? Instant{} : std::min(arrived + class_settings->latency_objective, request.expires);
  }
  /// `attempt` is counted from zero.
  [[nodiscard]] bool is_current_attempt(ServerId at, std::uint32_t attempt) const {
    return server == at && attempts == attempt + 1;
  }
};

/// The calls of one sender, and a queue of those that wait for a server: by weight, then newest first. When
/// not all can be placed, serving the oldest first would establish each of them just after its objective.
class CallQueue {
 public:
  explicit CallQueue(Context& context) : context_(context) {}

  [[nodiscard]] Call* find(CallId id) { return calls_.contains(id) ? &calls_.at(id) : nullptr; }
  void add(const Call& call) { calls_.emplace(call.request.call, call); }
  void erase(CallId id) { calls_.erase(id); }
  void enqueue(CallId id) { queue_.insert(queue_key(id)); }
  void dequeue(CallId id) { queue_.erase(queue_key(id)); }
  [[nodiscard]] bool is_queue_empty() const { return queue_.empty(); }
  /// The visitor may remove the current call from the queue or change its position.
  void for_each_queued(auto visit) {
    for (auto next = queue_.begin(); next != queue_.end();) visit(std::get<CallId>(*next++));
  }

  /// Lowers the weight of the queued calls that have become late.
  /// Departure: a call past its latency objective is not rejected. It stays queued while its caller waits,
  /// behind all calls that can be in time. If it were rejected, the caller would redial at once, and where
  /// redials are not marked the redial would count as a new call.
  void mark_late() {
    for_each_queued([this](CallId id) {
      auto& call = calls_.at(id);
      if (call.is_late || context_.now < call.late_after) return;
      dequeue(id);
      call.is_late = true;
      call.priority_weight *= call.class_settings->late_weight_fraction;
      enqueue(id);
    });
  }

  void cancel(CallId id) {
    auto* call = find(id);
    if (call == nullptr || !call->server || call->is_established || call->is_cancelling) return;
    if (!context_.settings.limits.may_cancel) return;
    call->is_cancelling = true;
    context_.emit(CancelAttempt{id, call->attempts - 1});
  }

  /// Cancels the server's oldest set-up if it is lost or overdue.
  /// Departure: a set-up that has been in flight for longer than the silence timeout, while one sent later
  /// has been established, counts as lost, by the link or a restart. It is cancelled, as it would otherwise
  /// hold its token until its caller hangs up.
  /// Departure: a set-up past its latency objective is cancelled while calls that can be in time are queued,
  /// so that it does not add to an overload. This does not help where a processor goes on working on
  /// abandoned set-ups.
  void cancel_overdue(const Server& server) {
    if (server.in_flight.empty()) return;
    const auto [sent, id] = *server.in_flight.begin();
    const auto* call = find(id);
    const bool is_lost =
        sent < server.last_established_sent && context_.now - sent > context_.silence_timeout();
    const bool has_queued_call_in_time =
        !queue_.empty() && !calls_.at(std::get<CallId>(*queue_.begin())).is_late;
    const bool is_overdue = call != nullptr && !call->is_late &&
                            context_.now - call->arrived > call->class_settings->latency_objective;
    if (is_lost || (is_overdue && has_queued_call_in_time)) cancel(id);
  }

 private:
  using QueueKey = std::tuple<double, Duration, CallId>;
  [[nodiscard]] QueueKey queue_key(CallId id) const {
    const auto& call = calls_.at(id);
    return {-call.priority_weight, Instant{} - call.arrived, id};
  }

  Context& context_;
  std::unordered_map<CallId, Call> calls_;  // never iterated: the order depends on the platform
  std::set<QueueKey> queue_;
};

}  // namespace amberknot::policy
