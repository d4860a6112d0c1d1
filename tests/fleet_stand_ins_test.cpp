// The fleet rig's stand-in session server on real connections: which router hears a release.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "lab/fleet/stand_ins.hpp"

namespace amberknot::lab::fleet {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHoldingTime = seconds{100};  // ends when the test says so
constexpr std::size_t kConnections = 8;          // as many addresses to be used again

/// A connection of a router's, which says what the test says and keeps what it hears.
struct RouterConnection {
  RouterConnection(asio::io_context& io, const tcp::endpoint& to) : socket(io) {
    socket.connect(to);
    read();
  }
  void read() {
    socket.async_read_some(asio::buffer(buffer), [this](const asio::error_code& error, std::size_t got) {
      if (error == asio::error::operation_aborted) return;
      heard.append(buffer.data(), got);
      ended = bool(error);
      if (!ended) read();
    });
  }
  void say(const std::string& method, const std::string& router, const std::string& id) {
    asio::write(socket, asio::buffer(method + " sip:7@net SIP/2.0\r\nVia: SIP/2.0/TCP " + router +
                                     "\r\nCall-ID: " + id + "\r\nCSeq: 1 " + method +
                                     "\r\nContent-Length: 0\r\n\r\n"));
  }
  [[nodiscard]] bool has_heard(const std::string& text) const {
    return heard.find(text) != std::string::npos;
  }
  tcp::socket socket;
  std::array<char, 4096> buffer{};
  std::string heard;
  bool ended = false;
};

struct SipServerFixture {
  void run_until(const std::function<bool()>& holds) {
    const auto limit = net::Loop::now() + seconds{10};
    while (!holds() && net::Loop::now() < limit) loop.io.run_one_for(milliseconds{10});
    REQUIRE(holds());
  }
  RouterConnection& connect(const tcp::endpoint& to, const std::string& router) {
    auto& connection = connections.emplace_back(loop.io, to);
    // An answer shows that the server has accepted it.
    connection.say("OPTIONS", router, "ping");
    run_until([&] { return connection.has_heard("ping"); });
    return connection;
  }
  [[nodiscard]] std::size_t count(What what) const {
    return static_cast<std::size_t>(
        std::count_if(history.begin(), history.end(), [what](const Event& one) { return one.what == what; }));
  }

  net::Loop loop;
  History history;
  Scene scene{loop.io, [] { return net::Loop::now().time_since_epoch(); },
              [this](Event event) { history.push_back(std::move(event)); }};
  std::list<RouterConnection> connections;
  SipServer server{loop, scene, "s0", {.work = milliseconds{1}, .hold = kHoldingTime}, 1};
};

}  // namespace

// The connection of the set-up has closed, and another router's is in its place in memory.
TEST_CASE("a release whose connection has closed is told to its own router and to no other") {
  SipServerFixture rig;
  const auto first = rig.server.listen_for("n0");
  const auto second = rig.server.listen_for("n1");
  std::vector<RouterConnection*> closed;
  for (std::size_t i = 0; i < kConnections; ++i) {
    auto& connection = rig.connect(first, "n0");
    connection.say("INVITE", "n0", "call" + std::to_string(i));
    rig.run_until([&] { return connection.has_heard("1 INVITE"); });
    closed.push_back(&connection);
  }
  REQUIRE(rig.count(What::kAnswered) == kConnections);
  for (auto* connection : closed) {
    connection->socket.shutdown(tcp::socket::shutdown_send);
    rig.run_until([&] { return connection->ended; });
  }
  std::vector<RouterConnection*> others;
  for (std::size_t i = 0; i < kConnections; ++i) others.push_back(&rig.connect(second, "n1"));

  REQUIRE(rig.count(What::kHungUp) == 0);
  rig.loop.wheel.advance(net::Loop::now() + 2 * kHoldingTime);
  REQUIRE(rig.count(What::kHungUp) == kConnections);

  const auto& next = rig.connect(first, "n0");
  for (std::size_t i = 0; i < kConnections; ++i) {
    CHECK(next.has_heard("BYE sip:router@net SIP/2.0\r\nVia: SIP/2.0/TCP s0\r\nCall-ID: call" +
                         std::to_string(i)));
  }
  // What the server told the others left before what they hear now.
  for (auto* other : others) {
    other->say("OPTIONS", "n1", "last");
    rig.run_until([&] { return other->has_heard("last"); });
    CHECK_FALSE(other->has_heard("BYE"));
  }
}

}  // namespace amberknot::lab::fleet
