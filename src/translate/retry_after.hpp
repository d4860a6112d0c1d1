// Reads the Retry-After header (RFC 9110, 10.2.3), in which a server asks its clients to wait.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::translate {

/// Returns the wait that `value` asks for, at most `max_delay`: delay-seconds, or the time from
/// `unix_ms` to an HTTP-date in any of its three formats (RFC 9110, 5.6.7), zero if that is past. Returns
/// nullopt if `value` is neither.
std::optional<Duration> read_retry_after(std::string_view value, std::int64_t unix_ms, Duration max_delay);

}  // namespace amberknot::translate
