// Remembers which requests servers may have executed, so that a caller that comes again with one of them does
// not have it executed twice. Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// The requests that have ended within the retention time. Of each only a 64-bit hash of its key is held, so
/// that the memory does not depend on the length of the keys.
class ExecutedCalls {
 public:
  /// Bytes that one request takes, with the tables' overhead.
  static constexpr std::size_t kBytesPerEntry = 96;

  /// Holds at most `max_count` requests; the oldest is forgotten first.
  ExecutedCalls(std::size_t max_count, Duration retention) : max_count_(max_count), retention_(retention) {}

  /// Remembers a request whose call has ended at `now`.
  void add(std::string_view key, Instant now);
  /// Whether a request with that key has been added within the retention time.
  [[nodiscard]] bool contains(std::string_view key, Instant now) const;
  [[nodiscard]] std::size_t size() const { return ended_at_.size(); }

 private:
  void forget_oldest();

  std::size_t max_count_;
  Duration retention_;
  std::unordered_map<std::uint64_t, Instant> ended_at_;
  std::deque<std::uint64_t> oldest_first_;
};

}  // namespace amberknot::core
