// Log lines on standard error, with a level filter. A line that is filtered out costs one comparison.
#pragma once

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
