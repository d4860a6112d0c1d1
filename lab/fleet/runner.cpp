#include "lab/fleet/runner.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "lab/fleet/config_text.hpp"
#include "lab/fleet/process.hpp"
#include "net/listen.hpp"

namespace amberknot::lab::fleet {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kReadyWithin = seconds{10};
// PROTOCOL and DAYS: SIGKILL comes no sooner than the longest deadline, which is 3 s here, plus 0.7 s.
constexpr Duration kKilledAfter = milliseconds{3700};
constexpr Duration kEndsWithin = milliseconds{4500};
constexpr Duration kLookEvery = milliseconds{10};

/// A port that stays ours while processes that listen there come and go: bound, shared and never listening.
class HeldPort {
 public:
  explicit HeldPort(asio::io_context& io) : socket_(io) {
    net::bind_shared(socket_, {asio::ip::address_v4::loopback(), 0});
    where_ = socket_.local_endpoint();
  }
  [[nodiscard]] const tcp::endpoint& where() const { return where_; }

 private:
  tcp::acceptor socket_;
  tcp::endpoint where_;
};

struct Router {
  std::string name;
  std::unique_ptr<HeldPort> port;
  std::unique_ptr<Channel> channel;
  std::vector<std::unique_ptr<StreamRelay>> to_servers;
  std::unique_ptr<Callers> callers;
  std::unique_ptr<Process> process;
  std::unique_ptr<Process> leaving;  ///< the one that `process` replaces
  std::size_t starts = 0;
  std::string folder;
  bool awaited = false;  ///< started, not yet ready
};

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options)
      : options_(options),
        started_(net::Loop::now()),
        scene_{loop_.io, [this] { return net::Loop::now() - started_; },
               [this](Event event) { note(std::move(event)); }},
        log_(spdlog::basic_logger_mt(options.folder, options.folder + "/history.jsonl", true)),
        watch_(scene_, options.times.max_late) {
    log_->set_pattern("%v");
  }
  ~Fleet() { spdlog::drop(options_.folder); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  FleetResult run() {
    // The schedule's clock starts when all are ready: until then the links know no faults.
    set_up();
    for (auto& router : routers_) start(router);
    wait_until([this] { return all_ready(); }, kReadyWithin, "a router was never ready");
    arm();
    const Duration end = scene_.now() + options_.schedule.length;
    for (auto& router : routers_) router.callers->call_until(end - options_.patience);
    wait_until([&] { return scene_.now() >= end; }, Duration::max(), "");
    stop_all();
    FleetResult result;
    result.history = merged({std::move(history_)});
    result.verdict = check(result.history, options_.times);
    result.relay = counts_;
    result.worst_late = watch_.worst();
    result.restarts = restarts_;
    log_->flush();
    return result;
  }

 private:
  void note(Event event) {
    log_->info(line_of(event));
    history_.push_back(std::move(event));
  }
  void note(const std::string& who, What what, std::int64_t number = 0) {
    note({scene_.now(), who, what, "", "", number, ""});
  }

  void set_up() {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < options_.servers; ++i) {
      servers_.push_back(std::make_unique<SipServer>(loop_, scene_, "s" + std::to_string(i), options_.traits,
                                                     options_.schedule.seed));
    }
    for (std::size_t i = 0; i < options_.routers; ++i) {
      auto& router = routers_.emplace_back();
      router.name = "n" + std::to_string(i);
      router.port = std::make_unique<HeldPort>(loop_.io);
      router.folder = options_.folder + "/" + router.name;
      std::filesystem::create_directories(router.folder + "/tmp");
      for (const auto& server : servers_) {
        router.to_servers.push_back(std::make_unique<StreamRelay>(scene_, moved_, router.name, server->name(),
                                                                  server->listen_for(router.name), counts_));
      }
      router.channel = std::make_unique<Channel>(loop_, nodes_text(router, "ready", {}, true));
    }
  }

  /// The list as one router hears it: each server stands behind that router's own relay.
  [[nodiscard]] std::string nodes_text(const Router& router, const std::string& state,
                                       const std::vector<std::string>& only, bool whole) const {
    std::string text;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const auto& name = servers_[i]->name();
      if (!whole && !covers(only, name)) continue;
      text += std::string(text.empty() ? "" : ",") + "{\"name\":\"" + name + "\",\"address\":\"" +
              net::text_of(router.to_servers[i]->where()) +
              "\",\"zone\":\"z\",\"type\":\"std\",\"group\":0,\"status\":\"" + state +
              "\",\"weight\":1,\"since_ms\":0}";
    }
    return std::string("{\"index\":1,\"snapshot\":") + (whole ? "true" : "false") + ",\"endpoints\":[" +
           text + "]}";
  }

  void write_config(const Router& router) const {
    std::ofstream(router.folder + "/config.json") << config_text(
        {router.name, net::text_of(router.port->where()), net::text_of(router.channel->where()),
         options_.schedule.seed, router.channel->known(), options_.routers},
        options_.times);
  }

  void start(Router& router) {
    write_config(router);
    router.awaited = true;
    note(router.name, What::kStarted);
    router.process = spawn(router);
    if (!router.callers) {
      router.callers = std::make_unique<Callers>(loop_, scene_, "c" + router.name.substr(1), router.name,
                                                 router.port->where(), options_.calls_per_s,
                                                 options_.patience, options_.schedule.seed);
    }
    router.callers->ask_ready();
  }

  /// Each process has a log of its own.
  static std::string log_of(const Router& router) {
    return router.folder + "/log-" + std::to_string(router.starts);
  }

  static std::string old_name(const Router& router) { return router.name + "-old"; }

  std::unique_ptr<Process> spawn(Router& router) {
    ++router.starts;
    return std::make_unique<Process>(
        std::vector<std::string>{options_.program},
        std::map<std::string, std::string>{{"RELAY_NAME", router.name},
                                           {"RELAY_LISTEN", net::text_of(router.port->where())},
                                           {"RELAY_CONFIG", router.folder + "/config.json"},
                                           {"RELAY_CONTROL", ""},
                                           {"TMPDIR", router.folder + "/tmp"}},
        log_of(router));
  }

  /// The second process shares the address and the folder for temporary files with the first.
  void replace(Router& router) {
    write_config(router);
    note(router.name, What::kStarted);
    router.leaving = std::move(router.process);
    router.process = spawn(router);
    hand_over(router, scene_.now() + kReadyWithin);
  }

  void hand_over(Router& router, Duration limit) {
    std::ifstream log(log_of(router));
    const std::string text((std::istreambuf_iterator<char>(log)), {});
    if (text.find(" serves callers at ") == std::string::npos) {
      if (scene_.now() > limit) throw std::runtime_error("a replacing process was never ready");
      at(scene_.now() + kLookEvery, [this, &router, limit] { hand_over(router, limit); });
      return;
    }
    // Under a name of its own: its end excuses nothing, since the other process serves all the while.
    note(old_name(router), What::kStopping);
    router.leaving->signal(SIGTERM);
    ++restarts_;
    at(scene_.now() + kKilledAfter, [this, &router] {
      if (!router.leaving) return;
      note(old_name(router), What::kKilled);
      router.leaving->signal(SIGKILL);
    });
  }

  bool all_ready() {
    bool all = true;
    for (auto& router : routers_) {
      look_at(router);
      all = all && !router.awaited;
    }
    return all;
  }

  void look_at(Router& router) {
    if (router.awaited && router.callers->ready()) {
      router.awaited = false;
      note(router.name, What::kReady);
    }
    for (auto* one : {&router.leaving, &router.process}) {
      if (!*one) continue;
      if (const auto status = (*one)->ended()) {
        note(one == &router.leaving ? old_name(router) : router.name, What::kExited, *status);
        one->reset();
      }
    }
  }

  /// The faults' times run from now on.
  void arm() {
    const Duration from = scene_.now();
    for (const auto& fault : options_.schedule.links) {
      auto moved = fault;
      moved.at += from;
      moved.until += from;
      moved_.links.push_back(moved);
      at(moved.at, [this, moved] { note_fault(moved, What::kFaultOn); });
      at(moved.until, [this, moved] { note_fault(moved, What::kFaultOff); });
    }
    moved_.seed = options_.schedule.seed;
    // Until now the links knew no faults.
    for (auto& router : routers_) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        router.to_servers[i]->follow(moved_, router.name, servers_[i]->name());
      }
    }
    for (const auto& fault : options_.schedule.nodes) {
      at(from + fault.at, [this, fault] { carry_out(fault); });
    }
  }

  void at(Duration moment, std::function<void()> what) {
    loop_.after(std::max<Duration>(moment - scene_.now(), Duration::zero()), std::move(what));
  }

  void note_fault(const LinkFault& fault, What what) {
    const auto pair = [&](const std::string& from, const std::string& to) {
      note({scene_.now(), from, what, "", to, 0, std::string(name_of(fault.kind))});
    };
    for (const auto& router : routers_) {
      for (const auto& server : servers_) {
        if (covers(fault, router.name, server->name())) pair(router.name, server->name());
        if (covers(fault, server->name(), router.name)) pair(server->name(), router.name);
      }
    }
  }

  void carry_out(const NodeFault& fault) {
    if (fault.kind == NodeFaultKind::kDrain) {
      drain(fault.nodes, "draining", What::kDrained);
      if (fault.back_after) {
        at(scene_.now() + *fault.back_after,
           [this, nodes = fault.nodes] { drain(nodes, "ready", What::kResumed); });
      }
      return;
    }
    for (auto& router : routers_) {
      if (!covers(fault.nodes, router.name) || !router.process) continue;
      if (fault.kind == NodeFaultKind::kReplace) {
        if (!router.leaving) replace(router);
        continue;
      }
      const bool ends = fault.kind != NodeFaultKind::kFreeze;
      note(router.name, fault.kind == NodeFaultKind::kCrash    ? What::kKilled
                        : fault.kind == NodeFaultKind::kFreeze ? What::kFrozen
                                                               : What::kStopping);
      router.process->signal(fault.kind == NodeFaultKind::kCrash    ? SIGKILL
                             : fault.kind == NodeFaultKind::kFreeze ? SIGSTOP
                                                                    : SIGTERM);
      if (!fault.back_after) continue;
      at(scene_.now() + *fault.back_after, [this, &router, ends] { bring_back(router, ends); });
    }
  }

  void bring_back(Router& router, bool ended) {
    if (!ended) {
      if (router.process) router.process->signal(SIGCONT);
      note(router.name, What::kThawed);
      return;
    }
    look_at(router);
    if (router.process) {  // it is still ending: later
      at(scene_.now() + kLookEvery, [this, &router] { bring_back(router, true); });
      return;
    }
    ++restarts_;
    start(router);
  }

  void drain(const std::vector<std::string>& nodes, const std::string& state, What what) {
    for (auto& router : routers_) router.channel->tell(nodes_text(router, state, nodes, false));
    for (const auto& server : servers_) {
      if (covers(nodes, server->name())) note(server->name(), what);
    }
  }

  void stop_all() {
    for (auto& router : routers_) {
      if (!router.process) continue;
      note(router.name, What::kStopping);
      router.process->signal(SIGCONT);
      router.process->signal(SIGTERM);
    }
    const Duration limit = scene_.now() + kEndsWithin;
    const auto ended = [this] {
      return std::none_of(routers_.begin(), routers_.end(),
                          [](const auto& one) { return one.process || one.leaving; });
    };
    wait_until([&] { return ended() || scene_.now() >= limit; }, Duration::max(), "");
    for (auto& router : routers_) {
      if (!router.process) continue;
      // No `killed` is noted: a process that does not end on SIGTERM is a fault of its own.
      router.process->signal(SIGKILL);
      while (!router.process->ended()) loop_.io.run_one_for(milliseconds{5});
      look_at(router);
    }
  }

  void wait_until(const std::function<bool()>& holds, Duration within, const char* fault) {
    const Duration from = scene_.now();
    while (!holds()) {
      if (within != Duration::max() && scene_.now() - from > within) throw std::runtime_error(fault);
      loop_.io.run_one_for(kLookEvery);
      for (auto& router : routers_) look_at(router);
    }
  }

  const FleetOptions& options_;
  net::Loop loop_;
  Instant started_;
  Scene scene_;
  std::shared_ptr<spdlog::logger> log_;
  History history_;
  Schedule moved_;  ///< with times of the run's clock
  RelayCounts counts_;
  LatenessWatch watch_;
  std::vector<std::unique_ptr<SipServer>> servers_;
  std::deque<Router> routers_;
  std::size_t restarts_ = 0;
};

}  // namespace

FleetResult run_fleet(const FleetOptions& options) {
  std::filesystem::create_directories(options.folder);
  return Fleet(options).run();
}

std::string summary_of(std::uint64_t seed, std::size_t nodes, const History& history, const Verdict& verdict,
                       const std::string& more) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> to(buffer);
  const auto count = [&](What what) {
    return std::count_if(history.begin(), history.end(),
                         [what](const Event& one) { return one.what == what; });
  };
  to.StartObject();
  to.Key("seed");
  to.Uint64(seed);
  to.Key("nodes");
  to.Uint64(nodes);
  to.Key("verdict");
  to.String(verdict.held() ? "held" : verdict.nothing_shown.empty() ? "broken" : "void");
  for (const auto what : {What::kSetUp, What::kAnswer, What::kRefused, What::kFailed, What::kLost,
                          What::kGaveUp, What::kInvite, What::kKilled, What::kFrozen, What::kDrained}) {
    to.Key(name_of(what).data());
    to.Int64(count(what));
  }
  std::size_t excused = 0;
  std::size_t broken = 0;
  for (const auto& rule : verdict.rules) {
    excused += rule.excused;
    broken += rule.violations.size();
  }
  to.Key("excused");
  to.Uint64(excused);
  to.Key("broken");
  to.Uint64(broken);
  to.EndObject();
  std::string text(buffer.GetString(), buffer.GetSize());
  if (!more.empty()) text.insert(text.size() - 1, "," + more);
  return text;
}

}  // namespace amberknot::lab::fleet
