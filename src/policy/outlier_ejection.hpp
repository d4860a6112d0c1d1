#pragma once

#include "policy/call_queue.hpp"
#include "policy/slow_start.hpp"

namespace amberknot::policy {

/// Takes servers out of the choice: for a pause when they are full or faulty, until they answer when silent.
class OutlierEjection {
 public:
  OutlierEjection(Context& context, CallQueue& calls, SlowStart& slow_start)
      : context_(context), calls_(calls), slow_start_(slow_start) {}

  // Departure: a full processor turns away at a cost in work, and a faulty one answers at once with errors;
  // either would draw most calls by its speed. It is ejected for a pause that doubles, and then has one
  // token; each call established halves the pause again. One error alone may be the caller's fault.
  void eject(Server& server, std::optional<Duration> retry_after) const {
    context_.note_overload();
    if (context_.now < server.ejected_until) return;
    const Duration pause = scaled(context_.response_budget, server.ejection_budgets);
    server.ejected_until = context_.now + std::max(pause, retry_after.value_or(Duration::zero()));
    server.ejection_budgets = std::min(2.0 * server.ejection_budgets, kMaxEjectionBudgets);
  }
  void on_error(Server& server) const {
    if (++server.consecutive_errors >= kMaxConsecutiveErrors) eject(server, std::nullopt);
  }
  static void on_established(Server& server) {
    server.ejection_budgets = std::max(Server::kMinEjectionBudgets, server.ejection_budgets / 2.0);
    server.consecutive_errors = 0;
  }
  // After an ejection, one set-up at a time until enough have been established.
  [[nodiscard]] bool may_send(const Server& server) const {
    const bool is_on_trial = server.ejection_budgets > Server::kMinEjectionBudgets;
    return context_.now >= server.ejected_until && !(is_on_trial && !server.in_flight.empty());
  }

  void suspect(Server& server, const char* why) const {
    if (server.suspected) return;
    server.suspected = true;
    server.suspected_since = context_.now;
    context_.note_overload();
    server.next_check = context_.now;
    context_.log(std::string("suspect: ") + why);
    for (const auto& [sent, id] : server.in_flight) calls_.cancel(id);
  }
  void on_response(Server& server) const {
    server.last_response = context_.now;
    if (server.suspected) clear_suspicion(server);
  }

  // True while there is something to watch the server for.
  [[nodiscard]] bool check(Server& server) const {
    const bool is_watched = !server.in_flight.empty() || (server.suspected && server.is_ready());
    if (is_stalled(server) && !context_.settings.limits.probes) suspect(server, "silent");
    if (is_stalled(server)) check_health(server);  // a long queue is silent too: the health check decides
    calls_.cancel_overdue(server);
    if (server.suspected && server.is_ready()) check_health(server);
    return is_watched;
  }

 private:
  static constexpr double kMaxEjectionBudgets = 4.0;  // a server that recovers is not left unused for longer
  static constexpr int kMaxConsecutiveErrors = 3;  // so many show that the server is at fault, not the calls
  static constexpr double kCheckIntervalShare = 0.5;  // of the least objective: one lost check costs little

  [[nodiscard]] bool is_stalled(const Server& server) const {
    if (server.in_flight.empty() || !server.is_available()) return false;
    const Instant since = std::max(server.last_response, server.in_flight.begin()->first);
    return context_.now - since > context_.silence_timeout();
  }
  void check_health(Server& server) const {
    if (context_.now < server.next_check) return;
    server.next_check = context_.now + scaled(context_.min_latency_objective, kCheckIntervalShare);
    if (context_.settings.limits.probes) return context_.act(CheckHealth{server.id});
    if (server.in_flight.empty()) clear_suspicion(server);
  }
  // Departure: a server silent for long may have restarted unlisted; it has a slow start.
  void clear_suspicion(Server& server) const {
    server.suspected = false;
    context_.log("suspect answers again");
    const bool was_long = context_.now - server.suspected_since > context_.min_latency_objective;
    if (was_long) slow_start_.begin(server, context_.now);
  }

  Context& context_;
  CallQueue& calls_;
  SlowStart& slow_start_;
};

}  // namespace amberknot::policy
