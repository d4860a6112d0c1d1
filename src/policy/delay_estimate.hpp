// Estimates the set-up delay of each server from set-up times and load reports.
#pragma once

#include "policy/context.hpp"

namespace amberknot::policy {

/// Expected set-up delay of each server: its base delay, without load, plus the queue delay on top of it.
/// Constants named ...Budgets are in response budgets.
class DelayEstimate {
 public:
  // A shorter delay counts as unloaded; the rest of the budget is left for variation
  static constexpr double kUnloadedDelayBudgets = 0.5;
  static constexpr double kTargetQueueBudgets = 0.3;  // kept at an overloaded server so that it never idles
  // A longer queue means overload
  static constexpr double kOverloadQueueBudgets = kTargetQueueBudgets * kUnloadedDelayBudgets;

  explicit DelayEstimate(Context& context) : context_(context) {}

  /// A longer delay is taken over at once, a shorter one only in part, so that the server's weight in the
  /// random choice recovers slowly.
  void update_queue_delay(Server& server, Duration reading) const {
    const Duration decayed = own_queue_delay(server);
    const double gain = std::max(kRecoveryGain, 1.0 - freshness(server));
    server.queue_delay = reading >= decayed ? reading : decayed + scaled(reading - decayed, gain);
    server.queue_delay_updated = context_.now;
    if (reading > context_.response_budget_share(kOverloadQueueBudgets)) context_.mark_overloaded();
  }

  /// A server without an established set-up gets the mean base delay of the available servers: with a shorter
  /// base delay, all senders would choose it at the same time.
  [[nodiscard]] Duration base_delay(const Server& server) {
    update_means();
    return server.base_delay > Duration::zero() ? server.base_delay : mean_base_delay_;
  }

  /// Queue delay from this server's own reports. It falls by no more than the time that has passed, as a
  /// queue cannot drain faster; the last report also decays exponentially, and the larger value counts.
  [[nodiscard]] Duration own_queue_delay(const Server& server) const {
    const Duration age = context_.now - server.queue_delay_updated;
    const double remaining_share =
        decay(age, Context::kQueueDecayBudgets * seconds(context_.response_budget));
    return std::max(server.queue_delay - age, scaled(server.queue_delay, remaining_share));
  }

  /// Expected set-up delay. An old report below the mean of the available servers moves towards that mean.
  /// The result is no less than the waiting time of our oldest set-up in flight. Set-ups that were not
  /// sent after the latest established one do not count, as they may have been lost.
  [[nodiscard]] Duration delay(const Server& server) {
    Duration expected = base_delay(server);
    const Duration own_delay = own_queue_delay(server);
    expected += own_delay < mean_queue_delay_
                    ? own_delay + scaled(mean_queue_delay_ - own_delay, 1.0 - freshness(server))
                    : own_delay;
    const auto oldest = server.in_flight.upper_bound({server.last_established_sent, CallId{UINT32_MAX}});
    return oldest == server.in_flight.end() ? expected : std::max(expected, context_.now - oldest->first);
  }

 private:
  static constexpr double kReportDecayBudgets = 5.0;  // time constant of a report's weight
  // Least weight of a shorter delay; small, because the design asks for a slow recovery
  static constexpr double kRecoveryGain = 0.4;

  [[nodiscard]] double freshness(const Server& server) const {
    return decay(context_.now - server.queue_delay_updated,
                 kReportDecayBudgets * seconds(context_.response_budget));
  }

  void update_means() {
    if (std::exchange(means_updated_, context_.now) == context_.now) return;
    double weighted_sum = 0;
    double weight_sum = 1e-9;
    Duration base_delay_sum{};
    int known_count = 0;
    for (const auto& [id, server] : context_.servers) {
      if (!server.is_available()) continue;
      weight_sum += freshness(server);
      weighted_sum += freshness(server) * seconds(own_queue_delay(server));
      base_delay_sum += server.base_delay;
      known_count += server.base_delay > Duration::zero() ? 1 : 0;
    }
    mean_queue_delay_ = scaled(Duration{std::chrono::seconds{1}}, weighted_sum / weight_sum);
    mean_base_delay_ = base_delay_sum / std::max(known_count, 1);
  }

  Context& context_;
  Duration mean_queue_delay_{};  // of the available servers, weighted by freshness
  Duration mean_base_delay_{};
  Instant means_updated_{};
};

}  // namespace amberknot::policy
