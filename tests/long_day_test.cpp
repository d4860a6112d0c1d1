// What a long day must not pile up: servers that have gone, and callers that never return.
#include "amberknot/admission.hpp"
#include "net_bench.hpp"

using namespace amberknot;
using namespace amberknot::tests;

namespace {
const std::string kA = "00000000000000a1";
}

// Guards against tables that grow with each server that was ever listed.
TEST_CASE("servers that have gone are forgotten, their ids are not used again") {
  Bench bench;
  const auto later = [] { return Loop::now() + std::chrono::minutes{2}; };
  for (int i = 0; i < 50; ++i) {
    const auto name = "s" + std::to_string(i);
    bench.list(EndpointState::kReady, 0, name);
    if (i < 49) bench.list(EndpointState::kRemoved, 0, name);
  }
  bench.router->forget_removed(Loop::now());
  CHECK(bench.router->servers().all().size() == 50);  // some of their calls may still want their release
  bench.router->forget_removed(later());
  CHECK(bench.router->servers().all().size() == 1);
  bench.list(EndpointState::kReady, 0, "s3");
  CHECK(static_cast<std::uint32_t>(bench.router->servers().all().rbegin()->first) == 50);
  // The address goes on to a server with another name, which serves.
  bench.standing(kA);
  bench.list(EndpointState::kRemoved, 0, "s49");
  bench.list(EndpointState::kRemoved, 0, "s3");
  bench.until([&] { return bench.caller->has("\"code\":41}"); });
  bench.router->forget_removed(later());
  CHECK(bench.router->servers().all().empty());
}

TEST_CASE("the module forgets servers that have gone, and keeps those that may come back soon") {
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

// Guards against releases kept for callers that never return, whose number has no end.
TEST_CASE("releases that wait for their callers are bounded in total") {
  auto config = bench_config();
  config.memory_mb = 16;
  const auto bounds = net::ResourceLimits::of(config.memory_mb, config.sockets);
  CHECK(bounds.waiting * 128 <= 16 * 1024 * 1024 / 64);
  CHECK(bounds.callers + bounds.diameter + bounds.upstream_connections < config.sockets);
  CHECK(bounds.queued + bounds.calls + bounds.callers * 18 * 1024 < 16 * 1024 * 1024);
}
