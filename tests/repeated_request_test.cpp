// Callers that leave and come again with the same request. Guards against a call of a class that may not be
// repeated that is executed twice.
#include "core/executed_calls.hpp"
#include "diameter_fixture.hpp"

using namespace amberknot;
using namespace amberknot::tests;
using std::chrono::seconds;

namespace {

app::Config at_most_once_config() {
  auto config = router_config();
  for (auto& cls : config.settings.classes) cls.idempotent = false;
  return config;
}

std::string invite_of(const std::string& sid) {
  return "Call-ID: " + sid + "\r\nCSeq: 1 INVITE";
}

}  // namespace

TEST_CASE("executed calls are remembered for the retention time, and the oldest are forgotten first") {
  const Instant start{seconds{100}};
  core::ExecutedCalls calls(2, seconds{30});
  calls.add("a", start);
  calls.add("b", start + seconds{1});
  CHECK(calls.contains("a", start + seconds{30}));
  CHECK_FALSE(calls.contains("a", start + seconds{31}));
  CHECK_FALSE(calls.contains("c", start));
  calls.add("c", start + seconds{2});
  CHECK_FALSE(calls.contains("a", start + seconds{2}));
  CHECK(calls.contains("b", start + seconds{2}));
  calls.add("d", start + seconds{60});
  CHECK(calls.size() == 1);
  core::ExecutedCalls none(0, seconds{30});
  none.add("a", start);
  CHECK(none.size() == 0);
}

TEST_CASE("JSON lines: a call that may not be repeated does not run again when its caller comes again") {
  RouterFixture fixture({}, at_most_once_config());
  fixture.announce_server();
  std::vector<std::string> sids;
  for (char digit = '1'; digit <= '3'; ++digit) sids.push_back(std::string(15, '0') + digit);
  for (const auto& sid : sids) fixture.send_set_up(sid);
  for (const auto& sid : sids) fixture.wait_for_invite(sid);
  SUBCASE("the caller leaves before the answer") {}
  SUBCASE("the calls have been established and released") {
    for (const auto& sid : sids) fixture.answer(fixture.wait_for_invite(sid), sid);
    fixture.run_until([&] { return fixture.caller->count("\"ready\"") == sids.size(); });
    for (const auto& sid : sids)
      fixture.send_from_caller("{\"msg\":\"close\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":16}\n");
    fixture.run_until([&] { return fixture.caller->count("\"closed\"") == sids.size(); });
  }
  fixture.caller->reset();
  fixture.run_until([&] { return fixture.router->caller_connections() == 0; });
  fixture.caller = fixture.connect(fixture.router->callers_endpoint());
  for (const auto& sid : sids) fixture.send_set_up(sid);
  fixture.run_until([&] { return fixture.caller->count("\"close\"") == sids.size(); });
  CHECK_FALSE(fixture.caller->has_received("\"wait\""));
  CHECK_FALSE(fixture.caller->has_received("\"ready\""));
  CHECK(fixture.router->counters().repeated_requests == sids.size());
  for (const auto& sid : sids) CHECK(fixture.server.count(invite_of(sid)) == 1);
  // Another request is served.
  const std::string other = "00000000000000ee";
  fixture.establish_call(other);
}

TEST_CASE("JSON lines: a call that may be repeated is served when its caller comes again") {
  RouterFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallA);
  fixture.wait_for_invite(kCallA);
  fixture.caller->reset();
  fixture.run_until([&] { return fixture.router->caller_connections() == 0; });
  fixture.caller = fixture.connect(fixture.router->callers_endpoint());
  fixture.send_set_up(kCallA);
  fixture.run_until([&] { return fixture.server.count(invite_of(kCallA)) == 2; });
}

TEST_CASE("Diameter: a session that may not be repeated does not run again when its client comes again") {
  DiameterFixture fixture(operator_file(true, true), true, at_most_once_config());
  fixture.client_end->send_initial_request("till;1");
  fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
  fixture.client_end->reset();
  fixture.run_until([&] { return fixture.router->table().unanswered() == 0; });
  auto client = fixture.connect_client("till.acme");
  client->send_initial_request("till;1");
  fixture.run_until([&] { return client->answers().size() == 1; });
  CHECK(result_of(client->answers()[0]) / 1000 == 5);
  CHECK(fixture.peer().initial_requests().size() == 1);
}
