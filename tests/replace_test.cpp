// Replacing the process (DAYS): a second router starts beside the first at the same addresses.
#include "net_bench.hpp"

namespace amberknot::tests {
namespace {

const std::string kA = "00000000000000a1";

}  // namespace

TEST_CASE("a second router starts at the clients' address of the first, and both answer there") {
  Bench old_one;
  auto config = old_one.config;
  config.listen = old_one.router->callers_at();
  // Without SO_REUSEPORT on both this throws "bind: Address already in use", and the new process exits
  // with 2.
  app::Router new_one(old_one.loop, config);
  CHECK(new_one.callers_at() == old_one.router->callers_at());
  std::vector<std::unique_ptr<End>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(old_one.connect(config.listen));
    callers.back()->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kA + "\",\"attrs\":{},\"code\":0}\n");
  }
  old_one.until([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& end) { return end->has("\"probed\""); });
  });
  CHECK(new_one.callers() + old_one.router->callers() == callers.size() + 1);
}

}  // namespace amberknot::tests
