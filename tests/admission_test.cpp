// Tokens, the draw, the life of a call.
#include <gtest/gtest.h>

#include "scenario.hpp"

namespace amberknot::testing {
namespace {

// A server that answered one set-up in 50 ms, so that its calm delay is known.
void warm(Scenario& play, std::uint32_t server, std::uint32_t id) {
  ASSERT_EQ(sends_to(play.call(id, server), server), 1U);
  play.stands(id, server, 50ms);
}

TEST(Tokens, FirstChoiceWhileItHasRoom) {
  Scenario play;
  play.list({ready(1), ready(2), ready(3)});
  for (std::uint32_t id = 0; id < 4; ++id) EXPECT_EQ(sends_to(play.call(id, 2), 2), 1U);
}

TEST(Tokens, CountIsBoundedAndTheNextGoesElsewhere) {
  Scenario play;
  play.list({ready(1), ready(2)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  EXPECT_EQ(sends_to(play.call(4, 1), 2), 1U);
}

TEST(Tokens, NoneFreeAnywhereHoldsThenRefuses) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  const auto held = play.call(9, 1);
  EXPECT_TRUE(of<ForwardCall>(held).empty());
  EXPECT_EQ(answers(held), 0U);
  const auto later = play.look_until(3s);
  ASSERT_EQ(of<RejectCall>(later).size(), 1U);
  EXPECT_EQ(of<RejectCall>(later)[0].call, CallId{9});
}

TEST(Tokens, ComesBackWhenTheCallStands) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  play.call(9, 1);
  play.at(50ms);
  const auto actions = play.stands(0, 1, 50ms);
  ASSERT_EQ(sends_to(actions, 1), 1U);
  EXPECT_EQ(of<ForwardCall>(actions)[0].call, CallId{9});
}

// A router that runs out of processor reads its callers late and answers them late: seen on a day with many
// held calls, each of which was tried at every server at each event.
TEST(Cost, HeldCallsOfOneKindAreLookedAtOnce) {
  constexpr std::uint32_t kServers = 24;
  constexpr std::uint32_t kQueued = 500;
  Scenario play;
  std::vector<EndpointEntry> servers;
  for (std::uint32_t id = 0; id < kServers; ++id) servers.push_back(ready(id));
  play.list(servers);
  for (std::uint32_t id = 0; id < 4 * kServers; ++id) {
    ASSERT_EQ(of<ForwardCall>(play.call(id, id % kServers)).size(), 1U);
  }
  // Each comes at its own moment, so that none has exactly the time of another.
  for (std::uint32_t id = 0; id < kQueued; ++id) {
    play.at(100us * id);
    ASSERT_TRUE(of<ForwardCall>(play.call(1000 + id, id % kServers, id % 2)).empty());
  }
  const auto before = play.server_evaluations();
  play.at(60ms).look();
  EXPECT_LE(play.server_evaluations() - before, 4U * kServers);  // two classes, each perhaps also late
  // A token that comes back is seen all the same, and goes to the dearest.
  const auto actions = play.stands(5, 5, 60ms);
  EXPECT_GE(sends_to(actions, 5), 1U);
  for (const auto& send : of<ForwardCall>(actions)) EXPECT_EQ(static_cast<std::uint32_t>(send.call) % 2, 1U);
}

// DAYS, new settings: a call under way keeps its class. Only what comes later has the new one.
TEST(Retune, ACallUnderWayKeepsItsClassAsItWas) {
  for (const bool was_idempotent : {false, true}) {
    auto settings = usual_settings();
    settings.classes[0].idempotent = was_idempotent;
    Scenario play(settings);
    play.list({ready(1), ready(2)});
    ASSERT_EQ(sends_to(play.call(0, 1), 1), 1U);
    settings.classes[0].idempotent = !was_idempotent;
    settings.classes[0].pools = {PoolId{2}};
    play.apply_reload(settings.classes, settings.limits);
    ASSERT_EQ(sends_to(play.call(1, 1), 2), 1U);  // the new class goes to pool 2 only
    play.ends(0, 1, Outcome::kReset);
    play.ends(1, 2, Outcome::kReset);
    const auto later = play.look_until(5s);
    EXPECT_EQ(of<FailCall>(play.all()).size(), 1U);
    EXPECT_EQ(of<FailCall>(play.all())[0].call, CallId{was_idempotent ? 1U : 0U});
    ASSERT_EQ(of<ForwardCall>(later).size(), 1U);
    EXPECT_EQ(of<ForwardCall>(later)[0].call, CallId{was_idempotent ? 0U : 1U});
  }
}

// Fewer tries bind every call from its next one: never more than either settings allow.
TEST(Retune, FewerTriesBindACallUnderWay) {
  auto settings = usual_settings();
  Scenario play(settings);
  play.list({ready(1)});
  play.call(0, 1);
  settings.limits.max_tries = 1;
  play.apply_reload(settings.classes, settings.limits);
  EXPECT_EQ(answers(play.ends(0, 1, Outcome::kNotSent)), 1U);
}

// What found no room for one call is not remembered for the next that comes at the same instant: with each
// the rate of arrivals grows, and with it the tokens.
TEST(Cost, ACallOfTheSameInstantIsLookedAtForItself) {
  Scenario play;
  play.list({ready(1)});
  play.call(0, 1);
  play.at(200ms).stands(0, 1, 200ms);
  std::vector<std::size_t> sent;
  for (std::uint32_t id = 1; id <= 12; ++id) sent.push_back(sends_to(play.call(id, 1), 1));
  const auto held = std::find(sent.begin(), sent.end(), 0U);
  ASSERT_NE(held, sent.end());
  EXPECT_NE(std::find(held, sent.end(), 1U), sent.end());
}

// In one pass a call that has more time is looked at for itself: what was too late for one may not be for it.
TEST(Cost, ACallWithMoreTimeIsNotTakenForOneWithLess) {
  Scenario play;
  play.list({ready(1)});
  ASSERT_EQ(sends_to(play.call(0, 1), 1), 1U);
  play.at(700ms).stands(0, 1, 700ms);                                // it answers in 700 ms now
  EXPECT_TRUE(of<ForwardCall>(play.call(10, 1, 0, 400ms)).empty());  // its caller would have gone
  EXPECT_EQ(sends_to(play.call(11, 1, 0, 5s), 1), 1U);
}

class TokenReturn : public ::testing::TestWithParam<Outcome> {};

TEST_P(TokenReturn, OnEveryOutcome) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  play.at(20ms).call(9, 1);
  play.at(50ms);
  const auto actions = play.ends(0, 1, GetParam(), true);
  ASSERT_EQ(sends_to(actions, 1), 1U);
  EXPECT_EQ(of<ForwardCall>(actions)[0].call, CallId{9});
}

INSTANTIATE_TEST_SUITE_P(Outcomes, TokenReturn,
                         ::testing::Values(Outcome::kOk, Outcome::kError, Outcome::kTimeout, Outcome::kReset,
                                           Outcome::kCancelled, Outcome::kNotSent));

TEST(Tokens, CallerLeavingGivesItBackAndCallsOffTheSetup) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  play.call(9, 1);
  const auto actions = play.at(50ms).tell(CallAbandoned{CallId{0}});
  EXPECT_EQ(of<CancelAttempt>(actions).size(), 1U);
  EXPECT_EQ(sends_to(actions, 1), 1U);
}

TEST(Tokens, NoCancelWhereForbidden) {
  auto settings = usual_settings();
  settings.limits.cancel = false;
  Scenario play(settings);
  play.list({ready(1)});
  play.call(0, 1);
  EXPECT_TRUE(of<CancelAttempt>(play.tell(CallAbandoned{CallId{0}})).empty());
  play.call(1, 1);
  EXPECT_TRUE(of<CancelAttempt>(play.look_until(2s)).empty());
}

TEST(Pressure, TokensAreWithheldWhileAServerIsSlow) {
  Scenario play;
  play.list({ready(1)});
  warm(play, 1, 0);
  play.at(100ms).call(1, 1);
  play.at(900ms).stands(1, 1, 800ms);
  EXPECT_TRUE(of<ForwardCall>(play.at(905ms).call(2, 1)).empty());
}

TEST(Pressure, AReportedWaitWithholdsToo) {
  Scenario play;
  play.list({ready(1)});
  warm(play, 1, 0);
  LoadReport report;
  report.wait = 900ms;
  play.at(100ms).ends(0, 1, Outcome::kOk, true, 0, report);
  EXPECT_TRUE(of<ForwardCall>(play.at(105ms).call(2, 1)).empty());
}

TEST(Pressure, TokensReturnAsTheDelayFades) {
  Scenario play;
  play.list({ready(1)});
  warm(play, 1, 0);
  play.at(100ms).call(1, 1);
  play.at(900ms).stands(1, 1, 800ms);
  EXPECT_TRUE(of<ForwardCall>(play.at(905ms).call(2, 1)).empty());
  EXPECT_EQ(sends_to(play.at(17s).call(3, 1), 1), 1U);
}

TEST(Draw, PrefersTheQuickerServer) {
  Scenario play;
  play.list({ready(1), ready(2), ready(3)});
  warm(play, 1, 0);
  warm(play, 2, 1);
  warm(play, 3, 2);
  std::uint32_t id = 10;
  std::size_t quick = 0;
  std::size_t slow = 0;
  for (Duration time = 1s; time < 30s; time += 100ms) {
    play.at(time).call(id, 3);
    play.stands(id++, 3, 250ms);
    const auto actions = play.call(id, 9);  // no server has this cell: always a draw
    for (const auto& send : of<ForwardCall>(actions)) {
      if (send.server == ServerId{3}) {
        ++slow;
        play.stands(id, 3, 250ms);
      } else {
        ++quick;
        play.stands(id, static_cast<std::uint32_t>(send.server), 50ms);
      }
    }
    ++id;
  }
  EXPECT_GT(quick, 10 * slow);
  EXPECT_GT(quick, 200U);
}

TEST(Worth, TheDearerHeldCallGoesFirst) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  play.call(8, 1, 0);
  play.call(9, 1, 1);
  const auto actions = play.at(50ms).stands(0, 1, 50ms);
  ASSERT_EQ(of<ForwardCall>(actions).size(), 1U);
  EXPECT_EQ(of<ForwardCall>(actions)[0].call, CallId{9});
}

TEST(Classes, OnlyTheirPools) {
  auto settings = usual_settings();
  settings.classes[0].pools = {PoolId{2}};
  Scenario play(settings);
  play.list({ready(1), ready(2)});
  EXPECT_EQ(sends_to(play.call(0, 1), 2), 1U);
}

TEST(Transit, OnlyToItsDestination) {
  Scenario play;
  play.list({ready(1), ready(2)});
  NewCall news;
  news.call = CallId{1};
  news.destination = PoolId{5};
  news.is_in_transit = true;
  news.expires = Instant{1000s} + 3s;
  EXPECT_TRUE(of<ForwardCall>(play.tell(news)).empty());
}

TEST(Stale, EventsForFinishedCallsAreIgnored) {
  Scenario play;
  play.list({ready(1)});
  play.call(0, 1);
  play.stands(0, 1, 50ms);
  play.ends(0, 1, Outcome::kOk, true);
  const std::vector<std::vector<Action>> late = {play.ends(0, 1, Outcome::kTimeout), play.stands(0, 1, 50ms),
                                                 play.tell(CallAbandoned{CallId{0}}),
                                                 play.stands(77, 1, 50ms), play.ends(77, 5, Outcome::kReset)};
  for (const auto& actions : late) {
    EXPECT_TRUE(of<ForwardCall>(actions).empty());
    EXPECT_EQ(answers(actions), 0U);
    EXPECT_TRUE(of<CancelAttempt>(actions).empty());
  }
}

// Seen in the drill: a call that stood and then ended without its answer was forgotten.
TEST(Stale, ACallThatStoodAndEndsUnansweredIsStillOwed) {
  Scenario play;
  play.list({ready(1)});
  play.call(0, 1);
  play.stands(0, 1, 5ms);
  play.ends(0, 1, Outcome::kCancelled, false);
  const auto later = play.look_until(1600ms);
  EXPECT_EQ(of<ForwardCall>(later).size() + answers(later), 1U);
}

HealthCheckResult probe_answer(std::uint32_t server, bool ok) {
  HealthCheckResult answer;
  answer.server = ServerId{server};
  answer.outcome = ok ? Outcome::kOk : Outcome::kConnectFailed;
  answer.elapsed = 20ms;
  return answer;
}

// A long queue is silent as well: set-ups are called off only when a probe stays unanswered too.
TEST(Suspicion, SilenceIsProbedBeforeSetupsAreCalledOff) {
  Scenario play;
  play.list({ready(1), ready(2)});
  warm(play, 1, 0);
  play.at(1s).call(1, 1);
  const auto silence = play.look_until(1700ms);
  EXPECT_EQ(of<CheckHealth>(silence).size(), 1U);
  EXPECT_TRUE(of<CancelAttempt>(silence).empty());
  EXPECT_TRUE(of<CancelAttempt>(play.tell(probe_answer(1, true))).empty());
  EXPECT_EQ(of<CancelAttempt>(play.tell(probe_answer(1, false))).size(), 1U);
  EXPECT_EQ(sends_to(play.call(2, 1), 2), 1U);
}

TEST(Suspicion, ASuspectGetsNothingUntilATrialIsAnswered) {
  Scenario play;
  play.list({ready(1), ready(2)});
  play.at(1s).tell(probe_answer(1, false));
  const auto away = play.look_until(4s);
  EXPECT_EQ(sends_to(play.call(2, 1), 1), 0U);
  EXPECT_GE(of<CheckHealth>(away).size(), 5U);
  play.tell(probe_answer(1, true));
  // It may have restarted meanwhile: for now it is met as a cold one, by a trickle.
  play.look_until(8s);
  EXPECT_EQ(sends_to(play.call(3, 1), 1), 1U);
  EXPECT_EQ(sends_to(play.call(4, 1), 1), 0U);
}

TEST(Suspicion, SilenceAloneCountsWhereProbesAreForbidden) {
  auto settings = usual_settings();
  settings.limits.probes = false;
  Scenario play(settings);
  play.list({ready(1), ready(2)});
  play.call(1, 1);
  EXPECT_EQ(of<CancelAttempt>(play.look_until(700ms)).size(), 1U);
}

// Seen in an incident: probes queue behind the set-ups of a jam, and live set-ups were called off.
TEST(Suspicion, AProbeThatTimesOutShutsButCallsNothingOff) {
  Scenario play;
  play.list({ready(1), ready(2)});
  play.call(1, 1);
  auto answer = probe_answer(1, true);
  answer.outcome = Outcome::kTimeout;
  EXPECT_TRUE(of<CancelAttempt>(play.at(700ms).tell(answer)).empty());
  EXPECT_EQ(sends_to(play.call(2, 1), 2), 1U);
}

// Seen in two incidents: refused at their aim, calls redialled and took the place of fresh ones.
TEST(Late, ACallPastItsAimIsHeldOnBehindThoseInTime) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  play.call(8, 1);
  EXPECT_EQ(answers(play.look_until(2s)), 0U);
  play.call(9, 1);
  auto actions = play.ends(0, 1, Outcome::kOk, true);
  for (std::uint32_t id = 1; id < 4; ++id) {
    const auto more = play.ends(id, 1, Outcome::kOk, true);
    actions.insert(actions.end(), more.begin(), more.end());
  }
  const auto later = play.look_until(2900ms);
  actions.insert(actions.end(), later.begin(), later.end());
  const auto sends = of<ForwardCall>(actions);
  ASSERT_FALSE(sends.empty());
  EXPECT_EQ(sends[0].call, CallId{9});
  EXPECT_EQ(answers(play.look_until(3s)), sends.size() == 1 ? 1U : 0U);
}

// Seen in two incidents: marked redials, whose first try's aim had gone, took the place of first tries.
TEST(Late, AMarkedRedialGivesWayToAFirstTry) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  play.call(9, 1);
  NewCall redial;
  redial.call = CallId{8};
  redial.destination = PoolId{1};
  redial.expires = Instant{1000s} + 3s;
  redial.is_redial = true;
  play.at(10ms).tell(redial);
  const auto sends = of<ForwardCall>(play.at(50ms).stands(0, 1, 50ms));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].call, CallId{9});
}

// Seen in four incidents: served oldest first in a long overload, each call stood just after its aim.
TEST(Held, TheNewestOfAWorthGoesFirst) {
  Scenario play;
  play.list({ready(1)});
  for (std::uint32_t id = 0; id < 4; ++id) play.call(id, 1);
  play.call(8, 1);
  play.at(50ms).call(9, 1);
  const auto sends = of<ForwardCall>(play.at(60ms).stands(0, 1, 60ms));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_EQ(sends[0].call, CallId{9});
}

// Seen in three incidents: a full server answers "full" at once, so it drew most of the sends.
TEST(Full, AFullServerIsLeftAloneForAGrowingPause) {
  Scenario play;
  play.list({ready(1)});
  warm(play, 1, 0);
  std::vector<Duration> sent;
  std::uint32_t id = 10;
  for (Duration time = 1s; time < 6s; time += 20ms) {
    auto actions = play.at(time).call(id, 1, 0, 100ms);
    const auto more = play.look();
    actions.insert(actions.end(), more.begin(), more.end());
    for (const auto& send : of<ForwardCall>(actions)) {
      sent.push_back(time);
      play.ends(static_cast<std::uint32_t>(send.call), 1, Outcome::kFull, true);
    }
    ++id;
  }
  ASSERT_GE(sent.size(), 2U);
  EXPECT_LE(sent.size(), 8U);
  EXPECT_GT(sent.back() - sent[sent.size() - 2], 2 * (sent[1] - sent[0]));
}

TEST(Full, TheCallItselfGoesElsewhereAtOnce) {
  Scenario play;
  play.list({ready(1), ready(2)});
  play.call(1, 1);
  EXPECT_EQ(sends_to(play.at(20ms).ends(1, 1, Outcome::kFull), 2), 1U);
}

TEST(Full, AnAskedWaitIsKept) {
  Scenario play;
  play.list({ready(1)});
  play.call(1, 1);
  AttemptEnded ended;
  ended.call = CallId{1};
  ended.server = ServerId{1};
  ended.outcome = Outcome::kFull;
  ended.call_ended = true;
  ended.retry_after = 2s;
  play.tell(ended);
  play.at(1900ms).call(2, 1);
  EXPECT_EQ(sends_to(play.look(), 1), 0U);
  EXPECT_EQ(sends_to(play.look_until(2100ms), 1), 1U);
}

TEST(Pressure, TokensReturnSlowlyAfterAJam) {
  Scenario play;
  play.list({ready(1)});
  warm(play, 1, 0);
  const auto reported = [&](Duration wait, Duration from, Duration until) {
    for (Duration time = from; time < until; time += 50ms) {
      play.at(time).ends(0, 1, Outcome::kOk, true, 0, LoadReport{{}, {}, wait, {}, {}, {}, {}, {}});
      play.look();
    }
  };
  reported(900ms, 1s, 6s);
  reported(0ms, 6s, 7s);
  std::size_t sent = 0;
  const auto burst = [&](std::uint32_t first, Duration time) {
    sent = 0;
    play.at(time);
    for (std::uint32_t id = first; id < first + 6; ++id) {
      sent += of<ForwardCall>(play.call(id, 1, 0, 100ms)).size();
    }
    for (int round = 1; round <= 6; ++round) {  // an ending lets a held one go
      play.at(time + round * 20ms).look();
      for (std::uint32_t id = first; id < first + 6; ++id) play.ends(id, 1, Outcome::kOk, true);
    }
  };
  burst(50, 7s);
  EXPECT_LT(sent, 3U);
  reported(0ms, 8s, 40s);
  burst(60, 41s);
  EXPECT_GE(sent, 3U);
}

// Seen at full size: all senders probed a jammed server at once, its room for probes ran out, and each took
// the "full" for a death.
TEST(Suspicion, AProbeTurnedAwayIsASignOfLife) {
  Scenario play;
  play.list({ready(1)});
  play.call(1, 1);
  ASSERT_EQ(of<CheckHealth>(play.look_until(700ms)).size(), 1U);
  auto answer = probe_answer(1, true);
  answer.outcome = Outcome::kFull;
  EXPECT_TRUE(of<CancelAttempt>(play.tell(answer)).empty());
  EXPECT_TRUE(of<LogMessage>(play.all()).empty());
}

LoadReport waiting(Duration wait) {
  LoadReport report;
  report.wait = wait;
  return report;
}

// Seen at full size: late calls took tokens at senders that held nothing else while others held calls in
// time.
TEST(Late, ALateCallOnlyGoesWhereTheQueueIsShort) {
  for (const bool late : {false, true}) {
    auto settings = usual_settings();
    Scenario play(settings);
    play.list({ready(1)});
    warm(play, 1, 0);
    play.at(1s).ends(0, 1, Outcome::kOk, true, 0, waiting(200ms));
    NewCall news;
    news.call = CallId{5};
    news.destination = PoolId{1};
    news.expires = Instant{1000s} + 9s;
    news.is_redial = late;
    EXPECT_EQ(of<ForwardCall>(play.at(4s).tell(news)).size(), late ? 0U : 1U);
  }
}

// Seen at full size: set-ups sent in time stood after many seconds at small servers, which did nothing else.
TEST(Late, ASetupPastItsAimIsCalledOffForACallInTime) {
  for (const bool another : {false, true}) {
    Scenario play;
    play.list({ready(1)});
    warm(play, 1, 0);
    play.at(100ms).call(1, 1, 0, 9s);
    play.look_until(1000ms);
    HealthCheckResult alive = probe_answer(1, true);
    alive.report = waiting(5s);
    play.tell(alive);
    play.look_until(1500ms);
    if (another) play.call(2, 1, 0, 3s);
    EXPECT_EQ(of<CancelAttempt>(play.look_until(1700ms)).size(), another ? 1U : 0U);
  }
}

// Seen at full size: in a burst every sender drew the small servers it had not met yet, all at once.
TEST(Draw, AServerNeverMetIsNoQuickerThanTheUsualOne) {
  std::size_t unmet = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    auto settings = usual_settings();
    settings.seed = seed;
    Scenario play(settings);
    play.list({ready(1), ready(2), ready(3)});
    warm(play, 1, 0);
    warm(play, 2, 1);
    unmet += sends_to(play.at(1s).call(9, 9), 3);
  }
  EXPECT_GE(unmet, 5U);
  EXPECT_LE(unmet, 35U);
}

// Seen in an incident: servers with a wait of 20 ms were sent nothing for what had been heard long before.
TEST(Pressure, ABetterReadingCountsWholeWhenTheLastIsOld) {
  Scenario play;
  play.list({ready(1), ready(2)});
  warm(play, 1, 0);
  warm(play, 2, 1);
  play.at(1s).ends(0, 1, Outcome::kOk, true, 0, waiting(9s));
  EXPECT_EQ(sends_to(play.at(2s).call(5, 1), 1), 0U);
  play.at(20s).ends(1, 1, Outcome::kOk, true, 0, waiting(0ms));
  EXPECT_EQ(sends_to(play.at(20100ms).call(6, 1), 1), 1U);
}

TEST(Pressure, ACalmServerIsNotFloodedWhenAnotherIsPressed) {
  std::size_t sent[2] = {};
  for (const bool pressed : {false, true}) {
    Scenario play;
    play.list({ready(1), ready(2)});
    warm(play, 1, 0);
    warm(play, 2, 1);
    for (std::uint32_t id = 10; id < 14; ++id) {  // a usual stream of a call in five seconds
      play.at(Duration{5s} * (id - 9));
      play.call(id, 2, 0, 1s);
      play.stands(id, 2, 50ms);
    }
    if (pressed) play.at(25s).ends(0, 1, Outcome::kOk, true, 0, waiting(2s));
    play.at(25s).ends(13, 2, Outcome::kOk, true, 0, waiting(0ms));
    play.at(25s);
    for (std::uint32_t id = 20; id < 26; ++id) sent[pressed ? 1 : 0] += sends_to(play.call(id, 2), 2);
  }
  EXPECT_EQ(sent[0], 4U);  // the fixed count
  EXPECT_LT(sent[1], 4U);
  EXPECT_GE(sent[1], 1U);
}

// A caller that hangs up before its set-up can stand leaves dead work at a pressed server.
TEST(Late, NothingIsSentThatCannotStandBeforeTheCallerLeaves) {
  for (const bool patient : {false, true}) {
    Scenario play;
    play.list({ready(1)});
    warm(play, 1, 0);
    play.at(1s).ends(0, 1, Outcome::kOk, true, 0, waiting(500ms));
    EXPECT_EQ(sends_to(play.at(9s).call(5, 1, 0, patient ? 3s : 250ms), 1), patient ? 1U : 0U);
  }
}

TEST(Advice, RefusedCallersAreToldToStayAwayUnderPressureOnly) {
  for (const bool pressed : {false, true}) {
    auto settings = usual_settings();
    settings.limits.retry_advice = true;
    settings.limits.max_retry_advice = 2s;
    Scenario play(settings);
    play.list({ready(1)});
    warm(play, 1, 0);
    if (pressed) play.at(1s).ends(0, 1, Outcome::kOk, true, 0, waiting(9s));
    play.at(2s).list({in_state(1, EndpointState::kRemoved)}, EndpointUpdateScope::kDelta);
    play.call(2, 1, 0, 100ms);
    const auto refused = of<RejectCall>(play.look_until(2200ms));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].retry_after, pressed ? Duration{2s} : Duration{0});
  }
}

TEST(Suspicion, NoProbeWhereForbidden) {
  auto settings = usual_settings();
  settings.limits.probes = false;
  Scenario play(settings);
  play.list({ready(1), ready(2)});
  play.call(1, 1);
  EXPECT_TRUE(of<CheckHealth>(play.look_until(4s)).empty());
}

TEST(Suspicion, RefusedConnectionMovesTheCallAtOnce) {
  Scenario play;
  play.list({ready(1), ready(2)});
  play.call(1, 1);
  EXPECT_EQ(sends_to(play.at(500ms).ends(1, 1, Outcome::kConnectFailed), 2), 1U);
}

// Seen in an incident: a faulty server answered with errors at once and drew 86% of the sends. Seen on a
// reload day: a server that failed some set-ups was shut at each of them, and its calls filled the others.
TEST(Errors, AFaultyServerIsLeftAloneABusyNumberIsNotItsFault) {
  struct Case {
    const char* endings;  // e: error, b: number busy, s: stands
    std::uint32_t then_to;
  };
  for (const Case one : {Case{"e", 1}, Case{"ee", 1}, Case{"eee", 2}, Case{"bbbb", 1}, Case{"ebee", 2},
                         Case{"eese", 1}, Case{"eeseee", 2}}) {
    SCOPED_TRACE(one.endings);
    Scenario play;
    play.list({ready(1), ready(2)});
    std::uint32_t id = 1;
    for (const char* at = one.endings; *at != 0; ++at, ++id) {
      const auto now = 50ms * id;
      ASSERT_EQ(sends_to(play.at(now).call(id, 1), 1), 1U);
      if (*at == 's') {
        play.at(now + 30ms).stands(id, 1, 30ms);
        continue;
      }
      AttemptEnded ended;
      ended.call = CallId{id};
      ended.server = ServerId{1};
      ended.outcome = Outcome::kError;
      ended.is_caller_fault = *at == 'b';
      ended.call_ended = true;
      play.at(now + 30ms).tell(ended);
    }
    EXPECT_EQ(sends_to(play.at(50ms * id).call(id, 1), one.then_to), 1U);
  }
}

// Seen in an incident: on a lossy link one lost set-up's age passed for a jam and shut a calm server for 8 s.
TEST(Lost, AnOvertakenSetupIsNoJamAndIsCalledOff) {
  Scenario play;
  play.list({ready(1)});
  play.call(1, 1);
  play.at(20ms).call(2, 1);
  play.at(70ms).stands(2, 1, 50ms);
  play.at(500ms);
  EXPECT_EQ(sends_to(play.call(3, 1), 1), 1U);
  play.at(550ms).stands(3, 1, 50ms);
  EXPECT_EQ(of<CancelAttempt>(play.look_until(700ms)).size(), 1U);
}

TEST(Lost, ALoneOneIsFoundOutByAnother) {
  Scenario play;
  play.list({ready(1)});
  play.call(1, 1);
  play.at(20ms).stands(1, 1, 20ms);
  play.at(100ms).call(2, 1);
  const LoadReport calm{{}, {}, 5ms, {}, {}, {}, {}, {}};
  play.at(600ms).ends(1, 1, Outcome::kOk, true, 0, calm);
  EXPECT_EQ(sends_to(play.at(950ms).call(3, 1), 1), 1U);
}

TEST(Discovery, AskedForWhereItIsNotPushed) {
  auto settings = usual_settings();
  settings.endpoint_list_is_pushed = false;
  Admission admission(settings);
  std::vector<Action> actions;
  admission.start(Instant{1s}, actions);
  EXPECT_EQ(of<WatchEndpoints>(actions).size(), 1U);
  actions.clear();
  admission.handle(Instant{2s}, EndpointUpdate{EndpointUpdateScope::kFailed, {}}, actions);
  EXPECT_EQ(of<WatchEndpoints>(actions).size(), 1U);
}

TEST(Determinism, SameEventsGiveSameActions) {
  const auto run = [] {
    Scenario play;
    play.list({ready(1), ready(2), ready(3)});
    for (std::uint32_t id = 0; id < 200; ++id) {
      play.at(20ms * id).call(id, 9);
      play.stands(id, 1 + id % 3, 30ms + 1ms * (id % 7));
    }
    std::vector<std::uint32_t> servers;
    for (const auto& send : of<ForwardCall>(play.all()))
      servers.push_back(static_cast<std::uint32_t>(send.server));
    return servers;
  };
  EXPECT_EQ(run(), run());
  EXPECT_GE(run().size(), 12U);
}

}  // namespace
}  // namespace amberknot::testing
