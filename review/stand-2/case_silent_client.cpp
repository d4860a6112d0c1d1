// One router, two Diameter clients, two session servers that speak SIP. Disruption: the clients' connections
// fall silent while they are open; the clients notice it by their watchdogs and connect anew.
#include "cases.hpp"

namespace review {

Verdict silent_client() {
  Channel channel;
  SipServer first("s-00c41f7a"), second("s-0512ce2f");
  for (auto* server : {&first, &second}) server->hold = milliseconds{17'000};
  Router router("n0", channel.listener.address(),
                {{first.name, first.listener.address()}, {second.name, second.listener.address()}});
  router.write_operator_file(operator_text("router-n0.kartu.example", router.diameter, ""));
  router.start();
  if (!wait_ready(router.listen)) return kNotRun;
  if (!run_until([&] { return first.links.size() >= 2 && second.links.size() >= 2; }, milliseconds{5000}))
    return kNotRun;
  run_for(milliseconds{500});
  Relay relay(router.diameter);
  DiameterClient hub_0("till-hub-0.kartu.example", relay.address()),
      hub_1("till-hub-1.kartu.example", relay.address());
  for (auto* hub : {&hub_0, &hub_1}) {
    hub->connect();
    if (!run_until([&] { return hub->is_up; }, milliseconds{3'000})) return kNotRun;
    for (unsigned i = 0; i < 2; ++i) {
      hub->open(hub->host + ";1;" + std::to_string(i), "100" + std::to_string(i), first.name, 3000);
      run_for(milliseconds{200});
    }
  }
  if (trouble()) {
    for (auto& pair : relay.pairs) pair->is_silent = true;
    note("relay: the clients' connections are silent from now on");
    // RFC 3539 with Tw = 6 s: a watchdog request, and 6 s later the connection is closed and opened anew.
    for (auto* hub : {&hub_0, &hub_1}) hub->send_watchdog();
    run_for(milliseconds{6'000});
    for (auto* hub : {&hub_0, &hub_1}) {
      note("%s: no answer to the watchdog request: connects anew", hub->host.c_str());
      hub->link->on_data = nullptr;  // the silent relay passes neither the close on nor anything else
      hub->connect();
      if (!run_until([&] { return hub->is_up; }, milliseconds{3'000})) return kNotRun;
    }
  } else {
    run_for(milliseconds{6'000});
  }
  run_for(milliseconds{11'500 + 8'100 + 1'000});
  if (!router.is_running()) {
    note("the router has ended");
    return kBroken;
  }
  unsigned stood = 0, broken = 0;
  for (auto* hub : {&hub_0, &hub_1}) {
    hub->send_watchdog();
    run_for(milliseconds{200});
    note("%s: its connection is %s", hub->host.c_str(), hub->watchdog_answers > 0 ? "alive" : "dead");
    if (hub->watchdog_answers == 0) return kNotRun;
    for (const auto& [id, call] : hub->sessions) {
      if (!call.stands) continue;
      ++stood;
      if (call.is_released) continue;
      ++broken;
      note("BROKEN: call %s stood and its server has released it; its caller has not been told within 8 s",
           id.c_str());
    }
  }
  note("%u calls stood, %u of them were not released towards their callers within 8 s of their end", stood,
       broken);
  if (broken > 0) return kBroken;
  return stood >= 4 ? kHeld : kNotRun;
}

}  // namespace review
