// A new configuration under load: the program itself under SIGHUP, and what a reload changes in a router.
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

/// A configuration file as the platform hands it out.
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
  /// As a platform does it: the new file takes the place of the old one at once.
  void replace(const std::string& text) const {
    std::ofstream(folder_ / "next") << text;
    std::filesystem::rename(folder_ / "next", path());
  }

 private:
  std::filesystem::path folder_;
};

/// The router as a process of its own.
class Program {
 public:
  explicit Program(const std::string& config) {
    setenv("RELAY_CONFIG", config.c_str(), 1);
    std::string path = ROUTER_PROGRAM;
    char* words[] = {path.data(), nullptr};
    REQUIRE(posix_spawn(&pid_, path.c_str(), nullptr, nullptr, words, environ) == 0);
  }
  ~Program() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  void signal(int number) const { kill(pid_, number); }
  bool ended() {
    if (pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
    return pid_ == 0;
  }
  [[nodiscard]] int status() const { return status_; }

 private:
  pid_t pid_ = 0;
  int status_ = 0;
};

discovery::EndpointUpdate news_of(std::uint64_t cursor, const std::string& name, const std::string& address) {
  discovery::EndpointUpdate news;
  news.cursor = cursor;
  news.has_servers = true;
  news.changes.push_back({name, address, 0, EndpointState::kReady, 0});
  return news;
}

}  // namespace

// Guards against SIGHUP ending the program, as it does where nobody catches it.
TEST_CASE("on SIGHUP the program goes on and follows the channel that its new file names") {
  Bench bench;  // for its loop and its stand-ins
  Listener next(bench.loop);
  ConfigFile file;
  const std::string listen = "127.0.0.1:" + std::to_string([&] {
                               Listener free(bench.loop);
                               return free.acceptor.local_endpoint().port();
                             }());
  file.write(listen, bench.channel.address);
  Program program(file.path());
  bench.until([&] { return bench.channel.with("Last-Event-ID: 7\r\n") != nullptr; });
  file.replace("{");  // a bad file changes nothing
  program.signal(SIGHUP);
  const auto caller = bench.connect(*net::read_endpoint(listen));
  const auto probe = [&](const std::string& sid) {
    caller->stream->send("{\"msg\":\"probe\",\"sid\":\"" + sid + "\",\"attrs\":{},\"code\":0}\n");
    bench.until([&] { return caller->has("\"probed\",\"sid\":\"" + sid); });
  };
  probe("00000000000000a1");
  file.write(listen, next.address);
  program.signal(SIGHUP);
  bench.until([&] { return next.with("Last-Event-ID: 7\r\n") != nullptr; });
  probe("00000000000000a2");
  CHECK_FALSE(program.ended());
  program.signal(SIGTERM);
  bench.until([&] { return program.ended(); });
  CHECK(WIFEXITED(program.status()));
  CHECK(WEXITSTATUS(program.status()) == 0);
}

TEST_CASE("a reload moves to the new channel at once and the numbers go on") {
  Bench bench;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  const auto event = [&](int id, const std::string& name) {
    return "id: " + std::to_string(id) + "\ndata: {\"cursor\":" + std::to_string(id) +
           ",\"nodes\":{\"snapshot\":false,\"endpoints\":[{\"name\":\"" + name + "\",\"address\":\"" +
           bench.server.address + "\",\"group\":0,\"status\":\"ready\",\"since_ms\":0}]}}\n\n";
  };
  bench.until([&] { return bench.channel.with("Last-Event-ID: 0\r\n") != nullptr; });
  auto& old = *bench.channel.ends[0];
  old.stream->send(head + event(3, "s1"));
  bench.until([&] { return bench.router->counters().endpoint_events == 1; });

  Listener next(bench.loop);
  auto fresh = bench.config;
  fresh.channel = next.acceptor.local_endpoint();
  bench.router->reload(fresh);
  bench.until([&] { return next.with("Last-Event-ID: 3\r\n") != nullptr; });
  // The old channel stays open for a while on its own side; what it says counts no more.
  bench.until([&] { return old.closed; });
  next.ends[0]->stream->send(head + event(3, "s2") + event(4, "s3"));
  bench.until([&] { return bench.router->counters().endpoint_events == 2; });
  CHECK(bench.channel.ends.size() == 1);
  CHECK(bench.router->counters().reloads == 1);

  SUBCASE("the same channel again leaves the connection alone") {
    bench.router->reload(fresh);
    bench.settle();
    CHECK(next.ends.size() == 1);
    CHECK_FALSE(next.ends[0]->closed);
  }
  SUBCASE("what the new file knows is learnt where it is news") {
    fresh.known = {news_of(4, "s4", bench.server.address), news_of(5, "s5", bench.server.address)};
    bench.router->reload(fresh);
    CHECK(bench.router->counters().endpoint_events == 3);
  }
  SUBCASE("a channel that cannot be reached yet is tried again, from one connection") {
    Listener gone(bench.loop);
    const auto at = gone.acceptor.local_endpoint();
    gone.die();
    fresh.channel = at;
    bench.router->reload(fresh);
    bench.until([&] { return bench.router->counters().endpoint_watch_restarts >= 3; });
    fresh.channel = next.acceptor.local_endpoint();
    bench.router->reload(fresh);
    bench.until([&] { return next.count("Last-Event-ID: 4\r\n") == 1; });
    bench.settle();
    CHECK(next.ends.size() == 2);
  }
}
