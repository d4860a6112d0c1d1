// One call as the call table keeps it: its states, the transitions between them, and what it was set up with.
// No I/O and no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/dispatcher.hpp"
#include "core/placement.hpp"
#include "core/ports.hpp"
#include "core/reason.hpp"
#include "core/timer_wheel.hpp"

namespace amberknot::core {

/// A caller's set-up, read and checked by its frontend.
struct NewSetUp {
  std::string id;  ///< 16 hex digits
  std::string call_class;
  std::string number;
  std::string description;
  CallFacts facts;  ///< `expires` is when the caller stops waiting
  /// What the frontend read beyond these fields, for upstream pools that need it; null: nothing.
  std::unique_ptr<const ProtocolMessage> message = {};
};

/// How an attempt ended, before or after the call was established, as the server's side saw it.
struct AttemptEnd {
  Outcome outcome = Outcome::kOk;
  Cause cause = Cause::kNormal;
  bool is_caller_fault = false;
  LoadReport load = {};
  /// What the error means, where a server answered with one; it then decides the outcome.
  std::optional<ErrorMeaning> error = {};
  std::optional<Duration> retry_after = {};  ///< asked for by the server
};

/// The states of a call and what leads from one to the next:
///
/// | from | event | to |
/// | --- | --- | --- |
/// | (new) | `CallTable::admit` | queued |
/// | queued | the module forwards it | in flight |
/// | queued | rejected, failed, abandoned by its caller, or its deadline | (over) |
/// | in flight | the server answers with 200 or its like | established |
/// | in flight | the attempt ends: error, overload, time-out, reset, cancel, never sent | queued |
/// | in flight | abandoned by its caller | (over) |
/// | established | released by the caller | (over) |
/// | established | released by the server, or its server is lost | releasing |
/// | releasing | the caller has been sent its release | (over) |
enum class CallState : std::uint8_t { kQueued, kInFlight, kEstablished, kReleasing };

/// Whether the table above leads from one state to the other.
constexpr bool is_transition(CallState from, CallState to) {
  switch (from) {
    case CallState::kQueued:
      return to == CallState::kInFlight;
    case CallState::kInFlight:
      return to == CallState::kQueued || to == CallState::kEstablished;
    case CallState::kEstablished:
      return to == CallState::kReleasing;
    case CallState::kReleasing:
      return false;
  }
  return false;
}

/// A call from its set-up to its release.
struct Call {
  NewSetUp set_up;
  ClientPort* client = nullptr;
  CallState state = CallState::kQueued;
  std::uint32_t attempts = 0;
  ServerId server{};          ///< of the latest attempt
  ProtocolVersion version{};  ///< the same
  Placement placement;
  Instant sent{};                ///< when the latest attempt was forwarded
  TimerWheel::Handle timer = 0;  ///< of the deadline; 0: none is armed
  Instant timer_due{};

  /// Queued or in flight: its caller is owed a final answer.
  [[nodiscard]] bool is_unanswered() const {
    return state == CallState::kQueued || state == CallState::kInFlight;
  }
};

}  // namespace amberknot::core
