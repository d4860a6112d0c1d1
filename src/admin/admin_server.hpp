// The admin server: a TCP listener for operators. Each connection carries one command line and gets one
// reply, then it is closed.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admin/command.hpp"
#include "net/log.hpp"
#include "net/stream.hpp"

namespace amberknot::admin {

/// Serves admin commands on an address of its own. It shares no queue with calls, and a client that sends
/// nothing blocks no other: the number of connections is bounded and each has a deadline. All of it runs on
/// the loop's thread. Faults of a connection end that connection; a failing accept is logged and tried again.
class AdminServer : public net::TcpConnection::Owner {
 public:
  /// Carries out a command and returns the reply without its last line feed. Called on the loop's thread.
  using CommandHandler = std::function<std::string(Command)>;

  /// Listens at `address` (port 0: any free one) and serves until it is destroyed. At `max_connections`, at
  /// least one, a newcomer takes the place of the oldest connection. Throws `std::system_error` if it cannot
  /// listen.
  AdminServer(net::Loop& loop, const asio::ip::tcp::endpoint& address, std::size_t max_connections,
              CommandHandler handler);
  /// Closes all connections.
  ~AdminServer() override;

  /// The address it listens at, with the port that the system chose.
  [[nodiscard]] asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  /// Connections whose command has not been answered yet.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

  /// A connection whose command line is not complete by then is closed. Shorter than the 4 s for which the
  /// platform's idle clients stay connected.
  static constexpr Duration kCommandTimeout = std::chrono::milliseconds{2000};

 private:
  /// A connection that waits for its command line.
  struct Connection {
    std::shared_ptr<net::TcpConnection> stream;
    Instant accepted_at{};
    core::TimerWheel::Handle command_timer = 0;
  };

  void accept();
  void on_accept_failed(const asio::error_code& error);
  void add_connection(asio::ip::tcp::socket socket);
  void close_oldest();
  void on_command_timeout(net::TcpConnection* stream);
  [[nodiscard]] std::string reply_to(std::string_view line, net::TcpConnection& stream);
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  /// Removes a connection from the table and cancels its timer; empty: it is not in the table.
  std::optional<Connection> remove(net::TcpConnection* stream);
  /// Closes a connection without writing what is queued for it.
  void abort(net::TcpConnection* stream);
  /// Closes a connection once what is queued for it is written.
  void finish(net::TcpConnection* stream);

  net::Loop& loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::size_t max_connections_;
  CommandHandler handler_;
  std::unordered_map<net::TcpConnection*, Connection> connections_;
  /// Answered connections that still write their reply or wait for the client to close.
  std::vector<std::shared_ptr<net::TcpConnection>> finishing_;
  net::log::RateLimiter rejected_command_log_;
  net::log::RateLimiter connection_limit_log_;
};

}  // namespace amberknot::admin
