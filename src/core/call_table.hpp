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
#include "core/leaving.hpp"
#include "core/placement.hpp"
#include "core/ports.hpp"
#include "core/server_list.hpp"
#include "core/timer_wheel.hpp"

namespace amberknot::core {

/// A caller's set-up, read and checked.
struct NewSetUp {
  std::string id;  ///< 16 hex digits
  std::string call_class;
  std::string number;
  std::string description;
  CallFacts facts;  ///< `expires` is when the caller stops waiting
  std::unique_ptr<const Told> told = {};
};

/// How an attempt ended before or after it stood, as a server's side saw it.
struct AttemptEnd {
  Outcome outcome = Outcome::kOk;
  Cause cause = Cause::kNormal;
  bool of_the_call = false;
  Report load;
  /// What the error means, where a server answered with one; it then says the outcome.
  std::optional<ErrorMeaning> error = {};
  std::optional<Duration> stay_away = {};  ///< asked by the server
};

class CallTable {
 public:
  using Clock = std::function<Instant()>;
  using Tell = std::function<void(const std::vector<std::uint8_t>&)>;
  using Note = std::function<void(const std::string&)>;

  CallTable(Dispatcher& dispatcher, ServerList& servers, TimerWheel& wheel, Counters& counters, Clock clock);

  /// Where the module's messages to its siblings and its log lines go.
  void connect(Tell tell, Note note);

  // From the callers' side.
  /// Enters the call; the front then notes its id and lets it be decided.
  CallId take(ClientPort& client, NewSetUp set_up);
  /// The process is shutting down: every unanswered call, queued, in flight or still to come, gets its final
  /// answer by `plan.answer_by`, whatever its own deadline. Calls that stand are not touched.
  void begin_shutdown(const Leaving& plan);
  void decide(CallId call);
  void give_up(CallId call);  ///< of no effect after the answer
  /// Before the answer the set-up is given up, after it the call is released.
  void close_by_client(CallId call, Cause cause);

  // From the servers' side.
  /// False: the attempt is over, so the answer is to be acknowledged and released.
  bool stood(const AttemptRef& attempt, std::string_view description);
  void ended(const AttemptRef& attempt, const AttemptEnd& end);
  /// All that stands at a server whose process is known to have died.
  void cut_all(ServerId server, const char* why) { cut_before(server, Instant::max(), why); }
  /// Of these, what was sent before that moment.
  void cut_before(ServerId server, Instant moment, const char* why);
  void probed(ServerId server, Outcome outcome, Duration taken, const Report& load);
  void load_told(ServerId server, const Report& load);

  // From the channel and the siblings.
  void list_changed(bool whole_list, const std::vector<ServerFacts>& servers);
  void peer_said(std::uint32_t from, std::vector<std::uint8_t> bytes);

  [[nodiscard]] std::size_t unanswered() const { return calls_.size() - standing_; }
  [[nodiscard]] std::size_t standing() const { return standing_; }
  /// Whether a call is out or stands at that server.
  [[nodiscard]] bool uses(ServerId server) const;
  /// Releases all that stands towards both sides: the program ends.
  void release_all();

 private:
  enum class State { kHeld, kOut, kStanding, kReleasing };
  struct Call {
    NewSetUp set_up;
    ClientPort* client = nullptr;
    State state = State::kHeld;
    std::uint32_t attempts = 0;
    ServerId server{};
    VersionNo version{};  ///< of the latest attempt
    Placement placement;
    Instant sent{};
    TimerWheel::Handle deadline = 0;
    Instant wakes_at{};  ///< when `deadline` is due
  };

  void enact(Decisions decisions);
  void carry_out(Decision& decision);
  void send(const Decision& decision);
  void end_attempt(CallId id, const AttemptEnd& end);
  /// Gives up an attempt that is out towards its server. The outcome is `otherwise`, or moot where nothing of
  /// it had left: then it never ran, and no pause is owed before the next.
  Outcome call_off(const AttemptRef& attempt, Outcome otherwise);
  /// The one final answer of a held call: refused or failed, as its reason says.
  void tell(CallId id, Reason otherwise, Duration stay_away);
  /// The versions of all servers that have not gone.
  [[nodiscard]] VersionSet versions() const;
  void set_deadline(CallId id, Call& call, Instant moment);
  void time_out(CallId id);
  /// The final answer of a queued call whose time is over: rejected, and the module forgets it.
  void reject_expired(CallId id);
  /// How long callers rejected by a shutdown should stay away: until this process has exited.
  [[nodiscard]] Duration shutdown_retry_after() const;
  void arm();
  ServerPort* port(ServerId server);
  [[nodiscard]] AttemptRef attempt_of(CallId id, const Call& call) const {
    return {id, call.attempts - 1, call.server};
  }
  /// The call whose attempt is out or stands as named; null once that is over.
  Call* find(const AttemptRef& attempt);
  void count_ended(Outcome outcome, std::size_t call_class);
  void forget(CallId id);

  Dispatcher& dispatcher_;
  ServerList& servers_;
  TimerWheel& wheel_;
  Counters& counters_;
  Clock clock_;
  Tell tell_;
  Note note_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t standing_ = 0;
  std::optional<Leaving> shutdown_;  ///< absent: not shutting down
  std::uint32_t next_id_ = 0;
  std::deque<Decision> to_do_;
  bool enacting_ = false;
  TimerWheel::Handle tick_ = 0;
  std::optional<Instant> tick_at_;
};

}  // namespace amberknot::core
