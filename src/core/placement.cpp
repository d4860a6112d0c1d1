#include "core/placement.hpp"

#include <algorithm>

namespace amberknot::core {

Verdict Placement::on_attempt_ended(ProtocolVersion version, const ErrorMeaning& meaning,
                                    std::optional<Duration> retry_after) {
  const auto verdict = verdict_of(meaning);
  switch (meaning.about) {
    case About::kServer:
      server_error_ = meaning.reason;
      if (retry_after) retry_after_ = retry_after_ ? std::min(*retry_after_, *retry_after) : *retry_after;
      break;
    case About::kVersion:
      version_error_ = meaning.reason;
      excluded_ |= set_of(version);
      break;
    case About::kCall:
      call_error_ = meaning.reason;
      if (retry_after) retry_after_ = *retry_after;
      break;
  }
  return verdict;
}

Reason Placement::reason(Reason module_reason) const {
  if (call_error_) return *call_error_;
  if (version_error_) return *version_error_;
  // The last server error is more specific than the module's reason, but applies only if it leads to the same
  // kind of final answer.
  if (server_error_ && facts_of(*server_error_).final_answer == facts_of(module_reason).final_answer) {
    return *server_error_;
  }
  return module_reason;
}

}  // namespace amberknot::core
