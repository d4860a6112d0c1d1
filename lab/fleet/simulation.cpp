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
using V = StreamVerdict::Kind;

// A process is up so long after its start, as on a machine at rest.
constexpr Duration kStartTakes = milliseconds{20};
constexpr Duration kToldAgain = milliseconds{200};
// The module takes an instant of zero for none at all.
constexpr Instant kOrigin{std::chrono::seconds{1000}};

struct Node;

/// An attempt as it travels: whose it is, and of which life of its router.
struct Travelling {
  std::size_t router = 0;
  std::uint64_t life = 0;
  core::AttemptRef ref;
  std::string id;
};

/// A router's way to the servers and to its callers.
class Port : public core::UpstreamPool, public core::ClientPort {
 public:
  explicit Port(Node& node) : node_(node) {}
  void set_up(const core::SetUp& set_up) override;
  bool cancel(const core::AttemptRef& attempt) override;
  void release(const core::AttemptRef& attempt, core::Cause cause) override;
  void forget(const core::AttemptRef& /*attempt*/) override {}
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

/// One life of a router's process.
struct Life {
  Life(Node& node, const Settings& settings, Instant now, core::CallTable::Clock clock)
      : port(node),
        dispatcher(settings, now),
        wheel(now),
        table(dispatcher, servers, wheel, counters, std::move(clock)) {}
  Port port;
  core::Dispatcher dispatcher;
  core::EndpointRegistry servers;
  core::Counters counters;
  core::TimerWheel wheel;
  core::CallTable table;
  std::unordered_map<CallId, std::string> ids;
};

struct Node {
  Node(Simulation& of, std::size_t number, std::uint64_t seed)
      : simulation(of),
        number(number),
        name("n" + std::to_string(number)),
        caller("c" + std::to_string(number)),
        random(seed, caller) {}
  Simulation& simulation;
  std::size_t number;
  std::string name, caller;
  Random random;
  std::unique_ptr<Life> life;
  std::uint64_t lives = 0;
  bool frozen = false;
  std::vector<std::function<void()>> missed;  ///< while frozen
  std::unordered_map<std::string, CallId> waiting;
};

struct Server {
  struct Call {
    Travelling from;
    bool stands = false;
    std::uint64_t number = 0;
  };
  std::string name;
  Random random;
  EndpointState state = EndpointState::kReady;
  std::unordered_map<std::string, Call> calls;
  std::size_t working = 0;
  std::uint64_t answers = 0, numbers = 0;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options) : options_(options) {
    const auto config = app::read_config(
        config_text(
            {"n0", "127.0.0.1:1", "127.0.0.1:1", options.schedule.seed, ConfigFacts().known, options.routers},
            options.times),
        "", "");
    settings_ = config.settings;
    for (const auto& fault : options.schedule.nodes) {
      if (fault.kind == NodeFaultKind::kStop || fault.kind == NodeFaultKind::kReplace) {
        throw ScheduleError("schedule: nodes: " + std::string(name_of(fault.kind)) + " takes real processes");
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
      note(node.name, What::kStarted);
      begin(node);
      next_call(node);
    }
    for (const auto& fault : options_.schedule.links) {
      at(fault.at, [this, &fault] { link_fault(fault, What::kFaultOn); });
      at(fault.until, [this, &fault] { link_fault(fault, What::kFaultOff); });
    }
    for (const auto& fault : options_.schedule.nodes) {
      at(fault.at, [this, &fault] { node_fault(fault); });
    }
    tick();
    const Duration end = options_.schedule.length;
    SimulationResult result;
    while (!steps_.empty() && steps_.top().at <= end) {
      // The function is moved out before it runs, since it may add steps.
      auto step = std::move(const_cast<Step&>(steps_.top()));
      steps_.pop();
      now_ = step.at;
      ++result.steps;
      step.what();
    }
    result.history = std::move(history_);
    result.verdict = check(result.history, options_.times);
    return result;
  }

  // What routers do.
  void send_invite(Node& node, const core::SetUp& set_up) {
    const auto server = static_cast<std::size_t>(set_up.attempt.server);
    const Travelling one{node.number, node.lives, set_up.attempt, std::string(set_up.id)};
    const bool up = to_server(one, server, [this, one, server] { invited(one, server); });
    // Nothing may be reported from inside this call.
    if (!up)
      at(now_, [this, one] {
        in_router(one, [one](Life& life) { life.table.on_attempt_ended(one.ref, reset_end()); });
      });
  }
  void send_end(Node& node, const core::AttemptRef& ref, bool cancelled) {
    const auto found = node.life->ids.find(ref.call);
    if (found == node.life->ids.end()) return;
    const auto server = static_cast<std::size_t>(ref.server);
    const Travelling one{node.number, node.lives, ref, found->second};
    to_server(one, server, [this, one, server, cancelled] { ended(one, server, cancelled); });
  }
  void send_probe(Node& node, ServerId id) {
    const auto server = static_cast<std::size_t>(id);
    const Travelling one{node.number, node.lives, {}, ""};
    const Duration from = now_;
    to_server(one, server, [this, one, server, id, from] {
      to_router(one, server, [this, id, from](Life& life) {
        life.table.on_health_check_result(id, Outcome::kOk, now_ - from, {});
      });
    });
  }
  void told(Node& node, CallId call, What what, std::int64_t number, std::string text = {}) {
    const auto found = node.life->ids.find(call);
    if (found == node.life->ids.end()) return;
    note({now_, node.caller, what, found->second, node.name, number, std::move(text)});
    node.waiting.erase(found->second);
    if (what != What::kAnswer)
      at(now_, [this, &node, call, life = node.lives] {
        if (node.life && node.lives == life) node.life->ids.erase(call);
      });
  }

 private:
  struct Step {
    Duration at;
    std::uint64_t number;  ///< those of one moment keep their order
    std::function<void()> what;
    bool operator<(const Step& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };
  struct Direction {
    LinkFaults faults;
    Duration last{};  ///< a stream keeps its order
  };

  static core::AttemptEnd reset_end() {
    core::AttemptEnd end;
    end.outcome = Outcome::kReset;
    return end;
  }
  [[nodiscard]] Instant instant() const { return kOrigin + now_; }
  void at(Duration moment, std::function<void()> what) { steps_.push({moment, ++numbers_, std::move(what)}); }
  void after(Duration wait, std::function<void()> what) { at(now_ + wait, std::move(what)); }
  void note(Event event) { history_.push_back(std::move(event)); }
  void note(const std::string& who, What what, std::int64_t number = 0) {
    note({now_, who, what, "", "", number, ""});
  }
  Duration drawn(Server& server, Duration mean) {
    return Duration{
        static_cast<std::int64_t>(static_cast<double>(mean.count()) * (0.5 + server.random.share()))};
  }

  // ---- the network ---------------------------------------------------------------------------------------
  Direction& direction(std::size_t router, std::size_t server, bool forth) {
    const auto key = (router * options_.servers + server) * 2 + (forth ? 0 : 1);
    const auto found = directions_.find(key);
    if (found != directions_.end()) return found->second;
    const auto& from = forth ? nodes_[router].name : servers_[server].name;
    const auto& to = forth ? servers_[server].name : nodes_[router].name;
    return directions_.emplace(key, Direction{LinkFaults(options_.schedule, from, to)}).first->second;
  }

  /// False: the connection is ended as it is used.
  bool travel(Direction& by, std::function<void()> arrive) {
    const auto verdict = by.faults.stream(now_);
    Duration due = now_ + options_.one_way;
    switch (verdict.kind) {
      case V::kReset:
      case V::kFinish:
        return false;
      case V::kVanish:
        return true;
      case V::kStop:
      case V::kHold:
        due = verdict.until + options_.one_way;
        break;
      case V::kPass:
        due += verdict.wait;
        break;
    }
    by.last = std::max(by.last, due);
    at(by.last, std::move(arrive));
    return true;
  }
  bool to_server(const Travelling& one, std::size_t server, std::function<void()> arrive) {
    return travel(direction(one.router, server, true), std::move(arrive));
  }
  void to_router(const Travelling& one, std::size_t server, std::function<void(Life&)> arrive) {
    travel(direction(one.router, server, false),
           [this, one, arrive = std::move(arrive)] { in_router(one, arrive); });
  }
  /// In that life of the router; once it is thawed where it is frozen.
  void in_router(const Travelling& one, const std::function<void(Life&)>& what) {
    auto& node = nodes_[one.router];
    if (!node.life || node.lives != one.life) return;
    if (node.frozen) {
      node.missed.push_back([this, one, what] { in_router(one, what); });
      return;
    }
    what(*node.life);
  }

  /// What is out between the two is ended for both.
  void cut(std::size_t router, std::size_t server) {
    std::vector<Travelling> gone;
    std::erase_if(servers_[server].calls, [&](const auto& item) {
      const auto& call = item.second;
      if (call.from.router != router || call.stands) return false;
      gone.push_back(call.from);
      return true;
    });
    for (const auto& one : gone) {
      --servers_[server].working;
      note({now_, servers_[server].name, What::kBroken, one.id, nodes_[router].name, 0, ""});
      in_router(one, [one](Life& life) { life.table.on_attempt_ended(one.ref, reset_end()); });
    }
  }

  void link_fault(const LinkFault& fault, What what) {
    for (auto& node : nodes_) {
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto& server = servers_[i].name;
        const bool forth = covers(fault, node.name, server);
        const bool back = covers(fault, server, node.name);
        const auto kind = std::string(name_of(fault.kind));
        if (forth) note({now_, node.name, what, "", server, 0, kind});
        if (back) note({now_, server, what, "", node.name, 0, kind});
        const bool cuts = fault.kind == LinkFaultKind::kReset || fault.kind == LinkFaultKind::kFinish;
        if (cuts && what == What::kFaultOn && (forth || back)) cut(node.number, i);
      }
    }
  }

  // ---- processes -----------------------------------------------------------------------------------------
  void begin(Node& node) {
    ++node.lives;
    node.life = std::make_unique<Life>(node, settings_, instant(), [this] { return instant(); });
    auto& life = *node.life;
    std::vector<core::ServerFacts> facts;
    for (const auto& server : servers_) {
      auto& listed = life.servers.of(server.name);  // in order, so that its id is its number
      listed.port = &life.port;
      listed.state = server.state;
      facts.push_back({listed.id, PoolId{0}, server.state, std::nullopt, core::kNotKnown});
    }
    life.table.on_endpoints_changed(true, facts);
    note(node.name, What::kReady);
  }

  void node_fault(const NodeFault& fault) {
    if (fault.kind == NodeFaultKind::kDrain) {
      drain(fault.nodes, EndpointState::kDraining, What::kDrained);
      if (fault.back_after) {
        after(*fault.back_after,
              [this, &fault] { drain(fault.nodes, EndpointState::kReady, What::kResumed); });
      }
      return;
    }
    for (auto& node : nodes_) {
      if (!covers(fault.nodes, node.name) || !node.life) continue;
      if (fault.kind == NodeFaultKind::kFreeze) {
        note(node.name, What::kFrozen);
        node.frozen = true;
        if (fault.back_after) after(*fault.back_after, [this, &node] { thaw(node); });
        continue;
      }
      crash(node);
      if (fault.back_after) {
        after(*fault.back_after, [this, &node] {
          note(node.name, What::kStarted);
          after(kStartTakes, [this, &node] { begin(node); });
        });
      }
    }
  }

  void crash(Node& node) {
    note(node.name, What::kKilled);
    node.life.reset();
    node.frozen = false;
    node.missed.clear();
    for (const auto& [id, call] : std::exchange(node.waiting, {})) {
      note({now_, node.caller, What::kLost, id, node.name, 0, ""});
    }
    for (std::size_t i = 0; i < servers_.size(); ++i) cut(node.number, i);
    note(node.name, What::kExited, -9);
  }

  void thaw(Node& node) {
    if (!node.frozen) return;
    node.frozen = false;
    note(node.name, What::kThawed);
    for (const auto& missed : std::exchange(node.missed, {})) missed();
  }

  void drain(const std::vector<std::string>& names, EndpointState state, What what) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (!covers(names, servers_[i].name)) continue;
      servers_[i].state = state;
      note(servers_[i].name, what);
      for (auto& node : nodes_) {
        in_router({node.number, node.lives, {}, ""}, [i, state](Life& life) {
          const ServerId id{static_cast<std::uint32_t>(i)};
          life.servers.find(id)->state = state;
          life.table.on_endpoints_changed(false, {{id, PoolId{0}, state, std::nullopt, core::kNotKnown}});
        });
      }
    }
  }

  void tick() {
    for (auto& node : nodes_) {
      if (node.life && !node.frozen) node.life->wheel.advance(instant());
    }
    after(core::TimerWheel::kTick, [this] { tick(); });
  }

  // ---- callers -------------------------------------------------------------------------------------------
  void next_call(Node& node) {
    const double gap = -std::log(1.0 - node.random.share()) / options_.calls_per_s;
    const Duration when = now_ + Duration{static_cast<std::int64_t>(gap * 1e6) + 1};
    if (when >= options_.schedule.length - options_.patience) return;
    at(when, [this, &node] {
      next_call(node);
      if (node.life) call(node);
    });
  }

  void call(Node& node) {
    const auto id = node.random.call_id();
    const auto left = std::chrono::duration_cast<milliseconds>(options_.patience).count();
    note({now_, node.caller, What::kSetUp, id, node.name, left, ""});
    const Instant expires = instant() + options_.patience;
    node.waiting[id] = CallId{};
    in_router({node.number, node.lives, {}, id}, [&node, id, expires](Life& life) {
      core::NewSetUp set_up;
      set_up.id = id;
      set_up.call_class = "till";
      set_up.number = id;
      set_up.facts.expires = expires;
      set_up.facts.first_choice = PoolId{0};
      const CallId call = life.table.admit(life.port, std::move(set_up));
      life.ids[call] = id;
      node.waiting[id] = call;
      life.table.route(call);
    });
    after(options_.patience, [this, &node, id, life = node.lives] {
      const auto found = node.waiting.find(id);
      if (found == node.waiting.end() || node.lives != life) return;
      const CallId call = found->second;
      note({now_, node.caller, What::kGaveUp, id, node.name, 0, ""});
      node.waiting.erase(found);
      in_router({node.number, life, {}, id}, [call](Life& of) { of.table.abandon(call); });
    });
  }

  // ---- session servers -----------------------------------------------------------------------------------
  void invited(const Travelling& one, std::size_t number) {
    auto& server = servers_[number];
    auto& node = nodes_[one.router];
    if (node.lives != one.life || !node.life) return;  // its connection died with it
    note({now_, server.name, What::kInvite, one.id, node.name, one.ref.attempt + 1, ""});
    if (server.working >= options_.traits.max_out || server.calls.contains(one.id)) {
      note({now_, server.name, What::kDenied, one.id, node.name, 503, ""});
      to_router(one, number, [one](Life& life) {
        core::AttemptEnd end;
        end.outcome = Outcome::kFull;
        life.table.on_attempt_ended(one.ref, end);
      });
      return;
    }
    ++server.working;
    const auto call_number = ++server.numbers;
    server.calls[one.id] = {one, false, call_number};
    if (server.random.chance(options_.traits.silent)) return;
    after(drawn(server, options_.traits.work),
          [this, id = one.id, number, call_number] { answer(id, number, call_number); });
  }

  Server::Call* find(Server& server, const std::string& id, std::uint64_t call_number) {
    const auto found = server.calls.find(id);
    return found != server.calls.end() && found->second.number == call_number ? &found->second : nullptr;
  }

  void answer(const std::string& id, std::size_t number, std::uint64_t call_number) {
    auto& server = servers_[number];
    auto* call = find(server, id, call_number);
    if (call == nullptr) return;
    call->stands = true;
    --server.working;
    const auto description = server.name + "-" + std::to_string(++server.answers);
    const auto one = call->from;
    note({now_, server.name, What::kAnswered, id, nodes_[one.router].name, 0, description});
    to_router(one, number, [this, one, number, description](Life& life) {
      if (!life.table.on_established(one.ref, description)) {
        to_server(one, number, [this, one, number] { ended(one, number, false); });
      }
    });
    after(drawn(server, options_.traits.hold), [this, id, number, call_number] {
      auto& at_end = servers_[number];
      const auto* over = find(at_end, id, call_number);
      if (over == nullptr) return;
      const auto who = over->from;
      at_end.calls.erase(id);
      note({now_, at_end.name, What::kHungUp, id, nodes_[who.router].name, 0, ""});
      tell_release(who, number, now_ + options_.times.release_late, std::make_shared<bool>(false));
    });
  }

  /// Told again until it has arrived, as on the connections that are opened after a lost one (PROTOCOL).
  void tell_release(const Travelling& one, std::size_t number, Duration until,
                    const std::shared_ptr<bool>& heard) {
    if (*heard || now_ >= until) return;
    to_router(one, number, [one, heard](Life& life) {
      *heard = true;
      life.table.on_attempt_ended(one.ref, {});
    });
    after(kToldAgain, [this, one, number, until, heard] { tell_release(one, number, until, heard); });
  }

  void ended(const Travelling& one, std::size_t number, bool cancelled) {
    auto& server = servers_[number];
    const auto found = server.calls.find(one.id);
    if (found == server.calls.end() || found->second.stands == cancelled) return;
    note({now_, server.name, cancelled ? What::kCancelled : What::kEnded, one.id, nodes_[one.router].name, 0,
          ""});
    if (cancelled) --server.working;
    server.calls.erase(found);
  }

  const SimulationOptions& options_;
  Settings settings_;
  Duration now_{};
  std::priority_queue<Step> steps_;
  std::uint64_t numbers_ = 0;
  History history_;
  std::deque<Node> nodes_;
  std::vector<Server> servers_;
  std::unordered_map<std::size_t, Direction> directions_;
};

void Port::set_up(const core::SetUp& set_up) {
  node_.simulation.send_invite(node_, set_up);
}
bool Port::cancel(const core::AttemptRef& attempt) {
  node_.simulation.send_end(node_, attempt, true);
  return false;
}
void Port::release(const core::AttemptRef& attempt, core::Cause /*cause*/) {
  node_.simulation.send_end(node_, attempt, false);
}
void Port::check_health(ServerId server) {
  node_.simulation.send_probe(node_, server);
}
bool Port::answer(CallId call, std::string_view description) {
  node_.simulation.told(node_, call, What::kAnswer, 0, std::string(description));
  return true;
}
void Port::reject(CallId call, core::Reason /*reason*/, Duration retry_after) {
  node_.simulation.told(node_, call, What::kRefused,
                        std::chrono::duration_cast<milliseconds>(retry_after).count());
}
void Port::fail(CallId call, core::Reason /*reason*/) {
  node_.simulation.told(node_, call, What::kFailed, 41);
}
void Port::release(CallId call, core::Cause cause) {
  node_.simulation.told(node_, call, What::kReleased, static_cast<int>(cause));
}

}  // namespace

SimulationResult simulate(const SimulationOptions& options) {
  return Simulation(options).run();
}

}  // namespace amberknot::lab::fleet
