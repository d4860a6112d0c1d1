// One call among servers of several protocol versions: which are excluded for it, and which of the errors it
// met its caller is given. No I/O and no clock.
#pragma once

#include <optional>

#include "amberknot/admission.hpp"
#include "core/reason.hpp"

namespace amberknot::core {

/// The version of a server that has not reported which it supports: no call excludes it, but one that is
/// over.
inline constexpr ProtocolVersion kNotKnown{31};

constexpr ProtocolVersionSet set_of(ProtocolVersion version) {
  return ProtocolVersionSet{1} << static_cast<unsigned>(version);
}

/// One call's attempts across versions: which are excluded by now, and the reason its caller is given in the
/// end. The last error about the call itself takes precedence over errors about a server, and these over lack
/// of capacity: "the tenant is suspended" says more than "all servers are full".
class Placement {
 public:
  Placement() = default;
  explicit Placement(ProtocolVersionSet excluded_versions) : excluded_(excluded_versions) {}

  /// An attempt at a server of that version ended with that error. Returns what the module is to hear.
  Verdict on_attempt_ended(ProtocolVersion version, const ErrorMeaning& meaning,
                           std::optional<Duration> retry_after = std::nullopt);

  [[nodiscard]] ProtocolVersionSet excluded_versions() const { return excluded_; }
  /// Whether all supported versions are excluded: the call is answered at once. While no server has reported
  /// its version yet (`supported` is empty) the call may wait.
  [[nodiscard]] bool is_unroutable(ProtocolVersionSet supported) const {
    return supported != 0 && (supported & ~excluded_) == 0;
  }
  /// The reason the caller is given; `otherwise` is why the module ended the call.
  [[nodiscard]] Reason reason(Reason otherwise) const;
  /// The shortest Retry-After that servers have asked for: one that is available sooner will do.
  [[nodiscard]] std::optional<Duration> retry_after() const { return retry_after_; }

 private:
  ProtocolVersionSet excluded_ = 0;
  std::optional<Reason> about_call_;
  std::optional<Reason> about_version_;
  std::optional<Reason> about_server_;
  std::optional<Duration> retry_after_;
};

}  // namespace amberknot::core
