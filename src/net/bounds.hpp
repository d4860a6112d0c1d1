// Limits on memory and descriptors, all derived from the two figures in the configuration. The limits apply
// to the whole process; the limit for one connection or caller is a fraction of the total.
#pragma once

#include <algorithm>
#include <cstddef>

namespace amberknot::net {

inline constexpr std::size_t kMaxMessage = 16 * 1024;  ///< bytes of a single message

/// Limits on what the process holds, in bytes or numbers.
struct ResourceLimits {
  std::size_t callers;               ///< connections of JSON lines callers, including those being closed
  std::size_t diameter;              ///< connections of Diameter clients
  std::size_t upstream_connections;  ///< connections to all servers together
  std::size_t queued;                ///< bytes queued for writing, all connections together
  std::size_t queued_on_one;         ///< the same on one connection
  std::size_t calls;                 ///< bytes held for unanswered calls
  std::size_t calls_of_one;          ///< the same for the calls of one connection
  std::size_t streams;               ///< open HTTP/2 requests, all connections together
  std::size_t streams_of_one;        ///< the same on one connection
  std::size_t waiting;               ///< releases kept for callers without a connection, all callers together
  std::size_t waiting_of_one;        ///< the same for one caller or server

  /// Derives the limits from the memory in megabytes (at least 8) and the number of descriptors. Read buffers
  /// take up to a third of the memory if all are full, so the number of connections depends on both figures.
  /// A typical load of callers uses a third of the descriptors; 32 MB allow the use of all 1,024.
  static ResourceLimits of(std::size_t memory_mb, std::size_t sockets) {
    const std::size_t memory_bytes = std::max<std::size_t>(memory_mb, 8) * 1024 * 1024;
    const std::size_t max_buffers = memory_bytes / 3 / (kMaxMessage + 2048);
    ResourceLimits limits{};
    limits.callers = std::min(sockets / 2, max_buffers);
    limits.diameter = std::min(sockets / 8, max_buffers / 4);
    limits.upstream_connections = std::min(sockets / 8, max_buffers / 4);
    limits.queued = memory_bytes / 8;
    limits.queued_on_one = std::max(limits.queued / 16, 2 * kMaxMessage);
    limits.calls = memory_bytes / 4;
    limits.calls_of_one = limits.calls / 4;
    // Each request may receive an answer of kMaxMessage bytes, all at the same time.
    limits.streams = memory_bytes / 8 / kMaxMessage;
    limits.streams_of_one = std::max<std::size_t>(limits.streams / 4, 4);
    limits.waiting = memory_bytes / 64 / 128;  // a release takes about 100 bytes
    limits.waiting_of_one = limits.waiting / 4;
    return limits;
  }
};

}  // namespace amberknot::net
