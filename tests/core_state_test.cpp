// Tests of the core that need no I/O: the states of a call, the order in which decisions are executed, and
// the reason in the final answer to a caller.
#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "core/call.hpp"
#include "core/call_event.hpp"
#include "core/call_id_generator.hpp"
#include "core/decision_queue.hpp"
#include "core/final_answer.hpp"
#include "core/server_liveness.hpp"

namespace amberknot::core {
namespace {

using std::chrono::milliseconds;

Decision decision_about(std::uint32_t call) {
  Decision decision;
  decision.call = CallId{call};
  return decision;
}

}  // namespace

// Guards against calls of different processes that session servers cannot tell apart.
TEST_CASE("generated call ids are 16 hex digits and do not repeat") {
  CallIdGenerator ids(0xfffffffffffffffe), others(0x0123456789abcdef);
  CHECK(ids.next() == "fffffffffffffffe");
  CHECK(ids.next() == "ffffffffffffffff");
  CHECK(ids.next() == "0000000000000000");
  CHECK(others.next() == "0123456789abcdef");
}

TEST_CASE("a call changes state only along the documented transitions") {
  using enum CallState;
  constexpr CallState kStates[] = {kQueued, kInFlight, kEstablished, kReleasing};
  constexpr bool kAllowed[4][4] = {
      // to queued, in flight, established, releasing
      {false, true, false, false},   // from queued
      {true, false, true, false},    // from in flight
      {false, false, false, true},   // from established
      {false, false, false, false},  // from releasing
  };
  for (std::size_t from = 0; from < 4; ++from) {
    for (std::size_t to = 0; to < 4; ++to) {
      CAPTURE(from);
      CAPTURE(to);
      CHECK(is_transition(kStates[from], kStates[to]) == kAllowed[from][to]);
    }
  }
}

// A server that vanishes sends nothing that could end its calls.
TEST_CASE("a silent server with established calls is probed, and lost in time for the releases") {
  using Verdict = ServerLiveness::Verdict;
  ServerLiveness server;
  const Instant heard{std::chrono::seconds{100}};
  const auto at = [&](int ms) { return server.check(heard + milliseconds{ms}, true); };
  server.on_received(heard);
  server.on_received(heard - milliseconds{50});  // an older report of another connection changes nothing
  CHECK(at(2999) == Verdict::kAlive);
  CHECK(server.check(heard + milliseconds{60'000}, false) == Verdict::kAlive);
  CHECK(at(3000) == Verdict::kProbe);
  CHECK(at(3020) == Verdict::kAlive);
  CHECK(at(4000) == Verdict::kProbe);
  CHECK(at(6999) == Verdict::kProbe);
  CHECK(at(7000) == Verdict::kLost);
  CHECK(at(7020) == Verdict::kLost);
  server.on_received(heard + milliseconds{7030});
  CHECK(at(7040) == Verdict::kAlive);
}

TEST_CASE("the trace line of each event names the call and what decides about it") {
  const struct {
    CallEvent event;
    const char* text;
  } rows[] = {
      {{.kind = CallEventKind::kReceived, .call = "a1"}, "call a1: received"},
      {{.kind = CallEventKind::kForwarded, .call = "a1", .server = "s1", .attempt = 2},
       "call a1: forwarded, server s1, attempt 2"},
      {{.kind = CallEventKind::kAttemptEnded,
        .call = "a1",
        .server = "s1",
        .attempt = 1,
        .outcome = Outcome::kConnectFailed},
       "call a1: attempt ended, server s1, attempt 1, outcome connect failed"},
      {{.kind = CallEventKind::kRejected, .call = "a1", .reason = Reason::kTimeout},
       "call a1: rejected, reason timeout"},
      {{.kind = CallEventKind::kReleased,
        .call = "a1",
        .server = "s1",
        .attempt = 1,
        .cause = Cause::kNormal},
       "call a1: released, server s1, attempt 1, cause 16"},
  };
  for (const auto& row : rows) CHECK(to_text(row.event) == row.text);
}

TEST_CASE("decisions made while another one is executed are appended, not nested") {
  std::vector<std::uint32_t> order;
  DecisionQueue* queue_in_handler = nullptr;
  bool was_executed_nested = false;
  DecisionQueue queue([&](const Decision& decision) {
    order.push_back(static_cast<std::uint32_t>(decision.call));
    if (decision.call == CallId{1})
      was_executed_nested = queue_in_handler->execute({decision_about(3), decision_about(4)});
    order.push_back(0);  // marks the end of this decision
  });
  queue_in_handler = &queue;
  CHECK(queue.execute({decision_about(1), decision_about(2)}));
  CHECK_FALSE(was_executed_nested);
  CHECK(order == std::vector<std::uint32_t>{1, 0, 2, 0, 3, 0, 4, 0});
}

TEST_CASE("errors from servers take precedence over the router's own reason in the final answer") {
  constexpr ProtocolVersion kOld{0};
  constexpr ProtocolVersion kNew{1};
  const ErrorClassification suspended{Reason::kTenantSuspended, ExecutionState::kNotExecuted,
                                      ErrorScope::kCall};
  const ErrorClassification full{Reason::kNoCircuit, ExecutionState::kNotExecuted, ErrorScope::kServer};
  const ErrorClassification version_rejects_field{Reason::kFieldRejected, ExecutionState::kNotExecuted,
                                                  ErrorScope::kVersion};
  Limits limits;
  limits.may_advise_retry = true;
  limits.max_retry_after = milliseconds{500};
  const auto supported_versions = version_set(kOld) | version_set(kNew);
  const auto answer = [&](const AttemptHistory& placement, ProtocolVersionSet versions) {
    return final_answer(placement, versions, Reason::kCongestion, milliseconds{100}, limits);
  };

  AttemptHistory no_attempts;
  CHECK(answer(no_attempts, supported_versions).reason == Reason::kCongestion);
  CHECK(answer(no_attempts, supported_versions).is_rejection());
  CHECK(answer(no_attempts, supported_versions).retry_after == milliseconds{100});

  AttemptHistory after_full;
  after_full.on_attempt_ended(kOld, full, milliseconds{900});
  CHECK(answer(after_full, supported_versions).reason == Reason::kNoCircuit);
  CHECK(answer(after_full, supported_versions).retry_after ==
        milliseconds{500});  // capped at the configured maximum
  limits.may_advise_retry = false;
  CHECK(answer(after_full, supported_versions).retry_after ==
        milliseconds{100});  // the server's Retry-After is ignored
  limits.may_advise_retry = true;

  AttemptHistory after_suspended;
  after_suspended.on_attempt_ended(kOld, full, milliseconds{900});
  after_suspended.on_attempt_ended(kOld, suspended);
  CHECK(answer(after_suspended, supported_versions).reason == Reason::kTenantSuspended);
  CHECK_FALSE(answer(after_suspended, supported_versions).is_rejection());
  CHECK(answer(after_suspended, supported_versions).retry_after == Duration::zero());

  AttemptHistory excluded;
  excluded.on_attempt_ended(kOld, version_rejects_field);
  CHECK(answer(excluded, version_set(kOld)).reason == Reason::kFieldRejected);
  const AttemptHistory excluded_from_the_start(version_set(kOld));
  CHECK(answer(excluded_from_the_start, version_set(kOld)).reason == Reason::kNoCompatibleServer);
  CHECK(answer(excluded_from_the_start, supported_versions).reason == Reason::kCongestion);
  CHECK(answer(excluded_from_the_start, 0).reason ==
        Reason::kCongestion);  // no server has reported its version yet
}

// Guards against a rejection of a call that a server may have executed: its caller would dial again, and the
// call would be executed twice. Every order of up to three ends of attempts, and every reason of the decision
// module.
TEST_CASE(
    "a call that may have been executed and is not idempotent is failed, in whatever order its attempts "
    "ended") {
  struct End {
    std::optional<ErrorClassification> error;
    Outcome outcome = Outcome::kError;
  };
  std::vector<End> ends;
  for (const Outcome outcome : {Outcome::kError, Outcome::kFull, Outcome::kTimeout, Outcome::kConnectFailed,
                                Outcome::kReset, Outcome::kCancelled, Outcome::kNotSent})
    ends.push_back({std::nullopt, outcome});
  for (const Reason reason :
       {Reason::kRegionClosed, Reason::kCongestion, Reason::kNumberBusy, Reason::kAborted}) {
    for (const auto state : {ExecutionState::kNotExecuted, ExecutionState::kMayHaveExecuted}) {
      for (const auto scope : {ErrorScope::kServer, ErrorScope::kVersion, ErrorScope::kCall})
        ends.push_back({ErrorClassification{reason, state, scope}});
    }
  }
  const auto may_be_executed = [](const End& end) {
    if (end.error) return end.error->execution_state == ExecutionState::kMayHaveExecuted;
    return end.outcome != Outcome::kFull && end.outcome != Outcome::kConnectFailed &&
           end.outcome != Outcome::kNotSent;
  };
  const auto is_rejected = [](const std::vector<End>& order, bool is_idempotent, Reason module_reason) {
    AttemptHistory history(0, is_idempotent);
    for (const auto& end : order) {
      if (end.error) {
        history.on_attempt_ended(ProtocolVersion{0}, *end.error);
      } else {
        history.on_attempt_ended(end.outcome);
      }
    }
    return final_answer(history, version_set(ProtocolVersion{1}), module_reason, {}, {}).is_rejection();
  };
  std::vector<std::vector<End>> orders = {{}};
  for (std::size_t first = 0; first < orders.size() && orders[first].size() < 3; ++first) {
    for (const auto& end : ends) {
      auto longer = orders[first];
      longer.push_back(end);
      orders.push_back(std::move(longer));
    }
  }
  std::size_t wrong_rejections = 0, changed_answers = 0;
  for (const auto& order : orders) {
    const bool is_executed = std::any_of(order.begin(), order.end(), may_be_executed);
    for (const Reason reason : {Reason::kCongestion, Reason::kTimeout, Reason::kServerFault}) {
      const bool is_wrong = is_executed && is_rejected(order, false, reason);
      // A call that nothing can have executed is answered like an idempotent one.
      const bool is_changed =
          !is_executed && is_rejected(order, false, reason) != is_rejected(order, true, reason);
      wrong_rejections += is_wrong ? 1 : 0;
      changed_answers += is_changed ? 1 : 0;
    }
  }
  CHECK(orders.size() > 25'000);
  CHECK(wrong_rejections == 0);
  CHECK(changed_answers == 0);
}

}  // namespace amberknot::core
