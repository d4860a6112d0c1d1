// Listening sockets whose address a second process of the same router can share during a hot restart.
#pragma once

#include <sys/socket.h>

#include <asio.hpp>

namespace amberknot::net {

/// SO_REUSEPORT. While a new process starts beside the old one, both listen on the address for clients and
/// the kernel distributes new connections between them. Without it, bind fails in the new process, which then
/// cannot start.
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Opens `socket` and binds it to `address`, which it may share with any other process of the same user that
/// sets SO_REUSEPORT. Used for the listeners for clients and the datagram socket for siblings. Throws
/// asio::system_error on failure.
template <typename Socket>
void bind_reusable_port(Socket& socket, const typename Socket::endpoint_type& address) {
  socket.open(address.protocol());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.set_option(ReusePort(true));
  socket.bind(address);
}

/// Returns an acceptor that listens on `address`, bound with bind_reusable_port().
inline asio::ip::tcp::acceptor shared_acceptor(asio::io_context& io, const asio::ip::tcp::endpoint& address) {
  asio::ip::tcp::acceptor acceptor(io);
  bind_reusable_port(acceptor, address);
  acceptor.listen(asio::socket_base::max_listen_connections);
  return acceptor;
}

/// Returns a datagram socket bound to `address` with bind_reusable_port(), for messages from and to the
/// siblings (the other routers).
inline asio::ip::udp::socket shared_datagram_socket(asio::io_context& io,
                                                    const asio::ip::udp::endpoint& address) {
  asio::ip::udp::socket socket(io);
  bind_reusable_port(socket, address);
  return socket;
}

}  // namespace amberknot::net
