// A call as stored in the call table: its set-up, its states and the transitions between them. Does no I/O
// and reads no clock.
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

/// A set-up request from a caller, parsed and validated by its frontend.
struct SetUpRequest {
  std::string id;  ///< 16 hex digits
  /// Identifies the request for its caller, who repeats it with the same key; empty if that is `id`.
  std::string repeat_key = {};
  std::string call_class;
  std::string number;
  std::string description;
  /// `expires` is when the caller stops waiting. CallTable::add_call() makes it earlier by the margin for the
  /// final answer, and a shutdown may make it earlier still.
  CallRequest request;
  /// The parsed request, for upstream pools that need more than the fields above; null if there is none.
  std::unique_ptr<const ProtocolMessage> message = {};
};

/// How an attempt ended, before or after the call was established, as seen by the upstream pool.
struct AttemptEnd {
  Outcome outcome = Outcome::kOk;
  Cause cause = Cause::kNormal;
  bool is_caller_fault = false;
  LoadReport load = {};
  /// The classification of the server's error response, if there was one; it then determines the outcome.
  std::optional<ErrorClassification> error = {};
  std::optional<Duration> retry_after = {};  ///< delay requested by the server
};

/// The states of a call, and the events that lead from one to the next:
///
/// | from | event | to |
/// | --- | --- | --- |
/// | (new) | `CallTable::add_call` | queued |
/// | queued | the decision module forwards it | in flight |
/// | queued | rejected, failed, abandoned by its caller, or expired | (over) |
/// | in flight | the server accepts the call (200 or equivalent) | established |
/// | in flight | the attempt ends: error, overload, timeout, reset, cancelled or never sent | queued |
/// | in flight | abandoned by its caller | (over) |
/// | established | released by the caller or by the exit of the process | (over) |
/// | established | failed, because the caller's protocol cannot carry the answer | (over) |
/// | established | released by the server, or its server is lost | releasing |
/// | releasing | the release has been sent to the caller | (over) |
enum class CallState : std::uint8_t { kQueued, kInFlight, kEstablished, kReleasing };

/// Returns whether the table above contains a transition from `from` to `to`.
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
  SetUpRequest set_up;
  ClientPort* client = nullptr;
  CallState state = CallState::kQueued;
  std::uint32_t attempts = 0;
  ServerId server{};          ///< server of the latest attempt
  ProtocolVersion version{};  ///< protocol version of the latest attempt
  AttemptHistory history;
  Instant sent_at{};             ///< when the latest attempt was forwarded
  TimerWheel::Handle timer = 0;  ///< the deadline timer; 0 if none is armed
  Instant timer_due_at{};

  /// Whether the call is queued or in flight, so that its caller still waits for a final answer.
  [[nodiscard]] bool is_unanswered() const {
    return state == CallState::kQueued || state == CallState::kInFlight;
  }
};

}  // namespace amberknot::core
