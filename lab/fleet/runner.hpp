// One run of a fleet of real processes: routers, session servers, callers and the relay between them.
#pragma once

#include <string>

#include "lab/fleet/checker.hpp"
#include "lab/fleet/relay.hpp"
#include "lab/fleet/stand_ins.hpp"

namespace amberknot::lab::fleet {

struct FleetOptions {
  std::string program;  ///< the router's file
  std::string folder;   ///< for everything that the run writes
  std::size_t routers = 5, servers = 3;
  double calls_per_s = 20;  ///< at each router
  Duration patience = std::chrono::milliseconds{2000};
  ServerTraits traits;
  Schedule schedule;
  RuleTimes times;
};

struct FleetResult {
  History history;
  Verdict verdict;
  RelayCounts relay;
  Duration worst_late{};
  std::size_t restarts = 0;
};

/// Throws std::runtime_error where the rig itself cannot run: a process that is never ready, no port, no
/// folder.
FleetResult run_fleet(const FleetOptions& options);

/// The one JSON line at the end of a run.
std::string summary_of(std::uint64_t seed, std::size_t nodes, const History& history, const Verdict& verdict,
                       const std::string& more);

}  // namespace amberknot::lab::fleet
