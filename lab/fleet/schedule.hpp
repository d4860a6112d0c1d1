// The schedule of a run: which faults happen, and when. It is read from JSON and validated against
// schemas/fleet-schedule.schema.json, or generated from a seed. Times count from the start of the run.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::lab::fleet {

/// Reports a schedule that is not valid.
class ScheduleError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The kind of a link fault.
enum class LinkFaultKind : std::uint8_t {
  kDrop,       ///< loses a share of the datagrams; delays a stream's bytes by a retransmission
  kDelay,      ///< delays by `fixed` plus up to `jitter`
  kDuplicate,  ///< delivers a share of the datagrams twice
  kReorder,    ///< delays a share of the datagrams by up to `fixed`
  kReset,      ///< closes connections with RST, new ones as well until the fault ends
  kFinish,     ///< closes connections with FIN, new ones as well until the fault ends
  kHalfOpen,   ///< discards what is sent and keeps connections open
  kStall,      ///< reads nothing, so that the sender is blocked
  kPartition,  ///< passes no datagram; holds a stream's bytes until the fault ends
};
/// Returns the name of the kind in a schedule file.
std::string_view name_of(LinkFaultKind kind);

/// A fault of the links between some nodes.
struct LinkFault {
  LinkFaultKind kind = LinkFaultKind::kDrop;
  std::vector<std::string> from, to;  ///< names of nodes; a name that ends in `*` is a prefix
  bool both_ways = false;
  Duration at{}, until{};
  /// The share of the messages that are affected; for kReset and kFinish, and for kHalfOpen, kStall and
  /// kPartition of streams, the share of the link's connections.
  double share = 1;
  Duration fixed{}, jitter{};
};

/// The kind of a node fault.
enum class NodeFaultKind : std::uint8_t {
  kCrash,    ///< sends SIGKILL
  kFreeze,   ///< sends SIGSTOP, and SIGCONT after `back_after`
  kStop,     ///< sends SIGTERM
  kReplace,  ///< starts a second process, and sends SIGTERM to the first once the second serves
  kDrain,    ///< reports a server as draining in the endpoint list, and as ready after `back_after`
  /// A server's machine falls silent: its connections stay open, new ones never come up, its calls end. It
  /// restarts after `back_after`.
  kVanish,
  kReload,       ///< sends SIGHUP with a configuration that moves the command channel to another address
  kMute,         ///< a router's command channel says nothing; its connections stay open
  kChannelDown,  ///< a router's command channel closes its connections and refuses new ones
  kCrowd,        ///< many callers connect to a router at once, and each sends set-ups at once
  kDie,          ///< a server's process dies: its connections are reset, new ones refused. Restarts after
                 ///< `back_after`
  kStandby,      ///< sends the admin command `standby`, and `active` after `back_after`
};
/// Returns the name of the kind in a schedule file.
std::string_view name_of(NodeFaultKind kind);

/// A fault of some nodes.
struct NodeFault {
  NodeFaultKind kind = NodeFaultKind::kCrash;
  std::vector<std::string> nodes;
  Duration at{};
  std::optional<Duration> back_after;  ///< time until the node is restored; nullopt if it is not
  /// Time until the endpoint list reports a lost server as gone; nullopt if it does not.
  std::optional<Duration> listed_after = {};
};

/// The faults of a run.
struct Schedule {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds{10};
  std::vector<LinkFault> links;
  std::vector<NodeFault> nodes;
};

/// Returns true if one of `patterns` matches `node`.
bool covers(const std::vector<std::string>& patterns, std::string_view node);
/// Returns true if the fault affects what is sent from `from` to `to`.
bool covers(const LinkFault& fault, std::string_view from, std::string_view to);

/// Parses a schedule. Throws ScheduleError, which names the invalid field.
Schedule parse_schedule(std::string_view json);
/// Returns the schedule as JSON that parse_schedule() reads.
std::string to_json(const Schedule& schedule);

/// Generates a schedule with faults of every kind. Each fault ends before the last quarter of the run, so
/// that the fleet has time to recover. The same seed gives the same schedule on every machine.
Schedule generate_schedule(std::uint64_t seed, std::size_t routers, std::size_t servers, Duration length);

/// Generates a schedule of 10 to 30 overlapping faults of all kinds, up to the end of the run. The same seed
/// gives the same schedule on every machine.
Schedule generate_dense_schedule(std::uint64_t seed, std::size_t routers, std::size_t servers,
                                 Duration length);

}  // namespace amberknot::lab::fleet
