// Case 3: SIGHUP with a file that lacks a key, the pools to which each class of call may go. Do the old
// settings remain?
#include "sip_server.hpp"

using namespace review;

namespace {

constexpr int kServers = 7;
constexpr std::int64_t kSetUpMs = 150;
constexpr std::int64_t kCallMs = 8600;  // the length of a call (class_hold_us)

// Three of seven pools for each class.
const std::map<std::string, std::set<int>> kPoolsOf = {
    {"avail-read", {0, 1, 2}}, {"stop-sell", {2, 3, 4}}, {"rate-push", {4, 5, 6}}};

Deployment tbilisi_main() {
  return {
      .classes = {{"avail-read", "5000000", "15000000", "1.0", "idempotent", "8600000", R"(["0","1","2"])"},
                  {"stop-sell", "1500000", "6000000", "5.0", "idempotent", "8600000", R"(["2","3","4"])"},
                  {"rate-push", "5000000", "15000000", "3.0", "idempotent", "8600000", R"(["4","5","6"])"}},
      .tenants = {R"({"name":"rioni-hotels","portion":"0.54","quota_per_s":"40.0"})",
                  R"({"name":"kazbegi-stays","portion":"0.38","quota_per_s":"28.0"})",
                  R"({"name":"alazani-inns","portion":"0.08","quota_per_s":"6.0"})"},
      .clear_wait_us = "300000",
      .resend_us = "0",
      .cold_from = "0.3",
      .fall_us = "1500000",
      .ramp_time_us = "14000000",
      .most_tries = "6",
      .probes = "false",
      .retry_after = "false",
      .columns = R"(["idle","circuits","reduce","lat_ms"])"};
}

std::string header(const std::string& head, const std::string& name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const auto from = at + name.size() + 4;
  return head.substr(from, head.find("\r\n", from) - from);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) cannot_run("usage: case TROUBLE FOLDER RECORD");
  const bool has_trouble = std::string(argv[1]) != "0";
  end_with_script();
  Record record(argv[3]);
  Loop loop;
  Channel channel(loop);
  std::map<std::string, int> stands_at;
  const auto report = [&](int server) {
    const auto standing = std::count_if(stands_at.begin(), stands_at.end(),
                                        [server](const auto& item) { return item.second == server; });
    return "x0:" + std::to_string(54 - standing) + ";x1:54;eps:0;latency_ms:20";
  };
  int set_ups = 0, violations = 0, answers = 0;
  bool is_reloaded = false;
  int set_ups_after_reload = 0;
  std::vector<std::unique_ptr<SipServer>> servers;
  std::string list;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<SipServer>(loop, [&report, i] { return report(i); }));
    auto& server = *servers.back();
    const auto name = "s-" + std::to_string(i);
    list += (i > 0 ? "," : "") + Channel::endpoint(name, server.port(), i, "ready");
    server.on_message = [&, i, name](int connection, const SipMessage& message) {
      if (message.is_answer()) return;
      const auto method = message.method();
      if (method == "INVITE") {
        const auto call_class = header(message.head, "X-Cos");
        ++set_ups;
        if (is_reloaded) ++set_ups_after_reload;
        record.line(name + " got a set-up of class " + call_class + ", " + message.call_id);
        if (!kPoolsOf.at(call_class).contains(i)) {
          ++violations;
          record.line("BROKEN: a call of class " + call_class + " may not go to " + name);
        }
        loop.after(kSetUpMs, [&, i, connection, message] {
          if (!servers[i]->connections().contains(connection)) return;
          stands_at[message.call_id] = i;
          SipServer::answer(connection, message, "200 OK", {}, "answer");
          servers[i]->report_state();
          loop.after(kCallMs, [&, i, connection, id = message.call_id] {
            if (stands_at.erase(id) == 0) return;
            const auto& open = servers[i]->connections();
            if (open.empty()) return;
            SipServer::request(open.contains(connection) ? connection : *open.begin(), "BYE", id,
                               "Reason: Q.850;cause=16\r\n");
            servers[i]->report_state();
          });
        });
      } else if (method == "BYE") {
        stands_at.erase(message.call_id);
        SipServer::answer(connection, message, "200 OK");
      }
    };
  }
  channel.tell(list, true);
  const auto whole = tbilisi_main();
  std::uint16_t listen = 0;
  Router router(loop, argv[2], [&](std::uint16_t port) {
    listen = port;
    return config_json(whole, port, channel.port());
  });

  CallerConnection caller(loop, router.port());
  caller.on_line = [&](const std::string& line) {
    record.line("caller got " + line);
    const auto type = member(line, "msg");
    if (type == "ready") ++answers;
    if (type == "close")
      caller.send(R"({"msg":"closed","sid":")" + member(line, "sid") + "\",\"attrs\":{}}\n");
  };
  unsigned next_call = 1;
  // Each half second six calls of one class at once, all with the same pool of first choice.
  const auto place_calls = [&](int bursts) {
    for (int burst = 0; burst < bursts; ++burst) {
      const auto& call_class = whole.classes[static_cast<std::size_t>(burst) % 3].name;
      const int pool = *kPoolsOf.at(call_class).begin();
      for (int i = 0; i < 6; ++i) {
        const auto sid = sid_of(next_call++);
        record.line("caller opens " + sid + " of class " + call_class + ", first choice s-" +
                    std::to_string(pool));
        caller.send(open_line(sid, 1900, pool, "rioni-hotels", call_class));
      }
      loop.run(500);
    }
  };
  loop.run(1500);
  place_calls(20);
  auto next = whole;
  // With TROUBLE=0 the file is whole, and has one attempt less for each call.
  if (has_trouble) {
    next.has_skilled_pools = false;
  } else {
    next.most_tries = "5";
  }
  router.configure(config_json(next, listen, channel.port()));
  router.signal(SIGHUP);
  record.line(has_trouble ? "SIGHUP with a file that lacks family_info.skilled_pools"
                          : "SIGHUP with a whole file");
  loop.run(1200);
  is_reloaded = true;
  const auto stats = router.control(loop, "stats");
  for (const std::string name : {"cfg_accepted", "cfg_invalid"})
    record.line("the router reports " +
                stats.substr(stats.find(name), stats.find('\n', stats.find(name)) - stats.find(name)));
  place_calls(40);
  loop.run(2000);
  record.line("verdict: " + std::to_string(set_ups) + " set-ups arrived, " +
              std::to_string(set_ups_after_reload) + " of them after the new file, " +
              std::to_string(answers) + " calls stood; " + std::to_string(violations) +
              " set-ups went to servers that the call may not go to");
  if (answers < 100 || set_ups_after_reload < 50) cannot_run("too few calls stood");
  return violations > 0 || router.has_ended() ? 1 : 0;
}
