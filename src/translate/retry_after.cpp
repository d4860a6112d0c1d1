#include "translate/retry_after.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <string>

namespace amberknot::translate {
namespace {

/// Returns the time in milliseconds since the epoch. strptime() is more lenient about spaces and zeros than
/// the grammar, which does no harm: what it accepts is still an unambiguous date.
std::optional<std::int64_t> read_date(std::string_view value) {
  static constexpr std::array<const char*, 3> kFormats = {"%a, %d %b %Y %H:%M:%S GMT",  // IMF-fixdate
                                                          "%A, %d-%b-%y %H:%M:%S GMT",  // RFC 850
                                                          "%a %b %e %H:%M:%S %Y"};      // asctime
  const std::string text(value);
  for (const char* format : kFormats) {
    std::tm when{};
    const char* end = strptime(text.c_str(), format, &when);
    if (end == nullptr || *end != '\0') continue;
    return static_cast<std::int64_t>(timegm(&when)) * 1000;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Duration> read_retry_after(std::string_view value, std::int64_t unix_ms, Duration max_delay) {
  if (value.empty() || value.size() > 64) return std::nullopt;
  const bool digits = std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
  std::int64_t ms = 0;
  if (digits) {
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    // A number that overflows is larger than any `max_delay`.
    if (error != std::errc{} || seconds > max_delay.count() / 1'000'000) return max_delay;
    ms = seconds * 1000;
  } else {
    const auto when = read_date(value);
    if (!when) return std::nullopt;
    ms = std::max<std::int64_t>(0, *when - unix_ms);
    if (ms > max_delay.count() / 1000) return max_delay;
  }
  return std::min<Duration>(std::chrono::milliseconds{ms}, max_delay);
}

}  // namespace amberknot::translate
