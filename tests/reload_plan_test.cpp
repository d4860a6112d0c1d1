// Tests of the configuration reload on SIGHUP (DAYS): classes are added and removed, the maximum number of
// attempts is lowered, and invalid files are rejected as a whole.
#include "core/reload_plan.hpp"

#include <array>
#include <cstring>

#include "net_bench.hpp"
#include "settings_text.hpp"

namespace amberknot::tests {
namespace {

const std::string kSessionId = "00000000000000a1";

CallClass class_of(int latency_objective_ms) {
  CallClass call_class;
  call_class.latency_objective = milliseconds{latency_objective_ms};
  call_class.deadline = milliseconds{3000};
  call_class.priority_weight = 1;
  return call_class;
}

/// A JSON configuration as the platform writes it, with `settings` as the value of its settings field.
std::string configuration(const std::string& settings) {
  return R"({"name":"n","listen":"127.0.0.1:1","seed":"0f","channel":"127.0.0.1:2",)"
         R"("limits":{"cores":1.0,"memory_mb":64,"sockets":1024},"known":{"cursor":0,"cmds":[]},"settings":)" +
         settings + "}";
}

/// Valid settings as one flat object with the simulator's keys, and the given class deadline (in
/// microseconds) and maximum number of attempts.
std::string good_settings(const std::string& deadline = "9000000", const std::string& max_attempts = "3") {
  auto keys = testing::default_setting_values();
  keys["classes.0.deadline_us"] = deadline;
  keys["limits.most_tries"] = max_attempts;
  std::string text;
  for (const auto& [key, value] : keys) text += (text.empty() ? "{\"" : ",\"") + key + "\":\"" + value + "\"";
  return text + "}";
}

/// Valid settings with two classes and two tenants; the first tenant is named acme.
std::string named_settings(const std::string& first, const std::string& second, const std::string& tenant) {
  const auto class_entry = [](const std::string& name) {
    return R"({"name":")" + name +
           R"(","aim_us":"1000","deadline_us":"2000","value":"1","late_worth":"0.1","repeat":"idempotent",)"
           R"("streamed":"true"})";
  };
  const auto tenant_entry = [](const std::string& name) {
    return R"({"name":")" + name + R"(","portion":"0.5","quota_per_s":"10"})";
  };
  auto text = good_settings();
  text.pop_back();
  return text + R"(,"classes":[)" + class_entry(first) + "," + class_entry(second) + R"(],"tenants":[)" +
         tenant_entry("acme") + "," + tenant_entry(tenant) +
         R"(],"family_info":{"channels_needed":["1","1"],"class_hold_us":["9100000","9100000"],)"
         R"("skilled_pools":[["0","1"],["0"]]}})";
}

}  // namespace

TEST_CASE(
    "settings with missing or duplicate names of classes or tenants are rejected: calls of one would get the "
    "settings of the other") {
  REQUIRE_NOTHROW(app::read_config(configuration(named_settings("a", "b", "zoo")), "", ""));
  const std::array<std::pair<std::string, const char*>, 4> cases = {{
      {named_settings("a", "a", "zoo"), "settings: classes.1.name is a duplicate"},
      {named_settings("", "b", "zoo"), "settings: classes.0.name is missing"},
      {named_settings("a", "b", "acme"), "settings: tenants.1.name is a duplicate"},
      {named_settings("a", "b", ""), "settings: tenants.1.name is missing"},
  }};
  for (const auto& [settings, expected_error] : cases) {
    std::string actual_error;
    try {
      app::read_config(configuration(settings), "", "");
    } catch (const app::ConfigError& error) {
      actual_error = error.what();
    }
    CHECK(actual_error == std::string("config: ") + expected_error);
  }
}

TEST_CASE("a reload reports every changed setting that requires a restart") {
  const core::ConfiguredNames names{{"voice"}, {"acme"}};
  Settings current;
  current.classes = {class_of(100)};
  current.peer_count = 5;
  auto updated = current;
  CHECK(core::plan_reload(names, current, names, updated).requires_restart.empty());
  updated.invariants.retry_pause = milliseconds{200};
  updated.peer_count = 7;
  updated.over_quota_weight_factor = 0.5;
  updated.retransmit_interval = milliseconds{400};
  CHECK(core::plan_reload(names, current, {{"voice"}, {"acme", "zoo"}}, updated).requires_restart ==
        std::vector<std::string>{"tenants", "timing", "invariants", "over_share_worth", "siblings"});
}

TEST_CASE("a reload keeps class indices: removed classes keep theirs, added ones come last") {
  core::ConfiguredNames names{{"voice", "data"}, {"acme"}};
  Settings current;
  current.classes = {class_of(100), class_of(200)};
  current.limits.max_attempts = 4;
  core::ConfiguredNames updated_names{{"video", "voice"}, {"acme"}};
  Settings updated;
  updated.classes = {class_of(300), class_of(150)};
  updated.limits.max_attempts = 2;
  auto plan = core::plan_reload(names, current, updated_names, updated);
  CHECK(plan.names.classes == std::vector<std::string>{"voice", "data", "video"});
  CHECK(plan.names.retired == std::vector<bool>{false, true, false});
  REQUIRE(plan.classes.size() == 3);
  CHECK(plan.classes[0].latency_objective == milliseconds{150});  // from the new settings
  CHECK(plan.classes[1].latency_objective == milliseconds{200});  // kept for calls of this class in progress
  CHECK(plan.classes[2].latency_objective == milliseconds{300});
  CHECK(plan.limits.max_attempts == 2);
  CHECK(plan.names.class_index("data") == std::nullopt);
  CHECK(plan.names.class_index("video") == 2);
  // A removed class that is listed again returns at its old index.
  Settings after_first_reload;
  after_first_reload.classes = plan.classes;
  Settings later;
  later.classes = {class_of(250)};
  const auto second_plan = core::plan_reload(plan.names, after_first_reload, {{"data"}, {"acme"}}, later);
  CHECK(second_plan.names.classes == std::vector<std::string>{"voice", "data", "video"});
  CHECK(second_plan.names.retired == std::vector<bool>{true, false, true});
  CHECK(second_plan.classes[1].latency_objective == milliseconds{250});
}

TEST_CASE("an invalid file is rejected with the name of the bad field, and the current settings remain") {
  const std::string good = good_settings();
  REQUIRE_NOTHROW(app::read_config(configuration(good), "", ""));
  struct InvalidCase {
    std::string text;
    const char* expected_text;
  };
  const std::array cases{
      InvalidCase{"", "not a JSON object"},
      InvalidCase{configuration(good).substr(0, 120), "not a JSON object"},
      InvalidCase{configuration(good_settings()).replace(configuration(good).find(R"("seed":"0f",)"), 12, ""),
                  "seed"},
      InvalidCase{configuration(R"({"siblings":"1"})"), "settings"},
      InvalidCase{configuration(good_settings("0")), "classes.0.deadline_us"},
      InvalidCase{configuration(good_settings("-5")), "classes.0.deadline_us"},
      InvalidCase{configuration(good_settings("9000000", "0")), "limits.most_tries"},
  };
  RouterFixture fixture;
  for (const auto& invalid_case : cases) {
    CAPTURE(invalid_case.text);
    std::string error_text;
    try {
      fixture.router->reload(app::read_config(invalid_case.text, "", ""));
    } catch (const app::ConfigError& error) {
      error_text = error.what();
      fixture.router->on_reload_failed(error_text);
    }
    CHECK(error_text.find(invalid_case.expected_text) != std::string::npos);
  }
  CHECK(fixture.router->counters().reloads_failed == cases.size());
  CHECK(fixture.router->counters().reloads == 0);
  // The current settings are unchanged: the class is still served, and a rejected attempt is retried.
  fixture.announce_server();
  fixture.send_set_up(kSessionId);
  fixture.wait_for_invite(kSessionId)
      .stream->send(RouterFixture::sip_message("SIP/2.0 480 Moot", kSessionId, "1 INVITE"));
  fixture.run_until([&] {
    return fixture.server.find_connection_with("Call-ID: " + kSessionId + "\r\nCSeq: 2 INVITE") != nullptr;
  });
}

// Guards against a file without the pools of the classes: it was accepted, and calls went to servers that
// they may not go to. The other fields are checked in the same way.
TEST_CASE(
    "a file that lacks a field is rejected at the start and at a reload, and the error names the field") {
  const std::string good = configuration(good_settings());
  const std::string peer_fields =
      R"("peer_listen":"127.0.0.1:3","peers":["127.0.0.1:3"],"peers_all":"127.0.0.1:4",)";
  const std::string with_peers = R"({"control":"127.0.0.1:5",)" + peer_fields + good.substr(1);
  REQUIRE_NOTHROW(app::read_config(with_peers, "", ""));
  const auto error_of = [](const std::string& text) {
    try {
      app::read_config(text, "n", "127.0.0.1:1");
    } catch (const app::ConfigError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  const std::pair<const char*, const char*> fields[] = {
      {R"("name":"n",)", "name"},
      {R"("listen":"127.0.0.1:1",)", "listen"},
      {R"("seed":"0f",)", "seed"},
      {R"("channel":"127.0.0.1:2",)", "channel"},
      {R"("cores":1.0,)", "limits.cores"},
      {R"("memory_mb":64,)", "limits.memory_mb"},
      {R"(,"sockets":1024)", "limits.sockets"},
      {R"("limits":{"cores":1.0,"memory_mb":64,"sockets":1024},)", "limits"},
      {R"("cursor":0,)", "known.cursor"},
      {R"(,"cmds":[])", "known.cmds"},
      {R"("known":{"cursor":0,"cmds":[]},)", "known"},
      {R"("peer_listen":"127.0.0.1:3",)", "peer_listen"},
      {R"("peers":["127.0.0.1:3"],)", "peers"},
      {R"("peers_all":"127.0.0.1:4",)", "peers_all"},
      {R"("family_info.skilled_pools.0":"0,1",)", "family_info.skilled_pools.0"},
      {R"("classes.0.late_worth":"0.1",)", "classes.0.late_worth"},
      {R"("report.columns":"idle,circuits,lat_ms,reduce",)", "report.columns"},
      {R"("over_share_worth":"0.05",)", "over_share_worth"},
  };
  for (const auto& [text, name] : fields) {
    CAPTURE(name);
    auto defective = with_peers;
    REQUIRE(defective.find(text) != std::string::npos);
    defective.erase(defective.find(text), std::strlen(text));
    CHECK(error_of(defective).find(name) != std::string::npos);
  }
  const std::string known = R"("cmds":[{"cursor":1,"nodes":{"endpoints":[)";
  const std::pair<const char*, const char*> endpoints[] = {
      {R"({"name":"s","address":"127.0.0.1:9","group":1,"status":"ready","since_ms":0})", "snapshot"},
      {R"({"name":"s","address":"127.0.0.1:9","status":"ready","since_ms":0})", "group of endpoint s"},
      {R"({"name":"s","group":1,"status":"ready","since_ms":0})", "address of endpoint s"},
      {R"({"name":"s","address":"127.0.0.1:9","group":1,"status":"ready"})", "since_ms of endpoint s"},
      {R"({"name":"s","address":"127.0.0.1:9","group":1,"since_ms":0})", "status of endpoint s"},
  };
  for (const auto& [endpoint, name] : endpoints) {
    auto defective = good;
    defective.replace(defective.find(R"("cmds":[)"), std::strlen(R"("cmds":[)"), known + endpoint + "]}}");
    CHECK(error_of(defective).find(name) != std::string::npos);
  }
  // Fields that a deployment may do without are missed only by a router that was given them.
  RouterFixture fixture({}, [&] {
    auto config = router_config();
    config.optional_fields = app::read_config(with_peers, "", "").optional_fields;
    config.settings_text = app::read_config(good, "", "").settings_text;
    return config;
  }());
  auto updated = app::read_config(with_peers, "", "");
  updated.command_channel = fixture.config.command_channel;
  for (const char* field : {"control", "peers"}) {
    auto without = updated;
    without.optional_fields.erase(field);
    CHECK_THROWS_AS(fixture.router->reload(without), app::ConfigError);
  }
  auto without_tenants = updated;
  without_tenants.settings_text.erase(without_tenants.settings_text.find("tenants.count=1\n"), 16);
  CHECK_THROWS_AS(fixture.router->reload(without_tenants), app::ConfigError);
  CHECK(fixture.router->counters().reloads == 0);
  CHECK_NOTHROW(fixture.router->reload(updated));
}

TEST_CASE(
    "a reload adds and removes classes and lowers the attempt limit, and calls in progress keep their "
    "class") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kSessionId);
  auto& server_end = fixture.wait_for_invite(kSessionId);
  auto updated = fixture.config;
  updated.names.classes = {"data", "video"};  // voice is removed, video is added
  updated.settings.classes = {class_of(1200), class_of(1200)};
  updated.settings.limits.max_attempts = 2;
  updated.settings_text = "changed";
  fixture.router->reload(updated);
  // The call of the removed class is answered as before.
  fixture.answer(server_end, kSessionId);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kSessionId); });
  // New calls of the removed class are rejected as of an unknown class; those of the new class are forwarded.
  fixture.send_set_up("00000000000000b2");
  fixture.run_until([&] { return fixture.caller->has_received("\"sid\":\"00000000000000b2\""); });
  CHECK_FALSE(fixture.caller->has_received("\"ready\",\"sid\":\"00000000000000b2\""));
  fixture.send_from_caller(
      R"({"msg":"open","sid":"00000000000000c3","attrs":{"class":"video","left":"2000","tenant":"acme",)"
      R"("key":"77aa","extras":"dest:0;width:1;via:-1"},"text":"d"})"
      "\n");
  fixture.wait_for_invite("00000000000000c3");
  CHECK(fixture.router->counters().reloads == 1);
}

TEST_CASE("an attempt limit lowered by a reload applies to the next call") {
  RouterFixture fixture;
  fixture.announce_server();
  auto updated = fixture.config;
  updated.settings.limits.max_attempts = 1;
  updated.settings_text = "changed";
  fixture.router->reload(updated);
  fixture.send_set_up(kSessionId);
  auto& server_end = fixture.wait_for_invite(kSessionId);
  server_end.stream->send(RouterFixture::sip_message("SIP/2.0 480 Moot", kSessionId, "1 INVITE"));
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kSessionId); });
  // Only one attempt: no second INVITE, although four attempts were allowed before.
  CHECK(fixture.server.count("Call-ID: " + kSessionId + "\r\nCSeq: 2 INVITE") == 0);
}

}  // namespace amberknot::tests
