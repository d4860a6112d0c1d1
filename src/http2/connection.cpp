#include "http2/connection.hpp"

#include <algorithm>
#include <cstring>

namespace amberknot::http2 {
namespace {

constexpr Duration kLookEvery = std::chrono::milliseconds{50};

nghttp2_nv header(const std::string& name, const std::string& value) {
  // nghttp2 copies both before it returns.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

Connection* of(void* self) {
  return static_cast<Connection*>(self);
}

}  // namespace

Connection::Connection(net::Loop& loop, Handler& handler, Limits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      stream_(std::make_shared<net::TcpConnection>(loop, *this)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frame_received);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, header_received);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, data_received);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, stream_closed);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks, this);
  session_.reset(session);
  nghttp2_session_callbacks_del(callbacks);
}

Connection::~Connection() {
  close();
}

void Connection::connect(const asio::ip::tcp::endpoint& to) {
  connected_ = net::Loop::now();
  // Pushed answers are of no use here, and a server's own streams none either.
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 0},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(limits_.head)}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, std::size(settings));
  stream_->connect(to, limits_.connect);
  watch();
}

bool Connection::has_room() const {
  if (!is_up() || !stream_->is_open() || going_away_ || !healthy_ || is_blocked()) return false;
  // Whatever was allowed when earlier requests went: a bound lowered since binds what is new.
  const std::size_t allowed =
      nghttp2_session_get_remote_settings(session_.get(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  return by_id_.size() < std::min(limits_.streams, allowed);
}

bool Connection::request(Key key, const Request& request) {
  if (!has_room() || by_key_.contains(key)) return false;
  static const std::string kMethod = ":method", kScheme = ":scheme", kHttp = "http",
                           kAuthority = ":authority", kPath = ":path";
  const std::string authority = net::text_of(stream_->remote());
  std::vector<nghttp2_nv> head = {header(kMethod, request.method), header(kScheme, kHttp),
                                  header(kAuthority, authority), header(kPath, request.path)};
  for (const auto& [name, value] : request.headers) head.push_back(header(name, value));
  auto exchange = std::make_unique<Exchange>();
  exchange->key = key;
  exchange->request_body = request.body;
  exchange->streamed = request.streamed;
  nghttp2_data_provider body{};
  body.source.ptr = exchange.get();
  body.read_callback = read_body;
  const auto id = nghttp2_submit_request(session_.get(), nullptr, head.data(), head.size(),
                                         request.body.empty() ? nullptr : &body, nullptr);
  if (id < 0) {
    // Stream numbers have run out, or memory: nothing more goes by this connection.
    going_away_ = true;
    return false;
  }
  exchange->id = id;
  by_key_[key] = exchange.get();
  by_id_[id] = std::move(exchange);
  pump(key + 1);
  return true;
}

void Connection::cancel(Key key) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return;
  found->second->cancelled = true;
  const auto id = found->second->id;
  by_key_.erase(found);
  std::erase_if(news_, [key](const auto& one) {
    return one.key == key && (one.what == News::What::kResponse || one.what == News::What::kFailure ||
                              one.what == News::What::kChunk);
  });
  if (is_closed()) return;
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  pump();
}

// What is queued has not left; its tag is the key and one, since zero marks nothing.
bool Connection::has_left(Key key) const {
  return by_key_.contains(key) && !stream_->is_queued(key + 1);
}

void Connection::close() {
  loop_.wheel.cancel(std::exchange(timer_, 0));
  by_key_.clear();
  by_id_.clear();
  news_.clear();
  if (!stream_->is_closed()) stream_->close();
}

// ---- the wire -------------------------------------------------------------------------------------------

// What nghttp2 has to say is taken only while nothing is queued: until then it may be changed by a cancel,
// and a server that does not read makes nothing grow here.
void Connection::pump(net::TcpConnection::Tag tag) {
  if (is_closed()) return;
  std::string bytes;
  for (;;) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_.get(), &data);
    if (size <= 0) break;
    bytes.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
  }
  if (!bytes.empty()) stream_->send(std::move(bytes), {}, tag);
}

void Connection::on_open(net::TcpConnection& /*stream*/) {
  pump();
}

std::size_t Connection::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const auto keep = shared_from_this();
  const auto taken = nghttp2_session_mem_recv(
      session_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (taken < 0) {
    // A broken frame or a server that speaks something else: what came before it is told first.
    tell();
    if (!stream.is_closed()) stream.fail(net::CloseReason::kReset);
    return bytes.size();
  }
  if (!is_blocked()) pump();
  tell();
  if (stream.is_closed()) return bytes.size();
  // After an error of the connection nghttp2 has said GOAWAY and wants no more.
  if (nghttp2_session_want_read(session_.get()) == 0 && nghttp2_session_want_write(session_.get()) == 0) {
    stream.fail(net::CloseReason::kEnded);
  }
  return bytes.size();
}

void Connection::on_drained(net::TcpConnection& /*stream*/) {
  const auto keep = shared_from_this();
  pump();
  news_.push_back({News::What::kRoom});
  tell();
}

void Connection::on_closed(net::TcpConnection& stream, net::CloseReason why) {
  const auto keep = shared_from_this();
  loop_.wheel.cancel(std::exchange(timer_, 0));
  std::vector<Key> unsent;
  for (const auto& message : stream.take_unsent()) {
    if (message.tag != 0) unsent.push_back(message.tag - 1);
  }
  // In the order in which they were made: the same events give the same actions everywhere.
  std::vector<Key> out;
  for (const auto& [key, exchange] : by_key_) out.push_back(key);
  std::sort(out.begin(), out.end());
  by_key_.clear();
  by_id_.clear();
  for (const auto key : out) {
    const bool never = std::find(unsent.begin(), unsent.end(), key) != unsent.end();
    News one{News::What::kFailure, key};
    one.failure = never ? Failure::kNeverRan : Failure::kReset;
    news_.push_back(std::move(one));
  }
  News down{News::What::kDown};
  down.why = why;
  news_.push_back(std::move(down));
  tell();
}

// ---- what nghttp2 tells ---------------------------------------------------------------------------------

Connection::Exchange* Connection::find(std::int32_t id) {
  const auto found = by_id_.find(id);
  return found != by_id_.end() ? found->second.get() : nullptr;
}

int Connection::frame_received(nghttp2_session* session, const nghttp2_frame* frame, void* self) {
  auto& connection = *of(self);
  switch (frame->hd.type) {
    case NGHTTP2_SETTINGS:
      // The first frame of a server is its SETTINGS (RFC 9113, 3.4); nghttp2 sees to that.
      if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) break;
      connection.news_.push_back({std::exchange(connection.up_, true) ? News::What::kRoom : News::What::kUp});
      break;
    case NGHTTP2_PING:
      if ((frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) break;
      connection.ping_out_ = false;
      if (!std::exchange(connection.healthy_, true)) {
        connection.news_.push_back({News::What::kHealth});
        connection.news_.push_back({News::What::kRoom});
      }
      break;
    case NGHTTP2_GOAWAY:
      if (std::exchange(connection.going_away_, true)) break;
      connection.news_.push_back({News::What::kGoingAway});
      break;
    case NGHTTP2_HEADERS:
    case NGHTTP2_DATA:
      if (auto* exchange = connection.find(frame->hd.stream_id)) {
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (ends) exchange->whole = true;
        // The head of a stream that does not end is news by itself.
        if (frame->hd.type == NGHTTP2_HEADERS && exchange->streamed && !exchange->cancelled &&
            exchange->response.status >= 200) {
          News one{News::What::kChunk, exchange->key};
          one.status = exchange->response.status;
          connection.news_.push_back(std::move(one));
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

int Connection::header_received(nghttp2_session* session, const nghttp2_frame* frame,
                                const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                                std::size_t value_size, std::uint8_t /*flags*/, void* self) {
  auto* exchange = of(self)->find(frame->hd.stream_id);
  if (exchange == nullptr) return 0;
  exchange->head += name_size + value_size + 32;  // as SETTINGS_MAX_HEADER_LIST_SIZE counts
  if (exchange->head > of(self)->limits_.head) {
    if (!std::exchange(exchange->too_large, true)) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_CANCEL);
    }
    return 0;
  }
  const std::string_view key(reinterpret_cast<const char*>(name), name_size);
  const std::string_view text(reinterpret_cast<const char*>(value), value_size);
  if (key == ":status") {
    exchange->response.status = 0;  // an interim answer may have come before
    for (const char c : text) exchange->response.status = exchange->response.status * 10 + (c - '0');
  } else if (key == "content-type") {
    exchange->response.content_type = text;
  } else if (key == "retry-after") {
    exchange->response.retry_after = text;
  }
  return 0;
}

int Connection::data_received(nghttp2_session* session, std::uint8_t /*flags*/, std::int32_t id,
                              const std::uint8_t* data, std::size_t size, void* self) {
  auto& connection = *of(self);
  auto* exchange = connection.find(id);
  if (exchange == nullptr || exchange->cancelled || exchange->too_large) return 0;
  const std::string_view chunk(reinterpret_cast<const char*>(data), size);
  if (exchange->streamed && exchange->response.status == 200) {
    News one{News::What::kChunk, exchange->key};
    one.status = exchange->response.status;
    one.chunk = chunk;
    connection.news_.push_back(std::move(one));
    return 0;
  }
  if (exchange->response.body.size() + size > connection.limits_.body) {
    exchange->too_large = true;
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    return 0;
  }
  exchange->response.body += chunk;
  return 0;
}

int Connection::stream_closed(nghttp2_session* /*session*/, std::int32_t id, std::uint32_t code, void* self) {
  auto& connection = *of(self);
  const auto found = connection.by_id_.find(id);
  if (found == connection.by_id_.end()) return 0;
  auto& exchange = *found->second;
  if (!exchange.cancelled) {
    connection.by_key_.erase(exchange.key);
    News one{News::What::kFailure, exchange.key};
    if (exchange.too_large) {
      one.failure = Failure::kTooLarge;
    } else if (exchange.whole && exchange.response.status >= 200) {
      // RFC 9113, 8.1: a server may answer before it has read all, and then reset with NO_ERROR.
      one.what = News::What::kResponse;
      one.response = std::move(exchange.response);
    } else if (code == NGHTTP2_REFUSED_STREAM) {
      // RFC 9113, 8.7. nghttp2 closes what is above the last stream of a GOAWAY so, too.
      one.failure = Failure::kNeverRan;
    } else if (code == NGHTTP2_ENHANCE_YOUR_CALM) {
      one.failure = Failure::kCalm;
    }
    connection.news_.push_back(std::move(one));
  }
  connection.by_id_.erase(found);
  connection.news_.push_back({News::What::kRoom});
  return 0;
}

ssize_t Connection::read_body(nghttp2_session* /*session*/, std::int32_t /*id*/, std::uint8_t* to,
                              std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
                              void* /*self*/) {
  auto& exchange = *static_cast<Exchange*>(source->ptr);
  const std::size_t count = std::min(size, exchange.request_body.size() - exchange.sent);
  std::memcpy(to, exchange.request_body.data() + exchange.sent, count);
  exchange.sent += count;
  if (exchange.sent == exchange.request_body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

void Connection::tell() {
  if (telling_) return;
  telling_ = true;
  const auto keep = shared_from_this();
  // The handler may cancel, which takes news out, or close, which takes all.
  while (!news_.empty()) {
    News one = std::move(news_.front());
    news_.erase(news_.begin());
    switch (one.what) {
      case News::What::kUp:
        handler_.on_up(*this);
        break;
      case News::What::kResponse:
        handler_.on_response(*this, one.key, one.response);
        break;
      case News::What::kFailure:
        handler_.on_failure(*this, one.key, one.failure);
        break;
      case News::What::kChunk:
        if (!handler_.on_chunk(*this, one.key, one.status, one.chunk)) cancel(one.key);
        break;
      case News::What::kRoom:
        if (has_room()) handler_.on_room(*this);
        break;
      case News::What::kHealth:
        handler_.on_health(*this, one.healthy);
        break;
      case News::What::kGoingAway:
        handler_.on_going_away(*this);
        break;
      case News::What::kDown:
        handler_.on_down(*this, one.why);
        break;
    }
  }
  telling_ = false;
}

// ---- time -----------------------------------------------------------------------------------------------

void Connection::watch() {
  timer_ = loop_.after(kLookEvery, [this] {
    timer_ = 0;
    const auto keep = shared_from_this();
    const Instant now = net::Loop::now();
    if (!up_ && now - connected_ > limits_.connect) {
      // Connected, and no SETTINGS: nobody there speaks HTTP/2.
      stream_->fail(net::CloseReason::kNeverUp);
      return;
    }
    ping();
    if (!is_closed()) watch();
  });
}

// Only the answer to the PING counts: a server whose answers still come may have stopped reading.
void Connection::ping() {
  if (!up_) return;
  const Instant now = net::Loop::now();
  if (!ping_out_) {
    if (now - ping_sent_ < limits_.ping_every) return;
    ping_out_ = true;
    ping_sent_ = now;
    nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
    if (!is_blocked()) pump();
    return;
  }
  const Duration silent = now - ping_sent_;
  if (silent > 2 * limits_.ping_patience) {
    stream_->fail(net::CloseReason::kReset);
  } else if (silent > limits_.ping_patience && std::exchange(healthy_, false)) {
    News one{News::What::kHealth};
    one.healthy = false;
    news_.push_back(std::move(one));
    tell();
  }
}

}  // namespace amberknot::http2
