// The same fleet in simulated time: the product's own core and module in each router, the same schedule,
// faults, history and checker, and no socket, thread or clock. A thousand routers in seconds.
#pragma once

#include "lab/fleet/checker.hpp"
#include "lab/fleet/stand_ins.hpp"

namespace amberknot::lab::fleet {

struct SimulationOptions {
  std::size_t routers = 5, servers = 3;
  double calls_per_s = 20;  ///< at each router
  Duration patience = std::chrono::milliseconds{2000};
  Duration one_way = std::chrono::microseconds{200};  ///< between a router and a server, without faults
  ServerTraits traits;
  Schedule schedule;
  RuleTimes times;
};

struct SimulationResult {
  History history;
  Verdict verdict;
  std::uint64_t steps = 0;  ///< events of the simulation
};

SimulationResult simulate(const SimulationOptions& options);

}  // namespace amberknot::lab::fleet
