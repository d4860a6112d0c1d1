// Two routers, each with one Diameter client, and two servers of the session API. Disruption: both routers
// are killed at the same time and come back at the same time.
#include "cases.hpp"

namespace review {

Verdict same_id() {
  Channel channel;
  SessionApiServer first("s-7d01aa40"), second("s-91c2b3f0");
  // A set-up waits 200 ms at its server.
  first.answer_time = second.answer_time = milliseconds{200};
  const std::vector<std::pair<std::string, std::string>> servers = {{first.name, first.http2.address()},
                                                                    {second.name, second.http2.address()}};
  Router n0("n0", channel.listener.address(), servers, 0), n1("n1", channel.listener.address(), servers, 1),
      n2("n2", channel.listener.address(), servers, 2);
  for (auto* router : {&n0, &n1, &n2})
    router->write_operator_file(operator_text("router-" + router->name + ".kartu.example", router->diameter,
                                              "", R"(,"session_api":{"servers":{"*":"session-1"}})"));
  n0.start();
  run_for(milliseconds{1'500});
  n1.start();
  run_for(milliseconds{1'500});
  n2.start();
  if (!wait_ready(n0.listen) || !wait_ready(n1.listen) || !wait_ready(n2.listen)) return kNotRun;
  run_for(milliseconds{1'000});
  if (trouble()) {
    n0.kill_now();
    n1.kill_now();
    run_for(milliseconds{2'500});
    // Not just before the next second of the clock, so that both start within one second.
    run_until([] { return net::Loop::unix_ms() % 1000 < 200; }, milliseconds{1'000});
    n0.start();
    n1.start();
    if (!wait_ready(n0.listen) || !wait_ready(n1.listen)) return kNotRun;
  }
  run_until([&] { return false; }, milliseconds{1'500});
  DiameterClient hub_0("till-hub-0.kartu.example", n0.diameter),
      hub_1("till-hub-1.kartu.example", n1.diameter);
  hub_0.connect();
  hub_1.connect();
  if (!run_until([&] { return hub_0.is_up && hub_1.is_up; }, milliseconds{3'000})) return kNotRun;
  // The first client sets up four calls that are to last for 12 s.
  for (unsigned i = 0; i < 4; ++i) {
    hub_0.open("till-hub-0.kartu.example;1;" + std::to_string(i), "100" + std::to_string(i), first.name,
               3000);
    run_for(milliseconds{300});
  }
  // The second client sets up four calls too, and hangs up 100 ms later.
  for (unsigned i = 0; i < 4; ++i) {
    const auto id = "till-hub-1.kartu.example;1;" + std::to_string(i);
    hub_1.open(id, "200" + std::to_string(i), first.name, 3000);
    run_for(milliseconds{100});
    hub_1.terminate(id);
    run_for(milliseconds{300});
  }
  run_for(milliseconds{12'000 + 8'100});
  if (!n0.is_running() || !n1.is_running() || !n2.is_running()) {
    note("a router has ended");
    return kBroken;
  }
  unsigned stood = 0, broken = 0;
  for (const auto* server : {&first, &second}) {
    for (const auto& [id, session] : server->sessions) {
      if (session.tag.substr(0, 3) != "100") continue;
      const auto& call = hub_0.sessions["till-hub-0.kartu.example;1;" + session.tag.substr(3)];
      if (!call.stands) continue;
      ++stood;
      if (session.ended_at == Instant{}) continue;
      const long late = call.is_released
                            ? static_cast<long>((call.released_at - session.ended_at).count() / 1000)
                            : ms_since(session.ended_at);
      if (late <= 8'050) continue;
      ++broken;
      note(
          "BROKEN: the call of number %s at router n0 stood and was ended at its server by %s; its caller %s",
          session.tag.c_str(), session.ended_by_router ? "router n1, for another call" : "the server",
          call.is_released ? "was told too late" : "has not been told");
    }
  }
  note("%u calls stood, %u of them were not released towards their callers within 8 s of their end", stood,
       broken);
  if (broken > 0) return kBroken;
  return stood >= 4 ? kHeld : kNotRun;
}

}  // namespace review
