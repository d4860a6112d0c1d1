#include "core/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace amberknot::core {
namespace {

/// A call with no first choice names a pool that no server is in.
constexpr PoolId kNoPool{std::numeric_limits<std::uint32_t>::max()};

struct Translate {
  Decision& to;
  void operator()(ForwardCall& one) const {
    to.kind = Decision::Kind::kForward;
    to.call = one.call;
    to.server = one.server;
    to.time = one.attempt_timeout;
  }
  void operator()(RejectCall& one) const {
    to.kind = Decision::Kind::kReject;
    to.call = one.call;
    to.time = one.retry_after;
  }
  void operator()(FailCall& one) const {
    to.kind = Decision::Kind::kFail;
    to.call = one.call;
  }
  void operator()(CancelAttempt& one) const {
    to.kind = Decision::Kind::kCancel;
    to.call = one.call;
    to.attempt = one.attempt;
  }
  void operator()(CheckHealth& one) const {
    to.kind = Decision::Kind::kCheckHealth;
    to.server = one.server;
  }
  void operator()(BroadcastGossip& one) const {
    to.kind = Decision::Kind::kBroadcast;
    to.bytes = std::move(one.bytes);
  }
  void operator()(LogMessage& one) const { to.text = std::move(one.text); }
  // The list is always pushed to a router on sockets.
  void operator()(WatchEndpoints& /*one*/) const { to.text = "the module asked to watch the list"; }
  void operator()(SetTimer& /*one*/) const {}
};

}  // namespace

Dispatcher::Dispatcher(Settings settings, Instant now) : settings_(settings), admission_(settings) {
  std::vector<Action> actions;
  admission_.start(now, actions);
  gather(actions, at_start_);
}

void Dispatcher::gather(std::vector<Action>& actions, Decisions& decisions) {
  for (auto& action : actions) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      due_.push({timer->when, timer->handle});
      continue;
    }
    std::visit(Translate{decisions.emplace_back()}, action);
  }
}

Decisions Dispatcher::run(Instant now, const Event& event) {
  std::vector<Action> actions;
  admission_.handle(now, event, actions);
  Decisions decisions = std::exchange(at_start_, {});
  gather(actions, decisions);
  return decisions;
}

Decisions Dispatcher::pick(Instant now, CallId call, const CallFacts& facts) {
  NewCall news;
  news.call = call;
  news.expires = facts.expires;
  news.destination = facts.first_choice.value_or(kNoPool);
  news.width = facts.width;
  news.call_class = facts.call_class;
  news.tenant = facts.tenant;
  news.was_aborted = facts.was_aborted;
  news.excluded_versions = facts.excluded_versions;
  return run(now, news);
}

Decisions Dispatcher::report_established(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                                         Duration elapsed) {
  return run(now, Established{call, server, attempt, elapsed});
}

Decisions Dispatcher::report_end(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                                 const EndFacts& facts) {
  AttemptEnded news;
  news.call = call;
  news.server = server;
  news.attempt = attempt;
  news.outcome = facts.outcome;
  news.elapsed = facts.elapsed;
  news.call_ended = facts.call_ended;
  news.is_caller_fault = facts.is_caller_fault;
  news.excludes_versions = facts.excludes_versions;
  news.retry_after = facts.retry_after;
  news.report = facts.load;
  return run(now, news);
}

Decisions Dispatcher::report_abandoned(Instant now, CallId call) {
  return run(now, CallAbandoned{call});
}

Decisions Dispatcher::report_health_check(Instant now, ServerId server, Outcome outcome, Duration elapsed,
                                          const LoadReport& load) {
  return run(now, HealthCheckResult{server, outcome, false, elapsed, load});
}

Decisions Dispatcher::report_load(Instant now, ServerId server, const LoadReport& load) {
  return run(now, HealthCheckResult{server, Outcome::kOk, true, Duration::zero(), load});
}

Decisions Dispatcher::report_servers(Instant now, bool is_whole_list,
                                     const std::vector<ServerFacts>& servers) {
  EndpointUpdate news{is_whole_list ? EndpointUpdateScope::kFull : EndpointUpdateScope::kDelta, {}};
  for (const auto& one : servers)
    news.entries.push_back({one.server, one.pool, one.state, one.started, one.version});
  return run(now, news);
}

Decisions Dispatcher::report_peer(Instant now, std::uint32_t from, std::vector<std::uint8_t> bytes) {
  return run(now, PeerMessage{PeerId{from}, std::move(bytes)});
}

Decisions Dispatcher::tick(Instant now) {
  Decisions decisions;
  while (!due_.empty() && due_.top().when <= now) {
    const auto handle = due_.top().handle;
    due_.pop();
    auto more = run(now, TimerExpired{handle});
    decisions.insert(decisions.end(), std::make_move_iterator(more.begin()),
                     std::make_move_iterator(more.end()));
  }
  return decisions;
}

Duration Dispatcher::longest_deadline() const {
  Duration longest{};
  for (const auto& call_class : settings_.classes) longest = std::max(longest, call_class.deadline);
  return longest;
}

std::optional<Instant> Dispatcher::next_tick() const {
  if (due_.empty()) return std::nullopt;
  return due_.top().when;
}

}  // namespace amberknot::core
