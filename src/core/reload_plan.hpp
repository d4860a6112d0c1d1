// Configuration reload at SIGHUP: which of the new settings a running router applies. Decided without I/O.
#pragma once

#include <string>
#include <vector>

#include "amberknot/admission.hpp"
#include "core/names.hpp"

namespace amberknot::core {

/// What a reload changes, and what it cannot.
struct ReloadPlan {
  Names names;                     ///< the classes in their old places, new ones after them
  std::vector<CallClass> classes;  ///< in the same order
  Limits limits;
  std::vector<std::string> notes;  ///< one line for each class added or taken away, and for the limits
  std::vector<std::string>
      requires_restart;  ///< settings that a running router does not change: they take a restart
};

/// Classes keep their numbers: one that `fresh` no longer names is retired in its place, one that it adds
/// comes last, and one that it names again is taken as it says now. The limits are taken whole. Both sides
/// are as read and checked; `now` and `fresh` hold one class for each name.
ReloadPlan plan_reload(const Names& names, const Settings& now, const Names& fresh_names,
                       const Settings& fresh);

}  // namespace amberknot::core
