// What a link does with a message at a moment, after the schedule: decisions only. The relay carries them out
// on sockets, the simulation in simulated time, and both draw the same for the same seed.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/fleet/random.hpp"
#include "lab/fleet/schedule.hpp"

namespace amberknot::lab::fleet {

/// A datagram's ways: none is lost, two is a duplicate.
struct Deliveries {
  std::array<Duration, 2> after{};
  std::size_t count = 0;
};

/// What becomes of a stream's bytes that are read now.
struct StreamVerdict {
  enum class Kind : std::uint8_t {
    kPass,    ///< written `wait` later
    kVanish,  ///< half open
    kHold,    ///< kept until `until`
    kStop,    ///< not read before `until`
    kReset,   ///< the connection ends by RST
    kFinish,  ///< the connection ends by FIN
  };
  Kind kind = Kind::kPass;
  Duration wait{};
  Duration until{};
};

/// One direction of a link. Keeps its own stream of random numbers.
class LinkFaults {
 public:
  LinkFaults(const Schedule& schedule, const std::string& from, const std::string& to);

  Deliveries datagram(Duration at);
  /// `connection` counts a link's connections: a fault of connections strikes a share of them.
  StreamVerdict stream(Duration at, std::uint64_t connection = 0);
  /// When a fault begins that ends connections; the relay looks at its open ones then.
  [[nodiscard]] std::vector<Duration> cuts() const;
  [[nodiscard]] const std::vector<LinkFault>& faults() const { return faults_; }

 private:
  [[nodiscard]] const LinkFault* on(LinkFaultKind kind, Duration at) const;
  [[nodiscard]] const LinkFault* strikes(LinkFaultKind kind, Duration at, std::uint64_t connection) const;
  std::vector<LinkFault> faults_;  ///< of this direction
  std::uint64_t seed_;
  std::string name_;
  Random random_;
};

/// A stream's bytes that the network lost come this much later.
inline constexpr Duration kRetransmitted = std::chrono::milliseconds{200};

}  // namespace amberknot::lab::fleet
