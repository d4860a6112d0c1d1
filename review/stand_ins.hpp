// Stand-ins for the review's cases: the platform (configuration and command channel), a caller that speaks
// JSON lines, and what a case needs to start the project's programs as processes of their own. One thread,
// poll(2), loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Unix time in milliseconds.
inline std::int64_t now_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// Ends the case with status 2: it could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(2);
}

/// Called first by each check. It ends with the script that has started it, however that ends, and after 115
/// s; the processes that it starts end with it.
inline void end_with_script() {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::signal(SIGALRM, SIG_DFL);
  ::alarm(115);
  ::signal(SIGPIPE, SIG_IGN);
}

/// The record of a run: one line for each event, with the milliseconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), started_(now_ms()) {}
  void line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%7.3f  ", static_cast<double>(now_ms() - started_) / 1000.0);
    file_ << time << text << std::endl;
  }

 private:
  std::ofstream file_;
  std::int64_t started_;
};

/// Sockets and timers of one thread.
class Loop {
 public:
  void watch(int fd, std::function<void()> on_readable) { readers_[fd] = std::move(on_readable); }
  void forget(int fd) { readers_.erase(fd); }
  void after(std::int64_t ms, std::function<void()> run) { timers_.emplace(now_ms() + ms, std::move(run)); }
  /// Runs until `is_done` returns true or the time is over. Returns whether it is done.
  bool run(
      std::int64_t ms, const std::function<bool()>& is_done = [] { return false; }) {
    const std::int64_t end = now_ms() + ms;
    while (!is_done()) {
      if (now_ms() >= end) return false;
      turn(std::min<std::int64_t>(20, end - now_ms()));
    }
    return true;
  }

 private:
  void turn(std::int64_t wait_ms) {
    if (!timers_.empty())
      wait_ms =
          std::clamp<std::int64_t>(timers_.begin()->first - now_ms(), 0, std::max<std::int64_t>(wait_ms, 0));
    std::vector<pollfd> polled;
    for (const auto& [fd, reader] : readers_) polled.push_back({fd, POLLIN, 0});
    ::poll(polled.data(), polled.size(), static_cast<int>(wait_ms));
    for (const auto& one : polled) {
      if (one.revents == 0) continue;
      const auto found = readers_.find(one.fd);
      if (found == readers_.end()) continue;
      const auto reader = found->second;
      reader();
    }
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
      const auto run = timers_.begin()->second;
      timers_.erase(timers_.begin());
      run();
    }
  }
  std::map<int, std::function<void()>> readers_;
  std::multimap<std::int64_t, std::function<void()>> timers_;
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

inline std::uint16_t port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Listens on a loopback port; 0 takes a free one.
inline int listen_on(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 64) != 0)
    cannot_run("cannot listen on port " + std::to_string(port));
  return fd;
}

/// A port that was free a moment ago, for a program that binds it itself.
inline std::uint16_t free_port() {
  const int fd = listen_on(0);
  const auto port = port_of(fd);
  ::close(fd);
  return port;
}

inline int accept_on(int listener) {
  const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  const int on = 1;
  if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/// Returns -1 if nobody listens there.
inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/// Sends all bytes; the messages of the cases are far below the socket's buffer.
inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/// Closes with a TCP reset.
inline void reset_socket(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

/// Reads what is there. Returns false at the end of the connection.
inline bool read_into(int fd, std::string& bytes) {
  char buffer[65536];
  const auto size = ::recv(fd, buffer, sizeof buffer, 0);
  if (size <= 0) return false;
  bytes.append(buffer, static_cast<std::size_t>(size));
  return true;
}

/// A process that a case has started; it is killed at the end of the case.
class Process {
 public:
  Process() = default;
  Process(const std::vector<std::string>& command, const std::vector<std::string>& environment,
          const std::string& output_file) {
    pid_ = ::fork();
    if (pid_ < 0) cannot_run("cannot start a process");
    if (pid_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
    const int output = ::open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    for (const auto& item : environment) ::putenv(::strdup(item.c_str()));
    std::vector<char*> words;
    for (const auto& word : command) words.push_back(::strdup(word.c_str()));
    words.push_back(nullptr);
    ::execvp(words[0], words.data());
    ::_exit(127);
  }
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  Process& operator=(Process&& other) noexcept {
    std::swap(pid_, other.pid_);
    return *this;
  }
  ~Process() { kill_now(); }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  [[nodiscard]] bool has_ended() const { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) != 0; }

 private:
  pid_t pid_ = -1;
};

/// The command channel: GET is answered with the events after `Last-Event-ID`, and a comment comes each
/// second.
class Channel {
 public:
  explicit Channel(Loop& loop) : loop_(loop), listener_(listen_on(0)) {
    loop_.watch(listener_, [this] { accept(); });
    comment();
  }
  [[nodiscard]] std::uint16_t port() const { return port_of(listener_); }
  /// Adds an event about one server or about several; `endpoints` is the JSON list.
  void tell(const std::string& endpoints, bool is_snapshot = false) {
    const auto number = events_.size() + 1;
    events_.push_back("id: " + std::to_string(number) + "\ndata: " + R"({"cursor":)" +
                      std::to_string(number) + R"(,"nodes":{"index":)" + std::to_string(number) +
                      R"(,"snapshot":)" + (is_snapshot ? "true" : "false") + R"(,"endpoints":[)" + endpoints +
                      "]}}\n\n");
    for (const int fd : readers_) send_chunk(fd, events_.back());
  }
  static std::string endpoint(const std::string& name, std::uint16_t port, int group,
                              const std::string& status, std::int64_t since_ms = 0) {
    return R"({"name":")" + name + R"(","address":"127.0.0.1:)" + std::to_string(port) +
           R"(","zone":"jakarta","type":"std-1core","group":)" + std::to_string(group) + R"(,"status":")" +
           status + R"(","weight":1,"since_ms":)" + std::to_string(since_ms) + "}";
  }

 private:
  static void send_chunk(int fd, const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    send_all(fd, size + text + "\r\n");
  }
  void accept() {
    const int fd = accept_on(listener_);
    if (fd < 0) return;
    auto input = std::make_shared<std::string>();
    loop_.watch(fd, [this, fd, input] {
      if (!read_into(fd, *input)) {
        loop_.forget(fd);
        readers_.erase(fd);
        ::close(fd);
        return;
      }
      if (input->find("\r\n\r\n") == std::string::npos || readers_.contains(fd)) return;
      std::size_t last = 0;
      const auto at = input->find("Last-Event-ID: ");
      if (at != std::string::npos) last = std::strtoul(input->c_str() + at + 15, nullptr, 10);
      send_all(fd,
               "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      readers_.insert(fd);
      for (std::size_t i = last; i < events_.size(); ++i) send_chunk(fd, events_[i]);
    });
  }
  void comment() {
    for (const int fd : readers_) send_chunk(fd, ": \n\n");
    loop_.after(1000, [this] { comment(); });
  }
  Loop& loop_;
  int listener_;
  std::vector<std::string> events_;
  std::set<int> readers_;
};

/// A deployment's settings, as far as they differ between the cases.
struct Deployment {
  struct Class {
    std::string name, aim_us, deadline_us, value, repeat, hold_us, pools;
  };
  std::vector<Class> classes;
  std::vector<std::string> tenants;  ///< name and quota, as JSON
  std::string clear_wait_us, resend_us, cold_from, fall_us, ramp_time_us, most_tries, probes, retry_after,
      columns;
  bool has_skilled_pools = true;  ///< false: the file lacks that key
};

/// java-cards, as in the example of the interface page; `repeat` is that of the class card-activate.
inline Deployment java_cards(const std::string& repeat = "idempotent") {
  const std::string pools = R"(["0","1","2","3"])";
  return {.classes = {{"balance-check", "1200000", "9000000", "1.0", "idempotent", "8700000", pools},
                      {"card-activate", "1200000", "9000000", "2.0", repeat, "10500000", pools}},
          .tenants = {R"({"name":"toko-sinar","portion":"0.64","quota_per_s":"22.0"})",
                      R"({"name":"pasar-maju","portion":"0.2","quota_per_s":"7.0"})",
                      R"({"name":"warung-rejeki","portion":"0.16","quota_per_s":"6.0"})"},
          .clear_wait_us = "500000",
          .resend_us = "400000",
          .cold_from = "0.29",
          .fall_us = "3000000",
          .ramp_time_us = "15000000",
          .most_tries = "4",
          .probes = "true",
          .retry_after = "true",
          .columns = R"(["idle","circuits","lat_ms","max_rate"])"};
}

/// The configuration file of one router.
inline std::string config_json(const Deployment& site, std::uint16_t listen, std::uint16_t channel) {
  const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::string classes, holds, widths, pools, tenants;
  for (const auto& one : site.classes) {
    const std::string comma = classes.empty() ? "" : ",";
    classes += comma + R"({"name":")" + one.name + R"(","aim_us":")" + one.aim_us + R"(","deadline_us":")" +
               one.deadline_us + R"(","value":")" + one.value + R"(","late_worth":"0.1","repeat":")" +
               one.repeat + R"(","streamed":"true","key_scope":"all","window_us":"5000000"})";
    holds += comma + "\"" + one.hold_us + "\"";
    widths += comma + "\"1\"";
    pools += comma + one.pools;
  }
  for (const auto& one : site.tenants) tenants += (tenants.empty() ? "" : ",") + one;
  return R"({"name":"n0","listen":)" + address(listen) +
         R"(,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"channel":)" +
         address(channel) + R"(,"known":{"cursor":0,"cmds":[]},"settings":{"classes":[)" + classes +
         R"(],"discovery":"pushed","family":"trunks","family_info":{"clear_wait_us":")" + site.clear_wait_us +
         R"(","class_hold_us":[)" + holds + R"(],"channels_needed":[)" + widths +
         R"(],"network_form":"skills","resend_us":")" + site.resend_us +
         R"(","retry_hint":"false","route_advice":"false","self_no":"-1")" +
         (site.has_skilled_pools ? R"(,"skilled_pools":[)" + pools + "]" : "") +
         R"(},"invariants":{"answer_slack_us":"20000","ask_within_us":"10000000","cold_from":")" +
         site.cold_from + R"(","drain_grace_us":"500000","fall_multiple":"3.0","fall_us":")" + site.fall_us +
         R"(","ramp_time_us":")" + site.ramp_time_us +
         R"("},"limits":{"cancel":"true","conn_idle_us":"600000000","connect_timeout_us":"500000",)" +
         R"("max_retry_after_us":"2000000","most_held":"20000","most_tries":")" + site.most_tries +
         R"(","peers":"false","probes":")" + site.probes + R"(","retry_after":")" + site.retry_after +
         R"(","second_copies":"false"},"over_share_worth":"0.05","report":{"columns":)" + site.columns +
         R"(,"source":"inline"},"round_us":"5000","self_index":"0","siblings":"1","tenants":[)" + tenants +
         R"(],"zone":"0"}})";
}

/// The value of a string member of a line, or of a number member; enough for the router's lines.
inline std::string member(const std::string& json, const std::string& name) {
  auto at = json.find("\"" + name + "\":");
  if (at == std::string::npos) return {};
  at += name.size() + 3;
  if (json[at] == '"') return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  return json.substr(at, json.find_first_of(",}", at) - at);
}

/// One connection of a caller.
class CallerConnection {
 public:
  std::function<void(const std::string& line)> on_line;
  std::function<void()> on_end;

  CallerConnection(Loop& loop, std::uint16_t router) : loop_(loop), fd_(connect_to(router)) {
    if (fd_ < 0) return;
    loop_.watch(fd_, [this] { read(); });
  }
  ~CallerConnection() { close(); }
  [[nodiscard]] bool is_open() const { return fd_ >= 0; }
  void send(const std::string& text) const {
    if (fd_ >= 0) send_all(fd_, text);
  }
  void close() {
    if (fd_ < 0) return;
    loop_.forget(fd_);
    ::close(std::exchange(fd_, -1));
  }

 private:
  void read() {
    const bool is_open = read_into(fd_, input_);
    for (std::size_t end = 0; (end = input_.find('\n')) != std::string::npos;) {
      const auto line = input_.substr(0, end);
      input_.erase(0, end + 1);
      if (on_line) on_line(line);
    }
    if (is_open) return;
    close();
    if (on_end) on_end();
  }
  Loop& loop_;
  int fd_;
  std::string input_;
};

inline std::string open_line(const std::string& sid, int left_ms, int pool,
                             const std::string& tenant = "toko-sinar",
                             const std::string& call_class = "balance-check",
                             const std::string& number = "7f3a9c21e0b4d655") {
  return R"({"msg":"open","sid":")" + sid + R"(","attrs":{"class":")" + call_class + R"(","left":")" +
         std::to_string(left_ms) + R"(","tenant":")" + tenant + R"(","key":")" + number +
         R"(","extras":"dest:)" + std::to_string(pool) + R"(;width:1;via:-1"},"text":"offer )" + sid +
         R"(\r\nc=IN IP4 127.0.0.1\r\n"})" + "\n";
}

inline std::string sid_of(unsigned number) {
  char text[17];
  std::snprintf(text, sizeof text, "9b1f03aa%08x", number);
  return text;
}

/// The `run` line of the deploy file, which is started by /bin/sh -c from the root of the repository.
inline std::string run_command() {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  cannot_run("deploy/balancer.toml has no run line");
}

/// A router process, with its configuration and TMPDIR in `folder`.
class Router {
 public:
  /// `config` makes the text of the configuration for the address where callers connect.
  using Config = std::function<std::string(std::uint16_t listen)>;

  Router(Loop& loop, const std::string& folder, const Config& config, const std::string& arguments = {})
      : listen_(free_port()), control_(free_port()), config_file_(folder + "/config.json") {
    configure(config(listen_));
    const auto tmp = folder + "/tmp";
    ::mkdir(tmp.c_str(), 0755);
    process_ = Process({"/bin/sh", "-c", run_command() + arguments},
                       {"RELAY_NAME=n0", "RELAY_LISTEN=127.0.0.1:" + std::to_string(listen_),
                        "RELAY_CONTROL=127.0.0.1:" + std::to_string(control_), "RELAY_CONFIG=" + config_file_,
                        "TMPDIR=" + tmp, "RELAY_LOG=info"},
                       folder + "/router.log");
    // The front admits a router once it has passed a test following its start.
    std::unique_ptr<CallerConnection> front;
    bool has_passed = false;
    const bool is_ready = loop.run(10'000, [&] {
      if (has_passed) return true;
      if (!front || !front->is_open()) {
        front = std::make_unique<CallerConnection>(loop, listen_);
        front->on_line = [&](const std::string& line) { has_passed = member(line, "code") == "1"; };
        front->send(R"({"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0})"
                    "\n");
      }
      return false;
    });
    if (!is_ready) cannot_run("the router was not ready within 10 s");
  }
  [[nodiscard]] std::uint16_t port() const { return listen_; }
  [[nodiscard]] bool has_ended() const { return process_.has_ended(); }
  void configure(const std::string& text) const { std::ofstream(config_file_) << text; }
  void signal(int number) const { process_.signal(number); }
  /// The reply of the operators' door to one call.
  [[nodiscard]] std::string control(Loop& loop, const std::string& call) const {
    CallerConnection door(loop, control_);
    std::string reply;
    bool has_ended = false;
    door.on_line = [&](const std::string& line) { reply += line + "\n"; };
    door.on_end = [&] { has_ended = true; };
    door.send(call + "\n");
    loop.run(2000, [&] { return has_ended; });
    return reply;
  }

 private:
  std::uint16_t listen_, control_;
  std::string config_file_;
  Process process_;
};

}  // namespace review
