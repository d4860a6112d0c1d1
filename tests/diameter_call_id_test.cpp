// The ids that calls of Diameter clients get. Guards against routers that give different calls the same id,
// so that one of them ends calls of the other at a session server.
#include <set>

#include "diameter_fixture.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {

/// Opens sessions from the fixture's client and returns the call ids that the server sees. The id of the call
/// is the last part of the Session-Id towards the server.
std::vector<std::string> open_sessions(DiameterFixture& fixture, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i)
    fixture.client_end->send_initial_request("till;" + std::to_string(i));
  fixture.run_until([&] { return fixture.peer().initial_requests().size() == count; });
  std::vector<std::string> ids;
  for (const auto& request : fixture.peer().initial_requests()) {
    const std::string session(request.text(AvpCode::kSessionId));
    ids.push_back(session.substr(session.rfind(';') + 1));
  }
  return ids;
}

}  // namespace

TEST_CASE("Diameter: routers that start in the same second give calls different ids") {
  constexpr std::size_t kSessions = 4;
  DiameterFixture first(operator_file(true, true), true);
  DiameterFixture second(operator_file(true, true), true);
  std::set<std::string> ids;
  for (auto* fixture : {&first, &second}) {
    for (auto& id : open_sessions(*fixture, kSessions)) ids.insert(std::move(id));
  }
  CHECK(ids.size() == 2 * kSessions);
}

TEST_CASE("Diameter: the Session-Id of another client's session is rejected") {
  auto file = operator_file(true, true);
  file.diameter->clients = {"till.acme", "other.acme"};
  DiameterFixture fixture(file, true);
  auto other = fixture.connect_client("other.acme");
  fixture.client_end->send_initial_request("till;1");
  fixture.run_until([&] { return fixture.peer().initial_requests().size() == 1; });
  other->send_initial_request("till;1");
  fixture.run_until([&] { return other->answers().size() == 1; });
  CHECK(result_of(other->answers()[0]) == 5004);
  fixture.peer().send_answer(fixture.peer().initial_requests()[0], ResultCode::kSuccess);
  fixture.run_until([&] { return fixture.client_end->answers().size() == 1; });
  CHECK(result_of(fixture.client_end->answers()[0]) == 2001);
}
