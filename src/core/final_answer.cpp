#include "core/final_answer.hpp"

#include <algorithm>

namespace amberknot::core {

FinalAnswer final_answer(const AttemptHistory& history, ProtocolVersionSet supported_versions, Reason reason,
                         Duration retry_after, const Limits& limits) {
  const bool has_excluded_versions = history.excluded_versions() != 0;
  const bool is_unroutable = has_excluded_versions && history.is_unroutable(supported_versions);
  FinalAnswer answer{.reason = history.reason(is_unroutable ? Reason::kNoCompatibleServer : reason),
                     .retry_after = Duration::zero()};
  if (!answer.is_rejection()) return answer;
  answer.retry_after = retry_after;
  if (limits.may_advise_retry) {
    const Duration requested_delay = history.retry_after().value_or(Duration::zero());
    answer.retry_after = std::max(retry_after, std::min(requested_delay, limits.max_retry_after));
  }
  return answer;
}

}  // namespace amberknot::core
