// The JSON lines between callers and this router: read in place, written whole.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/ports.hpp"

namespace amberknot::jsonl {

struct JsonLine {
  enum class Type { kOpen, kClose, kProbe, kOther };
  Type type = Type::kOther;
  std::string_view sid;  ///< 16 hex digits, or empty where the type needs none
  std::string_view call_class, left, tenant, key, extras;
  std::string_view text;
  bool has_text = false;
  std::optional<int> code;
};

/// Keeps what the last line read needs; one for each reader.
class JsonLineReader {
 public:
  JsonLineReader();
  ~JsonLineReader();
  /// `line` is without its line feed and is overwritten; `end` is a byte behind it that may be
  /// overwritten, and up to settings::kJsonPad bytes from there on may be read.
  /// Empty: the line cannot be read, or names no usable id.
  std::optional<JsonLine> read(std::span<char> line, char* end);

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

struct Extras {
  std::optional<std::uint32_t> dest;
  double width = 1;
  bool again = false;
};
/// `dest:2;width:1;via:-1`. Empty: it cannot be read.
std::optional<Extras> read_extras(std::string_view text);

bool is_call_id(std::string_view text);

std::string ready_line(std::string_view sid, std::string_view description);
std::string close_line(std::string_view sid, core::Cause cause, std::optional<Duration> wait = std::nullopt);
std::string closed_line(std::string_view sid);
std::string probed_line(std::string_view sid, bool passed);

}  // namespace amberknot::jsonl
