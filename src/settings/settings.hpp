// Reads the settings text of an instance's first message. Unknown keys are skipped.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::settings {

/// A setting that is needed is missing or cannot be read; the text names its key.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct ParsedSettings {
  Settings settings;
  std::vector<std::string> columns;  ///< names of the load report's values
  bool names_wait = false;           ///< a full processor says how long to wait
};

ParsedSettings parse_settings(std::string_view text, std::uint64_t seed);

}  // namespace amberknot::settings
