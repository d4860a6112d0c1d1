// Checks the bytes of every Diameter message that the router sends to a session server.
#include "wire_format_diameter.hpp"

namespace amberknot::tests {
namespace {

using diameter::AvpCode;
using diameter::Command;
using diameter::ResultCode;
using diameter::ServiceParameter;
using diameter::Writer;

const std::string kCallId = "9b1f03aa5c7e2d41";

app::OperatorFile operator_file_with_servers(milliseconds watchdog) {
  auto file = diameter_operator_file(watchdog);
  file.diameter->servers = {"*"};
  return file;
}

/// A router and its connection to a Diameter server, which sends only the messages of the test.
struct DiameterServerFixture : RouterFixture {
  explicit DiameterServerFixture(milliseconds watchdog = std::chrono::seconds{30})
      : RouterFixture(operator_file_with_servers(watchdog)) {
    announce_server();
    run_until([&] { return !server.connections.empty(); });
    capabilities_request = next_router_message();
    capabilities_request_text = formatter.format(capabilities_request);
    auto cea = Writer::answer(parse_message(capabilities_request), ResultCode::kSuccess);
    send(cea.add(AvpCode::kOriginHost, "s1.acme").add(AvpCode::kOriginRealm, "acme"));
  }
  TestConnection& peer() { return *server.connections.back(); }
  std::string next_router_message() { return next_message(*this, peer()); }
  std::string next_message_text() { return formatter.format(next_router_message()); }
  void send(Writer& writer) { peer().stream->send(writer.finish()); }
  /// Opens a call and returns its request, whose last four bytes are the remaining time in milliseconds.
  std::string initial_request() {
    send_set_up(kCallId, 5000);
    return next_router_message();
  }
  void accept(const std::string& request) {
    auto cca = Writer::answer(parse_message(request), ResultCode::kSuccess);
    send(cca.add(AvpCode::kOriginHost, "s1.acme").add_parameter(ServiceParameter::kDescription, "sdp"));
    run_until([&] { return caller->has_received("\"ready\""); });
  }
  void release() {
    send_from_caller("{\"msg\":\"close\",\"sid\":\"9b1f03aa5c7e2d41\",\"attrs\":{},\"code\":16}\n");
  }
  Writer request(Command command, std::uint32_t application) {
    return Writer::request(command, application, 0xaabbccdd, 0x11223344);
  }

  DiameterFormatter formatter;
  std::string capabilities_request, capabilities_request_text;
};

}  // namespace

TEST_CASE("Diameter server bytes: capabilities exchange, set-up and termination") {
  DiameterServerFixture fixture;
  CHECK(fixture.capabilities_request_text ==
        "0100008c80000101000000000000000100000000\n"          // header
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001014000000e00017f0000010000\n"                  // Host-IP-Address
        "0000010a4000000c00000000\n"                          // Vendor-Id
        "0000010d00000011616d6265726b6e6f74000000\n"          // Product-Name
        "000001164000000c00000000\n"                          // Origin-State-Id
        "000001024000000c00000004"                            // Auth-Application-Id
  );
  const auto request = fixture.initial_request();
  auto masked_request = request;
  CHECK(masked_request.substr(masked_request.size() - 4).find_first_not_of("0123456789") ==
        std::string::npos);
  masked_request.replace(masked_request.size() - 4, 4, "0000");
  CHECK(fixture.formatter.format(masked_request) ==
        "01000138c0000110000000040000000200000001\n"  // header
        "00000107400000386e302e6b617274752e6578616d706c653b303030303030303030303b303b303b39623166303361613563"
        "376532643431\n"                                                      // Session-Id
        "00000108400000186e302e6b617274752e6578616d706c65\n"                  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"                  // Origin-Realm
        "0000011b4000000c61636d65\n"                                          // Destination-Realm
        "000001254000000f73312e61636d6500\n"                                  // Destination-Host
        "000001024000000c00000004\n"                                          // Auth-Application-Id
        "000001cd4000001b766f696365406b617274752e6578616d706c6500\n"          // Service-Context-Id
        "000001a04000000c00000001\n"                                          // CC-Request-Type
        "0000019f4000000c00000000\n"                                          // CC-Request-Number
        "000001bb40000020000001c24000000c00000004000001bc4000000c37376161\n"  // Subscription-Id
        "000001b840000020000001b94000000c00000001000001ba4000000c64657363\n"  // Service-Parameter-Info
        "000001b840000020000001b94000000c00000002000001ba4000000c30303030"    // Service-Parameter-Info
  );
  fixture.accept(request);
  fixture.release();
  CHECK(fixture.next_message_text() ==
        "010000e8c0000110000000040000000300000002\n"  // header
        "00000107400000386e302e6b617274752e6578616d706c653b303030303030303030303b303b303b39623166303361613563"
        "376532643431\n"                                                      // Session-Id
        "00000108400000186e302e6b617274752e6578616d706c65\n"                  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"                  // Origin-Realm
        "0000011b4000000c61636d65\n"                                          // Destination-Realm
        "000001254000000f73312e61636d6500\n"                                  // Destination-Host
        "000001024000000c00000004\n"                                          // Auth-Application-Id
        "000001cd4000001d72656c65617365406b617274752e6578616d706c65000000\n"  // Service-Context-Id
        "000001a04000000c00000003\n"                                          // CC-Request-Type
        "0000019f4000000c00000001\n"                                          // CC-Request-Number
        "000001274000000c00000001"                                            // Termination-Cause
  );
}

TEST_CASE("Diameter server bytes: a cancelled set-up is terminated") {
  DiameterServerFixture fixture;
  fixture.initial_request();
  fixture.release();
  CHECK(fixture.next_message_text() ==
        "010000e8c0000110000000040000000300000002\n"  // header
        "00000107400000386e302e6b617274752e6578616d706c653b303030303030303030303b303b303b39623166303361613563"
        "376532643431\n"                                                      // Session-Id
        "00000108400000186e302e6b617274752e6578616d706c65\n"                  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"                  // Origin-Realm
        "0000011b4000000c61636d65\n"                                          // Destination-Realm
        "000001254000000f73312e61636d6500\n"                                  // Destination-Host
        "000001024000000c00000004\n"                                          // Auth-Application-Id
        "000001cd4000001d72656c65617365406b617274752e6578616d706c65000000\n"  // Service-Context-Id
        "000001a04000000c00000003\n"                                          // CC-Request-Type
        "0000019f4000000c00000001\n"                                          // CC-Request-Number
        "000001274000000c00000001"                                            // Termination-Cause
  );
}

TEST_CASE("Diameter server bytes: a watchdog request") {
  DiameterServerFixture fixture(milliseconds{200});
  CHECK(fixture.next_message_text() ==
        "0100005080000118000000000000000200000001\n"          // header
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001164000000c00000000"                            // Origin-State-Id
  );
}

TEST_CASE("Diameter server bytes: a disconnect request") {
  DiameterServerFixture fixture;
  fixture.accept(fixture.initial_request());
  fixture.release();
  fixture.next_router_message();
  fixture.router->shut_down([] {});
  CHECK(fixture.next_message_text() ==
        "010000508000011a000000000000000400000003\n"          // header
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001114000000c00000000"                            // Disconnect-Cause
  );
}

TEST_CASE("Diameter server bytes: answers to watchdog, abort and disconnect requests") {
  DiameterServerFixture fixture;
  const auto ccr = fixture.initial_request();
  fixture.accept(ccr);
  auto dwr = fixture.request(Command::kWatchdog, 0);
  fixture.send(dwr.add(AvpCode::kOriginHost, "s1.acme").add(AvpCode::kOriginRealm, "acme"));
  CHECK(fixture.next_message_text() ==
        "0100005c0000011800000000aabbccdd11223344\n"          // header
        "0000010c4000000c000007d1\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001164000000c00000000"                            // Origin-State-Id
  );
  auto unknown_session = fixture.request(Command::kAbortSession, 4);
  fixture.send(unknown_session.add(AvpCode::kSessionId, "none;1"));
  CHECK(fixture.next_message_text() ==
        "010000604000011200000004aabbccdd11223344\n"          // header
        "000001074000000e6e6f6e653b310000\n"                  // Session-Id
        "0000010c4000000c0000138a\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000"    // Origin-Realm
  );
  auto asr = fixture.request(Command::kAbortSession, 4);
  fixture.send(asr.add(AvpCode::kSessionId, parse_message(ccr).text(AvpCode::kSessionId)));
  CHECK(fixture.next_message_text() ==
        "010000884000011200000004aabbccdd11223344\n"  // header
        "00000107400000386e302e6b617274752e6578616d706c653b303030303030303030303b303b303b39623166303361613563"
        "376532643431\n"                                      // Session-Id
        "0000010c4000000c000007d1\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000"    // Origin-Realm
  );
  fixture.next_router_message();  // the termination of the aborted session
  auto dpr = fixture.request(Command::kDisconnect, 0);
  fixture.send(dpr.add(AvpCode::kDisconnectCause, 0U));
  CHECK(fixture.next_message_text() ==
        "010000500000011a00000000aabbccdd11223344\n"          // header
        "0000010c4000000c000007d1\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000"    // Origin-Realm
  );
}

TEST_CASE("Diameter server bytes: answers to unknown and malformed requests") {
  DiameterServerFixture fixture;
  fixture.accept(fixture.initial_request());
  auto unknown_command = Writer::request(static_cast<Command>(999), 0, 0xaabbccdd, 0x11223344);
  fixture.send(unknown_command);
  CHECK(fixture.next_message_text() ==
        "01000050200003e700000000aabbccdd11223344\n"          // header
        "0000010c4000000c00000bb9\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000"    // Origin-Realm
  );
  auto short_number = fixture.request(Command::kWatchdog, 0);
  fixture.send(short_number.add(AvpCode::kOriginStateId, std::string_view("abc")));
  CHECK(fixture.next_message_text() ==
        "010000640000011800000000aabbccdd11223344\n"          // header
        "0000010c4000000c00001396\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "0000011740000014000001164000000b61626300"            // Failed-AVP
  );
}

}  // namespace amberknot::tests
