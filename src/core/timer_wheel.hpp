// Coarse timers: one slot a tick, one tick every 5 ms. A timer never fires early, and at most a tick late.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

class TimerWheel {
 public:
  using Handle = std::uint64_t;  ///< zero names no timer
  static constexpr Duration kTick = std::chrono::milliseconds{5};

  explicit TimerWheel(Instant now) : slots_(kSlots), ticks_(tick_of(now)) {}

  Handle at(Instant when, std::function<void()> what);
  /// Of no effect once the timer has fired or for a handle of zero.
  void cancel(Handle handle);
  /// Fires all that is due.
  void advance(Instant now);
  [[nodiscard]] std::size_t size() const { return what_.size(); }

 private:
  static constexpr std::size_t kSlots = 2048;
  static std::int64_t tick_of(Instant when) { return when.time_since_epoch() / kTick; }

  struct Entry {
    Handle handle;
    std::int64_t tick;
  };
  std::vector<std::vector<Entry>> slots_;
  std::unordered_map<Handle, std::function<void()>> what_;
  std::int64_t ticks_;  ///< the last tick that has been fired
  Handle next_ = 1;
};

}  // namespace amberknot::core
