// Sockets that listen where a second process of the same router may listen too (DAYS: replacing the process).
#pragma once

#include <sys/socket.h>

#include <asio.hpp>

namespace amberknot::net {

/// SO_REUSEPORT: while a new process starts beside the old one, both hold the clients' address and the kernel
/// hands each new connection to one of them. Without it the second bind fails and the new process cannot
/// start.
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Opens `socket` and binds it at `at` beside any other process of the same user that does so with
/// SO_REUSEPORT: the one way both the clients' listener and the siblings' datagrams are shared.
template <typename Socket>
void bind_shared(Socket& socket, const typename Socket::endpoint_type& at) {
  socket.open(at.protocol());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.set_option(ReusePort(true));
  socket.bind(at);
}

/// Listens at `at`, shared as above.
inline asio::ip::tcp::acceptor shared_acceptor(asio::io_context& io, const asio::ip::tcp::endpoint& at) {
  asio::ip::tcp::acceptor acceptor(io);
  bind_shared(acceptor, at);
  acceptor.listen(asio::socket_base::max_listen_connections);
  return acceptor;
}

/// The datagram socket of the siblings, shared the same way.
inline asio::ip::udp::socket shared_datagrams(asio::io_context& io, const asio::ip::udp::endpoint& at) {
  asio::ip::udp::socket socket(io);
  bind_shared(socket, at);
  return socket;
}

}  // namespace amberknot::net
