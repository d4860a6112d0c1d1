// Wire format of the admin server: the exact bytes of every reply and of the statsd lines in the reply to
// `stats`. Guards against changes that break operators' tools.
#include <limits>

#include "admin/metrics.hpp"
#include "net_bench.hpp"
#include "wire_format.hpp"

namespace amberknot::tests {
namespace {

struct AdminServerFixture : RouterFixture {
  static app::Config config_with_admin_server() {
    auto config = router_config();
    config.admin_listen = asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0};
    return config;
  }
  explicit AdminServerFixture(const app::Config& config = config_with_admin_server())
      : RouterFixture({}, config) {}
  /// Sends a line on a new connection and returns the whole reply.
  std::string reply_to(const std::string& line) {
    auto client = connect(*router->admin_endpoint());
    client->stream->send(line);
    run_until([&] { return client->closed; });
    return client->received;
  }
};

}  // namespace

TEST_CASE("admin reply bytes: status, standby and active") {
  AdminServerFixture fixture;
  CHECK(fixture.reply_to("status\n") == "+OK yes\n");
  CHECK(fixture.reply_to("standby\n") == "+OK standby\n");
  CHECK(fixture.reply_to("status\n") == "-ERR no: standby\n");
  CHECK(fixture.reply_to("active\n") == "+OK active\n");
  CHECK(fixture.reply_to("status\n") == "+OK yes\n");
}

TEST_CASE("admin reply bytes: status of a router that is stopping") {
  AdminServerFixture fixture;
  fixture.announce_server();
  fixture.establish_call("9b1f03aa5c7e2d41");
  fixture.router->shut_down([] {});
  CHECK(fixture.reply_to("status\n") == "-ERR no: stopping\n");
}

TEST_CASE("admin reply bytes: a line that is not a command") {
  AdminServerFixture fixture;
  CHECK(fixture.reply_to("\n") == "-ERR empty line\n");
  CHECK(fixture.reply_to("reboot \x01\x7f now\n") == "-ERR unknown call: reboot ?? now\n");
  CHECK(fixture.reply_to(std::string(40, 'x') + "\n") ==
        "-ERR unknown call: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n");
  CHECK(fixture.reply_to(std::string(257, 'x') + "\n") == "-ERR line too long\n");
}

TEST_CASE("statsd line bytes: the counters of a running router in the reply to stats") {
  auto config = AdminServerFixture::config_with_admin_server();
  for (auto& call_class : config.settings.classes) call_class.idempotent = false;
  AdminServerFixture fixture(config);
  fixture.announce_server();
  fixture.announce_server(EndpointState::kDraining, 0, "s2");
  fixture.establish_call("9b1f03aa5c7e2d41");
  fixture.send_set_up("9b1f03aa5c7e2d42");
  fixture.wait_for_invite("9b1f03aa5c7e2d42")
      .stream->send(RouterFixture::sip_message("SIP/2.0 500 Error", "9b1f03aa5c7e2d42", "1 INVITE"));
  fixture.run_until([&] { return fixture.caller->has_received("\"close\""); });
  fixture.router->on_reload_failed("a trial");
  CHECK(fixture.reply_to("stats\n") ==
        "+OK\n"
        "router.fulfilled.voice:1|c\n"
        "router.throttled.voice:0|c\n"
        "router.faulted.voice:1|c\n"
        "router.relayed.voice:2|c\n"
        "router.fulfilled.data:0|c\n"
        "router.throttled.data:0|c\n"
        "router.faulted.data:0|c\n"
        "router.relayed.data:0|c\n"
        "router.open_requests:1|g\n"
        "router.registry_entries:2|g\n"
        "router.out_of_rotation:1|g\n"
        "router.cfg_accepted:0|g\n"
        "router.cfg_invalid:1|g\n"
        ".\n");
}

TEST_CASE("statsd line bytes: every counter and gauge, and a class without a name") {
  core::Counters counters;
  counters.of_class(0) = {.fulfilled = 1, .throttled = 2, .faulted = 3, .relayed = 4};
  counters.of_class(1) = {
      .fulfilled = std::numeric_limits<std::uint64_t>::max(), .throttled = 6, .faulted = 7, .relayed = 8};
  counters.reloads = 9;
  counters.reloads_failed = 10;
  const admin::Gauges gauges{.open_requests = 11, .registry_entries = 12, .out_of_rotation = 13};
  CHECK(admin::statsd_lines(counters, {"voice"}, gauges) ==
        "router.fulfilled.voice:1|c\n"
        "router.throttled.voice:2|c\n"
        "router.faulted.voice:3|c\n"
        "router.relayed.voice:4|c\n"
        "router.fulfilled.1:18446744073709551615|c\n"
        "router.throttled.1:6|c\n"
        "router.faulted.1:7|c\n"
        "router.relayed.1:8|c\n"
        "router.open_requests:11|g\n"
        "router.registry_entries:12|g\n"
        "router.out_of_rotation:13|g\n"
        "router.cfg_accepted:9|g\n"
        "router.cfg_invalid:10|g\n"
        ".\n");
}

}  // namespace amberknot::tests
