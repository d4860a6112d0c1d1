// What is kept under an id that several attempts of a call, or several calls, share. Guards against a release
// or an event of an earlier one that ends the later one, which stands.
#include "session_api_fixture.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {

/// A router and a server that answers the first attempt of a call in a way that makes the router release it
/// and try again.
struct SecondAttemptFixture : SessionApiFixture {
  SecondAttemptFixture() : server(loop) {
    server.on_set_up = [this](SessionServer::SetUp&) {
      deletes_at_set_up.push_back(server.deleted_paths.size());
    };
    list_and_wait(server, "h1");
  }
  void spoil_first_attempt() {
    open_call(kSessionA, "acme", 3000);
    auto& set_up = wait_for_set_up(server, 1);
    set_up.peer->respond(set_up.stream, 201, {{"content-type", "application/json"}}, "{}");
    run_until([&] { return !server.deleted_paths.empty(); });
  }
  void answer_second_attempt() {
    SessionServer::answer(wait_for_set_up(server, 2), kSessionA);
    run_until([&] { return caller_received(kSessionA, "ready"); });
  }
  SessionServer server;
  std::vector<std::size_t> deletes_at_set_up;  ///< number of releases before each set-up
};

std::string release_from_server(const std::string& sid) {
  return RouterFixture::sip_message("BYE sip:router@net SIP/2.0", sid, "2 BYE", "Reason: Q.850;cause=16\r\n");
}

}  // namespace

TEST_CASE("session API: no later attempt is sent while the release of an earlier one is not confirmed") {
  SecondAttemptFixture fixture;
  auto& server = fixture.server;
  server.ignore_deletes = true;
  fixture.spoil_first_attempt();
  const Instant released_at = Loop::now();
  // The retry pause is over long before that.
  fixture.run_until([&] { return Loop::now() - released_at > milliseconds{1000}; });
  CHECK(server.set_ups.size() == 1);
  server.ignore_deletes = false;
  server.last_deleting_peer->reset_connection();
  fixture.answer_second_attempt();
  const auto deletes = server.deleted_paths.size();
  CHECK(deletes == 2);
  CHECK(fixture.deletes_at_set_up.back() == deletes);
  fixture.wait_for_messages_in_transit();
  CHECK(server.deleted_paths.size() == deletes);
}

TEST_CASE("session API: a late event about an earlier attempt does not end the later one") {
  SecondAttemptFixture fixture;
  auto& server = fixture.server;
  fixture.spoil_first_attempt();
  fixture.wait_for_set_up(server, 2);
  const auto send_end = [&] {
    server.send_event(1, "released", R"({"id":")" + kSessionA + R"(","cause":16})");
  };
  SUBCASE("before the answer") {
    server.holds_checked_sessions = true;
    send_end();
    fixture.wait_for_messages_in_transit();
    fixture.answer_second_attempt();
  }
  SUBCASE("after the answer") {
    server.holds_checked_sessions = true;
    fixture.answer_second_attempt();
    send_end();
  }
  SUBCASE("the later one has ended") {
    fixture.answer_second_attempt();
    send_end();
  }
  fixture.run_until([&] { return !server.checked_paths.empty(); });
  if (!server.holds_checked_sessions) {
    fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
    return;
  }
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller_received(kSessionA, "close"));
  server.holds_checked_sessions = false;
  server.send_event(2, "released", R"({"id":")" + kSessionA + R"(","cause":16})");
  fixture.run_until([&] { return fixture.caller_received(kSessionA, "close"); });
}

TEST_CASE("SIP: an unconfirmed release of an earlier attempt is not sent again once a later one is there") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kSessionA, 3000);
  auto& first = fixture.wait_for_invite(kSessionA);
  // A description that is not text: the call is released, and the connection is replaced.
  fixture.answer(first, kSessionA, std::string("a\0b", 3));
  fixture.run_until([&] { return fixture.server.find_connection_with("BYE sip:77aa@net") != nullptr; });
  auto& releasing = *fixture.server.find_connection_with("BYE sip:77aa@net");
  const auto is_second_invite = "Call-ID: " + kSessionA + "\r\nCSeq: 2 INVITE";
  fixture.run_until([&] { return fixture.server.find_connection_with(is_second_invite) != nullptr; });
  auto& second = *fixture.server.find_connection_with(is_second_invite);
  fixture.answer(second, kSessionA);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\""); });
  const auto releases = fixture.server.count("BYE sip:77aa@net");
  releasing.reset();
  const auto count = fixture.server.connections.size();
  fixture.run_until([&] { return fixture.server.connections.size() > count; });
  fixture.wait_for_messages_in_transit();
  CHECK(fixture.server.count("BYE sip:77aa@net") == releases);
}

// The caller has lost its connection, has not been told of the end of its call, and uses the id again.
TEST_CASE("JSON lines: a release that is kept for a caller is not sent once the id is in use again") {
  RouterFixture fixture;
  fixture.announce_server();
  auto& end = fixture.establish_call(kSessionA);
  end.stream->send(release_from_server(kSessionA));
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kSessionA); });
  auto again = fixture.connect(fixture.router->callers_endpoint());
  fixture.run_until([&] { return again->stream->is_open(); });
  std::swap(fixture.caller, again);
  const auto invites = fixture.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 1 INVITE");
  fixture.send_set_up(kSessionA);
  fixture.run_until(
      [&] { return fixture.server.count("Call-ID: " + kSessionA + "\r\nCSeq: 1 INVITE") > invites; });
  again->reset();  // the release is unconfirmed
  fixture.run_until([&] { return fixture.router->caller_connections() == 1; });
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller->has_received("\"close\""));
}
