#include "discovery/endpoint_watcher.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "net/log.hpp"

namespace amberknot::discovery {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = std::chrono::seconds{1};
/// The channel sends a comment each second: after this long without a byte the connection is dead, though it
/// looks open.
constexpr Duration kIdleTimeout = milliseconds{2500};
constexpr Duration kReconnectDelay = milliseconds{100};
/// How often an event that cannot be parsed is requested again before it is skipped.
constexpr int kMaxRepeatedRequests = 3;
constexpr unsigned kHttpOk = 200;

std::optional<std::uint64_t> parse_event_id(const settings::SseEvent& event) {
  const auto id = settings::number_of(event.id);
  if (!id || *id < 0) return std::nullopt;
  return static_cast<std::uint64_t>(*id);
}

}  // namespace

EndpointWatcher::EndpointWatcher(net::Loop& loop, core::Counters& counters, asio::ip::tcp::endpoint channel,
                                 std::uint64_t last_event_id, OnUpdate on_update)
    : loop_(loop),
      counters_(counters),
      channel_(std::move(channel)),
      last_event_id_(last_event_id),
      on_update_(std::move(on_update)) {
  connect();
}

void EndpointWatcher::connect() {
  if (std::exchange(has_connected_before_, true)) ++counters_.endpoint_watch_restarts;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  reader_ = {};
  has_response_ended_ = false;
  is_requesting_again_ = false;
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->connect(channel_, kConnectTimeout);
}

void EndpointWatcher::schedule_reconnect(const char* reason) {
  net::log::info("command channel ", reason, ", resuming after ", last_event_id_);
  cancel_timers();
  if (stream_) stream_->close();
  reconnect_timer_ = loop_.after(kReconnectDelay, [this] {
    reconnect_timer_ = 0;
    connect();
  });
}

void EndpointWatcher::reconnect_to(const asio::ip::tcp::endpoint& channel) {
  if (channel == channel_) return;
  net::log::info("command channel moves from ", channel_, " to ", channel, ", resuming after ",
                 last_event_id_);
  channel_ = channel;
  // The old address reports nothing more though it stays open for a while: what it still sends is not read.
  cancel_timers();
  if (stream_) stream_->close();
  connect();
}

void EndpointWatcher::cancel_timers() {
  loop_.wheel.cancel(std::exchange(idle_timer_, 0));
  loop_.wheel.cancel(std::exchange(reconnect_timer_, 0));
}

void EndpointWatcher::restart_idle_timer() {
  loop_.wheel.cancel(idle_timer_);
  idle_timer_ = loop_.after(kIdleTimeout, [this] {
    idle_timer_ = 0;
    schedule_reconnect("silent");
  });
}

void EndpointWatcher::on_open(net::TcpConnection& stream) {
  std::ostringstream request;
  request << "GET /cmd/next HTTP/1.1\r\nHost: " << channel_ << "\r\nAccept: text/event-stream\r\n"
          << "Last-Event-ID: " << last_event_id_ << "\r\n\r\n";
  stream.send(request.str());
  restart_idle_timer();
}

std::size_t EndpointWatcher::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  restart_idle_timer();
  static const http_parser_settings callbacks = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_headers_complete = on_response_headers;
    made.on_body = on_response_body;
    made.on_message_complete = on_response_end;
    return made;
  }();
  const std::size_t parsed = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
  if (stream.is_closed()) return bytes.size();
  if (has_response_ended_) {
    schedule_reconnect("ended");
  } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parsed != bytes.size()) {
    ++counters_.unreadable;
    net::log::warn("command channel: ", http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
    schedule_reconnect("unreadable");
  }
  return bytes.size();
}

void EndpointWatcher::on_closed(net::TcpConnection& /*stream*/, net::CloseReason why) {
  schedule_reconnect(name(why));
}

int EndpointWatcher::on_response_headers(http_parser* parser) {
  if (parser->status_code == kHttpOk) return 0;
  net::log::warn("command channel answers ", parser->status_code);
  return -1;
}

int EndpointWatcher::on_response_body(http_parser* parser, const char* at, std::size_t size) {
  auto* self = static_cast<EndpointWatcher*>(parser->data);
  const bool is_readable =
      self->reader_.feed({at, size}, [self](const settings::SseEvent& event) { self->on_event(event); });
  return is_readable && !self->is_requesting_again_ ? 0 : -1;
}

int EndpointWatcher::on_response_end(http_parser* parser) {
  static_cast<EndpointWatcher*>(parser->data)->has_response_ended_ = true;
  return 0;
}

void EndpointWatcher::on_event(const settings::SseEvent& event) {
  // What follows an unreadable event is not applied before it: its number would hide that one for good.
  if (is_requesting_again_) return;
  auto update = parse_endpoint_update(event.data);
  if (!update) {
    on_unreadable_event(event);
    return;
  }
  // The id is the event's number; the data repeats it.
  if (const auto id = parse_event_id(event)) update->cursor = *id;
  consecutive_unreadable_events_ = 0;
  apply_update(*update);
}

void EndpointWatcher::on_unreadable_event(const settings::SseEvent& event) {
  // Most likely damaged on the way: it is requested again, and skipped only if that does not help.
  ++counters_.unreadable;
  is_requesting_again_ = ++consecutive_unreadable_events_ <= kMaxRepeatedRequests;
  net::log::warn("command channel: event ", event.id, " cannot be read",
                 is_requesting_again_ ? ", asked for again" : ", skipped: the list may be wrong");
  const auto id = parse_event_id(event);
  if (is_requesting_again_ || !id) return;
  consecutive_unreadable_events_ = 0;
  last_event_id_ = std::max(last_event_id_, *id);
}

void EndpointWatcher::apply_update(const EndpointUpdate& update) {
  if (update.cursor <= last_event_id_) return;
  last_event_id_ = update.cursor;
  ++counters_.endpoint_events;
  on_update_(update);
}

}  // namespace amberknot::discovery
