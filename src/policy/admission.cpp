// Joins the parts of the decision module to a state machine: each event in, the actions that follow out.
// One sender holds a count of tokens per core server (Widell and Nyberg, NTS-15, 2000, "Tokens"); what
// departs from that is marked "Departure" in this folder and listed with its condition in docs/design.md.
#include "amberknot/admission.hpp"

#include "policy/server_choice.hpp"
#include "policy/tenant_quotas.hpp"

namespace amberknot {

using namespace policy;

/// A call is queued, in flight, established, or at its end; see on() for the transitions at each event.
class Admission::Impl {
 public:
  explicit Impl(Settings settings) : context{.settings = std::move(settings)} { context.apply_classes(); }

  void begin_event(Instant now, std::vector<Action>& actions) {
    context.now = now;
    context.actions = &actions;
    choice.begin_pass();
  }

  static constexpr int kCheckIntervalBatches = 4;  // between checks of calls and servers: it costs little

  void on(const EndpointUpdate& update) { fleet.on_update(update); }

  void on(const NewCall& event) {
    if (event.call_class >= context.classes.size())
      throw std::out_of_range("call of a class not in the settings");
    if (calls.find(event.call) != nullptr) return;
    fleet.tokens.count_arrival();
    Call call(event, context.classes[event.call_class], context.now, context.settings.batch_interval);
    if (quotas.is_over_quota(event.tenant)) call.priority_weight *= context.settings.over_quota_weight;
    calls.add(call);
    calls.enqueue(event.call);
    // Those queued before may have been tried at this instant, and no token come back since.
    if (last_pass == context.now && !token_returned) return try_place(event.call);
    place_queued();
  }

  void on(const Established& event) {
    auto* server = context.find_server(event.server);
    if (server != nullptr) fleet.on_established(*server, event.elapsed);
    auto* call = calls.find(event.call);
    if (call == nullptr || !call->is_attempt(event.server, event.attempt)) return;
    if (server) server->last_established_sent = std::max(server->last_established_sent, call->sent);
    return_token(*call);
    // Kept until its end is reported: an established call that ends unanswered is still owed its answer.
    call->established = true;
  }

  void on(const AttemptEnded& event) {
    if (auto* server = context.find_server(event.server)) fleet.on_ended(*server, event);
    auto* call = calls.find(event.call);
    if (call == nullptr || !call->is_attempt(event.server, event.attempt)) return;
    return_token(*call);
    call->server.reset();
    call->facts.excluded_versions |= event.excludes_versions;
    if (event.call_ended) return finish(event.call);
    const auto is_one_of = [&](auto... outcomes) { return ((event.outcome == outcomes) || ...); };
    if (!is_one_of(Outcome::kFull, Outcome::kConnectFailed, Outcome::kNotSent)) call->may_have_run = true;
    if (is_one_of(Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled))
      call->not_before = context.now + context.settings.invariants.retry_pause;
    const bool may_repeat = !call->may_have_run || call->cls->idempotent;
    const bool has_attempts_left = call->attempts < context.settings.limits.max_tries;
    const bool is_in_time = call->not_before < call->reject_after;
    if (!may_repeat || !has_attempts_left || !is_in_time) return answer(event.call);
    calls.enqueue(event.call);
    place_queued();
  }

  void on(const CallAbandoned& event) {
    if (calls.find(event.call) == nullptr) return;
    calls.cancel(event.call);
    finish(event.call);
  }

  void on(const TimerExpired& /*timer*/) {
    if (timer && context.now >= *timer) timer.reset();
  }

  void on(const HealthCheckResult& event) {
    if (auto* server = context.find_server(event.server)) fleet.on_health_check(*server, event);
  }

  void on(const PeerMessage& /*message*/) {}

  void place_queued() {
    last_pass = context.now;
    token_returned = false;
    choice.begin_pass();
    next_check = context.now + context.settings.batch_interval * kCheckIntervalBatches;
    calls.mark_late();
    calls.for_each_queued([this](CallId id) { try_place(id); });
  }

  // A call leaves the queue when it is sent, or can no longer be established in time.
  void try_place(CallId id) {
    auto& call = *calls.find(id);
    const bool is_hopeless = context.now >= call.reject_after || choice.is_unroutable(call);
    if (!is_hopeless) {
      next_check = std::min(next_check, call.reject_after);  // sooner than the usual check
      if (call.not_before > context.now) return;
      Server* server = choice.choose(call);
      if (server == nullptr || !send(call, *server)) return;
    }
    calls.dequeue(id);
    if (is_hopeless) answer(id);
  }

  // The guard of the rules on sending: every attempt passes here.
  bool send(Call& call, Server& server) {
    const bool is_allowed = !call.server && call.attempts < context.settings.limits.max_tries &&
                            call.not_before <= context.now && context.now < call.facts.expires &&
                            choice.is_eligible(server, call) && fleet.slow_start.may_send(server);
    if (!is_allowed) return false;
    call.server = server.id;
    call.cancelling = call.established = false;
    ++call.attempts;
    call.sent = server.last_send = context.now;
    server.in_flight.insert({context.now, call.facts.call});
    fleet.slow_start.on_send(server);
    context.act(ForwardCall{call.facts.call, server.id, Duration::zero()});
    return true;
  }

  // The one final answer. A call whose attempt may have run is not rejected, unless it is idempotent: it
  // fails.
  void answer(CallId id) {
    const auto* call = calls.find(id);
    if (call == nullptr || call->server) return;
    const bool is_failed = call->may_have_run && !call->cls->idempotent;
    // A redial now would meet the same shortage, and have no more weight than a late call.
    const auto& limits = context.settings.limits;
    const bool has_advice = limits.retry_advice && context.now < context.overloaded_until;
    const RejectCall rejection{id, has_advice ? limits.max_retry_advice : Duration::zero()};
    context.act(is_failed ? Action{FailCall{id}} : Action{rejection});
    finish(id);
  }

  void return_token(const Call& call) {
    if (!call.server || call.established) return;
    if (auto* server = context.find_server(*call.server))
      server->in_flight.erase({call.sent, call.facts.call});
    token_returned = true;
  }

  void finish(CallId id) {
    return_token(*calls.find(id));
    calls.dequeue(id);
    calls.erase(id);
  }

  void run_checks() {
    bool is_watching = !calls.is_empty();
    for (auto& [id, server] : context.servers) is_watching = fleet.ejection.check(server) || is_watching;
    if (calls.is_empty()) next_check = context.now + context.settings.batch_interval * kCheckIntervalBatches;
    if (!calls.is_empty() && (last_pass != context.now || token_returned)) place_queued();
    if (is_watching && (!timer || next_check < *timer)) {
      timer = std::max(next_check, context.now + Duration{1});
      context.act(SetTimer{*timer, TimerHandle{1}});
    }
  }

  Context context;
  CallQueue calls{context};
  Fleet fleet{context, calls};
  ServerChoice choice{context, fleet};
  TenantQuotas quotas{context};
  std::optional<Instant> timer;
  Instant next_check{};
  Instant last_pass{};         // queued calls were last tried then
  bool token_returned = true;  // since the last pass
};

Admission::Admission(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Admission::~Admission() = default;
Admission::Admission(Admission&&) noexcept = default;
Admission& Admission::operator=(Admission&&) noexcept = default;
void Admission::start(Instant now, std::vector<Action>& actions) {
  impl_->begin_event(now, actions);
  impl_->context.started = now;
  impl_->context.watch_endpoints();
}
void Admission::handle(Instant now, const Event& event, std::vector<Action>& actions) {
  impl_->begin_event(now, actions);
  std::visit([this](const auto& one) { impl_->on(one); }, event);
  impl_->run_checks();
}
void Admission::apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
  Settings& settings = impl_->context.settings;
  if (classes.size() < settings.classes.size()) throw std::invalid_argument("a class was taken away");
  settings.classes = classes;
  settings.limits = limits;
  impl_->context.apply_classes();
}
std::size_t Admission::known_servers() const {
  return impl_->context.servers.size();
}
std::uint64_t Admission::server_evaluations() const {
  return impl_->choice.evaluations();
}

}  // namespace amberknot
