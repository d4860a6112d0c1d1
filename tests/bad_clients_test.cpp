// Tests with callers that send nothing, invalid data or too much: each gets a rejection or a close, and other
// callers are still served.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kCallA = "00000000000000a1";
const std::string kCallB = "00000000000000b2";

std::string health_check_line(const std::string& sid) {
  return "{\"msg\":\"probe\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":0}\n";
}
std::string bad_open(const std::string& sid) {
  return "{\"msg\":\"open\",\"sid\":\"" + sid + "\",\"attrs\":{\"class\":\"none\"},\"text\":\"\"}\n";
}
}  // namespace

// Guards against connections that hold a descriptor and send nothing; the router must close them within 3 s.
TEST_CASE("a connection without a useful message is closed within 3 s, one with a call is not") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.establish_call(kCallA);
  const Instant connected_at = Loop::now();
  const auto idle = fixture.connect(fixture.router->callers_endpoint());
  const auto partial_line = fixture.connect(fixture.router->callers_endpoint());
  partial_line->stream->send("{\"msg\":\"open\",\"sid\":");
  const auto useless = fixture.connect(fixture.router->callers_endpoint());
  useless->stream->send("{\"msg\":\"close\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":16}\n");
  // A release of an unknown id is confirmed too.
  fixture.run_until([&] { return useless->has_received("\"closed\",\"sid\":\"" + kCallB); });
  fixture.run_until([&] { return idle->closed && partial_line->closed && useless->closed; });
  CHECK(Loop::now() - connected_at < milliseconds{3000});
  CHECK(fixture.router->counters().idle_connections_closed == 3);
  // A caller with an established call may be idle.
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller->closed);
}

// Guards against new callers that are rejected because idle connections hold all places.
TEST_CASE("at the connection limit, idle connections are closed and new ones accepted") {
  auto config = router_config();
  config.max_sockets = 32;
  RouterFixture fixture({}, config);
  fixture.announce_server();
  fixture.establish_call(kCallA);
  fixture.send_set_up(kCallB);  // unanswered, so its connection is kept
  fixture.wait_for_invite(kCallB);
  std::vector<std::unique_ptr<TestConnection>> idle;
  for (int i = 0; i < 30; ++i) {
    idle.push_back(fixture.connect(fixture.router->callers_endpoint()));
    fixture.run_until([&] { return idle.back()->stream->is_open(); });
  }
  const auto new_caller = fixture.connect(fixture.router->callers_endpoint());
  new_caller->stream->send(health_check_line(kCallA));
  fixture.run_until([&] { return new_caller->has_received("\"probed\""); });
  CHECK(fixture.router->caller_connections() <= 16);
  CHECK(fixture.router->counters().evicted_connections >= 15);
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller->closed);
}

// Guards against releases that callers do not receive: callers wait for them on the connections where they
// opened the calls.
TEST_CASE("connections with established calls are closed last, and releases go where calls were served") {
  auto config = router_config();
  config.max_sockets = 32;
  RouterFixture fixture({}, config);
  fixture.announce_server();
  auto& end = fixture.establish_call(kCallA);
  std::vector<std::unique_ptr<TestConnection>> idle;
  SUBCASE("more idle connections than the limit allows") {
    for (int i = 0; i < 40; ++i) {
      idle.push_back(fixture.connect(fixture.router->callers_endpoint()));
      idle.back()->stream->send(health_check_line(kCallB));
      fixture.run_until([&] { return idle.back()->has_received("\"probed\""); });
    }
    fixture.wait_for_messages_in_transit();
    CHECK_FALSE(fixture.caller->closed);
  }
  SUBCASE("its own connection is closed, and an idle one is newer than one in use") {
    const auto used = fixture.connect(fixture.router->callers_endpoint());
    used->stream->send(health_check_line(kCallB));
    fixture.run_until([&] { return used->has_received("\"probed\""); });
    const auto unused = fixture.connect(fixture.router->callers_endpoint());
    fixture.run_until([&] { return fixture.router->caller_connections() == 3; });
    fixture.caller->stream->close();
    fixture.run_until([&] { return fixture.router->caller_connections() == 2; });
    end.stream->send(
        RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    fixture.run_until([&] { return used->has_received("\"close\",\"sid\":\"" + kCallA); });
    CHECK(unused->received.empty());
    return;
  }
  end.stream->send(
      RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
}

// Guards against a reset that overtakes the rejection: closing a socket with unread input sends a reset.
TEST_CASE("a rejection arrives although the connection is closed because of the next line") {
  RouterFixture fixture;
  fixture.send_from_caller(bad_open(kCallA) + "nonsense\n" + std::string(100'000, 'x'));
  fixture.run_until([&] { return fixture.caller->closed; });
  CHECK(fixture.caller->close_reason == net::CloseReason::kClosedByPeer);
  CHECK(fixture.caller->count("\"code\":100") == 1);
}

TEST_CASE("a second set-up with the id of a live call is rejected and never sent to a server") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& end = fixture.wait_for_invite(kCallA);
  SUBCASE("on the same connection: both end with one rejection") {
    fixture.send_set_up(kCallA, 2000, "another");
    fixture.run_until([&] { return fixture.caller->has_received("\"code\":100}"); });
    fixture.run_until([&] { return end.has_received("CANCEL sip:"); });
    fixture.answer(end, kCallA);
    fixture.run_until([&] { return end.has_received("BYE sip:"); });
    fixture.wait_for_messages_in_transit();
    CHECK(fixture.caller->count(kCallA) == 1);
  }
  SUBCASE("on another connection: the live call goes on") {
    const auto other_caller = fixture.connect(fixture.router->callers_endpoint());
    std::swap(fixture.caller, const_cast<std::unique_ptr<TestConnection>&>(other_caller));
    fixture.send_set_up(kCallA, 2000, "another");
    std::swap(fixture.caller, const_cast<std::unique_ptr<TestConnection>&>(other_caller));
    fixture.run_until([&] { return other_caller->has_received("\"code\":100}"); });
    fixture.answer(end, kCallA);
    fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallA); });
    CHECK(fixture.server.count(" INVITE\r\n") == 1);
  }
  CHECK(fixture.router->counters().repeated_ids == 1);
}

TEST_CASE("numbers out of range fail the call at once") {
  auto config = router_config();
  config.settings.classes[0].pools = {PoolId{0}, PoolId{1}};
  config.names.max_widths = {1, 2};
  RouterFixture fixture({}, config);
  fixture.announce_server();
  struct Case {
    const char* left;
    const char* extras;
    const char* key;
  };
  const Case cases[] = {
      {"-1", "dest:0;width:1", "77aa"},
      {"x", "dest:0;width:1", "77aa"},
      {"1e99", "dest:0;width:1", "77aa"},
      {"999999", "dest:0;width:1", "77aa"},
      {"nan", "dest:0;width:1", "77aa"},
      {"1000", "dest:7;width:1", "77aa"},
      {"1000", "dest:-1;width:1", "77aa"},
      {"1000", "dest:0;width:0", "77aa"},
      {"1000", "dest:0;width:9", "77aa"},
      {"1000", "dest:0;width:x", "77aa"},
      {"1000", "dest:0.5;width:1", "77aa"},
      {"1000", "width:1", "77aa"},
      {"1000", "", "77aa"},
      {"1000", "dest:0;width:1", "77 aa"},
  };
  std::size_t count = 0;
  for (const auto& one : cases) {
    CAPTURE(one.left);
    CAPTURE(one.extras);
    fixture.send_from_caller("{\"msg\":\"open\",\"sid\":\"" + kCallA +
                             "\",\"attrs\":{\"class\":\"voice\",\"left\":\"" + one.left +
                             "\",\"tenant\":\"acme\",\"key\":\"" + one.key + "\",\"extras\":\"" + one.extras +
                             "\"},\"text\":\"desc\"}\n");
    ++count;
    fixture.run_until([&] { return fixture.caller->count("\"code\":100}") == count; });
  }
  CHECK(fixture.server.count("INVITE") == 0);
}

// Guards against a burst from one caller that delays all others.
TEST_CASE("lines of one connection are read a few at a time") {
  RouterFixture fixture;
  const auto other = fixture.connect(fixture.router->callers_endpoint());
  fixture.wait_for_messages_in_transit();
  fixture.run_until([&] { return other->stream->is_open(); });
  std::string burst;
  for (int i = 0; i < 150; ++i) burst += bad_open(kCallA);
  fixture.send_from_caller(burst);
  other->stream->send(health_check_line(kCallB));
  fixture.run_until([&] { return other->has_received("\"probed\""); });
  CHECK(fixture.router->counters().malformed_set_ups < 150);
  fixture.run_until([&] { return fixture.caller->count("\"code\":100}") == 150; });
}

// Guards against exhausted memory: the bytes held for calls are limited in total, and no connection may use
// all of them.
TEST_CASE("set-ups beyond the memory limit are rejected at once, with a time to wait before a retry") {
  auto config = router_config();
  config.max_memory_mb = 16;
  RouterFixture fixture({}, config);  // the endpoint list is empty, so every call is queued
  char sid[17];
  for (int i = 0; i < 80; ++i) {
    std::snprintf(sid, sizeof sid, "%016x", 0x1000 + i);
    const auto& counters = fixture.router->counters();
    fixture.send_set_up(sid, 2500, std::string(15'000, 'x'));
    fixture.run_until([&] {
      return counters.received + counters.rejected_for_capacity == static_cast<std::size_t>(i) + 1;
    });
  }
  fixture.run_until([&] { return fixture.router->counters().rejected_for_capacity > 0; });
  fixture.run_until([&] { return fixture.caller->has_received("\"wait\":\"2000\"},\"code\":42}"); });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.router->table().unanswered() >= 30);
  // Another connection is still served, but many connections that are each within their own limit do not
  // exceed the total.
  const auto& counters = fixture.router->counters();
  const auto received_before = counters.received;
  std::vector<std::unique_ptr<TestConnection>> others;
  for (int i = 0; i < 5; ++i) {
    others.push_back(fixture.connect(fixture.router->callers_endpoint()));
    std::swap(fixture.caller, others.back());
    for (int k = 0; k < 30; ++k) {
      const auto handled_before = counters.received + counters.rejected_for_capacity;
      std::snprintf(sid, sizeof sid, "%016x", 0x10000 + 100 * i + k);
      fixture.send_set_up(sid, 2500, std::string(15'000, 'x'));
      fixture.run_until(
          [&] { return counters.received + counters.rejected_for_capacity == handled_before + 1; });
    }
    std::swap(fixture.caller, others.back());
    if (i == 0) CHECK(counters.received == received_before + 30);
  }
  CHECK(fixture.router->table().unanswered() * 30'000 <=
        net::ResourceLimits::from_config(16, 1024).max_call_bytes);
}

TEST_CASE("a caller that disconnects abandons its unanswered calls and no others") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.establish_call(kCallA);
  const auto other = fixture.connect(fixture.router->callers_endpoint());
  std::swap(fixture.caller, const_cast<std::unique_ptr<TestConnection>&>(other));
  char sid[17];
  for (int i = 0; i < 100; ++i) {
    std::snprintf(sid, sizeof sid, "%016x", 0x1000 + i);
    fixture.send_set_up(sid);
  }
  fixture.run_until([&] { return fixture.router->counters().received == 101; });
  fixture.caller->stream->close();
  std::swap(fixture.caller, const_cast<std::unique_ptr<TestConnection>&>(other));
  fixture.run_until([&] { return fixture.router->table().unanswered() == 0; });
  CHECK(fixture.router->table().established() == 1);
  CHECK(fixture.router->counters().abandoned + fixture.router->counters().rejected == 100);
}
