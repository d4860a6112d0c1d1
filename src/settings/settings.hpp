// Parses the settings text of a sender: lines of the form key=value. Unknown keys are ignored.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::settings {

/// A required setting is missing, or a setting has an invalid value; the message names its key.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The settings of the decision module, and those of its host.
struct ParsedSettings {
  Settings settings;
  std::vector<std::string> report_columns;  ///< names of the load report's values, in their order
  bool reports_retry_wait = false;          ///< a full processor reports how long to wait before a retry
};

/// Throws SettingsError.
ParsedSettings parse_settings(std::string_view text, std::uint64_t seed);

}  // namespace amberknot::settings
