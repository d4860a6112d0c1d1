#include "lab/fleet/config_text.hpp"

#include <sstream>

namespace amberknot::lab::fleet {
namespace {

/// The pools that the class of call may go to, which are those of all servers.
std::string pools_text(std::size_t servers) {
  std::string text;
  for (std::size_t i = 0; i < servers; ++i) text += (i > 0 ? ",\"" : "\"") + std::to_string(i) + "\"";
  return text;
}

}  // namespace

std::string config_text(const ConfigValues& values, const RuleLimits& limits) {
  std::ostringstream text;
  text
      << R"({"name":")" << values.name << R"(","listen":")" << values.listen << R"(","seed":")" << std::hex
      << values.seed << std::dec << R"(","limits":{"cores":1,"memory_mb":64,"sockets":1024},"channel":")"
      << values.channel << R"(","known":)" << values.known
      << R"(,"settings":{"classes":[{"name":"till","aim_us":")"
      << std::min<Duration>(limits.class_deadline, std::chrono::milliseconds{1200}).count()
      << R"(","deadline_us":")" << limits.class_deadline.count() << R"(","value":"1",)"
      << R"("late_worth":"0.1","repeat":"idempotent","streamed":"true"}],"discovery":"pushed","family":"trunks",)"
      << R"("family_info":{"channels_needed":["1"],"clear_wait_us":")" << limits.min_retry_delay.count()
      << R"(","class_hold_us":["900000"],"network_form":"skills","resend_us":"0","retry_hint":"true",)"
      << R"("route_advice":"false","self_no":"-1","skilled_pools":[[)" << pools_text(values.servers) << "]]},"
      << R"("invariants":{"answer_slack_us":"20000","cold_from":"0.35","drain_grace_us":")"
      << limits.drain_grace_period.count()
      << R"(","fall_multiple":"3","fall_us":"3000000","ramp_time_us":"2000000"},)"
      << R"("limits":{"cancel":"true","conn_idle_us":"600000000","connect_timeout_us":"500000",)"
      << R"("max_retry_after_us":"2000000","most_held":"20000","most_tries":")" << limits.max_attempts
      << R"(","peers":"false","probes":"true","retry_after":"true","second_copies":"false"},)"
      << R"("over_share_worth":"1","report":{"columns":["idle","circuits"],"source":"inline"},)"
      << R"("round_us":"5000","self_index":"0","siblings":")" << values.routers
      << R"(","tenants":[{"name":"toko","portion":"1","quota_per_s":"100000"}]}})";
  return text.str();
}

}  // namespace amberknot::lab::fleet
