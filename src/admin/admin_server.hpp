// The operators' door on its own address: each connection carries one line and gets one reply. It shares no
// queue with calls, and a caller that says nothing keeps no one else waiting: each connection has a place of
// its own among a bounded number, and a deadline.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "admin/command.hpp"
#include "net/log.hpp"
#include "net/stream.hpp"

namespace amberknot::admin {

class AdminServer : public net::TcpConnection::Owner {
 public:
  /// The reply to a call that was read, without its line feed; `stats` ends with its own line `.`.
  using Answer = std::function<std::string(Command)>;

  /// `most` connections at once; past that the oldest gives way to the newcomer.
  AdminServer(net::Loop& loop, const asio::ip::tcp::endpoint& at, std::size_t most, Answer answer);
  ~AdminServer() override;

  [[nodiscard]] asio::ip::tcp::endpoint where() const { return acceptor_.local_endpoint(); }
  [[nodiscard]] std::size_t connections() const { return open_.size(); }

  /// A line that has not come whole by then ends its connection: the bench's silent callers stay for 4 s.
  static constexpr Duration kLineWithin = std::chrono::milliseconds{2000};

 private:
  struct Open {
    std::shared_ptr<net::TcpConnection> stream;
    Instant since{};
    core::TimerWheel::Handle deadline = 0;
  };

  void accept();
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  /// Forgets a connection and its deadline; empty: it was not open here.
  std::optional<Open> remove_call(net::TcpConnection* stream);
  void drop(net::TcpConnection* stream, bool with_what_is_queued);

  net::Loop& loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::size_t most_;
  Answer answer_;
  std::unordered_map<net::TcpConnection*, Open> open_;
  std::vector<std::shared_ptr<net::TcpConnection>> finishing_;
  net::log::RateLimiter log_bad_, log_full_;
};

}  // namespace amberknot::admin
