// Fleets in simulated time: the product's core and module under the same schedules and checker as processes.
#include <doctest/doctest.h>

#include "lab/fleet/simulation.hpp"

namespace amberknot::lab::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SimulationOptions options_of(std::uint64_t seed, std::size_t routers = 5) {
  SimulationOptions options;
  options.routers = routers;
  options.schedule = draw_schedule(seed, routers, options.servers, seconds{6});
  return options;
}

std::size_t count(const History& history, What what) {
  return static_cast<std::size_t>(
      std::count_if(history.begin(), history.end(), [what](const Event& one) { return one.what == what; }));
}

/// Attempts that are out for long, under resets of every link.
SimulationOptions under_resets() {
  SimulationOptions options;
  options.schedule.length = seconds{6};
  options.traits.work = milliseconds{200};
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
    "every rule holds in simulated fleets under drawn schedules, and the same seed gives the same history") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto options = options_of(seed);
    const auto first = simulate(options);
    CHECK_MESSAGE(first.verdict.held(), text_of(first.verdict));
    CHECK(count(first.history, What::kAnswer) > 200);
    CHECK(simulate(options).history == first.history);
  }
  CHECK(simulate(options_of(1)).history != simulate(options_of(2)).history);
}

TEST_CASE(
    "resets under attempts: placed again after the release wait, and a router that does not wait is caught") {
  auto options = under_resets();
  const auto sound = simulate(options);
  CHECK_MESSAGE(sound.verdict.held(), text_of(sound.verdict));
  CHECK(count(sound.history, What::kBroken) > 20);
  CHECK(sound.verdict.rules[2].looked_at > 10);
  // The routers are told to wait 100 ms, and judged by the protocol's 500 ms.
  options.times.retry_pause = milliseconds{100};
  const auto hasty = check(simulate(options).history, {});
  CHECK_FALSE(hasty.held());
  CHECK(hasty.rules[2].violations.size() > 10);
}

TEST_CASE("routers with more tries than the rule allows are caught") {
  RuleTimes one_try;
  one_try.max_tries = 1;
  const auto verdict = check(simulate(under_resets()).history, one_try);
  CHECK_FALSE(verdict.rules[3].violations.empty());
}

TEST_CASE("a whole fleet loses its power at once and serves again") {
  auto options = options_of(1, 100);
  options.schedule = {1, seconds{6}, {}, {{NodeFaultKind::kCrash, {"n*"}, seconds{2}, milliseconds{200}}}};
  options.traits.max_out = 2000;
  const auto result = simulate(options);
  CHECK_MESSAGE(result.verdict.held(), text_of(result.verdict));
  CHECK(count(result.history, What::kReady) == 200);
  CHECK(std::any_of(result.history.begin(), result.history.end(),
                    [](const Event& one) { return one.what == What::kAnswer && one.at > seconds{3}; }));
}

TEST_CASE("what takes real processes is refused by the simulation") {
  auto options = options_of(1);
  options.schedule.nodes.push_back({NodeFaultKind::kReplace, {"n0"}, seconds{1}, {}});
  CHECK_THROWS_AS(simulate(options), ScheduleError);
}

}  // namespace amberknot::lab::fleet
