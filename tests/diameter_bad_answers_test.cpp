// Diameter servers that send malformed answers. Guards against an answer that is passed on to the caller
// although it could not be read: no server made what the caller would get.
#include "diameter_fixture.hpp"

using namespace amberknot;
using namespace amberknot::tests;
using namespace std::string_view_literals;

namespace {

constexpr std::string_view kParameterInfoHeader = "\0\0\x01\xb8"sv;
constexpr std::string_view kParameterTypeHeader = "\0\0\x01\xb9"sv;
constexpr std::string_view kParameterValueHeader = "\0\0\x01\xba"sv;
constexpr std::string_view kResultCodeHeader = "\0\0\x01\x0c"sv;
constexpr std::size_t kAvpFlags = 4;
constexpr std::size_t kAvpLength = 5;

/// Returns a whole success answer with the description "sdp".
std::string success_answer(const DiameterTestPeer& peer, const Message& request) {
  auto answer = Writer::answer(request, ResultCode::kSuccess);
  peer.add_origin(answer).add(AvpCode::kAuthApplicationId, kCreditControl);
  answer.add_raw(request.find(AvpCode::kCcRequestType)->encoded)
      .add_raw(request.find(AvpCode::kCcRequestNumber)->encoded);
  return answer.add_parameter(ServiceParameter::kDescription, "sdp").finish();
}

/// Replaces bytes of the AVP with that header, `offset` bytes from its start.
std::string with_avp_bytes(std::string message, std::string_view header, std::size_t offset,
                           std::string_view bytes) {
  const auto at = message.rfind(header);
  REQUIRE(at != std::string::npos);
  return message.replace(at + offset, bytes.size(), bytes);
}

}  // namespace

TEST_CASE("Diameter: a malformed success answer is not passed on, and its session is terminated") {
  struct Case {
    const char* name;
    std::function<std::string(std::string)> damage;
  };
  const Case cases[] = {
      {"the group with the description ends behind the message",
       [](std::string m) { return with_avp_bytes(m, kParameterInfoHeader, kAvpLength, "\0\0\x60"sv); }},
      {"the description ends behind its group",
       [](std::string m) { return with_avp_bytes(m, kParameterValueHeader, kAvpLength, "\0\0\x40"sv); }},
      {"the description is shorter than its header",
       [](std::string m) { return with_avp_bytes(m, kParameterValueHeader, kAvpLength, "\0\0\x07"sv); }},
      {"the description is empty",
       [](std::string m) { return with_avp_bytes(m, kParameterValueHeader, kAvpLength, "\0\0\x08"sv); }},
      {"the description is not UTF-8",
       [](std::string m) { return with_avp_bytes(m, kParameterValueHeader, 8, "\xff\xfe\xfd"sv); }},
      {"the description holds a zero byte",
       [](std::string m) { return with_avp_bytes(m, kParameterValueHeader, 8, "\0"sv); }},
      {"the type of the description has no value",
       [](std::string m) {
         return with_avp_bytes(with_avp_bytes(m, kParameterTypeHeader, kAvpLength, "\0\0\x08"sv),
                               kParameterTypeHeader, kAvpFlags, "\0"sv);
       }},
      {"the type of the description is vendor-specific and has no value",
       [](std::string m) {
         return with_avp_bytes(m, kParameterTypeHeader, kAvpFlags, "\x80\0\0\x0c\0\0\0\0"sv);
       }},
      {"the Result-Code is too long, before the description",
       [](std::string m) { return with_avp_bytes(m, kResultCodeHeader, kAvpLength, "\0\0\x0d"sv); }},
      {"the session is another one", [](std::string m) { return m.replace(m.find(";0;"), 3, ";9;"); }},
  };
  for (const auto& test_case : cases) {
    CAPTURE(test_case.name);
    DiameterFixture fixture(operator_file(true, false));
    fixture.send_set_up(kCallA, 400);
    fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
    const auto request = fixture.peer().initial_requests()[0];
    const std::string session(request.text(AvpCode::kSessionId));
    fixture.peer().stream->send(test_case.damage(success_answer(fixture.peer(), request)));
    fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
    CHECK_FALSE(fixture.caller->has_received("\"ready\""));
    fixture.run_until([&] { return !fixture.peer().termination_requests().empty(); });
    CHECK(fixture.peer().termination_requests()[0].text(AvpCode::kSessionId) == session);
    CHECK(fixture.router->counters().malformed_answers == 1);
    CHECK_FALSE(fixture.peer().closed);
  }
}

// A length of the message itself that does not fit leaves the start of the next message unknown.
TEST_CASE("Diameter: after an answer with an invalid message length the connection is closed") {
  for (const auto& length : {"\0\0\x13"sv, "\0\0\x15"sv, "\0\0\x1c"sv}) {
    DiameterFixture fixture(operator_file(true, false));
    fixture.send_set_up(kCallA, 400);
    fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
    auto& peer = fixture.peer();
    auto answer = success_answer(peer, peer.initial_requests()[0]);
    peer.stream->send(answer.replace(1, length.size(), length));
    fixture.run_until([&] { return peer.closed; });
    fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
    CHECK_FALSE(fixture.caller->has_received("\"ready\""));
  }
}
