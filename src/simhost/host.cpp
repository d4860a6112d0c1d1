#include "host.hpp"

#include <cmath>
#include <exception>
#include <iostream>
#include <optional>
#include <type_traits>
#include <utility>

#include "settings/settings.hpp"

namespace amberknot::simhost {

struct Host::Instance {
  explicit Instance(settings::ParsedSettings parsed)
      : columns(std::move(parsed.columns)),
        names_wait(parsed.names_wait),
        admission(std::move(parsed.settings)) {}

  [[nodiscard]] LoadReport report(const RawReport& raw) const;

  std::vector<std::string> columns;
  bool names_wait;
  Admission admission;
};

LoadReport Host::Instance::report(const RawReport& raw) const {
  constexpr double kMicrosPerMilli = 1000.0;
  LoadReport facts;
  for (std::size_t i = 0; i < raw.count && i < columns.size(); ++i) {
    const double value = raw.values[i];
    if (!std::isfinite(value) || value < 0) continue;
    const auto& name = columns[i];
    if (name == "idle") facts.free_lines = value;
    if (name == "circuits") facts.lines = value;
    if (name == "lat_ms" && value < 1e9) {
      facts.wait = Duration{static_cast<std::int64_t>(value * kMicrosPerMilli)};
    }
    if (name == "max_rate") facts.accept_rate = value;
    if (name == "reduce") facts.hold_back = value;
    if (name == "rif") facts.in_work = value;
    if (name == "q") facts.waiting = value;
    if (name == "busy") facts.busy = value;
  }
  return facts;
}

/// One batch in progress: the instance spoken to and the reply so far.
struct Host::Round {
  Host& host;
  Instant now;
  ReplyWriter reply;
  std::uint32_t node = 0;
  std::vector<Action> actions;

  template <typename Call>
  void run(Call&& call) {
    actions.clear();
    std::optional<std::string> panic;
    try {
      call();
    } catch (const std::exception& error) {
      panic = error.what();
    }
    if (!actions.empty() || panic) reply.speak_for(node);
    for (const auto& action : actions) reply.add(action);
    if (panic) {
      reply.add_panic(*panic);
      host.instances_.erase(node);
    }
  }

  void deliver(const Event& event) {
    const auto found = host.instances_.find(node);
    if (found == host.instances_.end()) {
      std::cerr << "event for an instance that is not running\n";
      return;
    }
    run([&] { found->second->admission.handle(now, event, actions); });
  }

  void operator()(const SwitchTo& at) { node = at.node; }
  void operator()(const Launch& launch) {
    run([&] {
      auto instance = std::make_unique<Instance>(settings::parse_settings(launch.settings, launch.seed));
      instance->admission.start(now, actions);
      host.instances_[node] = std::move(instance);
    });
  }
  void operator()(const Retire& /*retire*/) { host.instances_.erase(node); }
  void operator()(const DefineList& list) { host.lists_[list.number] = list.entries; }
  void operator()(const Sync& sync) {
    EndpointUpdate news{sync.scope, {}};
    if (sync.scope != EndpointUpdateScope::kFailed) {
      const auto found = host.lists_.find(sync.number);
      if (found == host.lists_.end()) throw WireError("list number not defined");
      news.entries = found->second;
    }
    deliver(news);
  }
  void operator()(const RawAttemptEnded& raw) {
    constexpr std::uint32_t kReasonMask = 15;
    constexpr std::uint32_t kProcessorFull = 3;
    constexpr std::uint32_t kNumberBusy = 4;
    auto event = raw.event;
    const bool processor_full = (raw.reason & kReasonMask) == kProcessorFull;
    event.is_caller_fault = raw.event.outcome == Outcome::kError && raw.reason == kNumberBusy;
    if (const auto found = host.instances_.find(node); found != host.instances_.end()) {
      event.report = found->second->report(raw.report);
      if (found->second->names_wait && processor_full && raw.reason > kReasonMask) {
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
  Round round{*this, header.now, {}, 0, {}};
  for (const auto& event : decode_body(header, body)) std::visit(round, event);
  return round.reply.finish();
}

}  // namespace amberknot::simhost
