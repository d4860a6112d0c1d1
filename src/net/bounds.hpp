// Every bound of this program on memory and descriptors, derived from the two figures that the configuration
// states. They hold in total: what one connection or caller may have is a part of what all may have.
#pragma once

#include <algorithm>
#include <cstddef>

namespace amberknot::net {

inline constexpr std::size_t kMaxMessage = 16 * 1024;  ///< bytes of one message

struct ResourceLimits {
  std::size_t callers;               ///< connections of JSON callers, those being closed included
  std::size_t diameter;              ///< connections of Diameter clients
  std::size_t upstream_connections;  ///< connections to servers, all servers together
  std::size_t queued;                ///< bytes that wait to be written, on all connections together
  std::size_t queued_on_one;         ///< the same on one connection
  std::size_t calls;                 ///< bytes held for calls that are not over
  std::size_t calls_of_one;          ///< the same for calls that came by one connection
  std::size_t streams;               ///< requests out over HTTP/2, all connections together
  std::size_t streams_of_one;        ///< the same on one connection
  std::size_t waiting;         ///< releases that wait for a caller's next connection, all callers together
  std::size_t waiting_of_one;  ///< the same for one caller or server

  /// Read buffers take a part of the memory too, if all were full: the connections are bounded by both
  /// figures. Usual callers hold a third of the descriptors; with 32 MB all 1,024 can be used.
  static ResourceLimits of(std::size_t memory_mb, std::size_t sockets) {
    const std::size_t memory = std::max<std::size_t>(memory_mb, 8) * 1024 * 1024;
    const std::size_t buffers = memory / 3 / (kMaxMessage + 2048);
    ResourceLimits bounds{};
    bounds.callers = std::min(sockets / 2, buffers);
    bounds.diameter = std::min(sockets / 8, buffers / 4);
    bounds.upstream_connections = std::min(sockets / 8, buffers / 4);
    bounds.queued = memory / 8;
    bounds.queued_on_one = std::max(bounds.queued / 16, 2 * kMaxMessage);
    bounds.calls = memory / 4;
    bounds.calls_of_one = bounds.calls / 4;
    // An answer may have a whole message, and all may come at once.
    bounds.streams = memory / 8 / kMaxMessage;
    bounds.streams_of_one = std::max<std::size_t>(bounds.streams / 4, 4);
    bounds.waiting = memory / 64 / 128;  // a release is some 100 bytes
    bounds.waiting_of_one = bounds.waiting / 4;
    return bounds;
  }
};

}  // namespace amberknot::net
