#include "translate/duplicates.hpp"

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace amberknot::translate {

RequestKey request_key(std::uint64_t seed, std::string_view acquirer, std::string_view terminal,
                       std::string_view trace, std::string_view local_time) {
  XXH3_state_t state;
  XXH3_INITSTATE(&state);
  XXH3_128bits_reset_withSeed(&state, seed);
  for (const auto part : {acquirer, terminal, trace, local_time}) {
    // With its length in front, "12" and "3" are not "1" and "23".
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const auto hash = XXH3_128bits_digest(&state);
  return {hash.high64, hash.low64};
}

DuplicateIndex::DuplicateIndex(Instant now, DuplicateRules rules) : rules_(rules), wheel_(kWheel, kNone) {
  // The longest life goes round the wheel once.
  tick_ = std::max<Duration>(std::max(rules_.open, rules_.over) / static_cast<std::int64_t>(kWheel - 2),
                             Duration{1});
  // Half of the bytes are for the slots, which are a power of two and three quarters full at most; half for
  // answers.
  const std::size_t slots = std::max<std::size_t>(16, std::bit_floor(rules_.max_bytes / 2 / sizeof(Slot)));
  slots_.resize(slots);
  most_ = slots / 4 * 3;
  ticks_ = tick_of(now);
}

std::uint32_t DuplicateIndex::find(const RequestKey& key) const {
  for (std::uint32_t at = home(key); slots_[at].used; at = (at + 1) & (slots_.size() - 1)) {
    if (slots_[at].key == key) return at;
  }
  return kNone;
}

// ---- the two lists: what is due in a tick, and what is over, oldest first ---------------------------------

void DuplicateIndex::schedule(std::uint32_t at, Instant due) {
  auto& slot = slots_[at];
  // Rounded up: nothing is forgotten early.
  slot.due = std::max(tick_of(due + tick_ - Duration{1}), ticks_ + 1);
  auto& head = wheel_[static_cast<std::size_t>(slot.due) % kWheel];
  slot.before = kNone;
  slot.next = head;
  if (head != kNone) slots_[head].before = at;
  head = at;
}

void DuplicateIndex::unschedule(std::uint32_t at) {
  auto& slot = slots_[at];
  if (slot.before != kNone) {
    slots_[slot.before].next = slot.next;
  } else {
    wheel_[static_cast<std::size_t>(slot.due) % kWheel] = slot.next;
  }
  if (slot.next != kNone) slots_[slot.next].before = slot.before;
}

void DuplicateIndex::join_over(std::uint32_t at) {
  auto& slot = slots_[at];
  slot.older = newest_;
  slot.newer = kNone;
  (newest_ != kNone ? slots_[newest_].newer : oldest_) = at;
  newest_ = at;
}

void DuplicateIndex::leave_over(std::uint32_t at) {
  auto& slot = slots_[at];
  if (slot.state == RequestState::kOpen) return;
  (slot.older != kNone ? slots_[slot.older].newer : oldest_) = slot.newer;
  (slot.newer != kNone ? slots_[slot.newer].older : newest_) = slot.older;
  slot.older = slot.newer = kNone;
}

// ---- entering and leaving --------------------------------------------------------------------------------

std::uint32_t DuplicateIndex::enter(Instant now, const RequestKey& key) {
  advance(now);
  if (used_ >= most_ && !evict_oldest()) return kNone;
  std::uint32_t at = home(key);
  while (slots_[at].used) at = (at + 1) & (slots_.size() - 1);
  auto& slot = slots_[at];
  slot.key = key;
  slot.used = true;
  ++used_;
  return at;
}

// Only what is over may go: an open one that is forgotten would be set up a second time by its repeat.
bool DuplicateIndex::evict_oldest() {
  if (oldest_ == kNone) return false;
  ++counts_.evicted;
  erase(oldest_);
  return true;
}

void DuplicateIndex::drop_answer(Slot& slot) {
  answers_ -= slot.answer.capacity() > sizeof(std::string) ? slot.answer.capacity() : 0;
  std::string().swap(slot.answer);  // an assignment would keep the bytes that were counted
  slot.kept = false;
}

void DuplicateIndex::erase(std::uint32_t at) {
  unschedule(at);
  leave_over(at);
  drop_answer(slots_[at]);
  slots_[at].used = false;
  --used_;
  // What follows is closed up, so that no search ends early in the gap.
  const std::uint32_t mask = static_cast<std::uint32_t>(slots_.size() - 1);
  std::uint32_t gap = at;
  for (std::uint32_t next = (at + 1) & mask; slots_[next].used; next = (next + 1) & mask) {
    const std::uint32_t from = home(slots_[next].key);
    if (((next - from) & mask) < ((next - gap) & mask)) continue;  // it would be before its home
    move(next, gap);
    gap = next;
  }
}

void DuplicateIndex::move(std::uint32_t from, std::uint32_t to) {
  auto& slot = slots_[to];
  slot = std::move(slots_[from]);
  slots_[from] = Slot();
  if (slot.before != kNone) {
    slots_[slot.before].next = to;
  } else {
    wheel_[static_cast<std::size_t>(slot.due) % kWheel] = to;
  }
  if (slot.next != kNone) slots_[slot.next].before = to;
  if (slot.state == RequestState::kOpen) return;
  (slot.older != kNone ? slots_[slot.older].newer : oldest_) = to;
  (slot.newer != kNone ? slots_[slot.newer].older : newest_) = to;
}

void DuplicateIndex::advance(Instant now) {
  const std::int64_t until = tick_of(now);
  // A clock that has leapt goes round the wheel once, not tick by tick.
  if (until - ticks_ > static_cast<std::int64_t>(kWheel)) ticks_ = until - static_cast<std::int64_t>(kWheel);
  while (ticks_ < until) {
    ++ticks_;
    const std::size_t place = static_cast<std::size_t>(ticks_) % kWheel;
    // Erasing moves others; the list is taken from its head each time.
    std::uint32_t at = wheel_[place];
    while (at != kNone) {
      if (slots_[at].due > until) {
        at = slots_[at].next;
        continue;
      }
      ++counts_.expired;
      erase(at);
      at = wheel_[place];
    }
  }
}

// ---- what happens to a request ---------------------------------------------------------------------------

DuplicateIndex::Seen DuplicateIndex::request(Instant now, const RequestKey& key, CallId call) {
  advance(now);
  using What = Seen::What;
  if (const auto at = find(key); at != kNone) {
    const auto& slot = slots_[at];
    switch (slot.state) {
      case RequestState::kOpen:
        ++counts_.same;
        return {What::kSame, slot.call, {}};
      case RequestState::kAnswered:
        ++counts_.again;
        return {slot.kept ? What::kAnswered : What::kForgotten, slot.call, slot.answer};
      case RequestState::kReversed:
        ++counts_.again;
        return {What::kReversed, slot.call, {}};
    }
  }
  const auto at = enter(now, key);
  if (at == kNone) {
    ++counts_.no_room;
    return {What::kNoRoom, {}, {}};
  }
  ++counts_.fresh;
  slots_[at].state = RequestState::kOpen;
  slots_[at].call = call;
  schedule(at, now + rules_.open);
  return {What::kNew, call, {}};
}

bool DuplicateIndex::answered(Instant now, const RequestKey& key, std::string_view answer) {
  advance(now);
  auto at = find(key);
  if (at == kNone || slots_[at].state != RequestState::kOpen) return false;
  // Answers may not take more than their half; the oldest go first, and with them their entries.
  const std::size_t most = rules_.max_bytes / 2;
  while (answer.size() <= rules_.max_answer && answers_ + answer.size() > most && evict_oldest()) {
    at = find(key);  // others may have moved
  }
  unschedule(at);
  auto& slot = slots_[at];
  slot.state = RequestState::kAnswered;
  if (answer.size() <= rules_.max_answer && answers_ + answer.size() <= most) {
    slot.answer = std::string(answer);
    slot.kept = true;
    answers_ += slot.answer.capacity() > sizeof(std::string) ? slot.answer.capacity() : 0;
  }
  schedule(at, now + rules_.over);
  join_over(at);
  return true;
}

bool DuplicateIndex::dropped(const RequestKey& key) {
  const auto at = find(key);
  if (at == kNone || slots_[at].state != RequestState::kOpen) return false;
  erase(at);
  return true;
}

DuplicateIndex::Reversal DuplicateIndex::reverse(Instant now, const RequestKey& key) {
  advance(now);
  using What = Reversal::What;
  const auto at = find(key);
  if (at == kNone) {
    const auto made = enter(now, key);
    if (made == kNone) {
      ++counts_.no_room;
      return {What::kNoRoom, {}};
    }
    ++counts_.early;
    slots_[made].state = RequestState::kReversed;
    slots_[made].call = CallId{};
    schedule(made, now + rules_.over);
    join_over(made);
    return {What::kEarly, {}};
  }
  auto& slot = slots_[at];
  if (slot.state == RequestState::kReversed) return {What::kAgain, slot.call};
  const bool open = slot.state == RequestState::kOpen;
  ++counts_.reversed;
  unschedule(at);
  leave_over(at);
  slot.state = RequestState::kReversed;
  drop_answer(slot);
  schedule(at, now + rules_.over);
  join_over(at);
  return {open ? What::kEndOpen : What::kRelease, slot.call};
}

std::optional<RequestState> DuplicateIndex::state(const RequestKey& key) const {
  const auto at = find(key);
  return at != kNone ? std::optional(slots_[at].state) : std::nullopt;
}

}  // namespace amberknot::translate
