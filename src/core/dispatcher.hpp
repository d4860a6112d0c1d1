// A synchronous interface to the decision module: the caller reports an event and gets back the decisions
// that follow. The module's own events, actions and timers are hidden behind it. Does no I/O; the time is an
// argument.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// One thing that the module wants done. The fields used depend on the kind.
struct Decision {
  enum class Kind { kForward, kReject, kFail, kCancel, kCheckHealth, kBroadcast, kLog };
  Kind kind = Kind::kLog;
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  /// kForward: timeout of the attempt; zero means that only the caller's deadline limits it. kReject:
  /// Retry-After.
  Duration time{};
  std::vector<std::uint8_t> bytes;  ///< kBroadcast: message to all peers
  std::string text;                 ///< kLog: log line
};
/// Decisions in the order in which they were made.
using Decisions = std::vector<Decision>;

/// What a call asks for, as parsed by its frontend.
struct CallRequest {
  Instant expires{};                     ///< when the caller stops waiting
  std::optional<PoolId> preferred_pool;  ///< preferred pool; empty if the caller named none
  double width = 1;                      ///< number of lines that the call occupies
  std::size_t call_class = 0;            ///< index of the class in the settings
  std::size_t tenant = 0;                ///< index of the tenant in the settings
  bool was_aborted = false;              ///< the caller repeats a call that was aborted
  ProtocolVersionSet excluded_versions = 0;
};

/// How an attempt ended, as reported to the decision module.
struct AttemptReport {
  Outcome outcome = Outcome::kOk;
  Duration elapsed{};
  bool call_ended = false;
  bool is_caller_fault = false;
  ProtocolVersionSet newly_excluded_versions = 0;
  LoadReport load = {};
  std::optional<Duration> retry_after = {};  ///< delay that an overloaded server requests from all senders
};

/// A server as reported to the decision module.
struct ServerDescription {
  ServerId server{};
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  std::optional<Instant> started;  ///< empty if it started long ago
  ProtocolVersion version{};
};

/// Reports events to the decision module and returns its decisions. Also keeps the module's timers, which
/// fire in tick().
class Dispatcher {
 public:
  Dispatcher(Settings settings, Instant now);

  /// Reports a new call, which is forwarded, queued or rejected.
  Decisions report_new_call(Instant now, CallId call, const CallRequest& request);

  /// Reports that an attempt was answered and its call established.
  Decisions report_established(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                               Duration elapsed);
  /// Reports the end of an attempt, before or after its call was established.
  Decisions report_attempt_ended(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                                 const AttemptReport& report);
  /// Reports that a call was abandoned by its caller or has expired, so that the module drops it.
  Decisions report_abandoned(Instant now, CallId call);
  /// Reports the result of a health check that the module asked for.
  Decisions report_health_check(Instant now, ServerId server, Outcome outcome, Duration elapsed,
                                const LoadReport& load);
  /// Reports the load of a server that sent it without a health check.
  Decisions report_load(Instant now, ServerId server, const LoadReport& load);
  /// Reports the endpoint list, or the changed entries only if `is_full_list` is false.
  Decisions report_endpoints(Instant now, bool is_full_list, const std::vector<ServerDescription>& servers);
  /// Reports a message from the peer of that number.
  Decisions report_peer_message(Instant now, std::uint32_t from, std::vector<std::uint8_t> bytes);

  /// Fires the module's timers that are due.
  Decisions tick(Instant now);
  /// Returns when tick() has to be called next, or nothing if no timer is set.
  [[nodiscard]] std::optional<Instant> next_tick() const;

  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// Returns the longest deadline of any class of call. No call waits longer.
  [[nodiscard]] Duration longest_deadline() const;
  /// Applies the classes and limits of new settings; see Admission::apply_reload.
  void apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
    admission_.apply_reload(classes, limits);
    settings_.classes = classes;
    settings_.limits = limits;
  }

 private:
  struct PendingTimer {
    Instant when;
    TimerHandle handle;
    bool operator>(const PendingTimer& other) const { return when > other.when; }
  };
  void collect(std::vector<Action>& actions, Decisions& decisions);
  Decisions handle_event(Instant now, const Event& event);

  Settings settings_;
  Admission admission_;
  Decisions start_decisions_;
  std::priority_queue<PendingTimer, std::vector<PendingTimer>, std::greater<>> pending_timers_;
};

}  // namespace amberknot::core
