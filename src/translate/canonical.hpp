// The protocol-independent model of a session: the kinds of messages and the meanings of their fields. Every
// dialect is described in these terms.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/reason.hpp"

namespace amberknot::translate {

/// The kinds of messages in the life of a session.
enum class MessageKind : std::uint8_t {
  kSetUp,    ///< client to server: requests a session
  kAnswer,   ///< server to client: the session is established
  kGiveUp,   ///< client to server: abandons a set-up that is not answered yet
  kRelease,  ///< either direction: ends an established session
};
inline constexpr std::size_t kKinds = 4;
/// The name of a kind in the operator's table.
std::string_view name_of(MessageKind kind);
/// Returns nullopt if `name` is not the name of a kind.
std::optional<MessageKind> kind_of(std::string_view name);

/// The meaning of a field. Fields of two dialects with the same meaning are copied to each other unless a
/// table row says otherwise. A field with kNone has no counterpart in other dialects; it needs a table row or
/// must be declared lost.
enum class Meaning : std::uint8_t {
  kNone,
  kCall,           ///< identifier of the session, 16 hex digits
  kClass,          ///< class of call, by its name in the settings
  kNumber,         ///< called number
  kTenant,         ///< tenant, by its name in the settings
  kDescription,    ///< opaque session description of either side
  kRemainingWait,  ///< how long the caller waits for the answer
  kPool,           ///< preferred pool of servers
  kWidth,          ///< number of lines that the call occupies
  kWasAborted,     ///< set if the call was cut off and is set up again
  kTerminal,       ///< identifier of the payment terminal
  kAcquirer,       ///< operator of the terminal
  kTrace,          ///< the terminal's number for the request (ISO 8583 field 11)
  kReference,      ///< retrieval reference number (ISO 8583 field 37)
  kAmount,         ///< amount in minor units of the currency
  kCurrency,       ///< ISO 4217 numeric code, three digits
  kLocalTime,      ///< local date and time as MMDDhhmmss
  kRegion,         ///< region in which the session is settled
  kCause,          ///< Q.850 cause code
  kReason,         ///< name of a Reason
};
inline constexpr std::size_t kMeanings = 20;
/// The name of a meaning in the operator's table, where it is written with a leading `@`.
std::string_view name_of(Meaning meaning);

using core::AttemptVerdict;
using core::ErrorClassification;
using core::ErrorScope;
using core::ExecutionState;
using core::FinalAnswerKind;
using core::info_of;
using core::kReasonCount;
using core::name_of;
using core::Reason;
using core::reason_from_name;
using core::verdict_of;

}  // namespace amberknot::translate
