// What goes wrong in a run, and when: read from JSON, checked by schemas/fleet-schedule.schema.json, or drawn
// from a seed. Times run from the start of the run.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "amberknot/admission.hpp"

namespace amberknot::lab::fleet {

class ScheduleError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class LinkFaultKind : std::uint8_t {
  kDrop,       ///< datagrams are lost by `share`; a stream's bytes come a retransmission later
  kDelay,      ///< `fixed` plus up to `jitter`
  kDuplicate,  ///< datagrams come twice by `share`
  kReorder,    ///< datagrams by `share` come up to `fixed` later than their turn
  kReset,      ///< connections end by RST; new ones meet the same until the fault ends
  kFinish,     ///< connections end by FIN; new ones meet the same until the fault ends
  kHalfOpen,   ///< what is sent vanishes, and connections stay open
  kStall,      ///< nothing is read: the sender is pushed back
  kPartition,  ///< no datagram passes; a stream's bytes wait until the fault ends
};
std::string_view name_of(LinkFaultKind kind);

struct LinkFault {
  LinkFaultKind kind = LinkFaultKind::kDrop;
  std::vector<std::string> from, to;  ///< nodes by name; a name that ends in `*` covers all that begin so
  bool both_ways = false;
  Duration at{}, until{};
  double share = 1;  ///< of messages, or of a link's connections for what happens to connections
  Duration fixed{}, jitter{};
};

enum class NodeFaultKind : std::uint8_t {
  kCrash,    ///< SIGKILL
  kFreeze,   ///< SIGSTOP, and SIGCONT after `back_after`
  kStop,     ///< SIGTERM
  kReplace,  ///< a second process starts beside it; once that serves, the first gets SIGTERM
  kDrain,    ///< of a server: the list says that it drains; `back_after`: it is ready again
};
std::string_view name_of(NodeFaultKind kind);

struct NodeFault {
  NodeFaultKind kind = NodeFaultKind::kCrash;
  std::vector<std::string> nodes;
  Duration at{};
  std::optional<Duration> back_after;  ///< none: it stays so
};

struct Schedule {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds{10};
  std::vector<LinkFault> links;
  std::vector<NodeFault> nodes;
};

/// Whether one of `patterns` covers `node`.
bool covers(const std::vector<std::string>& patterns, std::string_view node);
/// Whether the fault is one of what goes from the one node to the other.
bool covers(const LinkFault& fault, std::string_view from, std::string_view to);

/// Throws ScheduleError with the field at fault.
Schedule read_schedule(std::string_view json);
std::string text_of(const Schedule& schedule);

/// Faults of every kind, each with an end before the last quarter of the run, so that what must come back has
/// the time to. The same seed gives the same schedule on every machine.
Schedule draw_schedule(std::uint64_t seed, std::size_t routers, std::size_t servers, Duration length);

}  // namespace amberknot::lab::fleet
