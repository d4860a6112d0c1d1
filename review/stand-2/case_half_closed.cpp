// Callers over JSON lines, one router, two session servers that speak SIP. Disruption: the caller's
// connection is half-closed: what the caller sends ends, what the router sends still arrives.
#include "cases.hpp"

namespace review {

Verdict half_closed() {
  Channel channel;
  SipServer first("s-00c41f7a"), second("s-0512ce2f");
  Router router("n0", channel.listener.address(),
                {{first.name, first.listener.address()}, {second.name, second.listener.address()}});
  for (auto* server : {&first, &second})
    server->answer_time = [](const std::string&) { return milliseconds{300}; };
  router.start();
  if (!wait_ready(router.listen)) return kNotRun;
  if (!run_until([&] { return first.links.size() >= 2 && second.links.size() >= 2; }, milliseconds{5000}))
    return kNotRun;
  run_for(milliseconds{500});
  JsonCallers callers(router.listen);
  constexpr unsigned kCalls = 8;
  for (unsigned i = 0; i < kCalls; ++i) {
    callers.open(call_id(i), i % 2, 3000);
    run_for(milliseconds{25});
  }
  if (trouble()) {
    note("callers: the connection is half-closed");
    callers.link.tcp->close_output();
  }
  run_for(milliseconds{3'500});
  if (!router.is_running()) {
    note("the router has ended");
    return kBroken;
  }
  return check_answers(callers, kCalls);
}

}  // namespace review
