// Fixture for the tests with real sockets: a router on loopback and stand-ins for its peers. Everything runs
// in one event loop; a test states the condition it waits for, not a time.
#pragma once

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "app/router.hpp"

namespace amberknot::tests {

using net::Loop;
using std::chrono::milliseconds;

/// One end of a connection, controlled by the test: keeps what it received and sends what the test passes.
struct TestConnection : net::TcpConnection::EventHandler {
  explicit TestConnection(Loop& loop)
      : loop(loop), stream(std::make_shared<net::TcpConnection>(loop, *this)) {}
  ~TestConnection() override { stream->close(); }
  std::size_t on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) override {
    received.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_closed(net::TcpConnection& /*stream*/, net::CloseReason reason) override {
    closed = true;
    close_reason = reason;
  }
  /// Closes the connection with a TCP reset.
  void reset() {
    stream->reset();
    closed = true;
  }
  /// Whether the text was received.
  [[nodiscard]] bool has_received(std::string_view text) const {
    return received.find(text) != std::string::npos;
  }
  /// How often the text was received.
  [[nodiscard]] std::size_t count(std::string_view text) const {
    std::size_t found = 0;
    for (auto at = received.find(text); at != std::string::npos; at = received.find(text, at + 1)) ++found;
    return found;
  }
  Loop& loop;
  std::shared_ptr<net::TcpConnection> stream;
  std::string received;  ///< received and not taken out by the test
  bool closed = false;
  net::CloseReason close_reason = net::CloseReason::kClosedByPeer;
};

/// Listening socket of a stand-in; keeps every connection that it accepts.
struct StandInListener {
  explicit StandInListener(Loop& loop, std::uint16_t port = 0)
      : loop(loop),
        acceptor(loop.io, {asio::ip::make_address("127.0.0.1"), port}),
        address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())) {
    accept();
  }
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      connections.push_back(make_connection ? make_connection() : std::make_unique<TestConnection>(loop));
      connections.back()->stream->start_accepted(std::move(socket));
      accept();
    });
  }
  /// Simulates the end of the process: stops to listen and closes every connection.
  void stop() {
    acceptor.close();
    connections.clear();
  }
  /// Returns the first connection that received the text, or null.
  TestConnection* find_connection_with(std::string_view text) {
    for (auto& end : connections) {
      if (end->has_received(text)) return end.get();
    }
    return nullptr;
  }
  /// How often the text was received on all connections together.
  [[nodiscard]] std::size_t count(std::string_view text) const {
    std::size_t found = 0;
    for (const auto& end : connections) found += end->count(text);
    return found;
  }
  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  std::string address;  ///< host:port; stays valid after stop()
  std::vector<std::unique_ptr<TestConnection>> connections;
  std::function<std::unique_ptr<TestConnection>()>
      make_connection;  ///< creates the connections, if a test needs a subclass of TestConnection
};

/// Returns a configuration with two classes, one tenant and one router.
inline app::Config router_config() {
  app::Config config;
  config.name = "n0";
  config.listen = {asio::ip::make_address("127.0.0.1"), 0};
  config.connect_timeout = milliseconds{500};
  config.names = {{"voice", "data"}, {"acme"}};
  auto& settings = config.settings;
  settings.seed = 1;
  settings.peer_count = 1;
  settings.batch_interval = milliseconds{1};
  settings.retransmit_interval = milliseconds{400};
  settings.classes.resize(2);
  for (auto& cls : settings.classes) {
    cls.latency_objective = milliseconds{1200};
    cls.deadline = milliseconds{3000};
    cls.priority_weight = 1;
    cls.idempotent = true;
  }
  settings.tenants.resize(1);
  settings.limits.max_attempts = 4;
  settings.limits.may_cancel = true;
  settings.limits.may_check_health = true;
  settings.limits.may_advise_retry = true;
  settings.limits.max_retry_after = milliseconds{2000};
  settings.invariants = {milliseconds{20},  milliseconds{500}, 3.0, milliseconds{3000}, 0.3,
                         milliseconds{100}, milliseconds{500}};
  return config;
}

/// A router with one SIP server, the command channel and one caller, which are stand-ins.
struct RouterFixture {
  explicit RouterFixture(const app::OperatorFile& setup = {}, const app::Config& base = router_config())
      : server(loop), command_channel(loop), config(base) {
    config.command_channel = command_channel.acceptor.local_endpoint();
    router = std::make_unique<app::Router>(loop, config, setup);
    caller = connect(router->callers_endpoint());
  }

  /// Runs the loop until the condition holds; fails the test if it does not hold within five seconds.
  void run_until(const std::function<bool()>& holds) {
    const Instant limit = Loop::now() + std::chrono::seconds{5};
    bool held = holds();
    while (!held && Loop::now() < limit) {
      loop.io.run_one_for(milliseconds{10});
      held = holds();
    }
    REQUIRE(held);
  }
  /// Waits until messages in transit have arrived: two health checks over the connection of the caller, each
  /// after all that was sent before.
  void wait_for_messages_in_transit() {
    for (int i = 0; i < 2; ++i) {
      const auto count_before = caller->count("\"probed\"");
      send_from_caller("{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n");
      run_until([&] { return caller->count("\"probed\"") > count_before; });
    }
  }
  /// Opens another connection; the result may not be open yet.
  std::unique_ptr<TestConnection> connect(const asio::ip::tcp::endpoint& to) {
    auto end = std::make_unique<TestConnection>(loop);
    end->stream->connect(to, milliseconds{500});
    return end;
  }
  /// Applies an update of the endpoint list with the stand-in server. `started`: milliseconds since the Unix
  /// epoch.
  void announce_server(EndpointState state = EndpointState::kReady, std::int64_t started = 0,
                       const std::string& name = "s1") {
    discovery::EndpointUpdate update;
    update.has_endpoint_list = true;
    update.changes.push_back({name, server.address, 0, state, started});
    router->apply_endpoint_update(update);
  }
  /// Sends text on the connection of the caller.
  void send_from_caller(const std::string& text) { caller->stream->send(text); }
  /// Sends a set-up from the caller; `left` is its remaining time in milliseconds.
  void send_set_up(const std::string& sid, int left = 2000, const std::string& text = "desc") {
    send_from_caller(
        "{\"msg\":\"open\",\"sid\":\"" + sid + "\",\"attrs\":{\"class\":\"voice\",\"left\":\"" +
        std::to_string(left) +
        "\",\"tenant\":\"acme\",\"key\":\"77aa\",\"extras\":\"dest:0;width:1;via:-1\"},\"text\":\"" + text +
        "\"}\n");
  }
  /// Waits for the first INVITE of a call and returns the connection on which the server received it.
  TestConnection& wait_for_invite(const std::string& sid) {
    const auto text = "Call-ID: " + sid + "\r\nCSeq: 1 INVITE";
    run_until([&] { return server.find_connection_with(text) != nullptr; });
    return *server.find_connection_with(text);
  }
  /// Returns a SIP message; `more` holds further complete header lines.
  static std::string sip_message(const std::string& first, const std::string& sid, const std::string& cseq,
                                 const std::string& more = "", const std::string& body = "") {
    return first + "\r\nCall-ID: " + sid + "\r\nCSeq: " + cseq + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  /// Sends a 200 answer to the INVITE of a call.
  void answer(TestConnection& end, const std::string& sid, const std::string& body = "sdp") {
    end.stream->send(sip_message("SIP/2.0 200 OK", sid, "1 INVITE", "", body));
  }
  /// Establishes a call and returns the connection of the server that carries it.
  TestConnection& establish_call(const std::string& sid) {
    send_set_up(sid);
    auto& end = wait_for_invite(sid);
    answer(end, sid);
    run_until([&] { return caller->has_received("\"ready\",\"sid\":\"" + sid); });
    return end;
  }

  Loop loop;
  StandInListener server, command_channel;
  app::Config config;
  std::unique_ptr<app::Router> router;
  std::unique_ptr<TestConnection> caller;
};

}  // namespace amberknot::tests
