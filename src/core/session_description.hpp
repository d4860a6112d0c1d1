// Validation of the session descriptions that servers return for accepted calls.
#pragma once

#include <string_view>

namespace amberknot::core {

/// Whether a text can be a session description: non-empty UTF-8 text without control characters other than
/// CR, LF and TAB, and without a truncated sequence at its end.
bool is_session_description(std::string_view text);

}  // namespace amberknot::core
