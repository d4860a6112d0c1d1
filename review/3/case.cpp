// Case 3: a session server answers some set-ups with a long description, within 16 KiB. The router cannot
// pass it on in a line of 16 KiB and fails the call, which stands at the server. Is it released there?
#include "sip_server.hpp"

using namespace review;

namespace {

constexpr std::int64_t kSetUpMs = 400;  // the server answers set-ups in their order
constexpr std::int64_t kCallMs = 8700;  // the mean length of a call (class_hold_us)
constexpr std::size_t kMaxMessage = 16 * 1024;
constexpr std::int64_t kLostLimitMs = 8050;  // 8 s, and 50 ms more on sockets

struct ServerCall {
  int server = 0;
  std::int64_t stands_since = 0, over_since = 0;
  bool is_long = false;
};

std::string description(const std::string& call, bool is_long) {
  std::string text = "answer to " + call + "\r\n";
  for (int i = 0; i < (is_long ? 1080 : 4); ++i) text += "a=rtpmap:0 P\r\n";
  return text;
}

std::string printable(const std::string& bytes) {
  std::string text;
  for (const char c : bytes) {
    char one[8];
    std::snprintf(one, sizeof one, c >= 0x20 && c < 0x7f ? "%c" : "\\x%02x", static_cast<unsigned char>(c));
    text += one;
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) cannot_run("usage: case TROUBLE FOLDER RECORD");
  const bool has_trouble = std::string(argv[1]) != "0";
  ::signal(SIGPIPE, SIG_IGN);
  Record record(argv[3]);
  Loop loop;
  Channel channel(loop);
  std::map<std::string, ServerCall> at_server;
  const auto report = [&](int server) {
    const auto standing = std::count_if(at_server.begin(), at_server.end(), [&](const auto& item) {
      return item.second.server == server && item.second.over_since == 0;
    });
    return "x0:" + std::to_string(200 - standing) + ";x1:200;latency_ms:2;qps:60";
  };
  std::vector<std::unique_ptr<SipServer>> servers;
  for (int i = 0; i < 2; ++i)
    servers.push_back(std::make_unique<SipServer>(loop, [&report, i] { return report(i); }));
  std::set<std::string> gets_long_answer;
  int unreadable = 0, cut = 0;
  std::map<std::string, int> open_set_ups;  // the connection of each set-up that is not answered yet
  const auto answer = [&](int number, int connection, const SipMessage& message) {
    if (!open_set_ups.contains(message.call_id) || open_set_ups[message.call_id] != connection) return;
    open_set_ups.erase(message.call_id);
    const bool is_long = gets_long_answer.contains(message.call_id);
    const auto body = description(message.call_id, is_long);
    if (body.size() + 512 > kMaxMessage) cannot_run("the answer would exceed 16 KiB");
    at_server[message.call_id] = {number, now_ms(), 0, is_long};
    record.line("s-" + std::to_string(number) + " answers " + message.call_id + " with a description of " +
                std::to_string(body.size()) + " bytes");
    SipServer::answer(connection, message, "200 OK", {}, body);
    servers[number]->report_state();
  };
  for (int number = 0; number < 2; ++number) {
    const auto server = servers[number].get();
    const auto name = "s-" + std::to_string(number);
    server->on_message = [&, number, name](int connection, const SipMessage& message) {
      if (message.is_answer()) return;
      const auto method = message.method();
      record.line(name + " got " + message.first_line + ", Call-ID " + message.call_id);
      if (method == "INVITE") {
        open_set_ups[message.call_id] = connection;
        loop.after(kSetUpMs, [&, number, connection, message] { answer(number, connection, message); });
      } else if (method == "CANCEL") {
        open_set_ups.erase(message.call_id);
      } else if (method == "BYE") {
        if (at_server.contains(message.call_id) && at_server[message.call_id].over_since == 0)
          at_server[message.call_id].over_since = now_ms();
        SipServer::answer(connection, message, "200 OK");
      } else if (method == "OPTIONS") {
        SipServer::answer(connection, message, "200 OK", "X-Occupancy: " + report(number) + "\r\n");
      }
    };
    server->on_closed = [&](int connection) {
      std::erase_if(open_set_ups, [&](const auto& item) {
        if (item.second != connection) return false;
        ++cut;
        record.line("set-up " + item.first + " was open on that connection and is given up");
        return true;
      });
    };
    server->on_unreadable = [&, name](int, const std::string& bytes) {
      ++unreadable;
      record.line(
          name + " cannot read what came, and has closed the connection: " + printable(bytes.substr(0, 200)));
    };
  }
  channel.tell(Channel::endpoint("s-0", servers[0]->port(), 0, "ready") + "," +
                   Channel::endpoint("s-1", servers[1]->port(), 1, "ready"),
               true);
  Router router(loop, argv[2], channel.port());

  std::map<std::string, std::string> final_answer;
  std::map<std::string, std::int64_t> over_for_caller;
  CallerConnection caller(loop, router.port());
  caller.on_line = [&](const std::string& line) {
    const auto sid = member(line, "sid");
    record.line("caller got " + line.substr(0, 100));
    const auto type = member(line, "msg");
    if (type == "close") {
      caller.send(R"({"msg":"closed","sid":")" + sid + "\",\"attrs\":{}}\n");
      over_for_caller.emplace(sid, now_ms());
    }
    if (type != "ready" && type != "close") return;
    const bool is_first = final_answer.emplace(sid, type == "ready" ? "stands" : member(line, "code")).second;
    if (type != "ready" || !is_first) return;
    // Calls are ended by their callers.
    loop.after(kCallMs, [&, sid] {
      record.line("caller releases " + sid);
      caller.send(R"({"msg":"close","sid":")" + sid + "\",\"attrs\":{},\"code\":16}\n");
      over_for_caller.emplace(sid, now_ms());
    });
  };
  unsigned next_call = 1;
  loop.run(1500);
  for (int round = 0; round < 5; ++round) {
    // The later calls wait for their answers, on all connections to s-0, when the third one gets its own.
    for (int i = 0; i < 8; ++i) {
      const auto sid = sid_of(next_call++);
      if (i == 2 && has_trouble) gets_long_answer.insert(sid);
      record.line("caller opens " + sid);
      caller.send(open_line(sid, 3000, 0));
      loop.run(60);
    }
    loop.run(2500);
  }
  loop.run(kCallMs + kLostLimitMs + 500);

  int stood = 0, standing = 0;
  for (const auto& [id, call] : at_server) {
    ++stood;
    const bool is_over = over_for_caller.contains(id) && now_ms() - over_for_caller[id] > kLostLimitMs;
    if (call.over_since != 0 || !is_over) continue;
    ++standing;
    record.line("BROKEN: " + id + " stands at its server, its caller was told " + final_answer[id] +
                ", and no release came");
  }
  record.line("verdict: " + std::to_string(stood) + " calls stood, " + std::to_string(standing) +
              " stand there still although they are over for their callers; " + std::to_string(unreadable) +
              " messages of the router could not be read, " + std::to_string(cut) +
              " other set-ups were cut by that");
  if (stood < 20 || final_answer.size() < 40) cannot_run("too few calls were answered");
  return standing > 0 || router.has_ended() ? 1 : 0;
}
