// Every call's life, from its set-up to its release: held, attempt out, standing, releasing, ended. Fronts
// and server links report here; what the module decides is carried out from here.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/counters.hpp"
#include "core/dispatcher.hpp"
#include "core/endpoint_registry.hpp"
#include "core/graceful_shutdown.hpp"
#include "core/placement.hpp"
#include "core/ports.hpp"
#include "core/timer_wheel.hpp"

namespace amberknot::core {

/// A caller's set-up, read and checked.
struct NewSetUp {
  std::string id;  ///< 16 hex digits
  std::string call_class;
  std::string number;
  std::string description;
  CallFacts facts;  ///< `expires` is when the caller stops waiting
  std::unique_ptr<const ProtocolMessage> message = {};
};

/// How an attempt ended before or after it stood, as a server's side saw it.
struct AttemptEnd {
  Outcome outcome = Outcome::kOk;
  Cause cause = Cause::kNormal;
  bool is_caller_fault = false;
  LoadReport load;
  /// What the error means, where a server answered with one; it then says the outcome.
  std::optional<ErrorMeaning> error = {};
  std::optional<Duration> retry_after = {};  ///< asked by the server
};

class CallTable {
 public:
  using Clock = std::function<Instant()>;
  using BroadcastSink = std::function<void(const std::vector<std::uint8_t>&)>;
  using LogSink = std::function<void(const std::string&)>;

  CallTable(Dispatcher& dispatcher, EndpointRegistry& servers, TimerWheel& wheel, Counters& counters,
            Clock clock);

  /// Where the module's messages to its siblings and its log lines go.
  void connect(BroadcastSink broadcast, LogSink log);

  // From the callers' side.
  /// Enters the call; the front then notes its id and lets it be decided.
  CallId admit(ClientPort& client, NewSetUp set_up);
  /// The process is shutting down: every unanswered call, queued, in flight or still to come, gets its final
  /// answer by `plan.answer_by`, whatever its own deadline. Calls that stand are not touched.
  void begin_shutdown(const GracefulShutdown& plan);
  void route(CallId call);
  void abandon(CallId call);  ///< of no effect after the answer
  /// Before the answer the set-up is given up, after it the call is released.
  void close_by_client(CallId call, Cause cause);

  // From the servers' side.
  /// False: the attempt is over, so the answer is to be acknowledged and released.
  bool on_established(const AttemptRef& attempt, std::string_view description);
  void on_attempt_ended(const AttemptRef& attempt, const AttemptEnd& end);
  /// All that stands at a server whose process is known to have died.
  void abort_all(ServerId server, const char* why) { abort_sent_before(server, Instant::max(), why); }
  /// Of these, what was sent before that moment.
  void abort_sent_before(ServerId server, Instant moment, const char* why);
  void on_health_check_result(ServerId server, Outcome outcome, Duration elapsed, const LoadReport& load);
  void on_load_report(ServerId server, const LoadReport& load);

  // From the channel and the siblings.
  void on_endpoints_changed(bool whole_list, const std::vector<ServerFacts>& servers);
  void on_gossip(std::uint32_t from, std::vector<std::uint8_t> bytes);

  [[nodiscard]] std::size_t unanswered() const { return calls_.size() - established_; }
  [[nodiscard]] std::size_t established() const { return established_; }
  /// Whether a call is out or stands at that server.
  [[nodiscard]] bool has_calls_at(ServerId server) const;
  /// Releases all that stands towards both sides: the program ends.
  void release_all();

 private:
  enum class State { kQueued, kInFlight, kEstablished, kReleasing };
  struct Call {
    NewSetUp set_up;
    ClientPort* client = nullptr;
    State state = State::kQueued;
    std::uint32_t attempts = 0;
    ServerId server{};
    ProtocolVersion version{};  ///< of the latest attempt
    Placement placement;
    Instant sent{};
    TimerWheel::Handle deadline = 0;
    Instant wakes_at{};  ///< when `deadline` is due
  };

  void execute(Decisions decisions);
  void execute_one(Decision& decision);
  void send(const Decision& decision);
  void end_attempt(CallId id, const AttemptEnd& end);
  /// Gives up an attempt that is out towards its server. The outcome is `otherwise`, or moot where nothing of
  /// it had left: then it never ran, and no pause is owed before the next.
  Outcome cancel_attempt(const AttemptRef& attempt, Outcome otherwise);
  /// The one final answer of a held call: refused or failed, as its reason says.
  void send_final_answer(CallId id, Reason otherwise, Duration retry_after);
  /// The versions of all servers that have not gone.
  [[nodiscard]] ProtocolVersionSet listed_versions() const;
  void set_deadline(CallId id, Call& call, Instant moment);
  void time_out(CallId id);
  /// The final answer of a queued call whose time is over: rejected, and the module forgets it.
  void reject_expired(CallId id);
  /// How long callers rejected by a shutdown should stay away: until this process has exited.
  [[nodiscard]] Duration shutdown_retry_after() const;
  void arm_tick();
  ServerPort* port(ServerId server);
  [[nodiscard]] AttemptRef attempt_of(CallId id, const Call& call) const {
    return {id, call.attempts - 1, call.server};
  }
  /// The call whose attempt is out or stands as named; null once that is over.
  Call* find(const AttemptRef& attempt);
  void count_attempt_end(Outcome outcome, std::size_t call_class);
  void forget(CallId id);

  Dispatcher& dispatcher_;
  EndpointRegistry& servers_;
  TimerWheel& wheel_;
  Counters& counters_;
  Clock clock_;
  BroadcastSink broadcast_;
  LogSink log_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t established_ = 0;
  std::optional<GracefulShutdown> shutdown_;  ///< absent: not shutting down
  std::uint32_t next_id_ = 0;
  std::deque<Decision> pending_decisions_;
  bool is_executing_ = false;
  TimerWheel::Handle tick_ = 0;
  std::optional<Instant> tick_at_;
};

}  // namespace amberknot::core
