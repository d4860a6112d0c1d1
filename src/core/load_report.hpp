// A server's report of its load, field by field, whatever wire it came by.
#pragma once

#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// Sets the field of that name, as the settings name them; unknown names and values below zero (this report
/// does not say) are skipped.
void set_load_report_field(LoadReport& report, std::string_view name, double value);

}  // namespace amberknot::core
