// Callers over JSON lines, one router, two session servers that speak SIP. Disruption: a line arrives in two
// pieces, with 3 s of silence between them, while another call of the connection waits for its answer.
#include "cases.hpp"

namespace review {

Verdict piece() {
  Channel channel;
  SipServer first("s-00c41f7a"), second("s-0512ce2f");
  Router router("n0", channel.listener.address(),
                {{first.name, first.listener.address()}, {second.name, second.listener.address()}});
  const std::string slow = call_id(1);
  for (auto* server : {&first, &second})
    server->answer_time = [&](const std::string& id) { return milliseconds{id == slow ? 2'800 : 20}; };
  router.start();
  if (!wait_ready(router.listen)) return kNotRun;
  if (!run_until([&] { return first.links.size() >= 2 && second.links.size() >= 2; }, milliseconds{5000}))
    return kNotRun;
  run_for(milliseconds{500});
  JsonCallers callers(router.listen);
  callers.open(call_id(0), 0, 3400);
  run_for(milliseconds{100});
  callers.open(slow, 0, 3400);
  auto line = JsonCallers::open_line(call_id(2), 1, 3400);
  const std::size_t cut = trouble() ? line.size() / 2 : line.size();
  callers.link.send(line.substr(0, cut));
  note("callers: set-up %s%s", call_id(2).c_str(), trouble() ? ", its first half" : "");
  run_for(milliseconds{3'000});
  if (trouble()) callers.link.send(line.substr(cut));
  run_for(milliseconds{2'000});
  if (!router.is_running()) {
    note("the router has ended");
    return kBroken;
  }
  return check_answers(callers, 2);
}

}  // namespace review
