// Tests on real sockets, one for each rule of the protocols of callers and SIP servers.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kCallA = "00000000000000a1";
const std::string kCallB = "00000000000000b2";
}  // namespace

TEST_CASE("a set-up reaches the server unchanged, and its answer the caller") {
  Bench bench;
  bench.list();
  bench.open(kCallA, 1500, "line\\r\\nline");
  auto& end = bench.invited(kCallA);
  CHECK(end.has("INVITE sip:77aa@net SIP/2.0\r\n"));
  CHECK(end.has("X-Cos: voice\r\n"));
  CHECK(end.has("Content-Length: 10\r\n\r\nline\r\nline"));
  bench.answer(end, kCallA, "a\r\nb");
  bench.until([&] { return end.has("ACK sip:77aa@net"); });
  bench.until([&] { return bench.caller->has("\"text\":\"a\\r\\nb\"}\n"); });
  CHECK(bench.router->counters().established == 1);
}

TEST_CASE("a call that no server can take is rejected once, before its caller stops waiting") {
  Bench bench;
  bench.open(kCallA, 2000);
  // The endpoint list is empty: the call is queued, and its caller is rejected before its remaining time is
  // over.
  const Instant sent = Loop::now();
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kCallA); });
  CHECK(Loop::now() - sent < milliseconds{2000});
  CHECK(bench.caller->has("\"code\":42"));
  bench.settle();
  CHECK(bench.caller->count(kCallA) == 1);
}

TEST_CASE("an invalid field fails the call once, a line that cannot be parsed only closes its connection") {
  Bench bench;
  bench.list();
  bench.say("{\"msg\":\"open\",\"sid\":\"" + kCallA + "\",\"attrs\":{\"class\":\"none\"}}\n");
  bench.until([&] { return bench.caller->has("\"code\":100"); });
  // Unknown id: ignored.
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":16}\n");
  bench.settle();
  CHECK(bench.caller->count(kCallA) == 1);
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

TEST_CASE("a call abandoned by its caller is cancelled, and an answer that crosses the cancel is released") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& end = bench.invited(kCallA);
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return end.has("CANCEL sip:77aa@net"); });
  bench.answer(end, kCallA);
  bench.until([&] { return end.has("\r\nCSeq: 1 ACK\r\n") && end.has("BYE sip:"); });
  bench.settle();
  CHECK_FALSE(bench.caller->has("\"ready\""));
  CHECK(bench.router->counters().late_answers == 1);
}

TEST_CASE("an attempt without an answer in time is cancelled, and its caller rejected once") {
  Bench bench;
  bench.list();
  bench.open(kCallA, 150);
  auto& end = bench.invited(kCallA);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kCallA); });
  CHECK(end.has("CANCEL sip:"));
  bench.answer(end, kCallA);
  bench.until([&] { return end.has("BYE sip:"); });
  bench.settle();
  CHECK(bench.caller->count(kCallA) == 1);
}

TEST_CASE("a rejected set-up is acknowledged and retried, after a reset not before the retry pause") {
  struct Case {
    const char* status;
    bool is_retried_at_once;
  };
  for (const Case one : {Case{"480 Moot", true}, Case{"504 Reset", false}}) {
    CAPTURE(one.status);
    Bench bench;
    bench.list();
    bench.open(kCallA);
    auto& end = bench.invited(kCallA);
    const Instant answered = Loop::now();
    end.stream->send(Bench::sip(std::string("SIP/2.0 ") + one.status, kCallA, "1 INVITE"));
    bench.until([&] { return bench.server.with("CSeq: 2 INVITE") != nullptr; });
    CHECK(end.has("CSeq: 1 ACK"));
    if (!one.is_retried_at_once) CHECK(Loop::now() - answered >= milliseconds{500});
    CHECK(bench.server.count(" INVITE\r\n") == 2);
  }
}

// Guards against set-ups sent to a full server before its X-Lag time is over, and against a server that
// excludes itself for good by a huge value.
TEST_CASE("a full server gets no set-up during the time it asks for, which is limited to the deadline") {
  // The only server would be excluded for 0.2 s; it asks for 0.8 s, and for 49 days, which is limited to the
  // longest deadline.
  for (const char* lag : {"800", "4294967295"}) {
    auto config = bench_config();
    for (auto& cls : config.settings.classes) cls.deadline = milliseconds{1000};
    Bench bench({}, config);
    bench.list();
    bench.open(kCallA, 1900);
    bench.invited(kCallA).stream->send(Bench::sip("SIP/2.0 503 Full", kCallA, "1 INVITE",
                                                  std::string("X-Diagnosis: acc\r\nX-Lag: ") + lag + "\r\n"));
    bench.until([&] { return bench.router->counters().attempt_ends[static_cast<int>(Outcome::kFull)] == 1; });
    // Late timers run in the order of their due times.
    std::optional<std::uint64_t> sent;
    bench.loop.after(milliseconds{500}, [&] { sent = bench.router->counters().attempts; });
    bench.until([&] { return sent.has_value(); });
    CHECK(sent == 1);
    bench.until([&] { return bench.server.count("CSeq: 2 INVITE") == 1; });
  }
}

// Guards against taking the answer to a second attempt for a late answer to the first one: servers use CSeq
// number 1 in all answers.
TEST_CASE("the answer to a second attempt is matched by its Call-ID, not by its CSeq number") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& first = bench.invited(kCallA);
  first.stream->send(Bench::sip("SIP/2.0 480 Moot", kCallA, "1 INVITE"));
  bench.until([&] { return bench.server.with("CSeq: 2 INVITE") != nullptr; });
  auto& second = *bench.server.with("CSeq: 2 INVITE");
  bench.answer(second, kCallA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kCallA); });
  // A repeated answer belongs to the established call: it causes neither a second answer to the caller nor a
  // release.
  bench.answer(second, kCallA);
  bench.until(
      [&] { return second.count(" ACK\r\n") + (&first == &second ? 0 : first.count(" ACK\r\n")) == 3; });
  bench.settle();
  CHECK(bench.server.count("BYE sip:") == 0);
  CHECK(bench.caller->count(kCallA) == 1);
  CHECK(bench.router->counters().late_answers == 0);
  CHECK(bench.router->table().established() == 1);
}

TEST_CASE("a set-up that waits for a connection is withdrawn when its server drains") {
  Bench bench;
  bench.open(kCallA, 300);
  bench.settle();
  bench.list();  // the loop has not run since, so the connection is not open yet
  CHECK(bench.router->counters().attempts == 1);
  bench.list(EndpointState::kDraining);
  CHECK(bench.router->counters().withdrawn == 1);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kCallA); });
  CHECK(bench.server.count("INVITE") == 0);
  CHECK(bench.router->counters().attempt_ends[static_cast<int>(Outcome::kNotSent)] == 1);
}

TEST_CASE("a message queued on a blocked socket can be withdrawn, a partly written one cannot") {
  Bench bench;
  Listener listener(bench.loop);
  asio::ip::tcp::socket silent_peer(bench.loop.io);
  silent_peer.connect(listener.acceptor.local_endpoint());
  bench.until([&] { return !listener.ends.empty(); });
  auto& stream = *listener.ends[0]->stream;
  // Nothing reads from `silent_peer`: when the kernel buffers are full, one message is partly written and the
  // next one waits.
  net::TcpConnection::Tag tag = 0;
  bool was_withdrawn = false;
  while (!was_withdrawn && tag < 1000) {
    stream.send(std::string(65'536, 'x'), {}, ++tag);
    was_withdrawn = stream.take_back(tag);
  }
  CHECK(was_withdrawn);
  CHECK(tag > 1);
  CHECK_FALSE(stream.take_back(tag - 1));
  CHECK_FALSE(stream.take_back(tag));
}

TEST_CASE("an established call is independent of its connections") {
  Bench bench;
  bench.list();
  auto& end = bench.standing(kCallA);
  bench.standing(kCallB);
  SUBCASE("the server releases twice on another connection: the caller gets one release") {
    const auto second = bench.connect(bench.router->callers_at());
    bench.until([&] { return second->stream->is_open(); });
    bench.caller->stream->close();
    const auto other = std::find_if(bench.server.ends.begin(), bench.server.ends.end(),
                                    [&](const auto& one) { return one.get() != &end; });
    REQUIRE(other != bench.server.ends.end());
    for (int i = 0; i < 2; ++i) {
      (*other)->stream->send(
          Bench::sip("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    }
    bench.until([&] { return (*other)->count("SIP/2.0 200 OK") == 2; });
    bench.until(
        [&] { return second->has("\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}"); });
    CHECK(second->count(kCallA) == 1);
  }
  SUBCASE("without an open connection of the caller, the release waits for its next one") {
    bench.caller->stream->close();
    end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=41\r\n"));
    bench.until([&] { return bench.router->counters().aborted == 1; });
    bench.caller = bench.connect(bench.router->callers_at());
    bench.until([&] { return bench.caller->has("\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":41}"); });
  }
  SUBCASE("the caller releases on another connection") {
    const auto second = bench.connect(bench.router->callers_at());
    second->stream->send("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
    bench.until([&] { return bench.server.with("BYE sip:77aa@net") != nullptr; });
    CHECK(bench.server.with("Reason: Q.850;cause=16") != nullptr);
    bench.until([&] { return second->has("\"closed\""); });
  }
  SUBCASE("when the server process dies, each of its calls is released once") {
    bench.server.die();
    bench.until([&] { return bench.caller->count("\"code\":41}") == 2; });
    bench.list(EndpointState::kRemoved);
    bench.settle();
    CHECK(bench.caller->count("\"code\":41}") == 2);
    CHECK(bench.router->table().established() == 0);
  }
  SUBCASE("a later start time in the endpoint list releases the calls established before it") {
    bench.list(EndpointState::kReady, Loop::unix_ms() + 1);
    bench.until([&] { return bench.caller->count("\"code\":41}") == 2; });
  }
}

TEST_CASE("a lost connection ends the set-ups that were sent on it") {
  Bench bench;
  bench.list();
  bench.open(kCallA, 400);
  bench.invited(kCallA).stream->close();
  bench.until([&] { return bench.router->counters().attempt_ends[static_cast<int>(Outcome::kReset)] == 1; });
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kCallA); });
  CHECK(bench.server.count(" INVITE\r\n") == 1);
}

TEST_CASE("the command channel is resumed after its last event, and repeated events are skipped") {
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
  // The channel is silent from here on: it is considered lost and resumed.
  bench.until([&] { return bench.channel.with("Last-Event-ID: 2\r\n") != nullptr; });
}

// Guards against the permanent loss of an event: resuming after a later event id would skip it.
TEST_CASE("an event that cannot be parsed is requested again before later ones") {
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
  // An event that can never be parsed is skipped after several tries, so that later events are applied.
  for (std::size_t i = 1; i < 5; ++i) {
    bench.until([&] { return bench.channel.ends.size() > i; });
    auto& end = *bench.channel.ends[i];
    bench.until([&] { return end.has("Last-Event-ID"); });
    end.stream->send((i > 1 ? head : "") + "id: 4\ndata: nonsense\n\n" + event(5));
    bench.until([&] { return end.closed || bench.router->counters().endpoint_events == 4; });
  }
  CHECK(bench.router->counters().endpoint_events == 4);
}

TEST_CASE("after SIGTERM the router still serves its callers until all calls are over") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& end = bench.invited(kCallA);
  bool has_ended = false;
  bench.router->shut_down([&] { has_ended = true; });
  const auto new_caller = bench.connect(bench.router->callers_at());
  new_caller->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":0}\n");
  bench.until(
      [&] { return new_caller->has("\"probed\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":1}"); });
  bench.answer(end, kCallA);
  bench.until([&] { return bench.caller->has("\"ready\""); });
  CHECK_FALSE(has_ended);
  end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return has_ended; });
  CHECK(bench.caller->has("\"code\":16}"));
}
