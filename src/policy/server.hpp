#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "amberknot/admission.hpp"

namespace amberknot::policy {

/// Calls that a server carries, by its load reports.
struct Capacity {
  static constexpr double kMinUsedLines = 0.2;  // counted for the size of one that has few calls yet
  std::optional<double> free_lines;
  std::optional<double> lines;
  double max_used = 0;               // calls of all senders, since its start
  double max_used_before_start = 0;  // the same, before its latest start

  void update(const LoadReport& report) {
    if (report.free_lines) free_lines = *report.free_lines;
    if (report.lines) lines = *report.lines;
    if (free_lines && lines) max_used = std::max(max_used, *lines - *free_lines);
  }
  // What all senders have established tells its size; a fresh start has nothing yet. Zero: not known.
  [[nodiscard]] double size() const {
    return free_lines && lines ? std::max(*lines - *free_lines, kMinUsedLines * *lines) : 0;
  }
};

/// What this sender knows of one server. Each group of fields is kept by the part named beside it.
struct Server {
  static constexpr double kMaxTrafficShare = 1.5;  // of an equal part of our calls, until its delay is known
  static constexpr double kMinEjectionBudgets = 0.5;  // first pause, in response budgets: a queue drains

  ServerId id{};  // Fleet
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  Instant removed_at{};
  ProtocolVersion version{};
  Instant last_response{};
  Capacity capacity;
  Duration calm_delay{};  // DelayEstimate: least set-up delay seen; zero before the first
  Duration excess{};      // delay above calm when last reported
  Instant excess_updated{};
  std::set<std::pair<Instant, CallId>> in_flight;  // TokenBuckets: one token for each set-up in progress
  Instant last_send{};
  Instant last_established_sent{};          // when the latest set-up that was established was sent
  double traffic_share = kMaxTrafficShare;  // of an equal part of our calls, at the target delay
  Instant traffic_share_updated{};
  Instant ejected_until{};                        // OutlierEjection
  double ejection_budgets = kMinEjectionBudgets;  // the next pause
  int consecutive_errors = 0;
  bool suspected = false;
  Instant suspected_since{};
  Instant next_check{};
  std::optional<Instant> slow_start_began;  // SlowStart
  Instant slow_start_next_send{};
  double slow_start_rate = 1.0;  // factor earned by its own calm answers

  [[nodiscard]] bool is_ready() const { return state == EndpointState::kReady; }
  [[nodiscard]] bool is_available() const { return is_ready() && !suspected; }
};

}  // namespace amberknot::policy
