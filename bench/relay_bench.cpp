// The fleet relay's own cost: one message there and back over a direct loopback connection, and through the
// relay without faults. Both ends and the relay run on one thread, as in the lab.
#include <benchmark/benchmark.h>

#include <array>

#include "lab/fleet/relay.hpp"

using namespace amberknot;
using namespace amberknot::lab::fleet;
using asio::ip::tcp;

namespace {

void there_and_back(benchmark::State& state, bool relayed) {
  asio::io_context io{1};
  Scene scene{
      io,
      [] {
        return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
      },
      [](const lab::fleet::Event&) {}};
  RelayCounts counts;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  StreamRelay relay(scene, {}, "n0", "s0", acceptor.local_endpoint(), counts);
  tcp::socket near(io), far(io);
  bool up = false;
  acceptor.async_accept(far, [&](const asio::error_code&) { up = true; });
  near.connect(relayed ? relay.where() : acceptor.local_endpoint());
  while (!up) io.run_one();
  near.set_option(tcp::no_delay(true));
  far.set_option(tcp::no_delay(true));
  std::array<char, 512> out{}, at_far{}, at_near{};
  for (auto _ : state) {
    bool back = false;
    asio::async_read(far, asio::buffer(at_far), [&](const asio::error_code&, std::size_t) {
      asio::async_write(far, asio::buffer(at_far), [](const asio::error_code&, std::size_t) {});
    });
    asio::async_read(near, asio::buffer(at_near), [&](const asio::error_code&, std::size_t) { back = true; });
    asio::async_write(near, asio::buffer(out), [](const asio::error_code&, std::size_t) {});
    while (!back) io.run_one();
  }
}

void direct(benchmark::State& state) {
  there_and_back(state, false);
}
void through_the_relay(benchmark::State& state) {
  there_and_back(state, true);
}
BENCHMARK(direct);
BENCHMARK(through_the_relay);

}  // namespace

BENCHMARK_MAIN();
