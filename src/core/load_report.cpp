#include "core/load_report.hpp"

#include <cmath>

namespace amberknot::core {

void set_load_report_field(LoadReport& report, std::string_view name, double value) {
  // A negative value means that the server does not report this field.
  if (!std::isfinite(value) || value < 0) return;
  if (name == "x0" || name == "idle") report.free_lines = value;
  if (name == "x1" || name == "circuits") report.total_lines = value;
  if ((name == "latency_ms" || name == "lat_ms") && value < 1e9) {
    report.queue_delay = Duration{static_cast<std::int64_t>(value * 1000.0)};
  }
  if (name == "qps" || name == "max_rate") report.accept_rate = value;
  if (name == "eps" || name == "reduce") report.requested_rejection_share = value;
  if (name == "inflight" || name == "rif") report.in_progress = value;
  if (name == "queue" || name == "q") report.queued = value;
  if (name == "util" || name == "busy") report.utilization = value;
}

}  // namespace amberknot::core
