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
struct PausedPeer {
  PausedPeer(Loop& loop, const asio::ip::tcp::endpoint& to) : socket(loop.io) {
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(2048));
    socket.connect(to);
  }
  explicit PausedPeer(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
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
      taken.push_back(std::make_unique<PausedPeer>(std::move(socket)));
      accept();
    });
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::unique_ptr<PausedPeer>> taken;
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
  [[nodiscard]] std::string address() const { return net::text_of(acceptor.local_endpoint()); }
  /// Accepts all connections from now on. Connections that the kernel retries (after 1 s) are established
  /// late.
  void accept(Loop& loop) {
    acceptor.async_accept([this, &loop](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      ends.push_back(std::make_unique<End>(loop));
      ends.back()->stream->adopt(std::move(socket));
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
      for (auto at = end->in.find("OPTIONS "); at != std::string::npos; at = end->in.find("OPTIONS ", at)) {
        end->in.erase(at, 7);
        const auto id = end->in.find("Call-ID: ", at) + 9;
        end->stream->send(Bench::sip("SIP/2.0 200 OK", end->in.substr(id, 16), "1 OPTIONS"));
      }
    }
  }
  asio::ip::tcp::acceptor acceptor;
  std::vector<asio::ip::tcp::socket> fill;
  std::vector<std::unique_ptr<End>> ends;
};

discovery::EndpointUpdate endpoint_update(const std::string& name, const std::string& address,
                                          EndpointState state = EndpointState::kReady,
                                          std::int64_t started = 0) {
  discovery::EndpointUpdate update;
  update.has_servers = true;
  update.changes.push_back({name, address, 0, state, started});
  return update;
}

std::string health_check_line() {
  return "{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n";
}

/// Sends health checks from a peer that reads no reply, until the router's writes to it block. Waits until
/// the router has read each batch before it sends the next one.
void block(Bench& bench, PausedPeer& peer) {
  // More than the kernel's send buffer, which grows for a while, can hold.
  constexpr std::size_t kBlocked = 3 * 1024 * 1024;
  std::string requests;
  for (int i = 0; i < 400; ++i) requests += health_check_line();
  for (int batch = 0; batch < 4000 && bench.loop.outgoing.bytes < kBlocked; ++batch) {
    std::size_t sent = 0;
    peer.socket.non_blocking(true);
    bench.until([&] {
      asio::error_code full;
      sent += peer.socket.write_some(asio::buffer(requests) + sent, full);
      return sent == requests.size();
    });
    bench.settle();
  }
  REQUIRE_FALSE(bench.loop.outgoing.blocked.empty());
}

app::Config config_with_high_limits() {
  auto config = bench_config();
  config.memory_mb = 1024;
  config.sockets = 1024;
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

std::uint64_t attempts_ended_with(const Bench& bench, Outcome outcome) {
  return bench.router->counters().attempt_ends[static_cast<std::size_t>(outcome)];
}

/// An established call whose caller reads nothing, so that the answer cannot be written to it.
struct UnwrittenAnswer {
  explicit UnwrittenAnswer(Bench& bench) : caller(bench.loop, bench.router->callers_at()) {
    bench.list();
    caller.say(open_line(kSessionA, "desc", "voice", 100'000));
    server = &bench.invited(kSessionA);
    block(bench, caller);
    bench.answer(*server, kSessionA);
    bench.until([&] { return bench.router->counters().established == 1; });
  }
  PausedPeer caller;
  End* server = nullptr;
};

}  // namespace

// ---- callers that disconnect ----

TEST_CASE("a queued call whose caller has left, by close, FIN or reset, is not forwarded to a new server") {
  enum class LeaveBy { kClose, kFin, kReset };
  for (const auto by : {LeaveBy::kClose, LeaveBy::kFin, LeaveBy::kReset}) {
    Bench bench;
    auto leaving_caller = bench.connect(bench.router->callers_at());
    leaving_caller->stream->send(open_line(kSessionA));
    bench.until([&] { return bench.router->counters().received == 1; });
    if (by == LeaveBy::kClose) {
      leaving_caller->stream->send(close_line(kSessionA));
    } else if (by == LeaveBy::kFin) {
      leaving_caller->stream->close();
    } else {
      leaving_caller->reset();
    }
    bench.until([&] { return bench.router->counters().abandoned == 1; });
    CHECK(bench.router->counters().abandoned_while_queued == 1);
    bench.list();
    bench.open(kSessionB);
    bench.answer(bench.invited(kSessionB), kSessionB);
    bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kSessionB); });
    CHECK(bench.server.count(kSessionA) == 0);
    CHECK(bench.router->counters().attempts == 1);
    CHECK(bench.router->table().unanswered() == 0);
  }
}

TEST_CASE("a FIN is noticed behind unread set-ups, and while writes to that caller are blocked") {
  Bench bench({}, config_with_high_limits());
  {
    // The kernel holds the set-ups and the FIN before the router reads a byte, and more set-ups than one read
    // takes.
    asio::ip::tcp::socket leaving_caller(bench.loop.io);
    leaving_caller.connect(bench.router->callers_at());
    std::string all;
    for (int i = 0; i < 40; ++i) all += open_line(session_id(0x2000 + i));
    asio::write(leaving_caller, asio::buffer(all));
    leaving_caller.close();
  }
  bench.until([&] { return bench.router->counters().abandoned == 40; });
  CHECK(bench.router->counters().abandoned_while_queued == 40);
  {
    // The caller sends health checks without reading the replies until the router's writes block, then
    // leaves.
    PausedPeer leaving_caller(bench.loop, bench.router->callers_at());
    leaving_caller.say(open_line(kSessionA, "desc", "voice", 100'000));
    bench.until([&] { return bench.router->counters().received == 41; });
    block(bench, leaving_caller);
    leaving_caller.socket.close();
  }
  bench.until([&] { return bench.router->counters().abandoned == 41; });
  bench.list();
  bench.settle();
  CHECK(bench.router->counters().attempts == 0);
}

TEST_CASE(
    "a set-up that waits for a connection is never sent if its caller leaves or its deadline passes, and "
    "counts as not sent") {
  for (const bool timed_out : {false, true}) {
    // The accept queue is full, so that the router's connections are not established before one is accepted.
    auto config = bench_config();
    config.settings.classes[0].idempotent = false;  // failed if possibly executed, else rejected
    config.connect_limit = std::chrono::seconds{4};
    Bench bench({}, config);
    FullListener full_listener(bench.loop);
    bench.router->apply(endpoint_update("s1", full_listener.address()));
    bench.open(kSessionA, timed_out ? 150 : 2000);
    bench.until([&] { return bench.router->counters().attempts == 1; });
    if (timed_out) {
      bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kSessionA); });
      CHECK(bench.caller->has("\"code\":42"));  // rejected: a retry is safe
      CHECK(bench.router->counters().failed == 0);
    } else {
      bench.say(close_line(kSessionA));
      bench.until([&] { return bench.router->counters().abandoned == 1; });
    }
    const auto& counters = bench.router->counters();
    CHECK(counters.withdrawn == 1);
    CHECK(counters.cancels == 0);
    CHECK(attempts_ended_with(bench, Outcome::kNotSent) == 1);
    CHECK(counters.by_class.at(0).relayed == 0);
    CHECK(bench.router->table().unanswered() == 0);
  }
}

TEST_CASE("on a blocked connection an abandoned set-up is not written, and a partly written one is cut off") {
  Bench bench({}, config_with_high_limits());
  NonReadingServer non_reading_server(bench.loop);
  bench.router->apply(endpoint_update("s1", non_reading_server.address()));
  // Sends one long set-up after the other until one cannot be written.
  int sent = 0;
  while (bench.loop.outgoing.blocked.empty() && sent < 2000) {
    auto one = bench.connect(bench.router->callers_at());
    one->stream->send(open_line(session_id(0x3000 + sent++), std::string(12'000, 'x')));
    bench.until([&] { return bench.router->counters().received == static_cast<std::uint64_t>(sent); });
    // The caller leaves at once, which frees the token; the CANCEL is queued behind the set-up.
    one->stream->close();
    bench.until([&] { return bench.router->counters().abandoned == static_cast<std::uint64_t>(sent); });
  }
  REQUIRE_FALSE(bench.loop.outgoing.blocked.empty());
  // The connection holds a partly written set-up whose caller has left. It is closed within 0.3 s, and the
  // rest of the set-up never arrives.
  bench.until([&] { return bench.router->counters().stalled_connections > 0; });
  CHECK(bench.router->table().unanswered() == 0);
}

TEST_CASE("a call whose caller leaves during the retry pause is not forwarded after the pause") {
  Bench bench;
  bench.list();
  auto leaving_caller = bench.connect(bench.router->callers_at());
  leaving_caller->stream->send(open_line(kSessionA));
  auto& end = bench.invited(kSessionA);
  end.stream->send(Bench::sip("SIP/2.0 504 Reset", kSessionA, "1 INVITE"));
  bench.until([&] { return attempts_ended_with(bench, Outcome::kReset) == 1; });
  leaving_caller->stream->close();
  bench.until([&] { return bench.router->counters().abandoned == 1; });
  CHECK(bench.router->counters().abandoned_while_queued == 1);
  // A later call of another caller waits for the same pause and is sent again. The first call would have been
  // sent again by then.
  bench.open(kSessionB);
  bench.invited(kSessionB).stream->send(Bench::sip("SIP/2.0 504 Reset", kSessionB, "1 INVITE"));
  bench.until([&] { return bench.server.count("Call-ID: " + kSessionB + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(bench.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 0);
  CHECK(bench.router->counters().attempts == 3);
}

TEST_CASE("a call whose caller leaves before the answer is written is released at the server") {
  Bench bench({}, config_with_high_limits());
  UnwrittenAnswer call(bench);
  call.caller.socket.close();
  bench.until([&] { return bench.server.count("BYE sip:") == 1; });
  CHECK(bench.router->counters().undelivered_answers == 1);
  CHECK(bench.router->table().established() == 0);
}

TEST_CASE(
    "a release that crosses the close of its caller's connection is sent once more, on the next connection") {
  for (const bool confirmed : {false, true}) {
    Bench bench;
    bench.list();
    auto& end = bench.standing(kSessionA);
    end.stream->send(
        Bench::sip("BYE sip:77aa@net SIP/2.0", kSessionA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kSessionA); });
    if (confirmed) {
      bench.say("{\"msg\":\"closed\",\"sid\":\"" + kSessionA + "\",\"attrs\":{}}\n");
      bench.settle();
    }
    // The caller closes without confirming: it is unknown whether it has read the release.
    bench.caller->stream->close();
    bench.until([&] { return bench.router->callers() == 0; });
    bench.caller = bench.connect(bench.router->callers_at());
    bench.settle();
    CHECK(bench.caller->count("\"close\",\"sid\":\"" + kSessionA) == (confirmed ? 0 : 1));
  }
}

// ---- retries ----

TEST_CASE("a late second answer to one attempt is not taken as the answer to the next attempt") {
  Bench bench;
  bench.list();
  bench.until([&] { return bench.server.ends.size() == 2; });
  bench.open(kSessionA);
  auto& first = bench.invited(kSessionA);
  // Another call uses the second connection, so that the first connection is next in turn.
  bench.open(kSessionB);
  bench.answer(bench.invited(kSessionB), kSessionB);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kSessionB); });
  // There is only one server, so the call is sent there again at once.
  first.stream->send(Bench::sip("SIP/2.0 480 Moot", kSessionA, "1 INVITE"));
  bench.until([&] { return bench.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 1; });
  auto* second = bench.server.with("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE");
  CHECK(second != &first);  // on another connection, so that the answers can be told apart
  for (const char* late : {"SIP/2.0 480 Moot", "SIP/2.0 500 Error", "SIP/2.0 503 Full"}) {
    first.stream->send(Bench::sip(late, kSessionA, "1 INVITE"));
  }
  bench.answer(first, kSessionA, "of-the-first");
  bench.until([&] { return bench.router->counters().second_answers == 4; });
  bench.settle();
  CHECK(bench.router->counters().attempts == 3);  // the second attempt is still in flight
  CHECK_FALSE(bench.caller->has("of-the-first"));
  bench.answer(*second, kSessionA, "of-the-second");
  bench.until([&] { return bench.caller->has("of-the-second"); });
  // An answer repeated after the call is established is neither passed on nor released.
  bench.answer(*second, kSessionA, "of-the-second");
  bench.until([&] { return bench.router->counters().second_answers == 5; });
  bench.settle();
  CHECK(bench.caller->count("\"ready\",\"sid\":\"" + kSessionA) == 1);
  CHECK(bench.server.count("BYE sip:") == 0);
}

TEST_CASE("a second answer after the call has moved to another server or ended is only released there") {
  Bench bench;
  Listener other(bench.loop);
  bench.list();
  bench.router->apply(endpoint_update("s2", other.address));
  bench.open(kSessionA);
  auto& first = bench.invited(kSessionA);
  first.stream->send(Bench::sip("SIP/2.0 503 Full", kSessionA, "1 INVITE"));
  bench.until([&] { return other.with("Call-ID: " + kSessionA) != nullptr; });
  bench.answer(first, kSessionA, "of-the-first");
  bench.until([&] { return first.has("BYE sip:"); });
  bench.answer(*other.with("Call-ID: " + kSessionA), kSessionA, "of-the-second");
  bench.until([&] { return bench.caller->has("of-the-second"); });
  bench.say(close_line(kSessionA));
  bench.until([&] { return other.count("BYE sip:") == 1; });
  // The call's id is no longer known: the answer is released again and not passed on.
  bench.answer(*other.with("Call-ID: " + kSessionA), kSessionA, "once-more");
  bench.until([&] { return other.count("BYE sip:") == 2; });
  bench.settle();
  CHECK_FALSE(bench.caller->has("of-the-first"));
  CHECK_FALSE(bench.caller->has("once-more"));
  CHECK(bench.caller->count("\"ready\"") == 1);
}

TEST_CASE("a reload during the retry pause does not change that pause") {
  Bench bench;
  bench.list();
  bench.open(kSessionA);
  bench.invited(kSessionA).stream->send(Bench::sip("SIP/2.0 504 Reset", kSessionA, "1 INVITE"));
  bench.until([&] { return attempts_ended_with(bench, Outcome::kReset) == 1; });
  auto updated = bench.config;
  updated.settings.invariants.retry_pause = milliseconds{1};
  updated.settings.classes[0].latency_objective = milliseconds{900};
  updated.settings_text = "changed";
  bench.router->reload(updated);
  // Checked after 0.3 s of the 0.5 s pause. Timers that fire late still run in the order in which they were
  // due.
  std::optional<std::uint64_t> sent;
  bench.loop.after(milliseconds{300}, [&] { sent = bench.router->counters().attempts; });
  bench.standing(kSessionB);
  bench.until([&] { return sent.has_value(); });
  CHECK(sent == 2);
  bench.until([&] { return bench.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(bench.router->counters().reloads == 1);
}

TEST_CASE(
    "a call whose deadline passes during the retry pause is rejected once, in time, and not sent again") {
  Bench bench;
  bench.list();
  bench.open(kSessionA, 400);
  bench.invited(kSessionA).stream->send(Bench::sip("SIP/2.0 504 Reset", kSessionA, "1 INVITE"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kSessionA); });
  // A call that is reset later waits for its whole pause. The pause of the first call is over by then.
  bench.open(kSessionB);
  bench.invited(kSessionB).stream->send(Bench::sip("SIP/2.0 504 Reset", kSessionB, "1 INVITE"));
  bench.until([&] { return bench.server.count("Call-ID: " + kSessionB + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(bench.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE") == 0);
  CHECK(bench.caller->count("\"sid\":\"" + kSessionA) == 1);
  CHECK(bench.router->counters().attempts == 3);
}

// ---- endpoint list ----

TEST_CASE("a queued call is not sent to a server that an endpoint update removes together with its calls") {
  auto config = bench_config();
  config.settings.batch_interval =
      std::chrono::seconds{1};  // the module acts on its own only after 4 s, otherwise on events
  Bench bench({}, config);
  bench.list();
  bench.open(kSessionA, 5900);
  bench.answer(bench.invited(kSessionA), kSessionA);
  bench.until([&] { return bench.router->table().established() == 1; });
  bench.open(kSessionB, 5900);
  bench.invited(kSessionB).stream->send(Bench::sip("SIP/2.0 504 Reset", kSessionB, "1 INVITE"));
  bench.until([&] { return attempts_ended_with(bench, Outcome::kReset) == 1; });
  // The pause is over without any event since: the next event would send the call to the only server.
  const Instant from = Loop::now();
  bench.until([&] { return Loop::now() - from > config.settings.invariants.retry_pause; });
  REQUIRE(bench.router->counters().attempts == 2);
  bench.list(EndpointState::kRemoved);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kSessionA); });
  bench.settle();
  CHECK(bench.router->counters().aborted == 1);
  CHECK(bench.router->counters().attempts == 2);
}

TEST_CASE("set-ups not yet sent follow a server to its new address without a retry pause") {
  auto config = bench_config();
  config.connect_limit = std::chrono::seconds{4};
  Bench bench({}, config);
  FullListener full_listener(bench.loop);
  bench.router->apply(endpoint_update("s1", full_listener.address()));
  bench.open(kSessionA);
  bench.until([&] { return bench.router->counters().attempts == 1; });
  bench.list();  // same name, with an address that accepts connections
  bench.until([&] { return bench.server.with("Call-ID: " + kSessionA) != nullptr; });
  CHECK(attempts_ended_with(bench, Outcome::kReset) == 0);
  CHECK(attempts_ended_with(bench, Outcome::kNotSent) == 1);
}

// ---- idle connections ----

TEST_CASE("a set-up uses a new connection if the FINs of the idle ones have not been read yet") {
  Bench bench;
  bench.list();
  bench.until([&] { return bench.server.ends.size() == 2; });
  bench.settle();
  bench.list(EndpointState::kDraining);
  bench.open(kSessionA);
  bench.until([&] { return bench.router->counters().received == 1; });
  // The kernel holds the FINs, and the event loop does not run before the queued call is forwarded.
  for (auto& end : bench.server.ends) end->stream->close();
  bench.list();
  REQUIRE(bench.router->counters().attempts == 1);
  bench.until([&] { return bench.server.with("Call-ID: " + kSessionA) != nullptr; });
  bench.answer(*bench.server.with("Call-ID: " + kSessionA), kSessionA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kSessionA); });
  CHECK(attempts_ended_with(bench, Outcome::kReset) == 0);
  CHECK(bench.router->counters().attempts == 1);
}

TEST_CASE("a connection established after its attempt has ended is kept and does not carry it") {
  auto config = bench_config();
  config.connect_limit = milliseconds{400};
  Bench bench({}, config);
  FullListener full_listener(bench.loop);
  bench.router->apply(endpoint_update("s1", full_listener.address()));
  auto leaving_caller = bench.connect(bench.router->callers_at());
  leaving_caller->stream->send(open_line(kSessionA));
  bench.until([&] { return attempts_ended_with(bench, Outcome::kConnectFailed) == 1; });
  leaving_caller->stream->close();
  bench.until([&] { return bench.router->counters().abandoned == 1; });
  full_listener.accept(bench.loop);
  bench.until([&] { return bench.router->counters().late_connections > 0; });
  // The module sends health checks to a server without a connection, and new calls once one is answered.
  bench.open(kSessionB);
  bench.until([&] {
    full_listener.answer_health_checks();
    return full_listener.count("Call-ID: " + kSessionB) > 0;
  });
  bench.settle();
  CHECK(full_listener.count(kSessionA) == 0);
  CHECK(bench.router->table().unanswered() == 1);
}

TEST_CASE("a release opens a new connection at once even during a reconnect pause") {
  Bench bench;
  Listener other(bench.loop);
  bench.list();
  bench.router->apply(endpoint_update("s2", other.address, EndpointState::kReady));
  auto& end = bench.standing(kSessionA);
  auto& at = bench.server.with("Call-ID: " + kSessionA) == &end ? bench.server : other;
  auto& idle_server = &at == &other ? bench.server : other;
  const auto second = [](Listener& of, std::size_t made) -> End* {
    return of.ends.size() > made && of.ends.back()->stream->is_open() ? of.ends.back().get() : nullptr;
  };
  bench.until([&] { return at.ends.size() == 2 && idle_server.ends.size() == 2; });
  // One connection of each server stays, the other is reset once established. Each reset doubles the pause.
  if (at.ends[1].get() == &end) std::swap(at.ends[0], at.ends[1]);
  const auto reset_next = [&](Listener& of, std::size_t made) {
    bench.until([&] { return second(of, made) != nullptr; });
    second(of, made)->reset();
    bench.settle();
  };
  for (std::size_t made = 1; made < 4; ++made) {
    reset_next(at, made);
    reset_next(idle_server, made);
  }
  reset_next(at, 4);
  bench.until([&] { return second(at, 5) != nullptr; });
  // From here the idle server's next connection is due in 0.8 s, and the other server's later, in 1 s.
  reset_next(idle_server, 4);
  reset_next(at, 5);
  // The connection of the call is lost, together with its release.
  end.reset();
  bench.until([&] { return idle_server.ends.size() == 6; });
  CHECK(at.ends.size() == 8);  // one for the release and one kept beside it
}

TEST_CASE("in standby a partly received set-up is read completely and answered") {
  Bench bench;
  bench.list();
  bench.standing(kSessionB);
  bench.say(close_line(kSessionB));
  const auto line = open_line(kSessionA);
  bench.say(line.substr(0, 40));
  bench.until([&] { return bench.caller->has("\"closed\""); });
  bench.router->standby(true);
  // A connection without open requests is closed, which shows that the idle connections have been closed.
  auto idle = bench.connect(bench.router->callers_at());
  idle->stream->send(health_check_line());
  bench.until([&] { return idle->closed; });
  CHECK_FALSE(bench.caller->closed);
  bench.say(line.substr(40));
  bench.answer(bench.invited(kSessionA), kSessionA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kSessionA); });
}

// ---- shutdown ----

TEST_CASE("shutdown waits for a partly received set-up and closes without a reset") {
  Bench bench;
  bench.list();
  const auto line = open_line(kSessionA);
  bench.say(line.substr(0, 40));
  bench.until([&] { return bench.router->callers() == 1; });
  bool has_shut_down = false;
  const Instant from = Loop::now();
  bench.router->shut_down([&] { has_shut_down = true; });
  // After the period in which callers still arrive no call is unanswered, but a set-up has been partly
  // received.
  bench.until([&] { return Loop::now() - from > milliseconds{800}; });
  CHECK_FALSE(has_shut_down);
  bench.say(line.substr(40));
  bench.answer(bench.invited(kSessionA), kSessionA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kSessionA); });
  bench.say(close_line(kSessionA));
  bench.until([&] { return has_shut_down; });
  bench.until([&] { return bench.caller->closed; });
  CHECK(bench.caller->why == net::CloseReason::kEnded);
}

TEST_CASE("shutdown waits for an answer that is not yet written to its caller") {
  Bench bench({}, config_with_high_limits());
  UnwrittenAnswer call(bench);
  call.server->stream->send(
      Bench::sip("BYE sip:77aa@net SIP/2.0", kSessionA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.router->table().established() == 0; });
  bool has_shut_down = false;
  const Instant from = Loop::now();
  bench.router->shut_down([&] { has_shut_down = true; });
  bench.until([&] { return Loop::now() - from > milliseconds{800}; });
  CHECK_FALSE(has_shut_down);
  call.caller.socket.close();
  bench.until([&] { return has_shut_down; });
}

TEST_CASE("pending input or output delays the exit no longer than the deadline for final answers") {
  core::GracefulShutdown plan{Instant{milliseconds{700}}, Instant{milliseconds{3450}},
                              Instant{milliseconds{3650}}};
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3449}}, 0, 0, true));
  CHECK(plan.may_exit(Instant{milliseconds{3450}}, 0, 0, true));
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3450}}, 1, 0, true));
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3450}}, 0, 1, true));
  // Closing takes at most 50 ms, and ends before SIGKILL may arrive.
  CHECK(plan.end_by(Instant{milliseconds{700}}) == Instant{milliseconds{750}});
  CHECK(plan.end_by(Instant{milliseconds{3650}}) < Instant{milliseconds{3700}});
}

// ---- events due at the same time ----

/// Blocks the router's event loop, as on an overloaded machine. The event at the end of that time comes
/// before all timers that are due by then.
void stall_event_loop(Bench& bench, Duration time, const std::function<void()>& comes) {
  std::this_thread::sleep_for(time);
  comes();
  bench.loop.wheel.advance(Loop::now());
}

TEST_CASE("set-ups in the accept queue or unread in the kernel when the exit is due are answered") {
  for (const bool queued : {true, false}) {
    Bench bench;
    bench.list();
    bench.settle();
    int exit_callbacks = 0;
    bench.router->shut_down([&] { ++exit_callbacks; });
    bench.router->shut_down([&] { exit_callbacks += 100; });  // a second SIGTERM changes nothing
    asio::ip::tcp::socket plain(bench.loop.io);
    // The period in which callers still arrive is over, and no request that the router has read is
    // unanswered.
    stall_event_loop(bench, milliseconds{750}, [&] {
      if (queued) {
        plain.connect(bench.router->callers_at());
        asio::write(plain, asio::buffer(open_line(kSessionA)));
      } else {
        bench.say(open_line(kSessionA));
      }
    });
    CHECK(exit_callbacks == 0);
    bench.answer(bench.invited(kSessionA), kSessionA);
    const auto heard = [&] {
      return queued ? plain.available() > 0 : bench.caller->has("\"ready\",\"sid\":\"" + kSessionA);
    };
    bench.until(heard);
    if (queued) {
      asio::write(plain, asio::buffer(close_line(kSessionA)));
    } else {
      bench.say(close_line(kSessionA));
    }
    bench.until([&] { return exit_callbacks == 1; });
  }
}

TEST_CASE("a set-up on an idle connection that is due to be closed is read and answered") {
  Bench bench;
  bench.list();
  asio::ip::tcp::socket plain(bench.loop.io);
  plain.connect(bench.router->callers_at());
  bench.until([&] { return bench.router->callers() == 2; });
  // Idle for more than 2.4 s: the check that would close the connection runs before the set-up is read.
  stall_event_loop(bench, milliseconds{2500},
                   [&] { asio::write(plain, asio::buffer(open_line(kSessionA))); });
  bench.answer(bench.invited(kSessionA), kSessionA);
  bench.until([&] { return plain.available() > 0; });
  CHECK(bench.router->counters().established == 1);
}

TEST_CASE("at the descriptor limit a connection with a partly received set-up is not evicted") {
  auto config = bench_config();
  config.sockets = 16;
  Bench bench({}, config);
  bench.list();
  bench.settle();
  auto half = bench.connect(bench.router->callers_at());
  const auto line = open_line(kSessionA);
  half->stream->send(line.substr(0, 40));
  bench.until([&] { return bench.router->callers() == 2; });
  std::vector<std::unique_ptr<End>> more;
  for (std::size_t i = 3; i <= 8; ++i) {
    more.push_back(bench.connect(bench.router->callers_at()));
    bench.until([&] { return bench.router->callers() == i; });
  }
  more.push_back(bench.connect(bench.router->callers_at()));
  bench.until([&] { return bench.router->counters().evicted == 1; });
  half->stream->send(line.substr(40));
  bench.answer(bench.invited(kSessionA), kSessionA);
  bench.until([&] { return half->has("\"ready\",\"sid\":\"" + kSessionA); });
}

TEST_CASE(
    "at the descriptor limit a connection with an unwritten answer may be evicted, and its call is "
    "released") {
  auto config = config_with_high_limits();
  config.sockets = 4;
  Bench bench({}, config);
  bench.list();
  bench.open(kSessionB, 100'000);  // unanswered, so that its connection cannot be evicted
  bench.invited(kSessionB);
  UnwrittenAnswer call(bench);
  auto newcomer = bench.connect(bench.router->callers_at());
  bench.until([&] { return bench.router->counters().evicted == 1; });
  bench.until([&] { return bench.server.count("BYE sip:") == 1; });
  CHECK(bench.router->counters().undelivered_answers == 1);
  CHECK(bench.router->table().established() == 0);
  CHECK(bench.router->table().unanswered() == 1);
}

TEST_CASE(
    "a new server at the address of a removed one gets new connections, and a late release ends no other "
    "call") {
  Bench bench;
  bench.list();
  auto& old = bench.standing(kSessionA);
  bench.list(EndpointState::kRemoved);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kSessionA); });
  bench.until([&] { return old.closed; });
  bench.router->apply(endpoint_update("s2", bench.server.address));
  auto& new_server_end = bench.standing(kSessionB);
  CHECK(&new_server_end != &old);
  // The release from the removed server still arrives, on a connection of the new server.
  new_server_end.stream->send(
      Bench::sip("BYE sip:77aa@net SIP/2.0", kSessionA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.router->counters().unknown_ids == 1; });
  bench.settle();
  CHECK(bench.caller->count("\"close\",\"sid\":\"" + kSessionA) == 1);
  CHECK(bench.router->table().established() == 1);
}
