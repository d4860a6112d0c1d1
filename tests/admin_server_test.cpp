// Tests of the admin server: the command parser, the metrics, and the replies over sockets. They guard
// against an admin server that idle or faulty clients can block, or that reports a status which the router
// does not have.
#include <array>

#include "admin/command.hpp"
#include "admin/metrics.hpp"
#include "net_bench.hpp"

namespace amberknot::tests {
namespace {

const std::string kCallId = "00000000000000a1";

struct AdminServerFixture : RouterFixture {
  static app::Config config_with_admin_server() {
    auto config = router_config();
    config.admin_listen = asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0};
    return config;
  }
  AdminServerFixture() : RouterFixture({}, config_with_admin_server()) {}
  /// Sends a command on a new connection and returns the whole reply once the server has closed the
  /// connection.
  std::string reply_to(const std::string& line) {
    auto client = connect(*router->admin_endpoint());
    client->stream->send(line);
    run_until([&] { return client->closed; });
    return client->received;
  }
};

}  // namespace

TEST_CASE("the command parser accepts each command and rejects other lines with an error") {
  using admin::Command;
  using admin::CommandError;
  using admin::CommandFault;
  struct Accepted {
    std::string line;
    Command command;
  };
  for (const auto& row : {Accepted{"status", Command::kStatus}, Accepted{"stats\r", Command::kStats},
                          Accepted{"  standby ", Command::kStandby}, Accepted{"active", Command::kActive}}) {
    CAPTURE(row.line);
    const auto parsed = admin::parse_command(row.line);
    REQUIRE(std::holds_alternative<Command>(parsed));
    CHECK(std::get<Command>(parsed) == row.command);
  }
  struct Rejected {
    std::string line;
    CommandFault fault;
    std::string message;
  };
  const std::array rows{
      Rejected{"", CommandFault::kEmptyLine, "empty line"},
      Rejected{" \r", CommandFault::kEmptyLine, "empty line"},
      Rejected{"STATUS", CommandFault::kUnknownCommand, "unknown call: STATUS"},
      Rejected{"status now", CommandFault::kUnknownCommand, "unknown call: status now"},
      Rejected{"maint-on", CommandFault::kUnknownCommand, "unknown call: maint-on"},
      Rejected{std::string("st\x01t"), CommandFault::kUnknownCommand, "unknown call: st?t"},
      Rejected{std::string(admin::kMaxCommandBytes + 1, 's'), CommandFault::kLineTooLong, "line too long"},
  };
  for (const auto& row : rows) {
    CAPTURE(row.line);
    const auto parsed = admin::parse_command(row.line);
    REQUIRE(std::holds_alternative<CommandError>(parsed));
    CHECK(std::get<CommandError>(parsed).fault == row.fault);
    CHECK(std::get<CommandError>(parsed).message == row.message);
  }
}

TEST_CASE("metrics are statsd lines: the counters of each class, then the gauges, then a line '.'") {
  core::Counters counters;
  counters.of_class(1).fulfilled = 812;
  counters.of_class(0).throttled = 3;
  counters.reloads = 2;
  counters.reloads_failed = 1;
  const auto text = admin::statsd_lines(counters, {"voice", "data"}, {14, 3, 1});
  CHECK(text ==
        "router.fulfilled.voice:0|c\nrouter.throttled.voice:3|c\nrouter.faulted.voice:0|c\n"
        "router.relayed.voice:0|c\nrouter.fulfilled.data:812|c\nrouter.throttled.data:0|c\n"
        "router.faulted.data:0|c\nrouter.relayed.data:0|c\nrouter.open_requests:14|g\n"
        "router.registry_entries:3|g\nrouter.out_of_rotation:1|g\nrouter.cfg_accepted:2|g\n"
        "router.cfg_invalid:1|g\n.\n");
}

TEST_CASE("the admin server answers status while 200 clients send nothing or an incomplete line") {
  AdminServerFixture fixture;
  std::vector<std::unique_ptr<TestConnection>> idle_clients;
  for (int i = 0; i < 200; ++i) {
    idle_clients.push_back(fixture.connect(*fixture.router->admin_endpoint()));
    if (i % 2 == 1) idle_clients.back()->stream->send("sta");
  }
  // The idle clients occupy connections but do not block the server, and none of them gets an answer.
  CHECK(fixture.reply_to("status\n") == "+OK yes\n");
  for (const auto& client : idle_clients) CHECK(client->received.empty());
}

TEST_CASE("an invalid command gets one -ERR reply that repeats it, and the server keeps serving") {
  AdminServerFixture fixture;
  CHECK(fixture.reply_to("reboot\n") == "-ERR unknown call: reboot\n");
  CHECK(fixture.reply_to("\n") == "-ERR empty line\n");
  CHECK(fixture.reply_to(std::string(400, 'x') + "\n").starts_with("-ERR line too long"));
  CHECK(fixture.reply_to("status\n") == "+OK yes\n");
  fixture.wait_for_messages_in_transit();
}

TEST_CASE("stats counts the outcomes of a completed, a rejected and an invalid call") {
  AdminServerFixture fixture;
  fixture.announce_server();
  fixture.establish_call(kCallId);  // fulfilled with one relayed attempt
  const std::string rejected_id = "00000000000000b2";
  fixture.send_set_up(rejected_id);
  auto& server = fixture.wait_for_invite(rejected_id);
  server.stream->send(RouterFixture::sip_message("SIP/2.0 486 Busy Here", rejected_id, "1 INVITE"));
  fixture.run_until([&] { return fixture.caller->has_received("\"sid\":\"" + rejected_id); });
  fixture.send_from_caller(
      "{\"msg\":\"open\",\"sid\":\"00000000000000c3\",\"attrs\":{\"class\":\"nope\",\"left\":\"900\"}}\n");
  fixture.run_until([&] { return fixture.caller->has_received("\"sid\":\"00000000000000c3\""); });
  const auto stats = fixture.reply_to("stats\n");
  CAPTURE(stats);
  CHECK(stats.starts_with("+OK\n"));
  CHECK(stats.ends_with("\n.\n"));
  CHECK(stats.find("router.fulfilled.voice:1|c\n") != std::string::npos);
  CHECK(stats.find("router.relayed.voice:") != std::string::npos);
  CHECK(stats.find("router.open_requests:1|g\n") != std::string::npos);  // the established call
  CHECK(stats.find("router.registry_entries:1|g\n") != std::string::npos);
  CHECK(stats.find("router.cfg_accepted:0|g\n") != std::string::npos);
}

TEST_CASE("standby fails status and probes at once, serves open connections and then closes them") {
  AdminServerFixture fixture;
  fixture.announce_server();
  fixture.send_set_up(kCallId);
  auto& server = fixture.wait_for_invite(kCallId);
  CHECK(fixture.reply_to("standby\n") == "+OK standby\n");
  CHECK(fixture.reply_to("status\n").starts_with("-ERR no"));
  fixture.send_from_caller("{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n");
  fixture.run_until([&] {
    return fixture.caller->has_received("\"probed\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}");
  });
  // The connection still has to carry an answer and then the release of the established call, so it is closed
  // only after both are written. Closed earlier, there would be no connection for the release.
  CHECK_FALSE(fixture.caller->closed);
  fixture.answer(server, kCallId);
  fixture.run_until([&] { return fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallId); });
  fixture.wait_for_messages_in_transit();
  CHECK_FALSE(fixture.caller->closed);
  server.stream->send(
      RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallId, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.caller->closed; });
  CHECK(fixture.caller->has_received("\"close\",\"sid\":\"" + kCallId));
  // A connection that is opened during standby is served too, then closed.
  auto late_caller = fixture.connect(fixture.router->callers_endpoint());
  late_caller->stream->send("{\"msg\":\"probe\",\"sid\":\"00000000000000fe\",\"attrs\":{},\"code\":0}\n");
  fixture.run_until([&] { return late_caller->has_received("\"probed\""); });
  fixture.run_until([&] { return late_caller->closed; });
  CHECK(fixture.reply_to("active\n") == "+OK active\n");
  CHECK(fixture.reply_to("status\n") == "+OK yes\n");
  fixture.caller = fixture.connect(fixture.router->callers_endpoint());
  fixture.wait_for_messages_in_transit();
}

}  // namespace amberknot::tests

namespace amberknot::tests {

TEST_CASE("during a shutdown status fails, so that clients turn to another process") {
  AdminServerFixture fixture;
  CHECK(fixture.reply_to("status\n") == "+OK yes\n");
  bool has_exited = false;
  fixture.router->shut_down([&] { has_exited = true; });
  CHECK(fixture.reply_to("status\n") == "-ERR no: stopping\n");
  fixture.run_until([&] { return has_exited; });
}

}  // namespace amberknot::tests
