#include "host.hpp"

#include <cmath>
#include <exception>
#include <iostream>
#include <optional>
#include <type_traits>
#include <utility>

#include "settings/settings.hpp"

namespace amberknot::simhost {

/// One instance of the decision module with the settings that its host needs.
struct Host::Instance {
  explicit Instance(settings::ParsedSettings parsed)
      : report_columns(std::move(parsed.report_columns)),
        reports_retry_wait(parsed.reports_retry_wait),
        admission(std::move(parsed.settings)) {}

  [[nodiscard]] LoadReport report(const RawReport& raw) const;

  std::vector<std::string> report_columns;
  bool reports_retry_wait;
  Admission admission;
};

LoadReport Host::Instance::report(const RawReport& raw) const {
  constexpr double kMicrosPerMilli = 1000.0;
  LoadReport load_report;
  for (std::size_t i = 0; i < raw.count && i < report_columns.size(); ++i) {
    const double value = raw.values[i];
    if (!std::isfinite(value) || value < 0) continue;
    const auto& name = report_columns[i];
    if (name == "idle") load_report.free_lines = value;
    if (name == "circuits") load_report.total_lines = value;
    if (name == "lat_ms" && value < 1e9) {
      load_report.queue_delay = Duration{static_cast<std::int64_t>(value * kMicrosPerMilli)};
    }
    if (name == "max_rate") load_report.accept_rate = value;
    if (name == "reduce") load_report.requested_rejection_share = value;
    if (name == "rif") load_report.in_progress = value;
    if (name == "q") load_report.queued = value;
    if (name == "busy") load_report.utilization = value;
  }
  return load_report;
}

/// A batch in progress: the selected instance and the reply so far.
struct Host::Batch {
  Host& host;
  Instant now;
  ReplyWriter reply;
  std::uint32_t node = 0;
  std::vector<Action> actions;

  template <typename Function>
  void run(Function&& function) {
    actions.clear();
    std::optional<std::string> panic;
    try {
      function();
    } catch (const std::exception& error) {
      panic = error.what();
    }
    if (!actions.empty() || panic) reply.select_instance(node);
    for (const auto& action : actions) reply.add(action);
    if (panic) {
      reply.add_panic(*panic);
      host.instances_.erase(node);
    }
  }

  void deliver(const Event& event) {
    const auto found = host.instances_.find(node);
    if (found == host.instances_.end()) {
      std::cerr << "amberknot_simhost: ignored an event for an instance that is not running\n";
      return;
    }
    run([&] { found->second->admission.handle(now, event, actions); });
  }

  void operator()(const SelectInstance& selection) { node = selection.node; }
  void operator()(const StartInstance& start) {
    run([&] {
      auto instance = std::make_unique<Instance>(settings::parse_settings(start.settings, start.seed));
      instance->admission.start(now, actions);
      host.instances_[node] = std::move(instance);
    });
  }
  void operator()(const StopInstance& /*stop*/) { host.instances_.erase(node); }
  void operator()(const DefineEndpointList& list) { host.endpoint_lists_[list.number] = list.entries; }
  void operator()(const ApplyEndpointList& endpoint_update) {
    EndpointUpdate update{endpoint_update.scope, {}};
    if (endpoint_update.scope != EndpointUpdateScope::kFailed) {
      const auto found = host.endpoint_lists_.find(endpoint_update.number);
      if (found == host.endpoint_lists_.end())
        throw WireError("endpoint update refers to a list that is not defined");
      update.entries = found->second;
    }
    deliver(update);
  }
  void operator()(const RawAttemptEnded& raw) {
    constexpr std::uint32_t kReasonMask = 15;
    constexpr std::uint32_t kProcessorFull = 3;
    constexpr std::uint32_t kNumberBusy = 4;
    auto event = raw.event;
    const bool is_processor_full = (raw.reason & kReasonMask) == kProcessorFull;
    event.is_caller_fault = raw.event.outcome == Outcome::kError && raw.reason == kNumberBusy;
    if (const auto found = host.instances_.find(node); found != host.instances_.end()) {
      event.report = found->second->report(raw.report);
      if (found->second->reports_retry_wait && is_processor_full && raw.reason > kReasonMask) {
        event.retry_after = std::chrono::milliseconds{raw.reason / (kReasonMask + 1)};
      }
    }
    deliver(event);
  }
  void operator()(const RawHealthCheckResult& raw) {
    auto event = raw.event;
    if (const auto found = host.instances_.find(node); found != host.instances_.end()) {
      event.report = found->second->report(raw.report);
    }
    deliver(event);
  }
  template <typename Other>
  void operator()(const Other& event) {
    deliver(event);
  }
};

Host::Host() = default;
Host::~Host() = default;

std::vector<std::uint8_t> Host::answer(const BatchHeader& header, std::span<const std::uint8_t> body) {
  Batch batch{*this, header.now, {}, 0, {}};
  for (const auto& event : decode_body(header, body)) std::visit(batch, event);
  return batch.reply.finish();
}

}  // namespace amberknot::simhost
