// What a session server's process says of itself: its name, and the numbers of its events. Another process at
// the same address has another name and numbers its events anew. Does no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "amberknot/admission.hpp"

namespace amberknot::http2 {

/// The process that runs at a server's address, by the names that its connections report.
class ServerProcess {
 public:
  enum class Verdict {
    kUnchanged,    ///< the first name, or that of the current process
    kReplaced,     ///< a new process, which is the current one from now on
    kPredecessor,  ///< a late report of a connection to the process before the current one
  };

  /// A connection that was established at `connected_at` has reported the name of its process; the name is
  /// empty if the process has none.
  Verdict on_reported(std::string_view name, Instant connected_at) {
    if (name_ && *name_ == name) return Verdict::kUnchanged;
    if (name_ && connected_at < first_connected_at_) return Verdict::kPredecessor;
    const bool is_first = !name_;
    name_ = name;
    first_connected_at_ = connected_at;
    return is_first ? Verdict::kUnchanged : Verdict::kReplaced;
  }

  /// When the connection was established that has first reported the current process; zero before that.
  [[nodiscard]] Instant first_connected_at() const { return first_connected_at_; }
  [[nodiscard]] bool is_current(std::string_view name) const { return name_ == name; }

 private:
  std::optional<std::string> name_;
  Instant first_connected_at_{};
};

/// Position in the numbered events of a process.
class EventCursor {
 public:
  /// Whether the event was received before: a server repeats events when its stream is resumed.
  [[nodiscard]] bool is_repeated(std::uint64_t number) const {
    return last_number_ && number <= *last_number_;
  }

  void on_received(std::uint64_t number, Instant now) {
    last_number_ = number;
    updated_at_ = now;
  }

  /// The server does not keep the events up to `before`. Its later ones follow, whatever their numbers are.
  /// Returns whether they are numbered anew, which shows another process.
  bool on_lost(std::uint64_t before, Instant now) {
    const bool is_numbered_anew = last_number_ && before <= *last_number_;
    last_number_ = before > 0 ? before - 1 : 0;
    updated_at_ = now;
    return is_numbered_anew;
  }

  /// The process was replaced by one that the router has connected to since `since`. The events of the new
  /// one are read from the first on. Returns false if they are read so already, or if some of them were
  /// received.
  bool on_process_replaced(Instant since) {
    if (!last_number_ || *last_number_ == 0 || updated_at_ >= since) return false;
    last_number_ = 0;
    updated_at_ = since;
    return true;
  }

  /// The number of the last event received, after which the stream is resumed; empty if there is none.
  [[nodiscard]] std::optional<std::uint64_t> last_number() const { return last_number_; }

 private:
  std::optional<std::uint64_t> last_number_;
  Instant updated_at_{};
};

}  // namespace amberknot::http2
