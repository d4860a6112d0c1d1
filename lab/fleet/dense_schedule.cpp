// Draws the schedule of a dense trial: faults of all kinds that overlap, up to the end of the run.
#include <algorithm>
#include <array>

#include "lab/fleet/random.hpp"
#include "lab/fleet/schedule.hpp"

namespace amberknot::lab::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMinFaults = 10;
constexpr std::uint64_t kMaxFaults = 30;
// Routers become ready and set up their first calls before the first fault.
constexpr Duration kCalmStart = seconds{1};
// How long the endpoint list takes to report a server that died, and one that fell silent (the deployments'
// notice_s and silent_notice_s).
constexpr milliseconds kMinNotice{2100}, kMaxNotice{4700};
// Operators drain routers for this long, with a pause between two drains.
constexpr Duration kStandbyTime = seconds{6};
constexpr Duration kStandbyPause = seconds{2};
constexpr milliseconds kMinSilentNotice{4300}, kMaxSilentNotice{14000};

/// Draws the faults of one schedule.
class DenseSchedule {
 public:
  DenseSchedule(std::uint64_t seed, std::size_t routers, std::size_t servers, Duration length)
      : random_(seed, "dense schedule"),
        operators_random_(seed, "operators"),
        routers_(routers),
        servers_(servers),
        schedule_{.seed = seed, .length = length, .links = {}, .nodes = {}} {}

  Schedule draw() {
    const auto count = kMinFaults + random_.below(kMaxFaults - kMinFaults + 1);
    for (std::uint64_t i = 0; i < count; ++i) draw_fault();
    draw_standbys();
    return std::move(schedule_);
  }

 private:
  void draw_fault() {
    const Duration at = random_between(kCalmStart, schedule_.length - milliseconds{500});
    switch (random_.below(16)) {
      case 0:
        add_loss(NodeFaultKind::kVanish, at, random_between(kMinSilentNotice, kMaxSilentNotice));
        break;
      case 1:
        add_loss(NodeFaultKind::kDie, at, random_between(kMinNotice, kMaxNotice));
        break;
      case 2:
        add_link(LinkFaultKind::kStall, at, random_between(milliseconds{300}, seconds{11}), true);
        break;
      case 3:
        add_link(LinkFaultKind::kPartition, at, random_between(milliseconds{300}, seconds{11}), true);
        break;
      case 4:
        add_link(LinkFaultKind::kReset, at, random_between(milliseconds{20}, milliseconds{400}), false);
        break;
      case 5:
        add_link(LinkFaultKind::kFinish, at, random_between(milliseconds{20}, milliseconds{400}), false);
        break;
      case 6:
        add_link(LinkFaultKind::kHalfOpen, at, random_between(milliseconds{300}, seconds{9}), false);
        break;
      case 7:
        add_link(LinkFaultKind::kDelay, at, random_between(milliseconds{300}, seconds{4}), true);
        break;
      case 8:
        add_node(NodeFaultKind::kDrain, {random_server()}, at, random_between(seconds{1}, seconds{5}));
        break;
      case 9:
        add_node(NodeFaultKind::kStop, {random_router()}, at, milliseconds{100});
        break;
      case 10:
        add_stop_series(at);
        break;
      case 11:
        add_node(NodeFaultKind::kCrash, {random_router()}, at, milliseconds{300});
        break;
      case 12:
        add_node(NodeFaultKind::kFreeze, {random_router()}, at,
                 random_between(milliseconds{50}, milliseconds{800}));
        break;
      case 13:
        add_reload_series(at);
        break;
      case 14:
        add_channel_fault(at);
        break;
      default:
        add_node(NodeFaultKind::kCrowd, {random_router()}, at, std::nullopt);
    }
  }

  Duration random_between(Duration low, Duration high) {
    return low + Duration{static_cast<std::int64_t>(
                     random_.below(static_cast<std::uint64_t>((high - low).count())))};
  }
  std::string random_router() { return "n" + std::to_string(random_.below(routers_)); }
  std::string random_server() { return "s" + std::to_string(random_.below(servers_)); }

  void add_node(NodeFaultKind kind, std::vector<std::string> nodes, Duration at,
                std::optional<Duration> back_after) {
    schedule_.nodes.push_back({.kind = kind, .nodes = std::move(nodes), .at = at, .back_after = back_after});
  }

  void add_loss(NodeFaultKind kind, Duration at, Duration listed_after) {
    add_node(kind, {random_server()}, at, random_between(milliseconds{400}, seconds{16}));
    schedule_.nodes.back().listed_after = listed_after;
  }

  void add_link(LinkFaultKind kind, Duration at, Duration span, bool both_ways) {
    const bool affects_all = random_.chance(0.5);
    const bool is_reversed = !both_ways && random_.chance(0.5);
    std::vector<std::string> router{affects_all ? "n*" : random_router()};
    std::vector<std::string> server{random_server()};
    LinkFault fault;
    fault.kind = kind;
    fault.from = is_reversed ? server : router;
    fault.to = is_reversed ? router : server;
    fault.both_ways = both_ways;
    fault.at = at;
    fault.until = std::min<Duration>(at + span, schedule_.length);
    fault.share = random_.chance(0.5) ? 1 : 0.3 + 0.5 * random_.uniform();
    fault.fixed = milliseconds{5 + static_cast<std::int64_t>(random_.below(100))};
    fault.jitter = milliseconds{static_cast<std::int64_t>(random_.below(20))};
    schedule_.links.push_back(std::move(fault));
  }

  /// Stops all routers, one shortly after the other.
  void add_stop_series(Duration at) {
    const Duration gap = random_between(milliseconds{50}, milliseconds{600});
    for (std::size_t i = 0; i < routers_; ++i) {
      const Duration time = at + gap * static_cast<std::int64_t>(i);
      if (time < schedule_.length)
        add_node(NodeFaultKind::kStop, {"n" + std::to_string(i)}, time, milliseconds{100});
    }
  }

  /// Operators drain some of the routers, again and again. Drawn from a sequence of their own, so that the
  /// faults of a seed are the same with and without them.
  void draw_standbys() {
    const Duration last = schedule_.length - kStandbyTime;
    for (Duration at = kCalmStart + seconds{2}; at <= last; at += kStandbyTime + kStandbyPause) {
      for (std::size_t i = 0; i < routers_; ++i) {
        if (operators_random_.chance(0.4))
          add_node(NodeFaultKind::kStandby, {"n" + std::to_string(i)}, at, kStandbyTime);
      }
    }
  }

  void add_reload_series(Duration at) {
    const auto router = random_router();
    const auto count = 1 + random_.below(4);
    for (std::uint64_t i = 0; i < count; ++i)
      add_node(NodeFaultKind::kReload, {router}, at + milliseconds{40} * static_cast<std::int64_t>(i),
               std::nullopt);
  }

  /// The channel fails, and a server is drained around the time of its return.
  void add_channel_fault(Duration at) {
    const auto kind = random_.chance(0.5) ? NodeFaultKind::kMute : NodeFaultKind::kChannelDown;
    const Duration span = random_between(milliseconds{500}, seconds{6});
    add_node(kind, {random_.chance(0.5) ? "n*" : random_router()}, at, span);
    const Duration drain_at = at + random_between(span / 2, span + milliseconds{500});
    if (drain_at < schedule_.length)
      add_node(NodeFaultKind::kDrain, {random_server()}, drain_at, random_between(seconds{1}, seconds{4}));
  }

  Random random_;
  Random operators_random_;
  std::size_t routers_;
  std::size_t servers_;
  Schedule schedule_;
};

}  // namespace

Schedule generate_dense_schedule(std::uint64_t seed, std::size_t routers, std::size_t servers,
                                 Duration length) {
  return DenseSchedule(seed, routers, servers, length).draw();
}

}  // namespace amberknot::lab::fleet
