#include "core/session_description.hpp"

#include <cstddef>

namespace amberknot::core {

bool is_session_description(std::string_view text) {
  if (text.empty()) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (c < 0x80) {
      if (c < 0x20 ? c != '\r' && c != '\n' && c != '\t' : c == 0x7f) return false;
      continue;
    }
    // Outside ASCII, only complete UTF-8 sequences in their shortest form are accepted.
    const std::size_t continuation_bytes = c >= 0xc2 && c <= 0xdf   ? 1
                                           : (c & 0xf0U) == 0xe0    ? 2
                                           : c >= 0xf0 && c <= 0xf4 ? 3
                                                                    : 0;
    if (continuation_bytes == 0 || i + continuation_bytes >= text.size()) return false;
    const auto second = static_cast<unsigned char>(text[i + 1]);
    const unsigned min_second = c == 0xe0 ? 0xa0 : c == 0xf0 ? 0x90 : 0x80;
    const unsigned max_second = c == 0xed ? 0x9f : c == 0xf4 ? 0x8f : 0xbf;
    if (second < min_second || second > max_second) return false;
    for (std::size_t k = 2; k <= continuation_bytes; ++k) {
      if ((static_cast<unsigned char>(text[i + k]) & 0xc0U) != 0x80) return false;
    }
    i += continuation_bytes;
  }
  return true;
}

}  // namespace amberknot::core
