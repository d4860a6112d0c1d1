// Guards against changes of the wire format: the exact bytes of every JSON line to a caller.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "jsonl/codec.hpp"
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

const std::string kCallId = "9b1f03aa5c7e2d41";

/// Waits for a complete line with the text, and takes out and returns everything the caller received.
std::string line_with(RouterFixture& fixture, std::string_view text) {
  fixture.run_until(
      [&] { return fixture.caller->has_received(text) && fixture.caller->received.ends_with('\n'); });
  return take_all(fixture.caller->received);
}

}  // namespace

TEST_CASE("JSON line bytes: an answer with its description, and a confirmed release") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallId);
  fixture.answer(fixture.wait_for_invite(kCallId), kCallId, "v=0\r\n\"a\\b\"/\t\xc3\xa9\r\n");
  CHECK(line_with(fixture, "ready") ==
        R"({"msg":"ready","sid":"9b1f03aa5c7e2d41","attrs":{},"text":"v=0\r\n\"a\\b\"/\té\r\n"})"
        "\n");
  fixture.send_from_caller(R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":16})"
                           "\n");
  CHECK(line_with(fixture, "closed") == R"({"msg":"closed","sid":"9b1f03aa5c7e2d41","attrs":{}})"
                                        "\n");
}

TEST_CASE("JSON line bytes: a release by the server, and a call that was lost") {
  struct Case {
    std::string reason;
    std::string line;
  };
  const Case cases[] = {
      {"16", R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":16})"},
      {"41", R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":41})"},
  };
  for (const auto& one : cases) {
    CAPTURE(one.reason);
    RouterFixture fixture;
    fixture.announce_server();
    auto& server = fixture.establish_call(kCallId);
    fixture.caller->received.clear();
    server.stream->send(RouterFixture::sip_message("BYE sip:77aa@net SIP/2.0", kCallId, "1 BYE",
                                                   "Reason: Q.850;cause=" + one.reason + "\r\n"));
    CHECK(line_with(fixture, "close") == one.line + "\n");
  }
}

TEST_CASE("JSON line bytes: a call that failed at its server, and one with an invalid field") {
  auto config = router_config();
  for (auto& call_class : config.settings.classes) call_class.idempotent = false;
  RouterFixture fixture({}, config);
  fixture.announce_server();
  fixture.send_set_up(kCallId);
  fixture.wait_for_invite(kCallId).stream->send(
      RouterFixture::sip_message("SIP/2.0 500 Error", kCallId, "1 INVITE"));
  CHECK(line_with(fixture, "close") == R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":41})"
                                       "\n");
  fixture.send_from_caller(R"({"msg":"open","sid":"9b1f03aa5c7e2d41","attrs":{"class":"none"},"text":"d"})"
                           "\n");
  CHECK(line_with(fixture, "close") == R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":100})"
                                       "\n");
}

TEST_CASE("JSON line bytes: a call rejected by the only server, with a time to wait") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallId, 300);
  fixture.wait_for_invite(kCallId).stream->send(
      RouterFixture::sip_message("SIP/2.0 503 Full", kCallId, "1 INVITE", "X-Diagnosis: atb\r\n"));
  CHECK(line_with(fixture, "close") ==
        R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{"wait":"2000"},"code":42})"
        "\n");
}

TEST_CASE("JSON line bytes: a call rejected when its remaining time is over") {
  RouterFixture fixture;
  fixture.send_set_up(kCallId, 100);
  CHECK(line_with(fixture, "close") == R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":42})"
                                       "\n");
}

TEST_CASE("JSON line bytes: a health check that passes, and one that fails in standby") {
  const std::string health_check = R"({"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0})"
                                   "\n";
  RouterFixture fixture;
  fixture.send_from_caller(health_check);
  CHECK(line_with(fixture, "probed") == R"({"msg":"probed","sid":"00000000000000ff","attrs":{},"code":1})"
                                        "\n");
  fixture.announce_server();
  fixture.send_set_up(kCallId);
  fixture.wait_for_invite(kCallId);  // a connection with an unanswered call stays open in standby
  fixture.router->set_standby(true);
  fixture.send_from_caller(health_check);
  CHECK(line_with(fixture, "probed") == R"({"msg":"probed","sid":"00000000000000ff","attrs":{},"code":0})"
                                        "\n");
}

TEST_CASE("JSON line bytes: a release with each cause, and with a time to wait") {
  struct Case {
    int cause;
    const char* line;
  };
  const Case cases[] = {
      {16, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":16})"},
      {17, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":17})"},
      {34, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":34})"},
      {38, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":38})"},
      {41, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":41})"},
      {42, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":42})"},
      {100, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":100})"},
      {102, R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{},"code":102})"},
  };
  for (const auto& one : cases) {
    CHECK(jsonl::close_line(kCallId, static_cast<core::Cause>(one.cause)) == std::string(one.line) + "\n");
  }
  CHECK(jsonl::close_line(kCallId, core::Cause::kCongestion, std::chrono::microseconds{1'250'900}) ==
        R"({"msg":"close","sid":"9b1f03aa5c7e2d41","attrs":{"wait":"1250"},"code":42})"
        "\n");
  CHECK(jsonl::close_line("", core::Cause::kNormal) == R"({"msg":"close","sid":"","attrs":{},"code":16})"
                                                       "\n");
}

}  // namespace amberknot::tests
