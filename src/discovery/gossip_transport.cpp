#include "discovery/gossip_transport.hpp"

#include <algorithm>
#include <utility>

#include "net/listen.hpp"
#include "net/log.hpp"

namespace amberknot::discovery {

namespace {
constexpr std::size_t kMaxBytes = 256;
}

GossipTransport::GossipTransport(net::Loop& loop, const asio::ip::udp::endpoint& listen,
                                 std::vector<asio::ip::udp::endpoint> peers, asio::ip::udp::endpoint everyone,
                                 OnMessage on_message)
    : socket_(net::shared_datagrams(loop.io, listen)),
      peers_(std::move(peers)),
      everyone_(std::move(everyone)),
      on_message_(std::move(on_message)) {
  socket_.non_blocking(true);
  read();
}

void GossipTransport::broadcast(const std::vector<std::uint8_t>& bytes) {
  if (bytes.size() > kMaxBytes) {
    net::log::error("message to the siblings dropped: ", bytes.size(), " bytes");
    return;
  }
  asio::error_code error;  // such a message may be lost anyway
  socket_.send_to(asio::buffer(bytes), everyone_, 0, error);
}

void GossipTransport::read() {
  socket_.async_receive_from(asio::buffer(in_), from_,
                             [this](const asio::error_code& error, std::size_t got) {
                               if (error == asio::error::operation_aborted) return;
                               const auto at = std::find(peers_.begin(), peers_.end(), from_);
                               if (!error && at != peers_.end() && got <= kMaxBytes) {
                                 on_message_(static_cast<std::uint32_t>(at - peers_.begin()),
                                             {in_.begin(), in_.begin() + static_cast<std::ptrdiff_t>(got)});
                               }
                               read();
                             });
}

}  // namespace amberknot::discovery
