#include "core/placement.hpp"

#include <algorithm>

namespace amberknot::core {

AttemptVerdict AttemptHistory::on_attempt_ended(ProtocolVersion version, const ErrorClassification& meaning,
                                                std::optional<Duration> retry_after) {
  const auto verdict = verdict_of(meaning);
  if (meaning.execution_state == ExecutionState::kMayHaveExecuted) may_have_been_executed_ = true;
  switch (meaning.scope) {
    case ErrorScope::kServer:
      server_error_ = meaning.reason;
      if (retry_after) retry_after_ = retry_after_ ? std::min(*retry_after_, *retry_after) : *retry_after;
      break;
    case ErrorScope::kVersion:
      version_error_ = meaning.reason;
      excluded_ |= version_set(version);
      break;
    case ErrorScope::kCall:
      call_error_ = meaning.reason;
      if (retry_after) retry_after_ = *retry_after;
      break;
  }
  return verdict;
}

void AttemptHistory::on_attempt_ended(Outcome outcome) {
  const bool is_not_executed =
      outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
  if (!is_not_executed) may_have_been_executed_ = true;
}

Reason AttemptHistory::reason(Reason module_reason) const {
  const auto is_rejection = [](Reason reason) {
    return info_of(reason).final_answer == FinalAnswerKind::kRejected;
  };
  const auto applies = [&](const std::optional<Reason>& reason) {
    return reason && (may_be_rejected() || !is_rejection(*reason));
  };
  if (applies(call_error_)) return *call_error_;
  if (applies(version_error_)) return *version_error_;
  const bool must_fail = is_rejection(module_reason) && !may_be_rejected();
  const Reason default_reason = must_fail ? Reason::kServerFault : module_reason;
  // The last server error is more specific than the module's reason, but applies only if it leads to the same
  // kind of final answer.
  if (server_error_ && is_rejection(*server_error_) == is_rejection(default_reason)) return *server_error_;
  return default_reason;
}

}  // namespace amberknot::core
