// Random numbers that are the same on every machine: SplitMix64, and distributions that do not depend on the
// standard library in use.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace amberknot::lab::fleet {

/// A reproducible sequence of random numbers.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  /// Each name has its own sequence, independent of what is drawn from the others.
  Random(std::uint64_t seed, std::string_view name) : state_(seed) {
    for (const char c : name) state_ = mix(state_ ^ static_cast<unsigned char>(c));
  }
  std::uint64_t next() { return mix(state_ += 0x9e3779b97f4a7c15ULL); }
  /// Returns a number from 0, inclusive, to 1, exclusive.
  double uniform() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
  /// Returns a number below `limit`, which must be greater than 0.
  std::uint64_t below(std::uint64_t limit) { return next() % limit; }
  /// Returns true with the given probability.
  bool chance(double probability) { return uniform() < probability; }
  /// Returns 16 hexadecimal digits.
  std::string call_id() {
    static constexpr char kHex[] = "0123456789abcdef";
    std::string id(16, '0');
    for (auto& digit : id) digit = kHex[below(16)];
    return id;
  }

 private:
  static std::uint64_t mix(std::uint64_t z) {
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
  }
  std::uint64_t state_;
};

}  // namespace amberknot::lab::fleet
