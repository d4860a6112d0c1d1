#include "lab/fleet/config_text.hpp"

#include <sstream>

namespace amberknot::lab::fleet {

std::string config_text(const ConfigValues& values, const RuleLimits& limits) {
  std::ostringstream text;
  text << R"({"name":")" << values.name << R"(","listen":")" << values.listen << R"(","seed":")" << std::hex
       << values.seed << std::dec << R"(","limits":{"cores":1,"memory_mb":64,"sockets":1024},"channel":")"
       << values.channel << R"(","known":)" << values.known
       << R"(,"settings":{"classes":[{"name":"till","aim_us":")"
       << std::min<Duration>(limits.class_deadline, std::chrono::milliseconds{1200}).count()
       << R"(","deadline_us":")" << limits.class_deadline.count() << R"(","value":"1",)"
       << R"("late_worth":"0.1","repeat":"idempotent"}],"discovery":"pushed",)"
       << R"("family_info":{"clear_wait_us":")" << limits.min_retry_delay.count()
       << R"(","class_hold_us":"900000","retry_hint":"true","self_no":"-1"},)"
       << R"("invariants":{"answer_slack_us":"20000","cold_from":"0.35","drain_grace_us":")"
       << limits.drain_grace_period.count()
       << R"(","fall_multiple":"3","fall_us":"3000000","ramp_time_us":"2000000"},)"
       << R"("limits":{"cancel":"true","connect_timeout_us":"500000","max_retry_after_us":"2000000",)"
       << R"("most_tries":")" << limits.max_attempts
       << R"(","peers":"false","probes":"true","retry_after":"true"},"report":{"columns":"idle,circuits"},)"
       << R"("round_us":"5000","self_index":"0","siblings":")" << values.routers
       << R"(","tenants":[{"name":"toko","quota_per_s":"100000"}]}})";
  return text.str();
}

}  // namespace amberknot::lab::fleet
