// Reasons for which calls end, what a server's error says about the attempt that it ended, and which kind of
// final answer the caller gets. The protocol frontends translate these into their own messages.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// Why a call ends or is not set up. Every server error maps to exactly one reason. Every client dialect can
/// express each reason, either with a code of its own or with that of the more general reason in
/// `ReasonInfo::above`.
enum class Reason : std::uint8_t {
  kNormal,              ///< ended at the request of the caller or the server
  kCongestion,          ///< all eligible servers are full
  kNoCircuit,           ///< the server has no free line
  kTimeout,             ///< no answer before the caller's deadline
  kOverQuota,           ///< the tenant has exceeded its quota
  kRegionClosed,        ///< the region accepts no calls at present
  kNumberBusy,          ///< all lines of the number are in use
  kNumberUnknown,       ///< there is no such number
  kTenantUnknown,       ///< the tenant does not exist
  kTenantSuspended,     ///< the tenant is barred from calling at present
  kFieldRejected,       ///< the server does not accept the value of a field
  kNoCompatibleServer,  ///< no available protocol version can express this call
  kDuplicate,           ///< the call's identifier is already in use
  kServerFault,         ///< error within the server
  kAborted,             ///< the server or the connection to it was lost
};
/// Number of enumerators of Reason.
inline constexpr std::size_t kReasonCount = 15;
/// Returns the name of a reason as it stands in translation tables.
std::string_view name_of(Reason reason);
/// Returns the reason of that name, or nothing if the name is unknown.
std::optional<Reason> reason_from_name(std::string_view name);

/// The kind of final answer that the caller gets. A rejection says that the call may safely be retried; a
/// failure says only that this call is over.
enum class FinalAnswerKind : std::uint8_t { kRejected, kFailed };

/// Properties of a Reason.
struct ReasonInfo {
  FinalAnswerKind final_answer;
  Reason
      fallback;  ///< the more general reason, for dialects without a code for this one; a root names itself
};
/// Returns the properties of a reason. The roots are kCongestion for rejections and kServerFault for
/// failures.
const ReasonInfo& info_of(Reason reason);

/// Whether the server may have executed the attempt that an error ended.
enum class ExecutionState : std::uint8_t {
  kNotExecuted,      ///< not executed: the call may be sent to another server
  kMayHaveExecuted,  ///< possibly executed: only an idempotent call may be sent again, after the retry pause
};

/// What an error applies to, and so what follows from it for other calls and other servers.
enum class ErrorScope : std::uint8_t {
  kServer,   ///< the server is faulty or full: this is reported to the decision module
  kVersion,  ///< no server that supports this protocol version can accept the call
  kCall,     ///< no server would accept the call, and none is at fault
};

/// The classification of a server error, independent of the protocol.
struct ErrorClassification {
  Reason reason = Reason::kServerFault;
  ExecutionState execution_state = ExecutionState::kMayHaveExecuted;
  ErrorScope scope = ErrorScope::kServer;

  friend bool operator==(const ErrorClassification&, const ErrorClassification&) = default;
};

/// What the decision module is told about a failed attempt, and whether the call may be sent again.
struct AttemptVerdict {
  Outcome outcome = Outcome::kError;
  bool is_caller_fault = false;     ///< the error does not count against the server
  bool excludes_version = false;    ///< the call must not go to any server of this protocol version
  bool answer_immediately = false;  ///< the call gets its final answer at once, with this reason
};
/// Returns what follows from an error.
AttemptVerdict verdict_of(const ErrorClassification& meaning);

}  // namespace amberknot::core
