#include "core/final_answer.hpp"

#include <algorithm>

namespace amberknot::core {

FinalAnswer final_answer(const Placement& placement, ProtocolVersionSet supported_versions, Reason reason,
                         Duration retry_after, const Limits& limits) {
  const bool has_excluded_versions = placement.excluded_versions() != 0;
  const bool is_unroutable = has_excluded_versions && placement.is_unroutable(supported_versions);
  FinalAnswer answer{.reason = placement.reason(is_unroutable ? Reason::kNoCompatibleServer : reason),
                     .retry_after = Duration::zero()};
  if (!answer.is_rejection()) return answer;
  answer.retry_after = retry_after;
  if (limits.retry_advice) {
    const Duration requested_delay = placement.retry_after().value_or(Duration::zero());
    answer.retry_after = std::max(retry_after, std::min(requested_delay, limits.max_retry_advice));
  }
  return answer;
}

}  // namespace amberknot::core
