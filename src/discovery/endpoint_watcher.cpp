#include "discovery/endpoint_watcher.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "net/log.hpp"

namespace amberknot::discovery {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectLimit = std::chrono::seconds{1};
// A comment comes each second: after this long without a byte the connection is dead, though it looks open.
constexpr Duration kSilence = milliseconds{2500};
constexpr Duration kPause = milliseconds{100};
// An event that cannot be read is asked for again so many times.
constexpr int kMaxTorn = 3;

}  // namespace

EndpointWatcher::EndpointWatcher(net::Loop& loop, core::Counters& counters, asio::ip::tcp::endpoint channel,
                                 std::uint64_t last, OnUpdate on_update)
    : loop_(loop),
      counters_(counters),
      channel_(std::move(channel)),
      last_(last),
      on_update_(std::move(on_update)) {
  connect();
}

void EndpointWatcher::connect() {
  if (std::exchange(connected_before_, true)) ++counters_.endpoint_watch_restarts;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  reader_ = {};
  ended_ = false;
  torn_ = false;
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->connect(channel_, kConnectLimit);
}

void EndpointWatcher::again(const char* why) {
  net::log::info("command channel ", why, ", resuming after ", last_);
  loop_.wheel.cancel(std::exchange(silence_, 0));
  if (stream_) stream_->close();
  loop_.wheel.cancel(retry_);
  retry_ = loop_.after(kPause, [this] {
    retry_ = 0;
    connect();
  });
}

void EndpointWatcher::move_to(const asio::ip::tcp::endpoint& channel) {
  if (channel == channel_) return;
  net::log::info("command channel moves from ", channel_, " to ", channel, ", resuming after ", last_);
  channel_ = channel;
  // The old one tells nothing more though it stays open for a while: what it still sends is not waited for.
  loop_.wheel.cancel(std::exchange(silence_, 0));
  loop_.wheel.cancel(std::exchange(retry_, 0));
  if (stream_) stream_->close();
  connect();
}

void EndpointWatcher::watch() {
  loop_.wheel.cancel(silence_);
  silence_ = loop_.after(kSilence, [this] {
    silence_ = 0;
    again("silent");
  });
}

void EndpointWatcher::on_open(net::TcpConnection& stream) {
  std::ostringstream head;
  head << "GET /cmd/next HTTP/1.1\r\nHost: " << channel_ << "\r\nAccept: text/event-stream\r\n"
       << "Last-Event-ID: " << last_ << "\r\n\r\n";
  stream.send(head.str());
  watch();
}

std::size_t EndpointWatcher::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  watch();
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_headers_complete = on_head;
    made.on_body = on_body;
    made.on_message_complete = on_end;
    return made;
  }();
  const std::size_t taken = http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
  if (stream.is_closed()) return bytes.size();
  if (ended_ || HTTP_PARSER_ERRNO(&parser_) != HPE_OK || taken != bytes.size()) {
    if (!ended_) {
      ++counters_.unreadable;
      net::log::warn("command channel: ", http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
    }
    again(ended_ ? "ended" : "unreadable");
  }
  return bytes.size();
}

void EndpointWatcher::on_closed(net::TcpConnection& /*stream*/, net::CloseReason why) {
  again(name(why));
}

int EndpointWatcher::on_head(http_parser* parser) {
  if (parser->status_code == 200) return 0;
  net::log::warn("command channel answers ", parser->status_code);
  return -1;
}

int EndpointWatcher::on_body(http_parser* parser, const char* at, std::size_t size) {
  auto* self = static_cast<EndpointWatcher*>(parser->data);
  const bool readable =
      self->reader_.feed({at, size}, [self](const SseEvent& event) { self->on_event(event); });
  return readable && !self->torn_ ? 0 : -1;
}

int EndpointWatcher::on_end(http_parser* parser) {
  static_cast<EndpointWatcher*>(parser->data)->ended_ = true;
  return 0;
}

void EndpointWatcher::on_event(const SseEvent& event) {
  if (torn_) return;
  auto news = read_endpoint_update(event.data);
  const auto id = settings::number_of(event.id);
  const bool has_id = id && *id >= 0;
  if (!news) {
    // Torn on the way, most likely: asked for again, and skipped only if it is no better then. What follows
    // it is not taken before, since its number would hide this one for good.
    ++counters_.unreadable;
    torn_ = ++torn_in_row_ <= kMaxTorn;
    net::log::warn("command channel: event ", event.id, " cannot be read",
                   torn_ ? ", asked for again" : ", skipped: the list may be wrong");
    if (torn_ || !has_id) return;
    torn_in_row_ = 0;
    last_ = std::max(last_, static_cast<std::uint64_t>(*id));
    return;
  }
  // The id is the event's number; the data repeats it.
  if (has_id) news->cursor = static_cast<std::uint64_t>(*id);
  torn_in_row_ = 0;
  learn(*news);
}

void EndpointWatcher::learn(const EndpointUpdate& news) {
  if (news.cursor <= last_) return;
  last_ = news.cursor;
  ++counters_.endpoint_events;
  on_update_(news);
}

}  // namespace amberknot::discovery
