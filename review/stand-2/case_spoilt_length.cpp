// Callers over JSON lines, one router, two session servers that speak Diameter. Disruption: in one answer of
// twelve a length does not fit.
#include "cases.hpp"

namespace review {

Verdict spoilt_length() {
  Channel channel;
  DiameterServer first("s-00c41f7a"), second("s-0512ce2f");
  Router router("n0", channel.listener.address(),
                {{first.host, first.listener.address()}, {second.host, second.listener.address()}});
  router.write_operator_file(
      operator_text("router-1.kartu.example", "", "\"" + first.host + "\",\"" + second.host + "\""));
  constexpr unsigned kCalls = 12;
  const std::string spoilt_call = call_id(kCalls - 1);
  std::map<std::string, std::string> descriptions;
  for (auto* server : {&first, &second}) {
    server->send_answer = [&, server](Link& link, DiameterServer::Session& session, std::string bytes) {
      descriptions[session.caller_id] = session.description;
      if (trouble() && session.caller_id == spoilt_call) {
        // The description is the last AVP; its length now goes 64 bytes beyond the message.
        const auto at = bytes.find(std::string("\0\0\x01\xb8", 4));
        bytes[at + 7] = static_cast<char>(bytes[at + 7] + 64);
        note("%s: answer to %s with a length that does not fit", server->host.c_str(),
             session.caller_id.c_str());
      }
      link.send(bytes);
    };
  }
  router.start();
  if (!wait_ready(router.listen)) return kNotRun;
  if (!run_until([&] { return first.peers_up > 0 && second.peers_up > 0; }, milliseconds{5000}))
    return kNotRun;
  run_for(milliseconds{300});
  JsonCallers callers(router.listen);
  for (unsigned i = 0; i < kCalls; ++i) {
    callers.open(call_id(i), i % 2, 3000);
    run_for(milliseconds{100});
  }
  run_for(milliseconds{3'500});
  if (!router.is_running()) {
    note("the router has ended");
    return kBroken;
  }
  unsigned stood = 0, broken = 0;
  for (const auto& [id, call] : callers.calls) {
    if (!call.stands) continue;
    ++stood;
    if (call.description == descriptions[id]) continue;
    ++broken;
    note("BROKEN: call %s was answered 'ready' with the description '%s'; its server made '%s'", id.c_str(),
         json_text(call.description).c_str(), json_text(descriptions[id]).c_str());
  }
  note("%u calls stood, %u of them with a description that no server made for them", stood, broken);
  if (broken > 0) return kBroken;
  return stood + (trouble() ? 1 : 0) >= kCalls ? kHeld : kNotRun;
}

}  // namespace review
