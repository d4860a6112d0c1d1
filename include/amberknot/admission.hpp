// The public interface of the library: settings, events, actions, and the class Admission, which returns the
// actions for each event. A value that a deployment does not provide is an empty optional.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amberknot {

using Duration = std::chrono::microseconds;

/// Clock of the events, in microseconds: monotonic, with an unspecified epoch.
struct BatchClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BatchClock, duration>;
  static constexpr bool is_steady = true;
};
using Instant = BatchClock::time_point;

/// Number of a call, unique among the calls of one sender.
enum class CallId : std::uint32_t {};
/// Number of a session server.
enum class ServerId : std::uint32_t {};
/// Number of a pool of servers. Where calls are in transit, it can stand for an exchange.
enum class PoolId : std::uint32_t {};
/// Number of a peer, that is another sender.
enum class PeerId : std::uint32_t {};
/// Identifies a timer in SetTimer and TimerExpired.
enum class TimerHandle : std::uint64_t {};

// ---- settings -------------------------------------------------------------------------------------------

/// Settings of a class of call.
struct CallClass {
  Duration latency_objective{};     ///< a call established later than this after its arrival is late
  Duration deadline{};              ///< longest time that a caller waits
  double priority_weight = 0;       ///< weight in the queue: higher is served first
  double late_weight_fraction = 0;  ///< fraction of the priority weight that a late call keeps
  bool idempotent = false;          ///< may be sent again even if an earlier attempt may have been executed
  std::vector<PoolId> pools;        ///< pools whose servers may take the call; empty: any
  std::optional<Duration> mean_holding_time;  ///< mean duration of a call
};

/// Settings of a tenant.
struct Tenant {
  std::optional<double> quota_per_s;  ///< calls per second, over all senders together
};

/// What the module may do in a deployment.
struct Limits {
  bool may_cancel = false;         ///< may emit CancelAttempt
  bool may_check_health = false;   ///< may emit CheckHealth
  bool may_message_peers = false;  ///< may exchange messages with its peers
  bool may_advise_retry = false;   ///< may advise a rejected caller when to redial
  std::uint32_t max_attempts = 0;  ///< attempts per call
  Duration max_retry_after{};      ///< longest RejectCall::retry_after
};

/// Parameters of the rules that a sender must never break.
struct Invariants {
  Duration answer_slack{};  ///< not used by the module
  /// Time during which a draining server may still get set-ups; not used by the module.
  Duration drain_grace_period{};
  /// The set-ups of all senders to a server in slow start stay below this multiple of its current capacity.
  /// The value is not used by the module.
  double overload_multiple = 0;
  Duration overload_window{};              ///< time over which `overload_multiple` applies
  double slow_start_initial_capacity = 0;  ///< share of its full capacity that a server starts with, 0 to 1
  Duration slow_start_duration{};          ///< time from a server's start to its full capacity
  Duration retry_pause{};                  ///< pause before a retry after a timeout, reset or cancellation
  friend bool operator==(const Invariants&, const Invariants&) = default;
};

/// Settings of one sender.
struct Settings {
  std::uint64_t seed = 0;               ///< of the random choices
  std::uint32_t peer_count = 0;         ///< number of senders, this one included
  PeerId own_id{};                      ///< this sender
  std::optional<PoolId> own_pool;       ///< this sender's pool, to which it sends no calls; absent where
                                        ///< no call is in transit
  bool endpoint_list_is_pushed = true;  ///< false: the module requests it with WatchEndpoints
  Duration batch_interval{};            ///< shortest time between batches of events
  /// Time until an unanswered set-up is retransmitted; absent if it never is.
  std::optional<Duration> retransmit_interval;
  double over_quota_weight_factor = 1;  ///< factor of the priority weight of calls over their tenant's quota
  std::vector<CallClass> classes;       ///< at least one
  std::vector<Tenant> tenants;
  Limits limits;
  Invariants invariants;
};

// ---- events ---------------------------------------------------------------------------------------------

/// Load that a server's processor reports. The values may be delayed and noisy.
struct LoadReport {
  std::optional<double> free_lines;     ///< lines not in use
  std::optional<double> total_lines;    ///< all lines, in use or free
  std::optional<Duration> queue_delay;  ///< time that a set-up waits at present
  std::optional<double> accept_rate;    ///< set-ups per second that it accepts from all senders together
  std::optional<double> requested_rejection_share;  ///< share of set-ups that it asks each sender to withhold
  std::optional<double> in_progress;                ///< set-ups in progress
  std::optional<double> queued;                     ///< set-ups in its queue
  std::optional<double> utilization;                ///< utilization of the processor
};

/// State of a server in the endpoint list.
enum class EndpointState : std::uint8_t { kReady, kRemoved, kDraining };

/// Number of a server's protocol version. The module only compares it with sets of versions.
enum class ProtocolVersion : std::uint8_t {};
/// Set of protocol versions: bit n stands for version n, 0 to 31.
using ProtocolVersionSet = std::uint32_t;
inline constexpr ProtocolVersionSet kAllVersions = ~ProtocolVersionSet{0};

/// One server in the endpoint list.
struct EndpointEntry {
  ServerId server{};
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  std::optional<Instant> started;  ///< absent: too long ago for a slow start
  ProtocolVersion version{};       ///< may change while the server runs
};

/// A full or cached list replaces the known servers, a delta changes some of them; kFailed means that the
/// request failed, and has no entries.
enum class EndpointUpdateScope : std::uint8_t { kDelta, kFull, kCached, kFailed };

/// A change of the endpoint list, or the whole list.
struct EndpointUpdate {
  EndpointUpdateScope scope = EndpointUpdateScope::kFull;
  std::vector<EndpointEntry> entries;
};

/// A call has arrived.
struct NewCall {
  CallId call{};
  Instant expires{};                         ///< end of the time that the caller waits
  PoolId destination{};                      ///< preferred pool; the only one if the call is in transit
  double width = 1;                          ///< lines that the call needs
  std::size_t call_class = 0;                ///< index in Settings::classes
  std::size_t tenant = 0;                    ///< index in Settings::tenants; a larger one has no quota
  bool is_in_transit = false;                ///< must go to its destination
  bool was_aborted = false;                  ///< the call was cut off and is set up again
  bool is_redial = false;                    ///< the caller has tried before
  ProtocolVersionSet excluded_versions = 0;  ///< versions that do not support what the call needs
};

/// A server has established a call.
struct Established {
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;  ///< counted from zero
  Duration elapsed{};         ///< time since the attempt was sent
};

/// Result of an attempt or a health check.
enum class Outcome : std::uint8_t {
  kOk,
  kError,
  kFull,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotSent
};

/// An attempt, or the established call that followed from it, has ended.
struct AttemptEnded {
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{};
  bool call_ended = false;       ///< the call needs no further attempt and no answer
  bool is_caller_fault = false;  ///< an error not caused by the server: the number was busy, or the
                                 ///< server does not accept a field of the call
  ProtocolVersionSet newly_excluded_versions = 0;  ///< versions that no later attempt of this call may use
  std::optional<Duration> retry_after;             ///< pause that a full processor asks for
  LoadReport report;
};

/// The caller has hung up.
struct CallAbandoned {
  CallId call{};
};

/// A timer set by SetTimer has expired.
struct TimerExpired {
  TimerHandle handle{};
};

/// Result of a health check, or a load report that a server sent on its own.
struct HealthCheckResult {
  ServerId server{};
  Outcome outcome = Outcome::kOk;
  bool is_unsolicited = false;  ///< not the answer to a CheckHealth
  Duration elapsed{};
  LoadReport report;
};

/// A message from a peer.
struct PeerMessage {
  PeerId from{};
  std::vector<std::uint8_t> bytes;
};

using Event = std::variant<EndpointUpdate, NewCall, Established, AttemptEnded, CallAbandoned, TimerExpired,
                           HealthCheckResult, PeerMessage>;

// ---- actions --------------------------------------------------------------------------------------------

/// Send the call to the server.
struct ForwardCall {
  CallId call{};
  ServerId server{};
  Duration attempt_timeout{};  ///< zero: until the caller hangs up
};

/// Reject the call; no server has executed it, or it is idempotent.
struct RejectCall {
  CallId call{};
  Duration retry_after{};  ///< advised pause before a redial; zero: no advice
};

/// Report to the caller that the call failed; a server may have executed it.
struct FailCall {
  CallId call{};
};

/// Cancel the attempt in flight.
struct CancelAttempt {
  CallId call{};
  std::uint32_t attempt = 0;  ///< counted from zero
};

/// Deliver TimerExpired with the same handle at `when`.
struct SetTimer {
  Instant when{};
  TimerHandle handle{};
};

/// Send a health check to the server.
struct CheckHealth {
  ServerId server{};
};

/// Send a message to every peer.
struct BroadcastGossip {
  std::vector<std::uint8_t> bytes;
};

/// Write a line to the log.
struct LogMessage {
  std::string text;
};

/// Request the endpoint list and its updates.
struct WatchEndpoints {};

using Action = std::variant<ForwardCall, RejectCall, FailCall, CancelAttempt, SetTimer, CheckHealth,
                            BroadcastGossip, LogMessage, WatchEndpoints>;

// ---- the decision module --------------------------------------------------------------------------------

/// Admission control of one sender. Deterministic: the same settings and events give the same actions. Not
/// thread-safe.
class Admission {
 public:
  /// Throws std::invalid_argument if the settings have no class of call.
  explicit Admission(Settings settings);
  ~Admission();
  Admission(Admission&&) noexcept;
  Admission& operator=(Admission&&) noexcept;

  /// Must be called once, before the first event. Appends the actions due at the start.
  void start(Instant now, std::vector<Action>& actions);

  /// Processes one event at the time `now` and appends the actions that follow. Throws std::out_of_range if
  /// the class of a new call is not in the settings.
  void handle(Instant now, const Event& event, std::vector<Action>& actions);

  /// Replaces the classes and limits of a running sender. Classes may be added, but keep their indices. Calls
  /// in progress keep the settings of their class; a lower `max_attempts` applies from their next attempt.
  /// Throws std::invalid_argument if there are fewer classes than before.
  void apply_reload(const std::vector<CallClass>& classes, const Limits& limits);

  /// Number of servers in memory, including those removed recently.
  [[nodiscard]] std::size_t known_server_count() const;
  /// Number of times that a server was evaluated for a call since the start; measures the cost of decisions.
  [[nodiscard]] std::uint64_t server_evaluations() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace amberknot
