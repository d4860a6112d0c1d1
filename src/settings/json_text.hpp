// Helpers for JSON with RapidJSON: in-situ parsing that keeps numbers as text and cannot exhaust the stack on
// deep nesting.
#pragma once

#define RAPIDJSON_HAS_STDSTRING 1
#include <rapidjson/document.h>

#include <charconv>
#include <cmath>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amberknot::settings {

inline constexpr unsigned kJsonParseFlags = rapidjson::kParseInsituFlag | rapidjson::kParseIterativeFlag |
                                            rapidjson::kParseValidateEncodingFlag |
                                            rapidjson::kParseNumbersAsStringsFlag;

/// Bytes that must follow the text when it is parsed in place: RapidJSON's UTF-8 validation reads this many
/// bytes after a lead byte, even past the end of the text.
inline constexpr std::size_t kJsonPaddingBytes = 4;

/// Parses in place; the document refers to `json` afterwards. Returns false if `json` is not valid JSON.
template <unsigned kFlags = kJsonParseFlags>
bool parse_in_place(std::string& json, rapidjson::Document& to) {
  json.append(kJsonPaddingBytes, '\0');
  to.ParseInsitu<kFlags>(json.data());
  return !to.HasParseError();
}

/// Returns true if a text that RapidJSON has accepted contains a lone surrogate: RapidJSON accepts an escaped
/// low surrogate without its high one and converts it to invalid UTF-8.
inline bool has_lone_surrogate(std::string_view text) {
  for (std::size_t i = 0; i + 1 < text.size(); ++i) {
    if (text[i] == '\xed' && static_cast<unsigned char>(text[i + 1]) >= 0xa0) return true;
  }
  return false;
}

/// The string's text; empty if the value is not a string.
inline std::string_view string_value(const rapidjson::Value& value) {
  return value.IsString() ? std::string_view(value.GetString(), value.GetStringLength()) : std::string_view();
}

/// Returns null if `object` is not an object or has no such member.
inline const rapidjson::Value* find_member(const rapidjson::Value& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  const auto found = object.FindMember(name);
  return found == object.MemberEnd() ? nullptr : &found->value;
}

/// Text of a string member; empty if it is missing or not a string.
inline std::string_view member_string(const rapidjson::Value& object, const char* name) {
  const auto* value = find_member(object, name);
  return value != nullptr ? string_value(*value) : std::string_view();
}

/// Parses the whole text as a finite number. Returns nothing if it is not one.
inline std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

/// Appends `text` as a quoted and escaped JSON string.
inline void append_json_string(std::string& to, std::string_view text) {
  static constexpr char kHex[] = "0123456789abcdef";
  to += '"';
  for (const char c : text) {
    switch (c) {
      case '"':
        to += "\\\"";
        break;
      case '\\':
        to += "\\\\";
        break;
      case '\n':
        to += "\\n";
        break;
      case '\r':
        to += "\\r";
        break;
      case '\t':
        to += "\\t";
        break;
      default:
        if (static_cast<unsigned char>(c) < 0x20) {
          to += "\\u00";
          to += kHex[static_cast<unsigned char>(c) >> 4U];
          to += kHex[static_cast<unsigned char>(c) & 15U];
        } else {
          to += c;
        }
    }
  }
  to += '"';
}

}  // namespace amberknot::settings
