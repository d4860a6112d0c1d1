// Chooses the server for each call.
#pragma once

#include "policy/fleet.hpp"

namespace amberknot::policy {

/// Chooses the server for a call: one of its destination pool if that has capacity, otherwise a random server
/// with a weight that falls with its delay.
class ServerChoice {
 public:
  ServerChoice(Context& context, Fleet& fleet) : context_(context), fleet_(fleet) {}

  [[nodiscard]] std::uint64_t evaluations() const { return evaluations_; }

  [[nodiscard]] bool is_eligible(const Server& server, const Call& call) const {
    if (!server.is_ready() || !supports(server, call)) return false;
    if (context_.settings.own_pool && server.pool == *context_.settings.own_pool) return false;
    if (call.request.is_in_transit) return server.pool == call.request.destination;
    const auto& pools = call.class_settings->pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), server.pool) != pools.end();
  }

  // Departure: a call that no listed server supports, by its protocol version, is answered at once. Waiting
  // in the queue would not help.
  [[nodiscard]] bool is_unroutable(const Call& call) const {
    const auto excluded = call.request.excluded_versions;
    if (excluded == 0 || excluded == kAllVersions) return excluded != 0;
    const auto is_listed = [](const auto& server) { return server.state != EndpointState::kRemoved; };
    const auto can_serve = [&](const auto& server) { return is_listed(server) && supports(server, call); };
    return context_.count_servers(is_listed) > 0 && context_.count_servers(can_serve) == 0;
  }

  /// Starts a pass over the queue. During a pass capacity only falls: if a call finds no server, a call of
  /// the same kind whose establish_by() is no later finds none either. Between passes it may rise even at the
  /// same instant, as an arrival raises the arrival rate.
  void begin_pass() { no_capacity_until_.clear(); }

  /// Returns null if no eligible server has capacity.
  [[nodiscard]] Server* choose(const Call& call) {
    const auto destination =
        call.request.is_in_transit ? std::optional(call.request.destination) : std::nullopt;
    const auto [entry, is_new_entry] = no_capacity_until_.try_emplace(
        CallKind{call.class_settings.get(), call.is_late, call.request.excluded_versions, call.request.width,
                 destination},
        Instant::min());
    if (!is_new_entry && call.establish_by() <= entry->second) return nullptr;
    std::vector<std::pair<Server*, double>> candidates;
    double total_weight = 0;
    for (auto& [id, server] : context_.servers) {
      if (!has_capacity(server, call)) continue;
      if (server.pool == call.request.destination) return &server;
      const double weight = std::pow(std::max(seconds(fleet_.delays.delay(server)), 1e-3), -kDelayExponent);
      total_weight += weight;
      candidates.emplace_back(&server, weight);
    }
    if (candidates.empty()) {
      entry->second = call.establish_by();
      return nullptr;
    }
    double remaining = context_.random_up_to(total_weight);
    for (const auto& [server, weight] : candidates) {
      if ((remaining -= weight) <= 0) return server;
    }
    return candidates.back().first;
  }

 private:
  static constexpr double kDelayExponent = 2.0;             // half the delay gives four times the weight
  static constexpr double kMinFreeTokensForLateCall = 1.0;  // must be free before a late call takes one

  [[nodiscard]] static bool supports(const Server& server, const Call& call) {
    return (call.request.excluded_versions >> static_cast<unsigned>(server.version) & 1U) == 0;
  }

  [[nodiscard]] bool has_capacity(Server& server, const Call& call) {
    ++evaluations_;
    if (!is_eligible(server, call) || server.is_suspected) return false;
    if (server.capacity.free_lines && *server.capacity.free_lines < call.request.width) return false;
    if (!fleet_.ejection.may_send(server) || !fleet_.tokens.has_token(server)) return false;
    if (!fleet_.slow_start.may_send(server)) return false;
    if (!call.is_late) return context_.now + fleet_.delays.delay(server) <= call.establish_by();
    // A late call has little weight: it may only use idle capacity, not a token or part of a token that a
    // call in time needs.
    const Duration queue_delay = fleet_.delays.delay(server) - fleet_.delays.base_delay(server);
    return queue_delay < context_.response_budget_share(DelayEstimate::kOverloadQueueBudgets) &&
           fleet_.tokens.update_tokens(server) >=
               static_cast<double>(server.in_flight.size()) + kMinFreeTokensForLateCall;
  }

  Context& context_;
  Fleet& fleet_;
  using CallKind = std::tuple<const CallClass*, bool, ProtocolVersionSet, double, std::optional<PoolId>>;
  // For each kind of call, the latest establish_by() for which no server was found in this pass
  std::map<CallKind, Instant> no_capacity_until_;
  std::uint64_t evaluations_ = 0;
};

}  // namespace amberknot::policy
