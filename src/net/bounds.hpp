// Limits on memory and descriptors, all derived from the two figures in the configuration. The limits apply
// to the whole process; the limit for one connection or caller is a fraction of the total.
#pragma once

#include <algorithm>
#include <cstddef>

namespace amberknot::net {

inline constexpr std::size_t kMaxMessageBytes = 16 * 1024;  ///< bytes of a single message

/// Limits on what the process holds, in bytes or numbers.
struct ResourceLimits {
  std::size_t max_caller_connections;    ///< connections of JSON lines callers, including those being closed
  std::size_t max_diameter_connections;  ///< connections of Diameter clients
  std::size_t max_upstream_connections;  ///< connections to all servers together
  std::size_t max_queued_bytes;          ///< bytes queued for writing, all connections together
  std::size_t max_queued_bytes_per_connection;    ///< the same on one connection
  std::size_t max_call_bytes;                     ///< bytes held for unanswered calls
  std::size_t max_call_bytes_per_connection;      ///< the same for the calls of one connection
  std::size_t max_http2_requests;                 ///< open HTTP/2 requests, all connections together
  std::size_t max_http2_requests_per_connection;  ///< the same on one connection
  std::size_t
      max_undelivered_releases;  ///< releases kept for callers without a connection, all callers together
  std::size_t max_undelivered_releases_per_peer;  ///< the same for one caller or server
  std::size_t max_executed_call_bytes;            ///< bytes held for requests that may not be executed again

  /// Derives the limits from the memory in megabytes (at least 8) and the number of descriptors. Read buffers
  /// take up to a third of the memory if all are full, so the number of connections depends on both figures.
  /// With 1,024 descriptors, 32 MB of memory are enough that the descriptors alone limit the number of
  /// connections. A typical load of callers uses a third of the descriptors.
  static ResourceLimits from_config(std::size_t memory_mb, std::size_t sockets) {
    const std::size_t memory_bytes = std::max<std::size_t>(memory_mb, 8) * 1024 * 1024;
    const std::size_t max_buffers = memory_bytes / 3 / (kMaxMessageBytes + 2048);
    ResourceLimits limits{};
    limits.max_caller_connections = std::min(sockets / 2, max_buffers);
    limits.max_diameter_connections = std::min(sockets / 8, max_buffers / 4);
    limits.max_upstream_connections = std::min(sockets / 8, max_buffers / 4);
    limits.max_queued_bytes = memory_bytes / 8;
    limits.max_queued_bytes_per_connection = std::max(limits.max_queued_bytes / 16, 2 * kMaxMessageBytes);
    limits.max_call_bytes = memory_bytes / 4;
    limits.max_call_bytes_per_connection = limits.max_call_bytes / 4;
    // Each request may receive an answer of kMaxMessageBytes, all at the same time.
    limits.max_http2_requests = memory_bytes / 8 / kMaxMessageBytes;
    limits.max_http2_requests_per_connection = std::max<std::size_t>(limits.max_http2_requests / 4, 4);
    limits.max_undelivered_releases = memory_bytes / 64 / 128;  // a release takes about 100 bytes
    limits.max_undelivered_releases_per_peer = limits.max_undelivered_releases / 4;
    limits.max_executed_call_bytes = memory_bytes / 32;
    return limits;
  }
};

}  // namespace amberknot::net
