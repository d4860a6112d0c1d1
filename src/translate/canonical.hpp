// What a session's messages mean, whatever the protocol: the middle into which every dialect is explained.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/reason.hpp"

namespace amberknot::translate {

/// The messages of a session's life.
enum class Kind : std::uint8_t {
  kSetUp,    ///< client to server: asks for a session
  kAnswer,   ///< server to client: the session stands
  kGiveUp,   ///< client to server: the set-up is not waited for any more
  kRelease,  ///< either way: a session that stands is over
};
inline constexpr std::size_t kKinds = 4;
std::string_view name_of(Kind kind);
std::optional<Kind> kind_of(std::string_view name);

/// What a field means. Two dialects' fields of one meaning are copied into each other unless a table says
/// otherwise. A field that means nothing to the other side has kNone and needs a row, or is declared lost.
enum class Meaning : std::uint8_t {
  kNone,
  kCall,         ///< the session's identity, 16 hex digits on the platform
  kClass,        ///< class of the call, named as in the settings
  kNumber,       ///< the number called
  kTenant,       ///< the retailer, named as in the settings
  kDescription,  ///< opaque, of either side
  kPatience,     ///< how long the caller waits
  kPool,         ///< first choice of servers
  kWidth,        ///< lines that it takes
  kAgain,        ///< it was cut and comes again
  kTerminal,     ///< the till
  kAcquirer,     ///< who operates the till
  kTrace,        ///< the till's own number of the request (ISO 8583 field 11)
  kReference,    ///< retrieval reference (ISO 8583 field 37)
  kAmount,       ///< minor units
  kCurrency,     ///< ISO 4217, three digits
  kLocalTime,    ///< MMDDhhmmss
  kRegion,       ///< where the session is settled
  kCause,        ///< Q.850
  kReason,       ///< one of Reason, by name
};
inline constexpr std::size_t kMeanings = 20;
std::string_view name_of(Meaning meaning);

using core::About;
using core::ErrorMeaning;
using core::facts_of;
using core::Final;
using core::kReasons;
using core::name_of;
using core::Ran;
using core::Reason;
using core::reason_of;
using core::Verdict;
using core::verdict_of;

}  // namespace amberknot::translate
