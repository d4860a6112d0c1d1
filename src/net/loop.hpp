// The event loop of the single thread: the Asio context, the clocks, the timer wheel and the totals of queued
// output.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <unordered_set>

#include "core/timer_wheel.hpp"

namespace amberknot::net {

class TcpConnection;

/// Output queued on all connections together.
struct OutputTotals {
  std::size_t bytes = 0;                                   ///< queued now
  std::size_t max_bytes = 4 * 1024 * 1024;                 ///< limit in bytes for all connections together
  std::size_t max_bytes_per_connection = 256 * 1024;       ///< limit in bytes for one connection
  std::unordered_set<TcpConnection*> blocked_connections;  ///< connections whose peer does not read
};

/// Owns the event loop. All members are used on its thread only.
class Loop {
 public:
  Loop() : timers(now()), tick_timer_(io) { schedule_tick(); }

  /// Monotonic clock, for timers and the decision module.
  static Instant now() {
    return Instant{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
  }
  /// Wall clock in microseconds since the Unix epoch, for times exchanged with other processes.
  static std::int64_t unix_us() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  /// The same in milliseconds.
  static std::int64_t unix_ms() { return unix_us() / 1000; }
  /// Runs a handler on the loop after a delay. The result cancels the timer in `timers`.
  core::TimerWheel::Handle run_after(Duration delay, std::function<void()> handler) {
    return timers.schedule_at(now() + delay, std::move(handler));
  }

  OutputTotals
      output_totals;  ///< declared first, so that it outlives every connection that a handler of `io` owns
  asio::io_context io{1};
  core::TimerWheel timers;

 private:
  void schedule_tick() {
    tick_timer_.expires_after(core::TimerWheel::kTick);
    tick_timer_.async_wait([this](const asio::error_code& error) {
      if (error) return;
      timers.advance(now());
      schedule_tick();
    });
  }
  asio::steady_timer tick_timer_;
};

}  // namespace amberknot::net
