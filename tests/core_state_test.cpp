// The core's decisions without I/O: states of a call, order of decisions, the reason of a final answer.
#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "core/call.hpp"
#include "core/decision_queue.hpp"
#include "core/final_answer.hpp"

namespace amberknot::core {
namespace {

using std::chrono::milliseconds;

Decision decision_about(std::uint32_t call) {
  Decision decision;
  decision.call = CallId{call};
  return decision;
}

}  // namespace

TEST_CASE("a call's states lead only where its table of transitions says") {
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

TEST_CASE("decisions made while one is carried out wait for their turn") {
  std::vector<std::uint32_t> order;
  DecisionQueue* inner = nullptr;
  bool was_nested = false;
  DecisionQueue queue([&](const Decision& decision) {
    order.push_back(static_cast<std::uint32_t>(decision.call));
    if (decision.call == CallId{1}) was_nested = inner->execute({decision_about(3), decision_about(4)});
    order.push_back(0);  // the end of this one
  });
  inner = &queue;
  CHECK(queue.execute({decision_about(1), decision_about(2)}));
  CHECK_FALSE(was_nested);
  CHECK(order == std::vector<std::uint32_t>{1, 0, 2, 0, 3, 0, 4, 0});
}

TEST_CASE("a final answer: what the servers said of the call goes before why it was ended here") {
  constexpr ProtocolVersion kOld{0};
  constexpr ProtocolVersion kNew{1};
  const ErrorMeaning suspended{Reason::kTenantSuspended, Ran::kNo, About::kCall};
  const ErrorMeaning full{Reason::kNoCircuit, Ran::kNo, About::kServer};
  const ErrorMeaning not_understood{Reason::kFieldRejected, Ran::kNo, About::kVersion};
  Limits limits;
  limits.retry_advice = true;
  limits.max_retry_advice = milliseconds{500};
  const auto listed = set_of(kOld) | set_of(kNew);
  const auto answer = [&](const Placement& placement, ProtocolVersionSet versions) {
    return final_answer(placement, versions, Reason::kCongestion, milliseconds{100}, limits);
  };

  Placement nothing_met;
  CHECK(answer(nothing_met, listed).reason == Reason::kCongestion);
  CHECK(answer(nothing_met, listed).is_rejection());
  CHECK(answer(nothing_met, listed).retry_after == milliseconds{100});

  Placement met_full;
  met_full.on_attempt_ended(kOld, full, milliseconds{900});
  CHECK(answer(met_full, listed).reason == Reason::kNoCircuit);
  CHECK(answer(met_full, listed).retry_after == milliseconds{500});  // no longer than the settings allow
  limits.retry_advice = false;
  CHECK(answer(met_full, listed).retry_after == milliseconds{100});  // the server's advice does not count
  limits.retry_advice = true;

  Placement met_suspended;
  met_suspended.on_attempt_ended(kOld, full, milliseconds{900});
  met_suspended.on_attempt_ended(kOld, suspended);
  CHECK(answer(met_suspended, listed).reason == Reason::kTenantSuspended);
  CHECK_FALSE(answer(met_suspended, listed).is_rejection());
  CHECK(answer(met_suspended, listed).retry_after == Duration::zero());

  Placement excluded;
  excluded.on_attempt_ended(kOld, not_understood);
  CHECK(answer(excluded, set_of(kOld)).reason == Reason::kFieldRejected);
  const Placement excluded_from_the_start(set_of(kOld));
  CHECK(answer(excluded_from_the_start, set_of(kOld)).reason == Reason::kNoCompatibleServer);
  CHECK(answer(excluded_from_the_start, listed).reason == Reason::kCongestion);
  CHECK(answer(excluded_from_the_start, 0).reason ==
        Reason::kCongestion);  // none has reported its version yet
}

}  // namespace amberknot::core
