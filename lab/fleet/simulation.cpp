#include "lab/fleet/simulation.hpp"

#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <unordered_map>

#include "app/config.hpp"
#include "core/call_table.hpp"
#include "lab/fleet/config_text.hpp"

namespace amberknot::lab::fleet {
namespace {

using std::chrono::milliseconds;
using ActionKind = StreamAction::Kind;

// Time from the start of a router process until it is ready, as on an idle machine.
constexpr Duration kStartupTime = milliseconds{20};
constexpr Duration kReleaseResendInterval = milliseconds{200};
// The simulation's clock does not start at zero, since the module takes an instant of zero as not set.
constexpr Instant kOrigin{std::chrono::seconds{1000}};

struct Node;

/// An attempt in transit between a router and a server. `start_number` identifies the process of the router
/// that made it.
struct AttemptInTransit {
  std::size_t router = 0;
  std::uint64_t start_number = 0;
  core::AttemptId ref;
  std::string id;
};

bool needs_processes(NodeFaultKind kind) {
  switch (kind) {
    case NodeFaultKind::kCrash:
    case NodeFaultKind::kFreeze:
    case NodeFaultKind::kDrain:
      return false;
    default:
      return true;
  }
}

/// The router's ports to the servers and to its callers.
class RouterPorts : public core::UpstreamPool, public core::ClientPort {
 public:
  explicit RouterPorts(Node& node) : node_(node) {}
  void set_up(const core::OutgoingSetUp& set_up) override;
  bool cancel(const core::AttemptId& attempt) override;
  void release(const core::AttemptId& attempt, core::Cause cause) override;
  void forget_attempt(const core::AttemptId& /*attempt*/) override {}
  void check_health(ServerId server) override;
  void on_endpoint_changed(const core::Endpoint& /*server*/) override {}
  void forget_server(ServerId /*server*/) override {}
  bool answer(CallId call, std::string_view description) override;
  void reject(CallId call, core::Reason reason, Duration retry_after) override;
  void fail(CallId call, core::Reason reason) override;
  void release(CallId call, core::Cause cause) override;

 private:
  Node& node_;
};

class Simulation;

/// Requests that a simulated router remembers as executed.
constexpr std::size_t kMaxExecutedCalls = 10'000;

/// The state of one process of a router, from its start to its end.
struct RouterInstance {
  RouterInstance(Node& node, const Settings& settings, Instant now, core::CallTable::Clock clock)
      : ports(node),
        dispatcher(settings, now),
        wheel(now),
        table(dispatcher, servers, wheel, counters, std::move(clock), kMaxExecutedCalls) {}
  RouterPorts ports;
  core::Dispatcher dispatcher;
  core::EndpointRegistry servers;
  core::Counters counters;
  core::TimerWheel wheel;
  core::CallTable table;
  std::unordered_map<CallId, std::string> ids;  ///< the callers' ids of the calls
};

/// A router and its callers.
struct Node {
  Node(Simulation& owner, std::size_t index, std::uint64_t seed)
      : simulation(owner),
        index(index),
        name("n" + std::to_string(index)),
        caller("c" + std::to_string(index)),
        random(seed, caller) {}
  Simulation& simulation;
  std::size_t index;
  std::string name, caller;
  Random random;
  std::unique_ptr<RouterInstance> instance;
  std::uint64_t start_count = 0;
  bool is_frozen = false;
  std::vector<std::function<void()>> deferred_actions;  ///< to run once the process is resumed
  std::unordered_map<std::string, CallId> pending;      ///< set-ups without an answer, by call id
};

/// A session server.
struct Server {
  struct Call {
    AttemptInTransit attempt;
    bool is_established = false;
    std::uint64_t number = 0;  ///< distinguishes calls with the same id
  };
  std::string name;
  Random random;
  EndpointState state = EndpointState::kReady;
  std::unordered_map<std::string, Call> calls;
  std::size_t set_ups_in_progress = 0;
  std::uint64_t answer_count = 0, call_count = 0;
};

/// One run: an event loop over simulated time.
class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options) : options_(options) {
    const auto config =
        app::read_config(config_text({"n0", "127.0.0.1:1", "127.0.0.1:1", options.schedule.seed,
                                      ConfigValues().known, options.routers, options.servers},
                                     options.limits),
                         "", "");
    settings_ = config.settings;
    for (const auto& fault : options.schedule.nodes) {
      if (needs_processes(fault.kind)) {
        throw ScheduleError("schedule: nodes: " + std::string(name_of(fault.kind)) +
                            " is not supported by the simulation; it needs real processes");
      }
    }
  }

  SimulationResult run() {
    for (std::size_t i = 0; i < options_.servers; ++i) {
      const auto name = "s" + std::to_string(i);
      servers_.push_back({name, Random(options_.schedule.seed, name), EndpointState::kReady, {}, 0, 0, 0});
    }
    for (std::size_t i = 0; i < options_.routers; ++i) {
      auto& node = nodes_.emplace_back(*this, i, options_.schedule.seed);
      record(node.name, EventKind::kStarted);
      start_instance(node);
      schedule_next_call(node);
    }
    for (const auto& fault : options_.schedule.links) {
      schedule_at(fault.at, [this, &fault] { apply_link_fault(fault, EventKind::kFaultOn); });
      schedule_at(fault.until, [this, &fault] { apply_link_fault(fault, EventKind::kFaultOff); });
    }
    for (const auto& fault : options_.schedule.nodes) {
      schedule_at(fault.at, [this, &fault] { apply_node_fault(fault); });
    }
    tick();
    const Duration end = options_.schedule.length;
    SimulationResult result;
    while (!steps_.empty() && steps_.top().time <= end) {
      // The function is moved out before it runs, since it may add steps.
      auto step = std::move(const_cast<Step&>(steps_.top()));
      steps_.pop();
      now_ = step.time;
      ++result.steps;
      step.action();
    }
    result.history = std::move(history_);
    result.verdict = check(result.history, options_.limits);
    return result;
  }

  // Actions of the routers.
  void send_invite(Node& node, const core::OutgoingSetUp& set_up) {
    const auto server = static_cast<std::size_t>(set_up.attempt.server);
    const AttemptInTransit attempt{node.index, node.start_count, set_up.attempt, std::string(set_up.id)};
    const bool is_sent =
        send_to_server(attempt, server, [this, attempt, server] { on_invite(attempt, server); });
    // The call table does not allow a report during set_up(), so the failure is reported afterwards.
    if (!is_sent)
      schedule_at(now_, [this, attempt] {
        run_in_router(attempt, [attempt](RouterInstance& instance) {
          instance.table.on_attempt_ended(attempt.ref, reset_end());
        });
      });
  }
  void send_end(Node& node, const core::AttemptId& ref, bool cancelled) {
    const auto found = node.instance->ids.find(ref.call);
    if (found == node.instance->ids.end()) return;
    const auto server = static_cast<std::size_t>(ref.server);
    const AttemptInTransit attempt{node.index, node.start_count, ref, found->second};
    send_to_server(attempt, server,
                   [this, attempt, server, cancelled] { on_end(attempt, server, cancelled); });
  }
  void send_health_check(Node& node, ServerId id) {
    const auto server = static_cast<std::size_t>(id);
    const AttemptInTransit attempt{node.index, node.start_count, {}, ""};
    const Duration from = now_;
    send_to_server(attempt, server, [this, attempt, server, id, from] {
      send_to_router(attempt, server, [this, id, from](RouterInstance& instance) {
        instance.table.on_health_check_result(id, Outcome::kOk, now_ - from, {});
      });
    });
  }
  void report_to_caller(Node& node, CallId call, EventKind kind, std::int64_t number, std::string text = {}) {
    const auto found = node.instance->ids.find(call);
    if (found == node.instance->ids.end()) return;
    record({now_, node.caller, kind, found->second, node.name, number, std::move(text)});
    node.pending.erase(found->second);
    if (kind != EventKind::kAnswer)
      schedule_at(now_, [this, &node, call, start_number = node.start_count] {
        if (node.instance && node.start_count == start_number) node.instance->ids.erase(call);
      });
  }

 private:
  struct Step {
    Duration time;
    std::uint64_t number;  ///< keeps the order of steps of the same time
    std::function<void()> action;
    bool operator<(const Step& other) const {
      return std::tie(other.time, other.number) < std::tie(time, number);
    }
  };
  struct Direction {
    LinkFaults faults;
    Duration last_arrival{};  ///< arrival of the latest message; a stream keeps its order
  };

  static core::AttemptEnd reset_end() {
    core::AttemptEnd end;
    end.outcome = Outcome::kReset;
    return end;
  }
  [[nodiscard]] Instant instant() const { return kOrigin + now_; }
  void schedule_at(Duration time, std::function<void()> action) {
    steps_.push({time, ++step_count_, std::move(action)});
  }
  void schedule_after(Duration wait, std::function<void()> action) {
    schedule_at(now_ + wait, std::move(action));
  }
  void record(Event event) { history_.push_back(std::move(event)); }
  void record(const std::string& who, EventKind kind, std::int64_t number = 0) {
    record({now_, who, kind, "", "", number, ""});
  }
  Duration random_duration(Server& server, Duration mean) {
    return Duration{
        static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + server.random.uniform()))};
  }

  // ---- the network ---------------------------------------------------------------------------------------
  Direction& direction(std::size_t router, std::size_t server, bool forward) {
    const auto key = (router * options_.servers + server) * 2 + (forward ? 0 : 1);
    const auto found = directions_.find(key);
    if (found != directions_.end()) return found->second;
    const auto& from = forward ? nodes_[router].name : servers_[server].name;
    const auto& to = forward ? servers_[server].name : nodes_[router].name;
    return directions_.emplace(key, Direction{LinkFaults(options_.schedule, from, to)}).first->second;
  }

  /// Delivers a message after the delay of the link. Returns false if a fault closes the connection.
  bool transmit(Direction& path, std::function<void()> on_arrival) {
    const auto action = path.faults.stream_action(now_);
    Duration due = now_ + options_.one_way_delay;
    switch (action.kind) {
      case ActionKind::kReset:
      case ActionKind::kFinish:
        return false;
      case ActionKind::kDiscard:
        return true;
      case ActionKind::kPauseReading:
      case ActionKind::kHold:
        due = action.until + options_.one_way_delay;
        break;
      case ActionKind::kPass:
        due += action.delay;
        break;
    }
    path.last_arrival = std::max(path.last_arrival, due);
    schedule_at(path.last_arrival, std::move(on_arrival));
    return true;
  }
  bool send_to_server(const AttemptInTransit& attempt, std::size_t server, std::function<void()> on_arrival) {
    return transmit(direction(attempt.router, server, true), std::move(on_arrival));
  }
  void send_to_router(const AttemptInTransit& attempt, std::size_t server,
                      std::function<void(RouterInstance&)> on_arrival) {
    transmit(direction(attempt.router, server, false),
             [this, attempt, on_arrival = std::move(on_arrival)] { run_in_router(attempt, on_arrival); });
  }
  /// Runs `action` in the process that made the attempt, unless it has ended. If the process is frozen, runs
  /// it once the process is resumed.
  void run_in_router(const AttemptInTransit& attempt, const std::function<void(RouterInstance&)>& action) {
    auto& node = nodes_[attempt.router];
    if (!node.instance || node.start_count != attempt.start_number) return;
    if (node.is_frozen) {
      node.deferred_actions.push_back([this, attempt, action] { run_in_router(attempt, action); });
      return;
    }
    action(*node.instance);
  }

  /// Closes the connections between the two: set-ups in progress end on both sides.
  void close_connections(std::size_t router, std::size_t server) {
    std::vector<AttemptInTransit> closed_attempts;
    std::erase_if(servers_[server].calls, [&](const auto& item) {
      const auto& call = item.second;
      if (call.attempt.router != router || call.is_established) return false;
      closed_attempts.push_back(call.attempt);
      return true;
    });
    for (const auto& attempt : closed_attempts) {
      --servers_[server].set_ups_in_progress;
      record({now_, servers_[server].name, EventKind::kBroken, attempt.id, nodes_[router].name, 0, ""});
      run_in_router(attempt, [attempt](RouterInstance& instance) {
        instance.table.on_attempt_ended(attempt.ref, reset_end());
      });
    }
  }

  void apply_link_fault(const LinkFault& fault, EventKind kind) {
    for (auto& node : nodes_) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto& server = servers_[i].name;
        const bool forward = covers(fault, node.name, server);
        const bool backward = covers(fault, server, node.name);
        const auto fault_name = std::string(name_of(fault.kind));
        if (forward) record({now_, node.name, kind, "", server, 0, fault_name});
        if (backward) record({now_, server, kind, "", node.name, 0, fault_name});
        const bool closes_connections =
            fault.kind == LinkFaultKind::kReset || fault.kind == LinkFaultKind::kFinish;
        if (closes_connections && kind == EventKind::kFaultOn && (forward || backward))
          close_connections(node.index, i);
      }
    }
  }

  /// Each server is a pool of its own, so that calls go to all of them.
  static PoolId pool_of(ServerId server) { return PoolId{static_cast<std::uint32_t>(server)}; }

  // ---- processes -----------------------------------------------------------------------------------------
  void start_instance(Node& node) {
    ++node.start_count;
    node.instance =
        std::make_unique<RouterInstance>(node, settings_, instant(), [this] { return instant(); });
    auto& instance = *node.instance;
    std::vector<core::ServerDescription> facts;
    for (const auto& server : servers_) {
      auto& listed =
          instance.servers.find_or_create(server.name);  // in order, so that the id of a server is its index
      listed.upstream_pool = &instance.ports;
      listed.state = server.state;
      facts.push_back({listed.id, pool_of(listed.id), server.state, std::nullopt, core::kUnknownVersion});
    }
    instance.table.on_endpoints_changed(true, facts);
    record(node.name, EventKind::kReady);
  }

  void apply_node_fault(const NodeFault& fault) {
    if (fault.kind == NodeFaultKind::kDrain) {
      drain(fault.nodes, EndpointState::kDraining, EventKind::kDrained);
      if (fault.back_after) {
        schedule_after(*fault.back_after,
                       [this, &fault] { drain(fault.nodes, EndpointState::kReady, EventKind::kResumed); });
      }
      return;
    }
    for (auto& node : nodes_) {
      if (!covers(fault.nodes, node.name) || !node.instance) continue;
      if (fault.kind == NodeFaultKind::kFreeze) {
        record(node.name, EventKind::kFrozen);
        node.is_frozen = true;
        if (fault.back_after) schedule_after(*fault.back_after, [this, &node] { thaw(node); });
        continue;
      }
      crash(node);
      if (fault.back_after) {
        schedule_after(*fault.back_after, [this, &node] {
          record(node.name, EventKind::kStarted);
          schedule_after(kStartupTime, [this, &node] { start_instance(node); });
        });
      }
    }
  }

  void crash(Node& node) {
    record(node.name, EventKind::kKilled);
    node.instance.reset();
    node.is_frozen = false;
    node.deferred_actions.clear();
    for (const auto& [id, call] : std::exchange(node.pending, {})) {
      record({now_, node.caller, EventKind::kLost, id, node.name, 0, ""});
    }
    for (std::size_t i = 0; i < servers_.size(); ++i) close_connections(node.index, i);
    record(node.name, EventKind::kExited, -9);
  }

  void thaw(Node& node) {
    if (!node.is_frozen) return;
    node.is_frozen = false;
    record(node.name, EventKind::kThawed);
    for (const auto& action : std::exchange(node.deferred_actions, {})) action();
  }

  void drain(const std::vector<std::string>& names, EndpointState state, EventKind kind) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (!covers(names, servers_[i].name)) continue;
      servers_[i].state = state;
      record(servers_[i].name, kind);
      for (auto& node : nodes_) {
        run_in_router({node.index, node.start_count, {}, ""}, [i, state](RouterInstance& instance) {
          const ServerId id{static_cast<std::uint32_t>(i)};
          instance.servers.find(id)->state = state;
          instance.table.on_endpoints_changed(
              false, {{id, pool_of(id), state, std::nullopt, core::kUnknownVersion}});
        });
      }
    }
  }

  void tick() {
    for (auto& node : nodes_) {
      if (node.instance && !node.is_frozen) node.instance->wheel.advance(instant());
    }
    schedule_after(core::TimerWheel::kTick, [this] { tick(); });
  }

  // ---- callers -------------------------------------------------------------------------------------------
  void schedule_next_call(Node& node) {
    const double gap = -std::log(1.0 - node.random.uniform()) / options_.calls_per_s;
    const Duration when = now_ + Duration{static_cast<std::int64_t>(gap * 1e6) + 1};
    if (when >= options_.schedule.length - options_.caller_timeout) return;
    schedule_at(when, [this, &node] {
      schedule_next_call(node);
      if (node.instance) start_call(node);
    });
  }

  void start_call(Node& node) {
    const auto id = node.random.call_id();
    const auto timeout_ms = std::chrono::duration_cast<milliseconds>(options_.caller_timeout).count();
    record({now_, node.caller, EventKind::kSetUp, id, node.name, timeout_ms, ""});
    const Instant expires = instant() + options_.caller_timeout;
    node.pending[id] = CallId{};
    const PoolId destination{static_cast<std::uint32_t>(node.random.below(servers_.size()))};
    run_in_router({node.index, node.start_count, {}, id},
                  [&node, id, expires, destination](RouterInstance& instance) {
                    core::SetUpRequest set_up;
                    set_up.id = id;
                    set_up.call_class = "till";
                    set_up.number = id;
                    set_up.request.expires = expires;
                    set_up.request.preferred_pool = destination;
                    const CallId call = instance.table.add_call(instance.ports, std::move(set_up));
                    instance.ids[call] = id;
                    node.pending[id] = call;
                    instance.table.route(call);
                  });
    schedule_after(options_.caller_timeout, [this, &node, id, start_number = node.start_count] {
      const auto found = node.pending.find(id);
      if (found == node.pending.end() || node.start_count != start_number) return;
      const CallId call = found->second;
      record({now_, node.caller, EventKind::kGaveUp, id, node.name, 0, ""});
      node.pending.erase(found);
      run_in_router({node.index, start_number, {}, id},
                    [call](RouterInstance& instance) { instance.table.abandon(call); });
    });
  }

  // ---- session servers -----------------------------------------------------------------------------------
  void on_invite(const AttemptInTransit& attempt, std::size_t server_index) {
    auto& server = servers_[server_index];
    auto& node = nodes_[attempt.router];
    if (node.start_count != attempt.start_number || !node.instance)
      return;  // the connection closed when the process ended
    record({now_, server.name, EventKind::kInvite, attempt.id, node.name, attempt.ref.attempt + 1, ""});
    if (server.set_ups_in_progress >= options_.traits.max_set_ups_in_progress ||
        server.calls.contains(attempt.id)) {
      record({now_, server.name, EventKind::kDenied, attempt.id, node.name, 503, ""});
      send_to_router(attempt, server_index, [attempt](RouterInstance& instance) {
        core::AttemptEnd end;
        end.outcome = Outcome::kFull;
        instance.table.on_attempt_ended(attempt.ref, end);
      });
      return;
    }
    ++server.set_ups_in_progress;
    const auto call_number = ++server.call_count;
    server.calls[attempt.id] = {attempt, false, call_number};
    if (server.random.chance(options_.traits.unanswered_share)) return;
    schedule_after(
        random_duration(server, options_.traits.mean_answer_time),
        [this, id = attempt.id, server_index, call_number] { answer(id, server_index, call_number); });
  }

  Server::Call* find(Server& server, const std::string& id, std::uint64_t call_number) {
    const auto found = server.calls.find(id);
    return found != server.calls.end() && found->second.number == call_number ? &found->second : nullptr;
  }

  void answer(const std::string& id, std::size_t server_index, std::uint64_t call_number) {
    auto& server = servers_[server_index];
    auto* call = find(server, id, call_number);
    if (call == nullptr) return;
    call->is_established = true;
    --server.set_ups_in_progress;
    const auto description = server.name + "-" + std::to_string(++server.answer_count);
    const auto attempt = call->attempt;
    record({now_, server.name, EventKind::kAnswered, id, nodes_[attempt.router].name, 0, description});
    send_to_router(
        attempt, server_index, [this, attempt, server_index, description](RouterInstance& instance) {
          if (!instance.table.on_established(attempt.ref, description)) {
            send_to_server(attempt, server_index,
                           [this, attempt, server_index] { on_end(attempt, server_index, false); });
          }
        });
    schedule_after(random_duration(server, options_.traits.mean_call_time), [this, id, server_index,
                                                                             call_number] {
      auto& ending_server = servers_[server_index];
      const auto* ended_call = find(ending_server, id, call_number);
      if (ended_call == nullptr) return;
      const auto released_attempt = ended_call->attempt;
      ending_server.calls.erase(id);
      record({now_, ending_server.name, EventKind::kHungUp, id, nodes_[released_attempt.router].name, 0, ""});
      send_release(released_attempt, server_index, now_ + options_.limits.late_release_timeout,
                   std::make_shared<bool>(false));
    });
  }

  /// Sends the release again until it arrives, as servers do on a new connection after a lost one
  /// (the operators' page PROTOCOL).
  void send_release(const AttemptInTransit& attempt, std::size_t server_index, Duration until,
                    const std::shared_ptr<bool>& is_received) {
    if (*is_received || now_ >= until) return;
    send_to_router(attempt, server_index, [attempt, is_received](RouterInstance& instance) {
      *is_received = true;
      instance.table.on_attempt_ended(attempt.ref, {});
    });
    schedule_after(kReleaseResendInterval, [this, attempt, server_index, until, is_received] {
      send_release(attempt, server_index, until, is_received);
    });
  }

  void on_end(const AttemptInTransit& attempt, std::size_t server_index, bool cancelled) {
    auto& server = servers_[server_index];
    const auto found = server.calls.find(attempt.id);
    if (found == server.calls.end() || found->second.is_established == cancelled) return;
    record({now_, server.name, cancelled ? EventKind::kCancelled : EventKind::kEnded, attempt.id,
            nodes_[attempt.router].name, 0, ""});
    if (cancelled) --server.set_ups_in_progress;
    server.calls.erase(found);
  }

  const SimulationOptions& options_;
  Settings settings_;
  Duration now_{};
  std::priority_queue<Step> steps_;
  std::uint64_t step_count_ = 0;
  History history_;
  std::deque<Node> nodes_;
  std::vector<Server> servers_;
  std::unordered_map<std::size_t, Direction> directions_;
};

void RouterPorts::set_up(const core::OutgoingSetUp& set_up) {
  node_.simulation.send_invite(node_, set_up);
}
bool RouterPorts::cancel(const core::AttemptId& attempt) {
  node_.simulation.send_end(node_, attempt, true);
  return false;
}
void RouterPorts::release(const core::AttemptId& attempt, core::Cause /*cause*/) {
  node_.simulation.send_end(node_, attempt, false);
}
void RouterPorts::check_health(ServerId server) {
  node_.simulation.send_health_check(node_, server);
}
bool RouterPorts::answer(CallId call, std::string_view description) {
  node_.simulation.report_to_caller(node_, call, EventKind::kAnswer, 0, std::string(description));
  return true;
}
void RouterPorts::reject(CallId call, core::Reason /*reason*/, Duration retry_after) {
  node_.simulation.report_to_caller(node_, call, EventKind::kRejected,
                                    std::chrono::duration_cast<milliseconds>(retry_after).count());
}
void RouterPorts::fail(CallId call, core::Reason /*reason*/) {
  node_.simulation.report_to_caller(node_, call, EventKind::kFailed, 41);
}
void RouterPorts::release(CallId call, core::Cause cause) {
  node_.simulation.report_to_caller(node_, call, EventKind::kReleased, static_cast<int>(cause));
}

}  // namespace

SimulationResult simulate(const SimulationOptions& options) {
  return Simulation(options).run();
}

}  // namespace amberknot::lab::fleet
