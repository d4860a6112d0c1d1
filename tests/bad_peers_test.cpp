// Session servers whose answers are spoilt, cut, late or lost, and connections that are reset: a call ends
// once, and what is whole is not thrown away.
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kA = "00000000000000a1";
const std::string kB = "00000000000000b2";
const std::string kC = "00000000000000c3";
const std::string kD = "00000000000000d4";

/// Resets its connection as soon as it is up.
struct Resetting : End {
  using End::End;
  void on_open(net::TcpConnection& stream) override {
    asio::post(loop.io, [end = this, keep = stream.shared_from_this()] { end->reset(); });
  }
};
}  // namespace

// Guards against waiting for the rest of what cannot be an answer.
TEST_CASE("an answer whose length cannot be cuts its link at once") {
  for (const char* length : {"-1", "3000000000", "20000", "x", "99999999999999999999"}) {
    CAPTURE(length);
    Bench bench;
    bench.list();
    bench.open(kA, 300);
    auto& end = bench.invited(kA);
    const auto before = Loop::now();
    end.stream->send("SIP/2.0 200 OK\r\nCall-ID: " + kA + "\r\nCSeq: 1 INVITE\r\nContent-Length: " + length +
                     "\r\n\r\nsdp");
    bench.until([&] { return end.closed; });
    CHECK(Loop::now() - before < milliseconds{200});
    bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
    CHECK_FALSE(bench.caller->has("\"ready\""));
    CHECK(bench.router->counters().attempt_ends[static_cast<int>(Outcome::kReset)] == 1);
  }
}

// Guards against a half message that swallows what follows it as its rest.
TEST_CASE("a body that stops short spoils its link for all that follows") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& end = bench.invited(kA);
  end.stream->send("SIP/2.0 200 OK\r\nCall-ID: " + kA +
                   "\r\nCSeq: 1 INVITE\r\nContent-Length: 500\r\n\r\nsd");
  bench.until([&] { return end.has("ACK") || bench.router->counters().attempts == 1; });
  bench.settle();
  bench.open(kB);  // goes by another link
  auto& other = bench.invited(kB);
  CHECK(&other != &end);
  bench.answer(other, kB);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kB); });
  bench.until([&] { return end.closed; });
  CHECK_FALSE(bench.caller->has("\"sid\":\"" + kA));  // placed again after its release
  bench.until([&] { return bench.server.with("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") != nullptr; });
  bench.answer(*bench.server.with("Call-ID: " + kA + "\r\nCSeq: 2 INVITE"), kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
}

TEST_CASE("what cannot be a description is not passed on: the call is released there and ends once") {
  for (const std::string& body : {std::string("a\0b", 3), std::string("\xff\xfe"), std::string()}) {
    Bench bench;
    bench.list();
    bench.open(kA, 300);
    auto& end = bench.invited(kA);
    end.stream->send(Bench::sip("SIP/2.0 200 OK", kA, "1 INVITE", "", body));
    bench.until([&] { return end.closed; });
    bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
    CHECK_FALSE(bench.caller->has("\"ready\""));
    bench.until([&] { return bench.server.count("BYE sip:") >= 1; });
    CHECK(bench.router->counters().malformed_answers == 1);
  }
}

TEST_CASE("an answer under an unknown id ahead, and a second copy, cost nothing") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& end = bench.invited(kA);
  end.stream->send(Bench::sip("SIP/2.0 200 OK", kB, "1 INVITE", "", "other") +
                   Bench::sip("SIP/2.0 200 OK", kA, "1 INVITE", "", "sdp") +
                   Bench::sip("SIP/2.0 200 OK", kA, "1 INVITE", "", "sdp"));
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
  bench.until([&] { return end.count(" ACK\r\n") == 3; });
  bench.settle();
  CHECK(bench.caller->count("\"sid\":\"00000000000000") == 1 + bench.caller->count("\"probed\""));
  CHECK(end.count("BYE sip:") == 1);  // of the unknown one
  CHECK(bench.router->table().established() == 1);
}

// Guards against taking one reset for a dead process: nothing had left, so no attempt is over.
TEST_CASE("a set-up on a link that is reset when new goes by the next one") {
  Bench bench;
  int made = 0;
  bench.server.make = [&]() -> std::unique_ptr<End> {
    if (++made <= 2) return std::make_unique<Resetting>(bench.loop);
    return std::make_unique<End>(bench.loop);
  };
  bench.list();
  bench.open(kA);
  bench.until([&] { return bench.server.count(" INVITE\r\n") > 0; });
  auto& end = *bench.server.with(" INVITE\r\n");
  bench.answer(end, kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
  CHECK(bench.router->counters().attempt_ends[static_cast<int>(Outcome::kConnectFailed)] == 0);
}

// Guards against a link that is open and serves no more: others answer what was sent later.
TEST_CASE("a silent link that others have overtaken is cut, and its call placed again") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& mute = bench.invited(kA);
  const Instant sent = Loop::now();
  bench.until([&] { return Loop::now() - sent > milliseconds{80}; });
  bench.open(kB);
  auto& other = bench.invited(kB);
  REQUIRE(&other != &mute);  // the link with the fewest set-ups out
  bench.answer(other, kB);
  bench.until([&] { return mute.closed; });
  CHECK(bench.router->counters().stalled_connections == 1);
  CHECK_FALSE(other.closed);
  bench.until([&] { return bench.server.with("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") != nullptr; });
  CHECK(Loop::now() - sent >= milliseconds{500});
}

// Guards against callers who are never told that their call is over: its release was in the link that is cut,
// and the server tells it again on the next one that opens (PROTOCOL), not on those that are open already.
TEST_CASE("after a stuck link is cut a new one is opened, though others are there, while calls stand") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& mute = bench.invited(kA);
  const Instant sent = Loop::now();
  bench.open(kB);
  bench.open(kC);  // with some out on both links a third is opened
  auto& other = bench.invited(kB);
  REQUIRE(&other != &mute);
  bench.until([&] { return bench.server.ends.size() == 3; });
  bench.answer(other, kB);  // it stands
  if (auto& third = bench.invited(kC); &third != &mute) bench.answer(third, kC);
  bench.until([&] { return Loop::now() - sent > milliseconds{80}; });
  bench.open(kD);
  auto& later = bench.invited(kD);
  REQUIRE(&later != &mute);
  bench.answer(later, kD);
  bench.until([&] { return mute.closed; });
  CHECK(bench.router->counters().stalled_connections == 1);
  bench.until([&] { return bench.server.ends.size() == 4; });
  CHECK(Loop::now() - sent < milliseconds{450});  // not for a call that is placed again
}

// Guards against feeding a stalled link: with all that was out on it called off, it has the fewest out.
TEST_CASE("a link whose set-up was called off unanswered is not chosen while others answer, and cut late") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& mute = bench.invited(kA);
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return mute.has("CANCEL sip:"); });
  // Answers keep coming by the other links, closer together than what is waited for, until it is cut.
  int made = 0;
  std::string last;
  bench.until([&] {
    if (last.empty() || bench.caller->has("\"ready\",\"sid\":\"" + last)) {
      last = std::to_string(1'000'000'000'000'000 + ++made);
      bench.open(last);
      bench.answer(bench.invited(last), last);
    }
    return mute.closed;
  });
  CHECK(mute.count(" INVITE\r\n") == 1);
  CHECK(bench.router->counters().stalled_connections == 1);
  CHECK(made > 1);
}

// Guards against a call that stands for good at its server because the link was lost with its release.
TEST_CASE("a release that was not confirmed is told again when its link is lost") {
  Bench bench;
  bench.list();
  bench.standing(kA);
  bench.say("{\"msg\":\"close\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return bench.server.with("BYE sip:77aa@net") != nullptr; });
  bench.server.with("BYE sip:77aa@net")->reset();
  bench.until([&] { return bench.server.count("BYE sip:77aa@net") == 2; });
  // Confirmed, it is told no more.
  auto& end =
      bench.server.ends.back()->has("BYE") ? *bench.server.ends.back() : *bench.server.with("BYE sip:");
  end.stream->send(Bench::sip("SIP/2.0 200 OK", kA, "2 BYE"));
  bench.settle();
}

// Guards against throwing away what has come because something else could not be written.
TEST_CASE("after a failed write what has come is still read") {
  Bench bench;
  Listener listener(bench.loop);
  asio::ip::tcp::socket raw(bench.loop.io);
  raw.connect(listener.acceptor.local_endpoint());
  bench.until([&] { return !listener.ends.empty(); });
  auto& end = *listener.ends[0];
  end.stream->send("unread there");
  asio::write(raw, asio::buffer("answer", 6));
  raw.close();  // with input unread: a reset
  end.stream->send("first");
  end.stream->send("second");
  bench.until([&] { return end.closed; });
  CHECK(end.in == "answer");
}
