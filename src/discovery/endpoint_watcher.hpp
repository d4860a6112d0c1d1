// The endpoint watcher: follows the command channel, a stream of server-sent events over HTTP, and reports
// each change of the endpoint list once.
#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "core/counters.hpp"
#include "discovery/endpoint_update.hpp"
#include "net/stream.hpp"
#include "settings/sse.hpp"

namespace amberknot::discovery {

/// Keeps one connection to the command channel open and resumes after the last event that it has, so that no
/// event is lost or reported twice. A connection that is idle for 2.5 s, ends, or carries what cannot be
/// parsed is replaced after 100 ms; each such fault is logged and nothing is thrown. All of it runs on the
/// loop's thread.
class EndpointWatcher : public net::TcpConnection::Owner {
 public:
  /// Called on the loop's thread with each new update, in the order of their numbers.
  using OnUpdate = std::function<void(const EndpointUpdate&)>;

  /// Connects to `channel` at once. Events up to the number `last_event_id` are known and not reported.
  EndpointWatcher(net::Loop& loop, core::Counters& counters, asio::ip::tcp::endpoint channel,
                  std::uint64_t last_event_id, OnUpdate on_update);

  /// Leaves the connection that is open and follows the channel at another address. The events' numbers go
  /// on.
  void reconnect_to(const asio::ip::tcp::endpoint& channel);
  /// Reports an update that came by another way, such as a configuration, unless its number is known.
  void apply_update(const EndpointUpdate& update);

 private:
  void connect();
  /// Closes the connection and opens another after a pause; `reason` is for the log.
  void schedule_reconnect(const char* reason);
  void restart_idle_timer();
  void cancel_timers();
  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
  void on_event(const settings::SseEvent& event);
  void on_unreadable_event(const settings::SseEvent& event);
  // The HTTP parser's callbacks; what is not 0 ends the parsing.
  static int on_response_headers(http_parser* parser);
  static int on_response_body(http_parser* parser, const char* at, std::size_t size);
  static int on_response_end(http_parser* parser);

  net::Loop& loop_;
  core::Counters& counters_;
  asio::ip::tcp::endpoint channel_;
  std::uint64_t last_event_id_;
  OnUpdate on_update_;
  std::shared_ptr<net::TcpConnection> stream_;
  http_parser parser_{};
  settings::SseReader reader_;
  bool has_response_ended_ = false;
  bool has_connected_before_ = false;
  /// An event could not be parsed and is requested again: what follows it on this connection is ignored.
  bool is_requesting_again_ = false;
  int consecutive_unreadable_events_ = 0;
  core::TimerWheel::Handle idle_timer_ = 0;
  core::TimerWheel::Handle reconnect_timer_ = 0;
};

}  // namespace amberknot::discovery
