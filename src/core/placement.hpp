// One call among servers of several versions: what is ruled out for it, and which of the errors it met is
// told.
#pragma once

#include <optional>

#include "amberknot/admission.hpp"
#include "core/reason.hpp"

namespace amberknot::core {

/// The version of a server that has not said what it speaks: no call rules it out, but one that is over.
inline constexpr VersionNo kNotKnown{31};

constexpr VersionSet set_of(VersionNo version) {
  return VersionSet{1} << static_cast<unsigned>(version);
}

/// One call's way through the versions: what is ruled out by now, and what its caller is told in the end. The
/// last error that says something of the call itself goes before those that say something of a server, and
/// these before mere shortage: "the tenant is suspended" tells more than "all are full".
class Placement {
 public:
  Placement() = default;
  explicit Placement(VersionSet ruled_out) : out_(ruled_out) {}

  /// An attempt in that dialect ended with that error. Tells what the module is to hear.
  Verdict ended(VersionNo version, const ErrorMeaning& meaning,
                std::optional<Duration> stay_away = std::nullopt);

  [[nodiscard]] VersionSet ruled_out() const { return out_; }
  /// Whether none of what is spoken now is left for it: it is answered at once. Where nothing is spoken yet
  /// (all servers are being asked) it may wait.
  [[nodiscard]] bool stranded(VersionSet spoken) const { return spoken != 0 && (spoken & ~out_) == 0; }
  /// What the caller is told when the call is given up, `otherwise` being why the module gave it up.
  [[nodiscard]] Reason reason(Reason otherwise) const;
  /// How long servers have asked to be left alone, the least of them: one that is free sooner will do.
  [[nodiscard]] std::optional<Duration> stay_away() const { return stay_away_; }

 private:
  VersionSet out_ = 0;
  std::optional<Reason> about_call_;
  std::optional<Reason> about_version_;
  std::optional<Reason> about_server_;
  std::optional<Duration> stay_away_;
};

}  // namespace amberknot::core
