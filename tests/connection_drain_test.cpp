// The drain of callers' connections by `standby`: the decisions, and the router on real sockets. Guards
// against a drain that ends only when callers happen to send nothing.
#include "core/connection_drain.hpp"

#include <doctest/doctest.h>

#include "net_bench.hpp"

namespace amberknot::tests {
namespace {

using core::ConnectionDrain;
using core::DrainedConnection;

const std::string kEstablishedCall = "00000000000000a1";
const std::string kLateCall = "00000000000000b2";

std::string rejection_of(const std::string& call) {
  return "\"close\",\"sid\":\"" + call + "\",\"attrs\":{},\"code\":42";
}

/// A router whose only server answers nothing by itself.
struct StandbyFixture : RouterFixture {
  StandbyFixture() { announce_server(); }
  /// Enters standby and waits until set-ups are no longer served.
  void outlast_service_period() {
    router->set_standby(true);
    const Instant end = Loop::now() + ConnectionDrain::kServicePeriod;
    run_until([&] { return Loop::now() >= end; });
  }
};

}  // namespace

TEST_CASE("a drain closes connections by what they carry") {
  struct Row {
    const char* description;
    DrainedConnection connection;
    bool in_standby;
    bool in_hot_restart;
  };
  const Row rows[] = {
      {"idle", {}, true, true},
      {"new", {.is_new = true}, false, false},
      {"with a partly received message", {.has_pending_input = true}, false, false},
      {"with an unanswered call", {.unanswered = 1}, false, false},
      {"with an established call", {.established = 1}, false, true},
  };
  const Instant start{std::chrono::seconds{100}};
  for (const auto& row : rows) {
    CAPTURE(std::string(row.description));
    ConnectionDrain drain;
    CHECK_FALSE(drain.may_close(row.connection, start));
    drain.begin_standby(start);
    CHECK(drain.may_close(row.connection, start) == row.in_standby);
    drain.begin_hot_restart();
    CHECK(drain.may_close(row.connection, start) == row.in_hot_restart);
    drain.end_standby();
    CHECK(drain.may_close(row.connection, start) == row.in_hot_restart);
  }
}

// Callers that connect again after each close kept such connections open at every moment.
TEST_CASE("a new connection without a message is not kept once set-ups are no longer served") {
  const Instant start{std::chrono::seconds{100}};
  ConnectionDrain drain;
  drain.begin_standby(start);
  const Instant end = start + ConnectionDrain::kServicePeriod;
  CHECK_FALSE(drain.may_close({.is_new = true}, end - Duration{1}));
  CHECK(drain.may_close({.is_new = true}, end));
  CHECK_FALSE(drain.may_close({.is_new = true, .has_pending_input = true}, end));
}

TEST_CASE("set-ups are served for the service period after the first of several standby commands") {
  const Instant start{std::chrono::seconds{100}};
  const Duration period = ConnectionDrain::kServicePeriod;
  ConnectionDrain drain;
  CHECK(drain.serves_set_ups(start));
  drain.begin_standby(start);
  drain.begin_standby(start + period / 2);
  CHECK(drain.serves_set_ups(start + period - Duration{1}));
  CHECK_FALSE(drain.serves_set_ups(start + period));
  drain.end_standby();
  CHECK(drain.serves_set_ups(start + period));
  drain.begin_hot_restart();
  CHECK(drain.serves_set_ups(start + period));
  drain.begin_standby(start + 2 * period);
  CHECK(drain.serves_set_ups(start + 3 * period - Duration{1}));
  CHECK_FALSE(drain.serves_set_ups(start + 3 * period));
}

TEST_CASE("a connection kept by an established call brings no new call to a router in standby") {
  StandbyFixture fixture;
  auto& server = fixture.establish_call(kEstablishedCall);
  fixture.outlast_service_period();
  fixture.send_set_up(kLateCall);
  fixture.run_until([&] { return fixture.caller->has_received(rejection_of(kLateCall)); });
  CHECK_FALSE(server.has_received(kLateCall));
  CHECK(fixture.router->counters().by_class.at(0).throttled == 1);
  CHECK(fixture.router->counters().rejected_in_standby == 1);
  CHECK_FALSE(fixture.caller->closed);  // the release of the established call is sent on it
  server.stream->send(RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kEstablishedCall, "2 BYE",
                                                 "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.caller->closed; });
  CHECK(fixture.caller->has_received("\"close\",\"sid\":\"" + kEstablishedCall));
}

TEST_CASE("a connection kept by a waiting set-up brings no new call to a router in standby") {
  StandbyFixture fixture;
  fixture.send_set_up(kEstablishedCall);
  auto& server = fixture.wait_for_invite(kEstablishedCall);
  fixture.outlast_service_period();
  fixture.send_set_up(kLateCall);
  fixture.run_until([&] { return fixture.caller->has_received(rejection_of(kLateCall)); });
  CHECK_FALSE(server.has_received(kLateCall));
  // The set-up from before the standby is still served.
  fixture.answer(server, kEstablishedCall);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kEstablishedCall); });
}

TEST_CASE("a router that is active again serves set-ups on the connections it kept") {
  StandbyFixture fixture;
  fixture.establish_call(kEstablishedCall);
  fixture.outlast_service_period();
  fixture.router->set_standby(false);
  fixture.send_set_up(kLateCall);
  fixture.answer(fixture.wait_for_invite(kLateCall), kLateCall);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kLateCall); });
}

}  // namespace amberknot::tests
