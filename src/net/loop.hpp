// The one thread's loop: Asio's context, the clocks, the wheel's ticking and the bytes that wait to leave.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <unordered_set>

#include "core/timer_wheel.hpp"

namespace amberknot::net {

class TcpConnection;

/// What waits to be written, on all connections together.
struct Outgoing {
  std::size_t bytes = 0;
  std::size_t most = 4 * 1024 * 1024;
  std::size_t max_on_one = 256 * 1024;
  std::unordered_set<TcpConnection*> blocked;  ///< those whose other side does not read
};

class Loop {
 public:
  Loop() : wheel(now()), ticker_(io) { tick(); }

  /// Monotonic: for timers and the module.
  static Instant now() {
    return Instant{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
  }
  /// The clock that the outside speaks of.
  static std::int64_t unix_us() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  static std::int64_t unix_ms() { return unix_us() / 1000; }
  core::TimerWheel::Handle after(Duration wait, std::function<void()> what) {
    return wheel.at(now() + wait, std::move(what));
  }

  Outgoing outgoing;  ///< outlives every stream that a handler of `io` may hold
  asio::io_context io{1};
  core::TimerWheel wheel;

 private:
  void tick() {
    ticker_.expires_after(core::TimerWheel::kTick);
    ticker_.async_wait([this](const asio::error_code& error) {
      if (error) return;
      wheel.advance(now());
      tick();
    });
  }
  asio::steady_timer ticker_;
};

}  // namespace amberknot::net
