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
struct ResettingEnd : End {
  using End::End;
  void on_open(net::TcpConnection& stream) override {
    asio::post(loop.io, [end = this, keep_alive = stream.shared_from_this()] { end->reset(); });
  }
};
}  // namespace

// Guards against waiting for the rest of an answer with an invalid Content-Length.
TEST_CASE("an answer with an invalid length closes its connection at once") {
  for (const char* length : {"-1", "3000000000", "20000", "x", "99999999999999999999"}) {
    CAPTURE(length);
    Bench bench;
    bench.list();
    bench.open(kCallA, 300);
    auto& end = bench.invited(kCallA);
    const auto before = Loop::now();
    end.stream->send("SIP/2.0 200 OK\r\nCall-ID: " + kCallA +
                     "\r\nCSeq: 1 INVITE\r\nContent-Length: " + length + "\r\n\r\nsdp");
    bench.until([&] { return end.closed; });
    CHECK(Loop::now() - before < milliseconds{200});
    bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kCallA); });
    CHECK_FALSE(bench.caller->has("\"ready\""));
    CHECK(bench.router->counters().attempt_ends[static_cast<int>(Outcome::kReset)] == 1);
  }
}

// Guards against a truncated message whose missing part is taken from the messages that follow it.
TEST_CASE("after a truncated body the connection gets no further calls and is closed") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& end = bench.invited(kCallA);
  end.stream->send("SIP/2.0 200 OK\r\nCall-ID: " + kCallA +
                   "\r\nCSeq: 1 INVITE\r\nContent-Length: 500\r\n\r\nsd");
  bench.until([&] { return end.has("ACK") || bench.router->counters().attempts == 1; });
  bench.settle();
  bench.open(kCallB);  // uses another connection
  auto& other = bench.invited(kCallB);
  CHECK(&other != &end);
  bench.answer(other, kCallB);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kCallB); });
  bench.until([&] { return end.closed; });
  CHECK_FALSE(bench.caller->has("\"sid\":\"" + kCallA));  // set up again after its release
  bench.until([&] { return bench.server.with("Call-ID: " + kCallA + "\r\nCSeq: 2 INVITE") != nullptr; });
  bench.answer(*bench.server.with("Call-ID: " + kCallA + "\r\nCSeq: 2 INVITE"), kCallA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kCallA); });
}

TEST_CASE(
    "an invalid session description is not passed on: the call is released at the server and ends once") {
  for (const std::string& body : {std::string("a\0b", 3), std::string("\xff\xfe"), std::string()}) {
    Bench bench;
    bench.list();
    bench.open(kCallA, 300);
    auto& end = bench.invited(kCallA);
    end.stream->send(Bench::sip("SIP/2.0 200 OK", kCallA, "1 INVITE", "", body));
    bench.until([&] { return end.closed; });
    bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kCallA); });
    CHECK_FALSE(bench.caller->has("\"ready\""));
    bench.until([&] { return bench.server.count("BYE sip:") >= 1; });
    CHECK(bench.router->counters().malformed_answers == 1);
  }
}

TEST_CASE("an answer with an unknown id and a duplicate answer do not disturb a call") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& end = bench.invited(kCallA);
  end.stream->send(Bench::sip("SIP/2.0 200 OK", kCallB, "1 INVITE", "", "other") +
                   Bench::sip("SIP/2.0 200 OK", kCallA, "1 INVITE", "", "sdp") +
                   Bench::sip("SIP/2.0 200 OK", kCallA, "1 INVITE", "", "sdp"));
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kCallA); });
  bench.until([&] { return end.count(" ACK\r\n") == 3; });
  bench.settle();
  CHECK(bench.caller->count("\"sid\":\"00000000000000") == 1 + bench.caller->count("\"probed\""));
  CHECK(end.count("BYE sip:") == 1);  // for the unknown id
  CHECK(bench.router->table().established() == 1);
}

// Guards against taking the reset of one connection for a dead server process: the set-up was not sent yet,
// so its attempt has not ended.
TEST_CASE("a set-up whose new connection is reset uses the next connection") {
  Bench bench;
  int created = 0;
  bench.server.make = [&]() -> std::unique_ptr<End> {
    if (++created <= 2) return std::make_unique<ResettingEnd>(bench.loop);
    return std::make_unique<End>(bench.loop);
  };
  bench.list();
  bench.open(kCallA);
  bench.until([&] { return bench.server.count(" INVITE\r\n") > 0; });
  auto& end = *bench.server.with(" INVITE\r\n");
  bench.answer(end, kCallA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kCallA); });
  CHECK(bench.router->counters().attempt_ends[static_cast<int>(Outcome::kConnectFailed)] == 0);
}

// Guards against waiting on a connection that is open but stalled, while other connections answer set-ups
// that were sent later.
TEST_CASE("a silent connection overtaken by others is closed, and its call is set up again") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& silent = bench.invited(kCallA);
  const Instant sent = Loop::now();
  bench.until([&] { return Loop::now() - sent > milliseconds{80}; });
  bench.open(kCallB);
  auto& other = bench.invited(kCallB);
  REQUIRE(&other != &silent);  // the connection with the fewest set-ups in progress
  bench.answer(other, kCallB);
  bench.until([&] { return silent.closed; });
  CHECK(bench.router->counters().stalled_connections == 1);
  CHECK_FALSE(other.closed);
  bench.until([&] { return bench.server.with("Call-ID: " + kCallA + "\r\nCSeq: 2 INVITE") != nullptr; });
  CHECK(Loop::now() - sent >= milliseconds{500});
}

// Guards against callers that are never told that their call has ended: the server's release was lost with
// the closed connection, and the server repeats it only on the next new connection, not on those already
// open (PROTOCOL).
TEST_CASE("while calls are established, a stalled connection is replaced although others are open") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& silent = bench.invited(kCallA);
  const Instant sent = Loop::now();
  bench.open(kCallB);
  bench.open(kCallC);  // with set-ups in progress on both connections a third is opened
  auto& other = bench.invited(kCallB);
  REQUIRE(&other != &silent);
  bench.until([&] { return bench.server.ends.size() == 3; });
  bench.answer(other, kCallB);  // this call is established
  if (auto& third = bench.invited(kCallC); &third != &silent) bench.answer(third, kCallC);
  bench.until([&] { return Loop::now() - sent > milliseconds{80}; });
  bench.open(kCallD);
  auto& later = bench.invited(kCallD);
  REQUIRE(&later != &silent);
  bench.answer(later, kCallD);
  bench.until([&] { return silent.closed; });
  CHECK(bench.router->counters().stalled_connections == 1);
  bench.until([&] { return bench.server.ends.size() == 4; });
  CHECK(Loop::now() - sent < milliseconds{450});  // the new connection was not opened for a repeated set-up
}

// Guards against choosing a stalled connection: once all its set-ups are cancelled, it has the fewest set-ups
// in progress.
TEST_CASE(
    "a connection with an unanswered cancelled set-up is not chosen while others answer, and is closed "
    "later") {
  Bench bench;
  bench.list();
  bench.open(kCallA);
  auto& silent = bench.invited(kCallA);
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return silent.has("CANCEL sip:"); });
  // The other connections answer at shorter intervals than the stall time-out, until the stalled one is
  // closed.
  int created = 0;
  std::string last_call;
  bench.until([&] {
    if (last_call.empty() || bench.caller->has("\"ready\",\"sid\":\"" + last_call)) {
      last_call = std::to_string(1'000'000'000'000'000 + ++created);
      bench.open(last_call);
      bench.answer(bench.invited(last_call), last_call);
    }
    return silent.closed;
  });
  CHECK(silent.count(" INVITE\r\n") == 1);
  CHECK(bench.router->counters().stalled_connections == 1);
  CHECK(created > 1);
}

// Guards against a call that stays established at its server for good because its release was lost with the
// connection.
TEST_CASE("an unconfirmed release is sent again when its connection is lost") {
  Bench bench;
  bench.list();
  bench.standing(kCallA);
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return bench.server.with("BYE sip:77aa@net") != nullptr; });
  bench.server.with("BYE sip:77aa@net")->reset();
  bench.until([&] { return bench.server.count("BYE sip:77aa@net") == 2; });
  // A confirmed release is not sent again.
  auto& end =
      bench.server.ends.back()->has("BYE") ? *bench.server.ends.back() : *bench.server.with("BYE sip:");
  end.stream->send(Bench::sip("SIP/2.0 200 OK", kCallA, "2 BYE"));
  bench.settle();
}

// Guards against discarding received bytes because a write failed.
TEST_CASE("received bytes are still read after a failed write") {
  Bench bench;
  Listener listener(bench.loop);
  asio::ip::tcp::socket peer_socket(bench.loop.io);
  peer_socket.connect(listener.acceptor.local_endpoint());
  bench.until([&] { return !listener.ends.empty(); });
  auto& end = *listener.ends[0];
  end.stream->send("unread there");
  asio::write(peer_socket, asio::buffer("answer", 6));
  peer_socket.close();  // closing with unread input resets the connection
  end.stream->send("first");
  end.stream->send("second");
  bench.until([&] { return end.closed; });
  CHECK(end.in == "answer");
}
