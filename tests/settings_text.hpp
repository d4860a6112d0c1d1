// A valid settings text for tests, with every key that a file of this form must have. A test may change or
// remove keys before it is written.
#pragma once

#include <map>
#include <string>

namespace amberknot::testing {

inline std::map<std::string, std::string> default_setting_values() {
  return {{"classes.count", "1"},
          {"classes.0.name", "voice"},
          {"classes.0.aim_us", "1500000"},
          {"classes.0.deadline_us", "9000000"},
          {"classes.0.value", "1.0"},
          {"classes.0.late_worth", "0.1"},
          {"classes.0.repeat", "idempotent"},
          {"classes.0.streamed", "true"},
          {"discovery", "pushed"},
          {"family", "trunks"},
          {"family_info.channels_needed", "1"},
          {"family_info.clear_wait_us", "300000"},
          {"family_info.class_hold_us", "9100000"},
          {"family_info.network_form", "skills"},
          {"family_info.resend_us", "800000"},
          {"family_info.retry_hint", "true"},
          {"family_info.route_advice", "false"},
          {"family_info.self_no", "-1"},
          {"family_info.skilled_pools.count", "1"},
          {"family_info.skilled_pools.0", "0,1"},
          {"invariants.answer_slack_us", "20000"},
          {"invariants.cold_from", "0.35"},
          {"invariants.drain_grace_us", "500000"},
          {"invariants.fall_multiple", "4.0"},
          {"invariants.fall_us", "1500000"},
          {"invariants.ramp_time_us", "12000000"},
          {"limits.cancel", "true"},
          {"limits.conn_idle_us", "600000000"},
          {"limits.connect_timeout_us", "500000"},
          {"limits.max_retry_after_us", "2000000"},
          {"limits.most_held", "20000"},
          {"limits.most_tries", "4"},
          {"limits.peers", "false"},
          {"limits.probes", "true"},
          {"limits.retry_after", "true"},
          {"limits.second_copies", "false"},
          {"over_share_worth", "0.05"},
          {"report.columns", "idle,circuits,lat_ms,reduce"},
          {"report.source", "inline"},
          {"round_us", "5000"},
          {"self_index", "0"},
          {"siblings", "4"},
          {"tenants.count", "1"},
          {"tenants.0.name", "acme"},
          {"tenants.0.portion", "1.0"},
          {"tenants.0.quota_per_s", "12.5"}};
}

inline std::string settings_text(const std::map<std::string, std::string>& keys = default_setting_values()) {
  std::string text;
  for (const auto& [key, value] : keys) text += key + "=" + value + "\n";
  return text;
}

}  // namespace amberknot::testing
