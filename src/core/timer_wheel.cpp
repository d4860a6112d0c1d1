#include "core/timer_wheel.hpp"

#include <algorithm>

namespace amberknot::core {

TimerWheel::Handle TimerWheel::at(Instant when, std::function<void()> what) {
  // Rounded up: what is due inside a tick fires at that tick's end.
  const std::int64_t tick = std::max(tick_of(when + kTick - Duration{1}), ticks_ + 1);
  const Handle handle = next_++;
  slots_[static_cast<std::size_t>(tick) % kSlots].push_back({handle, tick});
  what_.emplace(handle, std::move(what));
  return handle;
}

void TimerWheel::cancel(Handle handle) {
  what_.erase(handle);
}

void TimerWheel::advance(Instant now) {
  const std::int64_t until = tick_of(now);
  while (ticks_ < until) {
    const std::int64_t tick = ++ticks_;
    auto& slot = slots_[static_cast<std::size_t>(tick) % kSlots];
    if (slot.empty()) continue;
    // A timer that sets another one may grow this slot, so the entries are taken out first.
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
      const auto found = what_.find(handle);
      if (found == what_.end()) continue;
      const auto what = std::move(found->second);
      what_.erase(found);
      what();
    }
  }
}

}  // namespace amberknot::core
