// Tests of the hot restart: the times of a shutdown, how a process detects that another one replaces it, and
// how releases reach callers that have moved to the new process. They guard against lost calls and lost
// releases while one process takes over from another.
#include <fcntl.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <numeric>

#include "core/graceful_shutdown.hpp"
#include "hot_restart/instance_lock.hpp"
#include "hot_restart/undelivered_releases.hpp"
#include "net_bench.hpp"

namespace amberknot::tests {
namespace {

using core::GracefulShutdown;
using core::InstanceRecord;
using hot_restart::StorageError;
using hot_restart::StorageFault;
using std::chrono::seconds;

const std::string kCallA = "00000000000000a1";
const std::string kCallB = "00000000000000b2";

struct TemporaryFolder {
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "amberknot-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path = pattern;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  [[nodiscard]] std::size_t file_count() const {
    return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(path), {}));
  }
  std::string path;
};

hot_restart::InstanceLock acquire(const TemporaryFolder& folder, const InstanceRecord& self) {
  auto acquired = hot_restart::InstanceLock::acquire(folder.path, self);
  if (const auto* error = std::get_if<hot_restart::StorageError>(&acquired)) FAIL(error->message);
  REQUIRE(std::holds_alternative<hot_restart::InstanceLock>(acquired));
  return std::get<hot_restart::InstanceLock>(std::move(acquired));
}

/// A second router at the address of the fixture's router, and the folder that both share. It stands for the
/// process that replaces the first one.
struct Replacement {
  explicit Replacement(RouterFixture& fixture) : listen(fixture.router->callers_endpoint()) {
    fixture.router->join_hot_restart(folder.path);
    auto config = fixture.config;
    config.listen = listen;
    next = std::make_unique<app::Router>(fixture.loop, config);
    next->join_hot_restart(folder.path);
  }
  asio::ip::tcp::endpoint listen;
  TemporaryFolder folder;
  std::unique_ptr<app::Router> next;
};

}  // namespace

TEST_CASE("the times of a shutdown: 0.7 s to accept callers, then up to the longest deadline to answer") {
  const Instant start{seconds{100}};
  const struct {
    Duration longest_deadline;
    bool is_replaced;
    Duration answer_by, exit_by;
  } rows[] = {
      {seconds{2}, false, milliseconds{2450}, milliseconds{2650}},
      {seconds{9}, false, milliseconds{3450}, milliseconds{3650}},  // limited to 3 s
      {seconds{4}, true, milliseconds{4450}, milliseconds{4650}},
      {seconds{9}, true, milliseconds{5450}, milliseconds{5650}},  // limited to 5 s
      {milliseconds{50}, false, milliseconds{700}, milliseconds{700}},
  };
  for (const auto& row : rows) {
    const auto plan = GracefulShutdown::plan(start, row.longest_deadline, row.is_replaced);
    CHECK(plan.accept_until == start + milliseconds{700});
    CHECK(plan.answer_by == start + row.answer_by);
    CHECK(plan.exit_by == start + row.exit_by);
    // Unanswered and established calls are waited for until `exit_by`, and no longer: SIGKILL follows.
    CHECK_FALSE(plan.may_exit(plan.accept_until - milliseconds{1}, 0, 0));
    CHECK(plan.may_exit(plan.accept_until, 0, 0));
    CHECK_FALSE(plan.may_exit(plan.exit_by - milliseconds{1}, 0, 1));
    CHECK(plan.may_exit(plan.exit_by, 0, 1));
    CHECK_FALSE(plan.may_exit(plan.exit_by - milliseconds{1}, 1, 0));
    CHECK(plan.may_exit(plan.exit_by, 1, 0));
  }
}

TEST_CASE("a process is replaced by a later one with the same name and address") {
  const InstanceRecord self{"n1", "127.0.0.1:5070", 1000};
  CHECK_FALSE(core::is_replaced_by_any(self, {}));
  CHECK_FALSE(
      core::is_replaced_by_any(self, {{"n1", "127.0.0.1:5070", 999}}));  // the process that this one replaced
  CHECK_FALSE(core::is_replaced_by_any(self, {{"n2", "127.0.0.1:5070", 2000}}));
  CHECK_FALSE(core::is_replaced_by_any(self, {{"n1", "127.0.0.1:5071", 2000}}));
  CHECK(core::is_replaced_by_any(self, {{"n2", "127.0.0.1:5070", 2000}, {"n1", "127.0.0.1:5070", 1001}}));
}

TEST_CASE("an instance record is parsed as it was serialized, and invalid ones are rejected") {
  const InstanceRecord record{"n1", "127.0.0.1:5070", 1764633600000000};
  const auto text = hot_restart::serialize(record);
  CHECK(hot_restart::parse_instance_record(text) == record);
  for (std::size_t size = 0; size + 2 < text.size(); ++size)
    CHECK_FALSE(hot_restart::parse_instance_record(text.substr(0, size)));
  for (const char* invalid : {R"({"version":2,"name":"n","listen":"l","started_unix_us":1})", "[1]", "null",
                              R"({"version":1,"name":7,"listen":"l","started_unix_us":1})",
                              R"({"version":1,"name":"n","started_unix_us":1})",
                              R"({"version":1,"name":"n","listen":"l","started_unix_us":"1"})"}) {
    CHECK_FALSE(hot_restart::parse_instance_record(invalid));
  }
}

TEST_CASE("records of live processes are found, those of dead ones removed, unreadable ones counted") {
  const TemporaryFolder folder;
  const auto first = acquire(folder, {"n1", "127.0.0.1:5070", 1});
  {
    const auto second = acquire(folder, {"n1", "127.0.0.1:5070", 2});
    const auto others = first.others();
    REQUIRE(others.records.size() == 1);
    CHECK(others.records.front() == second.self());
    CHECK(others.unreadable_files == 0);
    CHECK(core::is_replaced_by_any(first.self(), others.records));
    const auto others_of_second = second.others();
    CHECK(others_of_second.unreadable_files == 0);
    CHECK_FALSE(core::is_replaced_by_any(second.self(), others_of_second.records));
  }
  const auto after_end = first.others();
  CHECK(after_end.records.empty());
  CHECK(after_end.unreadable_files == 0);
  // A file without a lock, as a killed process leaves it behind.
  std::ofstream(folder.path + "/amberknot-serving-dead00")
      << hot_restart::serialize({"n1", "127.0.0.1:5070", 9});
  const auto after_crash = first.others();
  CHECK(after_crash.records.empty());
  CHECK(folder.file_count() == 1);
  CHECK(after_crash.unreadable_files == 0);
  const auto partial_file = folder.path + "/amberknot-serving-torn00";
  std::ofstream(partial_file) << R"({"version":1,"na)";
  const int locked_descriptor = ::open(partial_file.c_str(), O_RDONLY | O_CLOEXEC);
  REQUIRE(::flock(locked_descriptor, LOCK_EX) == 0);
  const auto with_unreadable = first.others();
  CHECK(with_unreadable.records.empty());
  CHECK(with_unreadable.unreadable_files == 1);
  ::close(locked_descriptor);
  const auto without_folder = hot_restart::InstanceLock::acquire("", first.self());
  REQUIRE(std::holds_alternative<StorageError>(without_folder));
  CHECK(std::get<StorageError>(without_folder).fault == StorageFault::kNoFolder);
  const auto in_missing_folder = hot_restart::InstanceLock::acquire(folder.path + "/none", first.self());
  REQUIRE(std::holds_alternative<StorageError>(in_missing_folder));
  CHECK(std::get<StorageError>(in_missing_folder).fault == StorageFault::kWriteFailed);
  CHECK(std::get<StorageError>(in_missing_folder).message.find("No such file") != std::string::npos);
}

TEST_CASE("stored releases are loaded once and in order, and invalid files are removed and counted") {
  const TemporaryFolder folder;
  const InstanceRecord self{"n1", "127.0.0.1:5070", 1};
  CHECK(hot_restart::load_releases(folder.path, self).releases.empty());
  std::vector<core::UndeliveredRelease> all;
  for (int i = 0; i < 20; ++i) {
    std::vector<core::UndeliveredRelease> batch = {{"127.0.0.1", kCallA, i}, {"10.1.2.3", kCallB, 16}};
    all.insert(all.end(), batch.begin(), batch.end());
    REQUIRE_FALSE(hot_restart::store_releases(folder.path, self, batch));
    CHECK(batch.empty());
  }
  // A process with another start time is the same router.
  const auto loaded = hot_restart::load_releases(folder.path, {"n1", "127.0.0.1:5070", 2});
  CHECK(loaded.releases == all);
  CHECK(loaded.unreadable_files == 0);
  CHECK(folder.file_count() == 0);
  const auto stored_count = all.size();
  const auto error = hot_restart::store_releases(folder.path + "/none", self, all);
  REQUIRE(error);
  CHECK(error->fault == StorageFault::kWriteFailed);
  CHECK(all.size() == stored_count);
  CHECK(error->message.find("No such file") != std::string::npos);
  const auto good = hot_restart::serialize(self, {{"127.0.0.1", kCallA, 16}});
  const std::string invalid[] = {
      "",
      good.substr(0, good.size() - 1),
      hot_restart::serialize({"n2", "127.0.0.1:5070", 1}, {}),
      hot_restart::serialize({"n1", "127.0.0.1:5071", 1}, {}),
      R"({"version":2,"name":"n1","listen":"127.0.0.1:5070","releases":[]})",
      R"({"version":1,"name":"n1","listen":"127.0.0.1:5070","releases":[7]})",
      R"({"version":1,"name":"n1","listen":"127.0.0.1:5070","releases":[{"caller":"a"}]})",
      std::string(2 * 1024 * 1024, ' ')};
  for (const auto& text : invalid) {
    CHECK_FALSE(hot_restart::parse_releases(text, self));
    std::ofstream(folder.path + "/amberknot-releases-x") << text;
    const auto rejected = hot_restart::load_releases(folder.path, self);
    CHECK(rejected.releases.empty());
    CHECK(rejected.unreadable_files == 1);
    CHECK(folder.file_count() == 0);
  }
}

TEST_CASE("20,000 releases are stored in files that can all be loaded") {
  const TemporaryFolder folder;
  const InstanceRecord self{"n1", "127.0.0.1:5070", 1};
  std::vector<core::UndeliveredRelease> all;
  for (int i = 0; i < 20'000; ++i) all.push_back({"127.100.100.100", kCallA, i});
  auto unstored = all;
  REQUIRE_FALSE(hot_restart::store_releases(folder.path, self, unstored));
  const auto loaded = hot_restart::load_releases(folder.path, self);
  CHECK(loaded.releases == all);
  CHECK(loaded.unreadable_files == 0);
}

TEST_CASE(
    "a replaced router accepts no connections, answers its calls and closes connections without calls") {
  RouterFixture fixture;
  fixture.announce_server();
  auto idle = fixture.connect(fixture.router->callers_endpoint());
  idle->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":0}\n");
  fixture.run_until([&] { return idle->has_received("\"probed\""); });
  fixture.establish_call(kCallB);
  fixture.send_set_up(kCallA);
  auto& server = fixture.wait_for_invite(kCallA);
  const Replacement replacement(fixture);
  bool has_exited = false;
  fixture.router->shut_down([&] { has_exited = true; });
  CHECK(fixture.router->callers_endpoint() == replacement.listen);
  // Every new connection must reach the new process. If both processes listened, half of them would not.
  std::vector<std::unique_ptr<TestConnection>> callers;
  for (int i = 0; i < 16; ++i) {
    callers.push_back(fixture.connect(replacement.listen));
    callers.back()->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":0}\n");
  }
  fixture.run_until([&] { return replacement.next->caller_connections() == 16; });
  fixture.run_until([&] { return idle->closed; });
  CHECK_FALSE(fixture.caller->closed);  // a set-up on it is unanswered
  fixture.answer(server, kCallA);
  fixture.run_until([&] { return fixture.caller->closed; });  // although two calls from it are established
  CHECK(fixture.caller->has_received("\"ready\",\"sid\":\"" + kCallA));
  CHECK(fixture.router->caller_connections() == 0);
  CHECK_FALSE(has_exited);
  // The server ends a call at the old process. Its caller has moved to the new process, which delivers the
  // release once.
  const auto release_message = "\"close\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":16}";
  const auto count = [&] {
    return std::accumulate(
        callers.begin(), callers.end(), std::size_t{0},
        [&](std::size_t sum, const auto& caller) { return sum + caller->count(release_message); });
  };
  server.stream->send(
      RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return count() == 1; });
  CHECK_FALSE(has_exited);
  // Calls that are still established at the exit are released too, and delivered after the exit.
  fixture.run_until([&] { return has_exited; });
  fixture.run_until([&] {
    return std::any_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->has_received("\"close\",\"sid\":\"" + kCallB);
    });
  });
  CHECK(count() == 1);
}

TEST_CASE("a release that waits for its caller to reconnect is delivered by the replacement process") {
  RouterFixture fixture;
  fixture.announce_server();
  auto& server = fixture.establish_call(kCallA);
  fixture.caller->stream->close();
  fixture.run_until([&] { return fixture.router->caller_connections() == 0; });
  server.stream->send(
      RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.router->table().established() == 0; });
  const Replacement replacement(fixture);
  fixture.router->shut_down([] {});
  fixture.caller = fixture.connect(replacement.listen);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
  CHECK(replacement.next->caller_connections() == 1);
}

TEST_CASE("releases that a full disk prevents from being stored are kept and stored once there is room") {
  RouterFixture fixture;
  fixture.announce_server();
  auto& server = fixture.establish_call(kCallA);
  const Replacement replacement(fixture);
  fixture.router->shut_down([] {});
  fixture.run_until([&] { return fixture.caller->closed; });
  fixture.caller = fixture.connect(replacement.listen);
  fixture.wait_for_messages_in_transit();
  // With a file size limit of 0, storing releases fails as on a full disk.
  const auto previous_handler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit previous_limit{};
  REQUIRE(::getrlimit(RLIMIT_FSIZE, &previous_limit) == 0);
  const rlimit no_bytes{0, previous_limit.rlim_max};
  REQUIRE(::setrlimit(RLIMIT_FSIZE, &no_bytes) == 0);
  server.stream->send(
      RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n"));
  fixture.run_until([&] { return fixture.router->table().established() == 0; });
  std::size_t checks = 0;  // the router tries again every 20 ms
  const auto count_checks = [&](auto&& self) -> void {
    if (++checks < 3) fixture.loop.run_after(milliseconds{20}, [&self] { self(self); });
  };
  count_checks(count_checks);
  fixture.run_until([&] { return checks == 3; });
  CHECK_FALSE(fixture.caller->has_received("\"close\""));
  REQUIRE(::setrlimit(RLIMIT_FSIZE, &previous_limit) == 0);
  std::signal(SIGXFSZ, previous_handler);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
}

TEST_CASE(
    "a replacement that dies before SIGTERM leaves a normal shutdown, one that dies later loses no release") {
  for (const bool dies_before_sigterm : {true, false}) {
    RouterFixture fixture;
    fixture.announce_server();
    auto& server = fixture.establish_call(kCallA);
    const TemporaryFolder folder;
    fixture.router->join_hot_restart(folder.path);
    auto config = fixture.config;
    config.listen = fixture.router->callers_endpoint();
    // The record of the new process. After a kill its file remains, but the lock is released.
    const InstanceRecord successor{"n0", net::to_text(config.listen), Loop::unix_us() + 1};
    std::optional<hot_restart::InstanceLock> next;
    if (dies_before_sigterm) {
      std::ofstream(folder.path + "/amberknot-serving-dead00") << hot_restart::serialize(successor);
    } else {
      next.emplace(acquire(folder, successor));
    }
    fixture.router->shut_down([] {});
    next.reset();
    const auto release =
        RouterFixture::sip_message("BYE sip:x@net SIP/2.0", kCallA, "2 BYE", "Reason: Q.850;cause=16\r\n");
    if (dies_before_sigterm) {
      // The old process keeps serving: it accepts a new connection and delivers the release of its call.
      auto late_caller = fixture.connect(config.listen);
      late_caller->stream->send("{\"msg\":\"probe\",\"sid\":\"" + kCallB + "\",\"attrs\":{},\"code\":0}\n");
      fixture.run_until([&] { return late_caller->has_received("\"probed\""); });
      CHECK_FALSE(fixture.caller->closed);
      server.stream->send(release);
      fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
      continue;
    }
    fixture.run_until([&] { return fixture.caller->closed; });
    server.stream->send(release);
    fixture.run_until([&] {
      return folder.file_count() == 2;
    });  // the instance record and the stored release of the old process
    app::Router third(fixture.loop, config);
    third.join_hot_restart(folder.path);
    fixture.caller = fixture.connect(config.listen);
    fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"" + kCallA); });
  }
}

TEST_CASE("a replaced router accepts the connections in its listen queue before it closes the listener") {
  RouterFixture fixture;
  std::vector<std::unique_ptr<TestConnection>> callers;
  for (int i = 0; i < 8; ++i) callers.push_back(fixture.connect(fixture.router->callers_endpoint()));
  // Established by the kernel, but not yet accepted: the router's loop has not run since.
  asio::ip::tcp::socket queued_socket(fixture.loop.io);
  queued_socket.connect(fixture.router->callers_endpoint());
  const TemporaryFolder folder;
  fixture.router->join_hot_restart(folder.path);
  const auto next =
      acquire(folder, {"n0", net::to_text(fixture.router->callers_endpoint()), Loop::unix_us() + 1});
  fixture.router->shut_down([] {});
  const std::string health_check_line =
      "{\"msg\":\"probe\",\"sid\":\"" + kCallA + "\",\"attrs\":{},\"code\":0}\n";
  asio::write(queued_socket, asio::buffer(health_check_line));
  for (auto& caller : callers) caller->stream->send(health_check_line);
  fixture.run_until([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& caller) { return caller->has_received("\"probed\""); });
  });
  std::array<char, 8> reply{};
  fixture.run_until([&] { return queued_socket.available() >= reply.size(); });
  CHECK(asio::read(queued_socket, asio::buffer(reply)) == reply.size());
}

}  // namespace amberknot::tests
