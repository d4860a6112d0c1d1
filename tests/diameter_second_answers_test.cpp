// Diameter servers that answer a request twice, or one that is not outstanding. Guards against a second copy
// of an answer that ends what the first copy has established.
#include "diameter_fixture.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {

Writer disconnect_answer(const DiameterTestPeer& peer, const Message& request) {
  auto answer = Writer::answer(request, ResultCode::kSuccess);
  peer.add_origin(answer);
  return answer;
}

}  // namespace

TEST_CASE("Diameter: a second copy of an answer does not end the established session") {
  DiameterFixture fixture(operator_file(true, false));
  fixture.establish_call(kCallA);
  auto& peer = fixture.peer();
  const auto request = peer.initial_requests()[0];
  SUBCASE("the same answer") {
    peer.send_answer(request, ResultCode::kSuccess);
  }
  SUBCASE("an error answer") {
    peer.send_answer(request, ResultCode::kUnableToComply);
  }
  SUBCASE("under another Hop-by-Hop Identifier") {
    auto other = request;
    other.hop_by_hop += 1000;
    peer.send_answer(other, ResultCode::kSuccess);
  }
  fixture.run_until([&] { return fixture.router->counters().second_answers == 1; });
  fixture.wait_for_messages_in_transit();
  CHECK(peer.termination_requests().empty());
  CHECK_FALSE(fixture.caller->has_received("\"close\""));

  // The end of the session still reaches the caller.
  auto abort = peer.request(Command::kAbortSession, kCreditControl);
  peer.send_message(peer.add_origin(abort.add(AvpCode::kSessionId, request.text(AvpCode::kSessionId))));
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
}

TEST_CASE("Diameter: an answer to an attempt that is over terminates its session") {
  DiameterFixture fixture(operator_file(true, false));
  fixture.send_set_up(kCallA, 150);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
  auto& peer = fixture.peer();
  fixture.run_until([&] { return peer.termination_requests().size() == 1; });
  peer.send_answer(peer.initial_requests()[0], ResultCode::kSuccess);
  fixture.run_until([&] { return peer.termination_requests().size() == 2; });
  CHECK(fixture.router->counters().late_answers == 1);
}

TEST_CASE("Diameter: a disconnect answer without a request does not close the connection") {
  DiameterFixture fixture(operator_file(true, false));
  auto& peer = fixture.peer();
  auto request = peer.request(Command::kDisconnect, kBaseApplication);
  const auto bytes = request.finish();
  peer.send_message(disconnect_answer(peer, read_message(bytes, net::kMaxMessageBytes).message));
  fixture.establish_call(kCallA);
  CHECK_FALSE(peer.closed);
}

// The server hangs after it has sent the copy: it must not count as healthy.
TEST_CASE("Diameter: a second copy of a watchdog answer does not answer the next request") {
  DiameterFixture fixture(operator_file(true, false, milliseconds{400}));
  auto& peer = fixture.peer();
  fixture.run_until([&] { return peer.watchdog_requests >= 1; });
  const auto first = peer.last_watchdog_request;
  const auto count = peer.watchdog_requests;
  peer.answers_watchdogs = false;
  fixture.run_until([&] { return peer.watchdog_requests > count; });
  peer.answer_watchdog(read_message(first, net::kMaxMessageBytes).message);
  const auto* server = fixture.router->servers().find("s1");
  const auto* pool = dynamic_cast<const core::UpstreamPool*>(server->upstream_pool);
  REQUIRE(pool != nullptr);
  fixture.run_until([&] { return !pool->is_available(server->id); });
  CHECK(peer.watchdog_requests == count + 1);
}
