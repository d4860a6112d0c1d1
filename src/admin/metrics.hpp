// The figures that `stats` shows, as statsd lines (DAYS, "What the call router reports"). Pure: the router
// hands in what it counted, this only writes it out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/counters.hpp"

namespace amberknot::admin {

struct Gauges {
  std::uint64_t open_requests = 0;
  std::uint64_t registry_entries = 0;
  std::uint64_t out_of_rotation = 0;
};

/// One counter line a class and figure (`router.fulfilled.C:812|c`), then the gauges, then a line `.`.
/// Classes without a name are shown by their number.
std::string statsd_lines(const core::Counters& counters, const std::vector<std::string>& classes,
                         const Gauges& gauges);

}  // namespace amberknot::admin
