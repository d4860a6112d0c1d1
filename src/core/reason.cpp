#include "core/reason.hpp"

namespace amberknot::core {
namespace {

struct ReasonRow {
  std::string_view name;
  ReasonInfo facts;
};
constexpr std::array<ReasonRow, kReasons> kReasonRows = {{
    {"normal", {Final::kFailed, Reason::kServerFault}},
    {"congestion", {Final::kRejected, Reason::kCongestion}},
    {"no-circuit", {Final::kRejected, Reason::kCongestion}},
    {"timeout", {Final::kRejected, Reason::kCongestion}},
    {"over-share", {Final::kRejected, Reason::kCongestion}},
    {"region-closed", {Final::kRejected, Reason::kCongestion}},
    {"number-busy", {Final::kFailed, Reason::kServerFault}},
    {"number-unknown", {Final::kFailed, Reason::kFieldRejected}},
    {"tenant-unknown", {Final::kFailed, Reason::kFieldRejected}},
    {"tenant-suspended", {Final::kFailed, Reason::kTenantUnknown}},
    {"field-refused", {Final::kFailed, Reason::kServerFault}},
    {"no-server-speaks", {Final::kFailed, Reason::kFieldRejected}},
    {"duplicate", {Final::kFailed, Reason::kFieldRejected}},
    {"server-fault", {Final::kFailed, Reason::kServerFault}},
    {"cut", {Final::kFailed, Reason::kServerFault}},
}};

}  // namespace

std::string_view name_of(Reason reason) {
  return kReasonRows[static_cast<std::size_t>(reason)].name;
}
const ReasonInfo& facts_of(Reason reason) {
  return kReasonRows[static_cast<std::size_t>(reason)].facts;
}

std::optional<Reason> reason_of(std::string_view name) {
  for (std::size_t i = 0; i < kReasons; ++i) {
    if (kReasonRows[i].name == name) return static_cast<Reason>(i);
  }
  return std::nullopt;
}

Verdict verdict_of(const ErrorMeaning& meaning) {
  Verdict verdict;
  switch (meaning.about) {
    case About::kServer:
      // The module pauses traffic to a server after kFull, which implies that the attempt was not executed.
      // An attempt that may have been executed counts as an error of the server.
      if (meaning.ran == Ran::kMaybe) {
        verdict.outcome = meaning.reason == Reason::kTimeout   ? Outcome::kTimeout
                          : meaning.reason == Reason::kAborted ? Outcome::kReset
                                                               : Outcome::kError;
      } else {
        const bool is_full = meaning.reason == Reason::kCongestion || meaning.reason == Reason::kNoCircuit;
        verdict.outcome = is_full ? Outcome::kFull : Outcome::kNotSent;
      }
      break;
    case About::kVersion:
      verdict.outcome = meaning.ran == Ran::kNo ? Outcome::kNotSent : Outcome::kError;
      verdict.is_caller_fault = true;
      verdict.excludes_version = true;
      break;
    case About::kCall:
      verdict.outcome = Outcome::kError;
      verdict.is_caller_fault = true;
      verdict.final_now = true;
      break;
  }
  return verdict;
}

}  // namespace amberknot::core
