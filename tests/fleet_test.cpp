// Many instances together: what is right for one sender must be right for the sum of hundreds.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "scenario.hpp"

namespace amberknot::testing {
namespace {

// Set-ups out at one server, on average, when all senders together are asked for 60 calls a second and each
// set-up stands after the same delay.
double queue_of(std::uint32_t senders, Duration delay) {
  auto settings = usual_settings();
  settings.peer_count = senders;
  std::vector<Scenario> fleet;
  for (std::uint32_t i = 0; i < senders; ++i) {
    settings.seed = i + 1;
    fleet.emplace_back(settings).list({ready(1)});
  }
  std::map<Duration, std::vector<std::pair<std::uint32_t, std::uint32_t>>> due;
  std::size_t out = 0;
  std::size_t sum = 0;
  std::uint32_t id = 0;
  const auto note = [&](std::uint32_t sender, Duration now, Duration taken,
                        const std::vector<Action>& actions) {
    for (const auto& send : of<ForwardCall>(actions)) {
      due[now + taken].emplace_back(sender, static_cast<std::uint32_t>(send.call));
      ++out;
    }
  };
  constexpr Duration kStep = 10ms;
  for (Duration now = 0s; now < 40s; now += kStep) {
    const Duration taken = now < 10s ? 50ms : delay;
    while (!due.empty() && due.begin()->first <= now) {
      const auto ready_now = due.begin()->second;
      const Duration since = due.begin()->first;
      due.erase(due.begin());
      for (const auto& [sender, call] : ready_now) {
        --out;
        note(sender, now, taken, fleet[sender].at(now).stands(call, 1, since < 10s ? 50ms : delay));
        note(sender, now, taken, fleet[sender].ends(call, 1, Outcome::kOk, true));
      }
    }
    for (std::size_t i = 0; i < 6; ++i, ++id) {
      if (id % 10 != 0) continue;
      const std::uint32_t sender = (id / 10 * 7919U) % senders;
      note(sender, now, taken, fleet[sender].at(now).call(id, 1));
    }
    for (std::uint32_t i = 0; i < senders; ++i) note(i, now, taken, fleet[i].at(now).look());
    if (now >= 30s) sum += out;
  }
  return static_cast<double>(sum) / (10s / kStep);
}

// Seen on full-size days: four tokens each of 270 senders are a queue of many seconds, and a part of a token
// held back at the last moment swings between nothing and all.
TEST(Pressure, TheTokensOfAllSendersAddUpToOneShortQueue) {
  for (const std::uint32_t senders : {5U, 60U, 300U}) {
    EXPECT_LE(queue_of(senders, 600ms), 12.0) << senders;  // of 36 that 60 calls a second would be
    EXPECT_GE(queue_of(senders, 150ms), 7.0) << senders;   // 9 would be all of them
  }
}

// Senders and servers under one steady stream of calls; every set-up stands after 50 ms while its server
// runs.
class Fleet {
 public:
  Fleet(std::uint32_t senders, std::uint32_t servers, double calls_per_s)
      : senders_(senders), servers_(servers), gap_(static_cast<std::int64_t>(1e6 / calls_per_s)) {
    auto settings = usual_settings();
    settings.peer_count = senders;
    for (std::uint32_t i = 0; i < senders; ++i) {
      settings.seed = i + 1;
      fleet_.emplace_back(settings);
    }
  }
  void list(const std::vector<EndpointEntry>& entries) {
    for (auto& sender : fleet_) sender.at(now_).list(entries, EndpointUpdateScope::kDelta);
  }
  void run(Duration until) {
    for (; now_ < until; now_ += gap_) {
      while (!due_.empty() && due_.front().at <= now_) {
        const auto one = due_.front();
        due_.pop_front();
        note(one.sender, fleet_[one.sender].at(now_).stands(one.call, one.server, 50ms));
        note(one.sender, fleet_[one.sender].ends(one.call, one.server, Outcome::kOk, true));
      }
      const std::uint32_t sender = (id_ * 7919U) % senders_;
      note(sender, fleet_[sender].at(now_).call(id_, 1 + id_ % servers_, 0, 200ms));
      note(sender, fleet_[sender].look());
      ++id_;
    }
  }
  /// The most sent to a server within any span of that length.
  [[nodiscard]] std::size_t max_within(std::uint32_t server, Duration from, Duration span) const {
    std::size_t most = 0;
    const auto found = sent_.find(server);
    if (found == sent_.end()) return 0;
    const auto& times = found->second;
    for (auto first = times.lower_bound(from); first != times.end(); ++first) {
      most = std::max(most, static_cast<std::size_t>(std::distance(first, times.upper_bound(*first + span))));
    }
    return most;
  }

 private:
  struct Due {
    Duration at;
    std::uint32_t sender, call, server;
  };
  void note(std::uint32_t sender, const std::vector<Action>& actions) {
    for (const auto& send : of<ForwardCall>(actions)) {
      const auto server = static_cast<std::uint32_t>(send.server);
      sent_[server].insert(now_);
      due_.push_back({now_ + 50ms, sender, static_cast<std::uint32_t>(send.call), server});
    }
  }
  std::uint32_t senders_;
  std::uint32_t servers_;
  Duration gap_;
  Duration now_{0};
  std::uint32_t id_ = 0;
  std::vector<Scenario> fleet_;
  std::deque<Due> due_;
  std::map<std::uint32_t, std::multiset<Duration>> sent_;
};

class ColdBudget : public ::testing::TestWithParam<std::uint32_t> {};

constexpr double kRate = 240;  // calls a second at three servers: a warm one bears about 80
const Duration kSpan = usual_settings().invariants.overload_window;
// overload_multiple x slow_start_initial_capacity x 80 a second x overload_window
const double kBudget = usual_settings().invariants.overload_multiple *
                       usual_settings().invariants.slow_start_initial_capacity * kRate / 3 * 1.5;

TEST_P(ColdBudget, OneRestart) {
  Fleet fleet(GetParam(), 3, kRate);
  fleet.list({ready(1), ready(2), ready(3)});
  fleet.run(20s);
  fleet.list({ready(1, Instant{1020s})});
  fleet.run(24s);
  EXPECT_LE(fleet.max_within(1, 20s, kSpan), kBudget);
  EXPECT_GE(fleet.max_within(1, 20s, kSpan), kBudget / 12);
}

TEST_P(ColdBudget, AllRestartTogether) {
  Fleet fleet(GetParam(), 3, kRate);
  fleet.list({ready(1), ready(2), ready(3)});
  fleet.run(20s);
  fleet.list({ready(1, Instant{1020s}), ready(2, Instant{1020s}), ready(3, Instant{1020s})});
  fleet.run(24s);
  for (std::uint32_t server = 1; server <= 3; ++server) {
    EXPECT_LE(fleet.max_within(server, 20s, kSpan), kBudget) << server;
    EXPECT_GE(fleet.max_within(server, 20s, kSpan), kBudget / 12) << server;
  }
}

// Seen at full size: senders that knew no warm server each sent a blind set-up in two fall spans.
TEST_P(ColdBudget, NoWarmServerWasEverKnown) {
  Fleet fleet(GetParam(), 3, kRate);
  fleet.list({ready(1, Instant{1000s}), ready(2, Instant{1000s}), ready(3, Instant{1000s})});
  fleet.run(4s);
  for (std::uint32_t server = 1; server <= 3; ++server) {
    EXPECT_LE(fleet.max_within(server, 0s, kSpan), 20U) << server;  // of 168
  }
}

INSTANTIATE_TEST_SUITE_P(Senders, ColdBudget, ::testing::Values(5U, 60U, 300U, 500U));

}  // namespace
}  // namespace amberknot::testing
