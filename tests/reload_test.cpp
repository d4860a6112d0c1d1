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
    for (const auto& [key, value] : amberknot::testing::default_setting_values()) {
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
  update.event_number = cursor;
  update.has_endpoint_list = true;
  update.changes.push_back({name, address, 0, EndpointState::kReady, 0});
  return update;
}

}  // namespace

// Without a handler, SIGHUP ends the program.
TEST_CASE("on SIGHUP the program keeps running and follows the command channel of its new configuration") {
  RouterFixture fixture;  // provides the loop and the command channel
  StandInListener next_channel(fixture.loop);
  ConfigFile file;
  const std::string listen = "127.0.0.1:" + std::to_string([&] {
                               StandInListener free(fixture.loop);
                               return free.acceptor.local_endpoint().port();
                             }());
  file.write(listen, fixture.command_channel.address);
  Program program(file.path());
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 7\r\n") != nullptr; });
  file.replace("{");  // an invalid file changes nothing
  program.signal(SIGHUP);
  const auto caller = fixture.connect(*net::parse_endpoint(listen));
  const auto check_health = [&](const std::string& sid) {
    caller->stream->send("{\"msg\":\"probe\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":0}\n");
    fixture.run_until([&] { return caller->has_received("\"probed\",\"sid\":\"" + sid); });
  };
  check_health("00000000000000a1");
  file.write(listen, next_channel.address);
  program.signal(SIGHUP);
  fixture.run_until([&] { return next_channel.find_connection_with("Last-Event-ID: 7\r\n") != nullptr; });
  check_health("00000000000000a2");
  CHECK_FALSE(program.has_ended());
  program.signal(SIGTERM);
  fixture.run_until([&] { return program.has_ended(); });
  CHECK(WIFEXITED(program.status()));
  CHECK(WEXITSTATUS(program.status()) == 0);
}

TEST_CASE("a reload switches to the new command channel at once and resumes after the last event") {
  RouterFixture fixture;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const auto event = [&](int id, const std::string& name) {
    return "id: " + std::to_string(id) + "\ndata: {\"cursor\":" + std::to_string(id) +
           ",\"nodes\":{\"snapshot\":false,\"endpoints\":[{\"name\":\"" + name + "\",\"address\":\"" +
           fixture.server.address + "\",\"group\":0,\"status\":\"ready\",\"since_ms\":0}]}}\n\n";
  };
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 0\r\n") != nullptr; });
  auto& old_channel = *fixture.command_channel.connections[0];
  old_channel.stream->send(head + event(3, "s1"));
  fixture.run_until([&] { return fixture.router->counters().endpoint_events == 1; });

  StandInListener next_channel(fixture.loop);
  auto new_config = fixture.config;
  new_config.command_channel = next_channel.acceptor.local_endpoint();
  fixture.router->reload(new_config);
  fixture.run_until([&] { return next_channel.find_connection_with("Last-Event-ID: 3\r\n") != nullptr; });
  // The router closes its connection to the old channel; events from there are no longer applied.
  fixture.run_until([&] { return old_channel.closed; });
  next_channel.connections[0]->stream->send(head + event(3, "s2") + event(4, "s3"));
  fixture.run_until([&] { return fixture.router->counters().endpoint_events == 2; });
  CHECK(fixture.command_channel.connections.size() == 1);
  CHECK(fixture.router->counters().reloads == 1);

  SUBCASE("a reload with the same channel keeps the connection") {
    fixture.router->reload(new_config);
    fixture.wait_for_messages_in_transit();
    CHECK(next_channel.connections.size() == 1);
    CHECK_FALSE(next_channel.connections[0]->closed);
  }
  SUBCASE("events in the new file are applied if their numbers are new") {
    new_config.known_updates = {update_of(4, "s4", fixture.server.address),
                                update_of(5, "s5", fixture.server.address)};
    fixture.router->reload(new_config);
    CHECK(fixture.router->counters().endpoint_events == 3);
  }
  SUBCASE("an unreachable channel is retried, and a later reload leaves only one connection") {
    StandInListener unreachable(fixture.loop);
    const auto address = unreachable.acceptor.local_endpoint();
    unreachable.stop();
    new_config.command_channel = address;
    fixture.router->reload(new_config);
    fixture.run_until([&] { return fixture.router->counters().endpoint_watch_restarts >= 3; });
    new_config.command_channel = next_channel.acceptor.local_endpoint();
    fixture.router->reload(new_config);
    fixture.run_until([&] { return next_channel.count("Last-Event-ID: 4\r\n") == 1; });
    fixture.wait_for_messages_in_transit();
    CHECK(next_channel.connections.size() == 2);
  }
}
