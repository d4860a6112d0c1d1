// Scripted events for one instance of the module, and plain questions to its actions.
#pragma once

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::testing {

using namespace std::chrono_literals;

inline Settings usual_settings() {
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

class Scenario {
 public:
  explicit Scenario(Settings settings = usual_settings()) : admission_(std::move(settings)) {
    admission_.start(now_, actions_);
  }

  Scenario& at(Duration time) {
    now_ = Instant{1000s} + time;
    return *this;
  }
  /// The actions that this event caused.
  std::vector<Action> tell(const Event& event) {
    actions_.clear();
    admission_.handle(now_, event, actions_);
    all_.insert(all_.end(), actions_.begin(), actions_.end());
    return actions_;
  }
  std::vector<Action> list(std::vector<EndpointEntry> entries,
                           EndpointUpdateScope scope = EndpointUpdateScope::kFull) {
    return tell(EndpointUpdate{scope, std::move(entries)});
  }
  std::vector<Action> call(std::uint32_t id, std::uint32_t pool, std::size_t call_class = 0,
                           Duration lasts = 3s) {
    NewCall news;
    news.call = CallId{id};
    news.destination = PoolId{pool};
    news.call_class = call_class;
    news.expires = now_ + lasts;
    return tell(news);
  }
  std::vector<Action> stands(std::uint32_t id, std::uint32_t server, Duration taken,
                             std::uint32_t attempt = 0) {
    return tell(Established{CallId{id}, ServerId{server}, attempt, taken});
  }
  std::vector<Action> ends(std::uint32_t id, std::uint32_t server, Outcome outcome, bool call_ended = false,
                           std::uint32_t attempt = 0, LoadReport report = {}) {
    AttemptEnded ended;
    ended.call = CallId{id};
    ended.server = ServerId{server};
    ended.attempt = attempt;
    ended.outcome = outcome;
    ended.is_caller_fault = outcome == Outcome::kError;  // no fault of the server
    ended.call_ended = call_ended;
    ended.report = report;
    return tell(ended);
  }
  /// The module's timer comes due; looks at held calls and silent servers happen then.
  std::vector<Action> look() { return tell(TimerExpired{TimerHandle{1}}); }
  /// Looks every 10 ms until then; all actions of that time.
  std::vector<Action> look_until(Duration time) {
    std::vector<Action> seen;
    for (Duration step = now_ - Instant{1000s}; step < time;) {
      step += 10ms;
      at(step);
      const auto more = look();
      seen.insert(seen.end(), more.begin(), more.end());
    }
    return seen;
  }
  [[nodiscard]] const std::vector<Action>& all() const { return all_; }
  void apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
    admission_.apply_reload(classes, limits);
  }
  [[nodiscard]] std::uint64_t server_evaluations() const { return admission_.server_evaluations(); }

 private:
  Admission admission_;
  Instant now_{1000s};
  std::vector<Action> actions_;
  std::vector<Action> all_;
};

inline EndpointEntry ready(std::uint32_t server, std::optional<Instant> started = {}) {
  return {ServerId{server}, PoolId{server}, EndpointState::kReady, started};
}
inline EndpointEntry in_state(std::uint32_t server, EndpointState state) {
  return {ServerId{server}, PoolId{server}, state, {}};
}

template <typename A>
std::vector<A> of(const std::vector<Action>& actions) {
  std::vector<A> found;
  for (const auto& action : actions) {
    if (const auto* one = std::get_if<A>(&action)) found.push_back(*one);
  }
  return found;
}
inline std::size_t sends_to(const std::vector<Action>& actions, std::uint32_t server) {
  const auto sends = of<ForwardCall>(actions);
  return static_cast<std::size_t>(std::count_if(
      sends.begin(), sends.end(), [&](const ForwardCall& send) { return send.server == ServerId{server}; }));
}
inline std::size_t answers(const std::vector<Action>& actions) {
  return of<RejectCall>(actions).size() + of<FailCall>(actions).size();
}

}  // namespace amberknot::testing
