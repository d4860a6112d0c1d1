// New settings at SIGHUP (DAYS): classes added and taken away, tries lowered, and defective files refused
// whole.
#include "core/reload_plan.hpp"

#include <array>

#include "net_bench.hpp"
#include "settings_text.hpp"

namespace amberknot::tests {
namespace {

const std::string kA = "00000000000000a1";

CallClass class_of(int aim_ms) {
  CallClass one;
  one.latency_objective = milliseconds{aim_ms};
  one.deadline = milliseconds{3000};
  one.priority_weight = 1;
  return one;
}

/// A JSON configuration as the platform writes it, with `settings` in place of the settings' object.
std::string configuration(const std::string& settings) {
  return R"({"name":"n","listen":"127.0.0.1:1","seed":"0f","channel":"127.0.0.1:2",)"
         R"("known":{"cursor":0,"cmds":[]},"settings":)" +
         settings + "}";
}

/// The settings as one flat object of the simulator's keys, with the class's deadline and the tries as given.
std::string good_settings(const std::string& deadline = "9000000", const std::string& tries = "3") {
  auto keys = testing::settings_keys();
  keys["classes.0.deadline_us"] = deadline;
  keys["limits.most_tries"] = tries;
  std::string text;
  for (const auto& [key, value] : keys) text += (text.empty() ? "{\"" : ",\"") + key + "\":\"" + value + "\"";
  return text + R"(,"limits":{"connect_timeout_us":"500000"}})";
}

/// The same with two classes and two tenants of those names.
std::string named_settings(const std::string& first, const std::string& second, const std::string& tenant) {
  const auto cls = [](const std::string& name) {
    return R"({"name":")" + name +
           R"(","aim_us":"1000","deadline_us":"2000","value":"1","repeat":"idempotent"})";
  };
  auto text = good_settings();
  text.pop_back();
  return text + R"(,"classes":[)" + cls(first) + "," + cls(second) +
         R"(],"tenants":[{"name":"acme"},{"name":")" + tenant + R"("}]})";
}

}  // namespace

TEST_CASE(
    "classes and tenants need names of their own: a name that two share would serve one by the other's") {
  REQUIRE_NOTHROW(app::read_config(configuration(named_settings("a", "b", "zoo")), "", ""));
  const std::array<std::pair<std::string, const char*>, 4> rows = {{
      {named_settings("a", "a", "zoo"), "settings: classes.1.name is there twice"},
      {named_settings("", "b", "zoo"), "settings: classes.0.name is missing"},
      {named_settings("a", "b", "acme"), "settings: tenants.1.name is there twice"},
      {named_settings("a", "b", ""), "settings: tenants.1.name is missing"},
  }};
  for (const auto& [settings, says] : rows) {
    std::string said;
    try {
      app::read_config(configuration(settings), "", "");
    } catch (const app::ConfigError& error) {
      said = error.what();
    }
    CHECK(said == std::string("config: ") + says);
  }
}

TEST_CASE("what a running router cannot change is named, whatever else the file changes") {
  const core::Names names{{"voice"}, {"acme"}};
  Settings now;
  now.classes = {class_of(100)};
  now.peer_count = 5;
  auto fresh = now;
  CHECK(core::plan_reload(names, now, names, fresh).requires_restart.empty());
  fresh.invariants.retry_pause = milliseconds{200};
  fresh.peer_count = 7;
  fresh.over_quota_weight = 0.5;
  fresh.retransmit_interval = milliseconds{400};
  CHECK(core::plan_reload(names, now, {{"voice"}, {"acme", "zoo"}}, fresh).requires_restart ==
        std::vector<std::string>{"tenants", "timing", "invariants", "over_share_worth", "siblings"});
}

TEST_CASE("retune keeps each class's number: taken away in its place, added after the others") {
  core::Names names{{"voice", "data"}, {"acme"}};
  Settings now;
  now.classes = {class_of(100), class_of(200)};
  now.limits.max_tries = 4;
  core::Names fresh_names{{"video", "voice"}, {"acme"}};
  Settings fresh;
  fresh.classes = {class_of(300), class_of(150)};
  fresh.limits.max_tries = 2;
  auto out = core::plan_reload(names, now, fresh_names, fresh);
  CHECK(out.names.classes == std::vector<std::string>{"voice", "data", "video"});
  CHECK(out.names.retired == std::vector<bool>{false, true, false});
  REQUIRE(out.classes.size() == 3);
  CHECK(out.classes[0].latency_objective == milliseconds{150});  // as the new file says
  CHECK(out.classes[1].latency_objective ==
        milliseconds{200});  // kept for the calls of it that are under way
  CHECK(out.classes[2].latency_objective == milliseconds{300});
  CHECK(out.limits.max_tries == 2);
  CHECK(out.names.class_no("data") == std::nullopt);
  CHECK(out.names.class_no("video") == 2);
  // Named again later: it comes back in its old place.
  Settings in_force;
  in_force.classes = out.classes;
  Settings later;
  later.classes = {class_of(250)};
  const auto back = core::plan_reload(out.names, in_force, {{"data"}, {"acme"}}, later);
  CHECK(back.names.classes == std::vector<std::string>{"voice", "data", "video"});
  CHECK(back.names.retired == std::vector<bool>{true, false, true});
  CHECK(back.classes[1].latency_objective == milliseconds{250});
}

TEST_CASE("a defective file is refused with the field it names, and the settings in force stay whole") {
  const std::string good = good_settings();
  REQUIRE_NOTHROW(app::read_config(configuration(good), "", ""));
  struct Row {
    std::string text;
    const char* names;
  };
  const std::array rows{
      Row{"", "not a JSON object"},
      Row{configuration(good).substr(0, 120), "not a JSON object"},
      Row{configuration(good_settings()).replace(configuration(good).find(R"("seed":"0f",)"), 12, ""),
          "seed"},
      Row{configuration(R"({"siblings":"1"})"), "settings"},
      Row{configuration(good_settings("0")), "classes.0.deadline_us"},
      Row{configuration(good_settings("-5")), "classes.0.deadline_us"},
      Row{configuration(good_settings("9000000", "0")), "limits.most_tries"},
  };
  Bench bench;
  for (const auto& row : rows) {
    CAPTURE(row.text);
    std::string said;
    try {
      bench.router->reload(app::read_config(row.text, "", ""));
    } catch (const app::ConfigError& error) {
      said = error.what();
      bench.router->reload_failed(said);
    }
    CHECK(said.find(row.names) != std::string::npos);
  }
  CHECK(bench.router->counters().reloads_failed == rows.size());
  CHECK(bench.router->counters().reloads == 0);
  // Nothing of the settings in force moved: the class is still served, and a refused try is tried again.
  bench.list();
  bench.open(kA);
  bench.invited(kA).stream->send(Bench::sip("SIP/2.0 480 Moot", kA, "1 INVITE"));
  bench.until([&] { return bench.server.with("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") != nullptr; });
}

TEST_CASE("a reload adds a class, takes one away and lowers the tries; calls under way keep theirs") {
  Bench bench;
  bench.list();
  bench.open(kA);
  auto& end = bench.invited(kA);
  auto fresh = bench.config;
  fresh.names.classes = {"data", "video"};  // voice is taken away, video added
  fresh.settings.classes = {class_of(1200), class_of(1200)};
  fresh.settings.limits.max_tries = 2;
  fresh.settings_text = "changed";
  bench.router->reload(fresh);
  // The call of the class taken away is answered as it would have been.
  bench.answer(end, kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
  // New calls of it are refused as of no class; of the new class they are sent.
  bench.open("00000000000000b2");
  bench.until([&] { return bench.caller->has("\"sid\":\"00000000000000b2\""); });
  CHECK_FALSE(bench.caller->has("\"ready\",\"sid\":\"00000000000000b2\""));
  bench.say(
      R"({"msg":"open","sid":"00000000000000c3","attrs":{"class":"video","left":"2000","tenant":"acme",)"
      R"("key":"77aa","extras":"dest:0;width:1;via:-1"},"text":"d"})"
      "\n");
  bench.invited("00000000000000c3");
  CHECK(bench.router->counters().reloads == 1);
}

TEST_CASE("the tries lowered at a reload bind the next call at once") {
  Bench bench;
  bench.list();
  auto fresh = bench.config;
  fresh.settings.limits.max_tries = 1;
  fresh.settings_text = "changed";
  bench.router->reload(fresh);
  bench.open(kA);
  auto& end = bench.invited(kA);
  end.stream->send(Bench::sip("SIP/2.0 480 Moot", kA, "1 INVITE"));
  bench.until([&] { return bench.caller->has("\"close\",\"sid\":\"" + kA); });
  // One try only: no second INVITE of it, where four were allowed before.
  CHECK(bench.server.count("Call-ID: " + kA + "\r\nCSeq: 2 INVITE") == 0);
}

}  // namespace amberknot::tests
