// Log lines on standard error, with a level filter. A line that is filtered out costs one comparison.
#pragma once

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string_view>

namespace amberknot::net::log {

enum class Level { kError, kWarn, kInfo, kDebug };

inline Level& level() {
  static Level now = Level::kInfo;
  return now;
}

/// Of `error`, `warn`, `info` and `debug`; anything else leaves the level as it is.
inline void set_level(std::string_view name) {
  if (name == "error") level() = Level::kError;
  if (name == "warn") level() = Level::kWarn;
  if (name == "info") level() = Level::kInfo;
  if (name == "debug") level() = Level::kDebug;
}

template <typename... Parts>
void line(Level at, const Parts&... parts) {
  static constexpr const char* kNames[] = {"error ", "warn ", "info ", "debug "};
  if (at > level()) return;
  std::clog << kNames[static_cast<int>(at)];
  (std::clog << ... << parts) << std::endl;
}

/// For lines that an outsider can cause at will: so many a second pass, and the next one tells how many did
/// not. Written one by one they would take the time of all others.
class RateLimiter {
 public:
  bool pass() {
    const auto now = std::chrono::steady_clock::now();
    if (now - since_ >= std::chrono::seconds{1}) {
      if (held_back_ > 0) line(Level::kWarn, held_back_, " more lines like the next were held back");
      since_ = now;
      passed_ = held_back_ = 0;
    }
    if (passed_ < kMax) return ++passed_ > 0;
    ++held_back_;
    return false;
  }

 private:
  static constexpr std::uint32_t kMax = 5;
  std::chrono::steady_clock::time_point since_{};
  std::uint32_t passed_ = 0;
  std::uint64_t held_back_ = 0;
};

template <typename... Parts>
void warn(RateLimiter& few, const Parts&... parts) {
  if (few.pass()) line(Level::kWarn, parts...);
}
template <typename... Parts>
void info(RateLimiter& few, const Parts&... parts) {
  if (Level::kInfo <= level() && few.pass()) line(Level::kInfo, parts...);
}

template <typename... Parts>
void error(const Parts&... parts) {
  line(Level::kError, parts...);
}
template <typename... Parts>
void warn(const Parts&... parts) {
  line(Level::kWarn, parts...);
}
template <typename... Parts>
void info(const Parts&... parts) {
  line(Level::kInfo, parts...);
}
template <typename... Parts>
void debug(const Parts&... parts) {
  line(Level::kDebug, parts...);
}

}  // namespace amberknot::net::log
