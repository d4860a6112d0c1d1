// The router's metrics in the text form of statsd. Pure: the caller passes the values, this formats them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/counters.hpp"

namespace amberknot::admin {

/// Values of the moment, beside the counters, which only grow.
struct Gauges {
  std::uint64_t open_requests = 0;     ///< calls that have not ended, established ones included
  std::uint64_t registry_entries = 0;  ///< servers in the endpoint list
  std::uint64_t out_of_rotation = 0;   ///< those of them that take no calls now
};

/// One counter line for each class and outcome (`router.fulfilled.voice:812|c`), then the gauges
/// (`router.open_requests:14|g`), then a line `.`. `classes` are the classes' names by index; a class without
/// a name is shown by its index.
std::string statsd_lines(const core::Counters& counters, const std::vector<std::string>& classes,
                         const Gauges& gauges);

}  // namespace amberknot::admin
