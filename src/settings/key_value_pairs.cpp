#include "settings/key_value_pairs.hpp"

#include <algorithm>
#include <cmath>

#include "settings/json_text.hpp"

namespace amberknot::settings {

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto end = text.find(separator);
    parts.emplace_back(text.substr(0, end));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return parts;
}

KeyValuePairs::KeyValuePairs(std::string_view text) {
  for (const auto& line : split(text, '\n')) {
    const auto equals = line.find('=');
    if (equals != std::string::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
  }
}

std::optional<std::string> KeyValuePairs::find(const std::string& key) const {
  const auto found = values_.find(key);
  if (found == values_.end()) return std::nullopt;
  return found->second;
}

std::optional<double> KeyValuePairs::find_number(const std::string& key) const {
  const auto value = find(key);
  if (!value || value->empty()) return std::nullopt;
  const auto number = parse_number(*value);
  if (!number) throw SettingsError("setting is not a number: " + key);
  return number;
}

std::string KeyValuePairs::require(const std::string& key) const {
  const auto value = find(key);
  if (!value) throw SettingsError("setting is missing: " + key);
  return *value;
}

double KeyValuePairs::require_number(const std::string& key) const {
  const auto value = parse_number(require(key));
  if (!value) throw SettingsError("setting is not a number: " + key);
  return *value;
}

double KeyValuePairs::require_non_negative(const std::string& key) const {
  const double value = require_number(key);
  if (value < 0) throw SettingsError("setting must not be negative: " + key);
  return value;
}

double KeyValuePairs::require_positive(const std::string& key) const {
  const double value = require_number(key);
  if (value <= 0) throw SettingsError("setting must be greater than zero: " + key);
  return value;
}

std::uint32_t KeyValuePairs::require_count(const std::string& key, std::uint32_t max_count) const {
  const double value = require_non_negative(key);
  if (value > max_count || value != std::floor(value))
    throw SettingsError("setting is not a whole number within its range: " + key);
  return static_cast<std::uint32_t>(value);
}

Duration KeyValuePairs::require_duration(const std::string& key) const {
  const double value = require_non_negative(key);
  if (value > kMaxDurationMicros)
    throw SettingsError("setting is too large for a duration in microseconds: " + key);
  return Duration{static_cast<std::int64_t>(value)};
}

std::string KeyValuePairs::require_word(const std::string& key,
                                        std::initializer_list<std::string_view> words) const {
  const auto value = require(key);
  if (std::find(words.begin(), words.end(), value) == words.end())
    throw SettingsError("setting is not one of its permitted values: " + key);
  return value;
}

bool KeyValuePairs::require_flag(const std::string& key) const {
  const auto value = require(key);
  if (value == "true") return true;
  if (value == "false") return false;
  throw SettingsError("setting must be true or false: " + key);
}

std::size_t KeyValuePairs::list_size(const std::string& list) const {
  const auto key = list + ".count";
  return contains(key) ? require_count(key, kMaxItems) : 0;
}

}  // namespace amberknot::settings
