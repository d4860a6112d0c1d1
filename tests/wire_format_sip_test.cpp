// Guards against changes of the wire format: the exact bytes of every SIP message to a session server.
#include "net_bench.hpp"
#include "sip/codec.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

const std::string kCallId = "9b1f03aa5c7e2d41";

/// Waits for a complete head that begins with the text, and takes out and returns everything that the server
/// received on that connection. The remaining time of an INVITE is masked, because it depends on the clock.
std::string message_with(Bench& bench, std::string_view start) {
  const auto has_head = [&](const End* end) {
    return end != nullptr && end->in.find("\r\n\r\n", end->in.find(start)) != std::string::npos;
  };
  bench.until([&] { return has_head(bench.server.with(start)); });
  return mask_digits_after(taken_from(bench.server.with(start)->in), "X-Timer-Ms: ");
}

}  // namespace

TEST_CASE("SIP bytes: INVITE, ACK and BYE of a call that its caller releases") {
  Bench bench;
  bench.list();
  bench.open(kCallId, 2000, "c=IN IP4 10.4.7.9\\r\\nm=audio 31000 RTP/AVP 0 8 101\\r\\n");
  auto& server = bench.invited(kCallId);
  bench.until([&] { return server.has("RTP/AVP 0 8 101\r\n"); });
  CHECK(message_with(bench, "INVITE") ==
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
  bench.answer(server, kCallId);
  CHECK(message_with(bench, "ACK") ==
        "ACK sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 ACK\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
  bench.until([&] { return bench.caller->has("\"ready\""); });
  bench.say("{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"code\":34}\n");
  CHECK(message_with(bench, "BYE") ==
        "BYE sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 2 BYE\r\n"
        "Reason: Q.850;cause=34\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
}

TEST_CASE("SIP bytes: ACK of a rejection") {
  Bench bench;
  bench.list();
  bench.open(kCallId);
  auto& server = bench.invited(kCallId);
  bench.until([&] { return server.has("desc"); });
  server.in.clear();
  server.stream->send(Bench::sip("SIP/2.0 486 Busy Here", kCallId, "1 INVITE", "X-Diagnosis: sub\r\n"));
  CHECK(message_with(bench, "ACK") ==
        "ACK sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 ACK\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
}

TEST_CASE("SIP bytes: CANCEL, then ACK and BYE for a 200 that crosses it") {
  Bench bench;
  bench.list();
  bench.open(kCallId);
  auto& server = bench.invited(kCallId);
  bench.until([&] { return server.has("desc"); });
  server.in.clear();
  bench.say("{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"code\":16}\n");
  CHECK(message_with(bench, "CANCEL") ==
        "CANCEL sip:77aa@net SIP/2.0\r\n"
        "Via: SIP/2.0/TCP n0\r\n"
        "Call-ID: 9b1f03aa5c7e2d41\r\n"
        "CSeq: 1 CANCEL\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
  bench.answer(server, kCallId);
  CHECK(message_with(bench, "BYE") ==
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
  Bench bench;
  bench.list();
  auto& server = bench.standing(kCallId);
  bench.until([&] { return server.has("ACK"); });
  server.in.clear();
  server.stream->send(
      "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP s1;branch=z9\r\nCall-ID: ab12\r\nCSeq: 7 OPTIONS\r\n"
      "Content-Length: 0\r\n\r\n");
  CHECK(message_with(bench, "SIP/2.0 200") ==
        "SIP/2.0 200 OK\r\n"
        "Via: SIP/2.0/TCP s1;branch=z9\r\n"
        "Call-ID: ab12\r\n"
        "CSeq: 7 OPTIONS\r\n"
        "Content-Length: 0\r\n"
        "\r\n");
  server.stream->send(Bench::sip("BYE sip:77aa@net SIP/2.0", kCallId, "3 BYE", "Reason: Q.850;cause=16\r\n"));
  CHECK(message_with(bench, "SIP/2.0 200") ==
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
