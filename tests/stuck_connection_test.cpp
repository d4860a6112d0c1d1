// Guards against lost releases when the router gives up a connection to a session server that it considers
// stalled: the server may not notice for some time, and still sends messages on it for calls that were set up
// there.
#include <array>

#include "core/server_liveness.hpp"
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
  return RouterFixture::sip_message("SIP/2.0 200 OK", sid, "1 INVITE", "", "sdp");
}

/// A router with a server that answers on all its connections but one.
struct StalledConnectionFixture {
  StalledConnectionFixture() : acceptor(router_fixture.loop.io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
    discovery::EndpointUpdate update;
    update.has_endpoint_list = true;
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    update.changes.push_back({"s1", address, 0, EndpointState::kReady, 0});
    router_fixture.router->apply_endpoint_update(update);
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
    router_fixture.run_until([&] { return (found = with(invite_of(sid))) != nullptr; });
    return *found;
  }
  void establish(const std::string& sid, ServerConnection& connection) {
    connection.say(answer_to(sid));
    router_fixture.run_until(
        [&] { return router_fixture.caller->has_received("\"ready\",\"sid\":\"" + sid); });
  }
  /// Returns a connection with one established call that the router has given up because a later set-up on it
  /// was not answered; `unanswered` is the id of that set-up.
  ServerConnection& stalled_connection() {
    router_fixture.send_set_up(kEstablished);
    auto& established = invited(kEstablished);
    establish(kEstablished, established);
    while (unread == nullptr) {
      const auto sid = next_id();
      router_fixture.send_set_up(sid);
      auto& connection = invited(sid);
      if (&connection == &established) {
        unanswered = sid;
        unread = &established;
      } else {
        establish(sid, connection);
      }
    }
    const Instant sent_at = net::Loop::now();
    router_fixture.run_until([&] { return net::Loop::now() - sent_at > kSetUpGap; });
    connections_before_close = connections.size();
    const auto later = next_id();
    router_fixture.send_set_up(later);
    establish(later, invited(later));
    router_fixture.run_until([&] { return router_fixture.router->counters().stalled_connections == 1; });
    return established;
  }

  /// Opens as many connections as the router allows for one server, with no set-up in flight.
  void open_all_connections() {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < kMaxConnections; ++i) router_fixture.send_set_up(ids.emplace_back(next_id()));
    for (const auto& id : ids) invited(id);
    for (const auto& id : ids) establish(id, invited(id));
    REQUIRE(connections.size() == kMaxConnections);
  }

  std::string next_id() { return std::to_string(1'000'000'000'000'000 + ++id_count); }

  RouterFixture router_fixture;
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
  auto& router_fixture = fixture.router_fixture;
  auto& stalled_connection = fixture.stalled_connection();
  // The replacement connection opens before the release, so the server does not repeat the release there.
  router_fixture.run_until([&] { return fixture.connections.size() > fixture.connections_before_close; });
  router_fixture.wait_for_messages_in_transit();
  stalled_connection.say(RouterFixture::sip_message("BYE sip:router@net SIP/2.0", kEstablished, "2 BYE",
                                                    "Reason: Q.850;cause=16\r\n"));
  router_fixture.run_until(
      [&] { return router_fixture.caller->has_received("\"close\",\"sid\":\"" + kEstablished); });
  // The router sends nothing more on it: the server ends the set-ups on it when it reads the end.
  router_fixture.run_until([&] {
    stalled_connection.read();
    return stalled_connection.ended;
  });
  CHECK_FALSE(stalled_connection.has("SIP/2.0 200 OK\r\nCall-ID: " + kEstablished));
}

TEST_CASE("a late answer on a half-closed connection is released on another connection") {
  StalledConnectionFixture fixture;
  auto& router_fixture = fixture.router_fixture;
  auto& stalled_connection = fixture.stalled_connection();
  router_fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + fixture.unanswered +
                                  "\",\"attrs\":{},\"code\":16}\n");
  router_fixture.run_until([&] { return router_fixture.router->counters().abandoned == 1; });
  stalled_connection.say(answer_to(fixture.unanswered));
  router_fixture.run_until([&] { return router_fixture.router->counters().late_answers == 1; });
  router_fixture.run_until([&] {
    const auto* connection = fixture.with("BYE sip:");
    return connection != nullptr && connection->has("Call-ID: " + fixture.unanswered + "\r\nCSeq: 2 BYE");
  });
  CHECK_FALSE(router_fixture.caller->has_received("\"ready\",\"sid\":\"" + fixture.unanswered));
}

TEST_CASE("a release on a half-closed connection does not end the next attempt of the call") {
  StalledConnectionFixture fixture;
  auto& router_fixture = fixture.router_fixture;
  auto& stalled_connection = fixture.stalled_connection();
  const auto& call = fixture.unanswered;
  ServerConnection* next = nullptr;
  router_fixture.run_until(
      [&] { return (next = fixture.with("Call-ID: " + call + "\r\nCSeq: 2 INVITE")) != nullptr; });
  // The server answered and released the first attempt, and the router receives both only now.
  stalled_connection.say(answer_to(call) + RouterFixture::sip_message("BYE sip:router@net SIP/2.0", call,
                                                                      "2 BYE", "Reason: Q.850;cause=16\r\n"));
  router_fixture.run_until([&] { return router_fixture.router->counters().second_answers == 1; });
  router_fixture.wait_for_messages_in_transit();
  fixture.establish(call, *next);
  CHECK_FALSE(router_fixture.caller->has_received("\"close\",\"sid\":\"" + call));
}

// Messages on the half-closed connection are lost, and so is its end.
TEST_CASE("while the server keeps a half-closed connection open, another is opened for releases") {
  StalledConnectionFixture fixture;
  auto& router_fixture = fixture.router_fixture;
  SUBCASE("with room for another connection") {}
  SUBCASE("with the maximum number of connections: an idle one is closed to make room") {
    fixture.open_all_connections();
  }
  fixture.stalled_connection();
  router_fixture.run_until([&] { return fixture.connections.size() > fixture.connections_before_close; });
  router_fixture.wait_for_messages_in_transit();
  const auto count_before = fixture.connections.size();
  router_fixture.run_until([&] { return fixture.connections.size() > count_before; });
  fixture.connections.back()->say(RouterFixture::sip_message("BYE sip:router@net SIP/2.0", kEstablished,
                                                             "2 BYE", "Reason: Q.850;cause=16\r\n"));
  router_fixture.run_until(
      [&] { return router_fixture.caller->has_received("\"close\",\"sid\":\"" + kEstablished); });
}

// The new process has calls of other routers by the time of its first report, and the endpoint list says
// nothing.
TEST_CASE(
    "the calls of a server that was silent and returns restarted are released when it resets connections") {
  StalledConnectionFixture fixture;
  auto& router_fixture = fixture.router_fixture;
  router_fixture.send_set_up(kEstablished);
  auto& connection = fixture.invited(kEstablished);
  fixture.establish(kEstablished, connection);
  const auto reset_and_report = [&] {
    const auto count = fixture.connections.size();
    connection.socket.set_option(asio::socket_base::linger(true, 0));
    connection.socket.close();
    router_fixture.run_until([&] { return fixture.connections.size() > count; });
    fixture.connections.back()->say(RouterFixture::sip_message("NOTIFY sip:router@net SIP/2.0", "s1",
                                                               "1 NOTIFY", "X-Occupancy: x0:39;x1:40\r\n"));
    router_fixture.wait_for_messages_in_transit();
  };
  const auto is_released = [&] {
    return router_fixture.caller->has_received("\"close\",\"sid\":\"" + kEstablished);
  };
  SUBCASE("after a long silence") {
    const Instant silent_until = net::Loop::now() + core::ServerLiveness::kProbeDelay;
    router_fixture.run_until([&] { return net::Loop::now() > silent_until; });
    reset_and_report();
    CHECK(is_released());
  }
  SUBCASE("a reset by the network, of a server that has just sent something") {
    reset_and_report();
    CHECK_FALSE(is_released());
  }
}

// Other connections show that the server lives, and none of them brings the releases of this call.
TEST_CASE("a call on a silent connection is released within 8 s although its server talks on another one") {
  StalledConnectionFixture fixture;
  auto& router_fixture = fixture.router_fixture;
  router_fixture.run_until([&] { return fixture.connections.size() == 2; });
  const auto report = RouterFixture::sip_message("NOTIFY sip:router@net SIP/2.0", "s1", "1 NOTIFY",
                                                 "X-Occupancy: x0:39;x1:40\r\n");
  for (const auto& connection : fixture.connections) connection->say(report);
  router_fixture.send_set_up(kEstablished);
  auto& silent = fixture.invited(kEstablished);
  fixture.establish(kEstablished, silent);
  auto& talking = *fixture.connections[fixture.connections[0].get() == &silent ? 1 : 0];
  const Instant silent_since = net::Loop::now();
  Instant last_report{};
  const auto is_released = [&] {
    if (net::Loop::now() - last_report > milliseconds{100}) {
      talking.say(report);
      last_report = net::Loop::now();
    }
    return router_fixture.caller->has_received("\"close\",\"sid\":\"" + kEstablished);
  };
  router_fixture.run_until(
      [&] { return is_released() || net::Loop::now() - silent_since >= std::chrono::seconds{4}; });
  CHECK_FALSE(is_released());
  router_fixture.run_until(is_released);
  CHECK(net::Loop::now() - silent_since < std::chrono::seconds{8});
}
