// The drain of callers' connections, on the operators' `standby` command and during a hot restart: which
// connections may be closed, and until when set-ups that still arrive are served. Does no I/O: the time and
// the state of each connection are passed in.
#pragma once

#include <cstddef>
#include <optional>

#include "amberknot/admission.hpp"

namespace amberknot::core {

/// The state of a caller's connection, as far as a drain depends on it.
struct DrainedConnection {
  bool is_new = false;             ///< just accepted, and its first message may be on its way
  bool has_pending_input = false;  ///< input that is not read yet, or a partly received message
  std::size_t unanswered = 0;      ///< calls set up on it that have no final answer yet
  std::size_t established = 0;     ///< established calls that were set up on it
};

/// Decides for one frontend. Nothing is drained until one of the begin functions is called.
class ConnectionDrain {
 public:
  /// How long after `standby` set-ups are served that arrive on connections which are still open. A drained
  /// router must not carry, 4 s after the command, a set-up of the last 2 s (the operators' page DAYS), and
  /// the command may have taken effect up to 1 s after it was sent.
  static constexpr Duration kServicePeriod = std::chrono::seconds{1};
  /// When the drain by `standby` has to be complete (the operators' page DAYS).
  static constexpr Duration kDrainTime = std::chrono::seconds{4};

  /// Starts a drain by `standby`. Has no effect while one is in progress.
  void begin_standby(Instant now) {
    if (!standby_since_) standby_since_ = now;
  }
  /// Ends a drain by `standby`. A hot restart goes on.
  void end_standby() { standby_since_.reset(); }
  /// Starts the drain of a process that another one replaces; it has no end.
  void begin_hot_restart() { is_hot_restarting_ = true; }

  [[nodiscard]] bool is_standby() const { return standby_since_.has_value(); }
  [[nodiscard]] bool is_hot_restarting() const { return is_hot_restarting_; }
  [[nodiscard]] bool is_draining() const { return is_standby() || is_hot_restarting_; }
  /// When `standby` took effect; only valid while is_standby().
  [[nodiscard]] Instant standby_since() const { return *standby_since_; }

  /// Whether a set-up that arrives at `now` is served. Otherwise it is to be rejected at once: the caller may
  /// retry at another router, and a connection that always has a call would never be without recent set-ups.
  [[nodiscard]] bool serves_set_ups(Instant now) const {
    return !standby_since_ || now - *standby_since_ < kServicePeriod;
  }
  /// Whether the connection may be closed. In standby it is kept for its established calls, since their
  /// releases are sent on a connection of their caller; in a hot restart the other process sends them.
  [[nodiscard]] bool may_close(const DrainedConnection& connection, Instant now) const {
    if (!is_draining() || connection.has_pending_input) return false;
    // A set-up that crosses the close is sent again; one that was to be rejected need not be waited for.
    if (connection.is_new && serves_set_ups(now)) return false;
    return connection.unanswered == 0 && (connection.established == 0 || is_hot_restarting_);
  }

 private:
  std::optional<Instant> standby_since_;
  bool is_hot_restarting_ = false;
};

}  // namespace amberknot::core
