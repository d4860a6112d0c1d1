// What a sender knows of one server.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "amberknot/admission.hpp"

namespace amberknot::policy {

/// Lines of a server, and how many are in use, by its load reports.
struct Capacity {
  static constexpr double kMinUsedLinesShare = 0.2;  // counted in size() for a server with few calls so far
  std::optional<double> free_lines;
  std::optional<double> lines;
  double max_used = 0;               // most lines in use by all senders since its start
  double max_used_before_start = 0;  // the same before its latest start

  void update(const LoadReport& report) {
    if (report.free_lines) free_lines = *report.free_lines;
    if (report.total_lines) lines = *report.total_lines;
    if (free_lines && lines) max_used = std::max(max_used, *lines - *free_lines);
  }
  /// Size by the lines that all senders use, with a minimum for a server that has just started. Returns zero
  /// if it is not known.
  [[nodiscard]] double size() const {
    return free_lines && lines ? std::max(*lines - *free_lines, kMinUsedLinesShare * *lines) : 0;
  }
};

/// What this sender knows of one server. The class named beside a group of fields is its main user;
/// Admission::Impl, Fleet, OutlierEjection and SlowStart also update fields of other groups.
struct Server {
  // Upper bound of the traffic share factor, and its initial value, as a new server's delay is not known
  static constexpr double kMaxTrafficShareFactor = 1.5;
  // First pause, in response budgets: time for a queue to drain
  static constexpr double kMinEjectionPauseBudgets = 0.5;

  ServerId id{};  // Fleet
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  Instant removed_at{};
  ProtocolVersion version{};
  Instant last_response{};
  Capacity capacity;
  Duration base_delay{};   // DelayEstimate: least set-up delay seen; zero if none yet
  Duration queue_delay{};  // delay above the base delay at the last report
  Instant queue_delay_updated{};
  std::set<std::pair<Instant, CallId>> in_flight;  // TokenBuckets: send time and call; each holds a token
  Instant last_send{};
  Instant last_established_sent{};  // send time of the latest set-up that was established
  // Share of our calls at the target delay, in multiples of the fair share (TokenBuckets::fair_share)
  double traffic_share_factor = kMaxTrafficShareFactor;
  Instant traffic_share_updated{};
  Instant ejected_until{};                                   // OutlierEjection
  double ejection_pause_budgets = kMinEjectionPauseBudgets;  // next pause, in response budgets
  int consecutive_errors = 0;
  bool is_suspected = false;
  Instant suspected_since{};
  Instant next_health_check{};
  std::optional<Instant> slow_start_began;  // SlowStart
  Instant slow_start_next_send{};
  double slow_start_rate_factor = 1.0;  // raised by set-ups with a short delay

  [[nodiscard]] bool is_ready() const { return state == EndpointState::kReady; }
  [[nodiscard]] bool is_available() const { return is_ready() && !is_suspected; }
};

}  // namespace amberknot::policy
