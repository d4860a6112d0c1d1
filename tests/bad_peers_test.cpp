// Session servers that send malformed, truncated, late or no answers, and connections that are reset. Each
// call must end exactly once, and complete messages must still be processed.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kCallA = "00000000000000a1";
const std::string kCallB = "00000000000000b2";
const std::string kCallC = "00000000000000c3";
const std::string kCallD = "00000000000000d4";

/// Resets its connection as soon as it is open.
struct ResettingEnd : TestConnection {
  using TestConnection::TestConnection;
  void on_open(net::TcpConnection& stream) override {
    asio::post(loop.io, [end = this, keep_alive = stream.shared_from_this()] { end->reset(); });
  }
};
}  // namespace

// The kernel or the network accepts a connection that the server does not know of, and the server repeats a
// release only on connections that it knows.
TEST_CASE("a connection on which the server's first report does not come is replaced by another") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.run_until([&] { return fixture.server.connections.size() == 2; });
  const auto report = RouterFixture::sip_message("NOTIFY sip:router@net SIP/2.0", "s1", "1 NOTIFY",
                                                 "X-Occupancy: x0:39;x1:40\r\n");
  for (const auto& end : fixture.server.connections) end->stream->send(report);
  auto& end = fixture.establish_call("00000000000000a1");
  const auto count_before = fixture.server.connections.size();
  end.stream->reset();
  fixture.run_until([&] { return fixture.server.connections.size() > count_before + 1; });
  fixture.server.connections.back()->stream->send(
      report + RouterFixture::sip_message("BYE sip:router@net SIP/2.0", "00000000000000a1", "2 BYE",
                                          "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"00000000000000a1\""); });
}

// The process that had the calls cannot release them, and its successor answers at the same address.
TEST_CASE(
    "the calls of a server that was restarted unnoticed are released when it reports that no line is in "
    "use") {
  RouterFixture fixture;
  fixture.announce_server();
  auto& end = fixture.establish_call("00000000000000a1");
  const Instant established_at = Loop::now();
  // The report may be a second old, so only calls from before that are known to be over.
  fixture.run_until([&] { return Loop::now() - established_at > milliseconds{1200}; });
  const auto report = [](const std::string& occupancy) {
    return RouterFixture::sip_message("NOTIFY sip:router@net SIP/2.0", "s1", "1 NOTIFY",
                                      "X-Occupancy: " + occupancy + "\r\n");
  };
  const auto count_before = fixture.server.connections.size();
  end.stream->reset();
  fixture.run_until([&] { return fixture.server.connections.size() > count_before; });
  SUBCASE("all lines are free") {
    fixture.server.connections.back()->stream->send(report("x0:40;x1:40"));
    fixture.run_until([&] {
      return fixture.caller->has_received("\"close\",\"sid\":\"00000000000000a1\",\"attrs\":{},\"code\":41}");
    });
  }
  SUBCASE("a line is in use") {
    fixture.server.connections.back()->stream->send(report("x0:39;x1:40"));
    fixture.run_until([&] { return fixture.router->counters().load_reports == 1; });
    fixture.wait_for_messages_in_transit();
    CHECK_FALSE(fixture.caller->has_received("\"close\",\"sid\":\"00000000000000a1\""));
  }
}

// Guards against waiting for the rest of an answer with an invalid Content-Length.
TEST_CASE("an answer with an invalid length closes its connection at once") {
  for (const char* length : {"-1", "3000000000", "20000", "x", "99999999999999999999"}) {
    CAPTURE(length);
    RouterFixture fixture;
    fixture.announce_server();
    fixture.send_set_up(kCallA, 300);
    auto& end = fixture.wait_for_invite(kCallA);
    const auto before = Loop::now();
    end.stream->send("SIP/2.0 200 OK\r\nCall-ID: " + kCallA +
                     "\r\nCSeq: 1 INVITE\r\nContent-Length: " + length + "\r\n\r\nsdp");
    fixture.run_until([&] { return end.closed; });
    CHECK(Loop::now() - before < milliseconds{200});
    fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
    CHECK_FALSE(fixture.caller->has_received("\"ready\""));
    CHECK(fixture.router->counters().attempt_ends[static_cast<int>(Outcome::kReset)] == 1);
  }
}

// Guards against a description that is passed on cut off, because the length of the answer is too small.
TEST_CASE("an answer with a length that is too small is not passed on, and its connection is closed") {
  for (const char* length : {"2", "1"}) {
    CAPTURE(length);
    RouterFixture fixture;
    fixture.announce_server();
    fixture.send_set_up(kCallA, 300);
    auto& end = fixture.wait_for_invite(kCallA);
    end.stream->send("SIP/2.0 200 OK\r\nCall-ID: " + kCallA +
                     "\r\nCSeq: 1 INVITE\r\nContent-Length: " + length + "\r\n\r\nsdp");
    fixture.run_until([&] { return end.closed; });
    fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
    CHECK_FALSE(fixture.caller->has_received("\"ready\""));
  }
}

// Guards against a truncated message whose missing part is taken from the messages that follow it.
TEST_CASE("after a truncated body the connection gets no further calls and is closed") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& end = fixture.wait_for_invite(kCallA);
  end.stream->send("SIP/2.0 200 OK\r\nCall-ID: " + kCallA +
                   "\r\nCSeq: 1 INVITE\r\nContent-Length: 500\r\n\r\nsd");
  fixture.run_until([&] { return end.has_received("ACK") || fixture.router->counters().attempts == 1; });
  fixture.wait_for_messages_in_transit();
  fixture.send_set_up(kCallB);  // uses another connection
  auto& other = fixture.wait_for_invite(kCallB);
  CHECK(&other != &end);
  fixture.answer(other, kCallB);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallB); });
  fixture.run_until([&] { return end.closed; });
  CHECK_FALSE(fixture.caller->has_received("\"sid\":\"" + kCallA));  // set up again after its release
  fixture.run_until([&] {
    return fixture.server.find_connection_with("Call-ID: " + kCallA + "\r\nCSeq: 2 INVITE") != nullptr;
  });
  fixture.answer(*fixture.server.find_connection_with("Call-ID: " + kCallA + "\r\nCSeq: 2 INVITE"), kCallA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallA); });
}

TEST_CASE(
    "an invalid session description is not passed on: the call is released at the server and ends once") {
  for (const std::string& body : {std::string("a\0b", 3), std::string("\xff\xfe"), std::string()}) {
    RouterFixture fixture;
    fixture.announce_server();
    fixture.send_set_up(kCallA, 300);
    auto& end = fixture.wait_for_invite(kCallA);
    end.stream->send(RouterFixture::sip_message("SIP/2.0 200 OK", kCallA, "1 INVITE", "", body));
    fixture.run_until([&] { return end.closed; });
    fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
    CHECK_FALSE(fixture.caller->has_received("\"ready\""));
    fixture.run_until([&] { return fixture.server.count("BYE sip:") >= 1; });
    CHECK(fixture.router->counters().malformed_answers == 1);
  }
}

TEST_CASE("an answer with an unknown id and a duplicate answer do not disturb a call") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& end = fixture.wait_for_invite(kCallA);
  end.stream->send(RouterFixture::sip_message("SIP/2.0 200 OK", kCallB, "1 INVITE", "", "other") +
                   RouterFixture::sip_message("SIP/2.0 200 OK", kCallA, "1 INVITE", "", "sdp") +
                   RouterFixture::sip_message("SIP/2.0 200 OK", kCallA, "1 INVITE", "", "sdp"));
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallA); });
  fixture.run_until([&] { return end.count(" ACK\r\n") == 3; });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.caller->count("\"sid\":\"00000000000000") == 1 + fixture.caller->count("\"probed\""));
  CHECK(end.count("BYE sip:") == 1);  // for the unknown id
  CHECK(fixture.router->table().established() == 1);
}

// Guards against taking the reset of one connection for a dead server process: the set-up was not sent yet,
// so its attempt has not ended.
TEST_CASE("a set-up whose new connection is reset uses the next connection") {
  RouterFixture fixture;
  int created = 0;
  fixture.server.make_connection = [&]() -> std::unique_ptr<TestConnection> {
    if (++created <= 2) return std::make_unique<ResettingEnd>(fixture.loop);
    return std::make_unique<TestConnection>(fixture.loop);
  };
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  fixture.run_until([&] { return fixture.server.count(" INVITE\r\n") > 0; });
  auto& end = *fixture.server.find_connection_with(" INVITE\r\n");
  fixture.answer(end, kCallA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallA); });
  CHECK(fixture.router->counters().attempt_ends[static_cast<int>(Outcome::kConnectFailed)] == 0);
}

// Guards against waiting on a connection that is open but stalled, while other connections answer set-ups
// that were sent later.
TEST_CASE(
    "a connection without answers is closed once others answer later set-ups, and its call is set up again") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& unresponsive = fixture.wait_for_invite(kCallA);
  const Instant sent = Loop::now();
  fixture.run_until([&] { return Loop::now() - sent > milliseconds{80}; });
  fixture.send_set_up(kCallB);
  auto& other = fixture.wait_for_invite(kCallB);
  REQUIRE(&other != &unresponsive);  // the connection with the fewest set-ups in progress
  fixture.answer(other, kCallB);
  fixture.run_until([&] { return unresponsive.closed; });
  CHECK(fixture.router->counters().stalled_connections == 1);
  CHECK_FALSE(other.closed);
  fixture.run_until([&] {
    return fixture.server.find_connection_with("Call-ID: " + kCallA + "\r\nCSeq: 2 INVITE") != nullptr;
  });
  CHECK(Loop::now() - sent >= milliseconds{500});
}

// Guards against callers that are never notified that their call has ended: the server's release was lost
// with the closed connection, and the server repeats it only on the next new connection, not on those already
// open (the operators' page PROTOCOL).
TEST_CASE("while calls are established, a stalled connection is replaced although others are open") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& unresponsive = fixture.wait_for_invite(kCallA);
  const Instant sent = Loop::now();
  fixture.send_set_up(kCallB);
  fixture.send_set_up(kCallC);  // with set-ups in progress on both connections a third is opened
  auto& other = fixture.wait_for_invite(kCallB);
  REQUIRE(&other != &unresponsive);
  fixture.run_until([&] { return fixture.server.connections.size() == 3; });
  fixture.answer(other, kCallB);  // this call is established
  if (auto& third = fixture.wait_for_invite(kCallC); &third != &unresponsive) fixture.answer(third, kCallC);
  fixture.run_until([&] { return Loop::now() - sent > milliseconds{80}; });
  fixture.send_set_up(kCallD);
  auto& later = fixture.wait_for_invite(kCallD);
  REQUIRE(&later != &unresponsive);
  fixture.answer(later, kCallD);
  fixture.run_until([&] { return unresponsive.closed; });
  CHECK(fixture.router->counters().stalled_connections == 1);
  fixture.run_until([&] { return fixture.server.connections.size() == 4; });
  CHECK(Loop::now() - sent < milliseconds{450});  // the new connection was not opened for a repeated set-up
}

// Guards against choosing a stalled connection: once all its set-ups are cancelled, it has the fewest set-ups
// in progress.
TEST_CASE(
    "a connection with an unanswered cancelled set-up is not chosen while others answer, and is closed "
    "later") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  auto& unresponsive = fixture.wait_for_invite(kCallA);
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
  fixture.run_until([&] { return unresponsive.has_received("CANCEL sip:"); });
  // The other connections answer at shorter intervals than the stall time-out, until the stalled one is
  // closed.
  int created = 0;
  std::string last_call;
  fixture.run_until([&] {
    if (last_call.empty() || fixture.caller->has_received("\"ready\",\"sid\":\"" + last_call)) {
      last_call = std::to_string(1'000'000'000'000'000 + ++created);
      fixture.send_set_up(last_call);
      fixture.answer(fixture.wait_for_invite(last_call), last_call);
    }
    return unresponsive.closed;
  });
  CHECK(unresponsive.count(" INVITE\r\n") == 1);
  CHECK(fixture.router->counters().stalled_connections == 1);
  CHECK(created > 1);
}

// Guards against a call that stays established at its server for good because its release was lost with the
// connection.
TEST_CASE("an unconfirmed release is sent again when its connection is lost") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.establish_call(kCallA);
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
  fixture.run_until([&] { return fixture.server.find_connection_with("BYE sip:77aa@net") != nullptr; });
  fixture.server.find_connection_with("BYE sip:77aa@net")->reset();
  fixture.run_until([&] { return fixture.server.count("BYE sip:77aa@net") == 2; });
  // A confirmed release is not sent again.
  auto& end = fixture.server.connections.back()->has_received("BYE")
                  ? *fixture.server.connections.back()
                  : *fixture.server.find_connection_with("BYE sip:");
  end.stream->send(RouterFixture::sip_message("SIP/2.0 200 OK", kCallA, "2 BYE"));
  fixture.wait_for_messages_in_transit();
}

// Guards against discarding received bytes because a write failed.
TEST_CASE("received bytes are still read after a failed write") {
  RouterFixture fixture;
  StandInListener listener(fixture.loop);
  asio::ip::tcp::socket peer_socket(fixture.loop.io);
  peer_socket.connect(listener.acceptor.local_endpoint());
  fixture.run_until([&] { return !listener.connections.empty(); });
  auto& end = *listener.connections[0];
  end.stream->send("unread there");
  asio::write(peer_socket, asio::buffer("answer", 6));
  peer_socket.close();  // closing with unread input resets the connection
  end.stream->send("first");
  end.stream->send("second");
  fixture.run_until([&] { return end.closed; });
  CHECK(end.received == "answer");
}
