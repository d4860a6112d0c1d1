#pragma once

#include "policy/context.hpp"

namespace amberknot::policy {

/// Set-up delay to expect at each server: the calm delay and the excess above it, that is the queue.
class DelayEstimate {
 public:
  static constexpr double kCalm = 0.5;         // up to this share of the response budget: the rest varies
  static constexpr double kTargetQueue = 0.3;  // share to keep at an overloaded server: it never idles
  static constexpr double kOverloadQueue = kTargetQueue * kCalm;  // a longer queue is a sign of overload

  explicit DelayEstimate(Context& context) : context_(context) {}

  // A worse reading counts whole, a better one in part: the draw's weight recovers slowly.
  void update_excess(Server& server, Duration reading) const {
    const Duration decayed = own_excess(server);
    const double gain = std::max(kRecoveryGain, 1.0 - freshness(server));
    server.excess = reading >= decayed ? reading : decayed + scaled(reading - decayed, gain);
    server.excess_updated = context_.now;
    if (reading > context_.budget(kOverloadQueue)) context_.note_overload();
  }

  // A server without a set-up yet is no quicker than the mean one: all senders would choose it at once.
  [[nodiscard]] Duration calm_delay(const Server& server) {
    update_means();
    return server.calm_delay > Duration::zero() ? server.calm_delay : mean_calm_;
  }

  // A queue cannot drain faster than the clock runs, and the memory of one decays slowly.
  [[nodiscard]] Duration own_excess(const Server& server) const {
    const Duration age = context_.now - server.excess_updated;
    const double left = decay(age, Context::kExcessDecayBudgets * seconds(context_.response_budget));
    return std::max(server.excess - age, scaled(server.excess, left));
  }

  // What was last reported, no better than the others' mean if that is long ago, and no less than our oldest
  // set-up has waited already. One that a later set-up has overtaken does not count: it was lost.
  [[nodiscard]] Duration delay(const Server& server) {
    Duration expected = calm_delay(server);
    const Duration own = own_excess(server);
    expected += own < mean_excess_ ? own + scaled(mean_excess_ - own, 1.0 - freshness(server)) : own;
    const auto oldest = server.in_flight.upper_bound({server.last_established_sent, CallId{UINT32_MAX}});
    return oldest == server.in_flight.end() ? expected : std::max(expected, context_.now - oldest->first);
  }

 private:
  static constexpr double kFreshBudgets = 5.0;  // time constant of a report, in response budgets
  static constexpr double kRecoveryGain = 0.4;  // part of a better reading (design: recovers slowly)

  [[nodiscard]] double freshness(const Server& server) const {
    return decay(context_.now - server.excess_updated, kFreshBudgets * seconds(context_.response_budget));
  }

  void update_means() {
    if (std::exchange(means_updated_, context_.now) == context_.now) return;
    double sum = 0;
    double weights = 1e-9;
    Duration calm{};
    int known = 0;
    for (const auto& [id, one] : context_.servers) {
      if (!one.is_available()) continue;
      weights += freshness(one);
      sum += freshness(one) * seconds(own_excess(one));
      calm += one.calm_delay;
      known += one.calm_delay > Duration::zero() ? 1 : 0;
    }
    mean_excess_ = scaled(Duration{std::chrono::seconds{1}}, sum / weights);
    mean_calm_ = calm / std::max(known, 1);
  }

  Context& context_;
  Duration mean_excess_{};  // weighted by freshness
  Duration mean_calm_{};
  Instant means_updated_{};
};

}  // namespace amberknot::policy
