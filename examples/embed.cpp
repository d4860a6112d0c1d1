#include <cstdio>
#include <variant>
#include <vector>

#include "amberknot/admission.hpp"

int main() {
  using namespace amberknot;
  using namespace std::chrono_literals;

  Settings settings;
  settings.seed = 1;
  settings.siblings = 4;
  settings.round = 5ms;
  settings.resend = 800ms;
  settings.classes.resize(1);
  settings.classes[0].aim = 1500ms;
  settings.classes[0].deadline = 9s;
  settings.classes[0].worth = 1;
  settings.classes[0].repeatable = true;
  settings.limits.most_tries = 4;
  settings.invariants = {20ms, 500ms, 4.0, 1500ms, 0.35, 12s, 300ms};

  Admission admission(settings);
  std::vector<Action> actions;
  const Instant now{1s};  // your own clock, counted from any origin
  admission.start(now, actions);
  admission.handle(now, ListNews{ListScope::kFull, {{ServerId{7}, CellNo{0}, ListState::kReady, {}}}},
                   actions);

  NewCall call;
  call.call = CallId{1};
  call.expires = now + 3s;
  call.destination = CellNo{0};
  admission.handle(now, call, actions);

  for (const auto& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      std::printf("send call %u to server %u\n", static_cast<unsigned>(send->call),
                  static_cast<unsigned>(send->server));
    }
  }
}
