// Case 2: a call that may not be repeated is told «region closed» by a server of version 2, which proves that
// nothing ran, and then runs at a server of version 1, whose answer is lost. Is its caller told that trying
// again is harmless?
#include "session_server.hpp"

using namespace review;

namespace {

struct Purchase {
  std::string number;
  std::vector<std::string> sids;  ///< of its tries
};

std::string number_of(unsigned purchase) {
  char text[17];
  std::snprintf(text, sizeof text, "7f3a9c21%08x", purchase);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) cannot_run("usage: case TROUBLE FOLDER RECORD");
  const bool has_trouble = std::string(argv[1]) != "0";
  end_with_script();
  Record record(argv[3]);
  Loop loop;
  Channel channel(loop);
  const auto log = [&](const std::string& text) { record.line(text); };
  using Fate = SessionServer::Fate;

  std::map<std::string, int> runs;                // by the number called
  std::map<std::string, std::string> run_at_sid;  // the calls that a server has run
  SessionServer old_server(loop, "s-0");
  SessionServer new_server(loop, "s-1");
  old_server.log = new_server.log = log;
  old_server.versions = "[1]";
  new_server.versions = "[2]";
  // Nothing is settled in the region of toko-sinar now, which only version 2 knows of.
  new_server.fate = [](const std::string&, const std::string&) { return Fate::kRegionClosed; };
  std::set<std::string> was_reset;
  old_server.fate = [&](const std::string& id, const std::string& number) {
    ++runs[number];
    run_at_sid[id] = number;
    // The connection is reset under the request, once for each fourth purchase.
    const bool is_reset = has_trouble && std::stoul(number.substr(8), nullptr, 16) % 4 == 0;
    return is_reset && was_reset.insert(number).second ? Fate::kRunsAndResets : Fate::kStands;
  };
  channel.tell(Channel::endpoint("s-0", old_server.port(), 0, "ready") + "," +
                   Channel::endpoint("s-1", new_server.port(), 1, "ready"),
               true);
  Router router(
      loop, argv[2],
      [&](std::uint16_t listen) { return config_json(java_cards("at_most_once"), listen, channel.port()); },
      " --operator review/2/operator.json");

  std::map<std::string, unsigned> purchase_of;
  std::map<unsigned, Purchase> purchases;
  std::map<std::string, std::string> final_answer;
  int answers = 0, violations = 0;
  CallerConnection caller(loop, router.port());
  unsigned next_call = 1;
  const auto dial = [&](unsigned purchase) {
    const auto sid = sid_of(next_call++);
    purchase_of[sid] = purchase;
    purchases[purchase].number = number_of(purchase);
    purchases[purchase].sids.push_back(sid);
    record.line("caller opens " + sid + " for number " + number_of(purchase));
    caller.send(open_line(sid, 3000, 1, "toko-sinar", "card-activate", number_of(purchase)));
  };
  caller.on_line = [&](const std::string& line) {
    const auto sid = member(line, "sid");
    record.line("caller got " + line);
    if (member(line, "msg") == "close")
      caller.send(R"({"msg":"closed","sid":")" + sid + "\",\"attrs\":{}}\n");
    if (final_answer.contains(sid) || (member(line, "msg") != "ready" && member(line, "msg") != "close"))
      return;
    ++answers;
    final_answer[sid] = member(line, "msg") == "ready" ? "stands" : member(line, "code");
    const bool is_refused =
        final_answer[sid] == "34" || final_answer[sid] == "42" || final_answer[sid] == "102";
    if (!is_refused) return;
    if (run_at_sid.contains(sid)) {
      ++violations;
      record.line("BROKEN: " + sid + " has run at s-0, and is refused: trying again is harmless");
    }
    // The caller dials again, since that is harmless, once.
    if (purchases[purchase_of[sid]].sids.size() < 2)
      loop.after(1000, [&, purchase = purchase_of[sid]] { dial(purchase); });
  };
  loop.run(1500);
  for (unsigned purchase = 1; purchase <= 12; ++purchase) {
    dial(purchase);
    loop.run(1500);
  }
  loop.run(4000);
  int ran_twice = 0;
  for (const auto& [number, count] : runs) ran_twice += count > 1 ? 1 : 0;
  record.line("verdict: " + std::to_string(answers) + " final answers, " + std::to_string(violations) +
              " refusals of calls that had run; " + std::to_string(ran_twice) + " of " +
              std::to_string(runs.size()) + " purchases ran twice");
  if (answers < 12 || runs.empty()) cannot_run("too few calls were answered or ran");
  return violations > 0 || router.has_ended() ? 1 : 0;
}
