// Parts that the cases 6 to 10 share: the record, the router's processes, the platform (configuration and
// command channel), callers, session servers and a relay. Everything listens on loopback addresses at ports
// that are free.
#pragma once

#include <nghttp2/nghttp2.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "diameter/codec.hpp"
#include "lab/http2_server.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace review {

using namespace amberknot;
using std::chrono::milliseconds;

// ---- the record -----------------------------------------------------------------------------------------

inline std::FILE* record_file = nullptr;
inline const Instant begun = net::Loop::now();
inline long ms_since(Instant since) {
  return static_cast<long>((net::Loop::now() - since).count() / 1000);
}
/// Writes a line to the record, with the time since the start in milliseconds.
__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
  std::fprintf(record_file, "%7ld ", ms_since(begun));
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}
inline std::string variable(const char* name, const char* otherwise = "") {
  const char* value = std::getenv(name);
  return value != nullptr ? value : otherwise;
}
/// Whether the disruption is played.
inline bool trouble() {
  return variable("TROUBLE", "1") != "0";
}
/// Exit codes of a script.
enum Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

inline net::Loop& loop() {
  static net::Loop the_loop;
  return the_loop;
}
/// Runs the loop for a time.
inline void run_for(milliseconds time) {
  loop().io.restart();
  loop().io.run_for(time);
}
/// Runs the loop until the condition holds. Returns false if it does not hold in time.
inline bool run_until(const std::function<bool()>& holds, milliseconds time) {
  const Instant end = net::Loop::now() + time;
  while (!holds() && net::Loop::now() < end) run_for(milliseconds{5});
  return holds();
}
inline void after(milliseconds delay, std::function<void()> handler) {
  loop().run_after(delay, std::move(handler));
}

// ---- connections ----------------------------------------------------------------------------------------

/// One connection; input is collected in `in`.
struct Link : net::TcpConnection::EventHandler {
  std::shared_ptr<net::TcpConnection> tcp = std::make_shared<net::TcpConnection>(loop(), *this);
  std::string in;
  std::function<void(Link&)> on_data, on_end, on_up;
  bool has_ended = false;
  bool is_up = false;

  void on_open(net::TcpConnection& /*tcp*/) override {
    is_up = true;
    if (on_up) on_up(*this);
  }
  std::size_t on_bytes(net::TcpConnection& /*tcp*/, std::span<char> bytes) override {
    in.append(bytes.data(), bytes.size());
    if (on_data) on_data(*this);
    return bytes.size();
  }
  void on_closed(net::TcpConnection& /*tcp*/, net::CloseReason /*reason*/) override {
    has_ended = true;
    if (on_end) on_end(*this);
  }
  void send(std::string bytes) {
    if (!has_ended) tcp->send(std::move(bytes));
  }
  void close() {
    if (!has_ended) tcp->close();
    has_ended = true;
  }
};
/// Links live as long as the program, so that no handler outlives one.
inline Link& new_link() {
  static std::vector<std::unique_ptr<Link>> all;
  return *all.emplace_back(std::make_unique<Link>());
}

/// Listens at a free port of 127.0.0.1.
struct Listener {
  asio::ip::tcp::acceptor acceptor{loop().io, {asio::ip::make_address("127.0.0.1"), 0}};
  std::function<void(Link&)> on_accept;
  Listener() { accept(); }
  void accept() {
    acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (error) return;
      auto& link = new_link();
      if (on_accept) on_accept(link);
      link.tcp->start_accepted(std::move(socket));
      accept();
    });
  }
  [[nodiscard]] std::string address() const { return net::to_text(acceptor.local_endpoint()); }
};
inline std::string free_address() {
  asio::ip::tcp::acceptor probe{loop().io, {asio::ip::make_address("127.0.0.1"), 0}};
  return net::to_text(probe.local_endpoint());
}

// ---- the platform ---------------------------------------------------------------------------------------

/// The command channel: it has nothing to tell beyond what the configuration holds, and sends a comment a
/// second.
struct Channel {
  Listener listener;
  Channel() {
    listener.on_accept = [](Link& link) {
      link.on_data = [](Link& from) {
        if (from.in.find("\r\n\r\n") == std::string::npos) return;
        from.in.clear();
        from.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
        comment(from);
      };
    };
  }
  static void comment(Link& link) {
    after(milliseconds{1000}, [&link] {
      if (link.has_ended) return;
      link.send(":\n\n");
      comment(link);
    });
  }
};

/// The configuration of one call router, with the settings of a small deployment.
inline std::string config_text(const std::string& name, const std::string& listen, const std::string& channel,
                               const std::vector<std::pair<std::string, std::string>>& servers,
                               unsigned index = 0) {
  std::string endpoints, pools;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const std::string comma = i > 0 ? "," : "";
    endpoints += comma + R"({"name":")" + servers[i].first + R"(","address":")" + servers[i].second +
                 R"(","zone":"jakarta","type":"std-1core","group":)" + std::to_string(i) +
                 R"(,"status":"ready","weight":1,"since_ms":0})";
    pools += comma + std::to_string(i);
  }
  const auto call_class = [](const char* class_name, const char* value) {
    return std::string(
               R"({"aim_us":1200000,"deadline_us":9000000,"key_scope":"all","late_worth":0.1,"name":")") +
           class_name + R"(","repeat":"idempotent","streamed":true,"value":)" + value +
           R"(,"window_us":5000000})";
  };
  return R"({"name":")" + name + R"(","listen":")" + listen + R"(","seed":"8c1f30d27a5be96)" +
         std::to_string(index % 10) +
         R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"channel":")" + channel +
         R"(","known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"index":1,"snapshot":true,"endpoints":[)" +
         endpoints + R"(]}}]},"settings":{"classes":[)" + call_class("balance-check", "1.0") + "," +
         call_class("card-activate", "2.0") +
         R"(],"discovery":"pushed","family":"trunks","family_info":{"channels_needed":[1,1],)" +
         R"("class_hold_us":[8700000,10500000],"clear_wait_us":500000,"network_form":"skills",)" +
         R"("resend_us":400000,"retry_hint":false,"route_advice":false,"self_no":-1,"skilled_pools":[[)" +
         pools + "],[" + pools +
         R"(]]},"invariants":{"answer_slack_us":20000,"cold_from":0.29,"drain_grace_us":500000,)" +
         R"("fall_multiple":3.0,"fall_us":3000000,"ramp_time_us":15000000},"limits":{"cancel":true,)" +
         R"("conn_idle_us":600000000,"connect_timeout_us":500000,"max_retry_after_us":2000000,)" +
         R"("most_held":20000,"most_tries":4,"peers":false,"probes":true,"retry_after":true,)" +
         R"("second_copies":false},"localities":["jakarta","surabaya"],"over_share_worth":0.05,)" +
         R"("report":{"columns":["idle","circuits","lat_ms","max_rate"],"source":"inline"},"round_us":5000,)" +
         R"("self_index":)" + std::to_string(index) + R"(,"siblings":5,"tenants":[)" +
         R"({"name":"toko-sinar","portion":0.64,"quota_per_s":22.0},)" +
         R"({"name":"pasar-maju","portion":0.2,"quota_per_s":7.0},)" +
         R"({"name":"warung-rejeki","portion":0.16,"quota_per_s":6.0}],"zone":0}})";
}

/// A call router, started by the deploy file's `run` from the repository's root.
struct Router {
  std::string name, listen = free_address(), diameter = free_address(), folder;
  bool has_operator_file = false;
  pid_t process = -1;

  Router(std::string router_name, const std::string& config_channel,
         const std::vector<std::pair<std::string, std::string>>& servers, unsigned index = 0)
      : name(std::move(router_name)), folder(variable("CASE_TMP") + "/" + name) {
    if (std::system(("mkdir -p " + folder + "/tmp").c_str()) != 0) std::exit(kNotRun);
    std::ofstream(folder + "/config.json") << config_text(name, listen, config_channel, servers, index);
  }
  void write_operator_file(const std::string& text) {
    std::ofstream(folder + "/operator.json") << text;
    has_operator_file = true;
  }
  void start() {
    process = fork();
    if (process != 0) {
      note("router %s started", name.c_str());
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("RELAY_NAME", name.c_str(), 1);
    setenv("RELAY_LISTEN", listen.c_str(), 1);
    setenv("RELAY_CONFIG", (folder + "/config.json").c_str(), 1);
    setenv("TMPDIR", (folder + "/tmp").c_str(), 1);
    if (freopen((folder + "/log").c_str(), "a", stdout) == nullptr || dup2(1, 2) < 0) _exit(127);
    for (int descriptor = 3; descriptor < 256; ++descriptor) ::close(descriptor);
    std::string command = variable("CASE_RUN");
    if (has_operator_file) command += " --operator " + folder + "/operator.json";
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  void kill_now() {
    if (process <= 0) return;
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    process = -1;
    note("router %s killed", name.c_str());
  }
  /// Whether the process still runs.
  bool is_running() { return process > 0 && ::waitpid(process, nullptr, WNOHANG) == 0; }
  ~Router() {
    if (process <= 0) return;
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
  }
};

// ---- callers over JSON lines ----------------------------------------------------------------------------

/// The text between `begin` and the next quotation mark that no backslash precedes.
inline std::string text_after(const std::string& line, const std::string& begin) {
  const auto at = line.find(begin);
  if (at == std::string::npos) return "";
  std::string text;
  for (auto i = at + begin.size(); i < line.size() && line[i] != '"'; ++i) {
    if (line[i] == '\\' && i + 1 < line.size()) {
      ++i;
      text += line[i] == 'r' ? '\r' : line[i] == 'n' ? '\n' : line[i];
    } else {
      text += line[i];
    }
  }
  return text;
}
inline std::string json_text(const std::string& text) {
  std::string out;
  for (const char c : text) out += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
  return out;
}

/// What a caller of one call has seen.
struct CallerView {
  Instant sent_at{}, answered_at{}, released_at{};
  int answers = 0;           ///< final answers: `ready`, or `close` before it
  bool stands = false;       ///< the last answer was `ready`
  std::string description;   ///< of the `ready`
  bool is_released = false;  ///< a `close` came after the `ready`
};

/// A program of callers with one connection.
struct JsonCallers {
  Link& link = new_link();
  std::map<std::string, CallerView> calls;
  int probes_passed = 0;
  Instant ended_at{};
  explicit JsonCallers(const std::string& router) {
    link.on_data = [this](Link& from) {
      std::size_t end = 0;
      while ((end = from.in.find('\n')) != std::string::npos) {
        on_line(from.in.substr(0, end));
        from.in.erase(0, end + 1);
      }
    };
    link.on_end = [this](Link&) {
      ended_at = net::Loop::now();
      note("callers: the router closed the connection");
    };
    link.tcp->connect(*net::parse_endpoint(router), milliseconds{500});
  }
  /// The line of a set-up.
  static std::string open_line(const std::string& id, unsigned pool, int left_ms,
                               const std::string& call_class = "balance-check") {
    return R"({"msg":"open","sid":")" + id + R"(","attrs":{"class":")" + call_class + R"(","left":")" +
           std::to_string(left_ms) + R"(","tenant":"toko-sinar","key":"7f3a9c21e0b4d655","extras":"dest:)" +
           std::to_string(pool) + R"(;width:1;via:-1"},"text":")" +
           json_text(id + "\r\nc=IN IP4 127.0.0.1\r\n") + "\"}\n";
  }
  void open(const std::string& id, unsigned pool, int left_ms) {
    calls[id].sent_at = net::Loop::now();
    note("callers: set-up %s, wait %d ms", id.c_str(), left_ms);
    link.send(open_line(id, pool, left_ms));
  }
  void on_line(const std::string& line) {
    const auto type = text_after(line, R"("msg":")");
    const auto id = text_after(line, R"("sid":")");
    if (type == "probed") ++probes_passed;
    if (!calls.contains(id) || (type != "ready" && type != "close")) return;
    note("callers: %s", line.c_str());
    auto& call = calls[id];
    if (type == "ready" || !call.stands) {
      ++call.answers;
      call.answered_at = net::Loop::now();
      call.stands = type == "ready";
      call.description = text_after(line, R"("text":")");
    } else {
      call.is_released = true;
      call.released_at = net::Loop::now();
      link.send(R"({"msg":"closed","sid":")" + id + "\",\"attrs\":{}}\n");
    }
  }
};
/// Waits until a call router passes a test. Returns false if it does not within 10 s.
inline bool wait_ready(const std::string& router) {
  for (int i = 0; i < 50; ++i) {
    auto* probe = new JsonCallers(router);
    probe->link.on_end = nullptr;
    run_until([&] { return probe->link.is_up || probe->link.has_ended; }, milliseconds{200});
    if (probe->link.is_up) {
      probe->link.send(R"({"msg":"probe","sid":"0000000000000001","attrs":{},"code":0})"
                       "\n");
      if (run_until([&] { return probe->probes_passed > 0; }, milliseconds{500})) {
        probe->link.close();
        return true;
      }
    }
    probe->link.close();
    run_for(milliseconds{100});
  }
  return false;
}
inline std::string call_id(unsigned number) {
  char text[17];
  std::snprintf(text, sizeof text, "c0ffee00%08x", number);
  return text;
}

// ---- Diameter -------------------------------------------------------------------------------------------

using diameter::AvpCode;
using diameter::Command;
using diameter::Message;
using diameter::RequestType;
using diameter::ResultCode;
using diameter::ServiceParameter;
using diameter::Writer;

/// Calls `handle` for each whole message of the input.
inline void each_message(Link& link, const std::function<void(const Message&)>& handle) {
  for (;;) {
    const std::string bytes = link.in;  // the message refers to it
    const auto read = diameter::read_message(bytes, 16 * 1024);
    if (read.state != diameter::ReadResult::State::kComplete) return;
    link.in.erase(0, read.size);
    handle(read.message);
  }
}
inline Writer& origin(Writer& writer, const std::string& host) {
  return writer.add(AvpCode::kOriginHost, host).add(AvpCode::kOriginRealm, "kartu.example");
}
inline void capabilities(Writer& writer, const std::string& host, std::uint32_t state_id) {
  origin(writer, host).add_address(AvpCode::kHostIpAddress, "127.0.0.1");
  writer.add(AvpCode::kVendorId, 0U).add(AvpCode::kProductName, "stand-in");
  writer.add(AvpCode::kOriginStateId, state_id)
      .add(AvpCode::kAuthApplicationId, diameter::kCreditControlApplication);
}

/// A session server that speaks Diameter. A session that stands ends after `hold` by an abort request of the
/// server, unless the router has terminated it.
struct DiameterServer {
  struct Session {
    std::string description;
    Link* link = nullptr;
    std::string caller_id;
    bool stands = false;
    bool ended_by_router = false;
    Instant ended_at{};
  };
  std::string host;
  Listener listener;
  std::map<std::string, Session> sessions;
  int peers_up = 0;
  milliseconds hold{10'000};
  /// May change the bytes of an answer and send more than the answer; by default the answer is sent.
  std::function<void(Link&, Session&, std::string)> send_answer =
      [](Link& link, Session&, std::string bytes) { link.send(std::move(bytes)); };

  explicit DiameterServer(std::string name) : host(std::move(name)) {
    listener.on_accept = [this](Link& link) {
      link.on_data = [this](Link& from) {
        each_message(from, [&](const Message& message) { on_message(from, message); });
      };
    };
  }
  void on_message(Link& from, const Message& message) {
    if (!message.is_request) return;
    auto answer = Writer::answer(message, ResultCode::kSuccess);
    if (message.has_command(Command::kCapabilitiesExchange)) {
      capabilities(answer, host, 1);
      from.send(answer.finish());
      ++peers_up;
    } else if (message.has_command(Command::kWatchdog) || message.has_command(Command::kDisconnect)) {
      origin(answer, host);
      from.send(answer.finish());
    } else if (message.has_command(Command::kCreditControl)) {
      on_credit_control(from, message);
    }
  }
  void on_credit_control(Link& from, const Message& message) {
    const std::string id(message.text(AvpCode::kSessionId));
    const auto type = static_cast<RequestType>(message.number(AvpCode::kCcRequestType).value_or(0));
    auto answer = Writer::answer(message, ResultCode::kSuccess);
    origin(answer, host).add(AvpCode::kAuthApplicationId, diameter::kCreditControlApplication);
    answer.add(AvpCode::kCcRequestType, static_cast<std::uint32_t>(type));
    answer.add(AvpCode::kCcRequestNumber, message.number(AvpCode::kCcRequestNumber).value_or(0));
    if (type == RequestType::kTermination) {
      auto found = sessions.find(id);
      note("%s: termination request for %s%s", host.c_str(), id.c_str(),
           found != sessions.end() && found->second.stands ? ", which stands: the session has ended" : "");
      if (found != sessions.end() && found->second.stands) {
        found->second.stands = false;
        found->second.ended_by_router = true;
        found->second.ended_at = net::Loop::now();
      }
      from.send(answer.finish());
      return;
    }
    auto& session = sessions[id];
    session.link = &from;
    session.caller_id = id.substr(id.rfind(';') + 1);
    session.description = session.caller_id + "\r\nc=IN IP4 127.0.0.2\r\n";
    answer.add_parameter(ServiceParameter::kDescription, session.description);
    note("%s: set-up %s", host.c_str(), id.c_str());
    after(milliseconds{20}, [this, id, &from, bytes = answer.finish()] {
      auto& answered = sessions[id];
      answered.stands = true;
      note("%s: session %s stands", host.c_str(), id.c_str());
      send_answer(from, answered, bytes);
      after(hold, [this, id] { end_session(id); });
    });
  }
  void end_session(const std::string& id) {
    auto& session = sessions[id];
    if (!session.stands) return;
    session.stands = false;
    session.ended_at = net::Loop::now();
    note("%s: session %s has come to its end: abort request", host.c_str(), id.c_str());
    static std::uint32_t next = 1000;
    auto request = Writer::request(Command::kAbortSession, diameter::kCreditControlApplication, next, next);
    ++next;
    origin(request.add(AvpCode::kSessionId, id), host);
    request.add(AvpCode::kDestinationRealm, "kartu.example")
        .add(AvpCode::kDestinationHost, "router-1.kartu.example");
    request.add(AvpCode::kAuthApplicationId, diameter::kCreditControlApplication);
    session.link->send(request.finish());
  }
};

/// A Diameter client with one connection at a time. Its sessions are known by their Session-Ids.
struct DiameterClient {
  struct Session {
    int answers = 0;  ///< answers to the initial request
    bool stands = false;
    bool is_released = false;  ///< by an abort request of the router
    Instant released_at{};
  };
  std::string host, router;
  Link* link = nullptr;
  std::map<std::string, Session> sessions;
  bool is_up = false;
  std::uint32_t next = 1;

  DiameterClient(std::string name, std::string router_address)
      : host(std::move(name)), router(std::move(router_address)) {}
  void connect() {
    is_up = false;
    link = &new_link();
    link->on_up = [this](Link& to) {
      auto request = Writer::request(Command::kCapabilitiesExchange, diameter::kBaseApplication, next, next);
      ++next;
      capabilities(request, host, 1);
      to.send(request.finish());
    };
    link->on_data = [this](Link& from) {
      each_message(from, [&](const Message& message) { on_message(from, message); });
    };
    link->tcp->connect(*net::parse_endpoint(router), milliseconds{500});
  }
  void open(const std::string& id, const std::string& number, const std::string& destination, int wait_ms) {
    sessions[id];
    note("%s: set-up %s, number %s, wait %d ms", host.c_str(), id.c_str(), number.c_str(), wait_ms);
    auto request = start(id, RequestType::kInitial, destination);
    request.add_group(AvpCode::kSubscriptionId, [&](Writer& group) {
      group.add(AvpCode::kSubscriptionIdType, 4U).add(AvpCode::kSubscriptionIdData, number);
    });
    request.add_parameter(ServiceParameter::kDescription, id + "\r\nc=IN IP4 127.0.0.1\r\n");
    request.add_parameter(ServiceParameter::kWaitMs, std::to_string(wait_ms));
    link->send(request.finish());
  }
  void terminate(const std::string& id) {
    note("%s: termination of %s", host.c_str(), id.c_str());
    link->send(start(id, RequestType::kTermination, "").add(AvpCode::kTerminationCause, 1U).finish());
  }
  void send_watchdog() {
    auto request = Writer::request(Command::kWatchdog, diameter::kBaseApplication, next, next);
    ++next;
    link->send(origin(request, host).add(AvpCode::kOriginStateId, 1U).finish());
  }
  int watchdog_answers = 0;

 private:
  Writer start(const std::string& id, RequestType type, const std::string& destination) {
    auto request = Writer::request(Command::kCreditControl, diameter::kCreditControlApplication, next, next);
    ++next;
    origin(request.add(AvpCode::kSessionId, id), host).add(AvpCode::kDestinationRealm, "kartu.example");
    if (!destination.empty()) request.add(AvpCode::kDestinationHost, destination);
    request.add(AvpCode::kAuthApplicationId, diameter::kCreditControlApplication);
    request.add(AvpCode::kServiceContextId, "balance-check@kartu.example");
    request.add(AvpCode::kCcRequestType, static_cast<std::uint32_t>(type));
    request.add(AvpCode::kCcRequestNumber, type == RequestType::kInitial ? 0U : 1U);
    return request;
  }
  void on_message(Link& from, const Message& message) {
    if (message.is_request) {
      auto answer = Writer::answer(message, ResultCode::kSuccess);
      if (message.has_command(Command::kAbortSession)) {
        const std::string id(message.text(AvpCode::kSessionId));
        note("%s: abort request for %s", host.c_str(), id.c_str());
        if (sessions.contains(id) && !sessions[id].is_released) {
          sessions[id].is_released = true;
          sessions[id].released_at = net::Loop::now();
        }
      }
      from.send(origin(answer, host).finish());
      return;
    }
    if (message.has_command(Command::kCapabilitiesExchange)) is_up = true;
    if (message.has_command(Command::kWatchdog)) ++watchdog_answers;
    const auto type = static_cast<RequestType>(message.number(AvpCode::kCcRequestType).value_or(0));
    if (!message.has_command(Command::kCreditControl) || type != RequestType::kInitial) return;
    const std::string id(message.text(AvpCode::kSessionId));
    const auto result = message.number(AvpCode::kResultCode).value_or(0);
    note("%s: answer to %s: %u", host.c_str(), id.c_str(), result);
    ++sessions[id].answers;
    sessions[id].stands = result / 1000 == 2;
  }
};

/// The operator's file with Diameter; `more` is added to the members of the file.
inline std::string operator_text(const std::string& host, const std::string& listen,
                                 const std::string& servers, const std::string& more = "") {
  return R"({"diameter":{"origin_host":")" + host + R"(","origin_realm":"kartu.example",)" +
         (listen.empty() ? "" : R"("listen":")" + listen + R"(",)") + R"("servers":[)" + servers +
         R"(],"watchdog_ms":6000,"tenants":{"kartu.example":"toko-sinar"}})" + more + "}";
}

// ---- SIP ------------------------------------------------------------------------------------------------

/// A session server that speaks SIP. It takes `answer_time` for a set-up, and `hold` after its answer it
/// releases the call on the connection of its set-up, otherwise on any open one.
struct SipServer {
  struct Call {
    bool stands = false;
    bool was_given_up = false;
    int set_ups = 0;
    std::string description;
    Instant ended_at{};
  };
  std::string name;
  Listener listener;
  std::vector<Link*> links;
  std::map<std::string, Call> calls;
  std::function<milliseconds(const std::string& id)> answer_time = [](const std::string&) {
    return milliseconds{20};
  };
  milliseconds hold{10'000};
  std::size_t lines = 200;

  explicit SipServer(std::string server_name) : name(std::move(server_name)) {
    listener.on_accept = [this](Link& link) {
      links.push_back(&link);
      link.on_up = [this](Link& up) { report(up); };
      link.on_data = [this](Link& from) { on_data(from); };
      link.on_end = [this](Link& from) { std::erase(links, &from); };
    };
  }
  [[nodiscard]] std::string occupancy() const {
    std::size_t standing = 0;
    for (const auto& [id, call] : calls) standing += call.stands ? 1 : 0;
    return "X-Occupancy: x0:" + std::to_string(lines - standing) + ";x1:" + std::to_string(lines) +
           ";latency_ms:5;qps:30\r\n";
  }
  /// Sends the state of the group now and every 500 ms.
  void report(Link& link) {
    if (link.has_ended) return;
    link.send("NOTIFY sip:load@net SIP/2.0\r\nVia: SIP/2.0/TCP " + name + "\r\nCall-ID: " + name +
              "\r\nCSeq: 1 NOTIFY\r\n" + occupancy() + "Content-Length: 0\r\n\r\n");
    after(milliseconds{500}, [this, &link] { report(link); });
  }
  static std::string header(const std::string& head, const std::string& field) {
    const auto at = head.find("\r\n" + field + ": ");
    if (at == std::string::npos) return "";
    const auto begin = at + field.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }
  void on_data(Link& from) {
    for (;;) {
      const auto end = from.in.find("\r\n\r\n");
      if (end == std::string::npos) return;
      const std::string head = from.in.substr(0, end + 2);
      const auto size = static_cast<std::size_t>(std::atoi(header(head, "Content-Length").c_str()));
      if (from.in.size() < end + 4 + size) return;
      const std::string body = from.in.substr(end + 4, size);
      from.in.erase(0, end + 4 + size);
      on_message(from, head, body);
    }
  }
  static std::string response(const std::string& head, const char* status, const std::string& more,
                              const std::string& body = "") {
    return std::string("SIP/2.0 ") + status + "\r\nVia: " + header(head, "Via") +
           "\r\nCall-ID: " + header(head, "Call-ID") + "\r\nCSeq: " + header(head, "CSeq") + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  void on_message(Link& from, const std::string& head, const std::string& /*body*/) {
    const auto method = head.substr(0, head.find(' '));
    const auto id = header(head, "Call-ID");
    if (method == "OPTIONS") {
      from.send(response(head, "200 OK", occupancy()));
    } else if (method == "INVITE") {
      note("%s: INVITE %s", name.c_str(), id.c_str());
      auto& call = calls[id];
      ++call.set_ups;
      call.was_given_up = false;
      after(answer_time(id), [this, id, head, &from] {
        auto& answered = calls[id];
        if (from.has_ended || answered.was_given_up) return;
        answered.stands = true;
        answered.description = id + "\r\nc=IN IP4 127.0.0.2\r\n";
        note("%s: 200 to INVITE %s", name.c_str(), id.c_str());
        from.send(response(head, "200 OK", occupancy(), answered.description));
        after(hold, [this, id, &from] { end_call(id, from); });
      });
    } else if (method == "CANCEL") {
      note("%s: CANCEL %s", name.c_str(), id.c_str());
      if (!calls[id].stands) calls[id].was_given_up = true;
      from.send(response(head, "200 OK", ""));
    } else if (method == "BYE") {
      note("%s: BYE %s from the router", name.c_str(), id.c_str());
      if (calls[id].stands) calls[id].ended_at = net::Loop::now();
      calls[id].stands = false;
      from.send(response(head, "200 OK", ""));
    }
  }
  void end_call(const std::string& id, Link& link) {
    auto& call = calls[id];
    if (!call.stands) return;
    call.stands = false;
    call.ended_at = net::Loop::now();
    Link* to = !link.has_ended ? &link : !links.empty() ? links.front() : nullptr;
    note("%s: BYE %s", name.c_str(), id.c_str());
    if (to != nullptr)
      to->send("BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP " + name + "\r\nCall-ID: " + id +
               "\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\n" + occupancy() + "Content-Length: 0\r\n\r\n");
  }
};

// ---- relay ----------------------------------------------------------------------------------------------

/// Passes bytes on between the router and one server. A pair can be silenced: it stays open and passes
/// nothing on.
struct Relay {
  struct Pair {
    Link& near;
    Link& far;
    bool is_silent = false;
  };
  Listener listener;
  std::vector<std::unique_ptr<Pair>> pairs;
  explicit Relay(std::string target) {
    listener.on_accept = [this, target](Link& near) {
      auto& pair = *pairs.emplace_back(std::make_unique<Pair>(Pair{near, new_link()}));
      const auto connect_passing = [&pair](Link& from, Link& to) {
        from.on_data = [&pair, &to](Link& source) {
          if (!pair.is_silent && to.is_up) to.send(std::exchange(source.in, {}));
          if (pair.is_silent) source.in.clear();
        };
        from.on_end = [&to](Link&) { to.close(); };
      };
      connect_passing(near, pair.far);
      connect_passing(pair.far, near);
      pair.far.on_up = [&pair](Link& far) { far.send(std::exchange(pair.near.in, {})); };
      pair.far.tcp->connect(*net::parse_endpoint(target), milliseconds{500});
    };
  }
  [[nodiscard]] std::string address() const { return listener.address(); }
};

// ---- the session API ------------------------------------------------------------------------------------

/// A session server of version 1 of the session API (docs/session-api.md).
struct SessionApiServer {
  struct Session {
    bool stands = false;
    bool ended_by_router = false;
    Instant ended_at{};
    std::string tag;  ///< its number, which tells the callers' sessions apart
  };
  std::string name;
  lab::Http2Server http2{loop()};
  std::map<std::string, Session> sessions;
  std::set<std::pair<void*, int>> given_up;  ///< streams of set-ups that were reset
  struct Stream {
    lab::Http2Server::Peer* peer;
    std::int32_t id;
  };
  std::vector<Stream> event_streams;
  std::uint64_t next_event = 1;
  milliseconds answer_time{20}, hold{12'000};

  explicit SessionApiServer(std::string server_name) : name(std::move(server_name)) {
    http2.on_request = [this](lab::Http2Server::Peer& peer, std::int32_t stream,
                              lab::Http2Server::Peer::Request& request) {
      on_request(peer, stream, request);
    };
    http2.on_reset = [this](lab::Http2Server::Peer& peer, std::int32_t stream,
                            lab::Http2Server::Peer::Request& request) {
      if (request.method == "POST") note("%s: set-up of stream %d given up", name.c_str(), stream);
      given_up.insert({&peer, stream});
    };
  }
  void on_request(lab::Http2Server::Peer& peer, std::int32_t stream,
                  lab::Http2Server::Peer::Request& request) {
    const lab::Http2Server::Headers json = {{"content-type", "application/json"}};
    if (request.path == "/versions") {
      peer.respond(stream, 200, json, R"({"versions":[1],"process":")" + name + "\"}");
    } else if (request.path == "/events") {
      peer.respond(stream, 200, {{"content-type", "text/event-stream"}}, ":\n\n", false);
      event_streams.push_back({&peer, stream});
    } else if (request.method == "POST") {
      const auto id = text_after(request.body, R"("id":")");
      const auto number = text_after(request.body, R"("number":")");
      note("%s: POST /sessions, id %s, number %s", name.c_str(), id.c_str(), number.c_str());
      after(answer_time, [this, &peer, stream, id, number, json] {
        if (peer.closed || given_up.contains({&peer, stream})) return;
        if (sessions[id].stands) {
          note("%s: 409: %s stands", name.c_str(), id.c_str());
          peer.respond(stream, 409, {{"content-type", "application/problem+json"}},
                       R"({"type":"id-in-use","title":"in use","status":409})");
          return;
        }
        note("%s: 201: session %s of number %s stands", name.c_str(), id.c_str(), number.c_str());
        sessions[id] = {true, false, {}, number};
        auto headers = json;
        headers.emplace_back("location", "/sessions/" + id);
        peer.respond(stream, 201, headers,
                     R"({"id":")" + id + R"(","description":")" +
                         json_text(id + "\r\nc=IN IP4 127.0.0.2\r\n") + "\"}");
        after(hold, [this, id, number] { end_session(id, number); });
      });
    } else if (request.method == "DELETE") {
      const auto id = request.path.substr(10, 16);
      const auto found = sessions.find(id);
      const bool stands = found != sessions.end() && found->second.stands;
      note("%s: %s %s%s", name.c_str(), request.method.c_str(), request.path.c_str(),
           stands ? (": 204, the session of number " + found->second.tag + " has ended").c_str() : ": 404");
      if (stands) {
        found->second.stands = false;
        found->second.ended_by_router = true;
        found->second.ended_at = net::Loop::now();
      }
      peer.respond(stream, stands ? 204 : 404, {}, "");
    } else {
      const auto id = request.path.substr(std::min<std::size_t>(10, request.path.size()));
      const bool stands = sessions.contains(id) && sessions[id].stands;
      peer.respond(stream, stands ? 200 : 404, json, "{}");
    }
  }
  void end_session(const std::string& id, const std::string& number) {
    auto& session = sessions[id];
    if (!session.stands || session.tag != number) return;
    session.stands = false;
    session.ended_at = net::Loop::now();
    note("%s: session %s has come to its end: event", name.c_str(), id.c_str());
    const auto event = "id: " + std::to_string(next_event++) + "\nevent: released\ndata: {\"id\": \"" + id +
                       "\", \"cause\": 16}\n\n";
    for (auto& stream : event_streams) {
      if (!stream.peer->closed) stream.peer->send_data(stream.id, event);
    }
  }
};

}  // namespace review
