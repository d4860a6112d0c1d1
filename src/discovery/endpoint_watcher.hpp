// The endpoint watcher: follows the command channel, a stream of server-sent events over HTTP, and reports
// each event once.
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

/// Keeps a connection to the command channel open and resumes after the last known event, so that no event is
/// lost or reported twice. An event that cannot be parsed is requested again up to 3 times and then skipped.
/// If the connection is idle for 2.5 s, is closed or carries data that cannot be parsed, the fault is logged
/// and a new connection is opened after 100 ms. Throws nothing. Used on the event loop's thread only.
class EndpointWatcher : public net::TcpConnection::EventHandler {
 public:
  /// Called on the event loop's thread with each new update, in the order of their numbers.
  using OnUpdate = std::function<void(const EndpointUpdate&)>;

  /// Starts to connect to `channel`. Events with numbers up to `last_event_id` are known and are not
  /// reported.
  EndpointWatcher(net::Loop& loop, core::Counters& counters, asio::ip::tcp::endpoint channel,
                  std::uint64_t last_event_id, OnUpdate on_update);

  /// Follows the channel at another address, if it differs from the current one: closes the current
  /// connection and resumes at the new address after the last known event.
  void reconnect_to(const asio::ip::tcp::endpoint& channel);
  /// Reports an update from the channel or another source, such as a configuration, unless its number is
  /// known.
  void apply_update(const EndpointUpdate& update);

 private:
  void connect();
  /// Closes the connection and opens another one after kReconnectDelay; `reason` is for the log.
  void schedule_reconnect(const char* reason);
  void restart_idle_timer();
  void cancel_timers();
  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason reason) override;
  void on_event(const settings::SseEvent& event);
  void on_unreadable_event(const settings::SseEvent& event);
  // Callbacks of the HTTP parser; a result other than 0 stops the parser.
  static int on_response_headers(http_parser* parser);
  static int on_response_body(http_parser* parser, const char* data, std::size_t size);
  static int on_response_end(http_parser* parser);

  net::Loop& loop_;
  core::Counters& counters_;
  asio::ip::tcp::endpoint channel_;
  std::uint64_t last_event_id_;
  OnUpdate on_update_;
  std::shared_ptr<net::TcpConnection> stream_;
  http_parser parser_{};
  settings::SseParser reader_;
  bool has_response_ended_ = false;
  bool has_connected_before_ = false;
  /// Set when an unreadable event has to be requested again: later events on this connection are ignored.
  bool is_requesting_again_ = false;
  int consecutive_unreadable_events_ = 0;
  core::TimerWheel::Handle idle_timer_ = 0;
  core::TimerWheel::Handle reconnect_timer_ = 0;
};

}  // namespace amberknot::discovery
