// The transport of gossip between the routers of a fleet: small UDP datagrams, which may be delayed or lost.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "net/loop.hpp"

namespace amberknot::discovery {

/// Sends and receives messages of at most 256 bytes; their content is defined by the decision module. A peer
/// is identified by its source address; datagrams from other addresses are ignored. Socket errors are treated
/// as lost datagrams. Used on the event loop's thread only.
class GossipTransport {
 public:
  /// Called on the event loop's thread; `from` is the sender's index among the peers.
  using OnMessage = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

  /// Listens at `listen`, which a process that replaces this one can share. Messages sent to
  /// `broadcast_address` reach all peers. Throws `std::system_error` if it cannot listen.
  GossipTransport(net::Loop& loop, const asio::ip::udp::endpoint& listen,
                  std::vector<asio::ip::udp::endpoint> peers, asio::ip::udp::endpoint broadcast_address,
                  OnMessage on_message);
  /// Replaces the addresses of the peers, after a reload.
  void set_peers(std::vector<asio::ip::udp::endpoint> peers,
                 const asio::ip::udp::endpoint& broadcast_address);
  /// Sends a message to all peers. A message of more than 256 bytes is dropped and logged.
  void broadcast(const std::vector<std::uint8_t>& bytes);

 private:
  /// The maximum size of a message, in bytes.
  static constexpr std::size_t kMaxMessageBytes = 256;

  void receive();
  void on_datagram(std::size_t size);

  asio::ip::udp::socket socket_;
  std::vector<asio::ip::udp::endpoint> peers_;
  asio::ip::udp::endpoint broadcast_address_;
  OnMessage on_message_;
  /// Larger than the maximum message, so that an oversized datagram is recognized.
  std::array<std::uint8_t, 2 * kMaxMessageBytes> buffer_{};
  asio::ip::udp::endpoint sender_;
};

}  // namespace amberknot::discovery
