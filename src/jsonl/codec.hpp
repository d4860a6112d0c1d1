// Codec for the JSON lines exchanged with callers. Lines are parsed in place, without copying.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/ports.hpp"

namespace amberknot::jsonl {

/// A parsed line. The views refer to the line, and members that are absent are empty.
struct JsonLine {
  enum class Type { kOpen, kClose, kHealthCheck, kOther };
  Type type = Type::kOther;
  std::string_view sid;  ///< the call id, 16 hex digits; any text for `probe` and other types
  /// Attributes `class`, `left`, `tenant`, `key` and `extras`, as text.
  std::string_view call_class, remaining_ms, tenant, number, extras;
  std::string_view text;    ///< session description
  bool has_text = false;    ///< whether `text` is a string that can be encoded in UTF-8
  std::optional<int> code;  ///< Q.850 cause
};

/// Parses JSON lines. A line that was read is valid until the next call; not for use by several threads.
class JsonLineReader {
 public:
  JsonLineReader();
  ~JsonLineReader();
  /// Parses a line. `line` excludes the line feed and is overwritten; `end` is the byte after it, which is
  /// overwritten too, and up to settings::kJsonPaddingBytes bytes from there on may be read. Returns nullopt
  /// if the line cannot be parsed, or if its type needs a call id and it has no valid one.
  std::optional<JsonLine> read(std::span<char> line, char* end);

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

/// Values of the `extras` attribute.
struct Extras {
  std::optional<std::uint32_t> destination_pool;  ///< `dest`, a pool id
  double width = 1;                               ///< channels that the call needs
  bool was_aborted = false;                       ///< `again`: the call was aborted and is set up again
};
/// Parses an `extras` value such as `dest:2;width:1;via:-1`. Unknown names are skipped. Returns nullopt if an
/// entry is not a name and a number, or if a known value is out of range.
std::optional<Extras> parse_extras(std::string_view text);

/// Whether the text is a call id: 16 hex digits.
bool is_call_id(std::string_view text);

// The functions below return complete lines, with the line feed.

/// Returns the answer to a set-up.
std::string ready_line(std::string_view sid, std::string_view description);
/// Returns a rejection or release. `wait` is the time that the caller is told to wait before it retries.
std::string close_line(std::string_view sid, core::Cause cause, std::optional<Duration> wait = std::nullopt);
/// Returns the confirmation of a release.
std::string closed_line(std::string_view sid);
/// Returns the result of a health check.
std::string health_check_answer_line(std::string_view sid, bool passed);

}  // namespace amberknot::jsonl
