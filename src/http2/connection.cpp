#include "http2/connection.hpp"

#include <algorithm>
#include <cstring>

namespace amberknot::http2 {
namespace {

constexpr Duration kTimerInterval = std::chrono::milliseconds{50};

nghttp2_nv header_field(const std::string& name, const std::string& value) {
  // nghttp2 copies both texts before its call returns.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

Connection* connection_of(void* self) {
  return static_cast<Connection*>(self);
}

}  // namespace

Connection::Connection(net::Loop& loop, Handler& handler, Limits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      tcp_(std::make_shared<net::TcpConnection>(loop, *this)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_data_chunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, on_stream_closed);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks, this);
  session_.reset(session);
  nghttp2_session_callbacks_del(callbacks);
}

Connection::~Connection() {
  close();
}

void Connection::connect(const asio::ip::tcp::endpoint& remote) {
  connect_started_at_ = net::Loop::now();
  // Disables server push: neither pushed responses nor streams opened by the server are used.
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 0},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.max_head_size)}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, std::size(settings));
  tcp_->connect(remote, limits_.connect_timeout);
  start_timer();
}

bool Connection::has_capacity() const {
  if (!is_up() || !tcp_->is_open() || going_away_ || !healthy_ || is_blocked()) return false;
  // The server may have lowered its limit since earlier requests were sent; the new limit applies to new
  // ones.
  const std::size_t server_limit =
      nghttp2_session_get_remote_settings(session_.get(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  return exchanges_by_stream_.size() < std::min(limits_.max_streams, server_limit);
}

bool Connection::request(RequestKey key, const Request& request) {
  if (!has_capacity() || exchanges_by_key_.contains(key)) return false;
  static const std::string kMethod = ":method", kScheme = ":scheme", kHttp = "http",
                           kAuthority = ":authority", kPath = ":path";
  const std::string authority = net::to_text(tcp_->remote());
  std::vector<nghttp2_nv> fields = {header_field(kMethod, request.method), header_field(kScheme, kHttp),
                                    header_field(kAuthority, authority), header_field(kPath, request.path)};
  for (const auto& [name, value] : request.headers) fields.push_back(header_field(name, value));
  auto exchange = std::make_unique<Exchange>();
  exchange->key = key;
  exchange->request_body = request.body;
  exchange->streamed = request.streamed;
  nghttp2_data_provider body{};
  body.source.ptr = exchange.get();
  body.read_callback = read_request_body;
  const auto stream_id = nghttp2_submit_request(session_.get(), nullptr, fields.data(), fields.size(),
                                                request.body.empty() ? nullptr : &body, nullptr);
  if (stream_id < 0) {
    // Stream identifiers or memory are exhausted: no further request is sent on this connection.
    going_away_ = true;
    return false;
  }
  exchange->stream_id = stream_id;
  exchanges_by_key_[key] = exchange.get();
  exchanges_by_stream_[stream_id] = std::move(exchange);
  flush_output(key + 1);
  return true;
}

void Connection::cancel(RequestKey key) {
  const auto found = exchanges_by_key_.find(key);
  if (found == exchanges_by_key_.end()) return;
  found->second->cancelled = true;
  const auto stream_id = found->second->stream_id;
  exchanges_by_key_.erase(found);
  std::erase_if(pending_events_, [key](const auto& event) {
    return event.key == key &&
           (event.kind == PendingEvent::Kind::kResponse || event.kind == PendingEvent::Kind::kFailure ||
            event.kind == PendingEvent::Kind::kChunk);
  });
  if (is_closed()) return;
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_CANCEL);
  flush_output();
}

// A request is tagged with its key plus one, because tag zero means untagged.
bool Connection::has_started_writing(RequestKey key) const {
  return exchanges_by_key_.contains(key) && !tcp_->is_queued(key + 1);
}

void Connection::close() {
  loop_.timers.cancel(std::exchange(timer_, 0));
  exchanges_by_key_.clear();
  exchanges_by_stream_.clear();
  pending_events_.clear();
  if (!tcp_->is_closed()) tcp_->close();
}

// ---- transport ------------------------------------------------------------------------------------------

// Called only while the socket's queue is empty, except for a cancel. Output that stays inside nghttp2 can
// still be changed by a cancel, and the socket's queue does not grow if the server does not read.
void Connection::flush_output(net::TcpConnection::Tag tag) {
  if (is_closed()) return;
  std::string bytes;
  for (;;) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_.get(), &data);
    if (size <= 0) break;
    bytes.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
  }
  if (!bytes.empty()) tcp_->send(std::move(bytes), {}, tag);
}

void Connection::on_open(net::TcpConnection& /*tcp*/) {
  flush_output();
}

std::size_t Connection::on_bytes(net::TcpConnection& tcp, std::span<char> bytes) {
  const auto self = shared_from_this();
  last_received_at_ = net::Loop::now();
  const auto consumed = nghttp2_session_mem_recv(
      session_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (consumed < 0) {
    // The frame is invalid or the server does not speak HTTP/2. Events from before it are dispatched first.
    dispatch_events();
    if (!tcp.is_closed()) tcp.fail(net::CloseReason::kReset);
    return bytes.size();
  }
  if (!is_blocked()) flush_output();
  dispatch_events();
  if (tcp.is_closed()) return bytes.size();
  // After a connection error nghttp2 has sent GOAWAY and wants neither to read nor to write.
  if (nghttp2_session_want_read(session_.get()) == 0 && nghttp2_session_want_write(session_.get()) == 0) {
    tcp.fail(net::CloseReason::kClosedByPeer);
  }
  return bytes.size();
}

void Connection::on_drained(net::TcpConnection& /*tcp*/) {
  const auto self = shared_from_this();
  flush_output();
  pending_events_.push_back({PendingEvent::Kind::kCapacity});
  dispatch_events();
}

void Connection::on_closed(net::TcpConnection& tcp, net::CloseReason reason) {
  const auto self = shared_from_this();
  loop_.timers.cancel(std::exchange(timer_, 0));
  std::vector<RequestKey> unsent;
  for (const auto& message : tcp.take_unsent()) {
    if (message.tag != 0) unsent.push_back(message.tag - 1);
  }
  // Failures are reported in the order in which the requests were made (their keys increase), not in the
  // order of the hash table, so that the same events lead to the same actions in every run.
  std::vector<RequestKey> outstanding;
  for (const auto& [key, exchange] : exchanges_by_key_) outstanding.push_back(key);
  std::sort(outstanding.begin(), outstanding.end());
  exchanges_by_key_.clear();
  exchanges_by_stream_.clear();
  for (const auto key : outstanding) {
    const bool is_unsent = std::find(unsent.begin(), unsent.end(), key) != unsent.end();
    PendingEvent event{PendingEvent::Kind::kFailure, key};
    event.failure = is_unsent ? Failure::kNotProcessed : Failure::kReset;
    pending_events_.push_back(std::move(event));
  }
  PendingEvent down_event{PendingEvent::Kind::kDown};
  down_event.reason = reason;
  pending_events_.push_back(std::move(down_event));
  dispatch_events();
}

// ---- nghttp2 callbacks ----------------------------------------------------------------------------------

Connection::Exchange* Connection::find_exchange(std::int32_t stream_id) {
  const auto found = exchanges_by_stream_.find(stream_id);
  return found != exchanges_by_stream_.end() ? found->second.get() : nullptr;
}

int Connection::on_frame(nghttp2_session* session, const nghttp2_frame* frame, void* self) {
  auto& connection = *connection_of(self);
  switch (frame->hd.type) {
    case NGHTTP2_SETTINGS:
      // The first frame of a server is its SETTINGS (RFC 9113, section 3.4); nghttp2 enforces this.
      if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) break;
      connection.pending_events_.push_back(
          {std::exchange(connection.up_, true) ? PendingEvent::Kind::kCapacity : PendingEvent::Kind::kUp});
      break;
    case NGHTTP2_PING:
      if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) break;
      connection.ping_outstanding_ = false;
      if (!std::exchange(connection.healthy_, true)) {
        connection.pending_events_.push_back({PendingEvent::Kind::kHealthChanged});
        connection.pending_events_.push_back({PendingEvent::Kind::kCapacity});
      }
      break;
    case NGHTTP2_GOAWAY:
      if (std::exchange(connection.going_away_, true)) break;
      connection.pending_events_.push_back({PendingEvent::Kind::kGoingAway});
      break;
    case NGHTTP2_HEADERS:
    case NGHTTP2_DATA:
      if (auto* exchange = connection.find_exchange(frame->hd.stream_id)) {
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (ends) exchange->complete = true;
        // A streamed response has no end, so its status is reported on its own.
        if (frame->hd.type == NGHTTP2_HEADERS && exchange->streamed && !exchange->cancelled &&
            exchange->response.status >= 200) {
          PendingEvent event{PendingEvent::Kind::kChunk, exchange->key};
          event.status = exchange->response.status;
          connection.pending_events_.push_back(std::move(event));
        }
        if (exchange->too_large && !ends) {
          nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_CANCEL);
        }
      }
      break;
    default:
      break;
  }
  return 0;
}

int Connection::on_header(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
                          std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                          std::uint8_t /*flags*/, void* self) {
  auto* exchange = connection_of(self)->find_exchange(frame->hd.stream_id);
  if (exchange == nullptr) return 0;
  // RFC 9113 counts 32 bytes of overhead per field for SETTINGS_MAX_HEADER_LIST_SIZE.
  exchange->head_size += name_size + value_size + 32;
  if (exchange->head_size > connection_of(self)->limits_.max_head_size) {
    if (!std::exchange(exchange->too_large, true)) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_CANCEL);
    }
    return 0;
  }
  const std::string_view name_text(reinterpret_cast<const char*>(name), name_size);
  const std::string_view value_text(reinterpret_cast<const char*>(value), value_size);
  if (name_text == ":status") {
    exchange->response.status = 0;  // an interim response may have set it
    for (const char c : value_text) exchange->response.status = exchange->response.status * 10 + (c - '0');
  } else if (name_text == "content-type") {
    exchange->response.content_type = value_text;
  } else if (name_text == "retry-after") {
    exchange->response.retry_after = value_text;
  }
  return 0;
}

int Connection::on_data_chunk(nghttp2_session* session, std::uint8_t /*flags*/, std::int32_t stream_id,
                              const std::uint8_t* data, std::size_t size, void* self) {
  auto& connection = *connection_of(self);
  auto* exchange = connection.find_exchange(stream_id);
  if (exchange == nullptr || exchange->cancelled || exchange->too_large) return 0;
  const std::string_view chunk(reinterpret_cast<const char*>(data), size);
  if (exchange->streamed && exchange->response.status == 200) {
    PendingEvent event{PendingEvent::Kind::kChunk, exchange->key};
    event.status = exchange->response.status;
    event.chunk = chunk;
    connection.pending_events_.push_back(std::move(event));
    return 0;
  }
  if (exchange->response.body.size() + size > connection.limits_.max_body_size) {
    exchange->too_large = true;
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_CANCEL);
    return 0;
  }
  exchange->response.body += chunk;
  return 0;
}

int Connection::on_stream_closed(nghttp2_session* /*session*/, std::int32_t stream_id, std::uint32_t code,
                                 void* self) {
  auto& connection = *connection_of(self);
  const auto found = connection.exchanges_by_stream_.find(stream_id);
  if (found == connection.exchanges_by_stream_.end()) return 0;
  auto& exchange = *found->second;
  if (!exchange.cancelled) {
    connection.exchanges_by_key_.erase(exchange.key);
    PendingEvent event{PendingEvent::Kind::kFailure, exchange.key};
    if (exchange.too_large) {
      event.failure = Failure::kTooLarge;
    } else if (exchange.complete && exchange.response.status >= 200) {
      // A server may respond before it has read the whole request, and then reset the stream with NO_ERROR
      // (RFC 9113, section 8.1).
      event.kind = PendingEvent::Kind::kResponse;
      event.response = std::move(exchange.response);
    } else if (code == NGHTTP2_REFUSED_STREAM) {
      // RFC 9113, section 8.7. nghttp2 closes streams above the last one of a GOAWAY with this code too.
      event.failure = Failure::kNotProcessed;
    } else if (code == NGHTTP2_ENHANCE_YOUR_CALM) {
      event.failure = Failure::kEnhanceYourCalm;
    }
    connection.pending_events_.push_back(std::move(event));
  }
  connection.exchanges_by_stream_.erase(found);
  connection.pending_events_.push_back({PendingEvent::Kind::kCapacity});
  return 0;
}

ssize_t Connection::read_request_body(nghttp2_session* /*session*/, std::int32_t /*stream_id*/,
                                      std::uint8_t* buffer, std::size_t size, std::uint32_t* flags,
                                      nghttp2_data_source* source, void* /*self*/) {
  auto& exchange = *static_cast<Exchange*>(source->ptr);
  const std::size_t count = std::min(size, exchange.request_body.size() - exchange.body_bytes_sent);
  std::memcpy(buffer, exchange.request_body.data() + exchange.body_bytes_sent, count);
  exchange.body_bytes_sent += count;
  if (exchange.body_bytes_sent == exchange.request_body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

void Connection::dispatch_events() {
  if (dispatching_) return;
  dispatching_ = true;
  const auto self = shared_from_this();
  // The handler may call cancel(), which removes events, or close(), which removes all of them.
  while (!pending_events_.empty()) {
    PendingEvent event = std::move(pending_events_.front());
    pending_events_.erase(pending_events_.begin());
    switch (event.kind) {
      case PendingEvent::Kind::kUp:
        handler_.on_up(*this);
        break;
      case PendingEvent::Kind::kResponse:
        handler_.on_response(*this, event.key, event.response);
        break;
      case PendingEvent::Kind::kFailure:
        handler_.on_failure(*this, event.key, event.failure);
        break;
      case PendingEvent::Kind::kChunk:
        if (!handler_.on_chunk(*this, event.key, event.status, event.chunk)) cancel(event.key);
        break;
      case PendingEvent::Kind::kCapacity:
        if (has_capacity()) handler_.on_capacity(*this);
        break;
      case PendingEvent::Kind::kHealthChanged:
        handler_.on_health_changed(*this, event.healthy);
        break;
      case PendingEvent::Kind::kGoingAway:
        handler_.on_going_away(*this);
        break;
      case PendingEvent::Kind::kDown:
        handler_.on_down(*this, event.reason);
        break;
    }
  }
  dispatching_ = false;
}

// ---- timer ----------------------------------------------------------------------------------------------

void Connection::start_timer() {
  timer_ = loop_.run_after(kTimerInterval, [this] {
    timer_ = 0;
    const auto self = shared_from_this();
    const Instant now = net::Loop::now();
    if (!up_ && now - connect_started_at_ > limits_.connect_timeout) {
      // The TCP connection is open but no SETTINGS arrived: the server does not speak HTTP/2.
      tcp_->fail(net::CloseReason::kConnectFailed);
      return;
    }
    check_ping();
    if (!is_closed()) start_timer();
  });
}

// Only the answer to the PING counts, because a server that still sends data may have stopped reading.
void Connection::check_ping() {
  if (!up_) return;
  const Instant now = net::Loop::now();
  if (!ping_outstanding_) {
    if (now - ping_sent_at_ < limits_.ping_interval) return;
    ping_outstanding_ = true;
    ping_sent_at_ = now;
    nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
    if (!is_blocked()) flush_output();
    return;
  }
  const Duration unanswered = now - ping_sent_at_;
  if (unanswered > 2 * limits_.ping_timeout) {
    tcp_->fail(net::CloseReason::kReset);
  } else if (unanswered > limits_.ping_timeout && std::exchange(healthy_, false)) {
    PendingEvent event{PendingEvent::Kind::kHealthChanged};
    event.healthy = false;
    pending_events_.push_back(std::move(event));
    dispatch_events();
  }
}

}  // namespace amberknot::http2
