#include "core/load_report.hpp"

#include <cmath>

namespace amberknot::core {

void set_load_report_field(LoadReport& report, std::string_view name, double value) {
  // A negative value means that the server does not report this field.
  if (!std::isfinite(value) || value < 0) return;
  if (name == "x0" || name == "idle") report.free_lines = value;
  if (name == "x1" || name == "circuits") report.lines = value;
  if ((name == "latency_ms" || name == "lat_ms") && value < 1e9) {
    report.wait = Duration{static_cast<std::int64_t>(value * 1000.0)};
  }
  if (name == "qps" || name == "max_rate") report.accept_rate = value;
  if (name == "eps" || name == "reduce") report.hold_back = value;
  if (name == "inflight" || name == "rif") report.in_work = value;
  if (name == "queue" || name == "q") report.waiting = value;
  if (name == "util" || name == "busy") report.busy = value;
}

}  // namespace amberknot::core
