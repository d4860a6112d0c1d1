// The lab's session server on real connections. Guards against a release that is sent to the wrong router
// because a later connection has the memory address of the closed connection of the set-up.
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

constexpr Duration kHoldingTime = seconds{100};  // the test ends the calls by advancing the timer wheel
constexpr std::size_t kConnections = 8;          // number of addresses that later connections may reuse

/// A router's connection, which sends what the test asks for and stores what it receives.
struct RouterConnection {
  RouterConnection(asio::io_context& io, const tcp::endpoint& to) : socket(io) {
    socket.connect(to);
    read();
  }
  void read() {
    socket.async_read_some(asio::buffer(buffer), [this](const asio::error_code& error, std::size_t got) {
      if (error == asio::error::operation_aborted) return;
      received.append(buffer.data(), got);
      has_ended = bool(error);
      if (!has_ended) read();
    });
  }
  void send(const std::string& method, const std::string& router, const std::string& id) {
    asio::write(socket, asio::buffer(method + " sip:7@net SIP/2.0\r\nVia: SIP/2.0/TCP " + router +
                                     "\r\nCall-ID: " + id + "\r\nCSeq: 1 " + method +
                                     "\r\nContent-Length: 0\r\n\r\n"));
  }
  [[nodiscard]] bool has_received(const std::string& text) const {
    return received.find(text) != std::string::npos;
  }
  tcp::socket socket;
  std::array<char, 4096> buffer{};
  std::string received;
  bool has_ended = false;
};

struct SipServerFixture {
  void run_until(const std::function<bool()>& condition) {
    const auto limit = net::Loop::now() + seconds{10};
    while (!condition() && net::Loop::now() < limit) loop.io.run_one_for(milliseconds{10});
    REQUIRE(condition());
  }
  RouterConnection& connect(const tcp::endpoint& to, const std::string& router) {
    auto& connection = connections.emplace_back(loop.io, to);
    // An answer shows that the server has accepted the connection.
    connection.send("OPTIONS", router, "ping");
    run_until([&] { return connection.has_received("ping"); });
    return connection;
  }
  [[nodiscard]] std::size_t count(EventKind kind) const {
    return static_cast<std::size_t>(std::count_if(history.begin(), history.end(),
                                                  [kind](const Event& event) { return event.kind == kind; }));
  }

  net::Loop loop;
  History history;
  RunContext context{loop.io, [] { return net::Loop::now().time_since_epoch(); },
                     [this](Event event) { history.push_back(std::move(event)); }};
  std::list<RouterConnection> connections;
  SipServer server{
      loop, context, "s0", {.mean_answer_time = milliseconds{1}, .mean_call_time = kHoldingTime}, 1};
};

}  // namespace

// The connection of the set-up has closed, and a connection of another router may have its address in memory.
TEST_CASE("a release whose connection has closed is sent to its own router and to no other") {
  SipServerFixture fixture;
  const auto first = fixture.server.listen_for("n0");
  const auto second = fixture.server.listen_for("n1");
  std::vector<RouterConnection*> closed;
  for (std::size_t i = 0; i < kConnections; ++i) {
    auto& connection = fixture.connect(first, "n0");
    connection.send("INVITE", "n0", "call" + std::to_string(i));
    fixture.run_until([&] { return connection.has_received("1 INVITE"); });
    closed.push_back(&connection);
  }
  REQUIRE(fixture.count(EventKind::kAnswered) == kConnections);
  for (auto* connection : closed) {
    connection->socket.shutdown(tcp::socket::shutdown_send);
    fixture.run_until([&] { return connection->has_ended; });
  }
  std::vector<RouterConnection*> others;
  for (std::size_t i = 0; i < kConnections; ++i) others.push_back(&fixture.connect(second, "n1"));

  REQUIRE(fixture.count(EventKind::kHungUp) == 0);
  fixture.loop.timers.advance(net::Loop::now() + 2 * kHoldingTime);
  REQUIRE(fixture.count(EventKind::kHungUp) == kConnections);

  const auto& next = fixture.connect(first, "n0");
  for (std::size_t i = 0; i < kConnections; ++i) {
    CHECK(next.has_received("BYE sip:router@net SIP/2.0\r\nVia: SIP/2.0/TCP s0\r\nCall-ID: call" +
                            std::to_string(i)));
  }
  // Anything that the server sent to the others before arrives before this answer.
  for (auto* other : others) {
    other->send("OPTIONS", "n1", "last");
    fixture.run_until([&] { return other->has_received("last"); });
    CHECK_FALSE(other->has_received("BYE"));
  }
}

}  // namespace amberknot::lab::fleet
