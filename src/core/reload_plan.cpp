#include "core/reload_plan.hpp"

#include <algorithm>

namespace amberknot::core {
namespace {

std::size_t index_in(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

double width_of(const Names& names, std::size_t i) {
  return i < names.widths.size() ? names.widths[i] : 1.0;
}

}  // namespace

ReloadPlan plan_reload(const Names& names, const Settings& now, const Names& fresh_names,
                       const Settings& fresh) {
  ReloadPlan out;
  out.names.tenants = names.tenants;
  const bool widths = !names.widths.empty() || !fresh_names.widths.empty();
  for (std::size_t i = 0; i < names.classes.size(); ++i) {
    const auto& name = names.classes[i];
    const std::size_t there = index_in(fresh_names.classes, name);
    const bool named = there < fresh_names.classes.size() && there < fresh.classes.size();
    const bool was_retired = i < names.retired.size() && names.retired[i];
    out.names.classes.push_back(name);
    out.names.retired.push_back(!named);
    out.classes.push_back(named ? fresh.classes[there] : now.classes.at(i));
    if (widths) out.names.widths.push_back(named ? width_of(fresh_names, there) : width_of(names, i));
    if (!named && !was_retired) out.notes.push_back("class " + name + " taken away");
    if (named && was_retired) out.notes.push_back("class " + name + " taken again");
  }
  for (std::size_t j = 0; j < fresh_names.classes.size() && j < fresh.classes.size(); ++j) {
    const auto& name = fresh_names.classes[j];
    if (index_in(names.classes, name) < names.classes.size()) continue;
    out.names.classes.push_back(name);
    out.names.retired.push_back(false);
    out.classes.push_back(fresh.classes[j]);
    if (widths) out.names.widths.push_back(width_of(fresh_names, j));
    out.notes.push_back("class " + name + " added");
  }
  out.limits = fresh.limits;
  if (fresh.limits.max_tries != now.limits.max_tries) {
    out.notes.push_back("tries " + std::to_string(now.limits.max_tries) + " -> " +
                        std::to_string(fresh.limits.max_tries));
  }
  if (fresh_names.tenants != names.tenants || fresh.tenants.size() != now.tenants.size())
    out.requires_restart.push_back("tenants");
  if (fresh.retransmit_interval != now.retransmit_interval || fresh.batch_interval != now.batch_interval)
    out.requires_restart.push_back("timing");
  if (!(fresh.invariants == now.invariants)) out.requires_restart.push_back("invariants");
  if (fresh.over_quota_weight != now.over_quota_weight) out.requires_restart.push_back("over_share_worth");
  if (fresh.peer_count != now.peer_count || fresh.self != now.self)
    out.requires_restart.push_back("siblings");
  return out;
}

}  // namespace amberknot::core
