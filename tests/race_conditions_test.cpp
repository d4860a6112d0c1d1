// Tests of race conditions between pairs of events (docs/race-conditions.md). Scripted peers fix the order of
// events: one side continues only after it has received the other's bytes, a peer that does not read blocks a
// connection, or a known event comes first. No test relies on a sleep to show that something does not happen;
// it checks for that after later exchanges on every socket.
#include <sys/socket.h>

#include <thread>

#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {

const std::string kSessionA = "00000000000000a1";
const std::string kSessionB = "00000000000000b2";

/// A peer that never reads by itself, with a small receive buffer.
struct NonReadingPeer {
  NonReadingPeer(Loop& loop, const asio::ip::tcp::endpoint& to) : socket(loop.io) {
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(2048));
    socket.connect(to);
  }
  explicit NonReadingPeer(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
  void say(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  asio::ip::tcp::socket socket;
};

std::string open_line(const std::string& sid, const std::string& text = "desc",
                      const std::string& cls = "voice", int left = 2000) {
  return R"({"msg":"open","sid":")" + sid + R"(","attrs":{"class":")" + cls + R"(","left":")" +
         std::to_string(left) +
         R"(","tenant":"acme","key":"77aa","extras":"dest:0;width:1;via:-1"},"text":")" + text + "\"}\n";
}

/// A server that accepts connections but reads nothing, so that writes to it block after a while.
struct NonReadingServer {
  explicit NonReadingServer(Loop& loop) : acceptor(loop.io) {
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(2048));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    accept();
  }
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      taken.push_back(std::make_unique<NonReadingPeer>(std::move(socket)));
      accept();
    });
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::unique_ptr<NonReadingPeer>> taken;
};

/// A listener with a full accept queue, so that connections to it are not established.
struct FullListener {
  explicit FullListener(Loop& loop) : acceptor(loop.io) {
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen(0);
    auto at = acceptor.local_endpoint();
    for (int i = 0; i < 3; ++i) {
      auto& one = fill.emplace_back(loop.io);
      one.open(asio::ip::tcp::v4());
      one.native_non_blocking(true);
      ::connect(one.native_handle(), at.data(), static_cast<socklen_t>(at.size()));
    }
  }
  [[nodiscard]] std::string address() const { return net::to_text(acceptor.local_endpoint()); }
  /// Accepts all connections from now on. Connections that the kernel retries (after 1 s) are established
  /// late.
  void accept(Loop& loop) {
    acceptor.async_accept([this, &loop](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      ends.push_back(std::make_unique<TestConnection>(loop));
      ends.back()->stream->start_accepted(std::move(socket));
      accept(loop);
    });
  }
  [[nodiscard]] std::size_t count(std::string_view text) const {
    std::size_t found = 0;
    for (const auto& end : ends) found += end->count(text);
    return found;
  }
  void answer_health_checks() {
    for (auto& end : ends) {
      for (auto at = end->received.find("OPTIONS "); at != std::string::npos;
           at = end->received.find("OPTIONS ", at)) {
        end->received.erase(at, 7);
        const auto id = end->received.find("Call-ID: ", at) + 9;
        end->stream->send(
            RouterFixture::sip_message("SIP/2.0 200 OK", end->received.substr(id, 16), "1 OPTIONS"));
      }
    }
  }
  asio::ip::tcp::acceptor acceptor;
  std::vector<asio::ip::tcp::socket> fill;
  std::vector<std::unique_ptr<TestConnection>> ends;
};

discovery::EndpointUpdate endpoint_update(const std::string& name, const std::string& address,
                                          EndpointState state = EndpointState::kReady,
                                          std::int64_t started = 0) {
  discovery::EndpointUpdate update;
  update.has_endpoint_list = true;
  update.changes.push_back({name, address, 0, state, started});
  return update;
}

std::string health_check_line() {
  return "{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n";
}

/// Sends health checks from a peer that reads no reply, until the router's writes to it block. Waits until
/// the router has read each batch before it sends the next one.
void block(RouterFixture& fixture, NonReadingPeer& peer) {
  // More than the kernel's send buffer, which grows for a while, can hold.
  constexpr std::size_t kBlocked = 3 * 1024 * 1024;
  std::string requests;
  for (int i = 0; i < 400; ++i) requests += health_check_line();
  for (int batch = 0; batch < 4000 && fixture.loop.output_totals.bytes < kBlocked; ++batch) {
    std::size_t sent = 0;
    peer.socket.non_blocking(true);
    fixture.run_until([&] {
      asio::error_code full;
      sent += peer.socket.write_some(asio::buffer(requests) + sent, full);
      return sent == requests.size();
    });
    fixture.wait_for_messages_in_transit();
  }
  REQUIRE_FALSE(fixture.loop.output_totals.blocked_connections.empty());
}

app::Config config_with_high_limits() {
  auto config = router_config();
  config.max_memory_mb = 1024;
  config.max_sockets = 1024;
  // Blocking a peer takes seconds under sanitizers, and no deadline may expire meanwhile.
  for (auto& cls : config.settings.classes) cls.deadline = std::chrono::seconds{60};
  return config;
}

std::string session_id(int number) {
  char sid[17];
  std::snprintf(sid, sizeof sid, "%016x", number);
  return sid;
}

std::string close_line(const std::string& sid) {
  return "{\"msg\":\"close\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":16}\n";
}

std::uint64_t attempts_ended_with(const RouterFixture& fixture, Outcome outcome) {
  return fixture.router->counters().attempt_ends[static_cast<std::size_t>(outcome)];
}

/// An established call whose caller reads nothing, so that the answer cannot be written to it.
struct UnwrittenAnswer {
  explicit UnwrittenAnswer(RouterFixture& fixture)
      : caller(fixture.loop, fixture.router->callers_endpoint()) {
    fixture.announce_server();
    caller.say(open_line(kSessionA, "desc", "voice", 100'000));
    server = &fixture.wait_for_invite(kSessionA);
    block(fixture, caller);
    fixture.answer(*server, kSessionA);
    fixture.run_until([&] { return fixture.router->counters().established == 1; });
  }
  NonReadingPeer caller;
  TestConnection* server = nullptr;
};

}  // namespace

// ---- callers that disconnect ----

TEST_CASE("a queued call whose caller has left, by close, FIN or reset, is not forwarded to a new server") {
  enum class LeaveBy { kClose, kFin, kReset };
  for (const auto by : {LeaveBy::kClose, LeaveBy::kFin, LeaveBy::kReset}) {
    RouterFixture fixture;
    auto closing_caller = fixture.connect(fixture.router->callers_endpoint());
    closing_caller->stream->send(open_line(kSessionA));
    fixture.run_until([&] { return fixture.router->counters().received == 1; });
    if (by == LeaveBy::kClose) {
      closing_caller->stream->send(close_line(kSessionA));
    } else if (by == LeaveBy::kFin) {
      closing_caller->stream->close();
    } else {
      closing_caller->reset();
    }
    fixture.run_until([&] { return fixture.router->counters().abandoned == 1; });
    CHECK(fixture.router->counters().abandoned_while_queued == 1);
    fixture.announce_server();
    fixture.send_set_up(kSessionB);
    fixture.answer(fixture.wait_for_invite(kSessionB), kSessionB);
    fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kSessionB); });
    CHECK(fixture.server.count(kSessionA) == 0);
    CHECK(fixture.router->counters().attempts == 1);
    CHECK(fixture.router->table().unanswered() == 0);
  }
}

TEST_CASE("a FIN is noticed behind unread set-ups, and while writes to that caller are blocked") {
  RouterFixture fixture({}, config_with_high_limits());
  {
    // The kernel holds the set-ups and the FIN before the router reads a byte, and more set-ups than one read
    // takes.
    asio::ip::tcp::socket closing_caller(fixture.loop.io);
    closing_caller.connect(fixture.router->callers_endpoint());
    std::string all;
    for (int i = 0; i < 40; ++i) all += open_line(session_id(0x2000 + i));
    asio::write(closing_caller, asio::buffer(all));
    closing_caller.close();
  }
  fixture.run_until([&] { return fixture.router->counters().abandoned == 40; });
  CHECK(fixture.router->counters().abandoned_while_queued == 40);
  {
    // The caller sends health checks without reading the replies until the router's writes block, then
    // leaves.
    NonReadingPeer closing_caller(fixture.loop, fixture.router->callers_endpoint());
    closing_caller.say(open_line(kSessionA, "desc", "voice", 100'000));
    fixture.run_until([&] { return fixture.router->counters().received == 41; });
    block(fixture, closing_caller);
    closing_caller.socket.close();
  }
  fixture.run_until([&] { return fixture.router->counters().abandoned == 41; });
  fixture.announce_server();
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.router->counters().attempts == 0);
}

TEST_CASE(
    "a set-up that waits for a connection is never sent if its caller leaves or its deadline passes, and "
    "counts as not sent") {
  for (const bool timed_out : {false, true}) {
    // The accept queue is full, so that the router's connections are not established before one is accepted.
    auto config = router_config();
    config.settings.classes[0].idempotent = false;  // failed if possibly executed, else rejected
    config.connect_timeout = std::chrono::seconds{4};
    RouterFixture fixture({}, config);
    FullListener full_listener(fixture.loop);
    fixture.router->apply_endpoint_update(endpoint_update("s1", full_listener.address()));
    fixture.send_set_up(kSessionA, timed_out ? 150 : 2000);
    fixture.run_until([&] { return fixture.router->counters().attempts == 1; });
    if (timed_out) {
      fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kSessionA); });
      CHECK(fixture.caller->has_received("\"code\":42"));  // rejected: a retry is safe
      CHECK(fixture.router->counters().failed == 0);
    } else {
      fixture.send_from_caller(close_line(kSessionA));
      fixture.run_until([&] { return fixture.router->counters().abandoned == 1; });
    }
    const auto& counters = fixture.router->counters();
    CHECK(counters.withdrawn_set_ups == 1);
    CHECK(counters.cancels == 0);
    CHECK(attempts_ended_with(fixture, Outcome::kNotSent) == 1);
    CHECK(counters.by_class.at(0).relayed == 0);
    CHECK(fixture.router->table().unanswered() == 0);
  }
}

TEST_CASE("on a blocked connection an abandoned set-up is not written, and a partly written one is cut off") {
  RouterFixture fixture({}, config_with_high_limits());
  NonReadingServer non_reading_server(fixture.loop);
  fixture.router->apply_endpoint_update(endpoint_update("s1", non_reading_server.address()));
  // Sends one long set-up after the other until one cannot be written.
  int sent = 0;
  while (fixture.loop.output_totals.blocked_connections.empty() && sent < 2000) {
    auto one = fixture.connect(fixture.router->callers_endpoint());
    one->stream->send(open_line(session_id(0x3000 + sent++), std::string(12'000, 'x')));
    fixture.run_until(
        [&] { return fixture.router->counters().received == static_cast<std::uint64_t>(sent); });
    // The caller leaves at once, which frees the token; the CANCEL is queued behind the set-up.
    one->stream->close();
    fixture.run_until(
        [&] { return fixture.router->counters().abandoned == static_cast<std::uint64_t>(sent); });
  }
  REQUIRE_FALSE(fixture.loop.output_totals.blocked_connections.empty());
  // The connection holds a partly written set-up whose caller has left. It is closed within 0.3 s, and the
  // rest of the set-up never arrives.
  fixture.run_until([&] { return fixture.router->counters().stalled_connections > 0; });
  CHECK(fixture.router->table().unanswered() == 0);
}

TEST_CASE("a call whose caller leaves during the retry pause is not forwarded after the pause") {
  RouterFixture fixture;
  fixture.announce_server();
  auto closing_caller = fixture.connect(fixture.router->callers_endpoint());
  closing_caller->stream->send(open_line(kSessionA));
  auto& end = fixture.wait_for_invite(kSessionA);
  end.stream->send(RouterFixture::sip_message("SIP/2.0 504 Reset", kSessionA, "1 INVITE"));
  fixture.run_until([&] { return attempts_ended_with(fixture, Outcome::kReset) == 1; });
  closing_caller->stream->close();
  fixture.run_until([&] { return fixture.router->counters().abandoned == 1; });
  CHECK(fixture.router->counters().abandoned_while_queued == 1);
  // A later call of another caller waits for the same pause and is sent again. The first call would have been
  // sent again by then.
  fixture.send_set_up(kSessionB);
  fixture.wait_for_invite(kSessionB).stream->send(
      RouterFixture::sip_message("SIP/2.0 504 Reset", kSessionB, "1 INVITE"));
  fixture.run_until(
      [&] { return fixture.server.count("Call-ID: " + kSessionB + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(fixture.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 0);
  CHECK(fixture.router->counters().attempts == 3);
}

TEST_CASE("a call whose caller leaves before the answer is written is released at the server") {
  RouterFixture fixture({}, config_with_high_limits());
  UnwrittenAnswer call(fixture);
  call.caller.socket.close();
  fixture.run_until([&] { return fixture.server.count("BYE sip:") == 1; });
  CHECK(fixture.router->counters().undelivered_answers == 1);
  CHECK(fixture.router->table().established() == 0);
}

TEST_CASE(
    "a release that crosses the close of its caller's connection is sent once more, on the next connection") {
  for (const bool confirmed : {false, true}) {
    RouterFixture fixture;
    fixture.announce_server();
    auto& end = fixture.establish_call(kSessionA);
    end.stream->send(RouterFixture::sip_message("BYE sip:77aa@net SIP/2.0", kSessionA, "2 BYE",
                                                "Reason: Q.850;cause=16\r\n"));
    fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kSessionA); });
    if (confirmed) {
      fixture.send_from_caller("{\"msg\":\"closed\",\"sid\":\"" + kSessionA + "\",\"attrs\":{}}\n");
      fixture.wait_for_messages_in_transit();
    }
    // The caller closes without confirming: it is unknown whether it has read the release.
    fixture.caller->stream->close();
    fixture.run_until([&] { return fixture.router->caller_connections() == 0; });
    fixture.caller = fixture.connect(fixture.router->callers_endpoint());
    fixture.wait_for_messages_in_transit();
    CHECK(fixture.caller->count("\"close\",\"sid\":\"" + kSessionA) == (confirmed ? 0 : 1));
  }
}

// ---- retries ----

TEST_CASE("a late second answer to one attempt is not taken as the answer to the next attempt") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.run_until([&] { return fixture.server.connections.size() == 2; });
  fixture.send_set_up(kSessionA);
  auto& first = fixture.wait_for_invite(kSessionA);
  // Another call uses the second connection, so that the first connection is next in turn.
  fixture.send_set_up(kSessionB);
  fixture.answer(fixture.wait_for_invite(kSessionB), kSessionB);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kSessionB); });
  // There is only one server, so the call is sent there again at once.
  first.stream->send(RouterFixture::sip_message("SIP/2.0 480 Moot", kSessionA, "1 INVITE"));
  fixture.run_until(
      [&] { return fixture.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 1; });
  auto* second = fixture.server.find_connection_with("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE");
  CHECK(second != &first);  // on another connection, so that the answers can be told apart
  for (const char* late : {"SIP/2.0 480 Moot", "SIP/2.0 500 Error", "SIP/2.0 503 Full"}) {
    first.stream->send(RouterFixture::sip_message(late, kSessionA, "1 INVITE"));
  }
  fixture.answer(first, kSessionA, "of-the-first");
  fixture.run_until([&] { return fixture.router->counters().second_answers == 4; });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.router->counters().attempts == 3);  // the second attempt is still in flight
  CHECK_FALSE(fixture.caller->has_received("of-the-first"));
  fixture.answer(*second, kSessionA, "of-the-second");
  fixture.run_until([&] { return fixture.caller->has_received("of-the-second"); });
  // An answer repeated after the call is established is neither passed on nor released.
  fixture.answer(*second, kSessionA, "of-the-second");
  fixture.run_until([&] { return fixture.router->counters().second_answers == 5; });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.caller->count("\"ready\",\"sid\":\"" + kSessionA) == 1);
  CHECK(fixture.server.count("BYE sip:") == 0);
}

TEST_CASE("a second answer after the call has moved to another server or ended is only released there") {
  RouterFixture fixture;
  StandInListener other(fixture.loop);
  fixture.announce_server();
  fixture.router->apply_endpoint_update(endpoint_update("s2", other.address));
  fixture.send_set_up(kSessionA);
  auto& first = fixture.wait_for_invite(kSessionA);
  first.stream->send(RouterFixture::sip_message("SIP/2.0 503 Full", kSessionA, "1 INVITE"));
  fixture.run_until([&] { return other.find_connection_with("Call-ID: " + kSessionA) != nullptr; });
  fixture.answer(first, kSessionA, "of-the-first");
  fixture.run_until([&] { return first.has_received("BYE sip:"); });
  fixture.answer(*other.find_connection_with("Call-ID: " + kSessionA), kSessionA, "of-the-second");
  fixture.run_until([&] { return fixture.caller->has_received("of-the-second"); });
  fixture.send_from_caller(close_line(kSessionA));
  fixture.run_until([&] { return other.count("BYE sip:") == 1; });
  // The call's id is no longer known: the answer is released again and not passed on.
  fixture.answer(*other.find_connection_with("Call-ID: " + kSessionA), kSessionA, "once-more");
  fixture.run_until([&] { return other.count("BYE sip:") == 2; });
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller->has_received("of-the-first"));
  CHECK_FALSE(fixture.caller->has_received("once-more"));
  CHECK(fixture.caller->count("\"ready\"") == 1);
}

TEST_CASE("a reload during the retry pause does not change that pause") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kSessionA);
  fixture.wait_for_invite(kSessionA).stream->send(
      RouterFixture::sip_message("SIP/2.0 504 Reset", kSessionA, "1 INVITE"));
  fixture.run_until([&] { return attempts_ended_with(fixture, Outcome::kReset) == 1; });
  auto updated = fixture.config;
  updated.settings.invariants.retry_pause = milliseconds{1};
  updated.settings.classes[0].latency_objective = milliseconds{900};
  updated.settings_text = "changed";
  fixture.router->reload(updated);
  // Checked after 0.3 s of the 0.5 s pause. Timers that fire late still run in the order in which they were
  // due.
  std::optional<std::uint64_t> sent;
  fixture.loop.run_after(milliseconds{300}, [&] { sent = fixture.router->counters().attempts; });
  fixture.establish_call(kSessionB);
  fixture.run_until([&] { return sent.has_value(); });
  CHECK(sent == 2);
  fixture.run_until(
      [&] { return fixture.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(fixture.router->counters().reloads == 1);
}

TEST_CASE(
    "a call whose deadline passes during the retry pause is rejected once, in time, and not sent again") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kSessionA, 400);
  fixture.wait_for_invite(kSessionA).stream->send(
      RouterFixture::sip_message("SIP/2.0 504 Reset", kSessionA, "1 INVITE"));
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kSessionA); });
  // A call that is reset later waits for its whole pause. The pause of the first call is over by then.
  fixture.send_set_up(kSessionB);
  fixture.wait_for_invite(kSessionB).stream->send(
      RouterFixture::sip_message("SIP/2.0 504 Reset", kSessionB, "1 INVITE"));
  fixture.run_until(
      [&] { return fixture.server.count("Call-ID: " + kSessionB + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(fixture.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 0);
  CHECK(fixture.caller->count("\"sid\":\"" + kSessionA) == 1);
  CHECK(fixture.router->counters().attempts == 3);
}

// ---- endpoint list ----

TEST_CASE("a queued call is not sent to a server that an endpoint update removes together with its calls") {
  auto config = router_config();
  config.settings.batch_interval =
      std::chrono::seconds{1};  // the module acts on its own only after 4 s, otherwise on events
  RouterFixture fixture({}, config);
  fixture.announce_server();
  fixture.send_set_up(kSessionA, 5900);
  fixture.answer(fixture.wait_for_invite(kSessionA), kSessionA);
  fixture.run_until([&] { return fixture.router->table().established() == 1; });
  fixture.send_set_up(kSessionB, 5900);
  fixture.wait_for_invite(kSessionB).stream->send(
      RouterFixture::sip_message("SIP/2.0 504 Reset", kSessionB, "1 INVITE"));
  fixture.run_until([&] { return attempts_ended_with(fixture, Outcome::kReset) == 1; });
  // The pause is over without any event since: the next event would send the call to the only server.
  const Instant from = Loop::now();
  fixture.run_until([&] { return Loop::now() - from > config.settings.invariants.retry_pause; });
  REQUIRE(fixture.router->counters().attempts == 2);
  fixture.announce_server(EndpointState::kRemoved);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kSessionA); });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.router->counters().aborted == 1);
  CHECK(fixture.router->counters().attempts == 2);
}

TEST_CASE("set-ups not yet sent follow a server to its new address without a retry pause") {
  auto config = router_config();
  config.connect_timeout = std::chrono::seconds{4};
  RouterFixture fixture({}, config);
  FullListener full_listener(fixture.loop);
  fixture.router->apply_endpoint_update(endpoint_update("s1", full_listener.address()));
  fixture.send_set_up(kSessionA);
  fixture.run_until([&] { return fixture.router->counters().attempts == 1; });
  fixture.announce_server();  // same name, with an address that accepts connections
  fixture.run_until([&] { return fixture.server.find_connection_with("Call-ID: " + kSessionA) != nullptr; });
  CHECK(attempts_ended_with(fixture, Outcome::kReset) == 0);
  CHECK(attempts_ended_with(fixture, Outcome::kNotSent) == 1);
}

// ---- idle connections ----

TEST_CASE("a set-up uses a new connection if the FINs of the idle ones have not been read yet") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.run_until([&] { return fixture.server.connections.size() == 2; });
  fixture.wait_for_messages_in_transit();
  fixture.announce_server(EndpointState::kDraining);
  fixture.send_set_up(kSessionA);
  fixture.run_until([&] { return fixture.router->counters().received == 1; });
  // The kernel holds the FINs, and the event loop does not run before the queued call is forwarded.
  for (auto& end : fixture.server.connections) end->stream->close();
  fixture.announce_server();
  REQUIRE(fixture.router->counters().attempts == 1);
  fixture.run_until([&] { return fixture.server.find_connection_with("Call-ID: " + kSessionA) != nullptr; });
  fixture.answer(*fixture.server.find_connection_with("Call-ID: " + kSessionA), kSessionA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kSessionA); });
  CHECK(attempts_ended_with(fixture, Outcome::kReset) == 0);
  CHECK(fixture.router->counters().attempts == 1);
}

TEST_CASE("a connection established after its attempt has ended is kept and does not carry it") {
  auto config = router_config();
  config.connect_timeout = milliseconds{400};
  RouterFixture fixture({}, config);
  FullListener full_listener(fixture.loop);
  fixture.router->apply_endpoint_update(endpoint_update("s1", full_listener.address()));
  auto closing_caller = fixture.connect(fixture.router->callers_endpoint());
  closing_caller->stream->send(open_line(kSessionA));
  fixture.run_until([&] { return attempts_ended_with(fixture, Outcome::kConnectFailed) == 1; });
  closing_caller->stream->close();
  fixture.run_until([&] { return fixture.router->counters().abandoned == 1; });
  full_listener.accept(fixture.loop);
  fixture.run_until([&] { return fixture.router->counters().late_connections > 0; });
  // The module sends health checks to a server without a connection, and new calls once one is answered.
  fixture.send_set_up(kSessionB);
  fixture.run_until([&] {
    full_listener.answer_health_checks();
    return full_listener.count("Call-ID: " + kSessionB) > 0;
  });
  fixture.wait_for_messages_in_transit();
  CHECK(full_listener.count(kSessionA) == 0);
  CHECK(fixture.router->table().unanswered() == 1);
}

TEST_CASE("a release opens a new connection at once even during a reconnect pause") {
  RouterFixture fixture;
  StandInListener other(fixture.loop);
  fixture.announce_server();
  fixture.router->apply_endpoint_update(endpoint_update("s2", other.address, EndpointState::kReady));
  auto& end = fixture.establish_call(kSessionA);
  auto& at = fixture.server.find_connection_with("Call-ID: " + kSessionA) == &end ? fixture.server : other;
  auto& idle_server = &at == &other ? fixture.server : other;
  const auto second = [](StandInListener& of, std::size_t made) -> TestConnection* {
    return of.connections.size() > made && of.connections.back()->stream->is_open()
               ? of.connections.back().get()
               : nullptr;
  };
  fixture.run_until([&] { return at.connections.size() == 2 && idle_server.connections.size() == 2; });
  // One connection of each server stays, the other is reset once established. Each reset doubles the pause.
  if (at.connections[1].get() == &end) std::swap(at.connections[0], at.connections[1]);
  const auto reset_next = [&](StandInListener& of, std::size_t made) {
    fixture.run_until([&] { return second(of, made) != nullptr; });
    second(of, made)->reset();
    fixture.wait_for_messages_in_transit();
  };
  for (std::size_t made = 1; made < 4; ++made) {
    reset_next(at, made);
    reset_next(idle_server, made);
  }
  reset_next(at, 4);
  fixture.run_until([&] { return second(at, 5) != nullptr; });
  // From here the idle server's next connection is due in 0.8 s, and the other server's later, in 1 s.
  reset_next(idle_server, 4);
  reset_next(at, 5);
  // The connection of the call is lost, together with its release.
  end.reset();
  fixture.run_until([&] { return idle_server.connections.size() == 6; });
  CHECK(at.connections.size() == 8);  // one for the release and one kept beside it
}

TEST_CASE("in standby a partly received set-up is read completely and answered") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.establish_call(kSessionB);
  fixture.send_from_caller(close_line(kSessionB));
  const auto line = open_line(kSessionA);
  fixture.send_from_caller(line.substr(0, 40));
  fixture.run_until([&] { return fixture.caller->has_received("\"closed\""); });
  fixture.router->set_standby(true);
  // A connection without open requests is closed, which shows that the idle connections have been closed.
  auto idle = fixture.connect(fixture.router->callers_endpoint());
  idle->stream->send(health_check_line());
  fixture.run_until([&] { return idle->closed; });
  CHECK_FALSE(fixture.caller->closed);
  fixture.send_from_caller(line.substr(40));
  fixture.answer(fixture.wait_for_invite(kSessionA), kSessionA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kSessionA); });
}

// ---- shutdown ----

TEST_CASE("shutdown waits for a partly received set-up and closes without a reset") {
  RouterFixture fixture;
  fixture.announce_server();
  const auto line = open_line(kSessionA);
  fixture.send_from_caller(line.substr(0, 40));
  fixture.run_until([&] { return fixture.router->caller_connections() == 1; });
  bool has_shut_down = false;
  const Instant from = Loop::now();
  fixture.router->shut_down([&] { has_shut_down = true; });
  // After the period in which callers still arrive no call is unanswered, but a set-up has been partly
  // received.
  fixture.run_until([&] { return Loop::now() - from > milliseconds{800}; });
  CHECK_FALSE(has_shut_down);
  fixture.send_from_caller(line.substr(40));
  fixture.answer(fixture.wait_for_invite(kSessionA), kSessionA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kSessionA); });
  fixture.send_from_caller(close_line(kSessionA));
  fixture.run_until([&] { return has_shut_down; });
  fixture.run_until([&] { return fixture.caller->closed; });
  CHECK(fixture.caller->close_reason == net::CloseReason::kClosedByPeer);
}

TEST_CASE("shutdown waits for an answer that is not yet written to its caller") {
  RouterFixture fixture({}, config_with_high_limits());
  UnwrittenAnswer call(fixture);
  call.server->stream->send(RouterFixture::sip_message("BYE sip:77aa@net SIP/2.0", kSessionA, "2 BYE",
                                                       "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.router->table().established() == 0; });
  bool has_shut_down = false;
  const Instant from = Loop::now();
  fixture.router->shut_down([&] { has_shut_down = true; });
  fixture.run_until([&] { return Loop::now() - from > milliseconds{800}; });
  CHECK_FALSE(has_shut_down);
  call.caller.socket.close();
  fixture.run_until([&] { return has_shut_down; });
}

TEST_CASE("pending input or output delays the exit no longer than the deadline for final answers") {
  core::GracefulShutdown plan{Instant{milliseconds{700}}, Instant{milliseconds{3450}},
                              Instant{milliseconds{3650}}};
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3449}}, 0, 0, true));
  CHECK(plan.may_exit(Instant{milliseconds{3450}}, 0, 0, true));
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3450}}, 1, 0, true));
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3450}}, 0, 1, true));
  // Closing takes at most 50 ms, and ends before SIGKILL may arrive.
  CHECK(plan.callers_close_by(Instant{milliseconds{700}}) == Instant{milliseconds{750}});
  CHECK(plan.callers_close_by(Instant{milliseconds{3650}}) < Instant{milliseconds{3700}});
}

// ---- events due at the same time ----

/// Blocks the router's event loop, as on an overloaded machine. The event at the end of that time comes
/// before all timers that are due by then.
void stall_event_loop(RouterFixture& fixture, Duration time, const std::function<void()>& comes) {
  std::this_thread::sleep_for(time);
  comes();
  fixture.loop.timers.advance(Loop::now());
}

TEST_CASE("set-ups in the accept queue or unread in the kernel when the exit is due are answered") {
  for (const bool queued : {true, false}) {
    RouterFixture fixture;
    fixture.announce_server();
    fixture.wait_for_messages_in_transit();
    int exit_callbacks = 0;
    fixture.router->shut_down([&] { ++exit_callbacks; });
    fixture.router->shut_down([&] { exit_callbacks += 100; });  // a second SIGTERM changes nothing
    asio::ip::tcp::socket plain(fixture.loop.io);
    // The period in which callers still arrive is over, and no request that the router has read is
    // unanswered.
    stall_event_loop(fixture, milliseconds{750}, [&] {
      if (queued) {
        plain.connect(fixture.router->callers_endpoint());
        asio::write(plain, asio::buffer(open_line(kSessionA)));
      } else {
        fixture.send_from_caller(open_line(kSessionA));
      }
    });
    CHECK(exit_callbacks == 0);
    fixture.answer(fixture.wait_for_invite(kSessionA), kSessionA);
    const auto heard = [&] {
      return queued ? plain.available() > 0
                    : fixture.caller->has_received("\"ready\",\"sid\":\"" + kSessionA);
    };
    fixture.run_until(heard);
    if (queued) {
      asio::write(plain, asio::buffer(close_line(kSessionA)));
    } else {
      fixture.send_from_caller(close_line(kSessionA));
    }
    fixture.run_until([&] { return exit_callbacks == 1; });
  }
}

TEST_CASE("a set-up on an idle connection that is due to be closed is read and answered") {
  RouterFixture fixture;
  fixture.announce_server();
  asio::ip::tcp::socket plain(fixture.loop.io);
  plain.connect(fixture.router->callers_endpoint());
  fixture.run_until([&] { return fixture.router->caller_connections() == 2; });
  // Idle for more than 2.4 s: the check that would close the connection runs before the set-up is read.
  stall_event_loop(fixture, milliseconds{2500},
                   [&] { asio::write(plain, asio::buffer(open_line(kSessionA))); });
  fixture.answer(fixture.wait_for_invite(kSessionA), kSessionA);
  fixture.run_until([&] { return plain.available() > 0; });
  CHECK(fixture.router->counters().established == 1);
}

TEST_CASE("at the descriptor limit a connection with a partly received set-up is not evicted") {
  auto config = router_config();
  config.max_sockets = 16;
  RouterFixture fixture({}, config);
  fixture.announce_server();
  fixture.wait_for_messages_in_transit();
  auto half = fixture.connect(fixture.router->callers_endpoint());
  const auto line = open_line(kSessionA);
  half->stream->send(line.substr(0, 40));
  fixture.run_until([&] { return fixture.router->caller_connections() == 2; });
  std::vector<std::unique_ptr<TestConnection>> more;
  for (std::size_t i = 3; i <= 8; ++i) {
    more.push_back(fixture.connect(fixture.router->callers_endpoint()));
    fixture.run_until([&] { return fixture.router->caller_connections() == i; });
  }
  more.push_back(fixture.connect(fixture.router->callers_endpoint()));
  fixture.run_until([&] { return fixture.router->counters().evicted_connections == 1; });
  half->stream->send(line.substr(40));
  fixture.answer(fixture.wait_for_invite(kSessionA), kSessionA);
  fixture.run_until([&] { return half->has_received("\"ready\",\"sid\":\"" + kSessionA); });
}

TEST_CASE(
    "at the descriptor limit a connection with an unwritten answer may be evicted, and its call is "
    "released") {
  auto config = config_with_high_limits();
  config.max_sockets = 4;
  RouterFixture fixture({}, config);
  fixture.announce_server();
  fixture.send_set_up(kSessionB, 100'000);  // unanswered, so that its connection cannot be evicted
  fixture.wait_for_invite(kSessionB);
  UnwrittenAnswer call(fixture);
  auto newcomer = fixture.connect(fixture.router->callers_endpoint());
  fixture.run_until([&] { return fixture.router->counters().evicted_connections == 1; });
  fixture.run_until([&] { return fixture.server.count("BYE sip:") == 1; });
  CHECK(fixture.router->counters().undelivered_answers == 1);
  CHECK(fixture.router->table().established() == 0);
  CHECK(fixture.router->table().unanswered() == 1);
}

TEST_CASE(
    "a new server at the address of a removed one gets new connections, and a late release ends no other "
    "call") {
  RouterFixture fixture;
  fixture.announce_server();
  auto& old = fixture.establish_call(kSessionA);
  fixture.announce_server(EndpointState::kRemoved);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kSessionA); });
  fixture.run_until([&] { return old.closed; });
  fixture.router->apply_endpoint_update(endpoint_update("s2", fixture.server.address));
  auto& new_server_end = fixture.establish_call(kSessionB);
  CHECK(&new_server_end != &old);
  // The release from the removed server still arrives, on a connection of the new server.
  new_server_end.stream->send(RouterFixture::sip_message("BYE sip:77aa@net SIP/2.0", kSessionA, "2 BYE",
                                                         "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.router->counters().unknown_ids == 1; });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.caller->count("\"close\",\"sid\":\"" + kSessionA) == 1);
  CHECK(fixture.router->table().established() == 1);
}
