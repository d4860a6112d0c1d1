// Wire format of the command channel: the exact bytes of the requests. Guards against changes that the
// platform's server would not understand.
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

constexpr const char* kHeaderEnd = "\r\n\r\n";

}  // namespace

TEST_CASE("command channel bytes: the first request, and the request that resumes after an event") {
  auto config = router_config();
  config.last_event_id = 41;
  RouterFixture fixture({}, config);
  fixture.run_until([&] { return fixture.command_channel.find_connection_with(kHeaderEnd) != nullptr; });
  auto& first_connection = *fixture.command_channel.find_connection_with(kHeaderEnd);
  CHECK(mask_digits_after(take_all(first_connection.received), "Host: 127.0.0.1:") ==
        "GET /cmd/next HTTP/1.1\r\n"
        "Host: 127.0.0.1:*\r\n"
        "Accept: text/event-stream\r\n"
        "Last-Event-ID: 41\r\n"
        "\r\n");
  first_connection.stream->send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 42\n"
      "data: {\"cursor\":42,\"nodes\":{\"index\":8,\"snapshot\":false,\"endpoints\":[]}}\n\n");
  fixture.run_until([&] { return fixture.router->counters().endpoint_events > 0; });
  first_connection.stream->close_after_flush();
  fixture.run_until([&] { return fixture.command_channel.find_connection_with(kHeaderEnd) != nullptr; });
  CHECK(mask_digits_after(fixture.command_channel.find_connection_with(kHeaderEnd)->received,
                          "Host: 127.0.0.1:") ==
        "GET /cmd/next HTTP/1.1\r\n"
        "Host: 127.0.0.1:*\r\n"
        "Accept: text/event-stream\r\n"
        "Last-Event-ID: 42\r\n"
        "\r\n");
}

}  // namespace amberknot::tests
