#pragma once

#include "policy/fleet.hpp"

namespace amberknot::policy {

/// Chooses the server for a call: its first choice while that has capacity, otherwise a weighted draw.
class ServerChoice {
 public:
  ServerChoice(Context& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  [[nodiscard]] std::uint64_t evaluations() const { return evaluations_; }

  [[nodiscard]] bool is_eligible(const Server& server, const Call& call) const {
    if (!server.is_ready() || !supports(server, call)) return false;
    if (context_.settings.own_pool && server.pool == *context_.settings.own_pool) return false;
    if (call.facts.is_in_transit) return server.pool == call.facts.destination;
    const auto& pools = call.cls->pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), server.pool) != pools.end();
  }

  // Departure: no server there is supports what the call needs. Queueing it would not change that.
  [[nodiscard]] bool is_unroutable(const Call& call) const {
    const auto excluded = call.facts.excluded_versions;
    if (excluded == 0 || excluded == kAllVersions) return excluded != 0;
    const auto is_listed = [](const auto& server) { return server.state != EndpointState::kRemoved; };
    const auto can_serve = [&](const auto& server) { return is_listed(server) && supports(server, call); };
    return context_.count_servers(is_listed) > 0 && context_.count_servers(can_serve) == 0;
  }

  // In one pass over the queue capacity only shrinks: where there was none for one call there is none for its
  // like that has no more time. Between passes it may grow, also at one instant: an arrival raises the rate.
  void begin_pass() { rejected_until_.clear(); }

  [[nodiscard]] Server* choose(const Call& call) {
    const auto destination = call.facts.is_in_transit ? std::optional(call.facts.destination) : std::nullopt;
    const auto [rejected, is_first] = rejected_until_.try_emplace(
        Kind{call.cls.get(), call.late, call.facts.excluded_versions, call.facts.width, destination},
        Instant::min());
    if (!is_first && call.establish_by() <= rejected->second) return nullptr;
    std::vector<std::pair<Server*, double>> candidates;
    double total = 0;
    for (auto& [id, server] : context_.servers) {
      if (!has_capacity(server, call)) continue;
      if (server.pool == call.facts.destination) return &server;
      const double weight = std::pow(std::max(seconds(fleet_.delays.delay(server)), 1e-3), -kDelayPower);
      total += weight;
      candidates.emplace_back(&server, weight);
    }
    if (candidates.empty()) {
      rejected->second = call.establish_by();
      return nullptr;
    }
    double remaining = context_.random_up_to(total);
    for (const auto& [server, weight] : candidates) {
      if ((remaining -= weight) <= 0) return server;
    }
    return candidates.back().first;
  }

 private:
  static constexpr double kDelayPower = 2.0;  // of the draw's weights: half the delay, four times the calls
  static constexpr double kLateTokens = 1.0;  // free before a late call takes one

  [[nodiscard]] static bool supports(const Server& server, const Call& call) {
    return (call.facts.excluded_versions >> static_cast<unsigned>(server.version) & 1U) == 0;
  }

  [[nodiscard]] bool has_capacity(Server& server, const Call& call) {
    ++evaluations_;
    if (!is_eligible(server, call) || server.suspected) return false;
    if (server.capacity.free_lines && *server.capacity.free_lines < call.facts.width) return false;
    if (!fleet_.ejection.may_send(server) || !fleet_.tokens.has_token(server)) return false;
    if (!fleet_.slow_start.may_send(server)) return false;
    if (!call.late) return context_.now + fleet_.delays.delay(server) <= call.establish_by();
    // A late call earns little: it may use what is idle, but no token, or part of one, that a call in time
    // needs.
    const Duration queue = fleet_.delays.delay(server) - fleet_.delays.calm_delay(server);
    return queue < context_.budget(DelayEstimate::kOverloadQueue) &&
           fleet_.tokens.update_tokens(server) >= static_cast<double>(server.in_flight.size()) + kLateTokens;
  }

  Context& context_;
  Fleet& fleet_;
  using Kind = std::tuple<const CallClass*, bool, ProtocolVersionSet, double, std::optional<PoolId>>;
  std::map<Kind, Instant> rejected_until_;  // calls of which kind found none in this pass, and their time
  std::uint64_t evaluations_ = 0;
};

}  // namespace amberknot::policy
