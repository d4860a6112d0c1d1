// The configuration file of a fleet's router, in the form in which the platform provides it. Router
// processes and the simulation use the same text, so that both run with the same settings.
#pragma once

#include <string>

#include "lab/fleet/checker.hpp"

namespace amberknot::lab::fleet {

/// The values in which the configurations of two routers differ.
struct ConfigValues {
  std::string name, listen, channel;
  std::uint64_t seed = 1;
  std::string known = R"({"cursor":0,"cmds":[]})";
  std::size_t routers = 1;
  std::size_t servers = 1;  ///< each is a pool of its own
};

/// Returns the configuration as JSON.
std::string config_text(const ConfigValues& values, const RuleLimits& limits);

}  // namespace amberknot::lab::fleet
