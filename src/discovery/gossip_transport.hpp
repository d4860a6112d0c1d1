// The transport of gossip between the routers of one fleet: small UDP datagrams, which may come late or
// never.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "net/loop.hpp"

namespace amberknot::discovery {

/// Sends and receives messages of at most 256 bytes; the decision module gives them their meaning. A peer is
/// known by the address it sends from. Errors of the socket count as lost datagrams. All of it runs on the
/// loop's thread.
class GossipTransport {
 public:
  /// Called on the loop's thread; `from` is the sender's index among the peers.
  using OnMessage = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

  /// Listens at `listen`, which a process that replaces this one may share. `everyone` is the address that
  /// reaches all peers. Throws `std::system_error` if it cannot listen.
  GossipTransport(net::Loop& loop, const asio::ip::udp::endpoint& listen,
                  std::vector<asio::ip::udp::endpoint> peers, asio::ip::udp::endpoint everyone,
                  OnMessage on_message);
  /// Replaces the peers' addresses, after a reload.
  void set_peers(std::vector<asio::ip::udp::endpoint> peers, const asio::ip::udp::endpoint& everyone);
  /// Sends a message to all peers. One that is too long is dropped and logged.
  void broadcast(const std::vector<std::uint8_t>& bytes);

 private:
  /// The longest message, in bytes.
  static constexpr std::size_t kMaxMessageBytes = 256;

  void receive();
  void on_datagram(std::size_t size);

  asio::ip::udp::socket socket_;
  std::vector<asio::ip::udp::endpoint> peers_;
  asio::ip::udp::endpoint everyone_;
  OnMessage on_message_;
  /// Longer than a message, so that one that is too long is seen as such.
  std::array<std::uint8_t, 2 * kMaxMessageBytes> buffer_{};
  asio::ip::udp::endpoint sender_;
};

}  // namespace amberknot::discovery
