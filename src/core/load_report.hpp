// Fills in a server's load report from named fields, whichever protocol carried them.
#pragma once

#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// Sets the field that the settings call `name`. Ignores unknown names, and values that are negative (not
/// reported) or not finite.
void set_load_report_field(LoadReport& report, std::string_view name, double value);

}  // namespace amberknot::core
