// Tests of a configuration reload: the router's program on SIGHUP, and a reload in a router object. They
// guard against a reload that ends the program, loses or repeats endpoint events, or leaves an old connection
// open.
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "net_bench.hpp"
#include "settings_text.hpp"

extern char** environ;

using namespace amberknot;
using namespace amberknot::tests;

namespace {

/// A configuration file as the platform provides it.
class ConfigFile {
 public:
  ConfigFile() {
    std::string pattern = (std::filesystem::temp_directory_path() / "amberknot-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    folder_ = pattern;
  }
  ~ConfigFile() { std::filesystem::remove_all(folder_); }
  [[nodiscard]] std::string path() const { return folder_ / "config.json"; }
  void write(const std::string& listen, const std::string& channel) const {
    std::string settings;
    for (const auto& [key, value] : amberknot::testing::settings_keys()) {
      settings += (settings.empty() ? "\"" : ",\"") + key + "\":\"" + value + "\"";
    }
    replace(R"({"name":"n","listen":")" + listen + R"(","seed":"0f","channel":")" + channel +
            R"(","known":{"cursor":7,"cmds":[]},"settings":{"limits":{"connect_timeout_us":"500000"},)" +
            settings + "}}");
  }
  /// Replaces the file atomically, as the platform does.
  void replace(const std::string& text) const {
    std::ofstream(folder_ / "next") << text;
    std::filesystem::rename(folder_ / "next", path());
  }

 private:
  std::filesystem::path folder_;
};

/// The router's program in a separate process.
class Program {
 public:
  explicit Program(const std::string& config) {
    setenv("RELAY_CONFIG", config.c_str(), 1);
    std::string path = ROUTER_PROGRAM;
    char* argv[] = {path.data(), nullptr};
    REQUIRE(posix_spawn(&pid_, path.c_str(), nullptr, nullptr, argv, environ) == 0);
  }
  ~Program() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  void signal(int number) const { kill(pid_, number); }
  bool has_ended() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
    return pid_ == 0;
  }
  [[nodiscard]] int status() const { return status_; }

 private:
  pid_t pid_ = 0;
  int status_ = 0;
};

discovery::EndpointUpdate update_of(std::uint64_t cursor, const std::string& name,
                                    const std::string& address) {
  discovery::EndpointUpdate update;
  update.cursor = cursor;
  update.has_servers = true;
  update.changes.push_back({name, address, 0, EndpointState::kReady, 0});
  return update;
}

}  // namespace

// Without a handler, SIGHUP ends the program.
TEST_CASE("on SIGHUP the program keeps running and follows the command channel of its new configuration") {
  Bench bench;  // provides the loop and the command channel
  Listener next_channel(bench.loop);
  ConfigFile file;
  const std::string listen = "127.0.0.1:" + std::to_string([&] {
                               Listener free(bench.loop);
                               return free.acceptor.local_endpoint().port();
                             }());
  file.write(listen, bench.channel.address);
  Program program(file.path());
  bench.until([&] { return bench.channel.with("Last-Event-ID: 7\r\n") != nullptr; });
  file.replace("{");  // an invalid file changes nothing
  program.signal(SIGHUP);
  const auto caller = bench.connect(*net::read_endpoint(listen));
  const auto probe = [&](const std::string& sid) {
    caller->stream->send("{\"msg\":\"probe\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":0}\n");
    bench.until([&] { return caller->has("\"probed\",\"sid\":\"" + sid); });
  };
  probe("00000000000000a1");
  file.write(listen, next_channel.address);
  program.signal(SIGHUP);
  bench.until([&] { return next_channel.with("Last-Event-ID: 7\r\n") != nullptr; });
  probe("00000000000000a2");
  CHECK_FALSE(program.has_ended());
  program.signal(SIGTERM);
  bench.until([&] { return program.has_ended(); });
  CHECK(WIFEXITED(program.status()));
  CHECK(WEXITSTATUS(program.status()) == 0);
}

TEST_CASE("a reload switches to the new command channel at once and resumes after the last event") {
  Bench bench;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const auto event = [&](int id, const std::string& name) {
    return "id: " + std::to_string(id) + "\ndata: {\"cursor\":" + std::to_string(id) +
           ",\"nodes\":{\"snapshot\":false,\"endpoints\":[{\"name\":\"" + name + "\",\"address\":\"" +
           bench.server.address + "\",\"group\":0,\"status\":\"ready\",\"since_ms\":0}]}}\n\n";
  };
  bench.until([&] { return bench.channel.with("Last-Event-ID: 0\r\n") != nullptr; });
  auto& old_channel = *bench.channel.ends[0];
  old_channel.stream->send(head + event(3, "s1"));
  bench.until([&] { return bench.router->counters().endpoint_events == 1; });

  Listener next_channel(bench.loop);
  auto new_config = bench.config;
  new_config.channel = next_channel.acceptor.local_endpoint();
  bench.router->reload(new_config);
  bench.until([&] { return next_channel.with("Last-Event-ID: 3\r\n") != nullptr; });
  // The router closes its connection to the old channel; events from there are no longer applied.
  bench.until([&] { return old_channel.closed; });
  next_channel.ends[0]->stream->send(head + event(3, "s2") + event(4, "s3"));
  bench.until([&] { return bench.router->counters().endpoint_events == 2; });
  CHECK(bench.channel.ends.size() == 1);
  CHECK(bench.router->counters().reloads == 1);

  SUBCASE("a reload with the same channel keeps the connection") {
    bench.router->reload(new_config);
    bench.settle();
    CHECK(next_channel.ends.size() == 1);
    CHECK_FALSE(next_channel.ends[0]->closed);
  }
  SUBCASE("events in the new file are applied if their numbers are new") {
    new_config.known = {update_of(4, "s4", bench.server.address), update_of(5, "s5", bench.server.address)};
    bench.router->reload(new_config);
    CHECK(bench.router->counters().endpoint_events == 3);
  }
  SUBCASE("an unreachable channel is retried, and a later reload leaves only one connection") {
    Listener unreachable(bench.loop);
    const auto address = unreachable.acceptor.local_endpoint();
    unreachable.die();
    new_config.channel = address;
    bench.router->reload(new_config);
    bench.until([&] { return bench.router->counters().endpoint_watch_restarts >= 3; });
    new_config.channel = next_channel.acceptor.local_endpoint();
    bench.router->reload(new_config);
    bench.until([&] { return next_channel.count("Last-Event-ID: 4\r\n") == 1; });
    bench.settle();
    CHECK(next_channel.ends.size() == 2);
  }
}
