#include "core/timer_wheel.hpp"

#include <algorithm>

namespace amberknot::core {

TimerWheel::Handle TimerWheel::schedule_at(Instant when, std::function<void()> callback) {
  // Rounded up, so that a timer that is due within a tick fires at the end of that tick.
  const std::int64_t tick = std::max(tick_of(when + kTick - Duration{1}), last_fired_tick_ + 1);
  const Handle handle = next_handle_++;
  slots_[static_cast<std::size_t>(tick) % kSlotCount].push_back({handle, tick});
  callbacks_.emplace(handle, std::move(callback));
  return handle;
}

void TimerWheel::cancel(Handle handle) {
  callbacks_.erase(handle);
}

void TimerWheel::advance(Instant now) {
  const std::int64_t last_due_tick = tick_of(now);
  while (last_fired_tick_ < last_due_tick) {
    const std::int64_t tick = ++last_fired_tick_;
    auto& slot = slots_[static_cast<std::size_t>(tick) % kSlotCount];
    if (slot.empty()) continue;
    // A callback may add a timer to this slot, so the entries are moved out before any callback runs.
    std::vector<Entry> entries;
    entries.swap(slot);
    std::vector<Handle> due;
    for (const auto& entry : entries) {
      if (entry.tick > tick) {
        slot.push_back(entry);
      } else {
        due.push_back(entry.handle);
      }
    }
    for (const Handle handle : due) {
      const auto found = callbacks_.find(handle);
      if (found == callbacks_.end()) continue;
      const auto callback = std::move(found->second);
      callbacks_.erase(found);
      callback();
    }
  }
}

}  // namespace amberknot::core
