// The operators' side of a router: commands to its admin server, and the front, which asks the router again
// and again whether it takes callers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/stream.hpp"

namespace amberknot::lab::fleet {

/// One command to an admin server, on a connection of its own.
class AdminCommand : public net::TcpConnection::EventHandler {
 public:
  /// Sends `command`. `on_reply` gets the reply without its line feed, or an empty text if none came before
  /// the connection ended.
  AdminCommand(net::Loop& loop, const asio::ip::tcp::endpoint& to, const std::string& command,
               std::function<void(const std::string&)> on_reply);
  ~AdminCommand() override { stream_->close(); }

 private:
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;

  std::shared_ptr<net::TcpConnection> stream_;
  std::function<void(const std::string&)> on_reply_;
};

/// Sends health checks to the callers' address of one router every 0.1 s (the operators' page DAYS, drain).
class HealthChecker : public net::TcpConnection::EventHandler {
 public:
  /// `on_result` gets each result: whether the router takes callers.
  HealthChecker(net::Loop& loop, const asio::ip::tcp::endpoint& to, std::function<void(bool)> on_result);
  ~HealthChecker() override;

 private:
  void check();
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;

  net::Loop& loop_;
  asio::ip::tcp::endpoint to_;
  std::function<void(bool)> on_result_;
  std::shared_ptr<net::TcpConnection> stream_;  ///< null while no check is under way
  core::TimerWheel::Handle timer_ = 0;
};

}  // namespace amberknot::lab::fleet
