// The configuration of a fleet's router, as the platform would hand it out: one text for processes and for
// the simulation, so that both run under the same settings.
#pragma once

#include <string>

#include "lab/fleet/checker.hpp"

namespace amberknot::lab::fleet {

struct ConfigFacts {
  std::string name, listen, channel;
  std::uint64_t seed = 1;
  std::string known = R"({"cursor":0,"cmds":[]})";
  std::size_t routers = 1;
};

std::string config_text(const ConfigFacts& facts, const RuleTimes& times);

}  // namespace amberknot::lab::fleet
