// The parts of the fleet lab that need no sockets or processes: schedules, link faults, histories, and the
// checker on histories that break a rule on purpose. Guards against a checker that overlooks a breach or
// reports one where there is none, and against schedules and faults that are not reproducible.
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

Event event(int ms, const std::string& who, EventKind kind, const std::string& peer = "",
            std::int64_t number = 0, const std::string& text = "", const std::string& call = kCall) {
  const bool is_call_event = kind <= EventKind::kEnded;
  return {milliseconds{ms}, who, kind, is_call_event ? call : "", peer, number, text};
}

/// Returns a history of a ready router and one successful call.
History correct_run() {
  return {event(0, "n0", EventKind::kStarted),
          event(5, "n0", EventKind::kReady),
          event(10, "c0", EventKind::kSetUp, "n0", 2000),
          event(12, "s0", EventKind::kInvite, "n0"),
          event(30, "s0", EventKind::kAnswered, "n0", 0, "s0-1"),
          event(32, "c0", EventKind::kAnswer, "n0", 0, "s0-1")};
}

History with_events(History history, std::vector<Event> more) {
  return merge_by_time({std::move(history), std::move(more)});
}

/// Returns the index of the broken rule, -1 if no rule is broken, or -2 if several are.
int broken_rule(const History& history) {
  const auto verdict = check(history, {});
  CHECK(verdict.inconclusive_reason == "");
  int found = -1;
  for (std::size_t i = 0; i < verdict.rules.size(); ++i) {
    if (!verdict.rules[i].violations.empty()) found = found == -1 ? static_cast<int>(i) : -2;
  }
  CHECK((found == -1) == verdict.has_passed());
  return found;
}

Schedule with_fault(LinkFaultKind kind, double share = 1) {
  Schedule schedule;
  schedule.links.push_back(
      {kind, {"n*"}, {"s1"}, false, seconds{1}, seconds{2}, share, milliseconds{30}, milliseconds{20}});
  return schedule;
}

}  // namespace

TEST_CASE("a generated schedule is reproducible and survives being written and parsed") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto schedule = generate_schedule(seed, 5, 3, seconds{10});
    const auto text = to_json(schedule);
    CHECK(to_json(parse_schedule(text)) == text);
    CHECK(to_json(generate_schedule(seed, 5, 3, seconds{10})) == text);
    // There is a fault of every kind, and each one ends early enough for the fleet to recover.
    CHECK(schedule.links.size() >= 9);
    for (const auto& fault : schedule.links) {
      CHECK(fault.at < fault.until);
      CHECK(fault.until <= milliseconds{7500});
    }
  }
  CHECK(to_json(generate_schedule(1, 5, 3, seconds{10})) != to_json(generate_schedule(2, 5, 3, seconds{10})));
}

TEST_CASE("an invalid schedule is rejected with the name of the invalid field") {
  const struct {
    const char* text;
    const char* field;
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
    std::string message;
    try {
      parse_schedule(row.text);
    } catch (const ScheduleError& error) {
      message = error.what();
    }
    CAPTURE(message);
    CHECK(message.find(row.field) != std::string::npos);
  }
}

TEST_CASE(
    "each kind of fault affects streams and datagrams as specified, only in its time span and direction") {
  using K = LinkFaultKind;
  using A = StreamAction::Kind;
  const struct {
    K kind;
    A stream;
    std::size_t datagrams;
  } rows[] = {{K::kDrop, A::kPass, 0},        {K::kDelay, A::kPass, 1},         {K::kDuplicate, A::kPass, 2},
              {K::kReorder, A::kPass, 1},     {K::kReset, A::kReset, 1},        {K::kFinish, A::kFinish, 1},
              {K::kHalfOpen, A::kDiscard, 0}, {K::kStall, A::kPauseReading, 0}, {K::kPartition, A::kHold, 0}};
  for (const auto& row : rows) {
    CAPTURE(name_of(row.kind));
    const auto schedule = with_fault(row.kind);
    LinkFaults link(schedule, "n3", "s1");
    for (const Duration outside : {Duration{milliseconds{999}}, Duration{seconds{2}}}) {
      CHECK(link.stream_action(outside).kind == A::kPass);
      CHECK(link.stream_action(outside).delay == Duration{});
      CHECK(link.deliver_datagram(outside).count == 1);
      CHECK(link.deliver_datagram(outside).delays[0] == Duration{});
    }
    const auto action = link.stream_action(milliseconds{1500});
    CHECK(action.kind == row.stream);
    if (row.kind == K::kStall || row.kind == K::kPartition) CHECK(action.until == seconds{2});
    if (row.kind == K::kDrop) CHECK(action.delay == kRetransmissionDelay);
    if (row.kind == K::kDelay) {
      CHECK(action.delay >= milliseconds{30});
      CHECK(action.delay < milliseconds{50});
    }
    const auto delivery = link.deliver_datagram(milliseconds{1500});
    CHECK(delivery.count == row.datagrams);
    const bool is_delayed = row.kind == K::kDelay || row.kind == K::kReorder;
    if (delivery.count > 0) CHECK((delivery.delays[0] >= milliseconds{30}) == is_delayed);
    CHECK(link.connection_close_times().size() == (row.kind == K::kReset || row.kind == K::kFinish ? 1 : 0));
    LinkFaults back(schedule, "s1", "n3");
    LinkFaults other(schedule, "n3", "s2");
    for (auto* unaffected : {&back, &other}) {
      CHECK(unaffected->stream_action(milliseconds{1500}).kind == A::kPass);
      CHECK(unaffected->deliver_datagram(milliseconds{1500}).count == 1);
    }
  }
}

TEST_CASE("a fault affects the given share, reproducibly for a seed, and differently for each link") {
  auto schedule = with_fault(LinkFaultKind::kDrop, 0.3);
  const auto loss_pattern = [&](const std::string& from) {
    LinkFaults link(schedule, from, "s1");
    std::string lost;
    for (int i = 0; i < 10'000; ++i) lost += link.deliver_datagram(milliseconds{1500}).count == 0 ? 'x' : '.';
    return lost;
  };
  const auto first = loss_pattern("n0");
  CHECK(std::count(first.begin(), first.end(), 'x') > 2800);
  CHECK(std::count(first.begin(), first.end(), 'x') < 3200);
  CHECK(loss_pattern("n0") == first);
  CHECK(loss_pattern("n1") != first);
  schedule.seed = 2;
  CHECK(loss_pattern("n0") != first);
}

TEST_CASE("a history survives being written and parsed, and a truncated line is counted") {
  const auto history =
      with_events(correct_run(), {event(40, "n0", EventKind::kExited, "", -9),
                                  event(41, "c0", EventKind::kLost, "n0", 0, "a \"b\"\n\x01")});
  std::string text;
  for (const auto& recorded : history) text += to_json_line(recorded) + "\n";
  std::size_t unreadable = 0;
  CHECK(parse_history(text, unreadable) == history);
  CHECK(unreadable == 0);
  CHECK(parse_history(text.substr(0, text.size() - 5), unreadable).size() == history.size() - 1);
  CHECK(unreadable == 1);
  CHECK_FALSE(parse_event(R"({"us":1,"what":"unheard-of"})"));
}

TEST_CASE("the checker detects each rule that is broken on purpose, and nothing in a correct run") {
  CHECK(broken_rule(correct_run()) == -1);
  const auto denied_attempts = [](int count) {
    std::vector<Event> more;
    for (int i = 0; i < count; ++i) {
      more.push_back(event(100 + i, "s1", EventKind::kInvite, "n0", 0, "", "b2"));
      more.push_back(event(100 + i, "s1", EventKind::kDenied, "n0", 503, "", "b2"));
    }
    return more;
  };
  const auto after_departure = [](const std::vector<Event>& then) {
    std::vector<Event> all = {event(100, "c0", EventKind::kSetUp, "n0", 5000, "", "b2"),
                              event(200, "c0", EventKind::kGaveUp, "n0", 0, "", "b2")};
    all.insert(all.end(), then.begin(), then.end());
    return all;
  };
  const auto in_standby = [](const std::vector<Event>& then) {
    std::vector<Event> all = {event(100, "c0", EventKind::kConnected, "n0"),
                              event(1000, "n0", EventKind::kStandby),
                              event(1001, "n0", EventKind::kAdminReply, "", 0, "+OK standby")};
    all.insert(all.end(), then.begin(), then.end());
    return all;
  };
  const struct {
    const char* description;
    std::vector<Event> more;
    int rule;
  } rows[] = {
      {"a second final answer", {event(50, "c0", EventKind::kRejected, "n0")}, 0},
      {"no answer", {event(100, "c0", EventKind::kSetUp, "n0", 500, "", "b2")}, 0},
      {"an answer 51 ms late",
       {event(100, "c0", EventKind::kSetUp, "n0", 500, "", "b2"),
        event(651, "c0", EventKind::kRejected, "n0", 0, "", "b2")},
       0},
      {"an answer in time thanks to the tolerance",
       {event(100, "c0", EventKind::kSetUp, "n0", 500, "", "b2"),
        event(650, "c0", EventKind::kRejected, "n0", 0, "", "b2")},
       -1},
      {"a connection that closed before the answer",
       {event(100, "c0", EventKind::kSetUp, "n0", 500, "", "b2"),
        event(200, "c0", EventKind::kLost, "n0", 0, "", "b2")},
       0},
      {"a caller that gave up in time",
       {event(100, "c0", EventKind::kSetUp, "n0", 500, "", "b2"),
        event(300, "c0", EventKind::kGaveUp, "n0", 0, "", "b2")},
       -1},
      {"an answer that no server gave",
       {event(100, "c0", EventKind::kSetUp, "n0", 500, "", "b2"),
        event(120, "c0", EventKind::kAnswer, "n0", 0, "made up", "b2")},
       1},
      {"two attempts at the same time",
       {event(100, "s0", EventKind::kInvite, "n0", 0, "", "b2"),
        event(700, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       2},
      {"a retry 400 ms after a cancel",
       {event(100, "s0", EventKind::kInvite, "n0", 0, "", "b2"),
        event(300, "s0", EventKind::kCancelled, "n0", 0, "", "b2"),
        event(700, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       2},
      {"a retry 500 ms after a reset",
       {event(100, "s0", EventKind::kInvite, "n0", 0, "", "b2"),
        event(300, "s0", EventKind::kBroken, "n0", 0, "", "b2"),
        event(800, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       -1},
      {"a retry 400 ms after a reset by the relay, of which both ends know",
       {event(290, "n0", EventKind::kFaultOn, "s0", 0, "reset"),
        event(100, "s0", EventKind::kInvite, "n0", 0, "", "b2"),
        event(300, "s0", EventKind::kBroken, "n0", 0, "", "b2"),
        event(700, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       2},
      {"two attempts at the same time with a half-open link, whose ends have different knowledge",
       {event(90, "n0", EventKind::kFaultOn, "s0", 0, "half-open"),
        event(100, "s0", EventKind::kInvite, "n0", 0, "", "b2"),
        event(700, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       -1},
      {"a retry at once after a refusal by the server",
       {event(100, "s0", EventKind::kInvite, "n0", 0, "", "b2"),
        event(110, "s0", EventKind::kDenied, "n0", 503, "", "b2"),
        event(111, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       -1},
      {"an attempt that a stalled link delivered after the next one",
       {event(90, "n0", EventKind::kFaultOn, "s0", 0, "stall"),
        event(700, "s1", EventKind::kInvite, "n0", 2, "", "b2"),
        event(720, "s1", EventKind::kAnswered, "n0", 0, "sdp", "b2"),
        event(745, "s0", EventKind::kInvite, "n0", 1, "", "b2"),
        event(746, "s0", EventKind::kCancelled, "n0", 0, "", "b2")},
       -1},
      {"an attempt delivered after the next one without a fault",
       {event(700, "s1", EventKind::kInvite, "n0", 2, "", "b2"),
        event(720, "s1", EventKind::kAnswered, "n0", 0, "sdp", "b2"),
        event(745, "s0", EventKind::kInvite, "n0", 1, "", "b2"),
        event(746, "s0", EventKind::kCancelled, "n0", 0, "", "b2")},
       2},
      {"an attempt delivered after the next one while only the link of the next one stalled",
       {event(90, "n0", EventKind::kFaultOn, "s1", 0, "stall"),
        event(700, "s1", EventKind::kInvite, "n0", 2, "", "b2"),
        event(720, "s1", EventKind::kAnswered, "n0", 0, "sdp", "b2"),
        event(745, "s0", EventKind::kInvite, "n0", 1, "", "b2"),
        event(746, "s0", EventKind::kCancelled, "n0", 0, "", "b2")},
       2},
      {"four attempts", denied_attempts(4), -1},
      {"five attempts", denied_attempts(5), 3},
      {"a set-up to a draining server",
       {event(100, "s1", EventKind::kDrained), event(651, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       4},
      {"a set-up to a draining server within the grace period",
       {event(100, "s1", EventKind::kDrained), event(650, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       -1},
      {"a set-up to a server that is ready again",
       {event(100, "s1", EventKind::kDrained), event(600, "s1", EventKind::kResumed),
        event(900, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       -1},
      {"a set-up to a draining server by a router that was frozen meanwhile",
       {event(100, "s1", EventKind::kDrained), event(110, "n0", EventKind::kFrozen),
        event(700, "n0", EventKind::kThawed), event(701, "s1", EventKind::kInvite, "n0", 0, "", "b2")},
       -1},
      {"a set-up for a caller that left 351 ms before",
       after_departure({event(551, "s0", EventKind::kInvite, "n0", 0, "", "b2")}), 7},
      {"a set-up for a caller that left, within the grace period and its tolerance",
       after_departure({event(550, "s0", EventKind::kInvite, "n0", 0, "", "b2")}), -1},
      {"a set-up for a caller that left, by a router that was frozen meanwhile",
       after_departure({event(190, "n0", EventKind::kFrozen), event(900, "n0", EventKind::kThawed),
                        event(901, "s0", EventKind::kInvite, "n0", 0, "", "b2")}),
       -1},
      {"a process that exits on its own", {event(100, "n0", EventKind::kExited, "", 0)}, 5},
      {"a process that was killed",
       {event(99, "n0", EventKind::kKilled), event(100, "n0", EventKind::kExited, "", -9)},
       -1},
      {"the end of a call, reported in time",
       {event(100, "s0", EventKind::kHungUp, "n0"), event(1150, "c0", EventKind::kReleased, "n0"),
        event(9000, "n1", EventKind::kReady)},
       -1},
      {"the end of a call, reported 1 ms too late",
       {event(100, "s0", EventKind::kHungUp, "n0"), event(1151, "c0", EventKind::kReleased, "n0"),
        event(9000, "n1", EventKind::kReady)},
       6},
      {"a call whose earlier attempt had ended at another server",
       {event(5, "n0", EventKind::kFaultOn, "s1", 0, "partition"), event(11, "s1", EventKind::kInvite, "n0"),
        event(11, "s1", EventKind::kAnswered, "n0", 0, "s1-1"), event(11, "s1", EventKind::kHungUp, "n0"),
        event(9000, "n1", EventKind::kReady)},
       -1},
      {"the end of a call, never reported",
       {event(100, "s0", EventKind::kHungUp, "n0"), event(9000, "n1", EventKind::kReady)},
       6},
      {"the end of a call, reported within 8 s after a reset of the connections",
       {event(90, "s0", EventKind::kFaultOn, "n0", 0, "reset"), event(100, "s0", EventKind::kHungUp, "n0"),
        event(5000, "c0", EventKind::kReleased, "n0"), event(9000, "n1", EventKind::kReady)},
       -1},
      {"the end of a call, never reported by a router that was killed",
       {event(100, "s0", EventKind::kHungUp, "n0"), event(110, "n0", EventKind::kKilled),
        event(9000, "n1", EventKind::kReady)},
       -1},
      {"the calls of a vanished server, released at the last moment",
       {event(100, "s0", EventKind::kVanished), event(8150, "c0", EventKind::kReleased, "n0"),
        event(9000, "n1", EventKind::kReady)},
       -1},
      {"the calls of a vanished server, released 1 ms too late",
       {event(100, "s0", EventKind::kVanished), event(8151, "c0", EventKind::kReleased, "n0"),
        event(9000, "n1", EventKind::kReady)},
       8},
      {"the calls of a dead server, never released",
       {event(100, "s0", EventKind::kDied), event(9000, "n1", EventKind::kReady)},
       8},
      {"a call that had ended at the server before it died",
       {event(90, "s0", EventKind::kHungUp, "n0"), event(95, "c0", EventKind::kReleased, "n0"),
        event(100, "s0", EventKind::kDied), event(9000, "n1", EventKind::kReady)},
       -1},
      {"a call at another server than the one that vanished",
       {event(100, "s1", EventKind::kVanished), event(9000, "n1", EventKind::kReady)},
       -1},
      {"a router in standby with a request of 1.9 s",
       in_standby({event(3100, "c0", EventKind::kSetUp, "n0", 3000, "", "b2"),
                   event(5001, "c0", EventKind::kRejected, "n0", 0, "", "b2")}),
       9},
      {"a router in standby with a request of 2 s",
       in_standby({event(3000, "c0", EventKind::kSetUp, "n0", 3000, "", "b2"),
                   event(5001, "c0", EventKind::kRejected, "n0", 0, "", "b2")}),
       -1},
      {"a router in standby that has just received a request",
       in_standby({event(4951, "c0", EventKind::kSetUp, "n0", 3000, "", "b2"),
                   event(5001, "c0", EventKind::kRejected, "n0", 0, "", "b2")}),
       -1},
      {"a request of 1.9 s at a router that was active again before",
       in_standby({event(3100, "c0", EventKind::kSetUp, "n0", 3000, "", "b2"),
                   event(4998, "n0", EventKind::kActive),
                   event(4999, "n0", EventKind::kAdminReply, "", 0, "+OK active"),
                   event(5000, "front", EventKind::kHealthCheckPassed, "n0"),
                   event(5001, "c0", EventKind::kRejected, "n0", 0, "", "b2")}),
       -1},
      {"a router in standby with an idle connection", in_standby({event(5001, "n1", EventKind::kReady)}), 9},
      {"a router in standby with a connection that carries an established call",
       in_standby({event(2000, "c0", EventKind::kSetUp, "n0", 3000, "", "b2"),
                   event(2009, "s0", EventKind::kAnswered, "n0", 0, "s0-2", "b2"),
                   event(2010, "c0", EventKind::kAnswer, "n0", 0, "s0-2", "b2"),
                   event(5001, "n1", EventKind::kReady)}),
       -1},
      {"a router in standby that has closed its idle connection",
       in_standby({event(4999, "c0", EventKind::kDisconnected, "n0"), event(5001, "n1", EventKind::kReady)}),
       -1},
      {"a router in standby that says that it takes callers",
       in_standby({event(4999, "c0", EventKind::kDisconnected, "n0"),
                   event(5001, "front", EventKind::kHealthCheckPassed, "n0")}),
       9},
      {"a router that was killed in standby",
       in_standby({event(3100, "n0", EventKind::kKilled), event(3101, "n0", EventKind::kExited, "", -9),
                   event(5001, "n1", EventKind::kReady)}),
       -1},
      {"an admin command that is confirmed late",
       {event(1000, "n0", EventKind::kStandby),
        event(2051, "n0", EventKind::kAdminReply, "", 0, "+OK standby")},
       10},
      {"an active router that takes callers again too late",
       {event(1000, "n0", EventKind::kActive), event(1001, "n0", EventKind::kAdminReply, "", 0, "+OK active"),
        event(3051, "front", EventKind::kHealthCheckPassed, "n0")},
       10},
      {"an active router that takes callers again in time",
       {event(1000, "n0", EventKind::kActive), event(1001, "n0", EventKind::kAdminReply, "", 0, "+OK active"),
        event(3050, "front", EventKind::kHealthCheckPassed, "n0")},
       -1},
      {"a process that does not end after SIGTERM",
       {event(99, "n0", EventKind::kStopping), event(100, "n0", EventKind::kExited, "", -9)},
       5},
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.description));
    CHECK(broken_rule(with_events(correct_run(), row.more)) == row.rule);
  }
}

TEST_CASE("a violation holds the events that show it and no others") {
  const auto verdict =
      check(with_events(correct_run(), {event(100, "s0", EventKind::kInvite, "n0", 0, "", "b2"),
                                        event(300, "s0", EventKind::kCancelled, "n0", 0, "", "b2"),
                                        event(700, "s1", EventKind::kInvite, "n0", 0, "", "b2")}),
            {});
  REQUIRE(verdict.rules[2].violations.size() == 1);
  const auto& events = verdict.rules[2].violations[0].events;
  REQUIRE(events.size() == 3);
  CHECK(events[1].kind == EventKind::kCancelled);
  CHECK(format_verdict(verdict).find("\"us\":700000") != std::string::npos);
}

// Guards against a trial that fails because a process under AddressSanitizer searches for leaks between the
// close of its listener and its end, and against a listener that is closed long before.
TEST_CASE("a set-up that finds no listener is excused only shortly before the end of the process") {
  const auto run = with_events(correct_run(),
                               {event(100, "c0", EventKind::kSetUp, "n0", 500, "", "b2"),
                                event(101, "c0", EventKind::kLost, "n0", 0, "refused", "b2"),
                                event(99, "n0", EventKind::kStopping), event(156, "n0", EventKind::kExited)});
  const auto violations = [&run](Duration max_exit_delay) {
    RuleLimits limits;
    limits.max_exit_delay = max_exit_delay;
    return check(run, limits).rules[0].violations.size();
  };
  CHECK(violations(RuleLimits().max_exit_delay) == 1);
  CHECK(violations(std::chrono::milliseconds{54}) == 1);
  CHECK(violations(std::chrono::milliseconds{55}) == 0);
}

TEST_CASE("an inconclusive run does not pass") {
  const auto reason_of = [](const History& history) { return check(history, {}).inconclusive_reason; };
  CHECK(reason_of({}) == "no call was answered");
  CHECK_FALSE(check({}, {}).has_passed());
  CHECK(reason_of({event(10, "c0", EventKind::kSetUp, "n0", 10)}) == "no call was answered");
  CHECK(reason_of(with_events(correct_run(), {event(50, "relay", EventKind::kLate, "", 51)}))
            .find("late by 51 ms") != std::string::npos);
  CHECK(reason_of(with_events(correct_run(), {event(50, "relay", EventKind::kLate, "", 50)})) == "");
  std::vector<Event> killed = {event(9, "n0", EventKind::kKilled)};
  for (int i = 0; i < 3; ++i)
    killed.push_back(event(20 + i, "c0", EventKind::kSetUp, "n0", 100, "", std::to_string(i)));
  CHECK(reason_of(with_events(correct_run(), killed)) == "most calls are excused by faults of the schedule");
}

}  // namespace amberknot::lab::fleet
