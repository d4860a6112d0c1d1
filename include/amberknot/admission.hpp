// The whole public interface: settings, events, actions and the class that turns one into the other.
// It states facts only. A fact that a deployment does not give is an empty optional.
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

/// The clock of the batch: no particular origin, moves forward only.
struct BatchClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BatchClock, duration>;
  static constexpr bool is_steady = true;
};
using Instant = BatchClock::time_point;

enum class CallId : std::uint32_t {};
enum class ServerId : std::uint32_t {};
enum class PoolId : std::uint32_t {};  ///< number of a pool or exchange
enum class PeerId : std::uint32_t {};  ///< number of a sibling instance
enum class TimerHandle : std::uint64_t {};

// ---- settings -------------------------------------------------------------------------------------------

struct CallClass {
  Duration latency_objective{};
  Duration deadline{};
  double priority_weight = 0;
  double late_weight_fraction = 0;  ///< fraction of the worth
  bool idempotent = false;          ///< may be sent again although an earlier attempt might have run
  std::vector<PoolId> pools;        ///< pools that may take it; empty: any
  std::optional<Duration> mean_holding_time;  ///< mean duration of a call
};

struct Tenant {
  std::optional<double> quota_per_s;  ///< over all siblings together
};

struct Limits {
  bool cancel = false;
  bool probes = false;
  bool peers = false;
  bool retry_advice = false;
  std::uint32_t max_tries = 0;
  Duration max_retry_advice{};
};

struct Invariants {
  Duration answer_slack{};
  Duration drain_grace_period{};
  double overload_multiple = 0;
  Duration overload_window{};
  double slow_start_initial_capacity = 0;
  Duration slow_start_duration{};
  Duration retry_pause{};
  friend bool operator==(const Invariants&, const Invariants&) = default;
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t peer_count = 0;
  PeerId self{};
  std::optional<PoolId> own_pool;  ///< absent where calls are never in transit
  bool endpoint_list_is_pushed = true;
  Duration batch_interval{};                    ///< least time between batches
  std::optional<Duration> retransmit_interval;  ///< a waiting set-up is repeated after this; absent: never
  double over_quota_weight = 1;
  std::vector<CallClass> classes;
  std::vector<Tenant> tenants;
  Limits limits;
  Invariants invariants;
};

// ---- events ---------------------------------------------------------------------------------------------

/// What a server's processor says of itself, late and noisy.
struct LoadReport {
  std::optional<double> free_lines;
  std::optional<double> lines;
  std::optional<Duration> wait;
  std::optional<double> accept_rate;  ///< set-ups per second it can take from all senders together
  std::optional<double> hold_back;    ///< share of set-ups it asks each sender not to send
  std::optional<double> in_work;
  std::optional<double> waiting;
  std::optional<double> busy;
};

enum class EndpointState : std::uint8_t { kReady, kRemoved, kDraining };

/// A version of the servers' protocols, by number; what it speaks is none of the module's business.
enum class ProtocolVersion : std::uint8_t {};
/// Versions by bit, 0 to 31.
using ProtocolVersionSet = std::uint32_t;
inline constexpr ProtocolVersionSet kAllVersions = ~ProtocolVersionSet{0};

struct EndpointEntry {
  ServerId server{};
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  std::optional<Instant> started;  ///< absent: long ago
  ProtocolVersion version{};       ///< may change while the server runs
};

enum class EndpointUpdateScope : std::uint8_t { kDelta, kFull, kCached, kFailed };

struct EndpointUpdate {
  EndpointUpdateScope scope = EndpointUpdateScope::kFull;
  std::vector<EndpointEntry> entries;
};

struct NewCall {
  CallId call{};
  Instant expires{};
  PoolId destination{};
  double width = 1;
  std::size_t call_class = 0;
  std::size_t tenant = 0;
  bool is_in_transit = false;
  bool was_aborted = false;
  bool is_redial = false;
  ProtocolVersionSet excluded_versions = 0;  ///< servers of these versions cannot be told what it needs
};

struct Established {
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  Duration elapsed{};
};

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

struct AttemptEnded {
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{};
  bool call_ended = false;
  bool is_caller_fault = false;  ///< an error that is no fault of the server: the number was busy, or
                                 ///< a field of the call is not taken there
  ProtocolVersionSet excludes_versions = 0;  ///< versions ruled out for this call from now on
  std::optional<Duration> retry_after;       ///< the wait a full processor names
  LoadReport report;
};

struct CallAbandoned {
  CallId call{};
};

struct TimerExpired {
  TimerHandle handle{};
};

struct HealthCheckResult {
  ServerId server{};
  Outcome outcome = Outcome::kOk;
  bool is_unsolicited = false;
  Duration elapsed{};
  LoadReport report;
};

struct PeerMessage {
  PeerId from{};
  std::vector<std::uint8_t> bytes;
};

using Event = std::variant<EndpointUpdate, NewCall, Established, AttemptEnded, CallAbandoned, TimerExpired,
                           HealthCheckResult, PeerMessage>;

// ---- actions --------------------------------------------------------------------------------------------

struct ForwardCall {
  CallId call{};
  ServerId server{};
  Duration attempt_timeout{};  ///< zero: until the caller quits
};

struct RejectCall {
  CallId call{};
  Duration retry_after{};  ///< zero: no advice
};

struct FailCall {
  CallId call{};
};

struct CancelAttempt {
  CallId call{};
  std::uint32_t attempt = 0;
};

struct SetTimer {
  Instant when{};
  TimerHandle handle{};
};

struct CheckHealth {
  ServerId server{};
};

struct BroadcastGossip {  ///< to every sibling
  std::vector<std::uint8_t> bytes;
};

struct LogMessage {
  std::string text;
};

struct WatchEndpoints {};

using Action = std::variant<ForwardCall, RejectCall, FailCall, CancelAttempt, SetTimer, CheckHealth,
                            BroadcastGossip, LogMessage, WatchEndpoints>;

// ---- the decision module --------------------------------------------------------------------------------

/// One sender's admission control. Deterministic: the same settings and events give the same actions.
class Admission {
 public:
  explicit Admission(Settings settings);
  ~Admission();
  Admission(Admission&&) noexcept;
  Admission& operator=(Admission&&) noexcept;

  /// Called once, before the first event; the actions due at the start are appended.
  void start(Instant now, std::vector<Action>& actions);

  /// Takes one event at the batch's clock and appends the actions that follow from it.
  void handle(Instant now, const Event& event, std::vector<Action>& actions);

  /// New settings of a running sender: classes (as many as before or more, the old in their places) and
  /// limits. Calls under way keep their class; a lower count of tries binds them from their next try.
  void apply_reload(const std::vector<CallClass>& classes, const Limits& limits);

  /// How many servers it remembers, those that have gone lately included.
  [[nodiscard]] std::size_t known_servers() const;
  /// How often a server was looked at for a call, since the start: what the decisions cost.
  [[nodiscard]] std::uint64_t server_evaluations() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace amberknot
