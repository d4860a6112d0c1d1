// Configuration reload on SIGHUP: determines which of the new settings a running router applies. Does no I/O.
#pragma once

#include <string>
#include <vector>

#include "amberknot/admission.hpp"
#include "core/names.hpp"

namespace amberknot::core {

/// The changes that a reload makes, and the settings that it cannot change.
struct ReloadPlan {
  ConfiguredNames names;           ///< existing classes at their old indices, new ones after them
  std::vector<CallClass> classes;  ///< settings of the classes, in the order of `names.classes`
  Limits limits;
  /// Log text for each class added, removed or restored, and for a changed maximum of attempts.
  std::vector<std::string> changes;
  std::vector<std::string> requires_restart;  ///< changed settings that take effect only after a restart
};

/// Plans the change from the current to the new settings. Classes keep their indices: a class missing from
/// `new_settings` is retired at its index, an added class comes last, and a retired class that is listed
/// again gets its new settings. All limits are replaced. Both settings must have been validated, and hold one
/// class for each name.
ReloadPlan plan_reload(const ConfiguredNames& current_names, const Settings& current_settings,
                       const ConfiguredNames& new_names, const Settings& new_settings);

}  // namespace amberknot::core
