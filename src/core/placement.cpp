#include "core/placement.hpp"

#include <algorithm>

namespace amberknot::core {

AttemptVerdict AttemptHistory::on_attempt_ended(ProtocolVersion version, const ErrorClassification& meaning,
                                                std::optional<Duration> retry_after) {
  const auto verdict = verdict_of(meaning);
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

Reason AttemptHistory::reason(Reason module_reason) const {
  if (call_error_) return *call_error_;
  if (version_error_) return *version_error_;
  // The last server error is more specific than the module's reason, but applies only if it leads to the same
  // kind of final answer.
  if (server_error_ && info_of(*server_error_).final_answer == info_of(module_reason).final_answer) {
    return *server_error_;
  }
  return module_reason;
}

}  // namespace amberknot::core
