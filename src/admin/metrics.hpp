// Formats the router's metrics as statsd lines. Has no I/O and no state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/counters.hpp"

namespace amberknot::admin {

/// Current values, which can fall as well as rise.
struct Gauges {
  std::uint64_t open_requests = 0;     ///< calls that have not ended, including established ones
  std::uint64_t registry_entries = 0;  ///< servers in the endpoint list
  std::uint64_t out_of_rotation = 0;   ///< servers of that list that accept no calls now
};

/// Returns one counter line for each class and outcome (`router.fulfilled.voice:812|c`), then the gauges
/// (`router.open_requests:14|g`), then a line with a single `.`. `classes` holds the names of the classes by
/// index; a class without a name is shown as its index.
std::string statsd_lines(const core::Counters& counters, const std::vector<std::string>& classes,
                         const Gauges& gauges);

}  // namespace amberknot::admin
