// The decision module: a state machine that takes one event at a time and returns the actions that follow.
// Each sender holds a number of tokens per session server (Widell and Nyberg, NTS-15, 2000, "Tokens").
// Comments marked "Departure" in this folder explain the rules that differ from that paper; docs/design.md
// lists them with their conditions. "The design" means the paper and that page.
#include "amberknot/admission.hpp"

#include "policy/server_choice.hpp"
#include "policy/tenant_quotas.hpp"

namespace amberknot {

using namespace policy;

/// State machine of all calls of one sender. A call is queued, in flight, established or finished; the on()
/// overloads are the transitions at each event.
class Admission::Impl {
 public:
  explicit Impl(Settings settings) : context{.settings = std::move(settings)} { context.apply_classes(); }

  void begin_event(Instant now, std::vector<Action>& actions) {
    context.now = now;
    context.actions = &actions;
    choice.begin_pass();
  }

  // Batch intervals between checks of the queued calls and the servers; short, because a check is cheap
  static constexpr int kCheckIntervalBatches = 4;

  void on(const EndpointUpdate& update) { fleet.on_update(update); }

  void on(const NewCall& event) {
    if (event.call_class >= context.classes.size())
      throw std::out_of_range("new call: its class of call is not in the settings");
    if (calls.find(event.call) != nullptr) return;
    fleet.tokens.count_arrival();
    Call call(event, context.classes[event.call_class], context.now, context.settings.batch_interval);
    if (quotas.is_over_quota(event.tenant)) call.priority_weight *= context.settings.over_quota_weight_factor;
    calls.add(call);
    calls.enqueue(event.call);
    // If the queued calls were tried at this instant and no token has been returned since, only the new
    // call is tried. The small rise in capacity that its arrival brings is used in the next pass.
    if (last_pass == context.now && !has_returned_token) return try_place(event.call);
    place_queued();
  }

  void on(const Established& event) {
    auto* server = context.find_server(event.server);
    if (server != nullptr) fleet.on_established(*server, event.elapsed);
    auto* call = calls.find(event.call);
    if (call == nullptr || !call->is_current_attempt(event.server, event.attempt)) return;
    if (server) server->last_established_sent = std::max(server->last_established_sent, call->sent);
    return_token(*call);
    // The call stays in the table until its end is reported: if it ends before it was answered, the caller
    // still needs a final answer.
    call->is_established = true;
  }

  void on(const AttemptEnded& event) {
    if (auto* server = context.find_server(event.server)) fleet.on_ended(*server, event);
    auto* call = calls.find(event.call);
    if (call == nullptr || !call->is_current_attempt(event.server, event.attempt)) return;
    return_token(*call);
    call->server.reset();
    call->request.excluded_versions |= event.newly_excluded_versions;
    if (event.call_ended) return finish(event.call);
    const auto is_one_of = [&](auto... outcomes) { return ((event.outcome == outcomes) || ...); };
    if (!is_one_of(Outcome::kFull, Outcome::kConnectFailed, Outcome::kNotSent))
      call->may_have_been_executed = true;
    if (is_one_of(Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled))
      call->not_before = context.now + context.settings.invariants.retry_pause;
    const bool may_repeat = !call->may_have_been_executed || call->class_settings->idempotent;
    const bool has_attempts_left = call->attempts < context.settings.limits.max_attempts;
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
    if (next_timer && context.now >= *next_timer) next_timer.reset();
  }

  void on(const HealthCheckResult& event) {
    if (auto* server = context.find_server(event.server)) fleet.on_health_check(*server, event);
  }

  void on(const PeerMessage& /*message*/) {}

  void place_queued() {
    last_pass = context.now;
    has_returned_token = false;
    choice.begin_pass();
    next_check = context.now + context.settings.batch_interval * kCheckIntervalBatches;
    calls.mark_late();
    calls.for_each_queued([this](CallId id) { try_place(id); });
  }

  /// Sends the call if a server has capacity, and removes it from the queue. A call whose time in the queue
  /// has ended (reject_after), or that no listed server supports, is removed and answered.
  void try_place(CallId id) {
    auto& call = *calls.find(id);
    const bool is_unservable = context.now >= call.reject_after || choice.is_unroutable(call);
    if (!is_unservable) {
      // The next check must be no later than the end of the call's time in the queue.
      next_check = std::min(next_check, call.reject_after);
      if (call.not_before > context.now) return;
      Server* server = choice.choose(call);
      if (server == nullptr || !send(call, *server)) return;
    }
    calls.dequeue(id);
    if (is_unservable) answer(id);
  }

  /// Enforces the rules for sending; every attempt goes through here. Returns false if a rule forbids it.
  bool send(Call& call, Server& server) {
    const bool is_allowed = !call.server && call.attempts < context.settings.limits.max_attempts &&
                            call.not_before <= context.now && context.now < call.request.expires &&
                            choice.is_eligible(server, call) && fleet.slow_start.may_send(server);
    if (!is_allowed) return false;
    call.server = server.id;
    call.is_cancelling = call.is_established = false;
    ++call.attempts;
    call.sent = server.last_send = context.now;
    server.in_flight.insert({context.now, call.request.call});
    fleet.slow_start.on_send(server);
    context.emit(ForwardCall{call.request.call, server.id, Duration::zero()});
    return true;
  }

  /// Gives the call its only final answer. A call that a server may have executed is failed instead of
  /// rejected, unless it is idempotent, because a rejected call may be sent again.
  void answer(CallId id) {
    const auto* call = calls.find(id);
    if (call == nullptr || call->server) return;
    const bool is_failed = call->may_have_been_executed && !call->class_settings->idempotent;
    // Advises a pause during an overload. An immediate redial would meet the same overload and, where redials
    // are marked, would weigh no more than a late call.
    const auto& limits = context.settings.limits;
    const bool has_advice = limits.may_advise_retry && context.now < context.overloaded_until;
    const RejectCall rejection{id, has_advice ? limits.max_retry_after : Duration::zero()};
    context.emit(is_failed ? Action{FailCall{id}} : Action{rejection});
    finish(id);
  }

  void return_token(const Call& call) {
    if (!call.server || call.is_established) return;
    if (auto* server = context.find_server(*call.server))
      server->in_flight.erase({call.sent, call.request.call});
    has_returned_token = true;
  }

  void finish(CallId id) {
    return_token(*calls.find(id));
    calls.dequeue(id);
    calls.erase(id);
  }

  void run_checks() {
    bool needs_timer = !calls.is_queue_empty();
    for (auto& [id, server] : context.servers) needs_timer = fleet.ejection.check(server) || needs_timer;
    if (calls.is_queue_empty())
      next_check = context.now + context.settings.batch_interval * kCheckIntervalBatches;
    if (!calls.is_queue_empty() && (last_pass != context.now || has_returned_token)) place_queued();
    if (needs_timer && (!next_timer || next_check < *next_timer)) {
      next_timer = std::max(next_check, context.now + Duration{1});
      context.emit(SetTimer{*next_timer, TimerHandle{1}});
    }
  }

  Context context;
  CallQueue calls{context};
  Fleet fleet{context, calls};
  ServerChoice choice{context, fleet};
  TenantQuotas quotas{context};
  std::optional<Instant> next_timer;
  Instant next_check{};
  Instant last_pass{};             // when the queued calls were last tried
  bool has_returned_token = true;  // since the last pass over the queue
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
  std::visit([this](const auto& concrete_event) { impl_->on(concrete_event); }, event);
  impl_->run_checks();
}
void Admission::apply_reload(const std::vector<CallClass>& classes, const Limits& limits) {
  Settings& settings = impl_->context.settings;
  if (classes.size() < settings.classes.size())
    throw std::invalid_argument(
        "the new settings have fewer call classes than before; classes cannot be removed");
  settings.classes = classes;
  settings.limits = limits;
  impl_->context.apply_classes();
}
std::size_t Admission::known_server_count() const {
  return impl_->context.servers.size();
}
std::uint64_t Admission::server_evaluations() const {
  return impl_->choice.evaluations();
}

}  // namespace amberknot
