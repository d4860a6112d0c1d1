// A second router starts at the addresses of the first, as when a process is replaced. Guards against
// listeners without SO_REUSEPORT, with which the new process could not start while the old one serves.
#include "net_bench.hpp"

namespace amberknot::tests {
namespace {

const std::string kCallId = "00000000000000a1";

}  // namespace

TEST_CASE("a second router can listen at the address of the first, and both answer callers there") {
  RouterFixture old_router;
  auto config = old_router.config;
  config.listen = old_router.router->callers_endpoint();
  // Without SO_REUSEPORT on both sockets this throws "bind: Address already in use", and the new process
  // exits with status 2.
  app::Router new_router(old_router.loop, config);
  CHECK(new_router.callers_endpoint() == old_router.router->callers_endpoint());
  std::vector<std::unique_ptr<TestConnection>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(old_router.connect(config.listen));
    callers.back()->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kCallId + "\",\"attrs\":{},\"code\":0}\n");
  }
  old_router.run_until([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return caller->has_received("\"probed\""); });
  });
  CHECK(new_router.caller_connections() + old_router.router->caller_connections() == callers.size() + 1);
}

}  // namespace amberknot::tests
