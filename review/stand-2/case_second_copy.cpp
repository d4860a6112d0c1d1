// Callers over JSON lines, one router, two session servers that speak Diameter. Disruption: one answer in
// four comes with a second copy 5 ms later.
#include "cases.hpp"

namespace review {

Verdict second_copy() {
  Channel channel;
  DiameterServer first("s-00c41f7a"), second("s-0512ce2f");
  Router router("n0", channel.listener.address(),
                {{first.host, first.listener.address()}, {second.host, second.listener.address()}});
  router.write_operator_file(
      operator_text("router-1.kartu.example", "", "\"" + first.host + "\",\"" + second.host + "\""));
  unsigned answers = 0;
  for (auto* server : {&first, &second}) {
    server->send_answer = [&, server](Link& link, DiameterServer::Session& session, std::string bytes) {
      link.send(bytes);
      if (!trouble() || ++answers % 4 != 0) return;
      after(milliseconds{5}, [&link, bytes, server, id = session.caller_id] {
        note("%s: second copy of the answer to %s", server->host.c_str(), id.c_str());
        link.send(bytes);
      });
    };
  }
  router.start();
  if (!wait_ready(router.listen)) return kNotRun;
  if (!run_until([&] { return first.peers_up > 0 && second.peers_up > 0; }, milliseconds{5000}))
    return kNotRun;
  run_for(milliseconds{300});
  JsonCallers callers(router.listen);
  constexpr unsigned kCalls = 12;
  for (unsigned i = 0; i < kCalls; ++i) {
    callers.open(call_id(i), i % 2, 3000);
    run_for(milliseconds{100});
  }
  // Each session ends 10 s after its answer at the latest; its caller has to be told within 8.05 s of the
  // end.
  run_for(milliseconds{10'500 + 8'100});
  if (!router.is_running()) {
    note("the router has ended");
    return kBroken;
  }
  return check_releases(callers, {&first, &second}, kCalls);
}

/// Whether each call that stood was released towards its caller.
Verdict check_releases(const JsonCallers& callers, const std::vector<DiameterServer*>& servers,
                       unsigned min_stood) {
  unsigned stood = 0, broken = 0;
  for (const auto* server : servers) {
    for (const auto& [id, session] : server->sessions) {
      const auto call = callers.calls.find(session.caller_id);
      if (call == callers.calls.end() || !call->second.stands) continue;
      ++stood;
      if (session.ended_at == Instant{}) continue;
      const long late = call->second.is_released
                            ? static_cast<long>((call->second.released_at - session.ended_at).count() / 1000)
                            : ms_since(session.ended_at);
      if (late <= 8'050) continue;
      ++broken;
      note("BROKEN: call %s stood and was ended at its server by %s; its caller %s",
           session.caller_id.c_str(), session.ended_by_router ? "the router" : "the server",
           call->second.is_released ? "was told too late" : "has not been told");
    }
  }
  note("%u calls stood, %u of them were not released towards their callers within 8 s of their end", stood,
       broken);
  if (broken > 0) return kBroken;
  return stood >= min_stood ? kHeld : kNotRun;
}

}  // namespace review
