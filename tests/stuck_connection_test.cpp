// A connection to a session server that passes for stuck is ended by the router while its server does not
// know of that yet, and goes on telling by it what concerns the calls that came by it.
#include <array>

#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {

const std::string kEstablished = "00000000000000a1";
constexpr std::size_t kMaxConnections = 4;
// A set-up sent so much later and answered shows that the connection of the earlier one is stuck.
constexpr Duration kSentLater = milliseconds{80};

/// A connection of the server's, read only when the test says so: until then its end is not seen.
struct ServerConnection {
  explicit ServerConnection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {
    socket.non_blocking(true);
  }
  void read() {
    std::array<char, 4096> buffer{};
    asio::error_code error;
    while (!error) in.append(buffer.data(), socket.read_some(asio::buffer(buffer), error));
    ended = error != asio::error::would_block;
  }
  void say(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  [[nodiscard]] bool has(const std::string& text) const { return in.find(text) != std::string::npos; }
  asio::ip::tcp::socket socket;
  std::string in;
  bool ended = false;
};

std::string invite_of(const std::string& sid) {
  return "Call-ID: " + sid + "\r\nCSeq: 1 INVITE";
}

std::string answer_to(const std::string& sid) {
  return Bench::sip("SIP/2.0 200 OK", sid, "1 INVITE", "", "sdp");
}

/// A router whose server answers on all its connections but one.
struct StuckConnectionFixture {
  StuckConnectionFixture() : acceptor(bench.loop.io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
    discovery::EndpointUpdate news;
    news.has_servers = true;
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    news.changes.push_back({"s1", address, 0, EndpointState::kReady, 0});
    bench.router->apply(news);
  }
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      connections.push_back(std::make_unique<ServerConnection>(std::move(socket)));
      accept();
    });
  }
  /// The connection that carries the text; null: none does.
  ServerConnection* with(const std::string& text) {
    for (const auto& one : connections) {
      if (one.get() != unread) one->read();
      if (one->has(text)) return one.get();
    }
    return nullptr;
  }
  ServerConnection& invited(const std::string& sid) {
    ServerConnection* found = nullptr;
    bench.until([&] { return (found = with(invite_of(sid))) != nullptr; });
    return *found;
  }
  void stand(const std::string& sid, ServerConnection& by) {
    by.say(answer_to(sid));
    bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + sid); });
  }
  /// One call stands that came by the returned connection, and the router has given that connection up since
  /// a later set-up on it was not answered; `unanswered` is that set-up.
  ServerConnection& stuck() {
    bench.open(kEstablished);
    auto& one = invited(kEstablished);
    stand(kEstablished, one);
    while (unread == nullptr) {
      const auto sid = next_id();
      bench.open(sid);
      auto& by = invited(sid);
      if (&by == &one) {
        unanswered = sid;
        unread = &one;
      } else {
        stand(sid, by);
      }
    }
    const Instant sent = net::Loop::now();
    bench.until([&] { return net::Loop::now() - sent > kSentLater; });
    before_cut = connections.size();
    const auto later = next_id();
    bench.open(later);
    stand(later, invited(later));
    bench.until([&] { return bench.router->counters().stalled_connections == 1; });
    return one;
  }

  /// As many connections as the router opens to one server, with nothing out.
  void open_all() {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < kMaxConnections; ++i) bench.open(ids.emplace_back(next_id()));
    for (const auto& id : ids) invited(id);
    for (const auto& id : ids) stand(id, invited(id));
    REQUIRE(connections.size() == kMaxConnections);
  }

  std::string next_id() { return std::to_string(1'000'000'000'000'000 + ++made); }

  Bench bench;
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::unique_ptr<ServerConnection>> connections;
  ServerConnection* unread = nullptr;
  std::string unanswered;
  std::size_t before_cut = 0;
  int made = 0;
};

}  // namespace

TEST_CASE("a release told by a connection that was given up, before its server knows of that, is heard") {
  StuckConnectionFixture fixture;
  auto& bench = fixture.bench;
  auto& stuck = fixture.stuck();
  // The connection that takes its place opens before the release, which is not told there again.
  bench.until([&] { return fixture.connections.size() > fixture.before_cut; });
  bench.settle();
  stuck.say(Bench::sip("BYE sip:router@net SIP/2.0", kEstablished, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kEstablished); });
  // Nothing more came by it: what was out on it is over for the server as soon as it reads the end.
  bench.until([&] {
    stuck.read();
    return stuck.ended;
  });
  CHECK_FALSE(stuck.has("SIP/2.0 200 OK\r\nCall-ID: " + kEstablished));
}

TEST_CASE("an answer by a connection that was given up stands for nobody: it is released by another one") {
  StuckConnectionFixture fixture;
  auto& bench = fixture.bench;
  auto& stuck = fixture.stuck();
  bench.say("{\"msg\":\"close\",\"sid\":\"" + fixture.unanswered + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return bench.router->counters().abandoned == 1; });
  stuck.say(answer_to(fixture.unanswered));
  bench.until([&] { return bench.router->counters().late_answers == 1; });
  bench.until([&] {
    const auto* by = fixture.with("BYE sip:");
    return by != nullptr && by->has("Call-ID: " + fixture.unanswered + "\r\nCSeq: 2 BYE");
  });
  CHECK_FALSE(bench.caller->has("\"ready\",\"sid\":\"" + fixture.unanswered));
}

TEST_CASE("a release by a connection that was given up does not end the call's next attempt") {
  StuckConnectionFixture fixture;
  auto& bench = fixture.bench;
  auto& stuck = fixture.stuck();
  const auto& call = fixture.unanswered;
  ServerConnection* next = nullptr;
  bench.until([&] { return (next = fixture.with("Call-ID: " + call + "\r\nCSeq: 2 INVITE")) != nullptr; });
  // The first attempt was answered and came to its end, which the router hears now.
  stuck.say(answer_to(call) +
            Bench::sip("BYE sip:router@net SIP/2.0", call, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.router->counters().second_answers == 1; });
  bench.settle();
  fixture.stand(call, *next);
  CHECK_FALSE(bench.caller->has("\"close\",\"sid\":\"" + call));
}

// What is told by the connection that was given up is lost on its way, and so is its end.
TEST_CASE("while a server does not close what was given up, another one is opened on which it tells again") {
  StuckConnectionFixture fixture;
  auto& bench = fixture.bench;
  SUBCASE("with room for another connection") {}
  SUBCASE("with as many connections as a server takes: one that carries nothing makes room") {
    fixture.open_all();
  }
  fixture.stuck();
  bench.until([&] { return fixture.connections.size() > fixture.before_cut; });
  bench.settle();
  const auto replaced = fixture.connections.size();
  bench.until([&] { return fixture.connections.size() > replaced; });
  fixture.connections.back()->say(
      Bench::sip("BYE sip:router@net SIP/2.0", kEstablished, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kEstablished); });
}
