// Guards against changes of the wire format: the exact bytes of every SIP message to a session server.
#include "net_bench.hpp"
#include "sip/codec.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

const std::string kCallId = "9b1f03aa5c7e2d41";

/// Waits for a complete head that begins with the text, and takes out and returns everything that the server
/// received on that connection. The remaining time of an INVITE is masked, because it depends on the clock.
std::string message_with(RouterFixture& fixture, std::string_view start) {
  const auto has_head = [&](const TestConnection* end) {
    return end != nullptr && end->received.find("\r\n\r\n", end->received.find(start)) != std::string::npos;
  };
  fixture.run_until([&] { return has_head(fixture.server.find_connection_with(start)); });
  return mask_digits_after(take_all(fixture.server.find_connection_with(start)->received), "X-Timer-Ms: ");
}

}  // namespace

TEST_CASE("SIP bytes: INVITE, ACK and BYE of a call that its caller releases") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallId, 2000, "c=IN IP4 10.4.7.9\\r\\nm=audio 31000 RTP/AVP 0 8 101\\r\\n");
  auto& server = fixture.wait_for_invite(kCallId);
  fixture.run_until([&] { return server.has_received("RTP/AVP 0 8 101\r\n"); });
  CHECK(message_with(fixture, "INVITE") ==
        "INVITE sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 INVITE\r\n"
        "X-Cos: voice\r\n"
        "X-Timer-Ms: *\r\n"
        "Content-Length: 50\r\n"
        "\r\n"
        "c=IN IP4 10.4.7.9\r\n"
        "m=audio 31000 RTP/AVP 0 8 101\r\n");
  fixture.answer(server, kCallId);
  CHECK(message_with(fixture, "ACK") ==
        "ACK sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 ACK\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\""); });
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"code\":34}\n");
  CHECK(message_with(fixture, "BYE") ==
        "BYE sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 2 BYE\r\n"
        "Reason: Q.850;cause=34\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
}

TEST_CASE("SIP bytes: ACK of a rejection") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallId);
  auto& server = fixture.wait_for_invite(kCallId);
  fixture.run_until([&] { return server.has_received("desc"); });
  server.received.clear();
  server.stream->send(
      RouterFixture::sip_message("SIP/2.0 486 Busy Here", kCallId, "1 INVITE", "X-Diagnosis: sub\r\n"));
  CHECK(message_with(fixture, "ACK") ==
        "ACK sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 ACK\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
}

TEST_CASE("SIP bytes: CANCEL, then ACK and BYE for a 200 that crosses it") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallId);
  auto& server = fixture.wait_for_invite(kCallId);
  fixture.run_until([&] { return server.has_received("desc"); });
  server.received.clear();
  fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"code\":16}\n");
  CHECK(message_with(fixture, "CANCEL") ==
        "CANCEL sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 CANCEL\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
  fixture.answer(server, kCallId);
  CHECK(message_with(fixture, "BYE") ==
        "ACK sip:late@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 ACK\r\n"
        "Content-Length: 0\r\n"
        "\r\n"
        "BYE sip:late@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 2 BYE\r\n"
        "Reason: Q.850;cause=16\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
}

TEST_CASE("SIP bytes: 200 to a server's BYE and OPTIONS") {
  RouterFixture fixture;
  fixture.announce_server();
  auto& server = fixture.establish_call(kCallId);
  fixture.run_until([&] { return server.has_received("ACK"); });
  server.received.clear();
  server.stream->send(
      "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP s1;branch=z9\r\nCall-ID: ab12\r\nCSeq: 7 OPTIONS\r\n"
      "Content-Length: 0\r\n\r\n");
  CHECK(message_with(fixture, "SIP/2.0 200") ==
        "SIP/2.0 200 OK\r\n"
        "Via: SIP/2.0/TCP s1;branch=z9\r\n"
        "Call-ID: ab12\r\n"
        "CSeq: 7 OPTIONS\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
  server.stream->send(
      RouterFixture::sip_message("BYE sip:77aa@net SIP/2.0", kCallId, "3 BYE", "Reason: Q.850;cause=16\r\n"));
  CHECK(message_with(fixture, "SIP/2.0 200") ==
        "SIP/2.0 200 OK\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 3 BYE\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
}

TEST_CASE("SIP bytes: each head as the codec writes it") {
  const sip::SipCall call{kCallId, "7f3a9c21e0b4d655", 3};
  CHECK(sip::invite_head(call, "n0", "voice", std::chrono::microseconds{1'500'999}, 71) ==
        "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 3 INVITE\r\n"
        "X-Cos: voice\r\n"
        "X-Timer-Ms: 1500\r\n"
        "Content-Length: 71\r\n"
        "\r\n");
  CHECK(sip::request_head("BYE", call, "n0", core::Cause::kTemporaryFailure) ==
        "BYE sip:7f3a9c21e0b4d655@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 3 BYE\r\n"
        "Reason: Q.850;cause=41\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
  CHECK(sip::options_head("0000000000000007", "n0") ==
        "OPTIONS sip:load@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 0000000000000007\r\n"
        "CSeq: 1 OPTIONS\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
}

}  // namespace amberknot::tests
