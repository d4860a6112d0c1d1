#include "lab/http2_server.hpp"

#include <algorithm>
#include <cstring>

namespace amberknot::lab {
namespace {

Http2Server::Peer* of(void* self) {
  return static_cast<Http2Server::Peer*>(self);
}

nghttp2_nv header(const std::string& name, const std::string& value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

Http2Server::Http2Server(net::Loop& loop) : Http2Server(loop, Options()) {}

Http2Server::Http2Server(net::Loop& loop, Options given)
    : options(given),
      loop_(loop),
      address_(asio::ip::make_address("127.0.0.1")),
      acceptor_(loop.io, {address_, 0}) {
  port_ = acceptor_.local_endpoint().port();
  accept();
}

void Http2Server::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error) return;
    peers.push_back(std::make_unique<Peer>(*this, std::move(socket)));
    accept();
  });
}

void Http2Server::die() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (auto& peer : peers) {
    if (!peer->closed) peer->die();
  }
}

void Http2Server::rise() {
  acceptor_ = asio::ip::tcp::acceptor(loop_.io, {address_, port_}, true);
  accept();
}

Http2Server::Peer::Peer(Http2Server& server, asio::ip::tcp::socket socket)
    : server_(server), stream_(std::make_shared<net::TcpConnection>(server.loop_, *this)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
      callbacks,
      [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
         const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* self) {
        auto& request = of(self)->requests[frame->hd.stream_id];
        const std::string key(reinterpret_cast<const char*>(name), name_size);
        const std::string text(reinterpret_cast<const char*>(value), value_size);
        if (key == ":method") request.method = text;
        if (key == ":path") request.path = text;
        request.headers[key] = text;
        return 0;
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, [](nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                    std::size_t size, void* self) {
        of(self)->requests[id].body.append(reinterpret_cast<const char*>(data), size);
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
        auto& peer = *of(self);
        const auto id = frame->hd.stream_id;
        if ((frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
          auto& request = peer.requests[id];
          request.whole = true;
          if (peer.server_.on_request) peer.server_.on_request(peer, id, request);
        } else if (frame->hd.type == NGHTTP2_RST_STREAM) {
          auto& request = peer.requests[id];
          request.reset = true;
          request.code = frame->rst_stream.error_code;
          if (peer.server_.on_reset) peer.server_.on_reset(peer, id, request);
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, [](nghttp2_session*, std::int32_t id, std::uint32_t, void* self) {
        of(self)->bodies_.erase(id);
        return 0;
      });
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_ping_ack(option, server.options.answer_pings ? 0 : 1);
  nghttp2_session* session = nullptr;
  nghttp2_session_server_new2(&session, callbacks, this, option);
  session_.reset(session);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  stream_->adopt(std::move(socket));
}

void Http2Server::Peer::on_open(net::TcpConnection& /*stream*/) {
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, server_.options.streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, server_.options.window}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, std::size(settings));
  pump();
}

std::size_t Http2Server::Peer::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const auto taken = nghttp2_session_mem_recv(
      session_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (closed) return bytes.size();
  if (taken < 0) {
    stream.fail(net::CloseReason::kReset);
    return bytes.size();
  }
  pump();
  return bytes.size();
}

void Http2Server::Peer::on_closed(net::TcpConnection& /*stream*/, net::CloseReason /*why*/) {
  closed = true;
}

void Http2Server::Peer::pump() {
  if (closed) return;
  std::string out;
  for (;;) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_.get(), &data);
    if (size <= 0) break;
    out.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
  }
  if (!out.empty()) stream_->send(std::move(out));
}

ssize_t Http2Server::Peer::read_body(nghttp2_session* /*session*/, std::int32_t id, std::uint8_t* to,
                                     std::size_t size, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                                     void* self) {
  auto& body = of(self)->bodies_[id];
  const std::size_t count = std::min(size, body.bytes.size() - body.sent);
  std::memcpy(to, body.bytes.data() + body.sent, count);
  body.sent += count;
  if (body.sent == body.bytes.size()) {
    if (body.end) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (count == 0) {
      body.deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
  }
  return static_cast<ssize_t>(count);
}

void Http2Server::Peer::respond(std::int32_t id, int status, const Headers& headers, const std::string& body,
                                bool end) {
  const std::string name = ":status";
  const std::string text = std::to_string(status);
  std::vector<nghttp2_nv> head = {header(name, text)};
  for (const auto& [key, value] : headers) head.push_back(header(key, value));
  bodies_[id] = {body, 0, end, false};
  nghttp2_data_provider provider{};
  provider.read_callback = read_body;
  nghttp2_submit_response(session_.get(), id, head.data(), head.size(),
                          body.empty() && end ? nullptr : &provider);
  pump();
}

void Http2Server::Peer::data(std::int32_t id, const std::string& chunk, bool end) {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) return;
  found->second.bytes += chunk;
  found->second.end = end;
  if (std::exchange(found->second.deferred, false)) nghttp2_session_resume_data(session_.get(), id);
  pump();
}

void Http2Server::Peer::reset(std::int32_t id, std::uint32_t code) {
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, id, code);
  pump();
}

void Http2Server::Peer::go_away(std::int32_t last, std::uint32_t code) {
  nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE, last, code, nullptr, 0);
  pump();
}

void Http2Server::Peer::allow(std::uint32_t streams) {
  const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, streams}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, 1);
  pump();
}

}  // namespace amberknot::lab
