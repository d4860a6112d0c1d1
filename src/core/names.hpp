// The names that calls carry, as the settings list them. Every front looks its classes and tenants up here.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amberknot::core {

/// Names of the settings, as they stand in set-ups, and the lines that a call of each class takes at most.
struct Names {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<double> widths = {};  ///< by class; empty: not told
  /// By class: taken away by new settings. Its number stays, so that calls under way keep their class, but
  /// no new call is of it.
  std::vector<bool> retired = {};

  /// The number of a class that new calls may be of.
  [[nodiscard]] std::optional<std::size_t> class_no(std::string_view name) const {
    for (std::size_t i = 0; i < classes.size(); ++i) {
      if (classes[i] == name && !(i < retired.size() && retired[i])) return i;
    }
    return std::nullopt;
  }
};

/// A number called may stand in a request line: digits, letters and a few marks.
inline bool is_number_called(std::string_view text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '+' ||
           c == '*' || c == '#' || c == '-' || c == '.' || c == '_';
  });
}

}  // namespace amberknot::core
