// Follows the command channel: resumes after the last event it has, takes silence for death, and is never
// told the same event twice.
#pragma once

#include <http_parser.h>

#include <functional>
#include <memory>
#include <string>

#include "core/counters.hpp"
#include "discovery/endpoint_update.hpp"
#include "net/stream.hpp"

namespace amberknot::discovery {

class EndpointWatcher : public net::TcpConnection::Owner {
 public:
  using OnUpdate = std::function<void(const EndpointUpdate&)>;

  EndpointWatcher(net::Loop& loop, core::Counters& counters, asio::ip::tcp::endpoint channel,
                  std::uint64_t last, OnUpdate on_update);

  [[nodiscard]] std::uint64_t last() const { return last_; }
  /// The channel has another address from now on; the numbers of its events go on.
  void move_to(const asio::ip::tcp::endpoint& channel);
  /// An event from wherever it came; what is no news is skipped.
  void learn(const EndpointUpdate& news);

 private:
  void connect();
  void again(const char* why);
  void watch();
  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  void on_event(const SseEvent& event);
  static int on_body(http_parser* parser, const char* at, std::size_t size);
  static int on_head(http_parser* parser);
  static int on_end(http_parser* parser);

  net::Loop& loop_;
  core::Counters& counters_;
  asio::ip::tcp::endpoint channel_;
  std::uint64_t last_;
  OnUpdate on_update_;
  std::shared_ptr<net::TcpConnection> stream_;
  http_parser parser_{};
  SseReader reader_;
  bool ended_ = false;
  bool torn_ = false;  ///< an event could not be read: it is asked for again
  int torn_in_row_ = 0;
  bool connected_before_ = false;
  core::TimerWheel::Handle silence_ = 0;
  core::TimerWheel::Handle retry_ = 0;
};

}  // namespace amberknot::discovery
