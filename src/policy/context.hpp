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
/// What exponential decay leaves of one after `age`; the time constant is in seconds.
inline double decay(Duration age, double time_constant) {
  return std::exp(-seconds(age) / time_constant);
}

/// An exponentially decaying rate of events per second.
struct Rate {
  static constexpr double kTimeConstant = 8.0;  // seconds: some tens of calls at a usual sender
  double value = 0;
  Instant updated{};

  [[nodiscard]] double decayed(Instant now) const { return value * decay(now - updated, kTimeConstant); }
  void count(Instant now, double amount = 1.0) {
    value = decayed(now) + amount / kTimeConstant;
    updated = now;
  }
  // Corrected for the time that a young rate has not yet seen.
  [[nodiscard]] double per_second(Instant now, Instant began) const {
    return decayed(now) / (1.0 - std::exp(-std::max(seconds(now - began), 1.0) / kTimeConstant));
  }
};

/// What the parts of one sender share: settings, the clock, random numbers, servers, actions, overload.
struct Context {
  static constexpr double kSilenceShare = 0.75;        // of the least objective: a retry may be in time
  static constexpr double kExcessDecayBudgets = 20.0;  // time constant of an old queue, in response budgets
  static constexpr Duration kLogInterval = std::chrono::seconds{5};  // a line of a kind: shows that it lasts

  Settings settings;
  std::mt19937_64 random{settings.seed};
  Instant started{};
  Instant now{};
  Instant overloaded_until{};  // some server has shown a queue or was lost
  Duration min_latency_objective{};
  Duration response_budget{};  // a set-up answered later adds to a queue: it is retransmitted or late
  std::vector<std::shared_ptr<const CallClass>> classes{};
  std::map<ServerId, Server> servers{};  // in order of id: the sums and the draw depend on it
  std::vector<Action>* actions = nullptr;
  std::map<std::string, Instant> logged{};

  void apply_classes() {
    if (settings.classes.empty()) throw std::invalid_argument("settings hold no class of call");
    classes.clear();
    for (const auto& one : settings.classes) classes.push_back(std::make_shared<const CallClass>(one));
    const auto& strictest = std::ranges::min(settings.classes, {}, &CallClass::latency_objective);
    min_latency_objective = strictest.latency_objective;
    response_budget = std::min(settings.retransmit_interval.value_or(Duration::max()), min_latency_objective);
  }
  [[nodiscard]] Server* find_server(ServerId id) { return servers.contains(id) ? &servers.at(id) : nullptr; }
  void note_overload() { overloaded_until = now + budget(kExcessDecayBudgets); }
  [[nodiscard]] Duration budget(double share) const { return scaled(response_budget, share); }
  [[nodiscard]] Duration silence_timeout() const { return scaled(min_latency_objective, kSilenceShare); }
  double random_up_to(double limit) { return std::uniform_real_distribution<double>(0.0, limit)(random); }
  [[nodiscard]] double count_servers(auto is_counted) const {
    return static_cast<double>(std::count_if(servers.begin(), servers.end(),
                                             [&](const auto& item) { return is_counted(item.second); }));
  }
  void watch_endpoints() const {
    if (!settings.endpoint_list_is_pushed) act(WatchEndpoints{});
  }
  void act(Action action) const { actions->push_back(std::move(action)); }
  void log(const std::string& text) {
    auto& last = logged.try_emplace(text, now - kLogInterval).first->second;
    if (now - last < kLogInterval) return;
    last = now;
    act(LogMessage{text});
  }
};

}  // namespace amberknot::policy
