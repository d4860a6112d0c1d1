// All calls of the process, from set-up to release; core/call.hpp describes their states and transitions.
// Frontends and upstream pools report events here, and the decisions of the decision module are carried out
// here. Used only on the event loop's thread; does I/O only through the ports.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/call.hpp"
#include "core/call_event.hpp"
#include "core/counters.hpp"
#include "core/decision_queue.hpp"
#include "core/dispatcher.hpp"
#include "core/endpoint_registry.hpp"
#include "core/executed_calls.hpp"
#include "core/final_answer.hpp"
#include "core/graceful_shutdown.hpp"
#include "core/ports.hpp"
#include "core/timer_wheel.hpp"

namespace amberknot::core {

/// Holds all calls, passes events to the decision module and carries out its decisions.
class CallTable {
 public:
  using Clock = std::function<Instant()>;
  using BroadcastSink = std::function<void(const std::vector<std::uint8_t>&)>;
  using LogSink = std::function<void(const std::string&)>;
  using EventSink = std::function<void(const CallEvent&)>;

  /// Remembers up to `max_executed_calls` requests that may not be executed again.
  CallTable(Dispatcher& dispatcher, EndpointRegistry& servers, TimerWheel& wheel, Counters& counters,
            Clock clock, std::size_t max_executed_calls);

  /// Sets where the module's messages to its peers and its log lines go.
  void set_sinks(BroadcastSink broadcast, LogSink log);
  /// Sets where the events of each call go; an empty sink, the default, gets none.
  void set_event_sink(EventSink events) { events_ = std::move(events); }

  // Events from callers.
  /// Adds a call. The frontend stores its id before it calls route().
  CallId add_call(ClientPort& client, SetUpRequest set_up);
  /// Passes a new call to the decision module, which forwards, queues or rejects it.
  void route(CallId call);
  /// Rejects a new call that was not passed to route(): its caller may retry at another router at once.
  void reject_unrouted(CallId call);
  /// Ends a call whose caller no longer waits for it. Has no effect once the call is established.
  void abandon(CallId call);
  /// Ends a call on its caller's request: abandons the set-up before the answer, releases the call after it.
  void close_by_client(CallId call, Cause cause);
  /// Starts the shutdown: every unanswered call, whether queued, in flight or yet to arrive, gets its final
  /// answer by `plan.answer_by`, even if its own deadline is later. Established calls are not affected.
  void begin_shutdown(const GracefulShutdown& plan);

  // Events from servers.
  /// Handles a server's acceptance of a call. Returns false if the attempt is over or the answer cannot be
  /// passed on; the upstream pool then has to acknowledge it and release the call at the server.
  bool on_established(const AttemptId& attempt, std::string_view description);
  /// Handles the end of an attempt; ignored if the attempt is already over.
  void on_attempt_ended(const AttemptId& attempt, const AttemptEnd& end);
  /// Handles the result of a health check, with the load that the server reported.
  void on_health_check_result(ServerId server, Outcome outcome, Duration elapsed, const LoadReport& load);
  /// Handles a load report that a server sent without a health check.
  void on_load_report(ServerId server, const LoadReport& load);
  /// Ends all established calls at a server whose process is known to have died; `why` is logged.
  void abort_calls_at(ServerId server, const char* why) {
    abort_calls_sent_before(server, Instant::max(), why);
  }
  /// Ends the established calls at a server that were forwarded before `cutoff`, because the process that had
  /// them has died; `why` is logged.
  void abort_calls_sent_before(ServerId server, Instant cutoff, const char* why) {
    const auto was_sent_before = [this, cutoff](const AttemptId& attempt) {
      return calls_.at(attempt.call).sent_at < cutoff;
    };
    abort_calls(server, was_sent_before, why, LostServer::kProcessEnded);
  }
  /// Ends all established calls at a server that has fallen silent. It may still have them, so they are
  /// released there as well, as soon as it can be reached; `why` is logged.
  void abort_calls_at_silent_server(ServerId server, const char* why) {
    abort_silent_calls(server, why, [](const AttemptId&) { return true; });
  }
  /// The same for those of the server's calls that `is_silent` selects.
  void abort_silent_calls(ServerId server, const char* why,
                          const std::function<bool(const AttemptId&)>& is_silent) {
    ++counters_.silent_servers;
    abort_calls(server, is_silent, why, LostServer::kUnreachable);
  }

  // Events from service discovery and peers.
  /// Handles new entries of the endpoint list; `is_full_list` says that servers missing from it are removed.
  void on_endpoints_changed(bool is_full_list, const std::vector<ServerDescription>& servers);
  /// Handles a message from the peer of that number.
  void on_gossip(std::uint32_t from, std::vector<std::uint8_t> bytes);

  /// Number of calls that are not established.
  [[nodiscard]] std::size_t unanswered() const { return calls_.size() - established_; }
  /// Number of established calls.
  [[nodiscard]] std::size_t established() const { return established_; }
  /// Returns whether any call is in flight to that server or established there.
  [[nodiscard]] bool has_calls_at(ServerId server) const;
  /// Gives all unanswered calls their final answer, and releases all established calls towards callers and
  /// servers, because the process exits.
  void end_all();

 private:
  // Execution of the module's decisions.
  void execute(Decisions decisions);
  void execute_decision(const Decision& decision);
  void forward_unless_expired(const Decision& decision);
  void forward(const Decision& decision);
  void cancel(const Decision& decision);

  /// What is known of the process that had the calls.
  enum class LostServer { kProcessEnded, kUnreachable };
  void abort_calls(ServerId server, const std::function<bool(const AttemptId&)>& is_affected, const char* why,
                   LostServer state);
  void log_aborted(const std::vector<CallId>& aborted, ServerId server, const char* why);

  // Ends of attempts and calls.
  void end_attempt(CallId id, const AttemptEnd& end);
  [[nodiscard]] AttemptReport report_of_end(Call& call, const AttemptEnd& end) const;
  void release_to_client(CallId id, Call& call, const AttemptEnd& end);
  /// Fails a call because the caller's protocol cannot carry the server's answer; it is then released at the
  /// server.
  void fail_established(const AttemptId& attempt, Call& call, Duration elapsed);
  /// Cancels an attempt in flight at its server. Returns `kNotSent` if nothing of it had been written: the
  /// server never executed it, so that no pause is needed before the next attempt. Otherwise returns
  /// `outcome_if_sent`.
  Outcome cancel_attempt(const AttemptId& attempt, Outcome outcome_if_sent);
  /// Sends the final answer of a queued call to its caller and deletes the call; `reason` and `retry_after`
  /// as in final_answer().
  void send_final_answer(CallId id, Reason reason, Duration retry_after);
  /// Rejects a queued call whose deadline has passed and tells the module to drop it.
  void reject_expired(CallId id);
  /// Returns the retry delay for callers whose calls expire: during a shutdown the time until this process
  /// exits, up to `max_retry_after`; zero without a shutdown or if the settings allow no retry advice.
  [[nodiscard]] Duration shutdown_retry_after() const;
  void forget(CallId id);
  /// Fails a new call that repeats a request which may have been executed and may not be again. Returns
  /// whether it does.
  bool fail_repeated(CallId id, const Call& call);
  static const std::string& repeat_key(const Call& call) {
    return call.set_up.repeat_key.empty() ? call.set_up.id : call.set_up.repeat_key;
  }

  // Timers.
  void set_timer(CallId id, Call& call, Instant due);
  void on_timer(CallId id);
  /// Arms the timer for the module's next tick.
  void arm_tick();

  /// Passes an event of the call to the event sink, with the call's id and its latest attempt.
  void trace(const Call& call, CallEvent event) const;
  /// Applies a transition of core/call.hpp.
  void change_state(Call& call, CallState next_state);
  [[nodiscard]] Call* find(CallId id);
  /// Returns the call whose latest attempt this is, if it is in flight or established; null if the attempt is
  /// over.
  [[nodiscard]] Call* find(const AttemptId& attempt);
  [[nodiscard]] ServerPort* server_port(ServerId server);
  [[nodiscard]] AttemptId latest_attempt(CallId id, const Call& call) const {
    return {.call = id, .attempt = call.attempts - 1, .server = call.server};
  }

  Dispatcher& dispatcher_;
  EndpointRegistry& servers_;
  TimerWheel& wheel_;
  Counters& counters_;
  Clock clock_;
  BroadcastSink broadcast_;
  LogSink log_;
  EventSink events_;
  DecisionQueue decisions_;
  std::unordered_map<CallId, Call> calls_;
  ExecutedCalls executed_calls_;
  std::size_t established_ = 0;
  std::uint32_t next_id_ = 0;
  std::optional<GracefulShutdown> shutdown_;  ///< empty unless the process is shutting down
  TimerWheel::Handle tick_timer_ = 0;
  std::optional<Instant> tick_due_at_;
};

}  // namespace amberknot::core
