// The names that calls carry, as the settings list them. Every front looks its classes and tenants up here.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace amberknot::core {

/// Names of the settings, as they stand in set-ups, and the lines that a call of each class takes at most.
struct Names {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<double> widths = {};  ///< by class; empty: not told
};

/// A number called may stand in a request line: digits, letters and a few marks.
inline bool is_number_called(std::string_view text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '+' ||
           c == '*' || c == '#' || c == '-' || c == '.' || c == '_';
  });
}

}  // namespace amberknot::core
