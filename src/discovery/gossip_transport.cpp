#include "discovery/gossip_transport.hpp"

#include <algorithm>
#include <utility>

#include "net/listen.hpp"
#include "net/log.hpp"

namespace amberknot::discovery {

GossipTransport::GossipTransport(net::Loop& loop, const asio::ip::udp::endpoint& listen,
                                 std::vector<asio::ip::udp::endpoint> peers,
                                 asio::ip::udp::endpoint broadcast_address, OnMessage on_message)
    : socket_(net::shared_datagram_socket(loop.io, listen)),
      peers_(std::move(peers)),
      broadcast_address_(std::move(broadcast_address)),
      on_message_(std::move(on_message)) {
  socket_.non_blocking(true);
  receive();
}

void GossipTransport::set_peers(std::vector<asio::ip::udp::endpoint> peers,
                                const asio::ip::udp::endpoint& broadcast_address) {
  peers_ = std::move(peers);
  broadcast_address_ = broadcast_address;
}

void GossipTransport::broadcast(const std::vector<std::uint8_t>& bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    net::log::error("gossip: outgoing message dropped, it exceeds the size limit: ", bytes.size(), " bytes");
    return;
  }
  asio::error_code ignored;  // datagrams may be lost anyway
  socket_.send_to(asio::buffer(bytes), broadcast_address_, 0, ignored);
}

void GossipTransport::receive() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](const asio::error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted) return;
                               if (!error) on_datagram(size);
                               receive();
                             });
}

void GossipTransport::on_datagram(std::size_t size) {
  const auto peer = std::find(peers_.begin(), peers_.end(), sender_);
  if (peer == peers_.end() || size > kMaxMessageBytes) return;
  on_message_(static_cast<std::uint32_t>(peer - peers_.begin()),
              {buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(size)});
}

}  // namespace amberknot::discovery
