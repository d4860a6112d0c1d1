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
struct End : net::TcpConnection::Owner {
  explicit End(Loop& loop) : loop(loop), stream(std::make_shared<net::TcpConnection>(loop, *this)) {}
  ~End() override { stream->close(); }
  std::size_t on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) override {
    in.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_closed(net::TcpConnection& /*stream*/, net::CloseReason reason) override {
    closed = true;
    why = reason;
  }
  /// Closes the connection with a TCP reset.
  void reset() {
    stream->reset();
    closed = true;
  }
  /// Whether the text was received.
  [[nodiscard]] bool has(std::string_view text) const { return in.find(text) != std::string::npos; }
  /// How often the text was received.
  [[nodiscard]] std::size_t count(std::string_view text) const {
    std::size_t found = 0;
    for (auto at = in.find(text); at != std::string::npos; at = in.find(text, at + 1)) ++found;
    return found;
  }
  Loop& loop;
  std::shared_ptr<net::TcpConnection> stream;
  std::string in;  ///< received and not taken out by the test
  bool closed = false;
  net::CloseReason why = net::CloseReason::kEnded;
};

/// Listening socket of a stand-in; keeps every connection that it accepts.
struct Listener {
  explicit Listener(Loop& loop, std::uint16_t port = 0)
      : loop(loop),
        acceptor(loop.io, {asio::ip::make_address("127.0.0.1"), port}),
        address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())) {
    accept();
  }
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      ends.push_back(make ? make() : std::make_unique<End>(loop));
      ends.back()->stream->adopt(std::move(socket));
      accept();
    });
  }
  /// Simulates the end of the process: stops to listen and closes every connection.
  void die() {
    acceptor.close();
    ends.clear();
  }
  /// Returns the first end that received the text, or null.
  End* with(std::string_view text) {
    for (auto& end : ends) {
      if (end->has(text)) return end.get();
    }
    return nullptr;
  }
  /// How often the text was received on all ends together.
  [[nodiscard]] std::size_t count(std::string_view text) const {
    std::size_t found = 0;
    for (const auto& end : ends) found += end->count(text);
    return found;
  }
  Loop& loop;
  asio::ip::tcp::acceptor acceptor;
  std::string address;  ///< host:port; stays valid after die()
  std::vector<std::unique_ptr<End>> ends;
  std::function<std::unique_ptr<End>()> make;  ///< creates the ends, if a test needs a subclass of End
};

/// Returns a configuration with two classes, one tenant and one router.
inline app::Config bench_config() {
  app::Config config;
  config.name = "n0";
  config.listen = {asio::ip::make_address("127.0.0.1"), 0};
  config.connect_limit = milliseconds{500};
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
  settings.limits.max_tries = 4;
  settings.limits.cancel = true;
  settings.limits.probes = true;
  settings.limits.retry_advice = true;
  settings.limits.max_retry_advice = milliseconds{2000};
  settings.invariants = {milliseconds{20},  milliseconds{500}, 3.0, milliseconds{3000}, 0.3,
                         milliseconds{100}, milliseconds{500}};
  return config;
}

/// A router with one SIP server, the command channel and one caller, which are stand-ins.
struct Bench {
  explicit Bench(const app::OperatorFile& setup = {}, const app::Config& base = bench_config())
      : server(loop), channel(loop), config(base) {
    config.channel = channel.acceptor.local_endpoint();
    router = std::make_unique<app::Router>(loop, config, setup);
    caller = connect(router->callers_at());
  }

  /// Runs the loop until the condition holds; fails the test if it does not hold within five seconds.
  void until(const std::function<bool()>& holds) {
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
  void settle() {
    for (int i = 0; i < 2; ++i) {
      const auto count_before = caller->count("\"probed\"");
      say("{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n");
      until([&] { return caller->count("\"probed\"") > count_before; });
    }
  }
  /// Opens another connection; the result may not be open yet.
  std::unique_ptr<End> connect(const asio::ip::tcp::endpoint& to) {
    auto end = std::make_unique<End>(loop);
    end->stream->connect(to, milliseconds{500});
    return end;
  }
  /// Applies an update of the endpoint list with the stand-in server. `started`: milliseconds since the Unix
  /// epoch.
  void list(EndpointState state = EndpointState::kReady, std::int64_t started = 0,
            const std::string& name = "s1") {
    discovery::EndpointUpdate update;
    update.has_servers = true;
    update.changes.push_back({name, server.address, 0, state, started});
    router->apply(update);
  }
  /// Sends text on the connection of the caller.
  void say(const std::string& text) { caller->stream->send(text); }
  /// Sends a set-up from the caller; `left` is its remaining time in milliseconds.
  void open(const std::string& sid, int left = 2000, const std::string& text = "desc") {
    say("{\"msg\":\"open\",\"sid\":\"" + sid + "\",\"attrs\":{\"class\":\"voice\",\"left\":\"" +
        std::to_string(left) +
        "\",\"tenant\":\"acme\",\"key\":\"77aa\",\"extras\":\"dest:0;width:1;via:-1\"},\"text\":\"" + text +
        "\"}\n");
  }
  /// Waits for the first INVITE of a call and returns the server's end that received it.
  End& invited(const std::string& sid) {
    const auto text = "Call-ID: " + sid + "\r\nCSeq: 1 INVITE";
    until([&] { return server.with(text) != nullptr; });
    return *server.with(text);
  }
  /// Returns a SIP message; `more` holds further complete header lines.
  static std::string sip(const std::string& first, const std::string& sid, const std::string& cseq,
                         const std::string& more = "", const std::string& body = "") {
    return first + "\r\nCall-ID: " + sid + "\r\nCSeq: " + cseq + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  /// Sends a 200 answer to the INVITE of a call.
  void answer(End& end, const std::string& sid, const std::string& body = "sdp") {
    end.stream->send(sip("SIP/2.0 200 OK", sid, "1 INVITE", "", body));
  }
  /// Establishes a call and returns the end of the server that carries it.
  End& standing(const std::string& sid) {
    open(sid);
    auto& end = invited(sid);
    answer(end, sid);
    until([&] { return caller->has("\"ready\",\"sid\":\"" + sid); });
    return end;
  }

  Loop loop;
  Listener server, channel;
  app::Config config;
  std::unique_ptr<app::Router> router;
  std::unique_ptr<End> caller;
};

}  // namespace amberknot::tests
