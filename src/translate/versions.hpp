// Which dialect each server speaks: configured, or learned when connecting, and forgotten when its process is
// replaced. A state machine without I/O: events in, actions out. Its table of transitions is in
// docs/translation.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "amberknot/admission.hpp"
#include "core/placement.hpp"
#include "translate/dialect.hpp"

namespace amberknot::translate {

/// A dialect by its place in the router's list of servers' dialects; the module knows it by that number.
using DialectNo = ProtocolVersion;
inline constexpr std::size_t kMaxDialects = 31;  // the last number is of what is not known
/// A set of dialects.
using DialectSet = ProtocolVersionSet;
using core::set_of;

struct VersionRules {
  Duration patience = std::chrono::milliseconds{500};   ///< for the answer to the question what it speaks
  Duration min_pause = std::chrono::milliseconds{500};  ///< before it is asked again
  Duration max_pause = std::chrono::seconds{30};
  Duration keep = std::chrono::minutes{10};  ///< what was learned counts so long after the last sign of it
};

enum class VersionState : std::uint8_t {
  kUnknown,     ///< nothing is known and nobody is asked: there is no connection
  kAsking,      ///< the question is out
  kKnown,       ///< it speaks the dialect named
  kConfigured,  ///< the operator says so; nothing that is learned counts
  kBarred,      ///< it speaks nothing that this router does; asked again after a pause
};

struct VersionAction {
  enum class What : std::uint8_t {
    kAsk,      ///< put the question on that connection
    kChanged,  ///< it speaks this dialect from now on, or none: the module is told, new set-ups go by it
  };
  What what{};
  ServerId server{};
  std::uint64_t connection = 0;        ///< kAsk
  std::optional<DialectNo> dialect{};  ///< kChanged
  friend bool operator==(const VersionAction&, const VersionAction&) = default;
};

class Versions {
 public:
  using Actions = std::vector<VersionAction>;

  /// `ranks` has, for each dialect of the list, how much it is preferred; zero: it cannot be learned, only
  /// configured (SIP and Diameter servers do not say).
  Versions(VersionRules rules, std::vector<std::uint32_t> ranks) : rules_(rules), ranks_(std::move(ranks)) {}

  /// The list names the server. `started` is new for each process; an address that changes is a new process
  /// too.
  void listed(Instant now, ServerId server, std::string_view address, std::int64_t started,
              std::optional<DialectNo> configured, Actions& actions);
  /// It is no more. Calls that stood there keep their dialect.
  void gone(ServerId server);

  /// A connection is up. Each has a number of its own, so that an answer from before counts for nothing.
  void connected(Instant now, ServerId server, std::uint64_t connection, Actions& actions);
  void disconnected(Instant now, ServerId server, std::uint64_t connection);
  /// The answer: what it speaks, and the name of its process where it gives one. A new name on the same
  /// address is a replaced process, whatever the list says.
  void told(Instant now, ServerId server, std::uint64_t connection, std::string_view process,
            std::span<const DialectNo> spoken, Actions& actions);
  /// It answered a message that it does not speak that version (a status 505, 415, or the like).
  void denied(Instant now, ServerId server, std::uint64_t connection, DialectNo dialect, Actions& actions);
  /// Time goes by: questions that stay unanswered, pauses that end, what was learned long ago.
  void tick(Instant now, Actions& actions);
  /// When tick() has something to do next.
  [[nodiscard]] std::optional<Instant> next_tick() const;

  [[nodiscard]] std::optional<DialectNo> speaks(ServerId server) const;
  [[nodiscard]] VersionState state(ServerId server) const;
  /// All that is spoken by some server now.
  [[nodiscard]] DialectSet spoken() const;
  [[nodiscard]] std::size_t servers() const { return servers_.size(); }

  /// A set-up leaves in the dialect that its server speaks; whatever follows of that call goes by it, also
  /// once the server has moved on. Pinned again when it is placed again.
  void pin(CallId call, DialectNo dialect) { pins_[call] = dialect; }
  [[nodiscard]] std::optional<DialectNo> pinned(CallId call) const;
  void unpin(CallId call) { pins_.erase(call); }
  [[nodiscard]] std::size_t pins() const { return pins_.size(); }

  struct Counts {
    std::uint64_t asked = 0, learned = 0, forgotten = 0, barred = 0, denied = 0, stale = 0, downgraded = 0;
  };
  [[nodiscard]] const Counts& counts() const { return counts_; }

 private:
  struct Server {
    VersionState state = VersionState::kUnknown;
    std::string address;
    std::int64_t started = 0;
    std::string process;  ///< as it names itself; empty: it does not
    std::optional<DialectNo> dialect;
    DialectSet denied = 0;  ///< by this process
    std::uint64_t asked_on = 0;
    std::vector<std::uint64_t> connections;  ///< up, the oldest first
    std::optional<Instant> due;              ///< patience, pause or forgetting, by state
    Duration pause{};
  };

  /// The server that a word on this connection counts for; null: it counts for nothing.
  Server* of_live(ServerId id, std::uint64_t connection);
  void ask(Instant now, ServerId id, Server& server, Actions& actions);
  void forget(ServerId id, Server& server, Actions& actions);
  void bar(Instant now, ServerId id, Server& server, Actions& actions);
  void become(ServerId id, Server& server, std::optional<DialectNo> dialect, Actions& actions);
  [[nodiscard]] std::optional<DialectNo> best(const Server& server, std::span<const DialectNo> spoken) const;

  VersionRules rules_;
  std::vector<std::uint32_t> ranks_;
  std::map<ServerId, Server> servers_;  // in order: the same events give the same actions everywhere
  std::unordered_map<CallId, DialectNo> pins_;
  Counts counts_;
};

}  // namespace amberknot::translate
