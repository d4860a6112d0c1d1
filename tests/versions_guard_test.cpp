// Protocol versions that are excluded for a call: the module chooses among the servers of other versions, and
// answers at once if there are none. Each test fails if the code that it guards is removed from the module.
#include <gtest/gtest.h>

#include <random>

#include "scenario.hpp"

namespace amberknot::testing {
namespace {

EndpointEntry endpoint_with_version(std::uint32_t server, unsigned version,
                                    EndpointState state = EndpointState::kReady) {
  return {ServerId{server}, PoolId{server}, state, {}, static_cast<ProtocolVersion>(version)};
}
constexpr ProtocolVersionSet version_bit(unsigned version) {
  return ProtocolVersionSet{1} << version;
}

std::vector<Action> start_call(Scenario& scenario, std::uint32_t id, std::uint32_t pool,
                               ProtocolVersionSet excluded_versions) {
  NewCall new_call;
  new_call.call = CallId{id};
  new_call.destination = PoolId{pool};
  new_call.expires = Instant{1000s} + 3s;
  new_call.excluded_versions = excluded_versions;
  return scenario.handle(new_call);
}

AttemptEnded rejected_attempt(std::uint32_t id, std::uint32_t server, std::uint32_t attempt,
                              ProtocolVersionSet excludes_versions) {
  AttemptEnded ended;
  ended.call = CallId{id};
  ended.server = ServerId{server};
  ended.attempt = attempt;
  ended.outcome = Outcome::kNotSent;
  ended.is_caller_fault = true;
  ended.newly_excluded_versions = excludes_versions;
  return ended;
}

TEST(Versions, ACallGoesOnlyToServersWhoseVersionSupportsIt) {
  Scenario scenario;
  scenario.update_endpoints({endpoint_with_version(1, 0), endpoint_with_version(2, 1)});
  const auto actions = start_call(scenario, 1, 1, version_bit(0));  // it prefers server 1
  EXPECT_EQ(count_forwards_to(actions, 1), 0U);
  EXPECT_EQ(count_forwards_to(actions, 2), 1U);
}

TEST(Versions, ACallThatNoVersionSupportsIsAnsweredAtOnce) {
  Scenario scenario;
  scenario.update_endpoints({endpoint_with_version(1, 0), endpoint_with_version(2, 1),
                             endpoint_with_version(3, 2, EndpointState::kRemoved)});
  EXPECT_EQ(count_negative_answers(start_call(scenario, 1, 1, version_bit(0) | version_bit(1))), 1U);
  EXPECT_EQ(count_negative_answers(start_call(scenario, 2, 1, kAllVersions)), 1U);
  EXPECT_TRUE(actions_of<ForwardCall>(scenario.all_actions()).empty());
}

TEST(Versions, ACallWaitsForADrainingServerThatMayBecomeReadyAgain) {
  Scenario scenario;
  scenario.update_endpoints(
      {endpoint_with_version(1, 0), endpoint_with_version(2, 1, EndpointState::kDraining)});
  EXPECT_EQ(count_negative_answers(start_call(scenario, 1, 1, version_bit(0))), 0U);
  scenario.at(100ms);
  EXPECT_EQ(count_forwards_to(
                scenario.update_endpoints({endpoint_with_version(2, 1)}, EndpointUpdateScope::kDelta), 2),
            1U);
}

TEST(Versions, ACallIsQueuedWhileNoServerIsListed) {
  Scenario scenario;
  EXPECT_EQ(count_negative_answers(start_call(scenario, 1, 1, version_bit(0))), 0U);
}

TEST(Versions, ARejectionForTheVersionExcludesItsServersForThisCallOnly) {
  Scenario scenario;
  scenario.update_endpoints(
      {endpoint_with_version(1, 0), endpoint_with_version(2, 0), endpoint_with_version(3, 1)});
  EXPECT_EQ(count_forwards_to(start_call(scenario, 1, 1, 0), 1), 1U);
  scenario.at(10ms);
  const auto next = scenario.handle(rejected_attempt(1, 1, 0, version_bit(0)));
  EXPECT_EQ(count_forwards_to(next, 3), 1U);  // not server 2, which has the same version
  // Server 1 still gets calls that its version supports.
  scenario.at(20ms);
  EXPECT_EQ(count_forwards_to(scenario.start_call(2, 1), 1), 1U);
  // The last version refuses the call too: it is answered at once, without another attempt.
  const auto last = scenario.handle(rejected_attempt(1, 3, 1, version_bit(1)));
  EXPECT_EQ(count_negative_answers(last), 1U);
  EXPECT_TRUE(actions_of<ForwardCall>(last).empty());
}

TEST(Versions, ErrorsCausedByTheCallNeverEjectAServer) {
  Scenario scenario;
  scenario.update_endpoints({endpoint_with_version(1, 0)});
  for (std::uint32_t id = 0; id < 20; ++id) {
    scenario.at(10ms * id);
    ASSERT_EQ(count_forwards_to(start_call(scenario, id, 1, 0), 1), 1U) << id;
    auto ended = rejected_attempt(id, 1, 0, kAllVersions);
    ended.outcome = Outcome::kError;
    EXPECT_EQ(count_negative_answers(scenario.handle(ended)), 1U);
  }
}

TEST(Versions, AQueuedCallIsAnsweredSoonAfterItsLastServerChangesVersion) {
  Scenario scenario;
  scenario.update_endpoints({endpoint_with_version(1, 0, EndpointState::kDraining)});
  EXPECT_EQ(count_negative_answers(start_call(scenario, 1, 1, version_bit(1))), 0U);
  scenario.at(50ms).update_endpoints({endpoint_with_version(1, 1)}, EndpointUpdateScope::kDelta);
  scenario.run_timer_until(100ms);
  EXPECT_EQ(count_negative_answers(scenario.all_actions()), 1U);
}

// A rolling upgrade with random refusals: no call goes to an excluded version, no call has two attempts at a
// time or more than four in all, and each is established or gets one answer.
TEST(Versions, ExclusionsHoldDuringARollingUpgrade) {
  std::mt19937 random(20261201);
  for (int round = 0; round < 30; ++round) {
    Scenario scenario;
    std::vector<unsigned> versions(6);
    std::vector<EndpointEntry> all;
    for (std::uint32_t s = 0; s < 6; ++s) all.push_back(endpoint_with_version(s, versions[s] = random() % 3));
    scenario.update_endpoints(all);
    struct CallState {
      ProtocolVersionSet excluded_versions = 0;
      std::uint32_t attempts = 0;
      int current_server = -1;
      int end_count = 0;
    };
    std::vector<CallState> calls(120);
    const auto check_actions = [&](const std::vector<Action>& actions) {
      for (const auto& action : actions) {
        if (const auto* forward = std::get_if<ForwardCall>(&action)) {
          auto& call = calls[static_cast<std::uint32_t>(forward->call)];
          const auto server = static_cast<std::uint32_t>(forward->server);
          ASSERT_EQ(call.excluded_versions >> versions[server] & 1U, 0U);
          ASSERT_EQ(call.current_server, -1);
          ASSERT_EQ(call.end_count, 0);
          call.current_server = static_cast<int>(server);
          ASSERT_LE(++call.attempts, 4U);
        } else if (const auto* reject = std::get_if<RejectCall>(&action)) {
          auto& call = calls[static_cast<std::uint32_t>(reject->call)];
          ASSERT_EQ(call.current_server, -1);
          ASSERT_EQ(++call.end_count, 1);
        }
      }
    };
    for (std::uint32_t id = 0; id < calls.size(); ++id) {
      scenario.at(10ms * id);
      if (random() % 5 == 0) {
        const std::uint32_t s = random() % 6;
        versions[s] = random() % 3;
        check_actions(
            scenario.update_endpoints({endpoint_with_version(s, versions[s])}, EndpointUpdateScope::kDelta));
      }
      calls[id].excluded_versions = random() % 8;
      check_actions(start_call(scenario, id, random() % 6, calls[id].excluded_versions));
      for (std::uint32_t other = 0; other <= id; ++other) {
        if (calls[other].current_server < 0 || random() % 2 == 0) continue;
        const auto server = static_cast<std::uint32_t>(calls[other].current_server);
        calls[other].current_server = -1;
        const auto attempt = calls[other].attempts - 1;
        if (random() % 2 == 0) {
          ++calls[other].end_count;
          check_actions(scenario.establish(other, server, 20ms, attempt));
          check_actions(scenario.end_attempt(other, server, Outcome::kOk, true, attempt));
        } else {
          calls[other].excluded_versions |= version_bit(versions[server]);
          check_actions(
              scenario.handle(rejected_attempt(other, server, attempt, calls[other].excluded_versions)));
        }
      }
    }
    for (std::uint32_t id = 0; id < calls.size(); ++id) {
      while (calls[id].current_server >= 0) {
        const auto server = static_cast<std::uint32_t>(calls[id].current_server);
        calls[id].current_server = -1;
        check_actions(scenario.handle(rejected_attempt(id, server, calls[id].attempts - 1, kAllVersions)));
      }
    }
    check_actions(scenario.run_timer_until(5s));
    for (const auto& call : calls) EXPECT_EQ(call.end_count, 1);
  }
}

}  // namespace
}  // namespace amberknot::testing
