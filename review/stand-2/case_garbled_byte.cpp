// Callers over JSON lines, one router, two session servers that speak SIP. Disruption: the path garbles one
// byte of one line that a caller sends, while other calls of its connection wait for their answers.
#include "cases.hpp"

namespace review {

Verdict garbled_byte() {
  Channel channel;
  SipServer first("s-00c41f7a"), second("s-0512ce2f");
  Router router("n0", channel.listener.address(),
                {{first.name, first.listener.address()}, {second.name, second.listener.address()}});
  for (auto* server : {&first, &second}) {
    server->answer_time = [](const std::string&) { return milliseconds{300}; };
    server->hold = milliseconds{4'000};
  }
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
  auto line = JsonCallers::open_line(call_id(kCalls), 0, 3000);
  if (trouble()) line[line.find("\",\"attrs\"")] = '\x01';  // the quotation mark after the id
  note("callers: set-up %s%s", call_id(kCalls).c_str(), trouble() ? ", one byte of which is garbled" : "");
  callers.link.send(line);
  run_for(milliseconds{3'500});
  if (!router.is_running()) {
    note("the router has ended");
    return kBroken;
  }
  return check_answers(callers, kCalls);
}

/// Whether each call has exactly one final answer.
Verdict check_answers(const JsonCallers& callers, unsigned sent) {
  unsigned broken = 0;
  for (const auto& [id, call] : callers.calls) {
    if (call.answers == 1) continue;
    ++broken;
    note("BROKEN: call %s has %d final answers", id.c_str(), call.answers);
  }
  note("%zu calls taken, %u of them without exactly one final answer", callers.calls.size(), broken);
  if (broken > 0) return kBroken;
  return callers.calls.size() >= sent ? kHeld : kNotRun;
}

}  // namespace review
