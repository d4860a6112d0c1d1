// The decision module in blocking style: report what happened, get back what to do. Its events, actions and
// timers are seen here and nowhere else. No I/O; time comes in as an argument.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// What the module wants done, in the order in which it decided.
struct Decision {
  enum class Kind { kForward, kReject, kFail, kCancel, kCheckHealth, kBroadcast, kLog };
  Kind kind = Kind::kLog;
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  Duration time{};  ///< kForward: the attempt's timeout, zero: the caller's; kReject: Retry-After
  std::vector<std::uint8_t> bytes;  ///< kBroadcast
  std::string text;                 ///< kLog
};
using Decisions = std::vector<Decision>;

/// What a call asks for, as its frontend read it.
struct CallFacts {
  Instant expires{};
  std::optional<PoolId> first_choice;
  double width = 1;
  std::size_t call_class = 0;
  std::size_t tenant = 0;
  bool was_aborted = false;
  ProtocolVersionSet excluded_versions = 0;
};

/// How an attempt ended, as the module is to hear it.
struct EndFacts {
  Outcome outcome = Outcome::kOk;
  Duration elapsed{};
  bool call_ended = false;
  bool is_caller_fault = false;
  ProtocolVersionSet excludes_versions = 0;
  LoadReport load = {};
  std::optional<Duration> retry_after = {};  ///< asked by an overloaded server of all senders
};

/// A server as the module is to see it.
struct ServerFacts {
  ServerId server{};
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  std::optional<Instant> started;
  ProtocolVersion version{};
};

class Dispatcher {
 public:
  Dispatcher(Settings settings, Instant now);

  /// A new call: it is forwarded, queued or rejected.
  Decisions pick(Instant now, CallId call, const CallFacts& facts);

  Decisions report_established(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                               Duration elapsed);
  Decisions report_end(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                       const EndFacts& facts);
  Decisions report_abandoned(Instant now, CallId call);
  Decisions report_health_check(Instant now, ServerId server, Outcome outcome, Duration elapsed,
                                const LoadReport& load);
  Decisions report_load(Instant now, ServerId server, const LoadReport& load);
  Decisions report_servers(Instant now, bool is_whole_list, const std::vector<ServerFacts>& servers);
  Decisions report_peer(Instant now, std::uint32_t from, std::vector<std::uint8_t> bytes);

  Decisions tick(Instant now);
  /// When tick() has something to do next; empty: nothing is due.
  [[nodiscard]] std::optional<Instant> next_tick() const;

  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// The longest deadline of any class of call: no call waits longer.
  [[nodiscard]] Duration longest_deadline() const;
  /// Classes and limits of new settings; see Admission::retune.
  void apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
    admission_.apply_reload(classes, limits);
    settings_.classes = classes;
    settings_.limits = limits;
  }

 private:
  struct Due {
    Instant when;
    TimerHandle handle;
    bool operator>(const Due& other) const { return when > other.when; }
  };
  void gather(std::vector<Action>& actions, Decisions& decisions);
  Decisions run(Instant now, const Event& event);

  Settings settings_;
  Admission admission_;
  Decisions at_start_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
};

}  // namespace amberknot::core
