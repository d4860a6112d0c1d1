#include "core/graceful_shutdown.hpp"

#include <algorithm>

namespace amberknot::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// After SIGTERM, new connections arrive for at most 0.4 s and set-ups for 0.2 s more (the operators' page
// PROTOCOL, planned restart); callers are accepted for 0.7 s. SIGKILL comes no earlier than 0.7 s plus the
// longest deadline after SIGTERM. That deadline is capped at the maximum that the page PROTOCOL states for a
// plain restart, or the page DAYS for a process that another one has replaced.
constexpr Duration kArrivalPeriod = milliseconds{700};
constexpr Duration kMaxDeadlineInPlainRestart = seconds{3};
constexpr Duration kMaxDeadlineWhenReplaced = seconds{5};
// Lead times before the earliest possible SIGKILL. At kAnswerLeadTime before it, all remaining calls have
// been answered. Then connections with continuous calls can be closed too: this takes up to 50 ms, and a
// message that crosses the close is sent again for 50 ms after it. At kExitLeadTime before it, the process
// releases the established calls.
constexpr Duration kAnswerLeadTime = milliseconds{250};
constexpr Duration kExitLeadTime = milliseconds{50};
// The longest wait for callers to close their connections before the exit. A message that crosses a close is
// sent again for 50 ms after it (the operators' page PROTOCOL). A caller that has not noticed the close by
// then never will.
constexpr Duration kCloseTimeout = milliseconds{50};

}  // namespace

bool is_replaced_by_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive) {
  return std::any_of(alive.begin(), alive.end(), [&](const InstanceRecord& other) {
    return other.name == self.name && other.listen == self.listen &&
           other.started_unix_us > self.started_unix_us;
  });
}

bool replaces_any(const InstanceRecord& self, const std::vector<InstanceRecord>& alive) {
  return std::any_of(alive.begin(), alive.end(),
                     [&](const InstanceRecord& other) { return is_replaced_by_any(other, {self}); });
}

GracefulShutdown GracefulShutdown::plan(Instant now, Duration longest_deadline, bool is_replaced) {
  const Instant arrivals_end = now + kArrivalPeriod;
  const Instant earliest_kill =
      arrivals_end +
      std::min(longest_deadline, is_replaced ? kMaxDeadlineWhenReplaced : kMaxDeadlineInPlainRestart);
  return {arrivals_end, std::max(arrivals_end, earliest_kill - kAnswerLeadTime),
          std::max(arrivals_end, earliest_kill - kExitLeadTime)};
}

bool GracefulShutdown::may_exit(Instant now, std::size_t unanswered, std::size_t established,
                                bool has_pending_io) const {
  if (now >= exit_by) return true;
  return now >= accept_until && unanswered == 0 && established == 0 && (!has_pending_io || now >= answer_by);
}

Instant GracefulShutdown::callers_close_by(Instant now) const {
  return std::min(now + kCloseTimeout, std::max(now, exit_by) + kExitLeadTime / 2);
}

}  // namespace amberknot::core
