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
#include "lab/fleet/operator.hpp"
#include "lab/fleet/process.hpp"
#include "net/listen.hpp"

namespace amberknot::lab::fleet {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kReadyTimeout = seconds{10};
// A process under AddressSanitizer searches for leaks after it has done everything else.
#if defined(__SANITIZE_ADDRESS__)
constexpr Duration kLeakCheckTime = milliseconds{800};
#else
constexpr Duration kLeakCheckTime{};
#endif
// At the end of a run all routers stop at once on one machine. They get more time than the platform gives
// one.
constexpr Duration kFinalExitAllowance = milliseconds{800};
constexpr std::size_t kCrowdConnections = 40;
constexpr std::size_t kCrowdCallsPerConnection = 3;
constexpr Duration kPollInterval = milliseconds{10};
// How long the front sends new connections to a router after a failed health check (the operators' page
// DAYS).
constexpr Duration kFrontReactionTime = milliseconds{200};

/// Reserves a port while processes that listen on it start and end. The socket is bound with the port shared,
/// and never listens.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io) : socket_(io) {
    net::bind_reusable_port(socket_, {asio::ip::address_v4::loopback(), 0});
    address_ = socket_.local_endpoint();
  }
  [[nodiscard]] const tcp::endpoint& address() const { return address_; }

 private:
  tcp::acceptor socket_;
  tcp::endpoint address_;
};

/// A router of the fleet, with its relay links, callers and processes.
struct Router {
  std::string name;
  std::unique_ptr<ReservedPort> port;
  std::unique_ptr<CommandChannel> channel;
  std::vector<std::unique_ptr<StreamRelay>> to_servers;
  std::vector<std::unique_ptr<Callers>> callers;
  /// Channels that the router has been moved away from. They say nothing new.
  std::vector<std::unique_ptr<CommandChannel>> retired_channels;
  std::shared_ptr<EstablishedCalls> established = std::make_shared<EstablishedCalls>();
  std::unique_ptr<HealthChecker> front;
  std::vector<std::unique_ptr<AdminCommand>> admin_commands;
  bool is_taking_callers = true;  ///< the result of the latest health check
  std::unique_ptr<Process> process;
  std::unique_ptr<Process> replaced_process;  ///< the process that `process` replaces
  std::size_t start_count = 0;
  std::string folder;
  bool is_starting = false;  ///< started, but not ready yet
  bool is_frozen = false;
  bool is_stopping = false;  ///< got SIGTERM and has not ended yet
};

/// One run of a fleet.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options)
      : options_(options),
        started_at_(net::Loop::now()),
        context_{loop_.io, [this] { return net::Loop::now() - started_at_; },
                 [this](Event event) { record(std::move(event)); }},
        log_(spdlog::basic_logger_mt(options.folder, options.folder + "/history.jsonl", true)),
        lateness_monitor_(context_, options.limits.max_relay_lateness) {
    log_->set_pattern("%v");
  }
  ~Fleet() { spdlog::drop(options_.folder); }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  FleetResult run() {
    // The times of the schedule count from when all routers are ready. Until then the links have no faults.
    create_fleet();
    for (auto& router : routers_) start(router);
    wait_until([this] { return are_all_ready(); }, kReadyTimeout,
               "fleet: a router did not become ready in time");
    start_schedule();
    start_fronts();
    const Duration end = context_.now() + options_.schedule.length;
    for (auto& router : routers_) {
      for (auto& callers : router.callers) callers->call_until(end - options_.callers.timeout);
    }
    wait_until([&] { return context_.now() >= end; }, Duration::max(), "");
    stop_all();
    FleetResult result;
    result.history = merge_by_time({std::move(history_)});
    RuleLimits limits = options_.limits;
    limits.max_exit_delay += kLeakCheckTime;
    result.verdict = check(result.history, limits);
    result.relay_counts = counts_;
    result.max_lateness = lateness_monitor_.max_lateness();
    result.restarts = restarts_;
    log_->flush();
    return result;
  }

 private:
  void record(Event event) {
    log_->info(to_json_line(event));
    history_.push_back(std::move(event));
  }
  void record(const std::string& who, EventKind kind, std::int64_t number = 0) {
    record({context_.now(), who, kind, "", "", number, ""});
  }

  void create_fleet() {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < options_.servers; ++i) {
      servers_.push_back(std::make_unique<SipServer>(loop_, context_, "s" + std::to_string(i),
                                                     options_.traits, options_.schedule.seed));
    }
    for (std::size_t i = 0; i < options_.routers; ++i) {
      auto& router = routers_.emplace_back();
      router.name = "n" + std::to_string(i);
      router.port = std::make_unique<ReservedPort>(loop_.io);
      router.folder = options_.folder + "/" + router.name;
      std::filesystem::create_directories(router.folder + "/tmp");
      for (const auto& server : servers_) {
        router.to_servers.push_back(std::make_unique<StreamRelay>(context_, shifted_schedule_, router.name,
                                                                  server->name(),
                                                                  server->listen_for(router.name), counts_));
      }
      router.channel = std::make_unique<CommandChannel>(loop_, endpoint_list_json(router, "ready", {}, true));
    }
  }

  /// Returns the endpoint list for one router, in which each server has the address of that router's own
  /// relay link.
  [[nodiscard]] std::string endpoint_list_json(const Router& router, const std::string& state,
                                               const std::vector<std::string>& server_patterns,
                                               bool is_snapshot) const {
    std::string text;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const auto& name = servers_[i]->name();
      if (!is_snapshot && !covers(server_patterns, name)) continue;
      text += std::string(text.empty() ? "" : ",") + "{\"name\":\"" + name + "\",\"address\":\"" +
              net::to_text(router.to_servers[i]->listen_endpoint()) +
              "\",\"zone\":\"z\",\"type\":\"std\",\"group\":" + std::to_string(i) + ",\"status\":\"" + state +
              "\",\"weight\":1,\"since_ms\":" + std::to_string(started_unix_ms(name)) + "}";
    }
    return std::string("{\"index\":1,\"snapshot\":") + (is_snapshot ? "true" : "false") + ",\"endpoints\":[" +
           text + "]}";
  }

  /// Returns when the server's process was started again; zero if it was not.
  [[nodiscard]] std::int64_t started_unix_ms(const std::string& server) const {
    const auto found = started_unix_ms_.find(server);
    return found == started_unix_ms_.end() ? 0 : found->second;
  }

  void write_config(const Router& router) const {
    std::ofstream(router.folder + "/config.json") << config_text(
        {router.name, net::to_text(router.port->address()), net::to_text(router.channel->address()),
         options_.schedule.seed, router.channel->known_events(), options_.routers, options_.servers},
        options_.limits);
  }

  void start(Router& router) {
    write_config(router);
    router.is_starting = true;
    record(router.name, EventKind::kStarted);
    router.process = spawn(router);
    while (router.callers.size() < options_.connections) add_callers(router, caller_traits());
    router.callers.front()->request_readiness();
  }

  /// Opens one more connection of callers to the router.
  Callers& add_callers(Router& router, const CallerTraits& traits) {
    std::string name = "c" + router.name.substr(1);
    if (!router.callers.empty()) name += "." + std::to_string(router.callers.size());
    router.callers.push_back(std::make_unique<Callers>(loop_, context_, std::move(name), router.name,
                                                       router.port->address(), traits, options_.schedule.seed,
                                                       router.established));
    if (!router.is_taking_callers) router.callers.back()->set_admitted(false);
    return *router.callers.back();
  }

  /// Without a destination of their own for every server, all calls would go to the first one while it has
  /// room, and faults of the others would hit servers without calls.
  [[nodiscard]] CallerTraits caller_traits() const {
    auto traits = options_.callers;
    traits.destinations = servers_.size();
    traits.calls_per_s /= static_cast<double>(options_.connections);
    return traits;
  }

  /// Each process has its own log file.
  static std::string log_path(const Router& router) {
    return router.folder + "/log-" + std::to_string(router.start_count);
  }

  /// Returns the name of the replaced process in the history.
  static std::string replaced_name(const Router& router) { return router.name + "-old"; }

  std::unique_ptr<Process> spawn(Router& router) {
    ++router.start_count;
    return std::make_unique<Process>(
        std::vector<std::string>{options_.program},
        std::map<std::string, std::string>{{"RELAY_NAME", router.name},
                                           {"RELAY_LISTEN", net::to_text(router.port->address())},
                                           {"RELAY_CONFIG", router.folder + "/config.json"},
                                           {"RELAY_CONTROL", "127.0.0.1:0"},
                                           {"TMPDIR", router.folder + "/tmp"}},
        log_path(router));
  }

  /// Sends health checks to the routers of a schedule with drains by operators, as the front does.
  void start_fronts() {
    const auto& faults = options_.schedule.nodes;
    const bool has_drains = std::any_of(faults.begin(), faults.end(), [](const NodeFault& fault) {
      return fault.kind == NodeFaultKind::kStandby;
    });
    if (!has_drains) return;
    for (auto& router : routers_) {
      router.front = std::make_unique<HealthChecker>(
          loop_, router.port->address(), [this, &router](bool has_passed) { on_health(router, has_passed); });
    }
  }

  void on_health(Router& router, bool has_passed) {
    record({context_.now(), "front",
            has_passed ? EventKind::kHealthCheckPassed : EventKind::kHealthCheckFailed, "", router.name, 0,
            ""});
    if (std::exchange(router.is_taking_callers, has_passed) == has_passed) return;
    schedule_at(context_.now() + (has_passed ? Duration{} : kFrontReactionTime), [&router] {
      for (auto& callers : router.callers) callers->set_admitted(router.is_taking_callers);
    });
  }

  /// Sends the router an admin command and records it and the reply.
  void send_admin_command(Router& router, EventKind kind) {
    const auto address = admin_address(router);
    const bool is_serving = router.process && !router.is_starting && !router.is_stopping && !router.is_frozen;
    if (!address || !is_serving) return;
    record(router.name, kind);
    router.admin_commands.push_back(std::make_unique<AdminCommand>(
        loop_, *address, std::string(name_of(kind)), [this, &router](const std::string& reply) {
          record({context_.now(), router.name, EventKind::kAdminReply, "", "", 0, reply});
        }));
  }

  /// Returns the address of the admin server as the log of the router's process states it.
  static std::optional<tcp::endpoint> admin_address(const Router& router) {
    constexpr std::string_view kPrefix = "admin: listening at ";
    std::ifstream log(log_path(router));
    for (std::string line; std::getline(log, line);) {
      const auto position = line.find(kPrefix);
      if (position != std::string::npos) return net::parse_endpoint(line.substr(position + kPrefix.size()));
    }
    return std::nullopt;
  }

  /// Starts a second process, which shares the listening address and the temporary folder with the first.
  void replace(Router& router) {
    write_config(router);
    record(router.name, EventKind::kStarted);
    router.replaced_process = std::move(router.process);
    router.process = spawn(router);
    stop_replaced_process_when_ready(router, context_.now() + kReadyTimeout);
  }

  /// Stops the replaced process once the log of the new one shows that it serves callers. Throws
  /// std::runtime_error if it does not by `limit`.
  void stop_replaced_process_when_ready(Router& router, Duration limit) {
    std::ifstream log(log_path(router));
    const std::string text((std::istreambuf_iterator<char>(log)), {});
    if (text.find(" serves callers at ") == std::string::npos) {
      if (context_.now() > limit)
        throw std::runtime_error("fleet: a replacing process did not become ready in time");
      schedule_at(context_.now() + kPollInterval,
                  [this, &router, limit] { stop_replaced_process_when_ready(router, limit); });
      return;
    }
    // Recorded under its own name, since its end excuses nothing: the other process serves all the time.
    record(replaced_name(router), EventKind::kStopping);
    router.replaced_process->send_signal(SIGTERM);
    ++restarts_;
    schedule_at(context_.now() + earliest_kill_delay(options_.limits), [this, &router] {
      if (!router.replaced_process) return;
      record(replaced_name(router), EventKind::kKilled);
      router.replaced_process->send_signal(SIGKILL);
    });
  }

  bool are_all_ready() {
    bool all = true;
    for (auto& router : routers_) {
      update_processes(router);
      all = all && !router.is_starting;
    }
    return all;
  }

  /// Records that the router is ready and that its processes have ended, where this is new.
  void update_processes(Router& router) {
    if (router.is_starting && router.callers.front()->is_ready()) {
      router.is_starting = false;
      record(router.name, EventKind::kReady);
    }
    for (auto* process : {&router.replaced_process, &router.process}) {
      if (!*process) continue;
      if (const auto status = (*process)->exit_status()) {
        record(process == &router.replaced_process ? replaced_name(router) : router.name, EventKind::kExited,
               *status);
        if (process == &router.process) router.is_stopping = false;
        process->reset();
      }
    }
  }

  /// Starts the schedule: the times of its faults count from now on.
  void start_schedule() {
    const Duration from = context_.now();
    for (const auto& fault : options_.schedule.links) {
      auto shifted_fault = fault;
      shifted_fault.at += from;
      shifted_fault.until += from;
      shifted_schedule_.links.push_back(shifted_fault);
      schedule_at(shifted_fault.at,
                  [this, shifted_fault] { record_fault(shifted_fault, EventKind::kFaultOn); });
      schedule_at(shifted_fault.until,
                  [this, shifted_fault] { record_fault(shifted_fault, EventKind::kFaultOff); });
    }
    shifted_schedule_.seed = options_.schedule.seed;
    // Until now the links had no faults.
    for (auto& router : routers_) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        router.to_servers[i]->set_schedule(shifted_schedule_, router.name, servers_[i]->name());
      }
    }
    for (const auto& fault : options_.schedule.nodes) {
      schedule_at(from + fault.at, [this, fault] { apply_node_fault(fault); });
    }
  }

  void schedule_at(Duration time, std::function<void()> action) {
    loop_.run_after(std::max<Duration>(time - context_.now(), Duration::zero()), std::move(action));
  }

  void record_fault(const LinkFault& fault, EventKind kind) {
    const auto record_direction = [&](const std::string& from, const std::string& to) {
      record({context_.now(), from, kind, "", to, 0, std::string(name_of(fault.kind))});
    };
    for (const auto& router : routers_) {
      for (const auto& server : servers_) {
        if (covers(fault, router.name, server->name())) record_direction(router.name, server->name());
        if (covers(fault, server->name(), router.name)) record_direction(server->name(), router.name);
      }
    }
  }

  /// Applies the fault now and schedules its end.
  void apply_node_fault(const NodeFault& fault) {
    if (fault.kind == NodeFaultKind::kDrain) {
      publish_state(fault.nodes, "draining", EventKind::kDrained);
      if (fault.back_after) {
        schedule_at(context_.now() + *fault.back_after,
                    [this, nodes = fault.nodes] { publish_state(nodes, "ready", EventKind::kResumed); });
      }
      return;
    }
    if (is_channel_fault(fault.kind)) {
      break_channels(fault);
      return;
    }
    if (fault.kind == NodeFaultKind::kVanish || fault.kind == NodeFaultKind::kDie) {
      lose_servers(fault);
      return;
    }
    for (auto& router : routers_) {
      if (!covers(fault.nodes, router.name) || !router.process) continue;
      if (fault.kind == NodeFaultKind::kStandby) {
        drain_router(router, fault);
        continue;
      }
      if (fault.kind == NodeFaultKind::kReload) {
        reload(router);
        continue;
      }
      if (fault.kind == NodeFaultKind::kCrowd) {
        for (std::size_t i = 0; i < kCrowdConnections; ++i)
          add_callers(router, caller_traits()).call_at_once(kCrowdCallsPerConnection);
        continue;
      }
      // A router that is stopping, frozen or not ready yet gets no further fault: a frozen one would learn of
      // its SIGTERM too late.
      if (router.is_starting || router.is_stopping || router.is_frozen) continue;
      if (fault.kind == NodeFaultKind::kReplace) {
        if (!router.replaced_process) replace(router);
        continue;
      }
      const bool stops_process = fault.kind != NodeFaultKind::kFreeze;
      record(router.name, fault.kind == NodeFaultKind::kCrash    ? EventKind::kKilled
                          : fault.kind == NodeFaultKind::kFreeze ? EventKind::kFrozen
                                                                 : EventKind::kStopping);
      router.process->send_signal(fault.kind == NodeFaultKind::kCrash    ? SIGKILL
                                  : fault.kind == NodeFaultKind::kFreeze ? SIGSTOP
                                                                         : SIGTERM);
      if (fault.kind == NodeFaultKind::kStop) kill_when_overdue(router);
      router.is_frozen = fault.kind == NodeFaultKind::kFreeze;
      if (!fault.back_after) continue;
      schedule_at(context_.now() + *fault.back_after,
                  [this, &router, stops_process] { restore(router, stops_process); });
    }
  }

  void drain_router(Router& router, const NodeFault& fault) {
    send_admin_command(router, EventKind::kStandby);
    if (!fault.back_after) return;
    schedule_at(context_.now() + *fault.back_after,
                [this, &router] { send_admin_command(router, EventKind::kActive); });
  }

  /// Sends SIGKILL at the earliest time at which the platform may do so after SIGTERM.
  void kill_when_overdue(Router& router) {
    router.is_stopping = true;
    const auto stopped_process = router.start_count;
    schedule_at(context_.now() + earliest_kill_delay(options_.limits) + kLeakCheckTime, [=, this, &router] {
      update_processes(router);
      // By now another process may have been started, and be stopping as well.
      if (router.start_count != stopped_process || !router.is_stopping || !router.process) return;
      record(router.name, EventKind::kOverdue);
      router.process->send_signal(SIGKILL);
    });
  }

  /// Moves the router's command channel to another address by a new configuration.
  void reload(Router& router) {
    auto channel = std::make_unique<CommandChannel>(loop_, "");
    channel->set_events(router.channel->events());
    router.retired_channels.push_back(std::exchange(router.channel, std::move(channel)));
    write_config(router);
    router.process->send_signal(SIGHUP);
  }

  static bool is_channel_fault(NodeFaultKind kind) {
    return kind == NodeFaultKind::kMute || kind == NodeFaultKind::kChannelDown;
  }

  void break_channels(const NodeFault& fault) {
    for (auto& router : routers_) {
      if (covers(fault.nodes, router.name)) set_channel_broken(router, fault, true);
    }
    if (!fault.back_after) return;
    schedule_at(context_.now() + *fault.back_after, [this, fault] {
      for (auto& router : routers_) {
        if (covers(fault.nodes, router.name)) set_channel_broken(router, fault, false);
      }
    });
  }

  void set_channel_broken(Router& router, const NodeFault& fault, bool is_broken) {
    record({context_.now(), router.name, is_broken ? EventKind::kFaultOn : EventKind::kFaultOff, "",
            "channel", 0, std::string(name_of(fault.kind))});
    if (fault.kind == NodeFaultKind::kMute) {
      router.channel->set_silent(is_broken);
    } else {
      router.channel->set_down(is_broken);
    }
  }

  /// Lets servers vanish or die, and schedules what the endpoint list says of it and their return.
  void lose_servers(const NodeFault& fault) {
    const bool is_silent = fault.kind == NodeFaultKind::kVanish;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (!covers(fault.nodes, servers_[i]->name()) || !lost_servers_.insert(i).second) continue;
      record(servers_[i]->name(), is_silent ? EventKind::kVanished : EventKind::kDied);
      servers_[i]->lose_calls();
      set_target_state(i, is_silent ? TargetState::kSilent : TargetState::kDead);
      const std::string name = servers_[i]->name();
      if (fault.listed_after) {
        schedule_at(context_.now() + *fault.listed_after, [this, i, name] {
          if (lost_servers_.contains(i)) publish_state({name}, "gone", EventKind::kUnlisted);
        });
      }
      if (fault.back_after) schedule_at(context_.now() + *fault.back_after, [this, i] { return_server(i); });
    }
  }

  void return_server(std::size_t index) {
    const auto& name = servers_[index]->name();
    lost_servers_.erase(index);
    record(name, EventKind::kReturned);
    set_target_state(index, TargetState::kUp);
    started_unix_ms_[name] = net::Loop::unix_ms();
    publish_state({name}, "ready", EventKind::kResumed);
  }

  void set_target_state(std::size_t server, TargetState state) {
    for (auto& router : routers_) router.to_servers[server]->set_target_state(state);
  }

  /// Resumes a frozen router, or starts a stopped one again once its process has ended.
  void restore(Router& router, bool has_ended) {
    if (!has_ended) {
      if (router.process) router.process->send_signal(SIGCONT);
      router.is_frozen = false;
      record(router.name, EventKind::kThawed);
      return;
    }
    update_processes(router);
    if (is_ending_) return;
    if (router.process) {  // it has not ended yet; checks again later
      schedule_at(context_.now() + kPollInterval, [this, &router] { restore(router, true); });
      return;
    }
    ++restarts_;
    start(router);
  }

  /// Sends the new state of the servers to all routers and records it.
  void publish_state(const std::vector<std::string>& nodes, const std::string& state, EventKind kind) {
    for (auto& router : routers_) router.channel->publish(endpoint_list_json(router, state, nodes, false));
    for (const auto& server : servers_) {
      if (covers(nodes, server->name())) record(server->name(), kind);
    }
  }

  /// Sends SIGTERM to the current process of each router, and SIGKILL to those that have not ended after
  /// kExitTimeout.
  void stop_all() {
    is_ending_ = true;
    for (auto& router : routers_) {
      if (!router.process) continue;
      record(router.name, EventKind::kStopping);
      router.process->send_signal(SIGCONT);
      router.process->send_signal(SIGTERM);
    }
    const Duration limit = context_.now() + earliest_kill_delay(options_.limits) + kFinalExitAllowance;
    const auto has_ended = [this] {
      return std::none_of(routers_.begin(), routers_.end(),
                          [](const auto& router) { return router.process || router.replaced_process; });
    };
    wait_until([&] { return has_ended() || context_.now() >= limit; }, Duration::max(), "");
    for (auto& router : routers_) {
      if (!router.process) continue;
      // Not recorded as killed, since a process that does not end after SIGTERM breaks a rule.
      router.process->send_signal(SIGKILL);
      while (!router.process->exit_status()) loop_.io.run_one_for(milliseconds{5});
      update_processes(router);
    }
  }

  /// Runs the event loop until the condition holds. Throws std::runtime_error after the timeout.
  void wait_until(const std::function<bool()>& condition, Duration timeout, const char* error_message) {
    const Duration from = context_.now();
    while (!condition()) {
      if (timeout != Duration::max() && context_.now() - from > timeout)
        throw std::runtime_error(error_message);
      loop_.io.run_one_for(kPollInterval);
      for (auto& router : routers_) update_processes(router);
    }
  }

  const FleetOptions& options_;
  net::Loop loop_;
  Instant started_at_;
  RunContext context_;
  std::shared_ptr<spdlog::logger> log_;
  History history_;
  Schedule shifted_schedule_;  ///< the schedule with times of the run's clock
  RelayCounts counts_;
  LatenessMonitor lateness_monitor_;
  std::vector<std::unique_ptr<SipServer>> servers_;
  std::set<std::size_t> lost_servers_;
  std::map<std::string, std::int64_t> started_unix_ms_;  ///< of the servers that were lost and have returned
  std::deque<Router> routers_;
  std::size_t restarts_ = 0;
  bool is_ending_ = false;  ///< the run is over, and no router is started again
};

}  // namespace

FleetResult run_fleet(const FleetOptions& options) {
  std::filesystem::create_directories(options.folder);
  return Fleet(options).run();
}

FleetOptions soak_options(std::uint64_t seed, Duration length) {
  Random random(seed, "soak");
  FleetOptions options;
  options.routers = 3 + random.below(3);
  options.servers = 3 + random.below(2);
  options.connections = 6;
  options.callers = {.calls_per_s = 12 + 8 * random.uniform(),
                     .give_up_share = 0.1,
                     .leave_share = 0.2,
                     .pieces_share = 0.2};
  options.traits.mean_answer_time = milliseconds{10 + static_cast<std::int64_t>(random.below(60))};
  options.traits.mean_call_time = milliseconds{1500 + static_cast<std::int64_t>(random.below(4500))};
  if (seed % 2 == 1) {
    options.limits.class_deadline = milliseconds{400};
    options.callers.timeout = milliseconds{400};
  }
  options.schedule = generate_dense_schedule(seed, options.routers, options.servers, length);
  return options;
}

std::string summary_line(std::uint64_t seed, std::size_t nodes, const History& history,
                         const Verdict& verdict, const std::string& further_members) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  const auto count = [&](EventKind kind) {
    return std::count_if(history.begin(), history.end(),
                         [kind](const Event& event) { return event.kind == kind; });
  };
  json.StartObject();
  json.Key("seed");
  json.Uint64(seed);
  json.Key("nodes");
  json.Uint64(nodes);
  json.Key("verdict");
  json.String(verdict.has_passed() ? "held" : verdict.inconclusive_reason.empty() ? "broken" : "void");
  for (const auto kind : {EventKind::kSetUp, EventKind::kAnswer, EventKind::kRejected, EventKind::kFailed,
                          EventKind::kLost, EventKind::kGaveUp, EventKind::kInvite, EventKind::kKilled,
                          EventKind::kFrozen, EventKind::kDrained}) {
    json.Key(name_of(kind).data());
    json.Int64(count(kind));
  }
  std::size_t excused = 0;
  std::size_t violations = 0;
  for (const auto& rule : verdict.rules) {
    excused += rule.excused;
    violations += rule.violations.size();
  }
  json.Key("excused");
  json.Uint64(excused);
  json.Key("broken");
  json.Uint64(violations);
  json.EndObject();
  std::string text(buffer.GetString(), buffer.GetSize());
  if (!further_members.empty()) text.insert(text.size() - 1, "," + further_members);
  return text;
}

}  // namespace amberknot::lab::fleet
