// Datagrams between sibling routers: at most 256 bytes, late or lost, and known by the sender's address.
#pragma once

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "net/loop.hpp"

namespace amberknot::discovery {

class GossipTransport {
 public:
  using OnMessage = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

  GossipTransport(net::Loop& loop, const asio::ip::udp::endpoint& listen,
                  std::vector<asio::ip::udp::endpoint> peers, asio::ip::udp::endpoint everyone,
                  OnMessage on_message);
  void move_to(std::vector<asio::ip::udp::endpoint> peers, const asio::ip::udp::endpoint& everyone) {
    peers_ = std::move(peers);
    everyone_ = everyone;
  }
  void broadcast(const std::vector<std::uint8_t>& bytes);

 private:
  void read();
  asio::ip::udp::socket socket_;
  std::vector<asio::ip::udp::endpoint> peers_;
  asio::ip::udp::endpoint everyone_;
  OnMessage on_message_;
  std::array<std::uint8_t, 512> in_{};
  asio::ip::udp::endpoint from_;
};

}  // namespace amberknot::discovery
