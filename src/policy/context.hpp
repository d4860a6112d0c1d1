// State and helper functions that the parts of the decision module share.
#pragma once

#include <cmath>
#include <random>
#include <stdexcept>
#include <utility>

#include "policy/server.hpp"

namespace amberknot::policy {

inline double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}
inline Duration scaled(Duration duration, double factor) {
  return Duration{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}
/// Factor of an exponential decay after `age`; the time constant is in seconds.
inline double decay(Duration age, double time_constant) {
  return std::exp(-seconds(age) / time_constant);
}

/// An exponentially decaying rate of events per second.
struct Rate {
  static constexpr double kTimeConstantSeconds = 8.0;  // spans some tens of calls at a typical sender
  double value = 0;
  Instant updated{};

  [[nodiscard]] double value_at(Instant now) const {
    return value * decay(now - updated, kTimeConstantSeconds);
  }
  void count(Instant now, double amount = 1.0) {
    value = value_at(now) + amount / kTimeConstantSeconds;
    updated = now;
  }
  /// The rate, corrected for a counting time (since `counted_since`) that is short against the time constant.
  [[nodiscard]] double per_second(Instant now, Instant counted_since) const {
    return value_at(now) /
           (1.0 - std::exp(-std::max(seconds(now - counted_since), 1.0) / kTimeConstantSeconds));
  }
};

/// State of one sender that all parts use: settings, clock, random numbers, servers, actions and overload.
struct Context {
  // Silence timeout as a share of the least latency objective; leaves time for a retry
  static constexpr double kSilenceObjectiveShare = 0.75;
  // In response budgets: time constant of the decay of queue delays, and duration of an overload after its
  // last sign
  static constexpr double kQueueDecayBudgets = 20.0;
  static constexpr Duration kLogInterval = std::chrono::seconds{5};  // between equal log messages

  Settings settings;
  std::mt19937_64 random{settings.seed};
  Instant started{};
  Instant now{};
  Instant overloaded_until{};  // set when a server shows a queue, is full or faulty, or is suspected
  Duration min_latency_objective{};
  // The shorter of the retransmission interval and the least latency objective. A set-up that takes longer is
  // retransmitted or late, which adds load.
  Duration response_budget{};
  std::vector<std::shared_ptr<const CallClass>> classes{};
  std::map<ServerId, Server> servers{};  // ordered by id: sums and random choices depend on the order
  std::vector<Action>* actions = nullptr;
  std::map<std::string, Instant> logged{};

  void apply_classes() {
    if (settings.classes.empty())
      throw std::invalid_argument("settings: no class of call is configured; at least one is needed");
    classes.clear();
    for (const auto& call_class : settings.classes)
      classes.push_back(std::make_shared<const CallClass>(call_class));
    const auto& strictest = std::ranges::min(settings.classes, {}, &CallClass::latency_objective);
    min_latency_objective = strictest.latency_objective;
    response_budget = std::min(settings.retransmit_interval.value_or(Duration::max()), min_latency_objective);
  }
  [[nodiscard]] Server* find_server(ServerId id) { return servers.contains(id) ? &servers.at(id) : nullptr; }
  void mark_overloaded() { overloaded_until = now + response_budget_share(kQueueDecayBudgets); }
  [[nodiscard]] Duration response_budget_share(double share) const { return scaled(response_budget, share); }
  [[nodiscard]] Duration silence_timeout() const {
    return scaled(min_latency_objective, kSilenceObjectiveShare);
  }
  double random_up_to(double limit) { return std::uniform_real_distribution<double>(0.0, limit)(random); }
  [[nodiscard]] double count_servers(auto is_counted) const {
    return static_cast<double>(std::count_if(servers.begin(), servers.end(),
                                             [&](const auto& item) { return is_counted(item.second); }));
  }
  void watch_endpoints() const {
    if (!settings.endpoint_list_is_pushed) emit(WatchEndpoints{});
  }
  void emit(Action action) const { actions->push_back(std::move(action)); }
  void log(const std::string& text) {
    auto& last_logged = logged.try_emplace(text, now - kLogInterval).first->second;
    if (now - last_logged < kLogInterval) return;
    last_logged = now;
    emit(LogMessage{text});
  }
};

}  // namespace amberknot::policy
