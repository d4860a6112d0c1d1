#include "core/reason.hpp"

namespace amberknot::core {
namespace {

struct ReasonRow {
  std::string_view name;
  ReasonInfo facts;
};
constexpr std::array<ReasonRow, kReasonCount> kReasonRows = {{
    {"normal", {FinalAnswerKind::kFailed, Reason::kServerFault}},
    {"congestion", {FinalAnswerKind::kRejected, Reason::kCongestion}},
    {"no-circuit", {FinalAnswerKind::kRejected, Reason::kCongestion}},
    {"timeout", {FinalAnswerKind::kRejected, Reason::kCongestion}},
    {"over-share", {FinalAnswerKind::kRejected, Reason::kCongestion}},
    {"region-closed", {FinalAnswerKind::kRejected, Reason::kCongestion}},
    {"number-busy", {FinalAnswerKind::kFailed, Reason::kServerFault}},
    {"number-unknown", {FinalAnswerKind::kFailed, Reason::kFieldRejected}},
    {"tenant-unknown", {FinalAnswerKind::kFailed, Reason::kFieldRejected}},
    {"tenant-suspended", {FinalAnswerKind::kFailed, Reason::kTenantUnknown}},
    {"field-refused", {FinalAnswerKind::kFailed, Reason::kServerFault}},
    {"no-server-speaks", {FinalAnswerKind::kFailed, Reason::kFieldRejected}},
    {"duplicate", {FinalAnswerKind::kFailed, Reason::kFieldRejected}},
    {"server-fault", {FinalAnswerKind::kFailed, Reason::kServerFault}},
    {"cut", {FinalAnswerKind::kFailed, Reason::kServerFault}},
}};

}  // namespace

std::string_view name_of(Reason reason) {
  return kReasonRows[static_cast<std::size_t>(reason)].name;
}
const ReasonInfo& info_of(Reason reason) {
  return kReasonRows[static_cast<std::size_t>(reason)].facts;
}

std::optional<Reason> reason_from_name(std::string_view name) {
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    if (kReasonRows[i].name == name) return static_cast<Reason>(i);
  }
  return std::nullopt;
}

AttemptVerdict verdict_of(const ErrorClassification& meaning) {
  AttemptVerdict verdict;
  switch (meaning.scope) {
    case ErrorScope::kServer:
      // kFull tells the decision module that the attempt was not executed, and makes it pause traffic to the
      // server. An attempt that may have been executed is therefore reported as an error of the server.
      if (meaning.execution_state == ExecutionState::kMayHaveExecuted) {
        verdict.outcome = meaning.reason == Reason::kTimeout   ? Outcome::kTimeout
                          : meaning.reason == Reason::kAborted ? Outcome::kReset
                                                               : Outcome::kError;
      } else {
        const bool is_full = meaning.reason == Reason::kCongestion || meaning.reason == Reason::kNoCircuit;
        verdict.outcome = is_full ? Outcome::kFull : Outcome::kNotSent;
      }
      break;
    case ErrorScope::kVersion:
      verdict.outcome =
          meaning.execution_state == ExecutionState::kNotExecuted ? Outcome::kNotSent : Outcome::kError;
      verdict.is_caller_fault = true;
      verdict.excludes_version = true;
      break;
    case ErrorScope::kCall:
      verdict.outcome = Outcome::kError;
      verdict.is_caller_fault = true;
      verdict.answer_immediately = true;
      break;
  }
  return verdict;
}

}  // namespace amberknot::core
