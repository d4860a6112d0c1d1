// Applies endpoint updates, attempt results and health checks to the state of the servers.
#pragma once

#include "policy/outlier_ejection.hpp"
#include "policy/token_buckets.hpp"

namespace amberknot::policy {

/// The servers as this sender knows them, with their delay estimates, tokens, slow starts and ejections.
class Fleet {
  Context& context_;

 public:
  DelayEstimate delays{context_};
  TokenBuckets tokens{context_, delays};
  SlowStart slow_start{context_};
  OutlierEjection ejection;

  Fleet(Context& context, CallQueue& calls) : context_(context), ejection(context, calls, slow_start) {}

  void on_update(const EndpointUpdate& update) {
    if (update.scope == EndpointUpdateScope::kFailed) return context_.watch_endpoints();
    if (update.scope != EndpointUpdateScope::kDelta) {
      for (auto& [id, server] : context_.servers) set_state(server, EndpointState::kRemoved);
    }
    for (const auto& entry : update.entries) {
      auto& server = context_.servers[entry.server];
      server.id = entry.server;
      server.pool = entry.pool;
      server.version = entry.version;
      set_state(server, entry.state);
      // A later start time begins a slow start, even if no update has shown the server as removed.
      if (server.slow_start_began < entry.started) {
        slow_start.begin(server, *entry.started);
        server.is_suspected = false;
        server.last_response = context_.now;
      }
    }
    // New servers have new ids: without this cleanup the table would grow without bound.
    std::erase_if(context_.servers, [this](const auto& item) {
      const auto& server = item.second;
      return server.state == EndpointState::kRemoved && server.in_flight.empty() &&
             context_.now - server.removed_at > kRemovedRetention;
    });
  }

  void on_established(Server& server, Duration elapsed) {
    on_response(server, {});
    if (server.base_delay == Duration::zero() || elapsed < server.base_delay) server.base_delay = elapsed;
    learn_queue_delay(server, elapsed - server.base_delay);
    ejection.on_established(server);
    slow_start.on_established(
        server, delays.delay(server) < context_.response_budget_share(DelayEstimate::kUnloadedDelayBudgets));
  }

  void on_ended(Server& server, const AttemptEnded& ended) {
    const Outcome outcome = ended.outcome;
    if (outcome == Outcome::kReset) return;
    if (outcome == Outcome::kConnectFailed) return ejection.suspect(server, "the connection failed");
    if (outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kFull) {
      on_response(server, ended.report);
      if (outcome == Outcome::kFull) ejection.eject(server, ended.retry_after);
      if (outcome == Outcome::kError && !ended.is_caller_fault) ejection.on_error(server);
    } else {
      server.capacity.update(ended.report);
      if (ended.report.queue_delay) learn_queue_delay(server, *ended.report.queue_delay);
    }
  }

  void on_health_check(Server& server, const HealthCheckResult& result) {
    if (result.is_unsolicited) return server.capacity.update(result.report);
    if (result.outcome == Outcome::kOk) return on_response(server, result.report);
    // A health check that timed out means an overloaded or hung server, but set-ups in flight may still be
    // established: the server is not suspected.
    if (result.outcome == Outcome::kTimeout) return ejection.eject(server, std::nullopt);
    // A full server has answered, so it is not suspected. It may be full because all senders check it at the
    // same time.
    const bool is_full = result.outcome == Outcome::kFull;
    if (is_full) server.last_response = context_.now;
    if (!is_full && server.is_ready()) ejection.suspect(server, "the health check failed");
  }

 private:
  // The server may return under the same id
  static constexpr Duration kRemovedRetention = std::chrono::seconds{60};

  void set_state(Server& server, EndpointState state) const {
    if (server.state != EndpointState::kRemoved)
      server.removed_at = context_.now;  // only read for removed servers
    server.state = state;
  }

  void on_response(Server& server, const LoadReport& report) {
    if (report.queue_delay) learn_queue_delay(server, *report.queue_delay);
    server.capacity.update(report);
    ejection.on_response(server);
  }

  // Also updates the tokens, so that the traffic share factor changes with each report and not only when a
  // call is placed.
  void learn_queue_delay(Server& server, Duration reading) {
    delays.update_queue_delay(server, reading);
    tokens.update_tokens(server);
  }
};

}  // namespace amberknot::policy
