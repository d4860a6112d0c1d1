// The rules of a router's drain by the operators' command `standby` (the operators' page DAYS). Pure
// functions of the history.
#pragma once

#include "lab/fleet/checker.hpp"

namespace amberknot::lab::fleet {

/// 4 s after `standby` no connection of a caller is idle, none carries a request of the last 2 s, and the
/// router has not said since that it takes callers.
RuleVerdict check_drained_routers(const History& history, const RuleLimits& limits);

/// Each admin command is confirmed within 1 s, and the router takes callers again within 2 s of `active`.
RuleVerdict check_admin_commands(const History& history, const RuleLimits& limits);

}  // namespace amberknot::lab::fleet
