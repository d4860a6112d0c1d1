// Pairs of events that cross (docs/race-conditions.md). The peers are scripted and fix the order: one side
// goes on only once it has seen the other's bytes, a paused reader blocks a link, a known event comes first.
// Nothing sleeps as proof; what must not happen is looked for after exchanges that are behind it on every
// socket.
#include <sys/socket.h>

#include <thread>

#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {

const std::string kA = "00000000000000a1";
const std::string kB = "00000000000000b2";

/// A peer that reads only when it is told to, with a small receive buffer.
struct Paused {
  Paused(Loop& loop, const asio::ip::tcp::endpoint& to) : socket(loop.io) {
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(2048));
    socket.connect(to);
  }
  explicit Paused(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
  void say(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  asio::ip::tcp::socket socket;
};

std::string open_line(const std::string& sid, const std::string& text = "desc",
                      const std::string& cls = "voice", int left = 2000) {
  return R"({"msg":"open","sid":")" + sid + R"(","attrs":{"class":")" + cls + R"(","left":")" +
         std::to_string(left) +
         R"(","tenant":"acme","key":"77aa","extras":"dest:0;width:1;via:-1"},"text":")" + text + "\"}\n";
}

/// A server that takes connections and reads nothing: what is written to it is blocked after a while.
struct Deaf {
  explicit Deaf(Loop& loop) : acceptor(loop.io) {
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(2048));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    accept();
  }
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      taken.push_back(std::make_unique<Paused>(std::move(socket)));
      accept();
    });
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::unique_ptr<Paused>> taken;
};

/// A listener whose queue is full: connections to it do not come up.
struct Full {
  explicit Full(Loop& loop) : acceptor(loop.io) {
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
  /// Takes all that comes from now on: what the kernel asks again for (after 1 s) comes up late.
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
  void answer_tests() {
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

discovery::EndpointUpdate news_of(const std::string& name, const std::string& address,
                                  EndpointState state = EndpointState::kReady, std::int64_t started = 0) {
  discovery::EndpointUpdate news;
  news.has_servers = true;
  news.changes.push_back({name, address, 0, state, started});
  return news;
}

std::string probe_line() {
  return "{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n";
}

/// Has a peer that does not read ask for tests, until the router is blocked towards it; each batch is read
/// before the next one goes.
void block(Bench& bench, Paused& peer) {
  // So much that the system's own buffer, which grows for a while, does not take it after all.
  constexpr std::size_t kBlocked = 3 * 1024 * 1024;
  std::string tests;
  for (int i = 0; i < 400; ++i) tests += probe_line();
  for (int batch = 0; batch < 4000 && bench.loop.outgoing.bytes < kBlocked; ++batch) {
    std::size_t said = 0;
    peer.socket.non_blocking(true);
    bench.until([&] {
      asio::error_code full;
      said += peer.socket.write_some(asio::buffer(tests) + said, full);
      return said == tests.size();
    });
    bench.settle();
  }
  REQUIRE_FALSE(bench.loop.outgoing.blocked.empty());
}

app::Config roomy() {
  auto config = bench_config();
  config.memory_mb = 1024;
  config.sockets = 1024;
  // Blocking a peer takes seconds under sanitizers: no call's time ends meanwhile.
  for (auto& cls : config.settings.classes) cls.deadline = std::chrono::seconds{60};
  return config;
}

std::string sid_of(int number) {
  char sid[17];
  std::snprintf(sid, sizeof sid, "%016x", number);
  return sid;
}

std::string close_line(const std::string& sid) {
  return "{\"msg\":\"close\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":16}\n";
}

std::uint64_t ended(const Bench& bench, Outcome outcome) {
  return bench.router->counters().attempt_ends[static_cast<std::size_t>(outcome)];
}

/// A call that has stood at its server, whose caller reads nothing: the answer is not written.
struct Unheard {
  explicit Unheard(Bench& bench) : caller(bench.loop, bench.router->callers_at()) {
    bench.list();
    caller.say(open_line(kA, "desc", "voice", 100'000));
    server = &bench.invited(kA);
    block(bench, caller);
    bench.answer(*server, kA);
    bench.until([&] { return bench.router->counters().established == 1; });
  }
  Paused caller;
  End* server = nullptr;
};

}  // namespace

// ---- a client that has left ----

TEST_CASE("held for a token: whoever has left is not sent on when a server comes, however it left") {
  enum class By { kClose, kFin, kReset };
  for (const auto by : {By::kClose, By::kFin, By::kReset}) {
    Bench bench;
    auto leaver = bench.connect(bench.router->callers_at());
    leaver->stream->send(open_line(kA));
    bench.until([&] { return bench.router->counters().received == 1; });
    if (by == By::kClose) {
      leaver->stream->send(close_line(kA));
    } else if (by == By::kFin) {
      leaver->stream->close();
    } else {
      leaver->reset();
    }
    bench.until([&] { return bench.router->counters().abandoned == 1; });
    CHECK(bench.router->counters().abandoned_while_queued == 1);
    bench.list();
    bench.open(kB);
    bench.answer(bench.invited(kB), kB);
    bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kB); });
    CHECK(bench.server.count(kA) == 0);
    CHECK(bench.router->counters().attempts == 1);
    CHECK(bench.router->table().unanswered() == 0);
  }
}

TEST_CASE(
    "a FIN behind unread set-ups, and one seen while the answers to that client are blocked, are seen") {
  Bench bench({}, roomy());
  {
    // Set-ups and the FIN are in the kernel before the router reads a byte: more of them than one turn reads.
    asio::ip::tcp::socket leaver(bench.loop.io);
    leaver.connect(bench.router->callers_at());
    std::string all;
    for (int i = 0; i < 40; ++i) all += open_line(sid_of(0x2000 + i));
    asio::write(leaver, asio::buffer(all));
    leaver.close();
  }
  bench.until([&] { return bench.router->counters().abandoned == 40; });
  CHECK(bench.router->counters().abandoned_while_queued == 40);
  {
    // It asks for tests and reads no reply, so that the router is blocked towards it, and leaves then.
    Paused leaver(bench.loop, bench.router->callers_at());
    leaver.say(open_line(kA, "desc", "voice", 100'000));
    bench.until([&] { return bench.router->counters().received == 41; });
    block(bench, leaver);
    leaver.socket.close();
  }
  bench.until([&] { return bench.router->counters().abandoned == 41; });
  bench.list();
  bench.settle();
  CHECK(bench.router->counters().attempts == 0);
}

TEST_CASE(
    "waiting for a connection: a set-up whose client leaves, or whose time ends, never leaves and never "
    "ran") {
  for (const bool timed_out : {false, true}) {
    // A listener whose queue of connections is full: the router's come up only once one is accepted.
    auto config = bench_config();
    config.settings.classes[0].idempotent = false;  // failed if it may have run, refused if not
    config.connect_limit = std::chrono::seconds{4};
    Bench bench({}, config);
    Full full(bench.loop);
    bench.router->apply(news_of("s1", full.address()));
    bench.open(kA, timed_out ? 150 : 2000);
    bench.until([&] { return bench.router->counters().attempts == 1; });
    if (timed_out) {
      bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
      CHECK(bench.caller->has("\"code\":42"));  // refused: harmless to try again
      CHECK(bench.router->counters().failed == 0);
    } else {
      bench.say(close_line(kA));
      bench.until([&] { return bench.router->counters().abandoned == 1; });
    }
    const auto& counters = bench.router->counters();
    CHECK(counters.withdrawn == 1);
    CHECK(counters.cancels == 0);
    CHECK(ended(bench, Outcome::kNotSent) == 1);
    CHECK(counters.by_class.at(0).relayed == 0);
    CHECK(bench.router->table().unanswered() == 0);
  }
}

TEST_CASE("queued on a blocked link: what was given up is never written, what was half written is cut off") {
  Bench bench({}, roomy());
  Deaf deaf(bench.loop);
  bench.router->apply(news_of("s1", deaf.address()));
  // One long set-up after the other until one waits; then its client leaves.
  int said = 0;
  while (bench.loop.outgoing.blocked.empty() && said < 2000) {
    auto one = bench.connect(bench.router->callers_at());
    one->stream->send(open_line(sid_of(0x3000 + said++), std::string(12'000, 'x')));
    bench.until([&] { return bench.router->counters().received == static_cast<std::uint64_t>(said); });
    // Its client leaves at once: the token is free again, and its CANCEL waits behind it.
    one->stream->close();
    bench.until([&] { return bench.router->counters().abandoned == static_cast<std::uint64_t>(said); });
  }
  REQUIRE_FALSE(bench.loop.outgoing.blocked.empty());
  // The half of a set-up whose client has left stays on the link: it is cut before 0.3 s are over, and the
  // rest never arrives.
  bench.until([&] { return bench.router->counters().stalled_connections > 0; });
  CHECK(bench.router->table().unanswered() == 0);
}

TEST_CASE("in the pause before another try: whoever leaves is not sent on when the pause is over") {
  Bench bench;
  bench.list();
  auto leaver = bench.connect(bench.router->callers_at());
  leaver->stream->send(open_line(kA));
  auto& end = bench.invited(kA);
  end.stream->send(Bench::sip("SIP/2.0 504 Reset", kA, "1 INVITE"));
  bench.until([&] { return ended(bench, Outcome::kReset) == 1; });
  leaver->stream->close();
  bench.until([&] { return bench.router->counters().abandoned == 1; });
  CHECK(bench.router->counters().abandoned_while_queued == 1);
  // A call of another client goes through the same pause behind it, and is sent again: by then the first
  // would be.
  bench.open(kB);
  bench.invited(kB).stream->send(Bench::sip("SIP/2.0 504 Reset", kB, "1 INVITE"));
  bench.until([&] { return bench.server.count("Call-ID: " + kB + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(bench.server.count("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") == 0);
  CHECK(bench.router->counters().attempts == 3);
}

TEST_CASE(
    "an answer that its caller cannot get, since it left before it was written, is released at the server") {
  Bench bench({}, roomy());
  Unheard call(bench);
  call.caller.socket.close();
  bench.until([&] { return bench.server.count("BYE sip:") == 1; });
  CHECK(bench.router->counters().undelivered_answers == 1);
  CHECK(bench.router->table().established() == 0);
}

TEST_CASE(
    "a release told on a connection that its caller closes at that moment is told on its next one, once") {
  for (const bool confirmed : {false, true}) {
    Bench bench;
    bench.list();
    auto& end = bench.standing(kA);
    end.stream->send(Bench::sip("BYE sip:77aa@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
    bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
    if (confirmed) {
      bench.say("{\"msg\":\"closed\",\"sid\":\"" + kA + "\",\"attrs\":{}}\n");
      bench.settle();
    }
    // Without a word it closes: nobody can say whether it has read the release.
    bench.caller->stream->close();
    bench.until([&] { return bench.router->callers() == 0; });
    bench.caller = bench.connect(bench.router->callers_at());
    bench.settle();
    CHECK(bench.caller->count("\"close\",\"sid\":\"" + kA) == (confirmed ? 0 : 1));
  }
}

// ---- retries ----

TEST_CASE("a second answer some milliseconds late is not taken for the answer to the next attempt") {
  Bench bench;
  bench.list();
  bench.until([&] { return bench.server.ends.size() == 2; });
  bench.open(kA);
  auto& first = bench.invited(kA);
  // Another call takes the other link in between, so that it is the first one's turn again.
  bench.open(kB);
  bench.answer(bench.invited(kB), kB);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kB); });
  // The only server: the call goes there again at once.
  first.stream->send(Bench::sip("SIP/2.0 480 Moot", kA, "1 INVITE"));
  bench.until([&] { return bench.server.count("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") == 1; });
  auto* second = bench.server.with("Call-ID: " + kA + "\r\nCSeq: 2 INVITE");
  CHECK(second != &first);  // by another link, so that answers can be told apart
  for (const char* late : {"SIP/2.0 480 Moot", "SIP/2.0 500 Error", "SIP/2.0 503 Full"}) {
    first.stream->send(Bench::sip(late, kA, "1 INVITE"));
  }
  bench.answer(first, kA, "of-the-first");
  bench.until([&] { return bench.router->counters().second_answers == 4; });
  bench.settle();
  CHECK(bench.router->counters().attempts == 3);  // the second attempt is still the one that is out
  CHECK_FALSE(bench.caller->has("of-the-first"));
  bench.answer(*second, kA, "of-the-second");
  bench.until([&] { return bench.caller->has("of-the-second"); });
  // Repeated once it stands: neither passed on nor released.
  bench.answer(*second, kA, "of-the-second");
  bench.until([&] { return bench.router->counters().second_answers == 5; });
  bench.settle();
  CHECK(bench.caller->count("\"ready\",\"sid\":\"" + kA) == 1);
  CHECK(bench.server.count("BYE sip:") == 0);
}

TEST_CASE(
    "a second answer after the call has moved to another server or is over is released there, and no more") {
  Bench bench;
  Listener other(bench.loop);
  bench.list();
  bench.router->apply(news_of("s2", other.address));
  bench.open(kA);
  auto& first = bench.invited(kA);
  first.stream->send(Bench::sip("SIP/2.0 503 Full", kA, "1 INVITE"));
  bench.until([&] { return other.with("Call-ID: " + kA) != nullptr; });
  bench.answer(first, kA, "of-the-first");
  bench.until([&] { return first.has("BYE sip:"); });
  bench.answer(*other.with("Call-ID: " + kA), kA, "of-the-second");
  bench.until([&] { return bench.caller->has("of-the-second"); });
  bench.say(close_line(kA));
  bench.until([&] { return other.count("BYE sip:") == 1; });
  // Its id is forgotten: released again, told to nobody.
  bench.answer(*other.with("Call-ID: " + kA), kA, "once-more");
  bench.until([&] { return other.count("BYE sip:") == 2; });
  bench.settle();
  CHECK_FALSE(bench.caller->has("of-the-first"));
  CHECK_FALSE(bench.caller->has("once-more"));
  CHECK(bench.caller->count("\"ready\"") == 1);
}

TEST_CASE("the pause before another try crosses a reload: it stays as it was when the attempt ended") {
  Bench bench;
  bench.list();
  bench.open(kA);
  bench.invited(kA).stream->send(Bench::sip("SIP/2.0 504 Reset", kA, "1 INVITE"));
  bench.until([&] { return ended(bench, Outcome::kReset) == 1; });
  auto fresh = bench.config;
  fresh.settings.invariants.retry_pause = milliseconds{1};
  fresh.settings.classes[0].latency_objective = milliseconds{900};
  fresh.settings_text = "changed";
  bench.router->reload(fresh);
  // Looked at when 0.3 s of the 0.5 s are over: timers that are late run in the order in which they were due.
  std::optional<std::uint64_t> sent;
  bench.loop.after(milliseconds{300}, [&] { sent = bench.router->counters().attempts; });
  bench.standing(kB);
  bench.until([&] { return sent.has_value(); });
  CHECK(sent == 2);
  bench.until([&] { return bench.server.count("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(bench.router->counters().reloads == 1);
}

TEST_CASE(
    "the pause before another try crosses the call's deadline: one refusal in time, and no try after it") {
  Bench bench;
  bench.list();
  bench.open(kA, 400);
  bench.invited(kA).stream->send(Bench::sip("SIP/2.0 504 Reset", kA, "1 INVITE"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  // A call reset later goes through its whole pause behind it: by then the first one's is long over.
  bench.open(kB);
  bench.invited(kB).stream->send(Bench::sip("SIP/2.0 504 Reset", kB, "1 INVITE"));
  bench.until([&] { return bench.server.count("Call-ID: " + kB + "\r\nCSeq: 2 INVITE") == 1; });
  CHECK(bench.server.count("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") == 0);
  CHECK(bench.caller->count("\"sid\":\"" + kA) == 1);
  CHECK(bench.router->counters().attempts == 3);
}

// ---- the list ----

TEST_CASE("gone, with calls standing there: what is held is not placed at what the news says is gone") {
  auto config = bench_config();
  config.settings.batch_interval =
      std::chrono::seconds{1};  // the module looks by itself after 4 s, else at each event
  Bench bench({}, config);
  bench.list();
  bench.open(kA, 5900);
  bench.answer(bench.invited(kA), kA);
  bench.until([&] { return bench.router->table().established() == 1; });
  bench.open(kB, 5900);
  bench.invited(kB).stream->send(Bench::sip("SIP/2.0 504 Reset", kB, "1 INVITE"));
  bench.until([&] { return ended(bench, Outcome::kReset) == 1; });
  // Its pause is over, and nothing has happened since: the next event would place it at the only server.
  const Instant from = Loop::now();
  bench.until([&] { return Loop::now() - from > config.settings.invariants.retry_pause; });
  REQUIRE(bench.router->counters().attempts == 2);
  bench.list(EndpointState::kRemoved);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  bench.settle();
  CHECK(bench.router->counters().aborted == 1);
  CHECK(bench.router->counters().attempts == 2);
}

TEST_CASE("another address under the same name: what had not left goes there, and no pause is owed") {
  auto config = bench_config();
  config.connect_limit = std::chrono::seconds{4};
  Bench bench({}, config);
  Full full(bench.loop);
  bench.router->apply(news_of("s1", full.address()));
  bench.open(kA);
  bench.until([&] { return bench.router->counters().attempts == 1; });
  bench.list();  // the same name, where somebody listens
  bench.until([&] { return bench.server.with("Call-ID: " + kA) != nullptr; });
  CHECK(ended(bench, Outcome::kReset) == 0);
  CHECK(ended(bench, Outcome::kNotSent) == 1);
}

// ---- idle connections ----

TEST_CASE("a server has closed its idle connections, and we have not read that: a set-up goes by a new one") {
  Bench bench;
  bench.list();
  bench.until([&] { return bench.server.ends.size() == 2; });
  bench.settle();
  bench.list(EndpointState::kDraining);
  bench.open(kA);
  bench.until([&] { return bench.router->counters().received == 1; });
  // The FINs are in the kernel, and the loop does not run before the held call is placed.
  for (auto& end : bench.server.ends) end->stream->close();
  bench.list();
  REQUIRE(bench.router->counters().attempts == 1);
  bench.until([&] { return bench.server.with("Call-ID: " + kA) != nullptr; });
  bench.answer(*bench.server.with("Call-ID: " + kA), kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
  CHECK(ended(bench, Outcome::kReset) == 0);
  CHECK(bench.router->counters().attempts == 1);
}

TEST_CASE("a connection that comes up late, after its attempt ended: it is taken, and carries none of that") {
  auto config = bench_config();
  config.connect_limit = milliseconds{400};
  Bench bench({}, config);
  Full full(bench.loop);
  bench.router->apply(news_of("s1", full.address()));
  auto leaver = bench.connect(bench.router->callers_at());
  leaver->stream->send(open_line(kA));
  bench.until([&] { return ended(bench, Outcome::kConnectFailed) == 1; });
  leaver->stream->close();
  bench.until([&] { return bench.router->counters().abandoned == 1; });
  full.accept(bench.loop);
  bench.until([&] { return bench.router->counters().late_connections > 0; });
  // The module looks at a server without a connection by tests: once one is answered, it sends there again.
  bench.open(kB);
  bench.until([&] {
    full.answer_tests();
    return full.count("Call-ID: " + kB) > 0;
  });
  bench.settle();
  CHECK(full.count(kA) == 0);
  CHECK(bench.router->table().unanswered() == 1);
}

TEST_CASE("a link breaks while a call stands and a pause is on: the next is opened for its release at once") {
  Bench bench;
  Listener other(bench.loop);
  bench.list();
  bench.router->apply(news_of("s2", other.address, EndpointState::kReady));
  auto& end = bench.standing(kA);
  auto& at = bench.server.with("Call-ID: " + kA) == &end ? bench.server : other;
  auto& calm = &at == &other ? bench.server : other;
  const auto second = [](Listener& of, std::size_t made) -> End* {
    return of.ends.size() > made && of.ends.back()->stream->is_open() ? of.ends.back().get() : nullptr;
  };
  bench.until([&] { return at.ends.size() == 2 && calm.ends.size() == 2; });
  // One link of each server stays, and the other is reset as soon as it is up: each time the pause doubles.
  if (at.ends[1].get() == &end) std::swap(at.ends[0], at.ends[1]);
  const auto reset_next = [&](Listener& of, std::size_t made) {
    bench.until([&] { return second(of, made) != nullptr; });
    second(of, made)->reset();
    bench.settle();
  };
  for (std::size_t made = 1; made < 4; ++made) {
    reset_next(at, made);
    reset_next(calm, made);
  }
  reset_next(at, 4);
  bench.until([&] { return second(at, 5) != nullptr; });
  // From here the calm server's next link comes in 0.8 s, the other's in 1 s, after that.
  reset_next(calm, 4);
  reset_next(at, 5);
  // The link of the call is lost, and its release with it.
  end.reset();
  bench.until([&] { return calm.ends.size() == 6; });
  CHECK(at.ends.size() == 8);  // the one for the release and the one that is kept beside it
}

TEST_CASE("in standby a connection in the middle of a set-up is read to its end, and answered") {
  Bench bench;
  bench.list();
  bench.standing(kB);
  bench.say(close_line(kB));
  const auto line = open_line(kA);
  bench.say(line.substr(0, 40));
  bench.until([&] { return bench.caller->has("\"closed\""); });
  bench.router->standby(true);
  // Another connection that owes nothing is closed: the round that closes has been.
  auto idle = bench.connect(bench.router->callers_at());
  idle->stream->send(probe_line());
  bench.until([&] { return idle->closed; });
  CHECK_FALSE(bench.caller->closed);
  bench.say(line.substr(40));
  bench.answer(bench.invited(kA), kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
}

// ---- shutdown ----

TEST_CASE("the end waits for a set-up that is half read, and closes without a reset") {
  Bench bench;
  bench.list();
  const auto line = open_line(kA);
  bench.say(line.substr(0, 40));
  bench.until([&] { return bench.router->callers() == 1; });
  bool over = false;
  const Instant from = Loop::now();
  bench.router->shut_down([&] { over = true; });
  // Past the time in which callers still come nothing is unanswered; the half of a set-up is there all the
  // same.
  bench.until([&] { return Loop::now() - from > milliseconds{800}; });
  CHECK_FALSE(over);
  bench.say(line.substr(40));
  bench.answer(bench.invited(kA), kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
  bench.say(close_line(kA));
  bench.until([&] { return over; });
  bench.until([&] { return bench.caller->closed; });
  CHECK(bench.caller->why == net::CloseReason::kEnded);
}

TEST_CASE("the end waits for an answer that is not yet written to its caller") {
  Bench bench({}, roomy());
  Unheard call(bench);
  call.server->stream->send(
      Bench::sip("BYE sip:77aa@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.router->table().established() == 0; });
  bool over = false;
  const Instant from = Loop::now();
  bench.router->shut_down([&] { over = true; });
  bench.until([&] { return Loop::now() - from > milliseconds{800}; });
  CHECK_FALSE(over);
  call.caller.socket.close();
  bench.until([&] { return over; });
}

TEST_CASE("what is unsettled keeps a process no longer than its callers' last answer") {
  core::GracefulShutdown plan{Instant{milliseconds{700}}, Instant{milliseconds{3450}},
                              Instant{milliseconds{3650}}};
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3449}}, 0, 0, true));
  CHECK(plan.may_exit(Instant{milliseconds{3450}}, 0, 0, true));
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3450}}, 1, 0, true));
  CHECK_FALSE(plan.may_exit(Instant{milliseconds{3450}}, 0, 1, true));
  // Closing takes 50 ms at most, and never as long as until SIGKILL may come.
  CHECK(plan.end_by(Instant{milliseconds{700}}) == Instant{milliseconds{750}});
  CHECK(plan.end_by(Instant{milliseconds{3650}}) < Instant{milliseconds{3700}});
}

// ---- two things due at once ----

/// Holds the router's loop still, as on a machine that is late. What comes at the end of that time comes
/// before all that is due by then.
void stall(Bench& bench, Duration time, const std::function<void()>& comes) {
  std::this_thread::sleep_for(time);
  comes();
  bench.loop.wheel.advance(Loop::now());
}

TEST_CASE("SIGTERM: what is in the accept queue, or unread in the kernel, when the end is due is answered") {
  for (const bool queued : {true, false}) {
    Bench bench;
    bench.list();
    bench.settle();
    int over = 0;
    bench.router->shut_down([&] { ++over; });
    bench.router->shut_down([&] { over += 100; });  // a second SIGTERM changes nothing
    asio::ip::tcp::socket plain(bench.loop.io);
    // The time in which callers still come is over, and nothing that the router has read is open.
    stall(bench, milliseconds{750}, [&] {
      if (queued) {
        plain.connect(bench.router->callers_at());
        asio::write(plain, asio::buffer(open_line(kA)));
      } else {
        bench.say(open_line(kA));
      }
    });
    CHECK(over == 0);
    bench.answer(bench.invited(kA), kA);
    const auto heard = [&] {
      return queued ? plain.available() > 0 : bench.caller->has("\"ready\",\"sid\":\"" + kA);
    };
    bench.until(heard);
    if (queued) {
      asio::write(plain, asio::buffer(close_line(kA)));
    } else {
      bench.say(close_line(kA));
    }
    bench.until([&] { return over == 1; });
  }
}

TEST_CASE("a silent connection is due to be closed, and a set-up has come on it: read and answered") {
  Bench bench;
  bench.list();
  asio::ip::tcp::socket plain(bench.loop.io);
  plain.connect(bench.router->callers_at());
  bench.until([&] { return bench.router->callers() == 2; });
  // More than 2.4 s without a word: the look that would close it runs before the set-up is read.
  stall(bench, milliseconds{2500}, [&] { asio::write(plain, asio::buffer(open_line(kA))); });
  bench.answer(bench.invited(kA), kA);
  bench.until([&] { return plain.available() > 0; });
  CHECK(bench.router->counters().established == 1);
}

TEST_CASE("at the bound of descriptors a connection in the middle of a set-up does not give way") {
  auto config = bench_config();
  config.sockets = 16;
  Bench bench({}, config);
  bench.list();
  bench.settle();
  auto half = bench.connect(bench.router->callers_at());
  const auto line = open_line(kA);
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
  bench.answer(bench.invited(kA), kA);
  bench.until([&] { return half->has("\"ready\",\"sid\":\"" + kA); });
}

TEST_CASE(
    "at the bound an answer that is not yet written goes with its connection, and its call is released") {
  auto config = roomy();
  config.sockets = 4;
  Bench bench({}, config);
  bench.list();
  bench.open(kB, 100'000);  // unanswered: that connection cannot give way
  bench.invited(kB);
  Unheard call(bench);
  auto newcomer = bench.connect(bench.router->callers_at());
  bench.until([&] { return bench.router->counters().evicted == 1; });
  bench.until([&] { return bench.server.count("BYE sip:") == 1; });
  CHECK(bench.router->counters().undelivered_answers == 1);
  CHECK(bench.router->table().established() == 0);
  CHECK(bench.router->table().unanswered() == 1);
}

TEST_CASE(
    "another server at the address of one that has gone: other links, and a stray release cuts nothing") {
  Bench bench;
  bench.list();
  auto& old = bench.standing(kA);
  bench.list(EndpointState::kRemoved);
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  bench.until([&] { return old.closed; });
  bench.router->apply(news_of("s2", bench.server.address));
  auto& fresh = bench.standing(kB);
  CHECK(&fresh != &old);
  // The one that has gone comes back to tell its release, after all, on the newcomer's link.
  fresh.stream->send(Bench::sip("BYE sip:77aa@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.router->counters().unknown_ids == 1; });
  bench.settle();
  CHECK(bench.caller->count("\"close\",\"sid\":\"" + kA) == 1);
  CHECK(bench.router->table().established() == 1);
}
