// The bytes that go to the command channel.
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

constexpr const char* kHeadEnd = "\r\n\r\n";

}  // namespace

TEST_CASE("command channel bytes: the first request, and the one after a change was read") {
  auto config = bench_config();
  config.cursor = 41;
  Bench bench({}, config);
  bench.until([&] { return bench.channel.with(kHeadEnd) != nullptr; });
  auto& first = *bench.channel.with(kHeadEnd);
  CHECK(mask_digits_after(taken_from(first.in), "Host: 127.0.0.1:") ==
        "GET /cmd/next HTTP/1.1\r\n"
        "Host: 127.0.0.1:*\r\n"
        "Accept: text/event-stream\r\n"
        "Last-Event-ID: 41\r\n"
        "\r\n");
  first.stream->send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 42\n"
      "data: {\"cursor\":42,\"nodes\":{\"index\":8,\"snapshot\":false,\"endpoints\":[]}}\n\n");
  bench.until([&] { return bench.router->counters().endpoint_events > 0; });
  first.stream->finish();
  bench.until([&] { return bench.channel.with(kHeadEnd) != nullptr; });
  CHECK(mask_digits_after(bench.channel.with(kHeadEnd)->in, "Host: 127.0.0.1:") ==
        "GET /cmd/next HTTP/1.1\r\n"
        "Host: 127.0.0.1:*\r\n"
        "Accept: text/event-stream\r\n"
        "Last-Event-ID: 42\r\n"
        "\r\n");
}

}  // namespace amberknot::tests
