// The admin server: a TCP listener for operators. Each connection carries one command line and receives one
// reply; then it is closed.
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

/// Serves admin commands on a separate address. It shares no queue with calls. An idle client does not block
/// others, since the number of connections is limited and each has a deadline. An error on a connection
/// closes that connection; a failed accept is logged and retried. Used on the event loop's thread only.
class AdminServer : public net::TcpConnection::EventHandler {
 public:
  /// Executes a command and returns the reply without its last line feed. Called on the event loop's thread.
  using CommandHandler = std::function<std::string(Command)>;

  /// Listens at `address` and serves until it is destroyed; with port 0, the system chooses a free port. When
  /// `max_connections` are open, a new one closes the oldest; a limit of 0 counts as 1. Throws
  /// `std::system_error` if it cannot listen.
  AdminServer(net::Loop& loop, const asio::ip::tcp::endpoint& address, std::size_t max_connections,
              CommandHandler handler);
  /// Closes all connections.
  ~AdminServer() override;

  /// The address it listens at, with the actual port.
  [[nodiscard]] asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  /// The number of connections whose command has not been answered yet.
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

  /// How long a client may take to send its command line before its connection is closed. Less than the 4 s
  /// for which the platform's idle clients stay connected.
  static constexpr Duration kCommandTimeout = std::chrono::milliseconds{2000};

 private:
  /// A connection whose command line is not complete.
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
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;
  /// Removes a connection from the table and cancels its timer. Returns nothing if it is not in the table.
  std::optional<Connection> remove(net::TcpConnection* stream);
  /// Closes a connection and discards output that is still queued.
  void abort(net::TcpConnection* stream);
  /// Closes a connection once its queued output is written.
  void finish(net::TcpConnection* stream);

  net::Loop& loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::size_t max_connections_;
  CommandHandler handler_;
  std::unordered_map<net::TcpConnection*, Connection> connections_;
  /// Answered connections whose reply is still being written or whose client has not closed yet.
  std::vector<std::shared_ptr<net::TcpConnection>> finishing_;
  net::log::RateLimiter rejected_command_log_;
  net::log::RateLimiter connection_limit_log_;
};

}  // namespace amberknot::admin
