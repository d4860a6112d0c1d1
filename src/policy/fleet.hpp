#pragma once

#include "policy/outlier_ejection.hpp"
#include "policy/token_buckets.hpp"

namespace amberknot::policy {

/// The servers as this sender sees them: reads endpoint updates and load reports into the parts above.
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
      // A fresh start time means a slow start, whether or not the server's stop was ever listed.
      if (server.slow_start_began < entry.started) {
        slow_start.begin(server, *entry.started);
        server.suspected = false;
        server.last_response = context_.now;
      }
    }
    // Ids of servers are always new: without this the table would grow all day.
    std::erase_if(context_.servers, [this](const auto& item) {
      const auto& server = item.second;
      return server.state == EndpointState::kRemoved && server.in_flight.empty() &&
             context_.now - server.removed_at > kRemovedRetention;
    });
  }

  void on_established(Server& server, Duration elapsed) {
    on_response(server, {});
    if (server.calm_delay == Duration::zero() || elapsed < server.calm_delay) server.calm_delay = elapsed;
    learn_excess(server, elapsed - server.calm_delay);
    ejection.on_established(server);
    slow_start.on_established(server, delays.delay(server) < context_.budget(DelayEstimate::kCalm));
  }

  void on_ended(Server& server, const AttemptEnded& ended) {
    const Outcome outcome = ended.outcome;
    if (outcome == Outcome::kReset) return;
    if (outcome == Outcome::kConnectFailed) return ejection.suspect(server, "no connection");
    if (outcome == Outcome::kOk || outcome == Outcome::kError || outcome == Outcome::kFull) {
      on_response(server, ended.report);
      if (outcome == Outcome::kFull) ejection.eject(server, ended.retry_after);
      if (outcome == Outcome::kError && !ended.is_caller_fault) ejection.on_error(server);
    } else {
      server.capacity.update(ended.report);
      if (ended.report.wait) learn_excess(server, *ended.report.wait);
    }
  }

  void on_health_check(Server& server, const HealthCheckResult& result) {
    if (result.is_unsolicited) return server.capacity.update(result.report);
    if (result.outcome == Outcome::kOk) return on_response(server, result.report);
    // A late check shows an overload or a hang, but the set-ups in flight may still be established.
    if (result.outcome == Outcome::kTimeout) return ejection.eject(server, std::nullopt);
    const bool is_full = result.outcome == Outcome::kFull;  // it lives: all senders check it at once
    if (is_full) server.last_response = context_.now;
    if (!is_full && server.is_ready()) ejection.suspect(server, "probe not connected");
  }

 private:
  static constexpr Duration kRemovedRetention = std::chrono::seconds{60};  // may come back under the same id

  void set_state(Server& server, EndpointState state) const {
    if (server.state != EndpointState::kRemoved) server.removed_at = context_.now;  // if it is removed now
    server.state = state;
  }

  void on_response(Server& server, const LoadReport& report) {
    if (report.wait) learn_excess(server, *report.wait);
    server.capacity.update(report);
    ejection.on_response(server);
  }

  // Tokens are withheld at the report, not at the next call.
  void learn_excess(Server& server, Duration reading) {
    delays.update_excess(server, reading);
    tokens.update_tokens(server);
  }
};

}  // namespace amberknot::policy
