// Checks the bytes of every Diameter message that the router sends to a client.
#include "wire_format_diameter.hpp"

namespace amberknot::tests {
namespace {

using diameter::AvpCode;
using diameter::Command;
using diameter::RequestType;
using diameter::ResultCode;
using diameter::ServiceParameter;
using diameter::Writer;

constexpr std::uint32_t kHopByHop = 0xaabbccdd;
constexpr std::uint32_t kEndToEnd = 0x11223344;

app::OperatorFile operator_file_with_clients() {
  auto file = diameter_operator_file();
  file.diameter->listen = asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0);
  file.diameter->clients = {"till.acme"};
  return file;
}

/// A router with a SIP server, and a Diameter client that sends only the messages of the test.
struct DiameterClientFixture : RouterFixture {
  explicit DiameterClientFixture(const app::Config& config = router_config())
      : RouterFixture(operator_file_with_clients(), config), client(connect(*router->diameter_endpoint())) {}
  std::string next_message_text() { return formatter.format(next_message(*this, *client)); }
  void send(Writer& writer) { client->stream->send(writer.finish()); }
  /// Sends a capabilities exchange request and returns the answer.
  std::string exchange_capabilities(const std::string& host, const std::string& realm,
                                    std::uint32_t application) {
    auto cer = Writer::request(Command::kCapabilitiesExchange, 0, kHopByHop, kEndToEnd);
    cer.add(AvpCode::kOriginHost, host);
    if (!realm.empty()) cer.add(AvpCode::kOriginRealm, realm);
    send(cer.add(AvpCode::kAuthApplicationId, application));
    return next_message_text();
  }
  void exchange_capabilities() {
    exchange_capabilities("till.acme", "acme", diameter::kCreditControlApplication);
  }
  static Writer credit_control_request(RequestType type, const std::string& context = "voice@kartu.example") {
    auto ccr =
        Writer::request(Command::kCreditControl, diameter::kCreditControlApplication, kHopByHop, kEndToEnd);
    ccr.add(AvpCode::kSessionId, "till;1")
        .add(AvpCode::kOriginHost, "till.acme")
        .add(AvpCode::kOriginRealm, "acme");
    ccr.add(AvpCode::kDestinationRealm, "kartu.example");
    ccr.add(AvpCode::kAuthApplicationId, diameter::kCreditControlApplication);
    if (!context.empty()) ccr.add(AvpCode::kServiceContextId, context);
    ccr.add(AvpCode::kCcRequestType, static_cast<std::uint32_t>(type)).add(AvpCode::kCcRequestNumber, 7U);
    return ccr;
  }
  void send_initial_request(const std::string& wait_ms) {
    auto ccr = credit_control_request(RequestType::kInitial);
    ccr.add_group(AvpCode::kProxyInfo, [](Writer& group) { group.add(AvpCode::kOriginHost, "proxy.acme"); });
    ccr.add_group(AvpCode::kSubscriptionId, [](Writer& group) {
      group.add(AvpCode::kSubscriptionIdType, 4U).add(AvpCode::kSubscriptionIdData, "77aa");
    });
    send(ccr.add_parameter(ServiceParameter::kDescription, "desc")
             .add_parameter(ServiceParameter::kWaitMs, wait_ms));
  }
  /// Returns the Call-ID under which the client's first call is set up at the server.
  std::string call_id() {
    constexpr std::string_view kInvite = "INVITE sip:77aa@net";
    run_until([&] { return server.find_connection_with(kInvite) != nullptr; });
    const auto& received = server.find_connection_with(kInvite)->received;
    const auto id = received.substr(received.find("Call-ID: ", received.find(kInvite)) + 9, 16);
    REQUIRE(id.find_first_not_of("0123456789abcdef") == std::string::npos);
    return id;
  }
  /// Establishes a call and returns the server's connection.
  TestConnection& establish_call() {
    announce_server();
    send_initial_request("2000");
    auto& end = wait_for_invite(call_id());
    answer(end, call_id(), "sdp");
    return end;
  }

  DiameterFormatter formatter;
  std::unique_ptr<TestConnection> client;
};

}  // namespace

TEST_CASE("Diameter client bytes: capabilities exchange") {
  CHECK(DiameterClientFixture().exchange_capabilities("till.acme", "acme", 4) ==
        "010000980000010100000000aabbccdd11223344\n"          // header
        "0000010c4000000c000007d1\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001014000000e00017f0000010000\n"                  // Host-IP-Address
        "0000010a4000000c00000000\n"                          // Vendor-Id
        "0000010d00000011616d6265726b6e6f74000000\n"          // Product-Name
        "000001164000000c00000000\n"                          // Origin-State-Id
        "000001024000000c00000004"                            // Auth-Application-Id
  );
  CHECK(DiameterClientFixture().exchange_capabilities("other.acme", "acme", 4) ==
        "010000982000010100000000aabbccdd11223344\n"          // header
        "0000010c4000000c00000bc2\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001014000000e00017f0000010000\n"                  // Host-IP-Address
        "0000010a4000000c00000000\n"                          // Vendor-Id
        "0000010d00000011616d6265726b6e6f74000000\n"          // Product-Name
        "000001164000000c00000000\n"                          // Origin-State-Id
        "000001024000000c00000004"                            // Auth-Application-Id
  );
  CHECK(DiameterClientFixture().exchange_capabilities("till.acme", "", 4) ==
        "010000a80000010100000000aabbccdd11223344\n"          // header
        "0000010c4000000c0000138d\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "00000117400000100000012840000008\n"                  // Failed-AVP
        "000001014000000e00017f0000010000\n"                  // Host-IP-Address
        "0000010a4000000c00000000\n"                          // Vendor-Id
        "0000010d00000011616d6265726b6e6f74000000\n"          // Product-Name
        "000001164000000c00000000\n"                          // Origin-State-Id
        "000001024000000c00000004"                            // Auth-Application-Id
  );
  CHECK(DiameterClientFixture().exchange_capabilities("till.acme", "acme", 5) ==
        "010000980000010100000000aabbccdd11223344\n"          // header
        "0000010c4000000c00001392\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001014000000e00017f0000010000\n"                  // Host-IP-Address
        "0000010a4000000c00000000\n"                          // Vendor-Id
        "0000010d00000011616d6265726b6e6f74000000\n"          // Product-Name
        "000001164000000c00000000\n"                          // Origin-State-Id
        "000001024000000c00000004"                            // Auth-Application-Id
  );
}

TEST_CASE("Diameter client bytes: an established call and its termination") {
  DiameterClientFixture fixture;
  fixture.exchange_capabilities();
  fixture.establish_call();
  CHECK(fixture.next_message_text() ==
        "010000c04000011000000004aabbccdd11223344\n"                        // header
        "000001074000000e74696c6c3b310000\n"                                // Session-Id
        "0000010c4000000c000007d1\n"                                        // Result-Code
        "0000011c4000001c000001084000001270726f78792e61636d650000\n"        // Proxy-Info
        "00000108400000186e302e6b617274752e6578616d706c65\n"                // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"                // Origin-Realm
        "000001024000000c00000004\n"                                        // Auth-Application-Id
        "000001a04000000c00000001\n"                                        // CC-Request-Type
        "0000019f4000000c00000007\n"                                        // CC-Request-Number
        "000001b840000020000001b94000000c00000001000001ba4000000b73647000"  // Service-Parameter-Info
  );
  auto update = DiameterClientFixture::credit_control_request(RequestType::kUpdate);
  fixture.send(update);
  CHECK(fixture.next_message_text() ==
        "010000844000011000000004aabbccdd11223344\n"          // header
        "000001074000000e74696c6c3b310000\n"                  // Session-Id
        "0000010c4000000c000007d1\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001024000000c00000004\n"                          // Auth-Application-Id
        "000001a04000000c00000002\n"                          // CC-Request-Type
        "0000019f4000000c00000007"                            // CC-Request-Number
  );
  auto termination = DiameterClientFixture::credit_control_request(RequestType::kTermination);
  fixture.send(termination);
  CHECK(fixture.next_message_text() ==
        "010000844000011000000004aabbccdd11223344\n"          // header
        "000001074000000e74696c6c3b310000\n"                  // Session-Id
        "0000010c4000000c000007d1\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001024000000c00000004\n"                          // Auth-Application-Id
        "000001a04000000c00000003\n"                          // CC-Request-Type
        "0000019f4000000c00000007"                            // CC-Request-Number
  );
  termination = DiameterClientFixture::credit_control_request(RequestType::kTermination);
  fixture.send(termination);
  CHECK(fixture.next_message_text() ==
        "010000844000011000000004aabbccdd11223344\n"          // header
        "000001074000000e74696c6c3b310000\n"                  // Session-Id
        "0000010c4000000c0000138a\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001024000000c00000004\n"                          // Auth-Application-Id
        "000001a04000000c00000003\n"                          // CC-Request-Type
        "0000019f4000000c00000007"                            // CC-Request-Number
  );
}

TEST_CASE("Diameter client bytes: a call that its server releases is aborted") {
  DiameterClientFixture fixture;
  fixture.exchange_capabilities();
  auto& server = fixture.establish_call();
  fixture.next_message_text();
  server.stream->send(RouterFixture::sip_message("BYE sip:77aa@net SIP/2.0", fixture.call_id(), "1 BYE",
                                                 "Reason: Q.850;cause=16\r\n"));
  CHECK(fixture.next_message_text() ==
        "01000080c0000112000000040000000100000000\n"          // header
        "000001074000000e74696c6c3b310000\n"                  // Session-Id
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "0000011b4000000c61636d65\n"                          // Destination-Realm
        "000001254000001174696c6c2e61636d65000000\n"          // Destination-Host
        "000001024000000c00000004"                            // Auth-Application-Id
  );
}

TEST_CASE("Diameter client bytes: a call rejected after its deadline") {
  DiameterClientFixture fixture;
  fixture.exchange_capabilities();
  fixture.send_initial_request("100");
  CHECK(fixture.next_message_text() ==
        "010000a06000011000000004aabbccdd11223344\n"                  // header
        "000001074000000e74696c6c3b310000\n"                          // Session-Id
        "0000010c4000000c00000bbc\n"                                  // Result-Code
        "0000011c4000001c000001084000001270726f78792e61636d650000\n"  // Proxy-Info
        "00000108400000186e302e6b617274752e6578616d706c65\n"          // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"          // Origin-Realm
        "000001024000000c00000004\n"                                  // Auth-Application-Id
        "000001a04000000c00000001\n"                                  // CC-Request-Type
        "0000019f4000000c00000007"                                    // CC-Request-Number
  );
}

TEST_CASE("Diameter client bytes: a call rejected by the only server, with a retry delay") {
  DiameterClientFixture fixture;
  fixture.exchange_capabilities();
  fixture.announce_server();
  fixture.send_initial_request("300");
  fixture.wait_for_invite(fixture.call_id())
      .stream->send(RouterFixture::sip_message("SIP/2.0 503 Full", fixture.call_id(), "1 INVITE",
                                               "X-Diagnosis: atb\r\n"));
  CHECK(fixture.next_message_text() ==
        "010000dc6000011000000004aabbccdd11223344\n"                        // header
        "000001074000000e74696c6c3b310000\n"                                // Session-Id
        "0000010c4000000c00000bbc\n"                                        // Result-Code
        "0000011c4000001c000001084000001270726f78792e61636d650000\n"        // Proxy-Info
        "00000108400000186e302e6b617274752e6578616d706c65\n"                // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"                // Origin-Realm
        "000001024000000c00000004\n"                                        // Auth-Application-Id
        "000001a04000000c00000001\n"                                        // CC-Request-Type
        "0000019f4000000c00000007\n"                                        // CC-Request-Number
        "000001190000001c636f6d65206261636b20696e2032303030206d73\n"        // Error-Message
        "000001b840000020000001b94000000c00000003000001ba4000000c32303030"  // Service-Parameter-Info
  );
}

TEST_CASE("Diameter client bytes: a call that failed at its server") {
  auto config = router_config();
  for (auto& call_class : config.settings.classes) call_class.idempotent = false;
  DiameterClientFixture fixture(config);
  fixture.exchange_capabilities();
  fixture.announce_server();
  fixture.send_initial_request("2000");
  fixture.wait_for_invite(fixture.call_id())
      .stream->send(RouterFixture::sip_message("SIP/2.0 500 Error", fixture.call_id(), "1 INVITE"));
  CHECK(fixture.next_message_text() ==
        "010000a04000011000000004aabbccdd11223344\n"                  // header
        "000001074000000e74696c6c3b310000\n"                          // Session-Id
        "0000010c4000000c00001394\n"                                  // Result-Code
        "0000011c4000001c000001084000001270726f78792e61636d650000\n"  // Proxy-Info
        "00000108400000186e302e6b617274752e6578616d706c65\n"          // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"          // Origin-Realm
        "000001024000000c00000004\n"                                  // Auth-Application-Id
        "000001a04000000c00000001\n"                                  // CC-Request-Type
        "0000019f4000000c00000007"                                    // CC-Request-Number
  );
}

TEST_CASE("Diameter client bytes: invalid requests") {
  DiameterClientFixture fixture;
  fixture.exchange_capabilities();
  auto unknown_class =
      DiameterClientFixture::credit_control_request(RequestType::kInitial, "none@kartu.example");
  fixture.send(unknown_class);
  CHECK(fixture.next_message_text() ==
        "010000a84000011000000004aabbccdd11223344\n"                                  // header
        "000001074000000e74696c6c3b310000\n"                                          // Session-Id
        "0000010c4000000c0000138c\n"                                                  // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"                          // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"                          // Origin-Realm
        "0000011740000024000001cd4000001a6e6f6e65406b617274752e6578616d706c650000\n"  // Failed-AVP
        "000001024000000c00000004\n"                                                  // Auth-Application-Id
        "000001a04000000c00000001\n"                                                  // CC-Request-Type
        "0000019f4000000c00000007"                                                    // CC-Request-Number
  );
  auto without_context = DiameterClientFixture::credit_control_request(RequestType::kInitial, "");
  fixture.send(without_context);
  CHECK(fixture.next_message_text() ==
        "010000944000011000000004aabbccdd11223344\n"          // header
        "000001074000000e74696c6c3b310000\n"                  // Session-Id
        "0000010c4000000c0000138d\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "0000011740000010000001cd40000008\n"                  // Failed-AVP
        "000001024000000c00000004\n"                          // Auth-Application-Id
        "000001a04000000c00000001\n"                          // CC-Request-Type
        "0000019f4000000c00000007"                            // CC-Request-Number
  );
  auto without_number = DiameterClientFixture::credit_control_request(RequestType::kInitial);
  fixture.send(without_number);
  CHECK(fixture.next_message_text() ==
        "010000944000011000000004aabbccdd11223344\n"          // header
        "000001074000000e74696c6c3b310000\n"                  // Session-Id
        "0000010c4000000c0000138d\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "0000011740000010000001bb40000008\n"                  // Failed-AVP
        "000001024000000c00000004\n"                          // Auth-Application-Id
        "000001a04000000c00000001\n"                          // CC-Request-Type
        "0000019f4000000c00000007"                            // CC-Request-Number
  );
  auto unknown_application = Writer::request(Command::kCreditControl, 9, kHopByHop, kEndToEnd);
  fixture.send(unknown_application);
  CHECK(fixture.next_message_text() ==
        "0100005c6000011000000009aabbccdd11223344\n"          // header
        "0000010c4000000c00000bbf\n"                          // Result-Code
        "00000108400000186e302e6b617274752e6578616d706c65\n"  // Origin-Host
        "00000128400000156b617274752e6578616d706c65000000\n"  // Origin-Realm
        "000001024000000c00000004"                            // Auth-Application-Id
  );
}

}  // namespace amberknot::tests
