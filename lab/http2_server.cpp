#include "lab/http2_server.hpp"

#include <algorithm>
#include <cstring>

namespace amberknot::lab {
namespace {

Http2Server::Peer* peer_of(void* self) {
  return static_cast<Http2Server::Peer*>(self);
}

nghttp2_nv header_field(const std::string& name, const std::string& value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

Http2Server::Http2Server(net::Loop& loop) : Http2Server(loop, Options()) {}

Http2Server::Http2Server(net::Loop& loop, Options initial_options)
    : options(initial_options),
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

void Http2Server::crash() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (auto& peer : peers) {
    if (!peer->closed) peer->reset_connection();
  }
}

void Http2Server::restart() {
  acceptor_ = asio::ip::tcp::acceptor(loop_.io, {address_, port_}, true);
  accept();
}

Http2Server::Peer::Peer(Http2Server& server, asio::ip::tcp::socket socket)
    : server_(server), tcp_(std::make_shared<net::TcpConnection>(server.loop_, *this)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
      callbacks,
      [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
         const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* self) {
        auto& request = peer_of(self)->requests[frame->hd.stream_id];
        const std::string name_text(reinterpret_cast<const char*>(name), name_size);
        const std::string value_text(reinterpret_cast<const char*>(value), value_size);
        if (name_text == ":method") request.method = value_text;
        if (name_text == ":path") request.path = value_text;
        request.headers[name_text] = value_text;
        return 0;
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, [](nghttp2_session*, std::uint8_t, std::int32_t stream_id, const std::uint8_t* data,
                    std::size_t size, void* self) {
        peer_of(self)->requests[stream_id].body.append(reinterpret_cast<const char*>(data), size);
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
        auto& peer = *peer_of(self);
        const auto stream_id = frame->hd.stream_id;
        if ((frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
          auto& request = peer.requests[stream_id];
          request.complete = true;
          if (peer.server_.on_request) peer.server_.on_request(peer, stream_id, request);
        } else if (frame->hd.type == NGHTTP2_RST_STREAM) {
          auto& request = peer.requests[stream_id];
          request.was_reset = true;
          request.reset_code = frame->rst_stream.error_code;
          if (peer.server_.on_reset) peer.server_.on_reset(peer, stream_id, request);
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, [](nghttp2_session*, std::int32_t stream_id, std::uint32_t, void* self) {
        peer_of(self)->bodies_.erase(stream_id);
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
  tcp_->start_accepted(std::move(socket));
}

void Http2Server::Peer::on_open(net::TcpConnection& /*tcp*/) {
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, server_.options.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, server_.options.initial_window_size}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, std::size(settings));
  flush_output();
}

std::size_t Http2Server::Peer::on_bytes(net::TcpConnection& tcp, std::span<char> bytes) {
  const auto consumed = nghttp2_session_mem_recv(
      session_.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (closed) return bytes.size();
  if (consumed < 0) {
    tcp.fail(net::CloseReason::kReset);
    return bytes.size();
  }
  flush_output();
  return bytes.size();
}

void Http2Server::Peer::on_closed(net::TcpConnection& /*tcp*/, net::CloseReason /*reason*/) {
  closed = true;
}

void Http2Server::Peer::flush_output() {
  if (closed || server_.is_hung) return;
  std::string bytes;
  for (;;) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_.get(), &data);
    if (size <= 0) break;
    bytes.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
  }
  if (!bytes.empty()) tcp_->send(std::move(bytes));
}

ssize_t Http2Server::Peer::read_response_body(nghttp2_session* /*session*/, std::int32_t stream_id,
                                              std::uint8_t* buffer, std::size_t size, std::uint32_t* flags,
                                              nghttp2_data_source* /*source*/, void* self) {
  auto& body = peer_of(self)->bodies_[stream_id];
  const std::size_t count = std::min(size, body.bytes.size() - body.bytes_sent);
  std::memcpy(buffer, body.bytes.data() + body.bytes_sent, count);
  body.bytes_sent += count;
  if (body.bytes_sent == body.bytes.size()) {
    if (body.end_stream) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (count == 0) {
      body.deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
  }
  return static_cast<ssize_t>(count);
}

void Http2Server::Peer::respond(std::int32_t stream_id, int status, const Headers& headers,
                                const std::string& body, bool end_stream) {
  const std::string status_name = ":status";
  const std::string status_text = std::to_string(status);
  std::vector<nghttp2_nv> fields = {header_field(status_name, status_text)};
  for (const auto& [key, value] : headers) fields.push_back(header_field(key, value));
  bodies_[stream_id] = {body, 0, end_stream, false};
  nghttp2_data_provider provider{};
  provider.read_callback = read_response_body;
  nghttp2_submit_response(session_.get(), stream_id, fields.data(), fields.size(),
                          body.empty() && end_stream ? nullptr : &provider);
  flush_output();
}

void Http2Server::Peer::send_data(std::int32_t stream_id, const std::string& chunk, bool end_stream) {
  const auto found = bodies_.find(stream_id);
  if (found == bodies_.end()) return;
  found->second.bytes += chunk;
  found->second.end_stream = end_stream;
  if (std::exchange(found->second.deferred, false)) nghttp2_session_resume_data(session_.get(), stream_id);
  flush_output();
}

void Http2Server::Peer::reset_stream(std::int32_t stream_id, std::uint32_t code) {
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, stream_id, code);
  flush_output();
}

void Http2Server::Peer::send_goaway(std::int32_t last_stream_id, std::uint32_t code) {
  nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE, last_stream_id, code, nullptr, 0);
  flush_output();
}

void Http2Server::Peer::set_max_streams(std::uint32_t max_streams) {
  const nghttp2_settings_entry settings[] = {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams}};
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, 1);
  flush_output();
}

}  // namespace amberknot::lab
