// Parses the settings text of a sender: lines of the form key=value. Unknown keys are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"
#include "settings/key_value_pairs.hpp"

namespace amberknot::settings {

/// The settings of the decision module, and those of its host.
struct ParsedSettings {
  Settings settings;
  std::vector<std::string> report_columns;  ///< names of the load report's values, in their order
  bool reports_retry_wait = false;          ///< a full processor reports how long to wait before a retry
};

/// Throws SettingsError.
ParsedSettings parse_settings(std::string_view text, std::uint64_t seed);

}  // namespace amberknot::settings
