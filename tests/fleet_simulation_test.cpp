// Fleets in simulated time: the product's core and decision module with the schedules and the checker that
// are also used for processes. Guards against decisions of the router that break a rule under faults, and
// against a simulation that is not reproducible.
#include <doctest/doctest.h>

#include "lab/fleet/simulation.hpp"

namespace amberknot::lab::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SimulationOptions options_of(std::uint64_t seed, std::size_t routers = 5) {
  SimulationOptions options;
  options.routers = routers;
  options.schedule = generate_schedule(seed, routers, options.servers, seconds{6});
  return options;
}

std::size_t count(const History& history, EventKind kind) {
  return static_cast<std::size_t>(std::count_if(history.begin(), history.end(),
                                                [kind](const Event& event) { return event.kind == kind; }));
}

/// Returns a run with slow answers in which every link is reset several times, so that many attempts are
/// reset.
SimulationOptions options_with_resets() {
  SimulationOptions options;
  options.schedule.length = seconds{6};
  options.traits.mean_answer_time = milliseconds{200};
  for (int i = 1; i < 10; ++i) {
    const milliseconds at{400 * i};
    options.schedule.links.push_back({LinkFaultKind::kReset,
                                      {"n*"},
                                      {"s" + std::to_string(i % 3)},
                                      false,
                                      at,
                                      at + milliseconds{5},
                                      1,
                                      {},
                                      {}});
  }
  return options;
}

}  // namespace

TEST_CASE(
    "every rule holds in simulated fleets with generated schedules, and the same seed gives the same "
    "history") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto options = options_of(seed);
    const auto first = simulate(options);
    CHECK_MESSAGE(first.verdict.has_passed(), format_verdict(first.verdict));
    CHECK(count(first.history, EventKind::kAnswer) > 200);
    CHECK(simulate(options).history == first.history);
  }
  CHECK(simulate(options_of(1)).history != simulate(options_of(2)).history);
}

TEST_CASE("a reset attempt is retried after the retry delay, and a router that retries earlier is detected") {
  auto options = options_with_resets();
  const auto correct = simulate(options);
  CHECK_MESSAGE(correct.verdict.has_passed(), format_verdict(correct.verdict));
  CHECK(count(correct.history, EventKind::kBroken) > 20);
  CHECK(correct.verdict.rules[2].checked > 10);
  // The routers are configured with a retry delay of 100 ms, and checked against the 500 ms of the rule.
  options.limits.min_retry_delay = milliseconds{100};
  const auto early_retries = check(simulate(options).history, {});
  CHECK_FALSE(early_retries.has_passed());
  CHECK(early_retries.rules[2].violations.size() > 10);
}

TEST_CASE("routers that make more attempts than the rule allows are detected") {
  RuleLimits one_attempt;
  one_attempt.max_attempts = 1;
  const auto verdict = check(simulate(options_with_resets()).history, one_attempt);
  CHECK_FALSE(verdict.rules[3].violations.empty());
}

TEST_CASE("a fleet of which all routers crash at once serves again") {
  auto options = options_of(1, 100);
  options.schedule = {1, seconds{6}, {}, {{NodeFaultKind::kCrash, {"n*"}, seconds{2}, milliseconds{200}}}};
  options.traits.max_set_ups_in_progress = 2000;
  const auto result = simulate(options);
  CHECK_MESSAGE(result.verdict.has_passed(), format_verdict(result.verdict));
  CHECK(count(result.history, EventKind::kReady) == 200);
  CHECK(std::any_of(result.history.begin(), result.history.end(), [](const Event& event) {
    return event.kind == EventKind::kAnswer && event.time > seconds{3};
  }));
}

TEST_CASE("the simulation rejects a fault that needs real processes") {
  auto options = options_of(1);
  options.schedule.nodes.push_back({NodeFaultKind::kReplace, {"n0"}, seconds{1}, {}});
  CHECK_THROWS_AS(simulate(options), ScheduleError);
}

}  // namespace amberknot::lab::fleet
