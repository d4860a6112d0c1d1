// A timer wheel with a resolution of 5 ms: each slot holds the timers of one tick. A timer never fires early,
// and at most one tick late.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// Runs callbacks at given times. Not thread-safe.
class TimerWheel {
 public:
  using Handle = std::uint64_t;  ///< identifies a timer; zero identifies none
  /// The resolution: due times are rounded up to a multiple of this.
  static constexpr Duration kTick = std::chrono::milliseconds{5};

  explicit TimerWheel(Instant now) : slots_(kSlotCount), last_fired_tick_(tick_of(now)) {}

  /// Runs `callback` once, at `when`. A time in the past means the next tick.
  Handle schedule_at(Instant when, std::function<void()> callback);
  /// Cancels a timer. Has no effect once the timer has fired, or for a handle of zero.
  void cancel(Handle handle);
  /// Runs the callbacks of all timers that are due.
  void advance(Instant now);
  /// Number of pending timers.
  [[nodiscard]] std::size_t size() const { return callbacks_.size(); }

 private:
  static constexpr std::size_t kSlotCount = 2048;
  static std::int64_t tick_of(Instant when) { return when.time_since_epoch() / kTick; }

  struct Entry {
    Handle handle;
    std::int64_t tick;
  };
  std::vector<std::vector<Entry>> slots_;
  std::unordered_map<Handle, std::function<void()>> callbacks_;
  std::int64_t last_fired_tick_;  ///< the last tick whose timers have fired
  Handle next_handle_ = 1;
};

}  // namespace amberknot::core
