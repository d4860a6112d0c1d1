// Simulates a fleet in simulated time. Each router runs the product's core and decision module; schedule,
// faults, history and checker are those of a fleet of processes. No socket, thread or real clock is used, so
// that a run with a thousand routers takes only seconds.
#pragma once

#include "lab/fleet/checker.hpp"
#include "lab/fleet/stand_ins.hpp"

namespace amberknot::lab::fleet {

/// The parameters of a simulation.
struct SimulationOptions {
  std::size_t routers = 5, servers = 3;
  double calls_per_s = 20;                                    ///< at each router
  Duration caller_timeout = std::chrono::milliseconds{2000};  ///< how long a caller waits for an answer
  Duration one_way_delay = std::chrono::microseconds{200};  ///< between a router and a server, without faults
  ServerTraits traits;
  Schedule schedule;
  RuleLimits limits;
};

/// The outcome of a simulation.
struct SimulationResult {
  History history;
  Verdict verdict;
  std::uint64_t steps = 0;  ///< number of simulation events executed
};

/// Simulates a fleet. Throws ScheduleError if the schedule holds a fault that only real processes can have.
SimulationResult simulate(const SimulationOptions& options);

}  // namespace amberknot::lab::fleet
