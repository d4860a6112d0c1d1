// Callers that say nothing, nonsense or too much: each gets a refusal or a close, and the others their turn.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kA = "00000000000000a1";
const std::string kB = "00000000000000b2";

std::string probe(const std::string& sid) {
  return "{\"msg\":\"probe\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":0}\n";
}
std::string bad_open(const std::string& sid) {
  return "{\"msg\":\"open\",\"sid\":\"" + sid + "\",\"attrs\":{\"class\":\"none\"},\"text\":\"\"}\n";
}
}  // namespace

// Guards against connections that hold a descriptor and say nothing: a close is owed within 3 s.
TEST_CASE("who says nothing of use is closed within 3 s, who is served is not") {
  Bench bench;
  bench.list();
  bench.standing(kA);
  const Instant from = Loop::now();
  const auto silent = bench.connect(bench.router->callers_at());
  const auto half = bench.connect(bench.router->callers_at());
  half->stream->send("{\"msg\":\"open\",\"sid\":");
  const auto idle_talk = bench.connect(bench.router->callers_at());
  idle_talk->stream->send("{\"msg\":\"close\",\"sid\":\"" + kB + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return idle_talk->has("\"closed\",\"sid\":\"" + kB); });  // an unknown id is answered too
  bench.until([&] { return silent->closed && half->closed && idle_talk->closed; });
  CHECK(Loop::now() - from < milliseconds{3000});
  CHECK(bench.router->counters().idle_closed == 3);
  // A usual caller may sit idle after its answer.
  bench.settle();
  CHECK_FALSE(bench.caller->closed);
}

// Guards against newcomers that find no room because of connections that nobody uses.
TEST_CASE("at the bound on connections the silent ones give way, not the newcomers") {
  auto config = bench_config();
  config.sockets = 32;
  Bench bench({}, config);
  bench.list();
  bench.standing(kA);
  bench.open(kB);  // unanswered: its connection stays
  bench.invited(kB);
  std::vector<std::unique_ptr<End>> silent;
  for (int i = 0; i < 30; ++i) {
    silent.push_back(bench.connect(bench.router->callers_at()));
    bench.until([&] { return silent.back()->stream->is_open(); });
  }
  const auto usual = bench.connect(bench.router->callers_at());
  usual->stream->send(probe(kA));
  bench.until([&] { return usual->has("\"probed\""); });
  CHECK(bench.router->callers() <= 16);
  CHECK(bench.router->counters().evicted >= 15);
  bench.settle();
  CHECK_FALSE(bench.caller->closed);
}

// Guards against calls that end unheard: their callers wait for the release where the calls were opened.
TEST_CASE("connections with calls that stand give way last, and releases go where calls were served") {
  auto config = bench_config();
  config.sockets = 32;
  Bench bench({}, config);
  bench.list();
  auto& end = bench.standing(kA);
  std::vector<std::unique_ptr<End>> idle;
  SUBCASE("more idle connections than there is room for") {
    for (int i = 0; i < 40; ++i) {
      idle.push_back(bench.connect(bench.router->callers_at()));
      idle.back()->stream->send(probe(kB));
      bench.until([&] { return idle.back()->has("\"probed\""); });
    }
    bench.settle();
    CHECK_FALSE(bench.caller->closed);
  }
  SUBCASE("its own connection is gone, and a silent one came later than one in use") {
    const auto used = bench.connect(bench.router->callers_at());
    used->stream->send(probe(kB));
    bench.until([&] { return used->has("\"probed\""); });
    const auto silent = bench.connect(bench.router->callers_at());
    bench.until([&] { return bench.router->callers() == 3; });
    bench.caller->stream->close();
    bench.until([&] { return bench.router->callers() == 2; });
    end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    bench.until([&] { return used->has("\"close\",\"sid\":\"" + kA); });
    CHECK(silent->in.empty());
    return;
  }
  end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
}

// Guards against a reset that overtakes the refusal, as a close with unread input is one.
TEST_CASE("a refusal arrives although its connection is closed for what follows") {
  Bench bench;
  bench.say(bad_open(kA) + "nonsense\n" + std::string(100'000, 'x'));
  bench.until([&] { return bench.caller->closed; });
  CHECK(bench.caller->why == net::CloseReason::kEnded);
  CHECK(bench.caller->count("\"code\":100") == 1);
}

TEST_CASE("a second set-up under the id of a live call is answered, and never served") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& end = bench.invited(kA);
  SUBCASE("by the same connection: both end, once") {
    bench.open(kA, 2000, "another");
    bench.until([&] { return bench.caller->has("\"code\":100}"); });
    bench.until([&] { return end.has("CANCEL sip:"); });
    bench.answer(end, kA);
    bench.until([&] { return end.has("BYE sip:"); });
    bench.settle();
    CHECK(bench.caller->count(kA) == 1);
  }
  SUBCASE("by a stranger: the live call goes on") {
    const auto stranger = bench.connect(bench.router->callers_at());
    std::swap(bench.caller, const_cast<std::unique_ptr<End>&>(stranger));
    bench.open(kA, 2000, "another");
    std::swap(bench.caller, const_cast<std::unique_ptr<End>&>(stranger));
    bench.until([&] { return stranger->has("\"code\":100}"); });
    bench.answer(end, kA);
    bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
    CHECK(bench.server.count(" INVITE\r\n") == 1);
  }
  CHECK(bench.router->counters().repeated_ids == 1);
}

TEST_CASE("figures out of range fail the call at once") {
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
    bench.say("{\"msg\":\"open\",\"sid\":\"" + kA + "\",\"attrs\":{\"class\":\"voice\",\"left\":\"" +
              one.left + "\",\"tenant\":\"acme\",\"key\":\"" + one.key + "\",\"extras\":\"" + one.extras +
              "\"},\"text\":\"desc\"}\n");
    ++count;
    bench.until([&] { return bench.caller->count("\"code\":100}") == count; });
  }
  CHECK(bench.server.count("INVITE") == 0);
}

// Guards against one caller's burst that keeps all others waiting.
TEST_CASE("the lines of one connection are read a few at a time") {
  Bench bench;
  const auto other = bench.connect(bench.router->callers_at());
  bench.settle();
  bench.until([&] { return other->stream->is_open(); });
  std::string burst;
  for (int i = 0; i < 150; ++i) burst += bad_open(kA);
  bench.say(burst);
  other->stream->send(probe(kB));
  bench.until([&] { return other->has("\"probed\""); });
  CHECK(bench.router->counters().malformed < 150);
  bench.until([&] { return bench.caller->count("\"code\":100}") == 150; });
}

// Guards the memory: what is held for calls is bounded in total, and no connection may take all of it.
TEST_CASE("set-ups past the memory for them are refused at once, with the time to stay away") {
  auto config = bench_config();
  config.memory_mb = 16;
  Bench bench({}, config);  // no server is listed: every call is held
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
  // Another one still finds room; many of them, each within its part, do not find more than there is.
  const auto& counters = bench.router->counters();
  const auto had = counters.received;
  std::vector<std::unique_ptr<End>> others;
  for (int i = 0; i < 5; ++i) {
    others.push_back(bench.connect(bench.router->callers_at()));
    std::swap(bench.caller, others.back());
    for (int k = 0; k < 30; ++k) {
      const auto asked = counters.received + counters.rejected_for_capacity;
      std::snprintf(sid, sizeof sid, "%016x", 0x10000 + 100 * i + k);
      bench.open(sid, 2500, std::string(15'000, 'x'));
      bench.until([&] { return counters.received + counters.rejected_for_capacity == asked + 1; });
    }
    std::swap(bench.caller, others.back());
    if (i == 0) CHECK(counters.received == had + 30);
  }
  CHECK(bench.router->table().unanswered() * 30'000 <= net::ResourceLimits::of(16, 1024).calls);
}

TEST_CASE("a caller that goes with many calls out gives up its own and no others") {
  Bench bench;
  bench.list();
  bench.standing(kA);
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
