// Many instances of the decision module together: the limits that each one keeps must also hold for the sum
// of hundreds.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "scenario.hpp"

namespace amberknot::testing {
namespace {

// The mean number of set-ups in progress at one server when all senders together get 60 calls a second and
// each set-up takes `delay`.
double mean_setups_in_progress(std::uint32_t senders, Duration delay) {
  auto settings = default_settings();
  settings.peer_count = senders;
  std::vector<Scenario> fleet;
  for (std::uint32_t i = 0; i < senders; ++i) {
    settings.seed = i + 1;
    fleet.emplace_back(settings).update_endpoints({ready_endpoint(1)});
  }
  std::map<Duration, std::vector<std::pair<std::uint32_t, std::uint32_t>>> due;
  std::size_t in_progress = 0;
  std::size_t in_progress_sum = 0;
  std::uint32_t id = 0;
  const auto record_forwards = [&](std::uint32_t sender, Duration now, Duration setup_delay,
                                   const std::vector<Action>& actions) {
    for (const auto& forward : actions_of<ForwardCall>(actions)) {
      due[now + setup_delay].emplace_back(sender, static_cast<std::uint32_t>(forward.call));
      ++in_progress;
    }
  };
  constexpr Duration kStep = 10ms;
  for (Duration now = 0s; now < 40s; now += kStep) {
    const Duration setup_delay = now < 10s ? 50ms : delay;
    while (!due.empty() && due.begin()->first <= now) {
      const auto due_now = due.begin()->second;
      const Duration due_at = due.begin()->first;
      due.erase(due.begin());
      for (const auto& [sender, call] : due_now) {
        --in_progress;
        record_forwards(sender, now, setup_delay,
                        fleet[sender].at(now).establish(call, 1, due_at < 10s ? 50ms : delay));
        record_forwards(sender, now, setup_delay, fleet[sender].end_attempt(call, 1, Outcome::kOk, true));
      }
    }
    for (std::size_t i = 0; i < 6; ++i, ++id) {
      if (id % 10 != 0) continue;
      const std::uint32_t sender = (id / 10 * 7919U) % senders;
      record_forwards(sender, now, setup_delay, fleet[sender].at(now).start_call(id, 1));
    }
    for (std::uint32_t i = 0; i < senders; ++i)
      record_forwards(i, now, setup_delay, fleet[i].at(now).expire_timer());
    if (now >= 30s) in_progress_sum += in_progress;
  }
  return static_cast<double>(in_progress_sum) / (10s / kStep);
}

// Guards against a long queue made of the tokens of many senders: four tokens each at 270 senders are a queue
// of many seconds, and a fraction of a token withheld at the last moment swings between none and all.
TEST(Overload, TheTokensOfAllSendersAddUpToOneShortQueue) {
  for (const std::uint32_t senders : {5U, 60U, 300U}) {
    EXPECT_LE(mean_setups_in_progress(senders, 600ms), 12.0)
        << senders;  // 60 calls a second x 600 ms would be 36
    EXPECT_GE(mean_setups_in_progress(senders, 150ms), 7.0)
        << senders;  // 60 calls a second x 150 ms would be 9
  }
}

// Senders and servers under a steady load of calls. Each call is established after 50 ms.
class Fleet {
 public:
  Fleet(std::uint32_t senders, std::uint32_t servers, double calls_per_s)
      : sender_count_(senders),
        server_count_(servers),
        call_interval_(static_cast<std::int64_t>(1e6 / calls_per_s)) {
    auto settings = default_settings();
    settings.peer_count = senders;
    for (std::uint32_t i = 0; i < senders; ++i) {
      settings.seed = i + 1;
      scenarios_.emplace_back(settings);
    }
  }
  void update_endpoints(const std::vector<EndpointEntry>& entries) {
    for (auto& sender : scenarios_) sender.at(now_).update_endpoints(entries, EndpointUpdateScope::kDelta);
  }
  void run(Duration until) {
    for (; now_ < until; now_ += call_interval_) {
      while (!pending_setups_.empty() && pending_setups_.front().at <= now_) {
        const auto setup = pending_setups_.front();
        pending_setups_.pop_front();
        record_forwards(setup.sender,
                        scenarios_[setup.sender].at(now_).establish(setup.call, setup.server, 50ms));
        record_forwards(setup.sender,
                        scenarios_[setup.sender].end_attempt(setup.call, setup.server, Outcome::kOk, true));
      }
      const std::uint32_t sender = (next_call_id_ * 7919U) % sender_count_;
      record_forwards(sender, scenarios_[sender].at(now_).start_call(
                                  next_call_id_, 1 + next_call_id_ % server_count_, 0, 200ms));
      record_forwards(sender, scenarios_[sender].expire_timer());
      ++next_call_id_;
    }
  }
  /// The largest number of set-ups sent to `server` within any window of length `window` that starts at
  /// `from` or later.
  [[nodiscard]] std::size_t max_forwards_within(std::uint32_t server, Duration from, Duration window) const {
    std::size_t max_forwards = 0;
    const auto found = forward_times_.find(server);
    if (found == forward_times_.end()) return 0;
    const auto& times = found->second;
    for (auto first = times.lower_bound(from); first != times.end(); ++first) {
      max_forwards = std::max(
          max_forwards, static_cast<std::size_t>(std::distance(first, times.upper_bound(*first + window))));
    }
    return max_forwards;
  }

 private:
  struct PendingSetup {
    Duration at;
    std::uint32_t sender, call, server;
  };
  void record_forwards(std::uint32_t sender, const std::vector<Action>& actions) {
    for (const auto& forward : actions_of<ForwardCall>(actions)) {
      const auto server = static_cast<std::uint32_t>(forward.server);
      forward_times_[server].insert(now_);
      pending_setups_.push_back({now_ + 50ms, sender, static_cast<std::uint32_t>(forward.call), server});
    }
  }
  std::uint32_t sender_count_;
  std::uint32_t server_count_;
  Duration call_interval_;
  Duration now_{0};
  std::uint32_t next_call_id_ = 0;
  std::vector<Scenario> scenarios_;
  std::deque<PendingSetup> pending_setups_;
  std::map<std::uint32_t, std::multiset<Duration>> forward_times_;
};

class ColdServerLimit : public ::testing::TestWithParam<std::uint32_t> {};

constexpr double kCallsPerSecond = 240;  // to three servers; a warm server has capacity for about 80
const Duration kWindow = default_settings().invariants.overload_window;
// overload_multiple x slow_start_initial_capacity x 80 calls a second x overload_window
const double kMaxForwards = default_settings().invariants.overload_multiple *
                            default_settings().invariants.slow_start_initial_capacity * kCallsPerSecond / 3 *
                            1.5;

TEST_P(ColdServerLimit, OneRestart) {
  Fleet fleet(GetParam(), 3, kCallsPerSecond);
  fleet.update_endpoints({ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)});
  fleet.run(20s);
  fleet.update_endpoints({ready_endpoint(1, Instant{1020s})});
  fleet.run(24s);
  EXPECT_LE(fleet.max_forwards_within(1, 20s, kWindow), kMaxForwards);
  EXPECT_GE(fleet.max_forwards_within(1, 20s, kWindow), kMaxForwards / 12);
}

TEST_P(ColdServerLimit, AllRestartTogether) {
  Fleet fleet(GetParam(), 3, kCallsPerSecond);
  fleet.update_endpoints({ready_endpoint(1), ready_endpoint(2), ready_endpoint(3)});
  fleet.run(20s);
  fleet.update_endpoints({ready_endpoint(1, Instant{1020s}), ready_endpoint(2, Instant{1020s}),
                          ready_endpoint(3, Instant{1020s})});
  fleet.run(24s);
  for (std::uint32_t server = 1; server <= 3; ++server) {
    EXPECT_LE(fleet.max_forwards_within(server, 20s, kWindow), kMaxForwards) << server;
    EXPECT_GE(fleet.max_forwards_within(server, 20s, kWindow), kMaxForwards / 12) << server;
  }
}

// Guards against senders that know no warm server, and so no rate, and each send a set-up within two overload
// windows. Seen with the full number of senders.
TEST_P(ColdServerLimit, NoWarmServerWasEverKnown) {
  Fleet fleet(GetParam(), 3, kCallsPerSecond);
  fleet.update_endpoints({ready_endpoint(1, Instant{1000s}), ready_endpoint(2, Instant{1000s}),
                          ready_endpoint(3, Instant{1000s})});
  fleet.run(4s);
  for (std::uint32_t server = 1; server <= 3; ++server) {
    EXPECT_LE(fleet.max_forwards_within(server, 0s, kWindow), 20U) << server;  // of 168 without the limit
  }
}

INSTANTIATE_TEST_SUITE_P(Senders, ColdServerLimit, ::testing::Values(5U, 60U, 300U, 500U));

}  // namespace
}  // namespace amberknot::testing
