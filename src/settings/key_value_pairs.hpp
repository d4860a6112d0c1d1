// The path=value lines of a settings text, and typed access to their values.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::settings {

inline constexpr std::uint32_t kMaxItems = 10'000;  ///< limit for the lists of classes, tenants and peers
inline constexpr double kMaxDurationMicros = 1e15;  ///< limit for durations, in microseconds

/// A required setting is missing, or a setting has an invalid value; the message names its key.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Splits `text` at each separator. An empty text has no parts.
std::vector<std::string> split(std::string_view text, char separator);

/// The settings by key. The require accessors throw SettingsError, which names the key, if a value is missing
/// or invalid. find_number() throws it only if the value is invalid, and find() never.
class KeyValuePairs {
 public:
  /// Reads lines of the form key=value; all other lines are ignored.
  explicit KeyValuePairs(std::string_view text);

  [[nodiscard]] bool contains(const std::string& key) const { return values_.contains(key); }
  [[nodiscard]] std::optional<std::string> find(const std::string& key) const;
  /// Nothing if the key is missing or its value is empty.
  [[nodiscard]] std::optional<double> find_number(const std::string& key) const;
  [[nodiscard]] std::string require(const std::string& key) const;
  [[nodiscard]] double require_number(const std::string& key) const;
  [[nodiscard]] double require_non_negative(const std::string& key) const;
  [[nodiscard]] double require_positive(const std::string& key) const;
  [[nodiscard]] std::uint32_t require_count(const std::string& key, std::uint32_t max_count) const;
  [[nodiscard]] Duration require_duration(const std::string& key) const;
  /// One of `words`. A misspelt word is an error, so that it is not taken for another.
  [[nodiscard]] std::string require_word(const std::string& key,
                                         std::initializer_list<std::string_view> words) const;
  [[nodiscard]] bool require_flag(const std::string& key) const;
  /// The length of a list of objects or lists; 0 if there is no such list.
  [[nodiscard]] std::size_t list_size(const std::string& list) const;

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace amberknot::settings
