// Every admission decision of amberknot. Interface: include/amberknot/admission.hpp.
// One sender holds a count of tokens per core server (Widell and Nyberg, NTS-15, 2000, "Tokens"); what
// departs from that is marked "Departure" here and listed with its condition in docs/design.md.
#include "amberknot/admission.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amberknot {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// ---- constants ------------------------------------------------------------------------------------------

// Tokens per server, as a multiple of a calm processor's in-flight set-ups from this sender (design: 3 to 5).
constexpr double kTokensPerCalmSetup = 4.0;
// Tokens, at least (design).
constexpr double kMinTokens = 4.0;
// A server's wait is calm up to this share of the shorter of resend time and least aim.
constexpr double kCalmShare = 0.5;
// Under pressure the queue aimed at keeps set-ups this share of the same time above calm.
constexpr double kAimedShare = 0.3;
// Of an equal part of our calls, a server may be sent this many times as much before its delay is known.
constexpr double kMaxPart = 1.5;
constexpr double kMinPart = 0.25;
// Of its lines this share counts for the size of a server that has fewer calls standing.
constexpr double kIdleLines = 0.2;
// The part moves by a factor e in this time, in multiples of the same, at a delay of half or twice the aim.
constexpr double kSettleSpans = 2.0;
// Power of the set-up delay by which the draw weights servers down.
constexpr double kDrawPower = 2.0;
// News of a server counts as fresh by this time constant, in multiples of the same.
constexpr double kFreshSpans = 5.0;
// Share of a better reading taken over at once, more when the last one is old; a worse one is taken whole
// (design: recovers slowly).
constexpr double kRecoveryGain = 0.4;
// Without news an excess delay fades by this time constant, in multiples of the resend time or least aim.
constexpr double kFadeSpans = 20.0;
// So many set-ups in a row that fail at a server show that it is at fault, and not the calls.
constexpr int kErrorsOfFault = 3;
// After "processor full" a server is shut for this share of the same, doubled each time up to the most.
constexpr double kShutSpans = 0.5;
constexpr double kMaxShutSpans = 4.0;
// A tenant's calls here past this multiple of an equal part of its share count as past it: senders differ.
constexpr double kPastShare = 1.5;
// Tokens that must be free before a late call takes one.
constexpr double kLateTokens = 1.0;
// Time constant of the own arrival rate, in seconds: some tens of calls at a usual sender.
constexpr double kRateSpan = 8.0;
// Of a call's aim this share is kept in hand for the set-up's own variation when it is held.
constexpr double kHoldMargin = 0.1;
// Silence on all our set-ups at a server, as a share of the least aim, before it is suspected.
constexpr double kSilenceShare = 0.75;
// Time between looks at a suspect, as a share of the least aim.
constexpr double kTrialShare = 0.5;
// Of what a warm server bears, times the warmth, this share is sent to a cold one.
constexpr double kColdShare = 1.0;
// Each set-up that a cold server lets stand at a calm delay raises its pace by this factor; it is halved
// when the delay is no longer calm.
constexpr double kColdGrowth = 1.1;
// A cold server may be paced for so many times the mean warm one by what it carried, and by its lines.
constexpr double kMaxLikelySize = 4.0;
constexpr double kMaxPlannedSize = 1.5;
// Senders that know no warm server's rate send a cold one, all together, this many set-ups in a fall span.
constexpr double kBlindColdSetUps = 2.0;
// Look at held calls and silent servers this often, in rounds.
constexpr int kLookRounds = 4;
// A server that has gone is remembered this long: its processor may come back under the same id.
constexpr Duration kRemovedRetention = std::chrono::seconds{60};
// One log line of a kind at most in this time.
constexpr Duration kLogGap = std::chrono::seconds{5};

double seconds(Duration d) {
  return Seconds(d).count();
}
Duration scaled(Duration d, double by) {
  return Duration{static_cast<std::int64_t>(static_cast<double>(d.count()) * by)};
}

// ---- one server as seen from here -----------------------------------------------------------------------

struct Server {
  ServerId id{};
  PoolId pool{};
  EndpointState state = EndpointState::kReady;
  Instant removed_at{};
  std::optional<Instant> cold_since;
  ProtocolVersion version{};
  std::optional<double> free_lines;
  std::optional<double> lines;
  double max_standing = 0;  // calls of all senders, since its start
  double carried = 0;       // the same, before its latest start

  std::set<std::pair<Instant, CallId>> out;  // set-ups in progress: one token each
  Duration calm_delay{};                     // least set-up delay seen; zero before the first
  Duration excess{};                         // delay above calm when last heard
  Instant excess_at{};
  Instant heard_at{};
  Instant stood_sent{};    // when the latest set-up that stood was sent
  double part = kMaxPart;  // of an equal part of our calls, while its delay is as aimed at
  Instant part_at{};
  Instant last_send{};
  Instant shut_until{};
  double shut_spans = kShutSpans;  // next pause after "processor full"
  int errors_in_row = 0;           // set-ups that failed since one stood
  bool suspect = false;
  Instant suspect_since{};
  Instant next_trial{};
  Instant next_cold_send{};  // while cold, nothing before this
  double cold_pace = 1.0;    // what its own calm answers have earned it

  [[nodiscard]] bool usable_state() const { return state == EndpointState::kReady; }
};

// A rate that forgets exponentially.
struct Rate {
  double value = 0;
  Instant at{};
  Instant from{};

  [[nodiscard]] double faded(Instant now) const { return value * std::exp(-seconds(now - at) / kRateSpan); }
  // What a short memory still misses is made up for.
  [[nodiscard]] double per_s(Instant now) const {
    return faded(now) / (1.0 - std::exp(-std::max(seconds(now - from), 1.0) / kRateSpan));
  }
  void count(Instant now, double amount = 1.0) {
    value = faded(now) + amount / kRateSpan;
    at = now;
  }
};

struct Call {
  NewCall facts;
  std::shared_ptr<const CallClass> cls;  // as it was when the call came
  Instant arrived{};
  Instant reject_after{};      // held no longer than this
  Instant late_from{};         // set-ups that begin later would stand after the aim
  double priority_weight = 0;  // of standing now
  bool late = false;
  Instant not_before{};  // release awaited until then
  std::uint32_t attempts = 0;
  std::optional<ServerId> at;  // where the attempt is out
  Instant sent{};
  bool cancelling = false;
  bool stands = false;
  bool may_have_run = false;
};

}  // namespace

class Admission::Impl {
 public:
  explicit Impl(Settings settings) : set_(std::move(settings)), random_(set_.seed) { take_classes(); }

  // Classes only grow, and calls under way keep theirs as it was; tokens and servers stay as they are.
  void apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
    if (classes.size() < set_.classes.size()) throw std::invalid_argument("a class was taken away");
    set_.classes = classes;
    set_.limits = limits;
    take_classes();
  }

  void take_classes() {
    if (set_.classes.empty()) throw std::invalid_argument("settings hold no class of call");
    min_aim_ = set_.classes.front().latency_objective;
    classes_.clear();
    for (const auto& one : set_.classes) {
      min_aim_ = std::min(min_aim_, one.latency_objective);
      classes_.push_back(std::make_shared<const CallClass>(one));
    }
    span_ = set_.retransmit_interval ? std::min(*set_.retransmit_interval, min_aim_) : min_aim_;
  }

  void start(Instant now, std::vector<Action>& actions) {
    out_ = &actions;
    now_ = now;
    arrivals_.at = served_.at = arrivals_.from = served_.from = now;
    by_tenant_.assign(set_.tenants.size(), arrivals_);
    if (!set_.endpoint_list_is_pushed) act(WatchEndpoints{});
  }

  void handle(Instant now, const Event& event, std::vector<Action>& actions) {
    out_ = &actions;
    now_ = now;
    no_room_.clear();
    std::visit([this](const auto& one) { on(one); }, event);
    look_around();
  }

  [[nodiscard]] std::uint64_t server_evaluations() const { return server_evaluations_; }

  [[nodiscard]] std::size_t known_servers() const { return servers_.size(); }

 private:
  // ---- per-server view: list, delay, suspicion, warm-up -------------------------------------------------

  void on(const EndpointUpdate& news) {
    if (news.scope == EndpointUpdateScope::kFailed) {
      if (!set_.endpoint_list_is_pushed) act(WatchEndpoints{});
      return;
    }
    if (news.scope != EndpointUpdateScope::kDelta) {
      for (auto& [id, server] : servers_) {
        if (server.state != EndpointState::kRemoved) server.removed_at = now_;
        server.state = EndpointState::kRemoved;
      }
    }
    for (const auto& entry : news.entries) {
      auto& server = servers_[entry.server];
      server.id = entry.server;
      server.pool = entry.pool;
      server.version = entry.version;
      if (entry.state == EndpointState::kRemoved && server.state != EndpointState::kRemoved)
        server.removed_at = now_;
      server.state = entry.state;
      // A fresh start time is a cold processor, whether or not its stop was ever listed.
      if (entry.started && (!server.cold_since || *server.cold_since < *entry.started)) {
        meet_cold(server, *entry.started);
        server.suspect = false;
        server.heard_at = now_;
      }
    }
    forget_removed();
  }

  // Ids of servers are always new: without this the table would grow all day.
  void forget_removed() {
    std::erase_if(servers_, [this](const auto& item) {
      const auto& server = item.second;
      return server.state == EndpointState::kRemoved && server.out.empty() &&
             now_ - server.removed_at > kRemovedRetention;
    });
  }

  void heard(Server& server, const LoadReport& report) {
    server.heard_at = now_;
    if (report.wait) learn_excess(server, *report.wait);
    learn_lines(server, report);
    if (server.suspect) clear_suspicion(server);
  }

  static void learn_lines(Server& server, const LoadReport& report) {
    if (report.free_lines) server.free_lines = *report.free_lines;
    if (report.lines) server.lines = *report.lines;
    if (server.free_lines && server.lines) {
      server.max_standing = std::max(server.max_standing, *server.lines - *server.free_lines);
    }
  }

  void learn_delay(Server& server, Duration taken) {
    if (server.calm_delay == Duration::zero() || taken < server.calm_delay) server.calm_delay = taken;
    learn_excess(server, taken - server.calm_delay);
  }

  // Worse news counts whole, better news in part: the draw's weight recovers slowly.
  void learn_excess(Server& server, Duration reading) {
    const Duration faded = own_excess(server);
    const double gain = std::max(kRecoveryGain, 1.0 - freshness(server));
    server.excess = reading >= faded ? reading : faded + scaled(reading - faded, gain);
    server.excess_at = now_;
    if (reading > scaled(span_, kAimedShare * kCalmShare)) press();
    free_tokens(server);  // withheld at the news, not at the next call
  }

  void press() { pressed_until_ = now_ + scaled(span_, kFadeSpans); }

  // A queue cannot drain faster than the clock runs, and the memory of one fades slowly. A server not heard
  // of lately is taken to be no better off than those that were.
  [[nodiscard]] Duration excess(const Server& server) {
    look_at_all();
    const Duration own = own_excess(server);
    return own >= common_ ? own : own + scaled(common_ - own, 1.0 - freshness(server));
  }
  void look_at_all() {
    if (common_at_ == now_) return;
    common_at_ = now_;
    double sum = 0;
    double weights = 1e-9;
    Duration calm{};
    int known = 0;
    for (const auto& [id, one] : servers_) {
      if (!one.usable_state() || one.suspect) continue;
      weights += freshness(one);
      sum += freshness(one) * seconds(own_excess(one));
      calm += one.calm_delay;
      known += one.calm_delay > Duration::zero() ? 1 : 0;
    }
    common_ = scaled(Duration{std::chrono::seconds{1}}, sum / weights);
    common_calm_ = calm / std::max(known, 1);
  }
  // A server not yet met is no quicker than the usual one: all senders would meet it at once.
  [[nodiscard]] Duration calm_delay(const Server& server) {
    look_at_all();
    return server.calm_delay > Duration::zero() ? server.calm_delay : common_calm_;
  }
  [[nodiscard]] double freshness(const Server& server) const {
    return std::exp(-seconds(now_ - server.excess_at) / (kFreshSpans * seconds(span_)));
  }
  [[nodiscard]] Duration own_excess(const Server& server) const {
    const Duration age = now_ - server.excess_at;
    const double fade = std::exp(-seconds(age) / (kFadeSpans * seconds(span_)));
    return std::max(server.excess - age, scaled(server.excess, fade));
  }

  // Set-up delay to expect: what was last heard, but no less than our oldest set-up has waited already.
  // One that a later set-up has overtaken does not count: it was lost.
  [[nodiscard]] Duration delay(const Server& server) {
    const Duration told = calm_delay(server) + excess(server);
    const auto oldest = server.out.upper_bound({server.stood_sent, CallId{UINT32_MAX}});
    return oldest == server.out.end() ? told : std::max(told, now_ - oldest->first);
  }

  void suspect(Server& server, const char* why) {
    if (server.suspect) return;
    server.suspect = true;
    server.suspect_since = now_;
    press();
    server.next_trial = now_;
    log(std::string("suspect: ") + why);
    if (!set_.limits.cancel) return;
    const auto waiting = server.out;
    for (const auto& [since, id] : waiting) cancel(id);
  }

  void clear_suspicion(Server& server) {
    server.suspect = false;
    log("suspect answers again");
    // Departure: a server silent for long may have restarted unlisted; it is met as if just started.
    if (now_ - server.suspect_since > min_aim_) meet_cold(server, now_);
  }

  // ---- tokens and choice --------------------------------------------------------------------------------

  [[nodiscard]] double ready_servers() const {
    return static_cast<double>(std::max<std::ptrdiff_t>(
        1, std::count_if(servers_.begin(), servers_.end(),
                         [](const auto& item) { return item.second.usable_state(); })));
  }

  [[nodiscard]] double warm_servers() const {
    return static_cast<double>(std::count_if(servers_.begin(), servers_.end(), [this](const auto& item) {
      return item.second.usable_state() && !item.second.suspect && warmth(item.second) >= 1.0;
    }));
  }

  [[nodiscard]] double count(const Server& server) const {
    const double calm = arrivals_.per_s(now_) / ready_servers() * seconds(server.calm_delay);
    return std::max(kMinTokens, std::round(kTokensPerCalmSetup * calm));
  }

  // What all senders together have standing at a server tells its size; a fresh start has nothing yet.
  [[nodiscard]] static double size(const Server& server) {
    if (!server.free_lines || !server.lines) return 0;
    return std::max(*server.lines - *server.free_lines, kIdleLines * *server.lines);
  }

  // Part of our calls that is meant for a server if all are equally pressed.
  [[nodiscard]] double fair_part(const Server& server) {
    if (sized_at_ != now_ || total_size_ <= 0) {
      sized_at_ = now_;
      total_size_ = 0;
      for (const auto& [id, one] : servers_) {
        if (!one.usable_state()) continue;
        total_size_ += size(one);
        if (size(one) > 0) continue;
        total_size_ = -1;
        break;
      }
    }
    return total_size_ > 0 ? size(server) / total_size_ : 1.0 / ready_servers();
  }

  // Departure: by Little's law a sender's fair set-ups in progress at a server are its calls a second there
  // times the delay aimed at. The tokens are no more than that, less in proportion as the delay is longer, so
  // those of all senders add up to one queue of the length aimed at, however many senders there are. The part
  // of our calls that the server is meant for grows while the delay is shorter than aimed at, and shrinks.
  double free_tokens(Server& server) {
    const double aimed = seconds(calm_delay(server) + scaled(span_, kAimedShare));
    const double ease = aimed / std::max(seconds(delay(server)), 1e-3);
    const double spans = seconds(now_ - server.part_at) / (kSettleSpans * seconds(span_));
    server.part_at = now_;
    server.part *= std::exp(std::clamp(ease - 1.0, -1.0, 1.0) * std::min(spans, 1.0));
    server.part = std::clamp(server.part, kMinPart, kMaxPart);
    if (now_ >= pressed_until_) return count(server);
    return std::min(count(server), server.part * arrivals_.per_s(now_) * fair_part(server) * aimed * ease);
  }

  [[nodiscard]] bool has_token(Server& server) {
    if (now_ < server.shut_until) return false;
    // Met again with one set-up at a time until enough have stood.
    if (server.shut_spans > kShutSpans && !server.out.empty()) return false;
    const double tokens = free_tokens(server);
    const double out = static_cast<double>(server.out.size());
    if (out + 1.0 <= tokens) return true;
    // A lone set-up that stays out while news since tells of no queue may be lost: another one shows.
    const Duration patience = scaled(min_aim_, kSilenceShare);
    if (server.out.size() == 1 && now_ - server.last_send > patience &&
        server.excess_at > server.last_send + patience / 2 &&
        server.calm_delay + own_excess(server) < scaled(span_, kCalmShare)) {
      return true;
    }
    // Part of a token: one set-up more, spaced so that on average that part is in use.
    return out < tokens && seconds(now_ - server.last_send) * (tokens - out) >= seconds(delay(server));
  }

  // Departure: a full processor turns away at a cost in work, and a faulty one answers at once with errors;
  // either would draw most sends by its speed. It is left alone for a pause that doubles, and met again with
  // one token; each call that stands halves the pause again. One error may be the call's own, and shuts
  // nothing.
  void shut(Server& server, std::optional<Duration> asked) {
    press();
    if (now_ < server.shut_until) return;
    const Duration pause = scaled(span_, server.shut_spans);
    server.shut_until = now_ + std::max(pause, asked.value_or(Duration::zero()));
    server.shut_spans = std::min(2.0 * server.shut_spans, kMaxShutSpans);
  }

  [[nodiscard]] static bool speaks_to(const Server& server, const Call& call) {
    return (call.facts.excluded_versions >> static_cast<unsigned>(server.version) & 1U) == 0;
  }

  // Departure: no server there is can be told what the call needs. Holding it would not change that.
  [[nodiscard]] bool is_unroutable(const Call& call) const {
    if (call.facts.excluded_versions == 0 || call.facts.excluded_versions == kAllVersions)
      return call.facts.excluded_versions != 0;
    bool any = false;
    for (const auto& [id, server] : servers_) {
      if (server.state == EndpointState::kRemoved) continue;
      if (speaks_to(server, call)) return false;
      any = true;
    }
    return any;
  }

  [[nodiscard]] bool may_take(const Server& server, const Call& call) const {
    if (!server.usable_state() || !speaks_to(server, call)) return false;
    if (set_.own_pool && server.pool == *set_.own_pool) return false;
    if (call.facts.is_in_transit) return server.pool == call.facts.destination;
    const auto& pools = call.cls->pools;
    return pools.empty() || std::find(pools.begin(), pools.end(), server.pool) != pools.end();
  }

  [[nodiscard]] bool has_room(Server& server, const Call& call) {
    ++server_evaluations_;
    if (!may_take(server, call) || server.suspect) return false;
    if (server.free_lines && *server.free_lines < call.facts.width) return false;
    if (!has_token(server) || !cold_budget_left(server)) return false;
    // A late call earns little: it may use what is idle, not what calls in time elsewhere could use, and no
    // part of a token, which a call in time would then have to wait for.
    if (call.late) {
      return delay(server) - calm_delay(server) < scaled(span_, kAimedShare * kCalmShare) &&
             free_tokens(server) >= static_cast<double>(server.out.size()) + kLateTokens;
    }
    return now_ + delay(server) <= stand_by(call);
  }

  // Nor may the caller hang up first: callers of little patience would leave dead work behind.
  [[nodiscard]] Instant stand_by(const Call& call) const {
    if (call.late) return {};  // all that are late are alike
    return std::min(call.arrived + call.cls->latency_objective, call.facts.expires);
  }

  // First choice while it has room; otherwise a draw among those with room, weighted by own set-up delay.
  // While many calls are held, all are tried at each event: in one pass room only shrinks, so that what had
  // none for one call has none for its like that has no more time, and is not looked at again. Between passes
  // it may grow, also at the same instant: a call that comes raises the rate of arrivals, and that the
  // tokens.
  Server* choose(const Call& call) {
    const auto [refused, fresh] = no_room_.try_emplace(
        Wish{call.cls.get(), call.late, call.facts.excluded_versions, call.facts.width,
             call.facts.is_in_transit ? std::optional(call.facts.destination) : std::nullopt},
        Instant::min());
    if (!fresh && stand_by(call) <= refused->second) return nullptr;
    std::vector<std::pair<Server*, double>> others;
    double total = 0;
    for (auto& [id, server] : servers_) {
      if (!has_room(server, call)) continue;
      if (server.pool == call.facts.destination) return &server;
      const double weight = std::pow(std::max(seconds(delay(server)), 1e-3), -kDrawPower);
      total += weight;
      others.emplace_back(&server, weight);
    }
    if (others.empty()) {
      refused->second = stand_by(call);
      return nullptr;
    }
    double at = std::uniform_real_distribution<double>(0.0, total)(random_);
    for (const auto& [server, weight] : others) {
      if ((at -= weight) <= 0) return server;
    }
    return others.back().first;
  }

  // ---- a call's life ------------------------------------------------------------------------------------

  void on(const NewCall& news) {
    if (news.call_class >= set_.classes.size())
      throw std::out_of_range("call of a class not in the settings");
    if (calls_.contains(news.call)) return;
    arrivals_.count(now_);
    Call call;
    call.facts = news;
    call.arrived = call.not_before = now_;
    call.cls = classes_[news.call_class];
    const auto& cls = *call.cls;
    call.reject_after = news.expires - 2 * set_.batch_interval;
    // A marked redial belongs to a first try whose aim has most likely gone by.
    call.late_from =
        news.is_redial && !news.was_aborted ? now_ : now_ + scaled(cls.latency_objective, 1.0 - kHoldMargin);
    call.late = now_ >= call.late_from;
    call.priority_weight = call.late ? cls.priority_weight * cls.late_weight_fraction : cls.priority_weight;
    if (past_share(news.tenant)) call.priority_weight *= set_.over_quota_weight;
    calls_.emplace(news.call, call);
    enqueue(news.call);
    // Those held before have been tried at this instant; nothing came free since.
    if (tried_at_ == now_ && !freed_) {
      if (try_queued(news.call)) {
        dequeue(news.call);
        answer(news.call);
      }
    } else {
      place_queued();
    }
  }

  // Departure: what a tenant sends past its share is worth little. A sender knows its own part of the
  // tenant's traffic only; past a multiple of an equal part of the share, so many calls count as past it as
  // are.
  bool past_share(std::size_t tenant) {
    if (tenant >= set_.tenants.size() || !set_.tenants[tenant].quota_per_s || set_.peer_count == 0)
      return false;
    auto& rate = by_tenant_[tenant];
    rate.count(now_);
    const double part = kPastShare * *set_.tenants[tenant].quota_per_s / set_.peer_count;
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) * rate.per_s(now_) > part;
  }

  void on(const Established& news) {
    if (auto* server = find_server(news.server)) {
      heard(*server, {});
      learn_delay(*server, news.elapsed);
      server->shut_spans = std::max(kShutSpans, server->shut_spans / 2.0);
      server->errors_in_row = 0;
      if (warmth(*server) >= 1.0) {
        served_.count(now_, 1.0 / std::max(1.0, warm_servers()));
      } else if (delay(*server) < scaled(span_, kCalmShare)) {
        server->cold_pace *= kColdGrowth;
      } else {
        server->cold_pace = std::max(1.0, server->cold_pace / 2.0);
      }
    }
    auto* call = find_call(news.call);
    if (call == nullptr || !attempt_is(*call, news.server, news.attempt)) return;
    if (auto* server = find_server(news.server))
      server->stood_sent = std::max(server->stood_sent, call->sent);
    return_token(*call);
    // Kept until its ending is reported: a call that stood and ends unanswered is still owed its answer.
    call->stands = true;
  }

  void on(const AttemptEnded& news) {
    auto* server = find_server(news.server);
    if (server != nullptr) read_ending(*server, news);
    auto* call = find_call(news.call);
    if (call == nullptr || !attempt_is(*call, news.server, news.attempt)) return;
    return_token(*call);
    call->at.reset();
    call->facts.excluded_versions |= news.excludes_versions;
    if (news.call_ended) {
      finish(news.call);
      return;
    }
    const bool never_ran = news.outcome == Outcome::kFull || news.outcome == Outcome::kConnectFailed ||
                           news.outcome == Outcome::kNotSent;
    if (!never_ran) call->may_have_run = true;
    if (news.outcome == Outcome::kTimeout || news.outcome == Outcome::kReset ||
        news.outcome == Outcome::kCancelled) {
      call->not_before = now_ + set_.invariants.retry_pause;
    }
    const bool may_repeat = !call->may_have_run || call->cls->idempotent;
    const bool has_attempts_left = call->attempts < set_.limits.max_tries;
    if (may_repeat && has_attempts_left && call->not_before < call->reject_after) {
      enqueue(news.call);
      place_queued();
    } else {
      answer(news.call);
    }
  }

  void read_ending(Server& server, const AttemptEnded& news) {
    switch (news.outcome) {
      case Outcome::kConnectFailed:
        suspect(server, "no connection");
        break;
      case Outcome::kFull:
        heard(server, news.report);
        shut(server, news.retry_after);
        break;
      case Outcome::kTimeout:
      case Outcome::kCancelled:
      case Outcome::kNotSent:
        learn_lines(server, news.report);
        if (news.report.wait) learn_excess(server, *news.report.wait);
        break;
      case Outcome::kReset:
        break;
      case Outcome::kError:
        heard(server, news.report);
        if (!news.is_caller_fault && ++server.errors_in_row >= kErrorsOfFault) shut(server, std::nullopt);
        break;
      case Outcome::kOk:
        heard(server, news.report);
        break;
    }
  }

  void on(const CallAbandoned& news) {
    auto* call = find_call(news.call);
    if (call == nullptr) return;
    if (call->at && !call->stands && set_.limits.cancel && !call->cancelling)
      act(CancelAttempt{news.call, call->attempts - 1});
    return_token(*call);
    finish(news.call);
  }

  void on(const TimerExpired& /*due*/) {
    if (timer_at_ && now_ >= *timer_at_) timer_at_.reset();
  }

  void on(const HealthCheckResult& news) {
    auto* server = find_server(news.server);
    if (server == nullptr) return;
    if (news.is_unsolicited) {
      learn_lines(*server, news.report);
    } else if (news.outcome == Outcome::kOk) {
      heard(*server, news.report);
    } else if (news.outcome == Outcome::kFull) {
      // Turned away for want of room to probe: the server lives, and all senders look at it at once.
      server->heard_at = now_;
    } else if (news.outcome == Outcome::kTimeout) {
      // A probe may wait in the processor's queue: late, it tells a jam or a hang, and no more may go there,
      // but the set-ups that are out may still stand.
      shut(*server, std::nullopt);
    } else if (server->usable_state()) {
      suspect(*server, "probe not connected");
    }
  }

  void on(const PeerMessage& /*news*/) {}

  void enqueue(CallId id) {
    const auto& call = calls_.at(id);
    queue_.insert({-call.priority_weight, Instant{} - call.arrived, id});
  }

  void dequeue(CallId id) {
    const auto& call = calls_.at(id);
    queue_.erase({-call.priority_weight, Instant{} - call.arrived, id});
  }

  // True when the call need not be held longer: it was sent, or it can no longer stand in time.
  bool try_queued(CallId id) {
    auto& call = calls_.at(id);
    if (now_ >= call.reject_after || is_unroutable(call)) return true;
    next_look_ = std::min(next_look_, call.reject_after);  // sooner than the usual look
    if (call.not_before > now_) return false;
    Server* server = choose(call);
    return server != nullptr && send(id, *server);
  }

  // Departure: a call past its aim is held on, behind all that can still stand in time, as far as its caller
  // waits: refused at its aim it would redial at once and pass for a fresh call where redials are not marked.
  void mark_late() {
    std::vector<CallId> late;
    for (const auto& item : queue_) {
      const auto& call = calls_.at(std::get<CallId>(item));
      if (now_ >= call.late_from && !call.late) late.push_back(call.facts.call);
    }
    for (const CallId id : late) {
      dequeue(id);
      auto& call = calls_.at(id);
      call.late = true;
      call.priority_weight *= call.cls->late_weight_fraction;
      enqueue(id);
    }
  }

  // Held calls are placed by worth, then newest first: when not all can be, the oldest would stand just late.
  void place_queued() {
    tried_at_ = now_;
    freed_ = false;
    no_room_.clear();
    next_look_ = now_ + set_.batch_interval * kLookRounds;
    mark_late();
    for (auto at = queue_.begin(); at != queue_.end();) {
      const CallId id = std::get<CallId>(*at);
      if (!try_queued(id)) {
        ++at;
        continue;
      }
      at = queue_.erase(at);
      answer(id);
    }
  }

  void look_around() {
    bool watching = false;
    for (auto& [id, server] : servers_) {
      if (!server.out.empty()) {
        watching = true;
        const Duration patience = scaled(min_aim_, kSilenceShare);
        const Instant quiet_since = std::max(server.heard_at, server.out.begin()->first);
        if (server.usable_state() && !server.suspect && now_ - quiet_since > patience) doubt(server);
      }
      call_off_lost(server);
      if (server.suspect && server.usable_state()) {
        watching = true;
        if (now_ >= server.next_trial) look_at_suspect(server);
      }
    }
    if (!queue_.empty()) {
      watching = true;
      if (tried_at_ != now_ || freed_) place_queued();
    } else {
      next_look_ = now_ + set_.batch_interval * kLookRounds;
    }
    if (watching && (!timer_at_ || next_look_ < *timer_at_)) {
      timer_at_ = std::max(next_look_, now_ + Duration{1});
      act(SetTimer{*timer_at_, TimerHandle{1}});
    }
  }

  // Departure: a set-up older than one that stood since was lost on the way. It is called off, for it would
  // hold its token until its caller leaves. It covers lossy links and restarts that forget what they held.
  void call_off_lost(Server& server) {
    if (server.out.empty()) return;
    const auto [sent, id] = *server.out.begin();
    if (sent < server.stood_sent && now_ - sent > scaled(min_aim_, kSilenceShare)) {
      cancel(id);
      return;
    }
    // Departure: one that was sent in time and cannot stand in time any more is called off, so that a jam
    // does not go on being fed by what it has made late. Of no use where a processor works on what was given
    // up.
    const auto* call = find_call(id);
    if (call == nullptr || call->late || queue_.empty()) return;
    const bool in_time_waits = !calls_.at(std::get<CallId>(*queue_.begin())).late;
    if (in_time_waits && now_ - call->arrived > call->cls->latency_objective) cancel(id);
  }

  // A long queue is silent too: where a probe is allowed it decides.
  void doubt(Server& server) {
    if (!set_.limits.probes) {
      suspect(server, "silent");
    } else if (now_ >= server.next_trial) {
      server.next_trial = now_ + scaled(min_aim_, kTrialShare);
      act(CheckHealth{server.id});
    }
  }

  void look_at_suspect(Server& server) {
    server.next_trial = now_ + scaled(min_aim_, kTrialShare);
    if (set_.limits.probes) {
      act(CheckHealth{server.id});
    } else if (server.out.empty()) {
      clear_suspicion(server);
    }
  }

  // ---- rule guards: every send and every answer passes here ---------------------------------------------

  [[nodiscard]] double warmth(const Server& server) const {
    if (!server.cold_since || set_.invariants.slow_start_duration <= Duration::zero()) return 1.0;
    const double age = seconds(now_ - *server.cold_since) / seconds(set_.invariants.slow_start_duration);
    return std::min(1.0, set_.invariants.slow_start_initial_capacity +
                             (1.0 - set_.invariants.slow_start_initial_capacity) * std::max(0.0, age));
  }

  // Rule 4: a cold server is sent set-ups evenly spaced, at the rate at which a warm one lets our calls stand
  // now, times the warmth. All senders together then stay a `overload_multiple` below the limit, also while
  // the whole fleet is slow or callers redial (arrivals would overstate what a processor bears). As servers
  // may be unequal, its own calm answers raise the pace; a queue shows long before the multiple is reached.
  [[nodiscard]] Duration cold_gap(const Server& server) const {
    const double peer_count = std::max<double>(1.0, set_.peer_count);
    const double blind = kBlindColdSetUps / (peer_count * seconds(set_.invariants.overload_window));
    const double known = kColdShare * warmth(server) * served_.per_s(served_known_at()) * likely_size(server);
    const double rate = std::max(known, blind) * server.cold_pace;
    return Duration{static_cast<std::int64_t>(1e6 / rate)};
  }

  // Size of a cold server against the mean warm one: by what it carried before, else by its lines, which are
  // a plan only and may overstate it.
  [[nodiscard]] double likely_size(const Server& server) const {
    double carried = 0;
    double lines = 0;
    double warm = 0;
    for (const auto& [id, one] : servers_) {
      if (!one.usable_state() || one.suspect || (warm_servers() > 0 && warmth(one) < 1.0)) continue;
      if (!one.lines) return 1.0;
      carried += std::max(one.max_standing, one.carried);
      lines += *one.lines;
      ++warm;
    }
    if (warm <= 0 || !server.lines) return 1.0;
    if (server.carried > 0 && carried > 0) return std::min(server.carried * warm / carried, kMaxLikelySize);
    return std::min(*server.lines * warm / lines, kMaxPlannedSize);
  }

  // While no server is warm, what the last warm ones bore goes on to count.
  [[nodiscard]] Instant served_known_at() const { return warm_servers() > 0 ? now_ : served_.at; }

  [[nodiscard]] bool cold_budget_left(const Server& server) const {
    return warmth(server) >= 1.0 || now_ >= server.next_cold_send;
  }

  // Senders learn of a start at the same moment: each waits for a random part of its first gap.
  void meet_cold(Server& server, Instant since) {
    server.cold_since = since;
    server.carried = std::max(server.carried, server.max_standing);
    server.max_standing = 0;
    server.cold_pace = 1.0;
    const double part = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    server.next_cold_send = now_ + scaled(cold_gap(server), part);
    server.excess = Duration::zero();
    server.part = std::min(server.part, 1.0);
    server.part_at = now_;
  }

  bool send(CallId id, Server& server) {
    auto& call = calls_.at(id);
    const bool allowed = !call.at && call.attempts < set_.limits.max_tries && call.not_before <= now_ &&
                         now_ < call.facts.expires && may_take(server, call) && cold_budget_left(server);
    if (!allowed) return false;
    call.at = server.id;
    call.cancelling = call.stands = false;
    ++call.attempts;
    server.out.insert({now_, id});
    call.sent = now_;
    server.last_send = now_;
    if (warmth(server) < 1.0) server.next_cold_send = now_ + cold_gap(server);
    act(ForwardCall{id, server.id, Duration::zero()});
    return true;
  }

  // The one final answer. A call whose attempt may have run is given up, not refused, where it matters.
  void answer(CallId id) {
    const auto* call = find_call(id);
    if (call == nullptr || call->at) return;
    if (call->may_have_run && !call->cls->idempotent) {
      act(FailCall{id});
    } else {
      // A redial now would meet the same shortage, and be worth no more than late.
      const bool advise = set_.limits.retry_advice && now_ < pressed_until_;
      act(RejectCall{id, advise ? set_.limits.max_retry_advice : Duration::zero()});
    }
    finish(id);
  }

  void cancel(CallId id) {
    auto* call = find_call(id);
    if (call == nullptr || !call->at || call->stands || call->cancelling || !set_.limits.cancel) return;
    call->cancelling = true;
    act(CancelAttempt{id, call->attempts - 1});
  }

  [[nodiscard]] static bool attempt_is(const Call& call, ServerId server, std::uint32_t attempt) {
    return call.at && *call.at == server && call.attempts == attempt + 1;
  }

  void return_token(Call& call) {
    if (!call.at || call.stands) return;
    if (auto* server = find_server(*call.at)) {
      server->out.erase({call.sent, call.facts.call});
    }
    freed_ = true;
  }

  void finish(CallId id) {
    auto found = calls_.find(id);
    if (found == calls_.end()) return;
    return_token(found->second);
    dequeue(id);
    calls_.erase(found);
  }

  // ---- small things -------------------------------------------------------------------------------------

  Server* find_server(ServerId id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
  }
  Call* find_call(CallId id) {
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : &found->second;
  }
  template <typename A>
  void act(A action) {
    out_->emplace_back(std::move(action));
  }
  void log(const std::string& text) {
    const auto last = logged_.find(text);
    if (last != logged_.end() && now_ - last->second < kLogGap) return;
    logged_[text] = now_;
    act(LogMessage{text});
  }

  Settings set_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<const CallClass>> classes_;
  Duration min_aim_{};
  Duration span_{};  // time in which a set-up must be answered before it feeds a jam
  std::map<ServerId, Server> servers_;
  std::unordered_map<CallId, Call> calls_;                // looked up only
  std::set<std::tuple<double, Duration, CallId>> queue_;  // dearest first, then newest
  std::map<std::string, Instant> logged_;
  std::optional<Instant> timer_at_;
  Instant pressed_until_{};  // some server has a queue or is lost
  Instant next_look_{};
  Instant tried_at_{};  // held calls were last tried then
  bool freed_ = true;   // a token came back since
  using Wish = std::tuple<const CallClass*, bool, ProtocolVersionSet, double, std::optional<PoolId>>;
  std::map<Wish, Instant> no_room_;  // calls of which kind found none in this pass, and the time they had
  std::uint64_t server_evaluations_ = 0;
  Rate arrivals_;                // own calls
  std::vector<Rate> by_tenant_;  // own calls, by tenant
  Rate served_;                  // own calls that stood, for each warm server
  double total_size_ = 0;        // of all servers, zero or less: not known of each
  Instant sized_at_{};
  Duration common_{};       // queue of the servers heard of lately
  Duration common_calm_{};  // mean calm delay
  Instant common_at_{};
  Instant now_{};
  std::vector<Action>* out_ = nullptr;
};

Admission::Admission(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Admission::~Admission() = default;
Admission::Admission(Admission&&) noexcept = default;
Admission& Admission::operator=(Admission&&) noexcept = default;
void Admission::start(Instant now, std::vector<Action>& actions) {
  impl_->start(now, actions);
}
std::uint64_t Admission::server_evaluations() const {
  return impl_->server_evaluations();
}
std::size_t Admission::known_servers() const {
  return impl_->known_servers();
}
void Admission::handle(Instant now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}
void Admission::apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
  impl_->apply_reload(classes, limits);
}

}  // namespace amberknot
