// Ids for calls whose callers give them none. Does no I/O.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace amberknot::core {

/// Makes call ids of 16 hex digits. Session servers see the calls of all routers, so that ids must differ
/// between processes as well: each process starts at a random 64-bit number of its own, whatever time it is
/// started at.
class CallIdGenerator {
 public:
  /// `seed` is a random number with 64 bits of entropy.
  explicit CallIdGenerator(std::uint64_t seed) : next_(seed) {}

  /// Returns an id that this generator has not returned before.
  std::string next() {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next_++));
    return text;
  }

 private:
  std::uint64_t next_;
};

}  // namespace amberknot::core
