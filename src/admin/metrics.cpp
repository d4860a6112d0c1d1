#include "admin/metrics.hpp"

#include <algorithm>
#include <string_view>

namespace amberknot::admin {
namespace {

constexpr std::string_view kPrefix = "router.";
constexpr std::string_view kCounter = "c";
constexpr std::string_view kGauge = "g";

void append_metric(std::string& out, const std::string& name, std::uint64_t value, std::string_view type) {
  out += kPrefix;
  out += name;
  out += ':';
  out += std::to_string(value);
  out += '|';
  out += type;
  out += '\n';
}

void append_class_counters(std::string& out, const std::string& class_name, const core::ClassCounts& counts) {
  append_metric(out, "fulfilled." + class_name, counts.fulfilled, kCounter);
  append_metric(out, "throttled." + class_name, counts.throttled, kCounter);
  append_metric(out, "faulted." + class_name, counts.faulted, kCounter);
  append_metric(out, "relayed." + class_name, counts.relayed, kCounter);
}

}  // namespace

std::string statsd_lines(const core::Counters& counters, const std::vector<std::string>& classes,
                         const Gauges& gauges) {
  std::string out;
  const std::size_t class_count = std::max(classes.size(), counters.by_class.size());
  for (std::size_t i = 0; i < class_count; ++i) {
    append_class_counters(out, i < classes.size() ? classes[i] : std::to_string(i),
                          i < counters.by_class.size() ? counters.by_class[i] : core::ClassCounts{});
  }
  append_metric(out, "open_requests", gauges.open_requests, kGauge);
  append_metric(out, "registry_entries", gauges.registry_entries, kGauge);
  append_metric(out, "out_of_rotation", gauges.out_of_rotation, kGauge);
  append_metric(out, "cfg_accepted", counters.reloads, kGauge);
  append_metric(out, "cfg_invalid", counters.reloads_failed, kGauge);
  out += ".\n";
  return out;
}

}  // namespace amberknot::admin
