// Tests of a configuration reload: the router's program on SIGHUP, and a reload in a router object. They
// guard against a reload that ends the program, loses or repeats endpoint events, or leaves an old connection
// open.
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
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
  void write(const std::string& listen, const std::string& channel,
             const std::map<std::string, std::string>& keys = amberknot::testing::default_setting_values(),
             const std::string& more = "") const {
    std::string settings;
    for (const auto& [key, value] : keys) {
      settings += (settings.empty() ? "\"" : ",\"") + key + "\":\"" + value + "\"";
    }
    replace("{" + more + R"("name":"n","listen":")" + listen + R"(","seed":"0f","channel":")" + channel +
            R"(","limits":{"cores":1.0,"memory_mb":64,"sockets":1024},)" +
            R"("known":{"cursor":7,"cmds":[]},"settings":{)" + settings + "}}");
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

// Guards against a reload that takes a file without the pools of the classes: calls then went to servers that
// their class may not go to.
TEST_CASE("after SIGHUP with a file that lacks the pools of a class, its calls still go to its pools only") {
  RouterFixture fixture;  // provides the loop, the command channel and a server
  ConfigFile file;
  const auto free_address = [&] {
    StandInListener free(fixture.loop);
    return free.address;
  };
  const std::string listen = free_address(), control = free_address();
  const std::string control_field = R"("control":")" + control + "\",";
  auto keys = amberknot::testing::default_setting_values();
  keys["classes.0.name"] = "voice";
  keys["tenants.0.name"] = "acme";
  keys["family_info.network_form"] = "skills";
  keys["family_info.skilled_pools.0"] = "0";
  // Names of classes and tenants are read from nested settings.
  const std::string names = R"("classes":[{"name":"voice"}],"tenants":[{"name":"acme"}],)";
  const auto write = [&](const std::map<std::string, std::string>& settings) {
    file.write(listen, fixture.command_channel.address, settings, control_field);
    auto text = app::read_file(file.path());
    text.insert(text.find(R"("settings":{)") + std::strlen(R"("settings":{)"), names);
    file.replace(text);
  };
  write(keys);
  Program program(file.path());
  fixture.run_until(
      [&] { return fixture.command_channel.find_connection_with("Last-Event-ID: 7\r\n") != nullptr; });
  // The only server is in pool 1.
  fixture.command_channel.find_connection_with("Last-Event-ID: 7\r\n")
      ->stream->send(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 8\ndata: "
          R"({"cursor":8,"nodes":{"snapshot":true,"endpoints":[{"name":"s1","address":")" +
          fixture.server.address + R"(","group":1,"status":"ready","since_ms":0}]}})" + "\n\n");
  const auto reads_from_control = [&](const std::string& expected) {
    auto admin = fixture.connect(*net::parse_endpoint(control));
    admin->stream->send("stats\n");
    fixture.run_until([&] { return admin->closed || admin->has_received("\n.\n"); });
    return admin->has_received(expected);
  };
  fixture.run_until([&] { return reads_from_control("registry_entries:1"); });
  keys.erase("family_info.skilled_pools.0");
  write(keys);
  program.signal(SIGHUP);
  fixture.run_until(
      [&] { return reads_from_control("cfg_invalid:1") || reads_from_control("cfg_accepted:1"); });
  CHECK(reads_from_control("cfg_invalid:1"));
  const auto caller = fixture.connect(*net::parse_endpoint(listen));
  caller->stream->send(
      R"({"msg":"open","sid":"00000000000000a1","attrs":{"class":"voice","left":"400","tenant":"acme",)"
      R"("key":"77aa","extras":"dest:0;width:1;via:-1"},"text":"d"})"
      "\n");
  fixture.run_until([&] {
    return caller->has_received("\"close\",\"sid\":\"00000000000000a1") ||
           fixture.server.find_connection_with("Call-ID: 00000000000000a1") != nullptr;
  });
  CHECK(fixture.server.find_connection_with("Call-ID: 00000000000000a1") == nullptr);
}

// Guards against a server whose group is missing in the endpoint list and that was taken for one of pool 0.
TEST_CASE("a new server without a group gets no calls, and a known one keeps its pool") {
  RouterFixture fixture;
  auto update = update_of(1, "s1", fixture.server.address);
  update.has_endpoint_list = true;
  update.changes[0].pool.reset();
  fixture.router->apply_endpoint_update(update);
  fixture.send_set_up("00000000000000a1", 300);
  fixture.run_until([&] { return fixture.caller->has_received("\"close\",\"sid\":\"00000000000000a1"); });
  CHECK(fixture.server.connections.empty());
  fixture.announce_server();
  fixture.router->apply_endpoint_update(update);
  fixture.send_set_up("00000000000000a2");
  fixture.wait_for_invite("00000000000000a2");
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
