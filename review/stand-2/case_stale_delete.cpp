// Callers over JSON lines, one router, two servers of the session API, the first behind a relay. Disruption:
// one of the router's connections to the first server falls silent while it is open.
#include "cases.hpp"

namespace review {

Verdict stale_delete() {
  Channel channel;
  SessionApiServer first("s-7d01aa40"), second("s-91c2b3f0");
  Relay relay(first.http2.address());
  Router router("n0", channel.listener.address(),
                {{first.name, relay.address()}, {second.name, second.http2.address()}});
  router.write_operator_file(R"({"session_api":{"servers":{"*":"session-1"}}})");
  router.start();
  if (!wait_ready(router.listen)) return kNotRun;
  if (!run_until([&] { return !first.event_streams.empty() && !second.event_streams.empty(); },
                 milliseconds{5000}))
    return kNotRun;
  run_for(milliseconds{1000});
  if (relay.pairs.size() < 2 || first.http2.peers.size() < 2) return kNotRun;
  JsonCallers callers(router.listen);
  unsigned next = 0;
  const auto open_some = [&](unsigned count) {
    for (unsigned i = 0; i < count; ++i) {
      callers.open(call_id(next), 0, 3400);
      ++next;
      run_for(milliseconds{40});
    }
  };
  open_some(4);
  if (trouble()) {
    // The connection without the stream of events.
    for (std::size_t i = 0; i < 2; ++i) {
      if (first.http2.peers[i].get() == first.event_streams[0].peer) continue;
      relay.pairs[i]->is_silent = true;
      note("relay: connection %zu to %s is silent from now on", i + 1, first.name.c_str());
    }
  }
  open_some(4);
  // Each session ends 12 s after its answer at the latest; its caller has to be told within 8.05 s of the
  // end.
  run_for(milliseconds{3'500 + 12'000 + 8'100});
  if (!router.is_running()) {
    note("the router has ended");
    return kBroken;
  }
  unsigned stood = 0, broken = 0;
  for (const auto* server : {&first, &second}) {
    for (const auto& [id, session] : server->sessions) {
      const auto call = callers.calls.find(id);
      if (call == callers.calls.end() || !call->second.stands) continue;
      ++stood;
      if (session.ended_at == Instant{}) continue;
      const long late = call->second.is_released
                            ? static_cast<long>((call->second.released_at - session.ended_at).count() / 1000)
                            : ms_since(session.ended_at);
      if (late <= 8'050) continue;
      ++broken;
      note("BROKEN: call %s stood and was ended at its server by %s; its caller %s", id.c_str(),
           session.ended_by_router ? "the router" : "the server",
           call->second.is_released ? "was told too late" : "has not been told");
    }
  }
  note("%u calls stood, %u of them were not released towards their callers within 8 s of their end", stood,
       broken);
  if (broken > 0) return kBroken;
  return stood >= (trouble() ? 4U : 8U) ? kHeld : kNotRun;
}

}  // namespace review
