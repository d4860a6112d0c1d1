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
  Bench bench;
  const auto after_two_minutes = [] { return Loop::now() + std::chrono::minutes{2}; };
  for (int i = 0; i < 50; ++i) {
    const auto name = "s" + std::to_string(i);
    bench.list(EndpointState::kReady, 0, name);
    if (i < 49) bench.list(EndpointState::kRemoved, 0, name);
  }
  bench.router->forget_removed(Loop::now());
  CHECK(bench.router->servers().all().size() == 50);  // calls at removed servers may still need their release
  bench.router->forget_removed(after_two_minutes());
  CHECK(bench.router->servers().all().size() == 1);
  bench.list(EndpointState::kReady, 0, "s3");
  CHECK(static_cast<std::uint32_t>(bench.router->servers().all().rbegin()->first) == 50);
  // A server with another name takes over the address and handles calls.
  bench.standing(kCallA);
  bench.list(EndpointState::kRemoved, 0, "s49");
  bench.list(EndpointState::kRemoved, 0, "s3");
  bench.until([&] { return bench.caller->has("\"code\":41}"); });
  bench.router->forget_removed(after_two_minutes());
  CHECK(bench.router->servers().all().empty());
}

TEST_CASE("the decision module forgets removed servers, but keeps those removed within the last minute") {
  auto config = bench_config();
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
  CHECK(admission.known_servers() <= 14);
  CHECK(admission.known_servers() >= 12);
}

// Guards against an unbounded number of releases kept for callers that never reconnect.
TEST_CASE("the number of releases that wait for their callers is bounded in total") {
  auto config = bench_config();
  config.memory_mb = 16;
  const auto limits = net::ResourceLimits::of(config.memory_mb, config.sockets);
  CHECK(limits.waiting * 128 <= 16 * 1024 * 1024 / 64);
  CHECK(limits.callers + limits.diameter + limits.upstream_connections < config.sockets);
  CHECK(limits.queued + limits.calls + limits.callers * 18 * 1024 < 16 * 1024 * 1024);
}
