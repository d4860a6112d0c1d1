// Outlier ejection and failure detection of servers.
#pragma once

#include "policy/call_queue.hpp"
#include "policy/slow_start.hpp"

namespace amberknot::policy {

/// Excludes servers from the choice: full or faulty ones for a pause, silent or unreachable ones (suspected)
/// until they respond or, without health checks, until no set-up is in flight there. Constants named
/// ...Budgets are in response budgets.
class OutlierEjection {
 public:
  OutlierEjection(Context& context, CallQueue& calls, SlowStart& slow_start)
      : context_(context), calls_(calls), slow_start_(slow_start) {}

  /// Ejects the server, for `retry_after` if that is longer than the pause.
  /// Departure: a full or faulty server is ejected for a pause that doubles each time, then gets one set-up
  /// at a time; each established call halves the pause. A full processor spends work on each rejection, and a
  /// faulty one answers with errors at once: its short delay would attract most calls. A single error does
  /// not eject, as the caller may be at fault.
  void eject(Server& server, std::optional<Duration> retry_after) const {
    context_.mark_overloaded();
    if (context_.now < server.ejected_until) return;
    const Duration pause = scaled(context_.response_budget, server.ejection_pause_budgets);
    server.ejected_until = context_.now + std::max(pause, retry_after.value_or(Duration::zero()));
    server.ejection_pause_budgets = std::min(2.0 * server.ejection_pause_budgets, kMaxEjectionPauseBudgets);
  }
  void on_error(Server& server) const {
    if (++server.consecutive_errors >= kMaxConsecutiveErrors) eject(server, std::nullopt);
  }
  static void on_established(Server& server) {
    server.ejection_pause_budgets =
        std::max(Server::kMinEjectionPauseBudgets, server.ejection_pause_budgets / 2.0);
    server.consecutive_errors = 0;
  }
  /// After an ejection, allows one set-up at a time until enough have been established.
  [[nodiscard]] bool may_send(const Server& server) const {
    const bool is_on_probation = server.ejection_pause_budgets > Server::kMinEjectionPauseBudgets;
    return context_.now >= server.ejected_until && !(is_on_probation && !server.in_flight.empty());
  }

  void suspect(Server& server, const char* reason) const {
    if (server.is_suspected) return;
    server.is_suspected = true;
    server.suspected_since = context_.now;
    context_.mark_overloaded();
    server.next_health_check = context_.now;
    context_.log(
        std::string("server suspected; it receives no new calls until the suspicion is cleared; cause: ") +
        reason);
    for (const auto& [sent, id] : server.in_flight) calls_.cancel(id);
  }
  void on_response(Server& server) const {
    server.last_response = context_.now;
    if (server.is_suspected) clear_suspicion(server);
  }

  /// Returns true while the server needs further checks.
  [[nodiscard]] bool check(Server& server) const {
    const bool needs_checks = !server.in_flight.empty() || (server.is_suspected && server.is_ready());
    if (is_stalled(server) && !context_.settings.limits.may_check_health) suspect(server, "silent");
    // A server with a long queue looks the same as a failed one; the health check tells them apart.
    if (is_stalled(server)) check_health(server);
    calls_.cancel_overdue(server);
    if (server.is_suspected && server.is_ready()) check_health(server);
    return needs_checks;
  }

 private:
  // Longest pause: a server that has recovered is not left unused for longer
  static constexpr double kMaxEjectionPauseBudgets = 4.0;
  static constexpr int kMaxConsecutiveErrors = 3;  // in a row: the server is at fault, not the callers
  // Interval between health checks as a share of the least latency objective; short enough that a lost check
  // costs little time
  static constexpr double kHealthCheckObjectiveShare = 0.5;

  [[nodiscard]] bool is_stalled(const Server& server) const {
    if (server.in_flight.empty() || !server.is_available()) return false;
    const Instant since = std::max(server.last_response, server.in_flight.begin()->first);
    return context_.now - since > context_.silence_timeout();
  }
  void check_health(Server& server) const {
    if (context_.now < server.next_health_check) return;
    server.next_health_check =
        context_.now + scaled(context_.min_latency_objective, kHealthCheckObjectiveShare);
    if (context_.settings.limits.may_check_health) return context_.emit(CheckHealth{server.id});
    if (server.in_flight.empty()) clear_suspicion(server);
  }
  // Departure: a server suspected for longer than the least latency objective gets a slow start, as it may
  // have restarted without an endpoint update.
  void clear_suspicion(Server& server) const {
    server.is_suspected = false;
    context_.log("suspected server cleared; it receives calls again");
    const bool was_suspected_long = context_.now - server.suspected_since > context_.min_latency_objective;
    if (was_suspected_long) slow_start_.begin(server, context_.now);
  }

  Context& context_;
  CallQueue& calls_;
  SlowStart& slow_start_;
};

}  // namespace amberknot::policy
