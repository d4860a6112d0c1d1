#include "discovery/endpoint_watcher.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "net/log.hpp"

namespace amberknot::discovery {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = std::chrono::seconds{1};
/// The channel sends a comment every second. A connection without any data for this long is considered dead,
/// even if it looks open.
constexpr Duration kIdleTimeout = milliseconds{2500};
constexpr Duration kReconnectDelay = milliseconds{100};
/// How many times an event that cannot be parsed is requested again before it is skipped.
constexpr int kMaxRepeatedRequests = 3;
constexpr unsigned kHttpOk = 200;

std::optional<std::uint64_t> parse_event_id(const settings::SseEvent& event) {
  const auto id = settings::parse_number(event.id);
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
  net::log::info("discovery: command channel connection closed: ", reason,
                 "; will reconnect and resume after event ", last_event_id_);
  cancel_timers();
  if (stream_) stream_->close();
  reconnect_timer_ = loop_.run_after(kReconnectDelay, [this] {
    reconnect_timer_ = 0;
    connect();
  });
}

void EndpointWatcher::reconnect_to(const asio::ip::tcp::endpoint& channel) {
  if (channel == channel_) return;
  net::log::info("discovery: command channel moved from ", channel_, " to ", channel,
                 ", resuming after event ", last_event_id_);
  channel_ = channel;
  // The channel keeps its old address open for a while but sends no new events there, so the connection is
  // closed without reading the rest.
  cancel_timers();
  if (stream_) stream_->close();
  connect();
}

void EndpointWatcher::cancel_timers() {
  loop_.timers.cancel(std::exchange(idle_timer_, 0));
  loop_.timers.cancel(std::exchange(reconnect_timer_, 0));
}

void EndpointWatcher::restart_idle_timer() {
  loop_.timers.cancel(idle_timer_);
  idle_timer_ = loop_.run_after(kIdleTimeout, [this] {
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
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_headers_complete = on_response_headers;
    result.on_body = on_response_body;
    result.on_message_complete = on_response_end;
    return result;
  }();
  const std::size_t parsed = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
  if (stream.is_closed()) return bytes.size();
  if (has_response_ended_) {
    schedule_reconnect("ended");
  } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parsed != bytes.size()) {
    ++counters_.unreadable_messages;
    net::log::warn("discovery: cannot parse the HTTP response of the command channel: ",
                   http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
    schedule_reconnect("unreadable");
  }
  return bytes.size();
}

void EndpointWatcher::on_closed(net::TcpConnection& /*stream*/, net::CloseReason reason) {
  schedule_reconnect(close_reason_name(reason));
}

int EndpointWatcher::on_response_headers(http_parser* parser) {
  if (parser->status_code == kHttpOk) return 0;
  net::log::warn("discovery: command channel request failed with HTTP status ", parser->status_code);
  return -1;
}

int EndpointWatcher::on_response_body(http_parser* parser, const char* data, std::size_t size) {
  auto* self = static_cast<EndpointWatcher*>(parser->data);
  const bool is_readable =
      self->reader_.feed({data, size}, [self](const settings::SseEvent& event) { self->on_event(event); });
  return is_readable && !self->is_requesting_again_ ? 0 : -1;
}

int EndpointWatcher::on_response_end(http_parser* parser) {
  static_cast<EndpointWatcher*>(parser->data)->has_response_ended_ = true;
  return 0;
}

void EndpointWatcher::on_event(const settings::SseEvent& event) {
  // Events that follow an unreadable event are not applied before it: their higher numbers would mark it as
  // known, and it would never be applied.
  if (is_requesting_again_) return;
  auto update = parse_endpoint_update(event.data);
  if (!update) {
    on_unreadable_event(event);
    return;
  }
  // The SSE id is the event's number; it takes precedence over the cursor in the data.
  if (const auto id = parse_event_id(event)) update->event_number = *id;
  consecutive_unreadable_events_ = 0;
  apply_update(*update);
}

void EndpointWatcher::on_unreadable_event(const settings::SseEvent& event) {
  // The event was most likely damaged in transit: it is requested again, and skipped only if it remains
  // unreadable.
  ++counters_.unreadable_messages;
  is_requesting_again_ = ++consecutive_unreadable_events_ <= kMaxRepeatedRequests;
  net::log::warn(
      "discovery: command channel event ", event.id, " cannot be parsed",
      is_requesting_again_ ? ", requesting it again" : ", skipping it: the endpoint list may be wrong");
  const auto id = parse_event_id(event);
  if (is_requesting_again_ || !id) return;
  consecutive_unreadable_events_ = 0;
  last_event_id_ = std::max(last_event_id_, *id);
}

void EndpointWatcher::apply_update(const EndpointUpdate& update) {
  if (update.event_number <= last_event_id_) return;
  last_event_id_ = update.event_number;
  ++counters_.endpoint_events;
  for (const auto& field : update.invalid_fields)
    net::log::warn("discovery: command channel event ", update.event_number, ": missing or invalid ", field);
  on_update_(update);
}

}  // namespace amberknot::discovery
