// Names of call classes and tenants in the settings, and validation of called numbers. Used by every
// frontend.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amberknot::core {

/// Names of classes and tenants as set-ups carry them, and the maximum number of lines that a call of each
/// class occupies.
struct ConfiguredNames {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  /// Maximum number of lines of a call, by class; empty if the settings give none.
  std::vector<double> max_widths = {};
  /// By class: whether a reload has removed it. A removed class keeps its index, so that calls in progress
  /// keep their class, but new calls cannot use it.
  std::vector<bool> retired = {};

  /// Returns the index of a class that new calls may use, or nothing if there is none of that name.
  [[nodiscard]] std::optional<std::size_t> class_index(std::string_view name) const {
    for (std::size_t i = 0; i < classes.size(); ++i) {
      if (classes[i] == name && !(i < retired.size() && retired[i])) return i;
    }
    return std::nullopt;
  }
};

/// Returns whether `text` is a valid called number: 1 to 64 ASCII letters, digits, or one of `+*#-._`, all of
/// which may appear in a request line.
inline bool is_valid_called_number(std::string_view text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '+' ||
           c == '*' || c == '#' || c == '-' || c == '.' || c == '_';
  });
}

}  // namespace amberknot::core
