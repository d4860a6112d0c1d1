// Numbers drawn the same on every machine: SplitMix64, and draws from it that no standard library decides.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace amberknot::lab::fleet {

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  /// A stream of its own for each name, whatever was drawn from others.
  Random(std::uint64_t seed, std::string_view name) : state_(seed) {
    for (const char c : name) state_ = mixed(state_ ^ static_cast<unsigned char>(c));
  }
  std::uint64_t next() { return mixed(state_ += 0x9e3779b97f4a7c15ULL); }
  /// At least 0, below 1.
  double share() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
  /// Below `most`, which is above zero.
  std::uint64_t below(std::uint64_t most) { return next() % most; }
  bool chance(double share_of_all) { return share() < share_of_all; }
  /// 16 hex digits.
  std::string call_id() {
    static constexpr char kHex[] = "0123456789abcdef";
    std::string id(16, '0');
    for (auto& digit : id) digit = kHex[below(16)];
    return id;
  }

 private:
  static std::uint64_t mixed(std::uint64_t z) {
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
  }
  std::uint64_t state_;
};

}  // namespace amberknot::lab::fleet
