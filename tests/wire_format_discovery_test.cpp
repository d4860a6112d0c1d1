// Wire format of the command channel: the exact bytes of the requests. Guards against changes that the
// platform's server would not understand.
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

constexpr const char* kHeaderEnd = "\r\n\r\n";

}  // namespace

TEST_CASE("command channel bytes: the first request, and the request that resumes after an event") {
  auto config = bench_config();
  config.cursor = 41;
  Bench bench({}, config);
  bench.until([&] { return bench.channel.with(kHeaderEnd) != nullptr; });
  auto& first_connection = *bench.channel.with(kHeaderEnd);
  CHECK(mask_digits_after(taken_from(first_connection.in), "Host: 127.0.0.1:") ==
        "GET /cmd/next HTTP/1.1\r\n"
        "Host: 127.0.0.1:*\r\n"
        "Accept: text/event-stream\r\n"
        "Last-Event-ID: 41\r\n"
        "\r\n");
  first_connection.stream->send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 42\n"
      "data: {\"cursor\":42,\"nodes\":{\"index\":8,\"snapshot\":false,\"endpoints\":[]}}\n\n");
  bench.until([&] { return bench.router->counters().endpoint_events > 0; });
  first_connection.stream->finish();
  bench.until([&] { return bench.channel.with(kHeaderEnd) != nullptr; });
  CHECK(mask_digits_after(bench.channel.with(kHeaderEnd)->in, "Host: 127.0.0.1:") ==
        "GET /cmd/next HTTP/1.1\r\n"
        "Host: 127.0.0.1:*\r\n"
        "Accept: text/event-stream\r\n"
        "Last-Event-ID: 42\r\n"
        "\r\n");
}

}  // namespace amberknot::tests
