// The five rules that the module must never break: a call is answered in time and once (1), it has one
// attempt at a time (2), draining and removed servers get no calls (3), cold servers get calls at a limited
// rate (4), and a call is set up again only after the release of its last attempt (5). Each test fails if the
// code that enforces its rule is removed from the module.
#include <gtest/gtest.h>

#include "scenario.hpp"

namespace amberknot::testing {
namespace {

TEST(RuleOne, AQueuedCallIsAnsweredBeforeItsCallerHangsUp) {
  Scenario scenario;  // without servers
  const auto immediate = scenario.start_call(1, 1, 0, 200ms);
  EXPECT_EQ(count_negative_answers(immediate), 0U);
  EXPECT_EQ(count_negative_answers(scenario.run_timer_until(200ms)), 1U);
  EXPECT_EQ(count_negative_answers(scenario.run_timer_until(3s)), 0U);
}

TEST(RuleOne, TheTimerIsSetForTheEarliestDeadline) {
  Scenario scenario;
  const auto timers = actions_of<SetTimer>(scenario.start_call(1, 1, 0, 14ms));
  ASSERT_FALSE(timers.empty());
  EXPECT_LE(timers.back().when, Instant{1000s} + 14ms);
}

TEST(RuleOne, ATimeoutAtTheDeadlineIsAnsweredAtOnce) {
  Scenario scenario;
  scenario.update_endpoints({ready_endpoint(1)});
  scenario.start_call(1, 1);
  scenario.at(3s);
  const auto actions = scenario.end_attempt(1, 1, Outcome::kTimeout);
  EXPECT_EQ(count_negative_answers(actions), 1U);
  EXPECT_TRUE(actions_of<ForwardCall>(actions).empty());
}

TEST(RuleOne, NoAnswerAfterTheCallHasEnded) {
  Scenario scenario;
  scenario.update_endpoints({ready_endpoint(1)});
  scenario.start_call(1, 1);
  scenario.at(100ms);
  EXPECT_EQ(count_negative_answers(scenario.end_attempt(1, 1, Outcome::kTimeout, true)), 0U);
  EXPECT_EQ(count_negative_answers(scenario.run_timer_until(4s)), 0U);
}

TEST(RuleTwo, ACallHasOneAttemptAtATime) {
  Scenario scenario;
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
  scenario.start_call(1, 1);
  scenario.at(700ms);
  scenario.expire_timer();
  // The attempt is cancelled at the silent server, but its end is not reported yet.
  const auto after_silence = scenario.run_timer_until(1400ms);
  EXPECT_TRUE(actions_of<ForwardCall>(after_silence).empty());
  EXPECT_EQ(count_negative_answers(after_silence), 0U);
}

TEST(RuleTwo, ACallWithARepeatedIdIsNotSentAgain) {
  Scenario scenario;
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
  scenario.start_call(1, 1);
  EXPECT_TRUE(actions_of<ForwardCall>(scenario.start_call(1, 2)).empty());
}

TEST(RuleThree, ADrainingOrRemovedServerGetsNoCalls) {
  for (const auto state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Scenario scenario;
    scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
    scenario.at(1s).update_endpoints({endpoint_in_state(1, state)}, EndpointUpdateScope::kDelta);
    for (std::uint32_t id = 0; id < 10; ++id) scenario.start_call(id, 1);
    EXPECT_EQ(count_forwards_to(scenario.all_actions(), 1), 0U);
    EXPECT_GT(count_forwards_to(scenario.all_actions(), 2), 0U);
  }
}

TEST(RuleThree, AServerMissingFromAFullListIsRemoved) {
  Scenario scenario;
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
  scenario.at(1s).update_endpoints({ready_endpoint(2)});
  EXPECT_EQ(count_forwards_to(scenario.start_call(1, 1), 2), 1U);
}

// 20 calls a second that prefer server 1, each established after 10 ms, so that tokens do not limit them.
void offer_calls(Scenario& scenario, std::uint32_t& id, Duration from, Duration to) {
  for (Duration time = from; time < to; time += 50ms, ++id) {
    scenario.at(time);
    for (const auto& forward : actions_of<ForwardCall>(scenario.start_call(id, 1, 0, 100ms))) {
      scenario.establish(static_cast<std::uint32_t>(forward.call), static_cast<std::uint32_t>(forward.server),
                         10ms);
    }
  }
}

TEST(RuleFour, AJustStartedServerGetsCallsAtTheRateOfItsSlowStart) {
  Scenario scenario;
  std::uint32_t id = 0;
  scenario.update_endpoints({ready_endpoint(2)});
  offer_calls(scenario, id, 0s, 30s);
  scenario.at(30s).update_endpoints({ready_endpoint(1, Instant{1030s}), ready_endpoint(2)});
  offer_calls(scenario, id, 30010ms, 31500ms);
  // 20/s x 0.35 to 0.43 x 1.5 s, and a little more without load
  EXPECT_LE(count_forwards_to(scenario.all_actions(), 1), 15U);
  EXPECT_GE(count_forwards_to(scenario.all_actions(), 1), 5U);
}

TEST(RuleFour, AServerWithANewerStartTimeIsCold) {
  Scenario scenario;
  std::uint32_t id = 0;
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
  offer_calls(scenario, id, 0s, 30s);
  const auto before = count_forwards_to(scenario.all_actions(), 1);
  scenario.at(30s).update_endpoints({ready_endpoint(1, Instant{1029s})}, EndpointUpdateScope::kDelta);
  offer_calls(scenario, id, 30010ms, 31500ms);
  EXPECT_LE(count_forwards_to(scenario.all_actions(), 1) - before, 16U);
}

// Guards against a slow start computed from the arrival rate: in an incident all servers were slow, callers
// redialled, and the arrivals overstated the capacity of a server; the cold server failed at 7.6 times its
// capacity.
TEST(RuleFour, SlowStartIsComputedFromEstablishedCallsNotFromArrivals) {
  Scenario scenario;
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
  std::uint32_t id = 0;
  const auto run = [&](Duration from, Duration to) {
    // 20 calls a second arrive, 2 a second are established.
    for (Duration time = from; time < to; time += 50ms, ++id) {
      scenario.at(time);
      for (const auto& forward : actions_of<ForwardCall>(scenario.start_call(id, 1, 0, 100ms))) {
        const auto server = static_cast<std::uint32_t>(forward.server);
        if (server == 1 || id % 10 == 0) {
          scenario.establish(static_cast<std::uint32_t>(forward.call), server, 10ms);
        } else {
          scenario.end_attempt(static_cast<std::uint32_t>(forward.call), server, Outcome::kError, true);
        }
      }
    }
  };
  scenario.update_endpoints({endpoint_in_state(1, EndpointState::kRemoved)}, EndpointUpdateScope::kDelta);
  run(0s, 20s);
  scenario.at(20s).update_endpoints({ready_endpoint(1, Instant{1020s})}, EndpointUpdateScope::kDelta);
  const auto before = count_forwards_to(scenario.all_actions(), 1);
  run(20010ms, 23s);
  const auto sent = count_forwards_to(scenario.all_actions(), 1) - before;
  EXPECT_LE(sent, 4U);  // 2/s x 0.35 to 0.5 x 3 s
  EXPECT_GE(sent, 1U);
}

// Guards against a slow start that keeps a large server idle: in an incident the one large server among small
// ones was replaced, and the new one got few calls although its delay was low, because the small warm servers
// established few.
TEST(RuleFour, ALowDelayRaisesTheRateAndAQueueLowersItAgain) {
  auto settings = default_settings();
  settings.invariants.slow_start_duration = 60s;
  Scenario scenario(settings);
  std::uint32_t id = 0;
  scenario.update_endpoints({ready_endpoint(1, Instant{1000s}), ready_endpoint(2)});
  const auto run = [&](Duration from, Duration to, Duration setup_delay) {
    std::size_t count = 0;  // calls sent to the cold server
    for (Duration time = from; time < to; time += 20ms, ++id) {
      scenario.at(time);
      for (const auto& forward : actions_of<ForwardCall>(scenario.start_call(id, 1, 0, 100ms))) {
        const auto server = static_cast<std::uint32_t>(forward.server);
        count += server == 1 ? 1 : 0;
        // Server 2 is small: it establishes one call in twenty.
        if (server == 1 || id % 20 == 0) {
          scenario.establish(static_cast<std::uint32_t>(forward.call), server,
                             server == 1 ? setup_delay : 10ms);
        } else {
          scenario.end_attempt(static_cast<std::uint32_t>(forward.call), server, Outcome::kError, true);
        }
      }
    }
    return count;
  };
  const auto early = run(0s, 4s, 10ms);
  run(4s, 20s, 10ms);
  const auto later = run(20s, 24s, 10ms);
  EXPECT_GT(later, 4 * early);
  run(24s, 26s, 500ms);
  EXPECT_LT(run(26s, 30s, 500ms), later / 2);
}

// Guards against a slow start of large servers at the rate of small ones: the largest servers restarted
// together and got calls at the rate of the small ones that stayed warm. The calls that a server carried
// before its restart count; its number of lines alone counts little, because it is only a planned capacity.
TEST(RuleFour, SlowStartOfALargeServerFollowsTheCallsItCarriedBefore) {
  const auto forwards_to_cold = [](double lines, double carried_calls) {
    auto settings = default_settings();
    settings.invariants.slow_start_duration = 60s;
    Scenario scenario(settings);
    std::uint32_t id = 0;
    scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
    const auto report_lines = [&](std::uint32_t server, double total, double established) {
      HealthCheckResult result;
      result.server = ServerId{server};
      result.is_unsolicited = true;
      result.report.total_lines = total;
      result.report.free_lines = total - established;
      scenario.handle(result);
    };
    std::size_t count = 0;
    const auto run = [&](Duration from, Duration to) {
      for (Duration time = from; time < to; time += 20ms, ++id) {
        for (const auto& forward :
             actions_of<ForwardCall>(scenario.at(time).start_call(id, 1 + id % 2, 0, 100ms))) {
          const auto server = static_cast<std::uint32_t>(forward.server);
          count += server == 1 ? 1 : 0;
          scenario.establish(static_cast<std::uint32_t>(forward.call), server, 10ms);
        }
      }
    };
    report_lines(1, lines, carried_calls);
    report_lines(2, 100, 50);
    run(0s, 20s);
    scenario.at(20s).update_endpoints({ready_endpoint(1, Instant{1020s})}, EndpointUpdateScope::kDelta);
    report_lines(1, lines, 0);
    count = 0;
    run(20010ms, 21s);
    return static_cast<double>(count);
  };
  const double forwards_if_equal = forwards_to_cold(100, 50);
  EXPECT_GE(forwards_to_cold(400, 200), 1.8 * forwards_if_equal);
  EXPECT_LE(forwards_to_cold(4000, 2000), 6.0 * forwards_if_equal);  // bounded
  EXPECT_LE(forwards_to_cold(400, 0), 1.8 * forwards_if_equal);      // more lines alone
  EXPECT_LE(forwards_to_cold(40, 20), forwards_if_equal);
}

// All senders learn of a started server at once; their first set-ups must not reach it at once.
TEST(RuleFour, SendersSpreadTheirFirstCallsToAColdServer) {
  std::size_t immediate = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto settings = default_settings();
    settings.seed = seed;
    Scenario scenario(settings);
    scenario.update_endpoints({ready_endpoint(1, Instant{1000s}), ready_endpoint(2)});
    immediate += count_forwards_to(scenario.start_call(1, 1), 1);
  }
  EXPECT_LE(immediate, 2U);
}

class RuleFive : public ::testing::TestWithParam<Outcome> {};

TEST_P(RuleFive, TheNextAttemptWaitsForTheRelease) {
  Scenario scenario;
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
  scenario.start_call(1, 1);
  scenario.at(100ms);
  EXPECT_TRUE(actions_of<ForwardCall>(scenario.end_attempt(1, 1, GetParam())).empty());
  EXPECT_TRUE(actions_of<ForwardCall>(scenario.run_timer_until(390ms)).empty());
  EXPECT_EQ(actions_of<ForwardCall>(scenario.run_timer_until(450ms)).size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Outcomes, RuleFive,
                         ::testing::Values(Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled));

TEST(Attempts, ACallHasNoMoreAttemptsThanTheLimit) {
  auto settings = default_settings();
  settings.limits.max_attempts = 2;
  Scenario scenario(settings);
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)});
  scenario.start_call(1, 1);
  const auto second = actions_of<ForwardCall>(scenario.end_attempt(1, 1, Outcome::kNotSent));
  ASSERT_EQ(second.size(), 1U);
  const auto last =
      scenario.end_attempt(1, static_cast<std::uint32_t>(second[0].server), Outcome::kNotSent, false, 1);
  EXPECT_TRUE(actions_of<ForwardCall>(last).empty());
  EXPECT_EQ(count_negative_answers(last), 1U);
}

TEST(Attempts, ANonIdempotentCallFailsInsteadOfBeingRejected) {
  auto settings = default_settings();
  settings.classes[0].idempotent = false;
  Scenario scenario(settings);
  scenario.update_endpoints({ready_endpoint(1), ready_endpoint(2)});
  scenario.start_call(1, 1);
  const auto actions = scenario.at(100ms).end_attempt(1, 1, Outcome::kReset);
  EXPECT_EQ(actions_of<FailCall>(actions).size(), 1U);
  EXPECT_TRUE(actions_of<RejectCall>(actions).empty());
}

}  // namespace
}  // namespace amberknot::testing
