// Tests of the graceful shutdown: every call that is queued or in flight at SIGTERM gets its final answer
// before SIGKILL may come, even if its caller would wait longer. They guard against calls that the kill
// leaves unanswered.
#include <cstdlib>
#include <filesystem>

#include "hot_restart/instance_lock.hpp"
#include "net_bench.hpp"

namespace amberknot::tests {
namespace {

using core::GracefulShutdown;
using std::chrono::seconds;

constexpr std::size_t kCalls = 8;
// The deadline of the classes in these tests. SIGKILL may come 0.7 s after it; callers wait about twice as
// long.
constexpr Duration kDeadline = milliseconds{1500};
constexpr int kCallerTimeoutMs = 2950;
// Lies between the last answer of a shutdown (0.25 s before SIGKILL) and the callers' timeout. A process that
// still holds calls at this time waits for the callers' deadlines.
constexpr Duration kExitTimeLimit = milliseconds{2600};

std::string call_id(std::size_t number) {
  return "00000000000000c" + std::to_string(number);
}

app::Config config_with_deadline(Duration deadline) {
  auto config = router_config();
  for (auto& call_class : config.settings.classes) {
    call_class.deadline = deadline;
    // No attempt is cancelled for lack of an answer before the shutdown ends it.
    call_class.latency_objective = seconds{6};
  }
  return config;
}

/// A router with more calls than its only server has tokens: some are in flight and never answered, the
/// others are queued.
struct LoadedRouter : RouterFixture {
  explicit LoadedRouter(const app::Config& config = config_with_deadline(kDeadline))
      : RouterFixture({}, config) {
    announce_server();
    for (std::size_t number = 0; number < kCalls; ++number) send_set_up(call_id(number), kCallerTimeoutMs);
    run_until([&] { return router->table().unanswered() == kCalls && server.count("CSeq: 1 INVITE") > 0; });
    wait_for_messages_in_transit();
    in_flight = server.count("CSeq: 1 INVITE");
    REQUIRE(in_flight > 0);
    REQUIRE(in_flight < kCalls);
  }
  void shut_down() {
    began = Loop::now();
    router->shut_down([this] { ++exits; });
  }
  /// Runs the loop until the router has exited. Returns false if it has not exited within kExitTimeLimit.
  bool exits_in_time() {
    bool is_late = false;
    loop.timers.schedule_at(began + kExitTimeLimit, [&] { is_late = true; });
    run_until([&] { return exits > 0 || is_late; });
    return !is_late;
  }
  [[nodiscard]] std::size_t rejections_with_wait() const { return caller->count("\"attrs\":{\"wait\":"); }

  std::size_t in_flight = 0;
  Instant began{};
  int exits = 0;
};

}  // namespace

TEST_CASE("on SIGTERM queued calls are rejected and attempts in flight cancelled before SIGKILL may come") {
  LoadedRouter router;
  router.shut_down();
  router.send_set_up(call_id(kCalls), kCallerTimeoutMs);  // still accepted at the start of a shutdown
  router.shut_down();                                     // a second SIGTERM changes nothing
  CHECK(router.exits_in_time());
  CHECK(router.exits == 1);
  CHECK(router.router->table().unanswered() == 0);
  router.run_until([&] { return router.caller->closed; });
  CHECK(router.caller->close_reason == net::CloseReason::kClosedByPeer);
  CHECK(router.caller->count("\"close\"") == kCalls + 1);
  // The decision module gives up the last call because of its short remaining time. The module itself gives
  // retry advice only under load.
  CHECK(router.rejections_with_wait() >= kCalls);
  router.run_until([&] { return router.server.count("CANCEL sip:") == router.in_flight; });
}

// Callers use their open connections until SIGKILL, so a new set-up may be unanswered at any time.
TEST_CASE("set-ups that keep arriving do not keep a stopping process from its exit before SIGKILL") {
  constexpr Duration kShortDeadline = milliseconds{400};
  constexpr Duration kKillDelay = milliseconds{700} + kShortDeadline;
  RouterFixture fixture({}, config_with_deadline(kShortDeadline));  // without a server every set-up is queued
  const Instant began = Loop::now();
  bool has_exited = false;
  fixture.router->shut_down([&] { has_exited = true; });
  std::size_t sent = 0;
  fixture.run_until([&] {
    if (!fixture.caller->closed) {
      const auto number = std::to_string(1'000'000'000'000'000 + ++sent);
      fixture.send_set_up(number, 400);
    }
    return has_exited || Loop::now() - began > kKillDelay;
  });
  CHECK(has_exited);
  CHECK(fixture.router->table().unanswered() == 0);
}

TEST_CASE("a shutdown after a reload uses the class deadlines of the new configuration") {
  LoadedRouter router(config_with_deadline(seconds{3}));
  auto new_config = router.config;
  new_config.settings = config_with_deadline(kDeadline).settings;
  new_config.settings_text = "changed";
  router.router->reload(new_config);
  router.shut_down();
  CHECK(router.exits_in_time());
  router.run_until([&] { return router.caller->closed; });
  CHECK(router.rejections_with_wait() == kCalls);
}

TEST_CASE("a replaced process answers its queued and in-flight calls before it exits") {
  LoadedRouter router;
  std::string folder = (std::filesystem::temp_directory_path() / "amberknot-XXXXXX").string();
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  router.router->join_hot_restart(folder);
  auto config = router.config;
  config.listen = router.router->callers_endpoint();
  app::Router successor(router.loop, config);
  successor.join_hot_restart(folder);
  router.shut_down();
  CHECK(router.exits_in_time());
  router.run_until([&] { return router.caller->closed; });
  CHECK(router.rejections_with_wait() == kCalls);
  std::filesystem::remove_all(folder);
}

// ---- simulated time: the test advances the timer wheel, and no server ever answers ----------------------

namespace {

/// Counts failed calls and records the retry advice of rejected ones.
struct RecordingClient : core::ClientPort {
  bool answer(CallId, std::string_view) override { return true; }
  void reject(CallId, core::Reason, Duration retry_after) override { advice.push_back(retry_after); }
  void fail(CallId, core::Reason) override { ++failed; }
  void release(CallId, core::Cause) override {}
  [[nodiscard]] std::size_t answered() const { return advice.size() + failed; }
  std::vector<Duration> advice;
  std::size_t failed = 0;
};

/// A server that never answers. While `is_connecting`, a cancelled set-up has not been sent.
struct SilentServer : core::UpstreamPool {
  void on_endpoint_changed(const core::Endpoint&) override {}
  void forget_server(ServerId) override {}
  void set_up(const core::OutgoingSetUp& set_up) override {
    ++sent;
    latest_wait = set_up.answer_timeout;
  }
  bool cancel(const core::AttemptId&) override {
    ++cancelled;
    return is_connecting;
  }
  void release(const core::AttemptId&, core::Cause) override {}
  void forget_attempt(const core::AttemptId&) override {}
  void check_health(ServerId) override {}
  std::size_t sent = 0, cancelled = 0;
  Duration latest_wait{};
  bool is_connecting = false;
};

/// The core without sockets, with a clock that the test advances.
struct SimulatedCore {
  explicit SimulatedCore(const app::Config& config = router_config())
      : dispatcher(config.settings, now), wheel(now) {
    auto& listed = servers.find_or_create("s1");
    listed.upstream_pool = &server;
    listed.state = EndpointState::kReady;
    table.on_endpoints_changed(true,
                               {{listed.id, PoolId{0}, EndpointState::kReady, {}, core::kUnknownVersion}});
  }
  void open(Duration caller_timeout) {
    core::SetUpRequest set_up;
    set_up.id = "00000000000000a1";
    set_up.call_class = "voice";
    set_up.request.expires = now + caller_timeout;
    table.route(table.add_call(client, std::move(set_up)));
  }
  void advance_to(Instant moment) {
    while (now < moment) {
      now += milliseconds{1};
      wheel.advance(now);
    }
  }
  Instant now{seconds{50}};
  core::Dispatcher dispatcher;
  core::EndpointRegistry servers;
  core::TimerWheel wheel;
  core::Counters counters;
  core::CallTable table{dispatcher, servers, wheel, counters, [this] { return now; }, 100};
  SilentServer server;
  RecordingClient client;
};

}  // namespace

TEST_CASE("calls that arrive late in a shutdown are answered before SIGKILL may come") {
  SimulatedCore core;
  const auto plan = GracefulShutdown::plan(core.now, seconds{3}, true);
  core.table.begin_shutdown(plan);
  core.advance_to(plan.accept_until);
  for (int i = 0; i < 25; ++i) {
    core.open(seconds{9});
    core.advance_to(core.now + milliseconds{100});
  }
  CHECK(core.server.sent > 0);
  core.advance_to(plan.exit_by);
  CHECK(core.client.advice.size() == 25);
  CHECK(core.table.unanswered() == 0);
}

// Callers go on sending, so that a moment without unanswered calls may never come.
TEST_CASE("a stopping process rejects late set-ups at once and waits for no call beyond its exit time") {
  SimulatedCore core;
  const auto plan = GracefulShutdown::plan(core.now, seconds{3}, false);
  core.table.begin_shutdown(plan);
  core.advance_to(plan.answer_by);
  core.open(seconds{3});
  CHECK(core.table.unanswered() == 0);
  CHECK(core.client.advice.size() == 1);
  CHECK(core.server.sent == 0);
  CHECK_FALSE(plan.may_exit(plan.exit_by - milliseconds{1}, 1, 0));
  CHECK(plan.may_exit(plan.exit_by, 1, 1, true));
}

TEST_CASE("calls that are unanswered when a process exits get their final answers") {
  SimulatedCore core;
  for (int i = 0; i < 3; ++i) core.open(seconds{9});
  REQUIRE(core.table.unanswered() == 3);
  core.table.end_all();
  CHECK(core.table.unanswered() == 0);
  CHECK(core.client.advice.size() == 3);
}

TEST_CASE("a shutdown brings the deadlines of all calls forward and postpones none") {
  for (const bool is_connecting : {false, true}) {
    CAPTURE(is_connecting);
    SimulatedCore core;
    core.server.is_connecting = is_connecting;
    for (int i = 0; i < 12; ++i) core.open(seconds{9});
    core.open(milliseconds{900});
    const auto sent = core.server.sent;
    REQUIRE(sent > 0);
    REQUIRE(sent < 12);
    const auto plan = GracefulShutdown::plan(core.now, seconds{3}, false);
    core.table.begin_shutdown(plan);
    core.advance_to(core.now + milliseconds{899});
    CHECK(core.client.answered() == 1);
    core.advance_to(plan.answer_by - milliseconds{20});
    CHECK(core.client.answered() == 1);
    core.advance_to(plan.answer_by);
    CHECK(core.client.answered() == 13);
    CHECK(core.table.unanswered() == 0);
    CHECK(core.server.cancelled >= sent);
    // Callers that the shutdown rejects are advised to retry only after this process has exited.
    for (std::size_t i = 1; i < core.client.advice.size(); ++i) {
      CHECK(core.client.advice[i] >= plan.exit_by - plan.answer_by);
      CHECK(core.client.advice[i] <= plan.exit_by - plan.answer_by + milliseconds{20});
    }
    const auto sent_by_then = core.server.sent;
    core.advance_to(plan.exit_by);
    CHECK(core.server.sent == sent_by_then);
  }
}

TEST_CASE("retry advice of a shutdown obeys the settings: none if disabled, and at most the maximum") {
  for (const auto max_advice : {Duration::zero(), Duration{milliseconds{50}}}) {
    auto config = router_config();
    config.settings.limits.may_advise_retry = max_advice > Duration::zero();
    config.settings.limits.max_retry_after = max_advice;
    SimulatedCore core(config);
    for (int i = 0; i < 12; ++i) core.open(seconds{9});
    const auto plan = GracefulShutdown::plan(core.now, seconds{3}, false);
    core.table.begin_shutdown(plan);
    core.advance_to(plan.answer_by);
    CHECK(core.client.advice.size() == 12);
    for (const auto advice : core.client.advice) CHECK(advice == max_advice);
  }
}

TEST_CASE("a shutdown fails, and does not reject, a non-idempotent call that a server may have processed") {
  auto config = router_config();
  for (auto& call_class : config.settings.classes) call_class.idempotent = false;
  SimulatedCore core(config);
  core.open(seconds{9});
  REQUIRE(core.server.sent == 1);
  const auto plan = GracefulShutdown::plan(core.now, seconds{3}, false);
  core.table.begin_shutdown(plan);
  core.advance_to(plan.answer_by);
  CHECK(core.client.failed == 1);
  CHECK(core.client.advice.empty());
}

}  // namespace amberknot::tests
