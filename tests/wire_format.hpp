// Shared helpers of the wire format tests. The literals of these tests are the bytes that other programs and
// stored files depend on: renaming identifiers in the code must not change any of them.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

namespace amberknot::tests {

/// Bytes as lower-case hex digits.
inline std::string to_hex(std::string_view bytes) {
  std::string hex;
  for (const char byte : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(byte));
    hex += digits;
  }
  return hex;
}

/// Replaces the digits after each `prefix` by `*`, for values that depend on the clock or on a port.
inline std::string mask_digits_after(std::string text, std::string_view prefix) {
  for (auto at = text.find(prefix); at != std::string::npos; at = text.find(prefix, at)) {
    at += prefix.size();
    const auto end = text.find_first_not_of("0123456789", at);
    text.erase(at, (end == std::string::npos ? text.size() : end) - at);
    text.insert(at, 1, '*');
  }
  return text;
}

/// Returns the bytes received so far and empties `received`.
inline std::string take_all(std::string& received) {
  std::string bytes;
  bytes.swap(received);
  return bytes;
}

}  // namespace amberknot::tests
