// Test driver for one instance of the decision module: feeds it scripted events at chosen times and counts
// the actions that it returns.
#pragma once

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::testing {

using namespace std::chrono_literals;

/// Settings of most tests: two classes of call; cancelling and health checks are allowed.
inline Settings default_settings() {
  Settings settings;
  settings.seed = 42;
  settings.peer_count = 6;
  settings.batch_interval = 5ms;
  settings.retransmit_interval = 800ms;
  settings.classes.resize(2);
  settings.classes[0] = {1500ms, 9s, 1.0, 0.1, true, {}, {}};
  settings.classes[1] = {800ms, 6s, 6.0, 0.25, true, {}, {}};
  settings.limits = {true, true, false, false, 4, {}};
  settings.invariants = {20ms, 500ms, 4.0, 1500ms, 0.35, 12s, 300ms};
  return settings;
}

/// One instance of the module with a clock that the test sets. Each method that feeds an event returns the
/// actions that the event caused.
class Scenario {
 public:
  explicit Scenario(Settings settings = default_settings()) : admission_(std::move(settings)) {
    admission_.start(now_, actions_);
  }

  /// Sets the clock to `time` after the start of the scenario.
  Scenario& at(Duration time) {
    now_ = Instant{1000s} + time;
    return *this;
  }
  std::vector<Action> handle(const Event& event) {
    actions_.clear();
    admission_.handle(now_, event, actions_);
    all_actions_.insert(all_actions_.end(), actions_.begin(), actions_.end());
    return actions_;
  }
  std::vector<Action> update_endpoints(std::vector<EndpointEntry> entries,
                                       EndpointUpdateScope scope = EndpointUpdateScope::kFull) {
    return handle(EndpointUpdate{scope, std::move(entries)});
  }
  /// A new call whose caller hangs up after `caller_timeout`.
  std::vector<Action> start_call(std::uint32_t id, std::uint32_t pool, std::size_t call_class = 0,
                                 Duration caller_timeout = 3s) {
    NewCall new_call;
    new_call.call = CallId{id};
    new_call.destination = PoolId{pool};
    new_call.call_class = call_class;
    new_call.expires = now_ + caller_timeout;
    return handle(new_call);
  }
  /// `server` established the call `setup_delay` after the attempt was sent.
  std::vector<Action> establish(std::uint32_t id, std::uint32_t server, Duration setup_delay,
                                std::uint32_t attempt = 0) {
    return handle(Established{CallId{id}, ServerId{server}, attempt, setup_delay});
  }
  std::vector<Action> end_attempt(std::uint32_t id, std::uint32_t server, Outcome outcome,
                                  bool call_ended = false, std::uint32_t attempt = 0,
                                  LoadReport report = {}) {
    AttemptEnded ended;
    ended.call = CallId{id};
    ended.server = ServerId{server};
    ended.attempt = attempt;
    ended.outcome = outcome;
    ended.is_caller_fault = outcome == Outcome::kError;  // such an error does not count against the server
    ended.call_ended = call_ended;
    ended.report = report;
    return handle(ended);
  }
  /// The module's timer expires: it checks queued calls and silent servers.
  std::vector<Action> expire_timer() { return handle(TimerExpired{TimerHandle{1}}); }
  /// Expires the timer every 10 ms until `time` after the start. Returns all actions of that period.
  std::vector<Action> run_timer_until(Duration time) {
    std::vector<Action> seen;
    for (Duration step = now_ - Instant{1000s}; step < time;) {
      step += 10ms;
      at(step);
      const auto more = expire_timer();
      seen.insert(seen.end(), more.begin(), more.end());
    }
    return seen;
  }
  /// All actions since the start, apart from those of the start itself.
  [[nodiscard]] const std::vector<Action>& all_actions() const { return all_actions_; }
  void apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
    admission_.apply_reload(classes, limits);
  }
  [[nodiscard]] std::uint64_t server_evaluations() const { return admission_.server_evaluations(); }

 private:
  Admission admission_;
  Instant now_{1000s};
  std::vector<Action> actions_;
  std::vector<Action> all_actions_;
};

inline EndpointEntry ready_endpoint(std::uint32_t server, std::optional<Instant> started = {}) {
  return {ServerId{server}, PoolId{server}, EndpointState::kReady, started};
}
inline EndpointEntry endpoint_in_state(std::uint32_t server, EndpointState state) {
  return {ServerId{server}, PoolId{server}, state, {}};
}

/// The actions of type `A`, in order.
template <typename A>
std::vector<A> actions_of(const std::vector<Action>& actions) {
  std::vector<A> found;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<A>(&action)) found.push_back(*match);
  }
  return found;
}
/// Number of set-ups sent to `server`.
inline std::size_t count_forwards_to(const std::vector<Action>& actions, std::uint32_t server) {
  const auto forwards = actions_of<ForwardCall>(actions);
  return static_cast<std::size_t>(
      std::count_if(forwards.begin(), forwards.end(),
                    [&](const ForwardCall& forward) { return forward.server == ServerId{server}; }));
}
/// Number of final answers to callers without a call: rejections and failures.
inline std::size_t count_negative_answers(const std::vector<Action>& actions) {
  return actions_of<RejectCall>(actions).size() + actions_of<FailCall>(actions).size();
}

}  // namespace amberknot::testing
