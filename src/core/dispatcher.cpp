#include "core/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace amberknot::core {
namespace {

/// A call with no first choice names a pool that no server is in.
constexpr CellNo kNoCell{std::numeric_limits<std::uint32_t>::max()};

struct Translate {
  Decision& to;
  void operator()(Send& one) const {
    to.kind = Decision::Kind::kSend;
    to.call = one.call;
    to.server = one.server;
    to.time = one.within;
  }
  void operator()(Refuse& one) const {
    to.kind = Decision::Kind::kRefuse;
    to.call = one.call;
    to.time = one.stay_away;
  }
  void operator()(Fail& one) const {
    to.kind = Decision::Kind::kFail;
    to.call = one.call;
  }
  void operator()(Cancel& one) const {
    to.kind = Decision::Kind::kCancel;
    to.call = one.call;
    to.attempt = one.attempt;
  }
  void operator()(Probe& one) const {
    to.kind = Decision::Kind::kProbe;
    to.server = one.server;
  }
  void operator()(TellPeers& one) const {
    to.kind = Decision::Kind::kTell;
    to.bytes = std::move(one.bytes);
  }
  void operator()(Log& one) const { to.text = std::move(one.text); }
  // The list is always pushed to a router on sockets.
  void operator()(WatchList& /*one*/) const { to.text = "the module asked to watch the list"; }
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
  news.destination = facts.first_choice.value_or(kNoCell);
  news.width = facts.width;
  news.call_class = facts.call_class;
  news.tenant = facts.tenant;
  news.was_cut = facts.was_cut;
  news.ruled_out = facts.ruled_out;
  return run(now, news);
}

Decisions Dispatcher::report_stood(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                                   Duration taken) {
  return run(now, Established{call, server, attempt, taken});
}

Decisions Dispatcher::report_end(Instant now, CallId call, ServerId server, std::uint32_t attempt,
                                 const EndFacts& facts) {
  AttemptEnded news;
  news.call = call;
  news.server = server;
  news.attempt = attempt;
  news.outcome = facts.outcome;
  news.taken = facts.taken;
  news.call_ended = facts.call_ended;
  news.of_the_call = facts.of_the_call;
  news.rules_out = facts.rules_out;
  news.asked_wait = facts.asked_wait;
  news.report = facts.load;
  return run(now, news);
}

Decisions Dispatcher::report_given_up(Instant now, CallId call) {
  return run(now, CallGone{call});
}

Decisions Dispatcher::report_probe(Instant now, ServerId server, Outcome outcome, Duration taken,
                                   const Report& load) {
  return run(now, ProbeAnswer{server, outcome, false, taken, load});
}

Decisions Dispatcher::report_load(Instant now, ServerId server, const Report& load) {
  return run(now, ProbeAnswer{server, Outcome::kOk, true, Duration::zero(), load});
}

Decisions Dispatcher::report_servers(Instant now, bool whole_list, const std::vector<ServerFacts>& servers) {
  ListNews news{whole_list ? ListScope::kFull : ListScope::kDelta, {}};
  for (const auto& one : servers)
    news.entries.push_back({one.server, one.cell, one.state, one.started, one.version});
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
    auto more = run(now, TimerDue{handle});
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
