// Judges from silence alone whether established calls may have ended without a release. A machine that
// vanishes, or is cut off, sends nothing and refuses nothing; its calls have ended, and only the router can
// tell their callers. Does no I/O and reads no clock.
#pragma once

#include <algorithm>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// The silence of the path on which a server sends the releases of some calls: a connection, or the server as
/// a whole. An upstream pool reports up to when it has received what was sent there, and asks from time to
/// time what follows; between two calls of check() the silence may grow by their interval.
class ServerLiveness {
 public:
  /// What the pool has to do.
  enum class Verdict {
    kAlive,  ///< nothing
    kProbe,  ///< send something that a live server answers
    kLost,   ///< release the calls, whose server cannot
  };

  /// A call may have ended just after the server was last heard, and its caller must get a release within 8 s
  /// of the end if the server could not send one (the operators' page PROTOCOL). One second is left for the
  /// release itself, as after a release by the server.
  static constexpr Duration kMaxSilence = std::chrono::seconds{7};
  /// Silence after which the server is probed. Servers send load reports and answers much more often.
  static constexpr Duration kProbeDelay = std::chrono::seconds{3};
  static constexpr Duration kProbeInterval = std::chrono::seconds{1};

  /// Whether a connection that the server resets after such a silence of all its connections shows that its
  /// process was restarted: a machine that is up again resets the connections that it does not know, while a
  /// path that was cut and heals, or a process that hung and goes on, resets nothing.
  static constexpr bool shows_restart(Duration silence_before_reset) {
    return silence_before_reset >= kProbeDelay;
  }

  /// Everything that the server sent before `received_at` has been received. Reports may come out of order.
  void on_received(Instant received_at) { last_received_at_ = std::max(last_received_at_, received_at); }

  [[nodiscard]] Instant last_received_at() const { return last_received_at_; }

  /// Returns what follows from the silence. A server without established calls is never probed or lost.
  Verdict check(Instant now, bool has_established_calls) {
    const Duration silence = now - last_received_at_;
    if (!has_established_calls || silence < kProbeDelay) return Verdict::kAlive;
    if (silence >= kMaxSilence) return Verdict::kLost;
    if (now - last_probe_at_ < kProbeInterval) return Verdict::kAlive;
    last_probe_at_ = now;
    return Verdict::kProbe;
  }

 private:
  Instant last_received_at_{};
  Instant last_probe_at_{};
};

}  // namespace amberknot::core
