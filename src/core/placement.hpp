// Tracks the attempts of one call at servers of several protocol versions: which versions are excluded, and
// which of the errors is reported to the caller. Does no I/O and reads no clock.
#pragma once

#include <optional>

#include "amberknot/admission.hpp"
#include "core/reason.hpp"

namespace amberknot::core {

/// The version of a server that has not yet reported which it supports. A call excludes it only together
/// with all other versions, when it must get its final answer at once; for every other call such a server
/// stays eligible.
inline constexpr ProtocolVersion kUnknownVersion{31};

/// Returns the set that contains only that version.
constexpr ProtocolVersionSet version_set(ProtocolVersion version) {
  return ProtocolVersionSet{1} << static_cast<unsigned>(version);
}

/// The attempts of one call: the protocol versions excluded so far, and the reason that its caller is given
/// in the end. The last error about the call takes precedence, then the last one about a protocol version,
/// then the last one about a server if it leads to the same kind of final answer as the decision module's
/// reason, then the module's reason: "the tenant is suspended" tells the caller more than "all servers are
/// full". A rejection promises that the call was not executed: if it may have been, and must not be executed
/// twice, reasons of rejections do not apply.
class AttemptHistory {
 public:
  AttemptHistory() = default;
  /// An idempotent call may be rejected whatever became of its attempts.
  explicit AttemptHistory(ProtocolVersionSet excluded_versions, bool is_idempotent = true)
      : is_idempotent_(is_idempotent), excluded_(excluded_versions) {}

  /// Records that an attempt at a server of that version ended with that error. Returns what the decision
  /// module is told.
  AttemptVerdict on_attempt_ended(ProtocolVersion version, const ErrorClassification& meaning,
                                  std::optional<Duration> retry_after = std::nullopt);

  /// Records that an attempt ended with that outcome, without an error that explains it. `kOk`: the server
  /// has accepted the call.
  void on_attempt_ended(Outcome outcome);

  /// Whether the call may not be executed again, because an attempt that has ended may have been.
  [[nodiscard]] bool must_not_run_again() const { return !may_be_rejected(); }
  [[nodiscard]] bool is_idempotent() const { return is_idempotent_; }
  [[nodiscard]] ProtocolVersionSet excluded_versions() const { return excluded_; }
  /// Returns whether all supported versions are excluded, so that the call must be answered at once. While no
  /// server has reported its version (`supported` is empty), the call may wait.
  [[nodiscard]] bool is_unroutable(ProtocolVersionSet supported) const {
    return supported != 0 && (supported & ~excluded_) == 0;
  }
  /// Returns the reason that the caller is given; `module_reason` is the one for which the module ended the
  /// call.
  [[nodiscard]] Reason reason(Reason module_reason) const;
  /// Returns the shortest Retry-After requested by a server, since the first server to be available again is
  /// enough. One from an error about the call itself replaces it.
  [[nodiscard]] std::optional<Duration> retry_after() const { return retry_after_; }

 private:
  [[nodiscard]] bool may_be_rejected() const { return is_idempotent_ || !may_have_been_executed_; }

  bool is_idempotent_ = true;
  bool may_have_been_executed_ = false;  ///< by one of the attempts
  ProtocolVersionSet excluded_ = 0;
  std::optional<Reason> call_error_;
  std::optional<Reason> version_error_;
  std::optional<Reason> server_error_;
  std::optional<Duration> retry_after_;
};

}  // namespace amberknot::core
