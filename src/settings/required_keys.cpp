#include "settings/required_keys.hpp"

#include <algorithm>
#include <string>
#include <string_view>

namespace amberknot::settings {
namespace {

/// When a key is required.
enum class Need {
  kAlways,
  kRetryAdvice,    ///< callers are told how long to stay away
  kOnRequest,      ///< the endpoint list is not pushed
  kLoadReports,    ///< servers report their load
  kQuotas,         ///< tenants have shares
  kZones,          ///< the deployment has zones
  kSimulation,     ///< keys of use to the simulated world only: all or none are given
  kDeduplicated,   ///< the class is deduplicated
  kIfGivenBefore,  ///< only where the settings in force have it
};

struct RequiredKey {
  std::string_view name;
  Need need;
};

constexpr RequiredKey kKeys[] = {
    {"charges.connection", Need::kSimulation},
    {"charges.cross_zone", Need::kSimulation},
    {"charges.discovery", Need::kSimulation},
    {"charges.handshake", Need::kSimulation},
    {"charges.late_fail", Need::kSimulation},
    {"charges.moves", Need::kSimulation},
    {"charges.origin", Need::kSimulation},
    {"charges.peer", Need::kSimulation},
    {"charges.probe", Need::kSimulation},
    {"charges.waste", Need::kSimulation},
    {"clients.marks_retry", Need::kSimulation},
    {"discovery", Need::kAlways},
    {"family", Need::kAlways},
    {"family_info.channels_needed", Need::kAlways},
    {"family_info.class_hold_us", Need::kAlways},
    {"family_info.clear_wait_us", Need::kAlways},
    {"family_info.far_reports", Need::kSimulation},
    {"family_info.network_form", Need::kAlways},
    {"family_info.resend_us", Need::kAlways},
    {"family_info.retry_hint", Need::kAlways},
    {"family_info.route_advice", Need::kAlways},
    {"family_info.self_no", Need::kAlways},
    {"goal.whole", Need::kSimulation},
    {"goal.worst_class", Need::kSimulation},
    {"goal.worst_tenant", Need::kIfGivenBefore},
    {"goal.worst_window", Need::kSimulation},
    {"invariants.answer_slack_us", Need::kAlways},
    {"invariants.ask_within_us", Need::kOnRequest},
    {"invariants.cold_from", Need::kAlways},
    {"invariants.drain_grace_us", Need::kAlways},
    {"invariants.fall_multiple", Need::kAlways},
    {"invariants.fall_us", Need::kAlways},
    {"invariants.ramp_time_us", Need::kAlways},
    {"layer", Need::kSimulation},
    {"limits.cancel", Need::kAlways},
    {"limits.conn_idle_us", Need::kAlways},
    {"limits.connect_timeout_us", Need::kAlways},
    {"limits.cpu_us_per_request", Need::kSimulation},
    {"limits.cpu_us_per_s", Need::kSimulation},
    {"limits.max_retry_after_us", Need::kRetryAdvice},
    {"limits.most_held", Need::kAlways},
    {"limits.most_tries", Need::kAlways},
    {"limits.peers", Need::kAlways},
    {"limits.probes", Need::kAlways},
    {"limits.retry_after", Need::kAlways},
    {"limits.second_copies", Need::kAlways},
    {"limits.streams_per_conn", Need::kSimulation},
    {"localities", Need::kIfGivenBefore},
    {"models", Need::kSimulation},
    {"over_share_worth", Need::kQuotas},
    {"report.columns", Need::kLoadReports},
    {"report.source", Need::kAlways},
    {"round_us", Need::kAlways},
    {"self_index", Need::kAlways},
    {"siblings", Need::kAlways},
    {"tiers", Need::kSimulation},
    {"value_by", Need::kSimulation},
    {"weights", Need::kSimulation},
    {"zone", Need::kZones},
};

constexpr RequiredKey kClassKeys[] = {
    {"aim_us", Need::kAlways},
    {"deadline_us", Need::kAlways},
    {"key_scope", Need::kDeduplicated},
    {"late_worth", Need::kAlways},
    {"name", Need::kAlways},
    {"repeat", Need::kAlways},
    {"streamed", Need::kAlways},
    {"window_us", Need::kDeduplicated},
    {"value", Need::kAlways},
};

constexpr RequiredKey kTenantKeys[] = {
    {"name", Need::kAlways},
    {"portion", Need::kAlways},
    {"quota_per_s", Need::kQuotas},
};

/// Lists with one value for each class.
constexpr std::string_view kClassLists[] = {"family_info.channels_needed", "family_info.class_hold_us"};

[[noreturn]] void throw_missing(const std::string& key) {
  throw SettingsError("setting is missing: " + key);
}

std::string item_prefix(const std::string& list, std::size_t index) {
  return list + "." + std::to_string(index) + ".";
}

/// A list is given by its length or, if it is empty, by its name.
bool contains_list(const KeyValuePairs& settings, const std::string& list) {
  return settings.contains(list) || settings.contains(list + ".count");
}

/// Decides which keys settings of this form require.
class Form {
 public:
  explicit Form(const KeyValuePairs& settings)
      : settings_(settings), has_quotas_(find_quotas()), is_simulated_(find_simulation()) {}

  [[nodiscard]] bool requires_key(Need need, const std::string& item = {}) const {
    switch (need) {
      case Need::kAlways:
        return true;
      case Need::kRetryAdvice:
        return settings_.find("limits.retry_after") == "true";
      case Need::kOnRequest:
        return settings_.find("discovery") == "on_request";
      case Need::kLoadReports:
        return settings_.find("report.source") != "off";
      case Need::kQuotas:
        return has_quotas_;
      case Need::kZones:
        return settings_.contains("localities");
      case Need::kSimulation:
        return is_simulated_;
      case Need::kDeduplicated:
        return settings_.find(item + "repeat") == "deduplicated";
      case Need::kIfGivenBefore:
        return false;
    }
    return true;
  }

 private:
  [[nodiscard]] bool find_quotas() const {
    const auto tenants = settings_.list_size("tenants");
    if (tenants > 0 && settings_.contains("over_share_worth")) return true;
    for (std::size_t i = 0; i < tenants; ++i) {
      if (settings_.contains(item_prefix("tenants", i) + "quota_per_s")) return true;
    }
    return false;
  }
  [[nodiscard]] bool find_simulation() const {
    return std::any_of(std::begin(kKeys), std::end(kKeys), [this](const RequiredKey& key) {
      return key.need == Need::kSimulation && settings_.contains(std::string(key.name));
    });
  }

  const KeyValuePairs& settings_;
  bool has_quotas_;
  bool is_simulated_;
};

template <std::size_t kSize>
void check_items(const KeyValuePairs& settings, const Form& form, const std::string& list,
                 const RequiredKey (&keys)[kSize]) {
  for (std::size_t i = 0; i < settings.list_size(list); ++i) {
    const auto prefix = item_prefix(list, i);
    for (const auto& [name, need] : keys) {
      const auto key = prefix + std::string(name);
      if (form.requires_key(need, prefix) && !settings.contains(key)) throw_missing(key);
    }
  }
}

template <std::size_t kSize>
void check_items_retained(const KeyValuePairs& current, const KeyValuePairs& updated, const std::string& list,
                          const RequiredKey (&keys)[kSize]) {
  const auto current_size = current.list_size(list);
  const auto updated_size = updated.list_size(list);
  for (const auto& [name, need] : keys) {
    bool is_common = current_size > 0;
    for (std::size_t i = 0; i < current_size; ++i)
      is_common = is_common && current.contains(item_prefix(list, i) + std::string(name));
    for (std::size_t i = 0; is_common && i < updated_size; ++i) {
      const auto key = item_prefix(list, i) + std::string(name);
      if (!updated.contains(key)) throw_missing(key);
    }
  }
}

}  // namespace

void check_required_keys(const KeyValuePairs& settings) {
  const Form form(settings);
  // A deployment whose goal weighs the worst tenant has tenants.
  const bool has_tenants = settings.find_number("goal.worst_tenant").value_or(0) > 0;
  if (has_tenants && !contains_list(settings, "tenants")) throw_missing("tenants");
  for (const auto& [name, need] : kKeys) {
    const std::string key(name);
    if (form.requires_key(need) && !settings.contains(key)) throw_missing(key);
  }
  check_items(settings, form, "classes", kClassKeys);
  check_items(settings, form, "tenants", kTenantKeys);
  for (const auto list : kClassLists) {
    const auto values = split(settings.require(std::string(list)), ',');
    if (values.size() < settings.list_size("classes"))
      throw SettingsError("setting does not have a value for each class: " + std::string(list));
  }
}

void check_keys_retained(const KeyValuePairs& current, const KeyValuePairs& updated) {
  for (const auto& required : kKeys) {
    const std::string key(required.name);
    if (current.contains(key) && !updated.contains(key)) throw_missing(key);
  }
  if (contains_list(current, "tenants") && !contains_list(updated, "tenants")) throw_missing("tenants");
  check_items_retained(current, updated, "classes", kClassKeys);
  check_items_retained(current, updated, "tenants", kTenantKeys);
}

}  // namespace amberknot::settings
