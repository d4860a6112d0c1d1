// One test with real sockets for each rule of the thin protocol.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kA = "00000000000000a1";
const std::string kB = "00000000000000b2";
}  // namespace

TEST_CASE("a set-up goes on unchanged, and its answer comes back unchanged") {
  Bench bench;
  bench.list();
  bench.open(kA, 1500, "line\\r\\nline");
  auto& end = bench.invited(kA);
  CHECK(end.has("INVITE sip:77aa@net SIP/2.0\r\n"));
  CHECK(end.has("X-Cos: voice\r\n"));
  CHECK(end.has("Content-Length: 10\r\n\r\nline\r\nline"));
  bench.answer(end, kA, "a\r\nb");
  bench.until([&] { return end.has("ACK sip:77aa@net"); });
  bench.until([&] { return bench.caller->has("\"text\":\"a\\r\\nb\"}\n"); });
  CHECK(bench.router->counters().established == 1);
}

TEST_CASE("a call that no server can take is refused once, before its caller stops waiting") {
  Bench bench;
  bench.open(kA, 2000);
  // No server is listed: the call is held, and its caller hears no later than it waits.
  const Instant sent = Loop::now();
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  CHECK(Loop::now() - sent < milliseconds{2000});
  CHECK(bench.caller->has("\"code\":42"));
  bench.settle();
  CHECK(bench.caller->count(kA) == 1);
}

TEST_CASE("a bad field fails the call once, an unreadable line ends its connection only") {
  Bench bench;
  bench.list();
  bench.say("{\"msg\":\"open\",\"sid\":\"" + kA + "\",\"attrs\":{\"class\":\"none\"}}\n");
  bench.until([&] { return bench.caller->has("\"code\":100"); });
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kB + "\",\"attrs\":{},\"code\":16}\n");  // unknown: ignored
  bench.settle();
  CHECK(bench.caller->count(kA) == 1);
  CHECK(bench.router->counters().unknown_ids == 1);
  const auto other = bench.connect(bench.router->callers_at());
  other->stream->send("nonsense\n");
  bench.until([&] { return other->closed; });
  const auto third = bench.connect(bench.router->callers_at());
  third->stream->send(std::string(17'000, 'x'));
  bench.until([&] { return third->closed; });
  bench.settle();
  CHECK(bench.router->counters().unreadable == 2);
}

TEST_CASE("a call given up by its caller is cancelled, and an answer that crosses is released") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& end = bench.invited(kA);
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return end.has("CANCEL sip:77aa@net"); });
  bench.answer(end, kA);
  bench.until([&] { return end.has("\r\nCSeq: 1 ACK\r\n") && end.has("BYE sip:"); });
  bench.settle();
  CHECK_FALSE(bench.caller->has("\"ready\""));
  CHECK(bench.router->counters().late_answers == 1);
}

TEST_CASE("an attempt not answered in time is cancelled and its caller refused once") {
  Bench bench;
  bench.list();
  bench.open(kA, 150);
  auto& end = bench.invited(kA);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  CHECK(end.has("CANCEL sip:"));
  bench.answer(end, kA);
  bench.until([&] { return end.has("BYE sip:"); });
  bench.settle();
  CHECK(bench.caller->count(kA) == 1);
}

TEST_CASE("refusals are acknowledged and placed again, after a reset no sooner than the release") {
  struct Case {
    const char* status;
    bool at_once;
  };
  for (const Case one : {Case{"480 Moot", true}, Case{"504 Reset", false}}) {
    CAPTURE(one.status);
    Bench bench;
    bench.list();
    bench.open(kA);
    auto& end = bench.invited(kA);
    const Instant answered = Loop::now();
    end.stream->send(Bench::sip(std::string("SIP/2.0 ") + one.status, kA, "1 INVITE"));
    bench.until([&] { return bench.server.with("CSeq: 2 INVITE") != nullptr; });
    CHECK(end.has("CSeq: 1 ACK"));
    if (!one.at_once) CHECK(Loop::now() - answered >= milliseconds{500});
    CHECK(bench.server.count(" INVITE\r\n") == 2);
  }
}

// Guards against taking the answer to a second attempt for a late one: servers number all answers 1.
TEST_CASE("a full server that says how long to wait gets nothing before, and none shuts itself for good") {
  // Alone it is shut for 0.2 s; it asks for 0.8 s, and for 49 days, which counts as the longest deadline.
  for (const char* lag : {"800", "4294967295"}) {
    auto config = bench_config();
    for (auto& cls : config.settings.classes) cls.deadline = milliseconds{1000};
    Bench bench({}, config);
    bench.list();
    bench.open(kA, 1900);
    bench.invited(kA).stream->send(Bench::sip("SIP/2.0 503 Full", kA, "1 INVITE",
                                              std::string("X-Diagnosis: acc\r\nX-Lag: ") + lag + "\r\n"));
    bench.until([&] { return bench.router->counters().attempt_ends[static_cast<int>(Outcome::kFull)] == 1; });
    // Timers that are late run in the order in which they were due.
    std::optional<std::uint64_t> sent;
    bench.loop.after(milliseconds{500}, [&] { sent = bench.router->counters().attempts; });
    bench.until([&] { return sent.has_value(); });
    CHECK(sent == 1);
    bench.until([&] { return bench.server.count("CSeq: 2 INVITE") == 1; });
  }
}

TEST_CASE("a second attempt stands by its Call-ID, whatever number the answer repeats") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& first = bench.invited(kA);
  first.stream->send(Bench::sip("SIP/2.0 480 Moot", kA, "1 INVITE"));
  bench.until([&] { return bench.server.with("CSeq: 2 INVITE") != nullptr; });
  auto& second = *bench.server.with("CSeq: 2 INVITE");
  bench.answer(second, kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
  // The same answer once more belongs to the call that stands: no second answer, and no release.
  bench.answer(second, kA);
  bench.until(
      [&] { return second.count(" ACK\r\n") + (&first == &second ? 0 : first.count(" ACK\r\n")) == 3; });
  bench.settle();
  CHECK(bench.server.count("BYE sip:") == 0);
  CHECK(bench.caller->count(kA) == 1);
  CHECK(bench.router->counters().late_answers == 0);
  CHECK(bench.router->table().established() == 1);
}

TEST_CASE("a set-up that still waits for a connection is taken back when its server drains") {
  Bench bench;
  bench.open(kA, 300);
  bench.settle();
  bench.list();  // the loop has not run since: the link is still coming up
  CHECK(bench.router->counters().attempts == 1);
  bench.list(EndpointState::kDraining);
  CHECK(bench.router->counters().withdrawn == 1);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  CHECK(bench.server.count("INVITE") == 0);
  CHECK(bench.router->counters().attempt_ends[static_cast<int>(Outcome::kNotSent)] == 1);
}

TEST_CASE("what is queued on a blocked socket can be taken back, what has begun to leave cannot") {
  Bench bench;
  Listener deaf(bench.loop);
  asio::ip::tcp::socket silent(bench.loop.io);
  silent.connect(deaf.acceptor.local_endpoint());
  bench.until([&] { return !deaf.ends.empty(); });
  auto& stream = *deaf.ends[0]->stream;
  // Nobody reads `silent`: once the system's buffers are full one message is half written, and the next
  // waits.
  net::TcpConnection::Tag tag = 0;
  bool back = false;
  while (!back && tag < 1000) {
    stream.send(std::string(65'536, 'x'), {}, ++tag);
    back = stream.take_back(tag);
  }
  CHECK(back);
  CHECK(tag > 1);
  CHECK_FALSE(stream.take_back(tag - 1));
  CHECK_FALSE(stream.take_back(tag));
}

TEST_CASE("a standing call belongs to no connection") {
  Bench bench;
  bench.list();
  auto& end = bench.standing(kA);
  bench.standing(kB);
  SUBCASE("the server releases on another link, and again: told once, on another connection") {
    const auto second = bench.connect(bench.router->callers_at());
    bench.until([&] { return second->stream->is_open(); });
    bench.caller->stream->close();
    const auto other = std::find_if(bench.server.ends.begin(), bench.server.ends.end(),
                                    [&](const auto& one) { return one.get() != &end; });
    REQUIRE(other != bench.server.ends.end());
    for (int i = 0; i < 2; ++i) {
      (*other)->stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    }
    bench.until([&] { return (*other)->count("SIP/2.0 200 OK") == 2; });
    bench.until([&] { return second->has("\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}"); });
    CHECK(second->count(kA) == 1);
  }
  SUBCASE("with no connection of its caller open, the release waits for the next") {
    bench.caller->stream->close();
    end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=41\r\n"));
    bench.until([&] { return bench.router->counters().aborted == 1; });
    bench.caller = bench.connect(bench.router->callers_at());
    bench.until([&] { return bench.caller->has("\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":41}"); });
  }
  SUBCASE("the caller releases on another connection") {
    const auto second = bench.connect(bench.router->callers_at());
    second->stream->send("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
    bench.until([&] { return bench.server.with("BYE sip:77aa@net") != nullptr; });
    CHECK(bench.server.with("Reason: Q.850;cause=16") != nullptr);
    bench.until([&] { return second->has("\"closed\""); });
  }
  SUBCASE("a process that dies cuts its calls, once each") {
    bench.server.die();
    bench.until([&] { return bench.caller->count("\"code\":41}") == 2; });
    bench.list(EndpointState::kRemoved);
    bench.settle();
    CHECK(bench.caller->count("\"code\":41}") == 2);
    CHECK(bench.router->table().established() == 0);
  }
  SUBCASE("a new start told by the list cuts what stood before it") {
    bench.list(EndpointState::kReady, Loop::unix_ms() + 1);
    bench.until([&] { return bench.caller->count("\"code\":41}") == 2; });
  }
}

TEST_CASE("a lost connection resets the set-ups that left by it") {
  Bench bench;
  bench.list();
  bench.open(kA, 400);
  bench.invited(kA).stream->close();
  bench.until([&] { return bench.router->counters().attempt_ends[static_cast<int>(Outcome::kReset)] == 1; });
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  CHECK(bench.server.count(" INVITE\r\n") == 1);
}

TEST_CASE("the command channel is resumed, and old events are skipped") {
  Bench bench;
  const auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const auto event = [&](int id, const char* status) {
    return "id: " + std::to_string(id) + "\ndata: {\"cursor\":" + std::to_string(id) +
           ",\"nodes\":{\"snapshot\":false,\"endpoints\":[{\"name\":\"s1\",\"address\":\"" +
           bench.server.address + "\",\"group\":0,\"status\":\"" + status + "\",\"since_ms\":0}]}}\n\n";
  };
  bench.until([&] { return bench.channel.with("Last-Event-ID: 0\r\n") != nullptr; });
  auto& first = *bench.channel.ends[0]->stream;
  first.send(head);
  first.send(event(1, "ready"));
  bench.until([&] { return bench.router->counters().endpoint_events == 1; });
  first.close();
  bench.until([&] { return bench.channel.with("Last-Event-ID: 1\r\n") != nullptr; });
  auto& second = *bench.channel.ends[1]->stream;
  second.send(head + event(1, "gone") + event(2, "draining"));
  bench.until([&] { return bench.router->counters().endpoint_events == 2; });
  // Silent from here on: taken for dead, and resumed.
  bench.until([&] { return bench.channel.with("Last-Event-ID: 2\r\n") != nullptr; });
}

// Guards against an event lost for good: a later one's number would say that it had been told.
TEST_CASE("an event that cannot be read is asked for again before any that follows") {
  Bench bench;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const auto event = [](int id) {
    return "id: " + std::to_string(id) + "\ndata: {\"cursor\":" + std::to_string(id) +
           ",\"nodes\":{\"snapshot\":false,\"endpoints\":[]}}\n\n";
  };
  bench.until([&] { return bench.channel.with("Last-Event-ID: 0\r\n") != nullptr; });
  bench.channel.ends[0]->stream->send(head + event(1) + "id: 2\ndata: {\"cursor\":2,\"no\n\n" + event(3));
  bench.until([&] { return bench.channel.with("Last-Event-ID: 1\r\n") != nullptr; });
  CHECK(bench.router->counters().endpoint_events == 1);
  bench.channel.ends[1]->stream->send(head + event(2) + event(3));
  bench.until([&] { return bench.router->counters().endpoint_events == 3; });
  // One that stays unreadable is skipped in the end: what follows counts more.
  for (std::size_t i = 1; i < 5; ++i) {
    bench.until([&] { return bench.channel.ends.size() > i; });
    auto& end = *bench.channel.ends[i];
    bench.until([&] { return end.has("Last-Event-ID"); });
    end.stream->send((i > 1 ? head : "") + "id: 4\ndata: nonsense\n\n" + event(5));
    bench.until([&] { return end.closed || bench.router->counters().endpoint_events == 4; });
  }
  CHECK(bench.router->counters().endpoint_events == 4);
}

TEST_CASE("after SIGTERM's request the router still takes and answers, then ends") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& end = bench.invited(kA);
  bool done = false;
  bench.router->shut_down([&] { done = true; });
  const auto late = bench.connect(bench.router->callers_at());
  late->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kB + "\",\"attrs\":{},\"code\":0}\n");
  bench.until([&] { return late->has("\"probed\",\"sid\":\"" + kB + "\",\"attrs\":{},\"code\":1}"); });
  bench.answer(end, kA);
  bench.until([&] { return bench.caller->has("\"ready\""); });
  CHECK_FALSE(done);
  end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return done; });
  CHECK(bench.caller->has("\"code\":16}"));
}
