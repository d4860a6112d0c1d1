// The one final answer of a call that is not established: which reason its caller is given, and when to
// retry. A pure function over what the call has met. No I/O and no clock.
#pragma once

#include "amberknot/admission.hpp"
#include "core/placement.hpp"
#include "core/reason.hpp"

namespace amberknot::core {

/// A rejection or a failure, as `facts_of(reason)` says.
struct FinalAnswer {
  Reason reason = Reason::kCongestion;
  Duration retry_after{};  ///< of a rejection; zero: no advice

  [[nodiscard]] bool is_rejection() const { return facts_of(reason).final_answer == Final::kRejected; }
};

/// `reason` and `retry_after` are why and with which advice the call is ended here. What its servers said of
/// it goes before them. Advice of servers counts where the settings allow any, and no longer than they do.
FinalAnswer final_answer(const Placement& placement, ProtocolVersionSet listed_versions, Reason reason,
                         Duration retry_after, const Limits& limits);

}  // namespace amberknot::core
