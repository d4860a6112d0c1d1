// The fleet rig's decisions: schedules, what a link does, histories, and the checker on violations planted on
// purpose. No socket and no process.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>

#include "lab/fleet/checker.hpp"
#include "lab/fleet/faults.hpp"

namespace amberknot::lab::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kCall = "00000000000000a1";

Event event(int ms, const std::string& who, What what, const std::string& peer = "", std::int64_t number = 0,
            const std::string& text = "", const std::string& call = kCall) {
  const bool about_call = what <= What::kEnded;
  return {milliseconds{ms}, who, what, about_call ? call : "", peer, number, text};
}

/// A call that goes well, and a router that is up.
History sound() {
  return {event(0, "n0", What::kStarted),
          event(5, "n0", What::kReady),
          event(10, "c0", What::kSetUp, "n0", 2000),
          event(12, "s0", What::kInvite, "n0"),
          event(30, "s0", What::kAnswered, "n0", 0, "s0-1"),
          event(32, "c0", What::kAnswer, "n0", 0, "s0-1")};
}

History with(History history, std::vector<Event> more) {
  return merged({std::move(history), std::move(more)});
}

/// The number of the one rule that does not hold; -1: all hold, -2: several do not.
int broken(const History& history) {
  const auto verdict = check(history, {});
  CHECK(verdict.nothing_shown == "");
  int found = -1;
  for (std::size_t i = 0; i < verdict.rules.size(); ++i) {
    if (!verdict.rules[i].violations.empty()) found = found == -1 ? static_cast<int>(i) : -2;
  }
  CHECK((found == -1) == verdict.held());
  return found;
}

Schedule with_fault(LinkFaultKind kind, double share = 1) {
  Schedule schedule;
  schedule.links.push_back(
      {kind, {"n*"}, {"s1"}, false, seconds{1}, seconds{2}, share, milliseconds{30}, milliseconds{20}});
  return schedule;
}

}  // namespace

TEST_CASE("a schedule is read as it was written, drawn or by hand") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto drawn = draw_schedule(seed, 5, 3, seconds{10});
    const auto text = text_of(drawn);
    CHECK(text_of(read_schedule(text)) == text);
    CHECK(text_of(draw_schedule(seed, 5, 3, seconds{10})) == text);
    // Every kind of fault, and each is over in time for what must come back.
    CHECK(drawn.links.size() >= 9);
    for (const auto& fault : drawn.links) {
      CHECK(fault.at < fault.until);
      CHECK(fault.until <= milliseconds{7500});
    }
  }
  CHECK(text_of(draw_schedule(1, 5, 3, seconds{10})) != text_of(draw_schedule(2, 5, 3, seconds{10})));
}

TEST_CASE("a bad schedule is refused with the field at fault") {
  const struct {
    const char* text;
    const char* names;
  } rows[] = {
      {"", "at byte"},
      {"[]", "type"},
      {R"({"seed":1,"length_ms":1000})", "version"},
      {R"({"version":2,"seed":1,"length_ms":1000})", "version"},
      {R"({"version":1,"seed":-1,"length_ms":1000})", "seed"},
      {R"({"version":1,"seed":1,"length_ms":1})", "length_ms"},
      {R"({"version":1,"seed":1,"length_ms":1000,"linkz":[]})", "linkz"},
      {R"({"version":1,"seed":1,"length_ms":1000,"links":[{"fault":"melt","from":["n0"],"to":["s0"],"at_ms":0,"until_ms":1}]})",
       "fault"},
      {R"({"version":1,"seed":1,"length_ms":1000,"links":[{"fault":"drop","from":[],"to":["s0"],"at_ms":0,"until_ms":1}]})",
       "from"},
      {R"({"version":1,"seed":1,"length_ms":1000,"links":[{"fault":"drop","from":["n0"],"to":["s0"],"at_ms":5,"until_ms":5}]})",
       "links[0].until_ms"},
      {R"({"version":1,"seed":1,"length_ms":1000,"links":[{"fault":"drop","from":["n0"],"to":["s0"],"at_ms":0,"until_ms":1,"share":2}]})",
       "share"},
      {R"({"version":1,"seed":1,"length_ms":1000,"nodes":[{"do":"crash","at_ms":0}]})", "nodes"},
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.text));
    std::string said;
    try {
      read_schedule(row.text);
    } catch (const ScheduleError& error) {
      said = error.what();
    }
    CAPTURE(said);
    CHECK(said.find(row.names) != std::string::npos);
  }
}

TEST_CASE(
    "each kind of fault does to a stream and to datagrams what it says, in its time and direction only") {
  using K = LinkFaultKind;
  using V = StreamVerdict::Kind;
  const struct {
    K kind;
    V stream;
    std::size_t datagrams;
  } rows[] = {{K::kDrop, V::kPass, 0},       {K::kDelay, V::kPass, 1},  {K::kDuplicate, V::kPass, 2},
              {K::kReorder, V::kPass, 1},    {K::kReset, V::kReset, 1}, {K::kFinish, V::kFinish, 1},
              {K::kHalfOpen, V::kVanish, 0}, {K::kStall, V::kStop, 0},  {K::kPartition, V::kHold, 0}};
  for (const auto& row : rows) {
    CAPTURE(name_of(row.kind));
    const auto schedule = with_fault(row.kind);
    LinkFaults link(schedule, "n3", "s1");
    for (const Duration outside : {Duration{milliseconds{999}}, Duration{seconds{2}}}) {
      CHECK(link.stream(outside).kind == V::kPass);
      CHECK(link.stream(outside).wait == Duration{});
      CHECK(link.datagram(outside).count == 1);
      CHECK(link.datagram(outside).after[0] == Duration{});
    }
    const auto verdict = link.stream(milliseconds{1500});
    CHECK(verdict.kind == row.stream);
    if (row.kind == K::kStall || row.kind == K::kPartition) CHECK(verdict.until == seconds{2});
    if (row.kind == K::kDrop) CHECK(verdict.wait == kRetransmitted);
    if (row.kind == K::kDelay) {
      CHECK(verdict.wait >= milliseconds{30});
      CHECK(verdict.wait < milliseconds{50});
    }
    const auto ways = link.datagram(milliseconds{1500});
    CHECK(ways.count == row.datagrams);
    const bool later = row.kind == K::kDelay || row.kind == K::kReorder;
    if (ways.count > 0) CHECK((ways.after[0] >= milliseconds{30}) == later);
    CHECK(link.cuts().size() == (row.kind == K::kReset || row.kind == K::kFinish ? 1 : 0));
    LinkFaults back(schedule, "s1", "n3");
    LinkFaults other(schedule, "n3", "s2");
    for (auto* none : {&back, &other}) {
      CHECK(none->stream(milliseconds{1500}).kind == V::kPass);
      CHECK(none->datagram(milliseconds{1500}).count == 1);
    }
  }
}

TEST_CASE("shares come out as asked, the same for the same seed, and links draw apart") {
  auto schedule = with_fault(LinkFaultKind::kDrop, 0.3);
  const auto losses = [&](const std::string& from) {
    LinkFaults link(schedule, from, "s1");
    std::string lost;
    for (int i = 0; i < 10'000; ++i) lost += link.datagram(milliseconds{1500}).count == 0 ? 'x' : '.';
    return lost;
  };
  const auto first = losses("n0");
  CHECK(std::count(first.begin(), first.end(), 'x') > 2800);
  CHECK(std::count(first.begin(), first.end(), 'x') < 3200);
  CHECK(losses("n0") == first);
  CHECK(losses("n1") != first);
  schedule.seed = 2;
  CHECK(losses("n0") != first);
}

TEST_CASE("a history is read as it was written; a line that a crash cut short is counted") {
  const auto history = with(sound(), {event(40, "n0", What::kExited, "", -9),
                                      event(41, "c0", What::kLost, "n0", 0, "a \"b\"\n\x01")});
  std::string text;
  for (const auto& one : history) text += line_of(one) + "\n";
  std::size_t unreadable = 0;
  CHECK(read_history(text, unreadable) == history);
  CHECK(unreadable == 0);
  CHECK(read_history(text.substr(0, text.size() - 5), unreadable).size() == history.size() - 1);
  CHECK(unreadable == 1);
  CHECK_FALSE(read_line(R"({"us":1,"what":"unheard-of"})"));
}

TEST_CASE("the checker finds each rule that is broken on purpose, and nothing in a sound run") {
  CHECK(broken(sound()) == -1);
  const auto tries = [](int count) {
    std::vector<Event> more;
    for (int i = 0; i < count; ++i) {
      more.push_back(event(100 + i, "s1", What::kInvite, "n0", 0, "", "b2"));
      more.push_back(event(100 + i, "s1", What::kDenied, "n0", 503, "", "b2"));
    }
    return more;
  };
  const auto left = [](const std::vector<Event>& then) {
    std::vector<Event> all = {event(100, "c0", What::kSetUp, "n0", 5000, "", "b2"),
                              event(200, "c0", What::kGaveUp, "n0", 0, "", "b2")};
    all.insert(all.end(), then.begin(), then.end());
    return all;
  };
  const struct {
    const char* planted;
    std::vector<Event> more;
    int rule;
  } rows[] = {
      {"a second answer", {event(50, "c0", What::kRefused, "n0")}, 0},
      {"no answer", {event(100, "c0", What::kSetUp, "n0", 500, "", "b2")}, 0},
      {"an answer 51 ms late",
       {event(100, "c0", What::kSetUp, "n0", 500, "", "b2"),
        event(651, "c0", What::kRefused, "n0", 0, "", "b2")},
       0},
      {"in time by the slack",
       {event(100, "c0", What::kSetUp, "n0", 500, "", "b2"),
        event(650, "c0", What::kRefused, "n0", 0, "", "b2")},
       -1},
      {"a connection ended under a call",
       {event(100, "c0", What::kSetUp, "n0", 500, "", "b2"),
        event(200, "c0", What::kLost, "n0", 0, "", "b2")},
       0},
      {"taken back by its caller",
       {event(100, "c0", What::kSetUp, "n0", 500, "", "b2"),
        event(300, "c0", What::kGaveUp, "n0", 0, "", "b2")},
       -1},
      {"an answer that no server gave",
       {event(100, "c0", What::kSetUp, "n0", 500, "", "b2"),
        event(120, "c0", What::kAnswer, "n0", 0, "made up", "b2")},
       1},
      {"two attempts out",
       {event(100, "s0", What::kInvite, "n0", 0, "", "b2"),
        event(700, "s1", What::kInvite, "n0", 0, "", "b2")},
       2},
      {"sent again 400 ms after a cancel",
       {event(100, "s0", What::kInvite, "n0", 0, "", "b2"),
        event(300, "s0", What::kCancelled, "n0", 0, "", "b2"),
        event(700, "s1", What::kInvite, "n0", 0, "", "b2")},
       2},
      {"sent again 500 ms after a reset",
       {event(100, "s0", What::kInvite, "n0", 0, "", "b2"),
        event(300, "s0", What::kBroken, "n0", 0, "", "b2"),
        event(800, "s1", What::kInvite, "n0", 0, "", "b2")},
       -1},
      {"sent again 400 ms after a reset that the relay made: both ends know of it",
       {event(290, "n0", What::kFaultOn, "s0", 0, "reset"),
        event(100, "s0", What::kInvite, "n0", 0, "", "b2"),
        event(300, "s0", What::kBroken, "n0", 0, "", "b2"),
        event(700, "s1", What::kInvite, "n0", 0, "", "b2")},
       2},
      {"the same over a half-open link: the ends know different things",
       {event(90, "n0", What::kFaultOn, "s0", 0, "half-open"),
        event(100, "s0", What::kInvite, "n0", 0, "", "b2"),
        event(700, "s1", What::kInvite, "n0", 0, "", "b2")},
       -1},
      {"at once after a server said no",
       {event(100, "s0", What::kInvite, "n0", 0, "", "b2"),
        event(110, "s0", What::kDenied, "n0", 503, "", "b2"),
        event(111, "s1", What::kInvite, "n0", 0, "", "b2")},
       -1},
      {"an attempt that a stalled link brought after the next one",
       {event(90, "n0", What::kFaultOn, "s0", 0, "stall"), event(700, "s1", What::kInvite, "n0", 2, "", "b2"),
        event(720, "s1", What::kAnswered, "n0", 0, "sdp", "b2"),
        event(745, "s0", What::kInvite, "n0", 1, "", "b2"),
        event(746, "s0", What::kCancelled, "n0", 0, "", "b2")},
       -1},
      {"the same over sound links",
       {event(700, "s1", What::kInvite, "n0", 2, "", "b2"),
        event(720, "s1", What::kAnswered, "n0", 0, "sdp", "b2"),
        event(745, "s0", What::kInvite, "n0", 1, "", "b2"),
        event(746, "s0", What::kCancelled, "n0", 0, "", "b2")},
       2},
      {"the same where only the next attempt's link stalled",
       {event(90, "n0", What::kFaultOn, "s1", 0, "stall"), event(700, "s1", What::kInvite, "n0", 2, "", "b2"),
        event(720, "s1", What::kAnswered, "n0", 0, "sdp", "b2"),
        event(745, "s0", What::kInvite, "n0", 1, "", "b2"),
        event(746, "s0", What::kCancelled, "n0", 0, "", "b2")},
       2},
      {"four tries", tries(4), -1},
      {"five tries", tries(5), 3},
      {"a set-up to a server that drains",
       {event(100, "s1", What::kDrained), event(651, "s1", What::kInvite, "n0", 0, "", "b2")},
       4},
      {"the same within the grace",
       {event(100, "s1", What::kDrained), event(650, "s1", What::kInvite, "n0", 0, "", "b2")},
       -1},
      {"the same after it is back",
       {event(100, "s1", What::kDrained), event(600, "s1", What::kResumed),
        event(900, "s1", What::kInvite, "n0", 0, "", "b2")},
       -1},
      {"the same by a router that was frozen meanwhile",
       {event(100, "s1", What::kDrained), event(110, "n0", What::kFrozen), event(700, "n0", What::kThawed),
        event(701, "s1", What::kInvite, "n0", 0, "", "b2")},
       -1},
      {"a set-up for a caller that left 351 ms before",
       left({event(551, "s0", What::kInvite, "n0", 0, "", "b2")}), 7},
      {"the same within the term and its slack", left({event(550, "s0", What::kInvite, "n0", 0, "", "b2")}),
       -1},
      {"the same by a router that was frozen meanwhile",
       left({event(190, "n0", What::kFrozen), event(900, "n0", What::kThawed),
             event(901, "s0", What::kInvite, "n0", 0, "", "b2")}),
       -1},
      {"a process that ends unasked", {event(100, "n0", What::kExited, "", 0)}, 5},
      {"one that was killed", {event(99, "n0", What::kKilled), event(100, "n0", What::kExited, "", -9)}, -1},
      {"a call that is over and whose caller is told in time",
       {event(100, "s0", What::kHungUp, "n0"), event(1150, "c0", What::kReleased, "n0"),
        event(9000, "n1", What::kReady)},
       -1},
      {"one told 1 ms too late",
       {event(100, "s0", What::kHungUp, "n0"), event(1151, "c0", What::kReleased, "n0"),
        event(9000, "n1", What::kReady)},
       6},
      {"one whose earlier attempt had ended at another server",
       {event(5, "n0", What::kFaultOn, "s1", 0, "partition"), event(11, "s1", What::kInvite, "n0"),
        event(11, "s1", What::kAnswered, "n0", 0, "s1-1"), event(11, "s1", What::kHungUp, "n0"),
        event(9000, "n1", What::kReady)},
       -1},
      {"one never told", {event(100, "s0", What::kHungUp, "n0"), event(9000, "n1", What::kReady)}, 6},
      {"one whose connections were reset meanwhile, told within 8 s",
       {event(90, "s0", What::kFaultOn, "n0", 0, "reset"), event(100, "s0", What::kHungUp, "n0"),
        event(5000, "c0", What::kReleased, "n0"), event(9000, "n1", What::kReady)},
       -1},
      {"one never told by a router that was killed",
       {event(100, "s0", What::kHungUp, "n0"), event(110, "n0", What::kKilled),
        event(9000, "n1", What::kReady)},
       -1},
      {"one that does not end on SIGTERM",
       {event(99, "n0", What::kStopping), event(100, "n0", What::kExited, "", -9)},
       5},
  };
  for (const auto& row : rows) {
    CAPTURE(row.planted);
    CHECK(broken(with(sound(), row.more)) == row.rule);
  }
}

TEST_CASE("the slice that shows a violation holds its events and no others") {
  const auto verdict = check(with(sound(), {event(100, "s0", What::kInvite, "n0", 0, "", "b2"),
                                            event(300, "s0", What::kCancelled, "n0", 0, "", "b2"),
                                            event(700, "s1", What::kInvite, "n0", 0, "", "b2")}),
                             {});
  REQUIRE(verdict.rules[2].violations.size() == 1);
  const auto& slice = verdict.rules[2].violations[0].slice;
  REQUIRE(slice.size() == 3);
  CHECK(slice[1].what == What::kCancelled);
  CHECK(text_of(verdict).find("\"us\":700000") != std::string::npos);
}

TEST_CASE("a run that shows nothing does not pass") {
  const auto why = [](const History& history) { return check(history, {}).nothing_shown; };
  CHECK(why({}) == "no call was answered");
  CHECK_FALSE(check({}, {}).held());
  CHECK(why({event(10, "c0", What::kSetUp, "n0", 10)}) == "no call was answered");
  CHECK(why(with(sound(), {event(50, "relay", What::kLate, "", 51)})).find("late by 51 ms") !=
        std::string::npos);
  CHECK(why(with(sound(), {event(50, "relay", What::kLate, "", 50)})) == "");
  std::vector<Event> killed = {event(9, "n0", What::kKilled)};
  for (int i = 0; i < 3; ++i)
    killed.push_back(event(20 + i, "c0", What::kSetUp, "n0", 100, "", std::to_string(i)));
  CHECK(why(with(sound(), killed)) == "most calls met a fault of the schedule");
}

}  // namespace amberknot::lab::fleet
