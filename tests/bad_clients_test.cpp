// Tests with callers that send nothing, invalid data or too much: each gets a rejection or a close, and other
// callers are still served.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kCallA = "00000000000000a1";
const std::string kCallB = "00000000000000b2";

std::string probe(const std::string& sid) {
  return "{\"msg\":\"probe\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":0}\n";
}
std::string bad_open(const std::string& sid) {
  return "{\"msg\":\"open\",\"sid\":\"" + sid + "\",\"attrs\":{\"class\":\"none\"},\"text\":\"\"}\n";
}
}  // namespace

// Guards against connections that hold a descriptor and send nothing; the router must close them within 3 s.
TEST_CASE("a connection without a useful message is closed within 3 s, one with a call is not") {
  Bench bench;
  bench.list();
  bench.standing(kCallA);
  const Instant connected_at = Loop::now();
  const auto silent = bench.connect(bench.router->callers_at());
  const auto partial_line = bench.connect(bench.router->callers_at());
  partial_line->stream->send("{\"msg\":\"open\",\"sid\":");
  const auto useless = bench.connect(bench.router->callers_at());
  useless->stream->send("{\"msg\":\"close\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":16}\n");
  // A release of an unknown id is confirmed too.
  bench.until([&] { return useless->has("\"closed\",\"sid\":\"" + kCallB); });
  bench.until([&] { return silent->closed && partial_line->closed && useless->closed; });
  CHECK(Loop::now() - connected_at < milliseconds{3000});
  CHECK(bench.router->counters().idle_closed == 3);
  // A caller with an established call may be idle.
  bench.settle();
  CHECK_FALSE(bench.caller->closed);
}

// Guards against new callers that are rejected because idle connections hold all places.
TEST_CASE("at the connection limit, silent connections are closed and new ones accepted") {
  auto config = bench_config();
  config.sockets = 32;
  Bench bench({}, config);
  bench.list();
  bench.standing(kCallA);
  bench.open(kCallB);  // unanswered, so its connection is kept
  bench.invited(kCallB);
  std::vector<std::unique_ptr<End>> silent;
  for (int i = 0; i < 30; ++i) {
    silent.push_back(bench.connect(bench.router->callers_at()));
    bench.until([&] { return silent.back()->stream->is_open(); });
  }
  const auto new_caller = bench.connect(bench.router->callers_at());
  new_caller->stream->send(probe(kCallA));
  bench.until([&] { return new_caller->has("\"probed\""); });
  CHECK(bench.router->callers() <= 16);
  CHECK(bench.router->counters().evicted >= 15);
  bench.settle();
  CHECK_FALSE(bench.caller->closed);
}

// Guards against releases that callers do not receive: callers wait for them on the connections where they
// opened the calls.
TEST_CASE("connections with established calls are closed last, and releases go where calls were served") {
  auto config = bench_config();
  config.sockets = 32;
  Bench bench({}, config);
  bench.list();
  auto& end = bench.standing(kCallA);
  std::vector<std::unique_ptr<End>> idle;
  SUBCASE("more idle connections than the limit allows") {
    for (int i = 0; i < 40; ++i) {
      idle.push_back(bench.connect(bench.router->callers_at()));
      idle.back()->stream->send(probe(kCallB));
      bench.until([&] { return idle.back()->has("\"probed\""); });
    }
    bench.settle();
    CHECK_FALSE(bench.caller->closed);
  }
  SUBCASE("its own connection is closed, and a silent one is newer than one in use") {
    const auto used = bench.connect(bench.router->callers_at());
    used->stream->send(probe(kCallB));
    bench.until([&] { return used->has("\"probed\""); });
    const auto silent = bench.connect(bench.router->callers_at());
    bench.until([&] { return bench.router->callers() == 3; });
    bench.caller->stream->close();
    bench.until([&] { return bench.router->callers() == 2; });
    end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    bench.until([&] { return used->has("\"close\",\"sid\":\"" + kCallA); });
    CHECK(silent->in.empty());
    return;
  }
  end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kCallA); });
}

// Guards against a reset that overtakes the rejection: closing a socket with unread input sends a reset.
TEST_CASE("a rejection arrives although the connection is closed because of the next line") {
  Bench bench;
  bench.say(bad_open(kCallA) + "nonsense\n" + std::string(100'000, 'x'));
  bench.until([&] { return bench.caller->closed; });
  CHECK(bench.caller->why == net::CloseReason::kEnded);
  CHECK(bench.caller->count("\"code\":100") == 1);
}

TEST_CASE("a second set-up with the id of a live call is rejected and never sent to a server") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& end = bench.invited(kCallA);
  SUBCASE("on the same connection: both end with one rejection") {
    bench.open(kCallA, 2000, "another");
    bench.until([&] { return bench.caller->has("\"code\":100}"); });
    bench.until([&] { return end.has("CANCEL sip:"); });
    bench.answer(end, kCallA);
    bench.until([&] { return end.has("BYE sip:"); });
    bench.settle();
    CHECK(bench.caller->count(kCallA) == 1);
  }
  SUBCASE("on another connection: the live call goes on") {
    const auto other_caller = bench.connect(bench.router->callers_at());
    std::swap(bench.caller, const_cast<std::unique_ptr<End>&>(other_caller));
    bench.open(kCallA, 2000, "another");
    std::swap(bench.caller, const_cast<std::unique_ptr<End>&>(other_caller));
    bench.until([&] { return other_caller->has("\"code\":100}"); });
    bench.answer(end, kCallA);
    bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kCallA); });
    CHECK(bench.server.count(" INVITE\r\n") == 1);
  }
  CHECK(bench.router->counters().repeated_ids == 1);
}

TEST_CASE("numbers out of range fail the call at once") {
  auto config = bench_config();
  config.settings.classes[0].pools = {PoolId{0}, PoolId{1}};
  config.names.widths = {1, 2};
  Bench bench({}, config);
  bench.list();
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
    bench.say("{\"msg\":\"open\",\"sid\":\"" + kCallA + "\",\"attrs\":{\"class\":\"voice\",\"left\":\"" +
              one.left + "\",\"tenant\":\"acme\",\"key\":\"" + one.key + "\",\"extras\":\"" + one.extras +
              "\"},\"text\":\"desc\"}\n");
    ++count;
    bench.until([&] { return bench.caller->count("\"code\":100}") == count; });
  }
  CHECK(bench.server.count("INVITE") == 0);
}

// Guards against a burst from one caller that delays all others.
TEST_CASE("lines of one connection are read a few at a time") {
  Bench bench;
  const auto other = bench.connect(bench.router->callers_at());
  bench.settle();
  bench.until([&] { return other->stream->is_open(); });
  std::string burst;
  for (int i = 0; i < 150; ++i) burst += bad_open(kCallA);
  bench.say(burst);
  other->stream->send(probe(kCallB));
  bench.until([&] { return other->has("\"probed\""); });
  CHECK(bench.router->counters().malformed < 150);
  bench.until([&] { return bench.caller->count("\"code\":100}") == 150; });
}

// Guards against exhausted memory: the bytes held for calls are limited in total, and no connection may use
// all of them.
TEST_CASE("set-ups beyond the memory limit are rejected at once, with a time to wait before a retry") {
  auto config = bench_config();
  config.memory_mb = 16;
  Bench bench({}, config);  // the endpoint list is empty, so every call is queued
  char sid[17];
  for (int i = 0; i < 80; ++i) {
    std::snprintf(sid, sizeof sid, "%016x", 0x1000 + i);
    const auto& counters = bench.router->counters();
    bench.open(sid, 2500, std::string(15'000, 'x'));
    bench.until([&] {
      return counters.received + counters.rejected_for_capacity == static_cast<std::size_t>(i) + 1;
    });
  }
  bench.until([&] { return bench.router->counters().rejected_for_capacity > 0; });
  bench.until([&] { return bench.caller->has("\"wait\":\"2000\"},\"code\":42}"); });
  bench.settle();
  CHECK(bench.router->table().unanswered() >= 30);
  // Another connection is still served, but many connections that are each within their own limit do not
  // exceed the total.
  const auto& counters = bench.router->counters();
  const auto received_before = counters.received;
  std::vector<std::unique_ptr<End>> others;
  for (int i = 0; i < 5; ++i) {
    others.push_back(bench.connect(bench.router->callers_at()));
    std::swap(bench.caller, others.back());
    for (int k = 0; k < 30; ++k) {
      const auto handled_before = counters.received + counters.rejected_for_capacity;
      std::snprintf(sid, sizeof sid, "%016x", 0x10000 + 100 * i + k);
      bench.open(sid, 2500, std::string(15'000, 'x'));
      bench.until([&] { return counters.received + counters.rejected_for_capacity == handled_before + 1; });
    }
    std::swap(bench.caller, others.back());
    if (i == 0) CHECK(counters.received == received_before + 30);
  }
  CHECK(bench.router->table().unanswered() * 30'000 <= net::ResourceLimits::of(16, 1024).calls);
}

TEST_CASE("a caller that disconnects abandons its unanswered calls and no others") {
  Bench bench;
  bench.list();
  bench.standing(kCallA);
  const auto other = bench.connect(bench.router->callers_at());
  std::swap(bench.caller, const_cast<std::unique_ptr<End>&>(other));
  char sid[17];
  for (int i = 0; i < 100; ++i) {
    std::snprintf(sid, sizeof sid, "%016x", 0x1000 + i);
    bench.open(sid);
  }
  bench.until([&] { return bench.router->counters().received == 101; });
  bench.caller->stream->close();
  std::swap(bench.caller, const_cast<std::unique_ptr<End>&>(other));
  bench.until([&] { return bench.router->table().unanswered() == 0; });
  CHECK(bench.router->table().established() == 1);
  CHECK(bench.router->counters().abandoned + bench.router->counters().rejected == 100);
}
