// Versions ruled out for a call: the module chooses among the servers of the others, and answers at once
// where there are none. Each test fails when its guard is taken out of the module.
#include <gtest/gtest.h>

#include <random>

#include "scenario.hpp"

namespace amberknot::testing {
namespace {

EndpointEntry speaking(std::uint32_t server, unsigned version, EndpointState state = EndpointState::kReady) {
  return {ServerId{server}, PoolId{server}, state, {}, static_cast<ProtocolVersion>(version)};
}
constexpr ProtocolVersionSet bit(unsigned version) {
  return ProtocolVersionSet{1} << version;
}

std::vector<Action> call(Scenario& play, std::uint32_t id, std::uint32_t pool,
                         ProtocolVersionSet excluded_versions) {
  NewCall news;
  news.call = CallId{id};
  news.destination = PoolId{pool};
  news.expires = Instant{1000s} + 3s;
  news.excluded_versions = excluded_versions;
  return play.tell(news);
}

AttemptEnded refused(std::uint32_t id, std::uint32_t server, std::uint32_t attempt,
                     ProtocolVersionSet excludes_versions) {
  AttemptEnded ended;
  ended.call = CallId{id};
  ended.server = ServerId{server};
  ended.attempt = attempt;
  ended.outcome = Outcome::kNotSent;
  ended.is_caller_fault = true;
  ended.excludes_versions = excludes_versions;
  return ended;
}

TEST(Versions, ACallGoesOnlyWhereItCanBeSaid) {
  Scenario play;
  play.list({speaking(1, 0), speaking(2, 1)});
  const auto actions = call(play, 1, 1, bit(0));  // its first choice is server 1
  EXPECT_EQ(sends_to(actions, 1), 0U);
  EXPECT_EQ(sends_to(actions, 2), 1U);
}

TEST(Versions, WhereItCanBeSaidNowhereItIsAnsweredAtOnce) {
  Scenario play;
  play.list({speaking(1, 0), speaking(2, 1), speaking(3, 2, EndpointState::kRemoved)});
  EXPECT_EQ(answers(call(play, 1, 1, bit(0) | bit(1))), 1U);
  EXPECT_EQ(answers(call(play, 2, 1, kAllVersions)), 1U);
  EXPECT_TRUE(of<ForwardCall>(play.all()).empty());
}

TEST(Versions, AServerThatDrainsMayComeBackAndIsWaitedFor) {
  Scenario play;
  play.list({speaking(1, 0), speaking(2, 1, EndpointState::kDraining)});
  EXPECT_EQ(answers(call(play, 1, 1, bit(0))), 0U);
  play.at(100ms);
  EXPECT_EQ(sends_to(play.list({speaking(2, 1)}, EndpointUpdateScope::kDelta), 2), 1U);
}

TEST(Versions, WithNoServerListedItIsHeld) {
  Scenario play;
  EXPECT_EQ(answers(call(play, 1, 1, bit(0))), 0U);
}

TEST(Versions, AnErrorOfTheVersionRulesOutAllItsServersAndShutsNone) {
  Scenario play;
  play.list({speaking(1, 0), speaking(2, 0), speaking(3, 1)});
  EXPECT_EQ(sends_to(call(play, 1, 1, 0), 1), 1U);
  play.at(10ms);
  const auto next = play.tell(refused(1, 1, 0, bit(0)));
  EXPECT_EQ(sends_to(next, 3), 1U);  // not server 2, which speaks the same
  // Server 1 goes on to get what it can be told.
  play.at(20ms);
  EXPECT_EQ(sends_to(play.call(2, 1), 1), 1U);
  // The last version refuses it too: answered at once, with no second attempt anywhere.
  const auto over = play.tell(refused(1, 3, 1, bit(1)));
  EXPECT_EQ(answers(over), 1U);
  EXPECT_TRUE(of<ForwardCall>(over).empty());
}

TEST(Versions, ErrorsOfTheCallNeverShutAServer) {
  Scenario play;
  play.list({speaking(1, 0)});
  for (std::uint32_t id = 0; id < 20; ++id) {
    play.at(10ms * id);
    ASSERT_EQ(sends_to(call(play, id, 1, 0), 1), 1U) << id;
    auto ended = refused(id, 1, 0, kAllVersions);
    ended.outcome = Outcome::kError;
    EXPECT_EQ(answers(play.tell(ended)), 1U);
  }
}

TEST(Versions, AHeldCallIsAnsweredSoonAfterItsLastServerHasMovedOn) {
  Scenario play;
  play.list({speaking(1, 0, EndpointState::kDraining)});
  EXPECT_EQ(answers(call(play, 1, 1, bit(1))), 0U);
  play.at(50ms).list({speaking(1, 1)}, EndpointUpdateScope::kDelta);
  play.look_until(100ms);
  EXPECT_EQ(answers(play.all()), 1U);
}

// A rolling upgrade under random refusals: nothing ever goes where it was ruled out, no call has two attempts
// out or more than four, and each has one answer or stands.
TEST(Versions, ARollingUpgradeKeepsTheRulings) {
  std::mt19937 random(20261201);
  for (int round = 0; round < 30; ++round) {
    Scenario play;
    std::vector<unsigned> speaks(6);
    std::vector<EndpointEntry> all;
    for (std::uint32_t s = 0; s < 6; ++s) all.push_back(speaking(s, speaks[s] = random() % 3));
    play.list(all);
    struct Told {
      ProtocolVersionSet out = 0;
      std::uint32_t attempts = 0;
      int at = -1;
      int ends = 0;
    };
    std::vector<Told> calls(120);
    const auto take = [&](const std::vector<Action>& actions) {
      for (const auto& action : actions) {
        if (const auto* send = std::get_if<ForwardCall>(&action)) {
          auto& one = calls[static_cast<std::uint32_t>(send->call)];
          const auto server = static_cast<std::uint32_t>(send->server);
          ASSERT_EQ(one.out >> speaks[server] & 1U, 0U);
          ASSERT_EQ(one.at, -1);
          ASSERT_EQ(one.ends, 0);
          one.at = static_cast<int>(server);
          ASSERT_LE(++one.attempts, 4U);
        } else if (const auto* refuse = std::get_if<RejectCall>(&action)) {
          auto& one = calls[static_cast<std::uint32_t>(refuse->call)];
          ASSERT_EQ(one.at, -1);
          ASSERT_EQ(++one.ends, 1);
        }
      }
    };
    for (std::uint32_t id = 0; id < calls.size(); ++id) {
      play.at(10ms * id);
      if (random() % 5 == 0) {
        const std::uint32_t s = random() % 6;
        speaks[s] = random() % 3;
        take(play.list({speaking(s, speaks[s])}, EndpointUpdateScope::kDelta));
      }
      calls[id].out = random() % 8;
      take(call(play, id, random() % 6, calls[id].out));
      for (std::uint32_t other = 0; other <= id; ++other) {
        if (calls[other].at < 0 || random() % 2 == 0) continue;
        const auto server = static_cast<std::uint32_t>(calls[other].at);
        calls[other].at = -1;
        const auto attempt = calls[other].attempts - 1;
        if (random() % 2 == 0) {
          ++calls[other].ends;
          take(play.stands(other, server, 20ms, attempt));
          take(play.ends(other, server, Outcome::kOk, true, attempt));
        } else {
          calls[other].out |= bit(speaks[server]);
          take(play.tell(refused(other, server, attempt, calls[other].out)));
        }
      }
    }
    for (std::uint32_t id = 0; id < calls.size(); ++id) {
      while (calls[id].at >= 0) {
        const auto server = static_cast<std::uint32_t>(calls[id].at);
        calls[id].at = -1;
        take(play.tell(refused(id, server, calls[id].attempts - 1, kAllVersions)));
      }
    }
    take(play.look_until(5s));
    for (const auto& one : calls) EXPECT_EQ(one.ends, 1);
  }
}

}  // namespace
}  // namespace amberknot::testing
