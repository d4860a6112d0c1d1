// All calls of the process, from set-up to release (states and transitions: core/call.hpp). Frontends and
// upstream pools report here; the module's decisions are carried out from here. One thread, that of the event
// loop; no I/O but through the ports.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/call.hpp"
#include "core/counters.hpp"
#include "core/decision_queue.hpp"
#include "core/dispatcher.hpp"
#include "core/endpoint_registry.hpp"
#include "core/final_answer.hpp"
#include "core/graceful_shutdown.hpp"
#include "core/ports.hpp"
#include "core/timer_wheel.hpp"

namespace amberknot::core {

class CallTable {
 public:
  using Clock = std::function<Instant()>;
  using BroadcastSink = std::function<void(const std::vector<std::uint8_t>&)>;
  using LogSink = std::function<void(const std::string&)>;

  CallTable(Dispatcher& dispatcher, EndpointRegistry& servers, TimerWheel& wheel, Counters& counters,
            Clock clock);

  /// Where the module's messages to its peers and its log lines go.
  void connect(BroadcastSink broadcast, LogSink log);

  // From the callers' side.
  /// Enters a call. The frontend notes its id and then has it routed.
  CallId admit(ClientPort& client, NewSetUp set_up);
  void route(CallId call);
  /// Its caller waits no longer. Of no effect once the call is established.
  void abandon(CallId call);
  /// Before the answer the set-up is abandoned, after it the call is released.
  void close_by_client(CallId call, Cause cause);
  /// The process is shutting down: every unanswered call, queued, in flight or still to come, gets its final
  /// answer by `plan.answer_by`, whatever its own deadline. Established calls are not touched.
  void begin_shutdown(const GracefulShutdown& plan);

  // From the servers' side.
  /// False: the attempt is over, so the answer is to be acknowledged and released.
  bool on_established(const AttemptRef& attempt, std::string_view description);
  void on_attempt_ended(const AttemptRef& attempt, const AttemptEnd& end);
  void on_health_check_result(ServerId server, Outcome outcome, Duration elapsed, const LoadReport& load);
  void on_load_report(ServerId server, const LoadReport& load);
  /// Ends all established calls at a server whose process is known to have died.
  void abort_all(ServerId server, const char* why) { abort_sent_before(server, Instant::max(), why); }
  /// Of these, the ones forwarded before that moment.
  void abort_sent_before(ServerId server, Instant moment, const char* why);

  // From service discovery and the peers.
  void on_endpoints_changed(bool is_whole_list, const std::vector<ServerFacts>& servers);
  void on_gossip(std::uint32_t from, std::vector<std::uint8_t> bytes);

  [[nodiscard]] std::size_t unanswered() const { return calls_.size() - established_; }
  [[nodiscard]] std::size_t established() const { return established_; }
  /// Whether a call is in flight to that server or established there.
  [[nodiscard]] bool has_calls_at(ServerId server) const;
  /// Releases all established calls towards both sides: the process ends.
  void release_all();

 private:
  // Decisions of the module.
  void execute(Decisions decisions);
  void execute_one(const Decision& decision);
  void forward_unless_expired(const Decision& decision);
  void forward(const Decision& decision);
  void cancel(const Decision& decision);

  // Ends of attempts and calls.
  void end_attempt(CallId id, const AttemptEnd& end);
  [[nodiscard]] EndFacts facts_of_end(Call& call, const AttemptEnd& end) const;
  void release_to_client(CallId id, Call& call, const AttemptEnd& end);
  /// The server's answer does not fit the caller's protocol: the call fails, and is released at the server.
  void fail_established(const AttemptRef& attempt, Call& call, Duration elapsed);
  /// Cancels an attempt in flight towards its server. The outcome is `otherwise`, or `kNotSent` where nothing
  /// of it had left: then it never ran, and no pause is owed before the next.
  Outcome cancel_attempt(const AttemptRef& attempt, Outcome otherwise);
  /// The one final answer of a queued call; `reason` and `retry_after` as in final_answer().
  void send_final_answer(CallId id, Reason reason, Duration retry_after);
  /// The final answer of a queued call whose time is over: rejected, and the module forgets it.
  void reject_expired(CallId id);
  /// How long callers rejected by a shutdown should stay away: until this process has exited.
  [[nodiscard]] Duration shutdown_retry_after() const;
  void forget(CallId id);

  // Timers.
  void set_timer(CallId id, Call& call, Instant due);
  void on_timer(CallId id);
  /// The module's next tick.
  void arm_tick();

  void change_state(Call& call, CallState next);
  [[nodiscard]] Call* find(CallId id);
  /// The call whose attempt is in flight or established as named; null once that is over.
  [[nodiscard]] Call* find(const AttemptRef& attempt);
  [[nodiscard]] ServerPort* port(ServerId server);
  [[nodiscard]] AttemptRef attempt_of(CallId id, const Call& call) const {
    return {.call = id, .attempt = call.attempts - 1, .server = call.server};
  }

  Dispatcher& dispatcher_;
  EndpointRegistry& servers_;
  TimerWheel& wheel_;
  Counters& counters_;
  Clock clock_;
  BroadcastSink broadcast_;
  LogSink log_;
  DecisionQueue decisions_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t established_ = 0;
  std::uint32_t next_id_ = 0;
  std::optional<GracefulShutdown> shutdown_;  ///< absent: not shutting down
  TimerWheel::Handle tick_ = 0;
  std::optional<Instant> tick_at_;
};

}  // namespace amberknot::core
