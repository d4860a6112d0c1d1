#include "core/graceful_shutdown.hpp"

#include <algorithm>

namespace amberknot::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// After SIGTERM new connections come for 0.4 s at most and set-ups for 0.2 s more (PROTOCOL, planned
// restart); SIGKILL comes 0.7 s after the longest deadline, which counts as these at most: PROTOCOL's in a
// plain restart, DAYS' where another process has taken over.
constexpr Duration kStillComing = milliseconds{700};
constexpr Duration kMaxPlain = seconds{3};
constexpr Duration kMaxReplaced = seconds{5};
// Before SIGKILL may come: what is late is answered, then connections without a pause in their calls can be
// closed too (within 50 ms, and what crosses a close is sent again for 50 ms more), then the process releases
// what stands.
constexpr Duration kAnsweredAhead = milliseconds{250};
constexpr Duration kLeftAhead = milliseconds{50};
// What crosses a close is sent again for 50 ms after it (PROTOCOL): by then callers have seen it, or never
// will.
constexpr Duration kCloseWithin = milliseconds{50};

}  // namespace

bool is_replaced_by_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive) {
  return std::any_of(alive.begin(), alive.end(), [&](const InstanceRecord& one) {
    return one.name == self.name && one.listen == self.listen && one.started_unix_us > self.started_unix_us;
  });
}

bool replaces_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive) {
  return std::any_of(alive.begin(), alive.end(),
                     [&](const InstanceRecord& one) { return is_replaced_by_any(one, {self}); });
}

GracefulShutdown GracefulShutdown::plan(Instant now, Duration longest, bool replaced) {
  const Instant until = now + kStillComing;
  const Instant killed = until + std::min(longest, replaced ? kMaxReplaced : kMaxPlain);
  return {until, std::max(until, killed - kAnsweredAhead), std::max(until, killed - kLeftAhead)};
}

bool GracefulShutdown::may_exit(Instant now, std::size_t unanswered, std::size_t standing,
                                bool unsettled) const {
  return now >= accept_until && unanswered == 0 && (standing == 0 || now >= exit_by) &&
         (!unsettled || now >= answer_by);
}

Instant GracefulShutdown::end_by(Instant now) const {
  return std::min(now + kCloseWithin, std::max(now, exit_by) + kLeftAhead / 2);
}

}  // namespace amberknot::core
