// Tables of cases for the parsers of the text protocols, the configuration and the endpoint list, and for the
// timer wheel.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "app/config.hpp"
#include "app/operator_file.hpp"
#include "core/timer_wheel.hpp"
#include "discovery/endpoint_update.hpp"
#include "jsonl/codec.hpp"
#include "net/bounds.hpp"
#include "settings/json_text.hpp"
#include "settings/sse.hpp"
#include "sip/codec.hpp"

using namespace amberknot;
using namespace amberknot::app;
using namespace amberknot::discovery;
using namespace amberknot::jsonl;
using namespace amberknot::sip;
using amberknot::settings::SseEvent;
using amberknot::settings::SseParser;

TEST_CASE("a text with a lone surrogate counts as missing") {
  JsonLineReader reader;
  const auto has_text = [&](std::string line) {
    line.append(settings::kJsonPaddingBytes, '\0');
    const auto read = reader.read({line.data(), line.size() - settings::kJsonPaddingBytes},
                                  line.data() + line.size() - settings::kJsonPaddingBytes);
    REQUIRE(read);
    return read->has_text;
  };
  const std::string head = R"({"msg":"open","sid":"00000000000000aa","attrs":{},"text":")";
  CHECK(has_text(head + "\\ud83d\\ude0b\"}"));
  CHECK_FALSE(has_text(head + "\\ude0b\"}"));
}

TEST_CASE("a JSON line is parsed completely or rejected") {
  using Type = JsonLine::Type;
  struct Case {
    const char* line;
    bool is_valid;
    Type type;
  };
  const Case cases[] = {
      {R"({"msg":"open","sid":"9b1f03aa5c7e2d41","attrs":{"left":"15"},"text":"a\r\nb"})", true, Type::kOpen},
      {R"({"msg":"open","sid":"9b1f03aa5c7e2d41","attrs":{"left":15}})", true, Type::kOpen},
      {R"({"msg":"close","sid":"9B1F03AA5C7E2D41","attrs":{},"code":16})", true, Type::kClose},
      {R"({"msg":"probe","sid":"x","attrs":{},"code":0})", true, Type::kHealthCheck},
      {R"({"msg":"closed","sid":"9b1f03aa5c7e2d41"})", true, Type::kOther},
      {R"({"msg":"open","sid":"9b1f03aa5c7e2d4"})", false, Type::kOther},
      {R"({"msg":"open","sid":"9b1f03aa5c7e2d4\r"})", false, Type::kOther},
      {R"({"msg":"open","sid":12})", false, Type::kOther},
      {R"({"msg":"open"})", false, Type::kOther},
      {R"({"sid":"9b1f03aa5c7e2d41"})", false, Type::kOther},
      {R"(["open"])", false, Type::kOther},
      {R"({"msg":"open")", false, Type::kOther},
      {"{\"msg\":\"closed\",\"text\":\"\xff\"}", false, Type::kOther},
      {"", false, Type::kOther},
  };
  JsonLineReader reader;
  for (const auto& one : cases) {
    CAPTURE(one.line);
    std::string line = one.line;
    line += '\n';
    const auto read = reader.read({line.data(), line.size() - 1}, &line.back());
    CHECK(read.has_value() == one.is_valid);
    if (read) CHECK(read->type == one.type);
  }
  std::string deep(16'000, '[');
  deep += '\n';
  CHECK_FALSE(reader.read({deep.data(), deep.size() - 1}, &deep.back()));
}

TEST_CASE("numeric attributes are accepted in place of text, and text keeps its line ends") {
  std::string line =
      R"({"msg":"open","sid":"9b1f03aa5c7e2d41","attrs":{"left":1500,"key":"7"},"text":"a\r\nb"})"
      "\n";
  JsonLineReader reader;
  const auto read = reader.read({line.data(), line.size() - 1}, &line.back());
  REQUIRE(read);
  CHECK(read->remaining_ms == "1500");
  CHECK(read->text == "a\r\nb");
  CHECK(ready_line(read->sid, read->text) ==
        "{\"msg\":\"ready\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"text\":\"a\\r\\nb\"}\n");
}

TEST_CASE("a rejection tells the caller how long to wait before a retry") {
  const std::string head = "{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{";
  CHECK(close_line("9b1f03aa5c7e2d41", core::Cause::kCongestion, std::chrono::milliseconds{1500}) ==
        head + "\"wait\":\"1500\"},\"code\":42}\n");
  CHECK(close_line("9b1f03aa5c7e2d41", core::Cause::kNormal) == head + "},\"code\":16}\n");
}

TEST_CASE("extras are parsed, and invalid numbers are rejected") {
  struct Case {
    const char* text;
    bool is_valid;
    int dest;
    bool again;
  };
  const Case cases[] = {{"dest:2;width:1;via:-1", true, 2, false},
                        {"dest:0;again:1", true, 0, true},
                        {"width:1", true, -1, false},
                        {"dest:-1", false, 0, false},
                        {"dest:x", false, 0, false},
                        {"dest", false, 0, false},
                        {"dest:1;width:0", false, 0, false},
                        {"dest:1;width:nan", false, 0, false}};
  for (const auto& one : cases) {
    CAPTURE(one.text);
    const auto read = parse_extras(one.text);
    REQUIRE(read.has_value() == one.is_valid);
    if (!read) continue;
    CHECK((read->destination_pool ? static_cast<int>(*read->destination_pool) : -1) == one.dest);
    CHECK(read->was_aborted == one.again);
  }
}

TEST_CASE("a SIP message is parsed, incomplete or rejected") {
  using State = SipParseResult::State;
  struct Case {
    const char* text;
    State state;
    int status;
    const char* method;
  };
  const Case cases[] = {
      {"SIP/2.0 200 OK\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\nhi", State::kComplete, 200,
       "INVITE"},
      {"SIP/2.0 503 X\r\ni: a\r\ncseq: 2 INVITE\r\nl: 0\r\n\r\n", State::kComplete, 503, "INVITE"},
      {"\r\n\r\nBYE sip:7@net SIP/2.0\r\nCall-ID: a\r\nReason: Q.850\r\n ;cause=16\r\nContent-Length: "
       "0\r\n\r\n",
       State::kComplete, 0, "BYE"},
      {"SIP/2.0 200 OK\r\nCSeq: 1 INVITE\r\nContent-Length: 2\r\n\r\nh", State::kIncomplete, 200, "INVITE"},
      {"SIP/2.0 200 OK\r\nCSeq: 1 INV", State::kIncomplete, 0, ""},
      {"SIP/2.0 200 OK\r\nCSeq: 1 INVITE\r\n\r\n", State::kMalformed, 200, ""},
      {"SIP/2.0 200 OK\r\nCSeq: 1 INVITE\r\nContent-Length: -1\r\n\r\n", State::kMalformed, 200, ""},
      {"SIP/2.0 200 OK\r\nCSeq: 1 INVITE\r\nContent-Length: 99999\r\n\r\n", State::kMalformed, 200, ""},
      {"SIP/2.0 200 OK\r\nl: 1\r\nl: 2\r\nCSeq: 1 INVITE\r\n\r\nab", State::kMalformed, 200, ""},
      {"SIP/2.0 abc\r\nContent-Length: 0\r\n\r\n", State::kMalformed, 0, ""},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", State::kMalformed, 0, ""},
      {"BYE sip:7@net SIP/2.0\r\nno colon\r\nContent-Length: 0\r\n\r\n", State::kMalformed, 0, "BYE"},
  };
  for (const auto& one : cases) {
    CAPTURE(one.text);
    const auto read = parse_sip_message(one.text, net::kMaxMessageBytes);
    CHECK(read.state == one.state);
    CHECK(read.head.status == one.status);
    if (one.state == State::kComplete) {
      CHECK(read.head.method == one.method);
      CHECK(read.size() == std::string(one.text).size());
    }
  }
  CHECK(parse_sip_message(std::string(net::kMaxMessageBytes + 1, 'a'), net::kMaxMessageBytes).state ==
        State::kMalformed);
}

TEST_CASE("X-Lag is parsed only from a full processor and as a positive whole number") {
  const struct {
    const char* diagnosis;
    const char* lag;
    std::optional<Duration> wait;
  } cases[] = {
      {"acc", "250", std::chrono::milliseconds{250}},
      {"acc", "4294967295", std::chrono::milliseconds{4294967295}},
      {"acc", "4294967296", std::nullopt},
      {"acc", "0", std::nullopt},
      {"acc", "-5", std::nullopt},
      {"acc", "2.5", std::nullopt},
      {"acc", "soon", std::nullopt},
      {"acc", "", std::nullopt},
      {"atb", "250", std::nullopt},
      {"sub", "250", std::nullopt},
      {"", "250", std::nullopt},
  };
  for (const auto& one : cases) {
    CAPTURE(one.lag);
    CHECK(parse_retry_after(one.diagnosis, one.lag) == one.wait);
  }
  const auto read = parse_sip_message(
      "SIP/2.0 503 Full\r\nCall-ID: a\r\nCSeq: 1 INVITE\r\nX-Diagnosis: acc\r\nx-lag: 1700\r\n"
      "Content-Length: 0\r\n\r\n",
      net::kMaxMessageBytes);
  CHECK(read.head.lag == "1700");
}

TEST_CASE("Q.850 causes and load reports are parsed") {
  CHECK(parse_q850_cause("Q.850;cause=16") == 16);
  CHECK(parse_q850_cause("Q.850\r\n ;cause=41;text=\"x\"") == 41);
  CHECK_FALSE(parse_q850_cause("SIP;cause=200"));
  CHECK_FALSE(parse_q850_cause(""));
  const auto report = parse_load_report("idle:12;circuits:40;lat_ms:2.5;max_rate:-1;odd;x:y");
  CHECK(report.free_lines == 12.0);
  CHECK(report.total_lines == 40.0);
  CHECK(report.queue_delay == std::chrono::microseconds{2500});
  CHECK_FALSE(report.accept_rate);
  CHECK(parse_load_report("x0:1;queue:3").queued == 3.0);
}

TEST_CASE("server-sent events are parsed at every split and with every line end") {
  const std::string text = ": hi\r\n\r\nid: 4\r\ndata: {\"a\":\r\ndata: 1}\r\n\r\nid:5\ndata:x\n\n";
  for (std::size_t split_at = 0; split_at <= text.size(); ++split_at) {
    CAPTURE(split_at);
    SseParser reader;
    std::vector<SseEvent> events;
    const auto keep = [&](const SseEvent& event) { events.push_back(event); };
    CHECK(reader.feed(text.substr(0, split_at), keep));
    CHECK(reader.feed(text.substr(split_at), keep));
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == "4");
    CHECK(events[0].data == "{\"a\":\n1}");
    CHECK(events[1].id == "5");
    CHECK(events[1].data == "x");
  }
  SseParser reader;
  CHECK_FALSE(reader.feed(std::string(2'000'000, 'a'), [](const SseEvent&) {}));
}

TEST_CASE("an endpoint update: states, start times, and input that cannot be parsed") {
  const auto update = parse_endpoint_update(
      R"({"cursor":41,"nodes":{"snapshot":true,"endpoints":[)"
      R"({"name":"a","address":"10.1.0.9:5070","group":2,"status":"draining","since_ms":1700000000123},)"
      R"({"name":"b","address":"x","group":0,"status":"odd"},{"address":"x","status":"ready"}]}})");
  REQUIRE(update);
  CHECK(update->event_number == 41);
  CHECK(update->is_full_list);
  REQUIRE(update->changes.size() == 1);
  CHECK(update->changes[0].state == EndpointState::kDraining);
  CHECK(update->changes[0].pool == 2);
  CHECK(update->changes[0].started_unix_ms == 1700000000123);
  CHECK(update->invalid_fields == std::vector<std::string>{"status of endpoint b", "since_ms of endpoint b",
                                                           "name of endpoint ", "group of endpoint ",
                                                           "since_ms of endpoint "});
  CHECK(parse_endpoint_update(R"({"cursor":1})")->has_endpoint_list == false);
  for (const char* invalid : {"", "{", "[]", R"({"nodes":{}})", R"({"cursor":1,"nodes":{"endpoints":3}})"}) {
    CAPTURE(invalid);
    CHECK_FALSE(parse_endpoint_update(std::string(invalid)));
  }
}

TEST_CASE("the error for an invalid operator file names the field") {
  struct Case {
    const char* json;
    const char* expected_text;
  };
  const Case cases[] = {
      {"x", "not JSON"},
      {R"({"diametre":{}})", "file.diametre"},
      {R"({"diameter":{"origin_host":"a"}})", "diameter.origin_realm"},
      {R"({"diameter":{"origin_host":"a","origin_realm":"b","listen":"c"}})", "diameter.listen"},
      {R"({"diameter":{"origin_host":"a","origin_realm":"b","watchdog_ms":10}})", "diameter.watchdog_ms"},
      {R"({"diameter":{"origin_host":"a","origin_realm":"b","servers":"*"}})", "diameter.servers"},
      // Guards against an empty list of clients that admits any, and against a bind without its password.
      {R"({"diameter":{"origin_host":"a","origin_realm":"b","clients":[]}})", "diameter.clients"},
      {R"({"ldap":{"url":"ldap://x","base":"b","bind_dn":"cn=r","key_attribute":"k","tenant_attribute":"t"}})",
       "ldap.password_file"},
      {R"({"ldap":{"url":"http://x"}})", "ldap.url"},
      {R"({"ldap":{"url":"ldap://x","base":"b","key_attribute":"k","tenant_attribute":"t"}})",
       "diameter.listen"},
  };
  for (const auto& one : cases) {
    CAPTURE(one.json);
    std::string error_text;
    try {
      read_operator_file(one.json);
    } catch (const ConfigError& error) {
      error_text = error.what();
    }
    CHECK(error_text.find(one.expected_text) != std::string::npos);
  }
  const auto whole = read_operator_file(read_file(EXAMPLE_OPERATOR_FILE));
  CHECK(whole.diameter->is_diameter_server("s-0512ce2f"));
  CHECK(whole.ldap->key_attribute == "associatedDomain");
}

TEST_CASE("the error for an invalid configuration names the field") {
  const std::string valid_prefix =
      R"({"name":"n","listen":"127.0.0.1:1","seed":"0f","channel":"127.0.0.1:2","known":{"cursor":0,"cmds":[]},)"
      R"("settings":{)";
  struct Case {
    std::string json;
    const char* expected_text;
  };
  const Case cases[] = {{"{", "not a JSON object"},
                        {R"({"listen":"here"})", "listen"},
                        {R"({"listen":"127.0.0.1:1"})", "seed"},
                        {R"({"listen":"127.0.0.1:1","seed":"xyz"})", "seed"},
                        {R"({"listen":"127.0.0.1:1","seed":"0","channel":"x"})", "channel"},
                        {R"({"listen":"127.0.0.1:1","seed":"0","channel":"127.0.0.1:2"})", "known"},
                        {valid_prefix + "}}", "siblings"}};
  for (const auto& one : cases) {
    CAPTURE(one.json);
    std::string error_text;
    try {
      read_config(one.json, "", "");
    } catch (const ConfigError& error) {
      error_text = error.what();
    }
    CHECK(error_text.find(one.expected_text) != std::string::npos);
  }
}

TEST_CASE("timers expire in time, in order and never early") {
  using core::TimerWheel;
  const Instant start{std::chrono::seconds{5}};
  TimerWheel wheel(start);
  std::vector<int> expired;
  wheel.schedule_at(start + std::chrono::milliseconds{12}, [&] { expired.push_back(12); });
  // More than one revolution of the wheel.
  wheel.schedule_at(start + std::chrono::seconds{30}, [&] { expired.push_back(30'000); });
  const auto cancelled =
      wheel.schedule_at(start + std::chrono::milliseconds{12}, [&] { expired.push_back(-1); });
  // A timer that starts another one.
  wheel.schedule_at(start, [&] { wheel.schedule_at(start, [&] { expired.push_back(0); }); });
  wheel.cancel(cancelled);
  wheel.advance(start + std::chrono::milliseconds{11});
  CHECK(expired == std::vector<int>{0});
  wheel.advance(start + std::chrono::milliseconds{15});
  CHECK(expired == std::vector<int>{0, 12});
  wheel.advance(start + std::chrono::milliseconds{29'999});
  CHECK(expired.size() == 2);
  wheel.advance(start + std::chrono::milliseconds{30'000});
  CHECK(expired.size() == 3);
  CHECK(wheel.size() == 0);
}
