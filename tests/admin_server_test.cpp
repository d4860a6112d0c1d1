// The admin server: its command parser as a table, the metrics, and its replies on real sockets.
#include <array>

#include "admin/command.hpp"
#include "admin/metrics.hpp"
#include "net_bench.hpp"

namespace amberknot::tests {
namespace {

const std::string kA = "00000000000000a1";

struct AdminServerFixture : Bench {
  static app::Config config_with_admin_server() {
    auto config = bench_config();
    config.control = asio::ip::tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0};
    return config;
  }
  AdminServerFixture() : Bench({}, config_with_admin_server()) {}
  /// Sends one command on a connection of its own; returns the whole reply once the server has closed it.
  std::string call(const std::string& line) {
    auto end = connect(*router->control_at());
    end->stream->send(line);
    until([&] { return end->closed; });
    return end->in;
  }
};

}  // namespace

TEST_CASE("the door's reader: each call, and what it refuses") {
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

TEST_CASE("the figures are statsd lines, each class's counts, then the gauges and a line '.'") {
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

TEST_CASE("the door answers status while 200 callers hold it and say nothing or half a line") {
  AdminServerFixture bench;
  std::vector<std::unique_ptr<End>> silent;
  for (int i = 0; i < 200; ++i) {
    silent.push_back(bench.connect(*bench.router->control_at()));
    if (i % 2 == 1) silent.back()->stream->send("sta");
  }
  // None of them is answered, however long the test waits: they hold connections, not the server.
  CHECK(bench.call("status\n") == "+OK yes\n");
  for (const auto& one : silent) CHECK(one->in.empty());
}

TEST_CASE("a bad call gets one -ERR naming it, and the door and the router go on") {
  AdminServerFixture bench;
  CHECK(bench.call("reboot\n") == "-ERR unknown call: reboot\n");
  CHECK(bench.call("\n") == "-ERR empty line\n");
  CHECK(bench.call(std::string(400, 'x') + "\n").starts_with("-ERR line too long"));
  CHECK(bench.call("status\n") == "+OK yes\n");
  bench.settle();
}

TEST_CASE("stats counts each outcome of a scripted run where it was decided") {
  AdminServerFixture bench;
  bench.list();
  bench.standing(kA);  // fulfilled, one attempt relayed
  const std::string refused = "00000000000000b2";
  bench.open(refused);
  auto& end = bench.invited(refused);
  end.stream->send(Bench::sip("SIP/2.0 486 Busy Here", refused, "1 INVITE"));
  bench.until([&] { return bench.caller->has("\"sid\":\"" + refused); });
  bench.say(
      "{\"msg\":\"open\",\"sid\":\"00000000000000c3\",\"attrs\":{\"class\":\"nope\",\"left\":\"900\"}}\n");
  bench.until([&] { return bench.caller->has("\"sid\":\"00000000000000c3\""); });
  const auto stats = bench.call("stats\n");
  CAPTURE(stats);
  CHECK(stats.starts_with("+OK\n"));
  CHECK(stats.ends_with("\n.\n"));
  CHECK(stats.find("router.fulfilled.voice:1|c\n") != std::string::npos);
  CHECK(stats.find("router.relayed.voice:") != std::string::npos);
  CHECK(stats.find("router.open_requests:1|g\n") != std::string::npos);  // the call that stands
  CHECK(stats.find("router.registry_entries:1|g\n") != std::string::npos);
  CHECK(stats.find("router.cfg_accepted:0|g\n") != std::string::npos);
}

TEST_CASE("standby: the door and the probe say no at once, what is open is served, then closed") {
  AdminServerFixture bench;
  bench.list();
  bench.open(kA);
  auto& end = bench.invited(kA);
  CHECK(bench.call("standby\n") == "+OK standby\n");
  CHECK(bench.call("status\n").starts_with("-ERR no"));
  bench.say("{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n");
  bench.until(
      [&] { return bench.caller->has("\"probed\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}"); });
  // The connection owes an answer, and then the release of the call that stands: it stays until that is
  // written, and is closed after it. Closed earlier, the release would find no connection of its caller.
  CHECK_FALSE(bench.caller->closed);
  bench.answer(end, kA);
  bench.until([&] { return bench.caller->has("\"ready\",\"sid\":\"" + kA); });
  bench.settle();
  CHECK_FALSE(bench.caller->closed);
  end.stream->send(Bench::sip("BYE sip:x@net SIP/2.0", kA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  bench.until([&] { return bench.caller->closed; });
  CHECK(bench.caller->has("\"close\",\"sid\":\"" + kA));
  // A connection that comes meanwhile is served too.
  auto late = bench.connect(bench.router->callers_at());
  late->stream->send("{\"msg\":\"probe\",\"sid\":\"00000000000000fe\",\"attrs\":{},\"code\":0}\n");
  bench.until([&] { return late->has("\"probed\""); });
  bench.until([&] { return late->closed; });
  CHECK(bench.call("active\n") == "+OK active\n");
  CHECK(bench.call("status\n") == "+OK yes\n");
  bench.caller = bench.connect(bench.router->callers_at());
  bench.settle();
}

}  // namespace amberknot::tests

namespace amberknot::tests {

TEST_CASE("after SIGTERM's request the door says no, so that a process beside it is asked instead") {
  AdminServerFixture bench;
  CHECK(bench.call("status\n") == "+OK yes\n");
  bool done = false;
  bench.router->shut_down([&] { done = true; });
  CHECK(bench.call("status\n") == "-ERR no: stopping\n");
  bench.until([&] { return done; });
}

}  // namespace amberknot::tests
