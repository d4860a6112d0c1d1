#include "admin/metrics.hpp"

namespace amberknot::admin {
namespace {

void line(std::string& to, const std::string& name, std::uint64_t value, const char* kind) {
  to += "router.";
  to += name;
  to += ':';
  to += std::to_string(value);
  to += '|';
  to += kind;
  to += '\n';
}

}  // namespace

std::string statsd_lines(const core::Counters& counters, const std::vector<std::string>& classes,
                         const Gauges& gauges) {
  std::string out;
  const std::size_t shown = std::max(classes.size(), counters.by_class.size());
  for (std::size_t i = 0; i < shown; ++i) {
    const std::string name = i < classes.size() ? classes[i] : std::to_string(i);
    const core::ClassCounts counts =
        i < counters.by_class.size() ? counters.by_class[i] : core::ClassCounts{};
    line(out, "fulfilled." + name, counts.fulfilled, "c");
    line(out, "throttled." + name, counts.throttled, "c");
    line(out, "faulted." + name, counts.faulted, "c");
    line(out, "relayed." + name, counts.relayed, "c");
  }
  line(out, "open_requests", gauges.open_requests, "g");
  line(out, "registry_entries", gauges.registry_entries, "g");
  line(out, "out_of_rotation", gauges.out_of_rotation, "g");
  line(out, "cfg_accepted", counters.reloads, "g");
  line(out, "cfg_invalid", counters.reloads_failed, "g");
  out += ".\n";
  return out;
}

}  // namespace amberknot::admin
