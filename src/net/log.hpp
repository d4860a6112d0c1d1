// Writes log lines with the time and a level to standard error. A line that is not written costs one
// comparison.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <string_view>

namespace amberknot::net::log {

/// Levels from the most to the least severe.
enum class Level { kError, kWarn, kInfo, kDebug };

/// The level of the process; less severe lines are not written. Not synchronised.
inline Level& level() {
  static Level current = Level::kInfo;
  return current;
}

/// Sets the level: `error`, `warn`, `info` or `debug`. Any other name leaves it unchanged.
inline void set_level(std::string_view name) {
  if (name == "error") level() = Level::kError;
  if (name == "warn") level() = Level::kWarn;
  if (name == "info") level() = Level::kInfo;
  if (name == "debug") level() = Level::kDebug;
}

/// A time as text, in UTC with milliseconds: `2026-12-04T04:13:52.259Z`.
inline std::array<char, 40> time_text(std::chrono::system_clock::time_point time) {
  const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
  const std::time_t seconds = since_epoch.count() / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text.data() + size, text.size() - size, ".%03dZ",
                static_cast<int>(since_epoch.count() % 1000));
  return text;
}

/// Writes a line that consists of the time, the level and all parts, if its level is enabled.
template <typename... Parts>
void line(Level line_level, const Parts&... parts) {
  static constexpr const char* kNames[] = {"error ", "warn ", "info ", "debug "};
  if (line_level > level()) return;
  std::clog << time_text(std::chrono::system_clock::now()).data() << ' '
            << kNames[static_cast<int>(line_level)];
  (std::clog << ... << parts) << std::endl;
}

/// Limits log lines that a peer can trigger at will to a few per second, so that writing them does not delay
/// other work. The first line of a later second is preceded by the number of suppressed ones.
class RateLimiter {
 public:
  /// Whether a line may be written now. Writes the number of suppressed lines when a new second begins.
  bool pass() {
    const auto now = std::chrono::steady_clock::now();
    if (now - second_start_ >= std::chrono::seconds{1}) {
      if (suppressed_ > 0)
        line(Level::kWarn, suppressed_, " similar log lines were suppressed before the next one");
      second_start_ = now;
      passed_ = suppressed_ = 0;
    }
    if (passed_ < kMaxLinesPerSecond) return ++passed_ > 0;
    ++suppressed_;
    return false;
  }

 private:
  static constexpr std::uint32_t kMaxLinesPerSecond = 5;
  std::chrono::steady_clock::time_point second_start_{};
  std::uint32_t passed_ = 0;
  std::uint64_t suppressed_ = 0;
};

template <typename... Parts>
void warn(RateLimiter& limiter, const Parts&... parts) {
  if (limiter.pass()) line(Level::kWarn, parts...);
}
template <typename... Parts>
void info(RateLimiter& limiter, const Parts&... parts) {
  if (Level::kInfo <= level() && limiter.pass()) line(Level::kInfo, parts...);
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
