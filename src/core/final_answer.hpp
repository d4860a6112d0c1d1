// Determines the final answer of a call that is not established: the reason its caller is given, and when to
// retry. A pure function of the call's attempts; does no I/O and reads no clock.
#pragma once

#include "amberknot/admission.hpp"
#include "core/placement.hpp"
#include "core/reason.hpp"

namespace amberknot::core {

/// The final answer of a call; `info_of(reason)` says whether it is a rejection or a failure.
struct FinalAnswer {
  Reason reason = Reason::kCongestion;
  Duration retry_after{};  ///< for rejections; zero gives no advice

  [[nodiscard]] bool is_rejection() const {
    return info_of(reason).final_answer == FinalAnswerKind::kRejected;
  }
};

/// Returns the final answer of a call that this router ends with `reason` and the retry delay `retry_after`.
/// Errors about the call or a protocol version take precedence over `reason`; an error of a server does so
/// only if it leads to the same kind of final answer. A call that may have been executed and is not
/// idempotent is never rejected. If every supported version is excluded, kNoCompatibleServer replaces
/// `reason`. A longer retry delay requested by servers replaces `retry_after` if the settings allow retry
/// advice, up to their maximum.
FinalAnswer final_answer(const AttemptHistory& history, ProtocolVersionSet supported_versions, Reason reason,
                         Duration retry_after, const Limits& limits);

}  // namespace amberknot::core
