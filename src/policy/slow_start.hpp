#pragma once

#include "policy/context.hpp"

namespace amberknot::policy {

/// Paces set-ups to servers that started lately, so that all senders together do not overload them.
class SlowStart {
 public:
  explicit SlowStart(Context& context) : context_(context) {}

  // Senders learn of a start at the same moment: each waits for a random part of its first interval.
  void begin(Server& server, Instant since) {
    auto& capacity = server.capacity;
    capacity.max_used_before_start = std::max(capacity.max_used_before_start, capacity.max_used);
    capacity.max_used = 0;
    server.slow_start_began = since;
    server.slow_start_rate = 1.0;
    const double part = context_.random_up_to(1.0);
    server.slow_start_next_send = context_.now + scaled(send_interval(server), part);
    server.excess = Duration::zero();
    server.traffic_share = std::min(server.traffic_share, 1.0);
    server.traffic_share_updated = context_.now;
  }

  [[nodiscard]] bool is_over(const Server& server) const { return capacity_fraction(server) >= 1.0; }
  [[nodiscard]] bool may_send(const Server& server) const {
    return is_over(server) || context_.now >= server.slow_start_next_send;
  }
  void on_send(Server& server) const {
    if (!is_over(server)) server.slow_start_next_send = context_.now + send_interval(server);
  }
  void on_established(Server& server, bool is_calm) {
    auto& rate = server.slow_start_rate;
    if (is_over(server)) return established_.count(context_.now, 1.0 / std::max(1.0, warm_servers()));
    rate = is_calm ? rate * kRateGrowth : std::max(1.0, rate / 2.0);
  }

 private:
  static constexpr double kRateGrowth =
      1.1;  // a set-up: a queue shows before the overload multiple is reached
  static constexpr double kMaxCarriedSize = 4.0;  // against the mean server, by the calls it carried
  static constexpr double kMaxPlannedSize = 1.5;  // the same by its lines: a plan only, and may overstate it
  static constexpr double kBlindSetUps = 2.0;  // of all senders in an overload window, without a warm server

  // Part of its full capacity that a server has at its age.
  [[nodiscard]] double capacity_fraction(const Server& server) const {
    const auto& rules = context_.settings.invariants;
    if (!server.slow_start_began || rules.slow_start_duration <= Duration::zero()) return 1.0;
    const double age = seconds(context_.now - *server.slow_start_began) / seconds(rules.slow_start_duration);
    const double initial = rules.slow_start_initial_capacity;
    return std::min(1.0, initial + (1.0 - initial) * std::max(0.0, age));
  }

  [[nodiscard]] double warm_servers() const {
    return context_.count_servers([this](const auto& one) { return one.is_available() && is_over(one); });
  }

  // Rule 4: the rate at which a warm server, or the last that were, establishes our calls (arrivals would
  // overstate what a processor bears), times the capacity fraction: so all senders together stay below the
  // `overload_multiple`. As servers may be unequal, calm answers raise it.
  [[nodiscard]] Duration send_interval(const Server& server) const {
    const double peer_count = std::max<double>(1.0, context_.settings.peer_count);
    const double blind = kBlindSetUps / (peer_count * seconds(context_.settings.invariants.overload_window));
    const Instant known_at = warm_servers() > 0 ? context_.now : established_.updated;
    const double warm_rate = established_.per_second(known_at, context_.started);
    const double known = capacity_fraction(server) * warm_rate * relative_size(server);
    return Duration{static_cast<std::int64_t>(1e6 / (std::max(known, blind) * server.slow_start_rate))};
  }

  // Size against the mean warm server: by the calls it carried before, else by its lines.
  [[nodiscard]] double relative_size(const Server& server) const {
    double carried = 0;
    double lines = 0;
    double count = 0;
    for (const auto& [id, one] : context_.servers) {
      if (!one.is_available() || (warm_servers() > 0 && !is_over(one))) continue;
      if (!one.capacity.lines) return 1.0;
      carried += std::max(one.capacity.max_used, one.capacity.max_used_before_start);
      lines += *one.capacity.lines;
      ++count;
    }
    if (count <= 0 || !server.capacity.lines) return 1.0;
    const double before = server.capacity.max_used_before_start;
    if (before > 0 && carried > 0) return std::min(before * count / carried, kMaxCarriedSize);
    return std::min(*server.capacity.lines * count / lines, kMaxPlannedSize);
  }

  Context& context_;
  Rate established_;  // own calls established, for each warm server
};

}  // namespace amberknot::policy
