// Slow start of servers that have started or restarted.
#pragma once

#include "policy/context.hpp"

namespace amberknot::policy {

/// Limits the rate of set-ups to recently started servers, so that all senders together do not overload them.
/// A server whose slow start is finished is called warm.
class SlowStart {
 public:
  explicit SlowStart(Context& context) : context_(context) {}

  /// Begins a slow start. Senders learn of a start at the same time, so each waits for a random part of its
  /// first interval.
  void begin(Server& server, Instant since) {
    auto& capacity = server.capacity;
    capacity.max_used_before_start = std::max(capacity.max_used_before_start, capacity.max_used);
    capacity.max_used = 0;
    server.slow_start_began = since;
    server.slow_start_rate_factor = 1.0;
    const double random_fraction = context_.random_up_to(1.0);
    server.slow_start_next_send = context_.now + scaled(send_interval(server), random_fraction);
    server.queue_delay = Duration::zero();
    server.traffic_share_factor = std::min(server.traffic_share_factor, 1.0);
    server.traffic_share_updated = context_.now;
  }

  [[nodiscard]] bool is_finished(const Server& server) const { return capacity_fraction(server) >= 1.0; }
  [[nodiscard]] bool may_send(const Server& server) const {
    return is_finished(server) || context_.now >= server.slow_start_next_send;
  }
  void on_send(Server& server) const {
    if (!is_finished(server)) server.slow_start_next_send = context_.now + send_interval(server);
  }
  void on_established(Server& server, bool is_unloaded) {
    auto& rate = server.slow_start_rate_factor;
    if (is_finished(server))
      return established_rate_.count(context_.now, 1.0 / std::max(1.0, count_warm_servers()));
    rate = is_unloaded ? rate * kRateGrowthPerSetUp : std::max(1.0, rate / 2.0);
  }

 private:
  // Growth of the rate factor per set-up with a short delay; small enough that a queue shows before the rate
  // reaches `overload_multiple`
  static constexpr double kRateGrowthPerSetUp = 1.1;
  // Largest relative size, in multiples of the mean server, by the most lines in use before the start
  static constexpr double kMaxSizeByUsedLines = 4.0;
  // Largest relative size, in multiples of the mean server, by all its lines: they are a planned capacity,
  // which may overstate the real one
  static constexpr double kMaxSizeByLines = 1.5;
  static constexpr double kSetUpsWithoutWarmServer = 2.0;  // by all senders per overload window

  // Share of its full capacity that a server has, by the time since its start.
  [[nodiscard]] double capacity_fraction(const Server& server) const {
    const auto& rules = context_.settings.invariants;
    if (!server.slow_start_began || rules.slow_start_duration <= Duration::zero()) return 1.0;
    const double age = seconds(context_.now - *server.slow_start_began) / seconds(rules.slow_start_duration);
    const double initial = rules.slow_start_initial_capacity;
    return std::min(1.0, initial + (1.0 - initial) * std::max(0.0, age));
  }

  [[nodiscard]] double count_warm_servers() const {
    return context_.count_servers(
        [this](const auto& other) { return other.is_available() && is_finished(other); });
  }

  // Interval between set-ups. The rate is that at which one warm server establishes our calls (the last known
  // rate if there is no warm server now), times the capacity fraction and the relative size. It is at least
  // kSetUpsWithoutWarmServer per overload window for all senders together. The arrival rate is not used, as
  // it would overstate what a processor can take. This keeps all senders together below `overload_multiple`,
  // by the rule that no warming server is overloaded. As servers may be of unequal size, set-ups with a short
  // delay raise the rate.
  [[nodiscard]] Duration send_interval(const Server& server) const {
    const double peer_count = std::max<double>(1.0, context_.settings.peer_count);
    const double rate_without_warm_server =
        kSetUpsWithoutWarmServer / (peer_count * seconds(context_.settings.invariants.overload_window));
    const Instant known_at = count_warm_servers() > 0 ? context_.now : established_rate_.updated;
    const double warm_rate = established_rate_.per_second(known_at, context_.started);
    const double known_rate = capacity_fraction(server) * warm_rate * relative_size(server);
    return Duration{static_cast<std::int64_t>(
        1e6 / (std::max(known_rate, rate_without_warm_server) * server.slow_start_rate_factor))};
  }

  // Size relative to the mean warm server: by the most lines in use before its start, otherwise by its lines.
  [[nodiscard]] double relative_size(const Server& server) const {
    double total_max_used = 0;
    double total_lines = 0;
    double server_count = 0;
    for (const auto& [id, other] : context_.servers) {
      if (!other.is_available() || (count_warm_servers() > 0 && !is_finished(other))) continue;
      if (!other.capacity.lines) return 1.0;
      total_max_used += std::max(other.capacity.max_used, other.capacity.max_used_before_start);
      total_lines += *other.capacity.lines;
      ++server_count;
    }
    if (server_count <= 0 || !server.capacity.lines) return 1.0;
    const double max_used_before = server.capacity.max_used_before_start;
    if (max_used_before > 0 && total_max_used > 0)
      return std::min(max_used_before * server_count / total_max_used, kMaxSizeByUsedLines);
    return std::min(*server.capacity.lines * server_count / total_lines, kMaxSizeByLines);
  }

  Context& context_;
  Rate established_rate_;  // our established calls, per warm server
};

}  // namespace amberknot::policy
