#include "core/reload_plan.hpp"

#include <algorithm>

namespace amberknot::core {
namespace {

std::size_t index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

double class_width(const ConfiguredNames& names, std::size_t index) {
  return index < names.max_widths.size() ? names.max_widths[index] : 1.0;
}

}  // namespace

ReloadPlan plan_reload(const ConfiguredNames& current_names, const Settings& current_settings,
                       const ConfiguredNames& new_names, const Settings& new_settings) {
  ReloadPlan plan;
  plan.names.tenants = current_names.tenants;
  const bool has_widths = !current_names.max_widths.empty() || !new_names.max_widths.empty();
  for (std::size_t i = 0; i < current_names.classes.size(); ++i) {
    const auto& name = current_names.classes[i];
    const std::size_t new_index = index_of(new_names.classes, name);
    const bool is_listed = new_index < new_names.classes.size() && new_index < new_settings.classes.size();
    const bool was_retired = i < current_names.retired.size() && current_names.retired[i];
    plan.names.classes.push_back(name);
    plan.names.retired.push_back(!is_listed);
    plan.classes.push_back(is_listed ? new_settings.classes[new_index] : current_settings.classes.at(i));
    if (has_widths)
      plan.names.max_widths.push_back(is_listed ? class_width(new_names, new_index)
                                                : class_width(current_names, i));
    if (!is_listed && !was_retired) plan.changes.push_back("class " + name + " removed");
    if (is_listed && was_retired) plan.changes.push_back("class " + name + " restored");
  }
  for (std::size_t j = 0; j < new_names.classes.size() && j < new_settings.classes.size(); ++j) {
    const auto& name = new_names.classes[j];
    if (index_of(current_names.classes, name) < current_names.classes.size()) continue;
    plan.names.classes.push_back(name);
    plan.names.retired.push_back(false);
    plan.classes.push_back(new_settings.classes[j]);
    if (has_widths) plan.names.max_widths.push_back(class_width(new_names, j));
    plan.changes.push_back("class " + name + " added");
  }
  plan.limits = new_settings.limits;
  if (new_settings.limits.max_attempts != current_settings.limits.max_attempts) {
    plan.changes.push_back(
        "maximum attempts per call: " + std::to_string(current_settings.limits.max_attempts) + " -> " +
        std::to_string(new_settings.limits.max_attempts));
  }
  if (new_names.tenants != current_names.tenants ||
      new_settings.tenants.size() != current_settings.tenants.size())
    plan.requires_restart.push_back("tenants");
  if (new_settings.retransmit_interval != current_settings.retransmit_interval ||
      new_settings.batch_interval != current_settings.batch_interval)
    plan.requires_restart.push_back("timing");
  if (!(new_settings.invariants == current_settings.invariants))
    plan.requires_restart.push_back("invariants");
  if (new_settings.over_quota_weight_factor != current_settings.over_quota_weight_factor)
    plan.requires_restart.push_back("over_share_worth");
  if (new_settings.peer_count != current_settings.peer_count ||
      new_settings.own_id != current_settings.own_id)
    plan.requires_restart.push_back("siblings");
  return plan;
}

}  // namespace amberknot::core
