// Case 1: the process of a session server is replaced at its address, and its events are numbered anew. What
// becomes of the releases that it reports?
#include "session_server.hpp"

using namespace review;

namespace {

constexpr std::int64_t kHoldMs = 8700;          // the mean length of a call (class_hold_us)
constexpr std::int64_t kReleaseLimitMs = 1050;  // 1 s, and 50 ms more on sockets
constexpr std::int64_t kLostLimitMs = 8050;     // where no release could be sent

struct Call {
  std::int64_t sent_at = 0, answered_at = 0, released_at = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) cannot_run("usage: case TROUBLE FOLDER RECORD");
  const bool has_trouble = std::string(argv[1]) != "0";
  const std::string folder = argv[2];
  end_with_script();
  Record record(argv[3]);
  Loop loop;
  Channel channel(loop);
  std::vector<std::unique_ptr<SessionServer>> servers;
  std::string list;
  for (int i = 0; i < 4; ++i) {
    servers.push_back(std::make_unique<SessionServer>(loop, "s-" + std::to_string(i)));
    servers.back()->log = [&](const std::string& text) { record.line(text); };
    servers.back()->hold_ms = kHoldMs;
    list +=
        (i > 0 ? "," : "") + Channel::endpoint(servers.back()->name(), servers.back()->port(), i, "ready");
  }
  auto& replaced = *servers[0];
  channel.tell(list, true);
  Router router(
      loop, folder, [&](std::uint16_t listen) { return config_json(java_cards(), listen, channel.port()); },
      " --operator review/1/operator.json");

  std::map<std::string, Call> calls;
  CallerConnection caller(loop, router.port());
  caller.on_line = [&](const std::string& line) {
    const auto sid = member(line, "sid");
    auto& call = calls[sid];
    record.line("caller got " + line);
    if (member(line, "msg") == "ready") call.answered_at = now_ms();
    if (member(line, "msg") == "close" && call.answered_at != 0) {
      call.released_at = now_ms();
      caller.send(R"({"msg":"closed","sid":")" + sid + "\",\"attrs\":{}}\n");
    }
  };
  unsigned next_call = 1;
  const auto place_calls = [&](std::int64_t for_ms) {
    const auto end = now_ms() + for_ms;
    while (now_ms() < end) {
      const auto sid = sid_of(next_call);
      const int pool = static_cast<int>(next_call++ % 4);
      calls[sid].sent_at = now_ms();
      record.line("caller opens " + sid + ", first choice s-" + std::to_string(pool));
      caller.send(open_line(sid, 3000, pool));
      loop.run(250);
    }
  };
  loop.run(1500);
  place_calls(20'000);
  loop.run(kHoldMs + 500);
  if (has_trouble) {
    // One of four servers, without standing calls: its processor is replaced, at the same address.
    channel.tell(Channel::endpoint(replaced.name(), replaced.port(), 0, "draining"));
    record.line("list: s-0 drains");
    loop.run(2000);
    replaced.stop();
    loop.run(3000);
    replaced.start();
    channel.tell(Channel::endpoint(replaced.name(), replaced.port(), 0, "ready", now_ms()));
    record.line("list: s-0 is ready, started anew");
  } else {
    loop.run(5000);
  }
  const auto restarted_at = now_ms();
  loop.run(1000);
  place_calls(20'000);
  loop.run(kHoldMs + kLostLimitMs + 500);

  // The rule: what has stood and is over is released towards its client within 1 s of the server's release.
  int stood = 0, broken = 0, stood_there = 0, broken_there = 0;
  for (const auto& [sid, call] : calls) {
    if (call.answered_at == 0) continue;
    ++stood;
    for (const auto& server : servers) {
      const auto found = server->sessions.find(sid);
      if (found == server->sessions.end() || found->second.ended_at == 0 ||
          found->second.is_released_by_client)
        continue;
      const auto& session = found->second;
      const bool is_there = server.get() == &replaced && session.set_up_at >= restarted_at;
      const auto limit = session.is_cut ? kLostLimitMs : kReleaseLimitMs;
      stood_there += is_there ? 1 : 0;
      if (call.released_at != 0 && call.released_at - session.ended_at <= limit) continue;
      ++broken;
      broken_there += is_there ? 1 : 0;
      record.line("BROKEN: " + sid + " ended at " + server->name() + ", and " +
                  (call.released_at == 0 ? std::string("its caller was never told")
                                         : "its caller was told after " +
                                               std::to_string(call.released_at - session.ended_at) + " ms"));
    }
  }
  if (router.has_ended()) record.line("the router has ended");
  record.line("verdict: " + std::to_string(stood) + " calls stood, " + std::to_string(broken) +
              " not released to their callers in time; of " + std::to_string(stood_there) +
              " calls at s-0 in its last 30 s, " + std::to_string(broken_there));
  if (stood < 100 || stood_there == 0) cannot_run("too few calls stood");
  return broken > 0 || router.has_ended() ? 1 : 0;
}
