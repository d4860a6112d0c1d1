// Runs a fleet of real processes: routers, session servers, callers and the relay between them.
#pragma once

#include <string>

#include "lab/fleet/checker.hpp"
#include "lab/fleet/relay.hpp"
#include "lab/fleet/stand_ins.hpp"

namespace amberknot::lab::fleet {

/// The parameters of a run.
struct FleetOptions {
  std::string program;  ///< path of the router's executable
  std::string folder;   ///< receives all files that the run writes
  std::size_t routers = 5, servers = 3;
  CallerTraits callers;         ///< at each router; `destinations` is set to the number of servers
  std::size_t connections = 1;  ///< connections of callers to each router, which share the calls
  ServerTraits traits;
  Schedule schedule;
  RuleLimits limits;
};

/// The outcome of a run.
struct FleetResult {
  History history;
  Verdict verdict;
  RelayCounts relay_counts;
  Duration max_lateness{};  ///< of the relay
  std::size_t restarts = 0;
};

/// Runs a fleet. Throws std::runtime_error if the run itself is not possible: a process does not become
/// ready, or a port or folder cannot be used.
FleetResult run_fleet(const FleetOptions& options);

/// Returns the options of a dense trial, without `program` and `folder`: 3 to 5 routers, 3 or 4 servers,
/// callers of all kinds, and deadlines of 3 s or, for odd seeds, so short that SIGKILL follows SIGTERM
/// after 1.1 s.
FleetOptions soak_options(std::uint64_t seed, Duration length);

/// Returns the line of JSON with which a run ends. `more` holds further members as JSON, without braces.
std::string summary_line(std::uint64_t seed, std::size_t nodes, const History& history,
                         const Verdict& verdict, const std::string& more);

}  // namespace amberknot::lab::fleet
