// Guards against lost releases when the router gives up a connection to a session server that it considers
// stalled: the server may not notice for some time, and still sends messages on it for calls that were set up
// there.
#include <array>

#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {

const std::string kEstablished = "00000000000000a1";
constexpr std::size_t kMaxConnections = 4;
// A set-up that is sent this much later and answered shows that the connection of the earlier one is stalled.
constexpr Duration kSetUpGap = milliseconds{80};

/// An accepted connection of the server, which is read only when the test says so; until then its end is not
/// noticed.
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

/// A router with a server that answers on all its connections but one.
struct StalledConnectionFixture {
  StalledConnectionFixture() : acceptor(bench.loop.io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
    discovery::EndpointUpdate update;
    update.has_servers = true;
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    update.changes.push_back({"s1", address, 0, EndpointState::kReady, 0});
    bench.router->apply(update);
  }
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      connections.push_back(std::make_unique<ServerConnection>(std::move(socket)));
      accept();
    });
  }
  /// Returns the connection that received the text, or null.
  ServerConnection* with(const std::string& text) {
    for (const auto& connection : connections) {
      if (connection.get() != unread) connection->read();
      if (connection->has(text)) return connection.get();
    }
    return nullptr;
  }
  ServerConnection& invited(const std::string& sid) {
    ServerConnection* found = nullptr;
    bench.until([&] { return (found = with(invite_of(sid))) != nullptr; });
    return *found;
  }
  void establish(const std::string& sid, ServerConnection& connection) {
    connection.say(answer_to(sid));
    bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + sid); });
  }
  /// Returns a connection with one established call that the router has given up because a later set-up on it
  /// was not answered; `unanswered` is the id of that set-up.
  ServerConnection& stalled_connection() {
    bench.open(kEstablished);
    auto& established = invited(kEstablished);
    establish(kEstablished, established);
    while (unread == nullptr) {
      const auto sid = next_id();
      bench.open(sid);
      auto& connection = invited(sid);
      if (&connection == &established) {
        unanswered = sid;
        unread = &established;
      } else {
        establish(sid, connection);
      }
    }
    const Instant sent_at = net::Loop::now();
    bench.until([&] { return net::Loop::now() - sent_at > kSetUpGap; });
    connections_before_close = connections.size();
    const auto later = next_id();
    bench.open(later);
    establish(later, invited(later));
    bench.until([&] { return bench.router->counters().stalled_connections == 1; });
    return established;
  }

  /// Opens as many connections as the router allows for one server, with no set-up in flight.
  void open_all_connections() {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < kMaxConnections; ++i) bench.open(ids.emplace_back(next_id()));
    for (const auto& id : ids) invited(id);
    for (const auto& id : ids) establish(id, invited(id));
    REQUIRE(connections.size() == kMaxConnections);
  }

  std::string next_id() { return std::to_string(1'000'000'000'000'000 + ++id_count); }

  Bench bench;
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::unique_ptr<ServerConnection>> connections;
  ServerConnection* unread = nullptr;
  std::string unanswered;
  std::size_t connections_before_close = 0;
  int id_count = 0;
};

}  // namespace

TEST_CASE("a release on a half-closed connection is handled if the server has not noticed the half-close") {
  StalledConnectionFixture fixture;
  auto& bench = fixture.bench;
  auto& stalled_connection = fixture.stalled_connection();
  // The replacement connection opens before the release, so the server does not repeat the release there.
  bench.until([&] { return fixture.connections.size() > fixture.connections_before_close; });
  bench.settle();
  stalled_connection.say(
      Bench::sip("BYE sip:router@net SIP/2.0", kEstablished, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kEstablished); });
  // The router sends nothing more on it: the server ends the set-ups on it when it reads the end.
  bench.until([&] {
    stalled_connection.read();
    return stalled_connection.ended;
  });
  CHECK_FALSE(stalled_connection.has("SIP/2.0 200 OK\r\nCall-ID: " + kEstablished));
}

TEST_CASE("a late answer on a half-closed connection is released on another connection") {
  StalledConnectionFixture fixture;
  auto& bench = fixture.bench;
  auto& stalled_connection = fixture.stalled_connection();
  bench.say("{\"msg\":\"close\",\"sid\":\"" + fixture.unanswered + "\",\"attrs\":{},\"code\":16}\n");
  bench.until([&] { return bench.router->counters().abandoned == 1; });
  stalled_connection.say(answer_to(fixture.unanswered));
  bench.until([&] { return bench.router->counters().late_answers == 1; });
  bench.until([&] {
    const auto* connection = fixture.with("BYE sip:");
    return connection != nullptr && connection->has("Call-ID: " + fixture.unanswered + "\r\nCSeq: 2 BYE");
  });
  CHECK_FALSE(bench.caller->has("\"ready\",\"sid\":\"" + fixture.unanswered));
}

TEST_CASE("a release on a half-closed connection does not end the next attempt of the call") {
  StalledConnectionFixture fixture;
  auto& bench = fixture.bench;
  auto& stalled_connection = fixture.stalled_connection();
  const auto& call = fixture.unanswered;
  ServerConnection* next = nullptr;
  bench.until([&] { return (next = fixture.with("Call-ID: " + call + "\r\nCSeq: 2 INVITE")) != nullptr; });
  // The server answered and released the first attempt, and the router receives both only now.
  stalled_connection.say(answer_to(call) + Bench::sip("BYE sip:router@net SIP/2.0", call, "2 BYE",
                                                      "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.router->counters().second_answers == 1; });
  bench.settle();
  fixture.establish(call, *next);
  CHECK_FALSE(bench.caller->has("\"close\",\"sid\":\"" + call));
}

// Messages on the half-closed connection are lost, and so is its end.
TEST_CASE("while the server keeps a half-closed connection open, another is opened for releases") {
  StalledConnectionFixture fixture;
  auto& bench = fixture.bench;
  SUBCASE("with room for another connection") {}
  SUBCASE("with the maximum number of connections: an idle one is closed to make room") {
    fixture.open_all_connections();
  }
  fixture.stalled_connection();
  bench.until([&] { return fixture.connections.size() > fixture.connections_before_close; });
  bench.settle();
  const auto count_before = fixture.connections.size();
  bench.until([&] { return fixture.connections.size() > count_before; });
  fixture.connections.back()->say(
      Bench::sip("BYE sip:router@net SIP/2.0", kEstablished, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kEstablished); });
}
