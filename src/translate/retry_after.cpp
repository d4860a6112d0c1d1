#include "translate/retry_after.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <string>

namespace amberknot::translate {
namespace {

/// strptime() takes blanks and zeros more freely than the grammar does; what it takes is no less of a date.
std::optional<std::int64_t> read_date(std::string_view value) {
  static constexpr std::array<const char*, 3> kForms = {"%a, %d %b %Y %H:%M:%S GMT",  // IMF-fixdate
                                                        "%A, %d-%b-%y %H:%M:%S GMT",  // RFC 850
                                                        "%a %b %e %H:%M:%S %Y"};      // asctime
  const std::string text(value);
  for (const char* form : kForms) {
    std::tm when{};
    const char* end = strptime(text.c_str(), form, &when);
    if (end == nullptr || *end != '\0') continue;
    return static_cast<std::int64_t>(timegm(&when)) * 1000;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Duration> read_retry_after(std::string_view value, std::int64_t unix_ms, Duration most) {
  if (value.empty() || value.size() > 64) return std::nullopt;
  const bool digits = std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; });
  std::int64_t ms = 0;
  if (digits) {
    std::int64_t seconds = 0;
    const auto [end, bad] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    // More seconds than can be counted are more than the most.
    if (bad != std::errc{} || seconds > most.count() / 1'000'000) return most;
    ms = seconds * 1000;
  } else {
    const auto when = read_date(value);
    if (!when) return std::nullopt;
    ms = std::max<std::int64_t>(0, *when - unix_ms);
    if (ms > most.count() / 1000) return most;
  }
  return std::min<Duration>(std::chrono::milliseconds{ms}, most);
}

}  // namespace amberknot::translate
