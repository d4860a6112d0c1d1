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
    // The length prefix makes the parts "12" and "3" differ from "1" and "23".
    const std::uint64_t size = part.size();
    XXH3_128bits_update(&state, &size, sizeof size);
    XXH3_128bits_update(&state, part.data(), part.size());
  }
  const auto hash = XXH3_128bits_digest(&state);
  return {hash.high64, hash.low64};
}

DuplicateIndex::DuplicateIndex(Instant now, DuplicateRules rules)
    : rules_(rules), wheel_(kWheelSlots, kNone) {
  // The longest lifetime takes just under one turn of the wheel.
  tick_length_ = std::max<Duration>(
      std::max(rules_.open_ttl, rules_.finished_ttl) / static_cast<std::int64_t>(kWheelSlots - 2),
      Duration{1});
  // Half of the bytes are for the slots, the other half for answers. The number of slots is a power of two,
  // of which at most three quarters are used.
  const std::size_t slots = std::max<std::size_t>(16, std::bit_floor(rules_.max_bytes / 2 / sizeof(Slot)));
  slots_.resize(slots);
  max_entries_ = slots / 4 * 3;
  current_tick_ = tick_of(now);
}

std::uint32_t DuplicateIndex::find(const RequestKey& key) const {
  for (std::uint32_t at = home_slot(key); slots_[at].in_use; at = (at + 1) & (slots_.size() - 1)) {
    if (slots_[at].key == key) return at;
  }
  return kNone;
}

// ---- lists: entries by expiry tick; completed requests, oldest first --------------------------------------

void DuplicateIndex::schedule(std::uint32_t at, Instant due) {
  auto& slot = slots_[at];
  // Rounded up, so that no entry expires early.
  slot.due_tick = std::max(tick_of(due + tick_length_ - Duration{1}), current_tick_ + 1);
  auto& head = wheel_[static_cast<std::size_t>(slot.due_tick) % kWheelSlots];
  slot.previous = kNone;
  slot.next = head;
  if (head != kNone) slots_[head].previous = at;
  head = at;
}

void DuplicateIndex::unschedule(std::uint32_t at) {
  auto& slot = slots_[at];
  if (slot.previous != kNone) {
    slots_[slot.previous].next = slot.next;
  } else {
    wheel_[static_cast<std::size_t>(slot.due_tick) % kWheelSlots] = slot.next;
  }
  if (slot.next != kNone) slots_[slot.next].previous = slot.previous;
}

void DuplicateIndex::append_completed(std::uint32_t at) {
  auto& slot = slots_[at];
  slot.older = newest_completed_;
  slot.newer = kNone;
  (newest_completed_ != kNone ? slots_[newest_completed_].newer : oldest_completed_) = at;
  newest_completed_ = at;
}

void DuplicateIndex::remove_completed(std::uint32_t at) {
  auto& slot = slots_[at];
  if (slot.state == RequestState::kOpen) return;
  (slot.older != kNone ? slots_[slot.older].newer : oldest_completed_) = slot.newer;
  (slot.newer != kNone ? slots_[slot.newer].older : newest_completed_) = slot.older;
  slot.older = slot.newer = kNone;
}

// ---- insertion and removal -------------------------------------------------------------------------------

std::uint32_t DuplicateIndex::insert(Instant now, const RequestKey& key) {
  advance(now);
  if (used_ >= max_entries_ && !evict_oldest()) return kNone;
  std::uint32_t at = home_slot(key);
  while (slots_[at].in_use) at = (at + 1) & (slots_.size() - 1);
  auto& slot = slots_[at];
  slot.key = key;
  slot.in_use = true;
  ++used_;
  return at;
}

// Open requests are never evicted: a repeat of an evicted one would be set up a second time.
bool DuplicateIndex::evict_oldest() {
  if (oldest_completed_ == kNone) return false;
  ++counts_.evicted;
  erase(oldest_completed_);
  return true;
}

void DuplicateIndex::drop_answer(Slot& slot) {
  answer_bytes_ -= slot.answer.capacity() > sizeof(std::string) ? slot.answer.capacity() : 0;
  std::string().swap(slot.answer);  // assigning an empty string would keep the allocation
  slot.has_answer = false;
}

void DuplicateIndex::erase(std::uint32_t at) {
  unschedule(at);
  remove_completed(at);
  drop_answer(slots_[at]);
  slots_[at].in_use = false;
  --used_;
  // Shifts later entries of the probe sequence back, so that no search ends early at the gap.
  const std::uint32_t mask = static_cast<std::uint32_t>(slots_.size() - 1);
  std::uint32_t gap = at;
  for (std::uint32_t next = (at + 1) & mask; slots_[next].in_use; next = (next + 1) & mask) {
    const std::uint32_t from = home_slot(slots_[next].key);
    if (((next - from) & mask) < ((next - gap) & mask)) continue;  // the gap is before its home slot
    move(next, gap);
    gap = next;
  }
}

void DuplicateIndex::move(std::uint32_t from, std::uint32_t to) {
  auto& slot = slots_[to];
  slot = std::move(slots_[from]);
  slots_[from] = Slot();
  if (slot.previous != kNone) {
    slots_[slot.previous].next = to;
  } else {
    wheel_[static_cast<std::size_t>(slot.due_tick) % kWheelSlots] = to;
  }
  if (slot.next != kNone) slots_[slot.next].previous = to;
  if (slot.state == RequestState::kOpen) return;
  (slot.older != kNone ? slots_[slot.older].newer : oldest_completed_) = to;
  (slot.newer != kNone ? slots_[slot.newer].older : newest_completed_) = to;
}

void DuplicateIndex::advance(Instant now) {
  const std::int64_t end_tick = tick_of(now);
  // After a large step of the clock, one turn of the wheel visits every entry.
  if (end_tick - current_tick_ > static_cast<std::int64_t>(kWheelSlots))
    current_tick_ = end_tick - static_cast<std::int64_t>(kWheelSlots);
  while (current_tick_ < end_tick) {
    ++current_tick_;
    const std::size_t wheel_slot = static_cast<std::size_t>(current_tick_) % kWheelSlots;
    // Erasing may move other entries, so the list is read again from its head after each removal.
    std::uint32_t at = wheel_[wheel_slot];
    while (at != kNone) {
      if (slots_[at].due_tick > end_tick) {
        at = slots_[at].next;
        continue;
      }
      ++counts_.expired;
      erase(at);
      at = wheel_[wheel_slot];
    }
  }
}

// ---- events ----------------------------------------------------------------------------------------------

DuplicateIndex::RequestResult DuplicateIndex::on_request(Instant now, const RequestKey& key, CallId call) {
  advance(now);
  using Status = RequestResult::Status;
  if (const auto at = find(key); at != kNone) {
    const auto& slot = slots_[at];
    switch (slot.state) {
      case RequestState::kOpen:
        ++counts_.pending_repeats;
        return {Status::kPending, slot.call, {}};
      case RequestState::kAnswered:
        ++counts_.completed_repeats;
        return {slot.has_answer ? Status::kAnswered : Status::kAnswerNotStored, slot.call, slot.answer};
      case RequestState::kReversed:
        ++counts_.completed_repeats;
        return {Status::kReversed, slot.call, {}};
    }
  }
  const auto at = insert(now, key);
  if (at == kNone) {
    ++counts_.index_full;
    return {Status::kIndexFull, {}, {}};
  }
  ++counts_.new_requests;
  slots_[at].state = RequestState::kOpen;
  slots_[at].call = call;
  schedule(at, now + rules_.open_ttl);
  return {Status::kNew, call, {}};
}

bool DuplicateIndex::on_answer(Instant now, const RequestKey& key, std::string_view answer) {
  advance(now);
  auto at = find(key);
  if (at == kNone || slots_[at].state != RequestState::kOpen) return false;
  // Answers may take half of the bytes. To make room, the entries that were completed first are evicted.
  const std::size_t max_total_answer_bytes = rules_.max_bytes / 2;
  while (answer.size() <= rules_.max_answer_bytes && answer_bytes_ + answer.size() > max_total_answer_bytes &&
         evict_oldest()) {
    at = find(key);  // eviction may have moved the entry
  }
  unschedule(at);
  auto& slot = slots_[at];
  slot.state = RequestState::kAnswered;
  if (answer.size() <= rules_.max_answer_bytes && answer_bytes_ + answer.size() <= max_total_answer_bytes) {
    slot.answer = std::string(answer);
    slot.has_answer = true;
    answer_bytes_ += slot.answer.capacity() > sizeof(std::string) ? slot.answer.capacity() : 0;
  }
  schedule(at, now + rules_.finished_ttl);
  append_completed(at);
  return true;
}

bool DuplicateIndex::remove_open(const RequestKey& key) {
  const auto at = find(key);
  if (at == kNone || slots_[at].state != RequestState::kOpen) return false;
  erase(at);
  return true;
}

DuplicateIndex::ReversalResult DuplicateIndex::reverse(Instant now, const RequestKey& key) {
  advance(now);
  using Status = ReversalResult::Status;
  const auto at = find(key);
  if (at == kNone) {
    const auto inserted = insert(now, key);
    if (inserted == kNone) {
      ++counts_.index_full;
      return {Status::kIndexFull, {}};
    }
    ++counts_.early_reversals;
    slots_[inserted].state = RequestState::kReversed;
    slots_[inserted].call = CallId{};
    schedule(inserted, now + rules_.finished_ttl);
    append_completed(inserted);
    return {Status::kBeforeRequest, {}};
  }
  auto& slot = slots_[at];
  if (slot.state == RequestState::kReversed) return {Status::kAlreadyReversed, slot.call};
  const bool was_open = slot.state == RequestState::kOpen;
  ++counts_.reversed;
  unschedule(at);
  remove_completed(at);
  slot.state = RequestState::kReversed;
  drop_answer(slot);
  schedule(at, now + rules_.finished_ttl);
  append_completed(at);
  return {was_open ? Status::kGiveUp : Status::kRelease, slot.call};
}

std::optional<RequestState> DuplicateIndex::state(const RequestKey& key) const {
  const auto at = find(key);
  return at != kNone ? std::optional(slots_[at].state) : std::nullopt;
}

}  // namespace amberknot::translate
