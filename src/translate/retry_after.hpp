// Retry-After (RFC 9110, 10.2.3): how long a server asks to be left alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::translate {

/// Both forms: delay-seconds, and HTTP-date in its three (RFC 9110, 5.6.7). A moment that has gone by is
/// zero; more than `most` is `most`. Empty: it is neither form.
std::optional<Duration> read_retry_after(std::string_view value, std::int64_t unix_ms, Duration most);

}  // namespace amberknot::translate
