// Why calls end, what an error of a server proves, and what a caller is told in the end. Words for it are the
// fronts'.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// Why a call ends, or is not set up. Every error of a server falls on exactly one of these, and every
/// client's dialect has a word for each, its own or that of the reason above it.
enum class Reason : std::uint8_t {
  kNormal,              ///< ended by a side's wish
  kCongestion,          ///< all servers that may take it are full
  kNoCircuit,           ///< the server has no free line
  kTimeout,             ///< no answer within the caller's patience
  kOverQuota,           ///< the tenant is past its share
  kRegionClosed,        ///< nothing is settled there now
  kNumberBusy,          ///< all lines of the number are in use
  kNumberUnknown,       ///< there is no such number
  kTenantUnknown,       ///< nobody knows the tenant
  kTenantSuspended,     ///< the tenant may not call now
  kFieldRejected,       ///< a field has a value that is not taken
  kNoCompatibleServer,  ///< no server's version can be told what this call needs
  kDuplicate,           ///< the identity is in use
  kServerFault,         ///< an error of the server
  kAborted,             ///< its server or link was lost
};
inline constexpr std::size_t kReasons = 15;
std::string_view name_of(Reason reason);
std::optional<Reason> reason_of(std::string_view name);

/// How the caller is told. A refusal says that trying again is harmless; a failure says no more than that
/// this call is over.
enum class Final : std::uint8_t { kRejected, kFailed };

struct ReasonFacts {
  Final final_answer;
  Reason above;  ///< whose word is used where a dialect has none of its own; itself at the two roots
};
/// The roots are kCongestion for refusals and kServerFault for failures.
const ReasonFacts& facts_of(Reason reason);

/// What an error proves of the attempt that it ended.
enum class Ran : std::uint8_t {
  kNo,     ///< nothing ran: the call may be placed elsewhere
  kMaybe,  ///< it may have run: only a repeatable call may be placed again, after the release wait
};

/// Whom an error is about: what may be concluded for other calls and other servers.
enum class About : std::uint8_t {
  kServer,   ///< the server is at fault or full: the module hears of it
  kVersion,  ///< this version of the protocol cannot take the call: no server that speaks it can
  kCall,     ///< the call itself: no server would take it, and no server is to blame
};

/// The one meaning of an error.
struct ErrorMeaning {
  Reason reason = Reason::kServerFault;
  Ran ran = Ran::kMaybe;
  About about = About::kServer;

  friend bool operator==(const ErrorMeaning&, const ErrorMeaning&) = default;
};

/// What the decision module is told of an attempt that ended so, and whether the call may be placed again.
struct Verdict {
  Outcome outcome = Outcome::kError;
  bool is_caller_fault = false;   ///< no fault of the server: it is not counted against it
  bool excludes_version = false;  ///< no server of this version may have the call
  bool final_now = false;         ///< the call is answered at once, with the reason
};
Verdict verdict_of(const ErrorMeaning& meaning);

}  // namespace amberknot::core
