// One call among servers of several versions: what is ruled out for it, and which of the errors it met is
// told.
#pragma once

#include <optional>

#include "amberknot/admission.hpp"
#include "core/reason.hpp"

namespace amberknot::core {

/// The version of a server that has not said what it speaks: no call rules it out, but one that is over.
inline constexpr ProtocolVersion kNotKnown{31};

constexpr ProtocolVersionSet set_of(ProtocolVersion version) {
  return ProtocolVersionSet{1} << static_cast<unsigned>(version);
}

/// One call's way through the versions: what is ruled out by now, and what its caller is told in the end. The
/// last error that says something of the call itself goes before those that say something of a server, and
/// these before mere shortage: "the tenant is suspended" tells more than "all are full".
class Placement {
 public:
  Placement() = default;
  explicit Placement(ProtocolVersionSet excluded_versions) : excluded_(excluded_versions) {}

  /// An attempt in that dialect ended with that error. Tells what the module is to hear.
  Verdict on_attempt_ended(ProtocolVersion version, const ErrorMeaning& meaning,
                           std::optional<Duration> retry_after = std::nullopt);

  [[nodiscard]] ProtocolVersionSet excluded_versions() const { return excluded_; }
  /// Whether none of what is spoken now is left for it: it is answered at once. Where nothing is spoken yet
  /// (all servers are being asked) it may wait.
  [[nodiscard]] bool is_unroutable(ProtocolVersionSet supported) const {
    return supported != 0 && (supported & ~excluded_) == 0;
  }
  /// What the caller is told when the call is given up, `otherwise` being why the module gave it up.
  [[nodiscard]] Reason reason(Reason otherwise) const;
  /// How long servers have asked to be left alone, the least of them: one that is free sooner will do.
  [[nodiscard]] std::optional<Duration> retry_after() const { return retry_after_; }

 private:
  ProtocolVersionSet excluded_ = 0;
  std::optional<Reason> about_call_;
  std::optional<Reason> about_version_;
  std::optional<Reason> about_server_;
  std::optional<Duration> retry_after_;
};

}  // namespace amberknot::core
