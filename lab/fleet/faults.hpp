// Decides what a link does with a message at a given time under a schedule. The relay carries the decisions
// out on sockets, the simulation in simulated time; both draw the same random numbers for the same seed.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/fleet/random.hpp"
#include "lab/fleet/schedule.hpp"

namespace amberknot::lab::fleet {

/// The copies of a datagram that arrive: none if it is lost, two if it is duplicated.
struct DatagramDelivery {
  std::array<Duration, 2> delays{};
  std::size_t count = 0;
};

/// What a link does with the bytes of a stream that are read now.
struct StreamAction {
  enum class Kind : std::uint8_t {
    kPass,          ///< forwards them after `delay`
    kDiscard,       ///< discards them; the connection is half open
    kHold,          ///< keeps them until `until`
    kPauseReading,  ///< reads no more before `until`
    kReset,         ///< closes the connection with RST
    kFinish,        ///< closes the connection with FIN
  };
  Kind kind = Kind::kPass;
  Duration delay{};
  Duration until{};
};

/// The faults of one direction of a link. Each direction has its own sequence of random numbers.
class LinkFaults {
 public:
  LinkFaults(const Schedule& schedule, const std::string& from, const std::string& to);

  /// Decides how a datagram that is sent at `now` is delivered.
  DatagramDelivery deliver_datagram(Duration now);
  /// Decides what happens to the bytes of a stream that are read at `now`. `connection` is the number of the
  /// connection on its link. If a fault affects only a share of the connections, this number decides
  /// whether it affects this one.
  StreamAction stream_action(Duration now, std::uint64_t connection = 0);
  /// Returns the start times of the faults that close connections. The relay checks its open connections at
  /// these times.
  [[nodiscard]] std::vector<Duration> connection_close_times() const;
  [[nodiscard]] const std::vector<LinkFault>& faults() const { return faults_; }

 private:
  /// Returns the fault of this kind that is active at `now`, or null.
  [[nodiscard]] const LinkFault* active_fault(LinkFaultKind kind, Duration now) const;
  /// Returns the active fault of this kind if it affects the connection, otherwise null.
  [[nodiscard]] const LinkFault* connection_fault(LinkFaultKind kind, Duration now,
                                                  std::uint64_t connection) const;
  std::vector<LinkFault> faults_;  ///< of this direction
  std::uint64_t seed_;
  std::string name_;
  Random random_;
};

/// The delay that a lost segment of a stream causes.
inline constexpr Duration kRetransmissionDelay = std::chrono::milliseconds{200};

}  // namespace amberknot::lab::fleet
