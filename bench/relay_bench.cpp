// Measures the overhead of the fleet relay: the round trip of one 512-byte message over a direct loopback
// connection, and through the relay without faults. Both ends and the relay run on one thread, as in the lab.
#include <benchmark/benchmark.h>

#include <array>

#include "lab/fleet/relay.hpp"

using namespace amberknot;
using namespace amberknot::lab::fleet;
using asio::ip::tcp;

namespace {

/// Sends a message to an echoing peer and waits until it is back, over the relay if `use_relay`.
void measure_round_trip(benchmark::State& state, bool use_relay) {
  asio::io_context io{1};
  RunContext scene{
      io,
      [] {
        return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
      },
      [](const lab::fleet::Event&) {}};
  RelayCounts counts;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  StreamRelay relay(scene, {}, "n0", "s0", acceptor.local_endpoint(), counts);
  tcp::socket client(io), server(io);
  bool accepted = false;
  acceptor.async_accept(server, [&](const asio::error_code&) { accepted = true; });
  client.connect(use_relay ? relay.listen_endpoint() : acceptor.local_endpoint());
  while (!accepted) io.run_one();
  client.set_option(tcp::no_delay(true));
  server.set_option(tcp::no_delay(true));
  std::array<char, 512> request{}, server_buffer{}, client_buffer{};
  for (auto _ : state) {
    bool is_echoed = false;
    asio::async_read(server, asio::buffer(server_buffer), [&](const asio::error_code&, std::size_t) {
      asio::async_write(server, asio::buffer(server_buffer), [](const asio::error_code&, std::size_t) {});
    });
    asio::async_read(client, asio::buffer(client_buffer),
                     [&](const asio::error_code&, std::size_t) { is_echoed = true; });
    asio::async_write(client, asio::buffer(request), [](const asio::error_code&, std::size_t) {});
    while (!is_echoed) io.run_one();
  }
}

void direct(benchmark::State& state) {
  measure_round_trip(state, false);
}
void through_the_relay(benchmark::State& state) {
  measure_round_trip(state, true);
}
BENCHMARK(direct);
BENCHMARK(through_the_relay);

}  // namespace

BENCHMARK_MAIN();
