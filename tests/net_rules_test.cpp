// Tests on real sockets, one for each rule of the protocols of callers and SIP servers.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kCallA = "00000000000000a1";
const std::string kCallB = "00000000000000b2";
}  // namespace

TEST_CASE("a set-up reaches the server unchanged, and its answer the caller") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA, 1500, "line\\r\\nline");
  auto& end = fixture.wait_for_invite(kCallA);
  CHECK(end.has_received("INVITE sip:77aa@net SIP/2.0\r\n"));
  CHECK(end.has_received("X-Cos: voice\r\n"));
  CHECK(end.has_received("Content-Length: 10\r\n\r\nline\r\nline"));
  fixture.answer(end, kCallA, "a\r\nb");
  fixture.run_until([&] { return end.has_received("ACK sip:77aa@net"); });
  fixture.run_until([&] { return fixture.caller->has_received("\"text\":\"a\\r\\nb\"}\n"); });
  CHECK(fixture.router->counters().established == 1);
}

TEST_CASE("a call that no server can take is rejected once, before its caller stops waiting") {
  RouterFixture fixture;
  fixture.send_set_up(kCallA, 2000);
  // The endpoint list is empty: the call is queued, and its caller is rejected before its remaining time is
  // over.
  const Instant sent = Loop::now();
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
  CHECK(Loop::now() - sent < milliseconds{2000});
  CHECK(fixture.caller->has_received("\"code\":42"));
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.caller->count(kCallA) == 1);
}

TEST_CASE("an invalid field fails the call once, a line that cannot be parsed only closes its connection") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_from_caller("{\"msg\":\"open\",\"sid\":\"" + kCallA + "\",\"attrs\":{\"class\":\"none\"}}\n");
  fixture.run_until([&] { return fixture.caller->has_received("\"code\":100"); });
  // Unknown id: ignored.
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":16}\n");
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.caller->count(kCallA) == 1);
  CHECK(fixture.router->counters().unknown_ids == 1);
  const auto other = fixture.connect(fixture.router->callers_endpoint());
  other->stream->send("nonsense\n");
  fixture.run_until([&] { return other->closed; });
  const auto third = fixture.connect(fixture.router->callers_endpoint());
  third->stream->send(std::string(17'000, 'x'));
  fixture.run_until([&] { return third->closed; });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.router->counters().unreadable_messages == 2);
}

TEST_CASE("a call abandoned by its caller is cancelled, and an answer that crosses the cancel is released") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& end = fixture.wait_for_invite(kCallA);
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
  fixture.run_until([&] { return end.has_received("CANCEL sip:77aa@net"); });
  fixture.answer(end, kCallA);
  fixture.run_until([&] { return end.has_received("\r\nCSeq: 1 ACK\r\n") && end.has_received("BYE sip:"); });
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller->has_received("\"ready\""));
  CHECK(fixture.router->counters().late_answers == 1);
}

TEST_CASE("an attempt without an answer in time is cancelled, and its caller rejected once") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA, 150);
  auto& end = fixture.wait_for_invite(kCallA);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
  CHECK(end.has_received("CANCEL sip:"));
  fixture.answer(end, kCallA);
  fixture.run_until([&] { return end.has_received("BYE sip:"); });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.caller->count(kCallA) == 1);
}

TEST_CASE("a rejected set-up is acknowledged and retried, after a reset not before the retry pause") {
  struct Case {
    const char* status;
    bool is_retried_at_once;
  };
  for (const Case one : {Case{"480 Moot", true}, Case{"504 Reset", false}}) {
    CAPTURE(one.status);
    RouterFixture fixture;
    fixture.announce_server();
    fixture.send_set_up(kCallA);
    auto& end = fixture.wait_for_invite(kCallA);
    const Instant answered = Loop::now();
    end.stream->send(RouterFixture::sip_message(std::string("SIP/2.0 ") + one.status, kCallA, "1 INVITE"));
    fixture.run_until([&] { return fixture.server.find_connection_with("CSeq: 2 INVITE") != nullptr; });
    CHECK(end.has_received("CSeq: 1 ACK"));
    if (!one.is_retried_at_once) CHECK(Loop::now() - answered >= milliseconds{500});
    CHECK(fixture.server.count(" INVITE\r\n") == 2);
  }
}

// Guards against set-ups sent to a full server before its X-Lag time is over, and against a server that
// excludes itself for good by a huge value.
TEST_CASE("a full server gets no set-up during the time it asks for, which is limited to the deadline") {
  // The only server would be excluded for 0.2 s; it asks for 0.8 s, and for 49 days, which is limited to the
  // longest deadline.
  for (const char* lag : {"800", "4294967295"}) {
    auto config = router_config();
    for (auto& cls : config.settings.classes) cls.deadline = milliseconds{1000};
    RouterFixture fixture({}, config);
    fixture.announce_server();
    fixture.send_set_up(kCallA, 1900);
    fixture.wait_for_invite(kCallA).stream->send(RouterFixture::sip_message(
        "SIP/2.0 503 Full", kCallA, "1 INVITE", std::string("X-Diagnosis: acc\r\nX-Lag: ") + lag + "\r\n"));
    fixture.run_until(
        [&] { return fixture.router->counters().attempt_ends[static_cast<int>(Outcome::kFull)] == 1; });
    // Late timers run in the order of their due times.
    std::optional<std::uint64_t> sent;
    fixture.loop.run_after(milliseconds{500}, [&] { sent = fixture.router->counters().attempts; });
    fixture.run_until([&] { return sent.has_value(); });
    CHECK(sent == 1);
    fixture.run_until([&] { return fixture.server.count("CSeq: 2 INVITE") == 1; });
  }
}

// Guards against taking the answer to a second attempt for a late answer to the first one: servers use CSeq
// number 1 in all answers.
TEST_CASE("the answer to a second attempt is matched by its Call-ID, not by its CSeq number") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& first = fixture.wait_for_invite(kCallA);
  first.stream->send(RouterFixture::sip_message("SIP/2.0 480 Moot", kCallA, "1 INVITE"));
  fixture.run_until([&] { return fixture.server.find_connection_with("CSeq: 2 INVITE") != nullptr; });
  auto& second = *fixture.server.find_connection_with("CSeq: 2 INVITE");
  fixture.answer(second, kCallA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallA); });
  // A repeated answer belongs to the established call: it causes neither a second answer to the caller nor a
  // release.
  fixture.answer(second, kCallA);
  fixture.run_until(
      [&] { return second.count(" ACK\r\n") + (&first == &second ? 0 : first.count(" ACK\r\n")) == 3; });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.server.count("BYE sip:") == 0);
  CHECK(fixture.caller->count(kCallA) == 1);
  CHECK(fixture.router->counters().late_answers == 0);
  CHECK(fixture.router->table().established() == 1);
}

TEST_CASE("a set-up that waits for a connection is withdrawn when its server drains") {
  RouterFixture fixture;
  fixture.send_set_up(kCallA, 300);
  fixture.wait_for_messages_in_transit();
  fixture.announce_server();  // the loop has not run since, so the connection is not open yet
  CHECK(fixture.router->counters().attempts == 1);
  fixture.announce_server(EndpointState::kDraining);
  CHECK(fixture.router->counters().withdrawn_set_ups == 1);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
  CHECK(fixture.server.count("INVITE") == 0);
  CHECK(fixture.router->counters().attempt_ends[static_cast<int>(Outcome::kNotSent)] == 1);
}

TEST_CASE("a message queued on a blocked socket can be withdrawn, a partly written one cannot") {
  RouterFixture fixture;
  StandInListener listener(fixture.loop);
  asio::ip::tcp::socket unresponsive_peer(fixture.loop.io);
  unresponsive_peer.connect(listener.acceptor.local_endpoint());
  fixture.run_until([&] { return !listener.connections.empty(); });
  auto& stream = *listener.connections[0]->stream;
  // Nothing reads from `unresponsive_peer`: when the kernel buffers are full, one message is partly written
  // and the next one waits.
  net::TcpConnection::Tag tag = 0;
  bool was_withdrawn = false;
  while (!was_withdrawn && tag < 1000) {
    stream.send(std::string(65'536, 'x'), {}, ++tag);
    was_withdrawn = stream.withdraw(tag);
  }
  CHECK(was_withdrawn);
  CHECK(tag > 1);
  CHECK_FALSE(stream.withdraw(tag - 1));
  CHECK_FALSE(stream.withdraw(tag));
}

TEST_CASE("an established call is independent of its connections") {
  RouterFixture fixture;
  fixture.announce_server();
  auto& end = fixture.establish_call(kCallA);
  fixture.establish_call(kCallB);
  SUBCASE("the server releases twice on another connection: the caller gets one release") {
    const auto second = fixture.connect(fixture.router->callers_endpoint());
    fixture.run_until([&] { return second->stream->is_open(); });
    fixture.caller->stream->close();
    const auto other = std::find_if(fixture.server.connections.begin(), fixture.server.connections.end(),
                                    [&](const auto& one) { return one.get() != &end; });
    REQUIRE(other != fixture.server.connections.end());
    for (int i = 0; i < 2; ++i) {
      (*other)->stream->send(
          RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    }
    fixture.run_until([&] { return (*other)->count("SIP/2.0 200 OK") == 2; });
    fixture.run_until([&] {
      return second->has_received("\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}");
    });
    CHECK(second->count(kCallA) == 1);
  }
  SUBCASE("without an open connection of the caller, the release waits for its next one") {
    fixture.caller->stream->close();
    end.stream->send(
        RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=41\r\n"));
    fixture.run_until([&] { return fixture.router->counters().aborted == 1; });
    fixture.caller = fixture.connect(fixture.router->callers_endpoint());
    fixture.run_until(
        [&] { return fixture.caller->has_received("\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":41}"); });
  }
  SUBCASE("the caller releases on another connection") {
    const auto second = fixture.connect(fixture.router->callers_endpoint());
    second->stream->send("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
    fixture.run_until([&] { return fixture.server.find_connection_with("BYE sip:77aa@net") != nullptr; });
    CHECK(fixture.server.find_connection_with("Reason: Q.850;cause=16") != nullptr);
    fixture.run_until([&] { return second->has_received("\"closed\""); });
  }
  SUBCASE("when the server process dies, each of its calls is released once") {
    fixture.server.stop();
    fixture.run_until([&] { return fixture.caller->count("\"code\":41}") == 2; });
    fixture.announce_server(EndpointState::kRemoved);
    fixture.wait_for_messages_in_transit();
    CHECK(fixture.caller->count("\"code\":41}") == 2);
    CHECK(fixture.router->table().established() == 0);
  }
  SUBCASE("a later start time in the endpoint list releases the calls established before it") {
    fixture.announce_server(EndpointState::kReady, Loop::unix_ms() + 1);
    fixture.run_until([&] { return fixture.caller->count("\"code\":41}") == 2; });
  }
}

TEST_CASE("a lost connection ends the set-ups that were sent on it") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA, 400);
  fixture.wait_for_invite(kCallA).stream->close();
  fixture.run_until(
      [&] { return fixture.router->counters().attempt_ends[static_cast<int>(Outcome::kReset)] == 1; });
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
  CHECK(fixture.server.count(" INVITE\r\n") == 1);
}

TEST_CASE("the command channel is resumed after its last event, and repeated events are skipped") {
  RouterFixture fixture;
  const auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const auto event = [&](int id, const char* status) {
    return "id: " + std::to_string(id) + "\ndata: {\"cursor\":" + std::to_string(id) +
           ",\"nodes\":{\"snapshot\":false,\"endpoints\":[{\"name\":\"s1\",\"address\":\"" +
           fixture.server.address + "\",\"group\":0,\"status\":\"" + status + "\",\"since_ms\":0}]}}\n\n";
  };
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 0\r\n") != nullptr; });
  auto& first = *fixture.command_channel.connections[0]->stream;
  first.send(head);
  first.send(event(1, "ready"));
  fixture.run_until([&] { return fixture.router->counters().endpoint_events == 1; });
  first.close();
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 1\r\n") != nullptr; });
  auto& second = *fixture.command_channel.connections[1]->stream;
  second.send(head + event(1, "gone") + event(2, "draining"));
  fixture.run_until([&] { return fixture.router->counters().endpoint_events == 2; });
  // The channel is silent from here on: it is considered lost and resumed.
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 2\r\n") != nullptr; });
}

// Guards against the permanent loss of an event: resuming after a later event id would skip it.
TEST_CASE("an event that cannot be parsed is requested again before later ones") {
  RouterFixture fixture;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const auto event = [](int id) {
    return "id: " + std::to_string(id) + "\ndata: {\"cursor\":" + std::to_string(id) +
           ",\"nodes\":{\"snapshot\":false,\"endpoints\":[]}}\n\n";
  };
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 0\r\n") != nullptr; });
  fixture.command_channel.connections[0]->stream->send(head + event(1) +
                                                       "id: 2\ndata: {\"cursor\":2,\"no\n\n" + event(3));
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 1\r\n") != nullptr; });
  CHECK(fixture.router->counters().endpoint_events == 1);
  fixture.command_channel.connections[1]->stream->send(head + event(2) + event(3));
  fixture.run_until([&] { return fixture.router->counters().endpoint_events == 3; });
  // An event that can never be parsed is skipped after several tries, so that later events are applied.
  for (std::size_t i = 1; i < 5; ++i) {
    fixture.run_until([&] { return fixture.command_channel.connections.size() > i; });
    auto& end = *fixture.command_channel.connections[i];
    fixture.run_until([&] { return end.has_received("Last-Event-ID"); });
    end.stream->send((i > 1 ? head : "") + "id: 4\ndata: nonsense\n\n" + event(5));
    fixture.run_until([&] { return end.closed || fixture.router->counters().endpoint_events == 4; });
  }
  CHECK(fixture.router->counters().endpoint_events == 4);
}

TEST_CASE("after SIGTERM the router still serves its callers until all calls are over") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& end = fixture.wait_for_invite(kCallA);
  bool has_ended = false;
  fixture.router->shut_down([&] { has_ended = true; });
  const auto new_caller = fixture.connect(fixture.router->callers_endpoint());
  new_caller->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":0}\n");
  fixture.run_until([&] {
    return new_caller->has_received("\"probed\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":1}");
  });
  fixture.answer(end, kCallA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\""); });
  CHECK_FALSE(has_ended);
  end.stream->send(
      RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return has_ended; });
  CHECK(fixture.caller->has_received("\"code\":16}"));
}
