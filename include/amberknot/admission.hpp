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
enum class CellNo : std::uint32_t {};  ///< number of a pool or exchange
enum class PeerId : std::uint32_t {};  ///< number of a sibling instance
enum class TimerHandle : std::uint64_t {};

// ---- settings -------------------------------------------------------------------------------------------

struct CallClass {
  Duration aim{};
  Duration deadline{};
  double worth = 0;
  double late_worth = 0;         ///< fraction of the worth
  bool repeatable = false;       ///< may be sent again although an earlier attempt might have run
  std::vector<CellNo> pools;     ///< pools that may take it; empty: any
  std::optional<Duration> hold;  ///< mean duration of a call
};

struct Tenant {
  std::optional<double> quota_per_s;  ///< over all siblings together
};

struct Limits {
  bool cancel = false;
  bool probes = false;
  bool peers = false;
  bool retry_advice = false;
  std::uint32_t most_tries = 0;
  Duration max_retry_advice{};
};

struct Invariants {
  Duration answer_slack{};
  Duration drain_grace{};
  double fall_multiple = 0;
  Duration fall_span{};
  double cold_from = 0;
  Duration ramp_time{};
  Duration release_wait{};
  friend bool operator==(const Invariants&, const Invariants&) = default;
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t siblings = 0;
  PeerId self{};
  std::optional<CellNo> own_cell;  ///< absent where calls are never in transit
  bool list_is_pushed = true;
  Duration round{};                ///< least time between batches
  std::optional<Duration> resend;  ///< a waiting set-up is repeated after this; absent: never
  double over_share_worth = 1;
  std::vector<CallClass> classes;
  std::vector<Tenant> tenants;
  Limits limits;
  Invariants invariants;
};

// ---- events ---------------------------------------------------------------------------------------------

/// What a server's processor says of itself, late and noisy.
struct Report {
  std::optional<double> free_lines;
  std::optional<double> lines;
  std::optional<Duration> wait;
  std::optional<double> accept_rate;  ///< set-ups per second it can take from all senders together
  std::optional<double> hold_back;    ///< share of set-ups it asks each sender not to send
  std::optional<double> in_work;
  std::optional<double> waiting;
  std::optional<double> busy;
};

enum class ListState : std::uint8_t { kReady, kGone, kDraining };

/// A version of the servers' protocols, by number; what it speaks is none of the module's business.
enum class VersionNo : std::uint8_t {};
/// Versions by bit, 0 to 31.
using VersionSet = std::uint32_t;
inline constexpr VersionSet kAllVersions = ~VersionSet{0};

struct ListEntry {
  ServerId server{};
  CellNo cell{};
  ListState state = ListState::kReady;
  std::optional<Instant> started;  ///< absent: long ago
  VersionNo version{};             ///< may change while the server runs
};

enum class ListScope : std::uint8_t { kDelta, kFull, kCached, kFailed };

struct ListNews {
  ListScope scope = ListScope::kFull;
  std::vector<ListEntry> entries;
};

struct NewCall {
  CallId call{};
  Instant expires{};
  CellNo destination{};
  double width = 1;
  std::size_t call_class = 0;
  std::size_t tenant = 0;
  bool in_transit = false;
  bool was_cut = false;
  bool redialled = false;
  VersionSet ruled_out = 0;  ///< servers of these versions cannot be told what it needs
};

struct Established {
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  Duration taken{};
};

enum class Outcome : std::uint8_t { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };

struct AttemptEnded {
  CallId call{};
  ServerId server{};
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::kOk;
  Duration taken{};
  bool call_ended = false;
  bool of_the_call = false;            ///< an error that is no fault of the server: the number was busy, or
                                       ///< a field of the call is not taken there
  VersionSet rules_out = 0;            ///< versions ruled out for this call from now on
  std::optional<Duration> asked_wait;  ///< the wait a full processor names
  Report report;
};

struct CallGone {
  CallId call{};
};

struct TimerDue {
  TimerHandle handle{};
};

struct ProbeAnswer {
  ServerId server{};
  Outcome outcome = Outcome::kOk;
  bool unasked = false;
  Duration taken{};
  Report report;
};

struct PeerMessage {
  PeerId from{};
  std::vector<std::uint8_t> bytes;
};

using Event =
    std::variant<ListNews, NewCall, Established, AttemptEnded, CallGone, TimerDue, ProbeAnswer, PeerMessage>;

// ---- actions --------------------------------------------------------------------------------------------

struct Send {
  CallId call{};
  ServerId server{};
  Duration within{};  ///< zero: until the caller quits
};

struct Refuse {
  CallId call{};
  Duration stay_away{};  ///< zero: no advice
};

struct Fail {
  CallId call{};
};

struct Cancel {
  CallId call{};
  std::uint32_t attempt = 0;
};

struct SetTimer {
  Instant when{};
  TimerHandle handle{};
};

struct Probe {
  ServerId server{};
};

struct TellPeers {  ///< to every sibling
  std::vector<std::uint8_t> bytes;
};

struct Log {
  std::string text;
};

struct WatchList {};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Probe, TellPeers, Log, WatchList>;

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
  void retune(const std::vector<CallClass>& classes, const Limits& limits);

  /// How many servers it remembers, those that have gone lately included.
  [[nodiscard]] std::size_t known_servers() const;
  /// How often a server was looked at for a call, since the start: what the decisions cost.
  [[nodiscard]] std::uint64_t looks() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace amberknot
