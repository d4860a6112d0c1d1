#include <cstdio>
#include <variant>
#include <vector>

#include "amberknot/admission.hpp"

int main() {
  using namespace amberknot;
  using namespace std::chrono_literals;

  Settings settings;
  settings.seed = 1;
  settings.peer_count = 4;
  settings.batch_interval = 5ms;
  settings.retransmit_interval = 800ms;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = 1500ms;
  settings.classes[0].deadline = 9s;
  settings.classes[0].priority_weight = 1;
  settings.classes[0].idempotent = true;
  settings.limits.max_attempts = 4;
  settings.invariants = {20ms, 500ms, 4.0, 1500ms, 0.35, 12s, 300ms};

  Admission admission(settings);
  std::vector<Action> actions;
  const Instant now{1s};  // your own clock, counted from any origin
  admission.start(now, actions);
  admission.handle(
      now, EndpointUpdate{EndpointUpdateScope::kFull, {{ServerId{7}, PoolId{0}, EndpointState::kReady, {}}}},
      actions);

  NewCall call;
  call.call = CallId{1};
  call.expires = now + 3s;
  call.destination = PoolId{0};
  admission.handle(now, call, actions);

  for (const auto& action : actions) {
    if (const auto* send = std::get_if<ForwardCall>(&action)) {
      std::printf("send call %u to server %u\n", static_cast<unsigned>(send->call),
                  static_cast<unsigned>(send->server));
    }
  }
}
