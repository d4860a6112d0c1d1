// State that must not grow during a long run: servers that were removed, and callers that never reconnect.
#include "amberknot/admission.hpp"
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kCallA = "00000000000000a1";
}

// Guards against tables that grow with each server that was ever listed.
TEST_CASE("removed servers are forgotten and their ids are not reused") {
  RouterFixture fixture;
  const auto after_two_minutes = [] { return Loop::now() + std::chrono::minutes{2}; };
  for (int i = 0; i < 50; ++i) {
    const auto name = "s" + std::to_string(i);
    fixture.announce_server(EndpointState::kReady, 0, name);
    if (i < 49) fixture.announce_server(EndpointState::kRemoved, 0, name);
  }
  fixture.router->forget_removed_servers(Loop::now());
  CHECK(fixture.router->servers().all().size() ==
        50);  // calls at removed servers may still need their release
  fixture.router->forget_removed_servers(after_two_minutes());
  CHECK(fixture.router->servers().all().size() == 1);
  fixture.announce_server(EndpointState::kReady, 0, "s3");
  CHECK(static_cast<std::uint32_t>(fixture.router->servers().all().rbegin()->first) == 50);
  // A server with another name takes over the address and handles calls.
  fixture.establish_call(kCallA);
  fixture.announce_server(EndpointState::kRemoved, 0, "s49");
  fixture.announce_server(EndpointState::kRemoved, 0, "s3");
  fixture.run_until([&] { return fixture.caller->has_received("\"code\":41}"); });
  fixture.router->forget_removed_servers(after_two_minutes());
  CHECK(fixture.router->servers().all().empty());
}

TEST_CASE("the decision module forgets removed servers, but keeps those removed within the last minute") {
  auto config = router_config();
  Admission admission(config.settings);
  std::vector<Action> actions;
  Instant now{std::chrono::seconds{1}};
  admission.start(now, actions);
  for (std::uint32_t i = 0; i < 100; ++i) {
    now += std::chrono::seconds{5};
    admission.handle(
        now,
        EndpointUpdate{EndpointUpdateScope::kDelta, {{ServerId{i}, PoolId{0}, EndpointState::kReady, {}}}},
        actions);
    if (i > 0) {
      admission.handle(now,
                       EndpointUpdate{EndpointUpdateScope::kDelta,
                                      {{ServerId{i - 1}, PoolId{0}, EndpointState::kRemoved, {}}}},
                       actions);
    }
  }
  CHECK(admission.known_server_count() <= 14);
  CHECK(admission.known_server_count() >= 12);
}

// Guards against an unbounded number of releases kept for callers that never reconnect.
TEST_CASE("the number of releases that wait for their callers is bounded in total") {
  auto config = router_config();
  config.max_memory_mb = 16;
  const auto limits = net::ResourceLimits::from_config(config.max_memory_mb, config.max_sockets);
  CHECK(limits.max_undelivered_releases * 128 <= 16 * 1024 * 1024 / 64);
  CHECK(limits.max_caller_connections + limits.max_diameter_connections + limits.max_upstream_connections <
        config.max_sockets);
  CHECK(limits.max_queued_bytes + limits.max_call_bytes + limits.max_caller_connections * 18 * 1024 <
        16 * 1024 * 1024);
}
