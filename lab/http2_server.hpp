// A stand-in for the other side of src/http2: an HTTP/2 server on loopback whose every frame is under the
// hand of a script. It decides nothing by itself but what RFC 9113 asks of every server.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/stream.hpp"

namespace amberknot::lab {

class Http2Server {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;
  struct Options {
    std::uint32_t streams = 100;
    std::uint32_t window = 65'535;  ///< of each stream
    bool answer_pings = true;
  };

  class Peer : public net::TcpConnection::Owner {
   public:
    struct Request {
      std::string method, path, body;
      std::map<std::string, std::string> headers;
      bool whole = false;
      bool reset = false;  ///< by the client
      std::uint32_t code = 0;
    };

    Peer(Http2Server& server, asio::ip::tcp::socket socket);
    ~Peer() override { stream_->close(); }

    /// A whole answer, or its head alone where `end` is false: data() goes on then.
    void respond(std::int32_t id, int status, const Headers& headers, const std::string& body,
                 bool end = true);
    void data(std::int32_t id, const std::string& chunk, bool end = false);
    void reset(std::int32_t id, std::uint32_t code);
    /// Streams above `last` were not looked at.
    void go_away(std::int32_t last, std::uint32_t code = NGHTTP2_NO_ERROR);
    void allow(std::uint32_t streams);
    /// Bytes as they are, past nghttp2.
    void raw(const std::string& bytes) { stream_->send(bytes); }
    void die() {
      stream_->reset();
      closed = true;
    }

    std::map<std::int32_t, Request> requests;
    bool closed = false;

   private:
    friend class Http2Server;
    struct Body {
      std::string bytes;
      std::size_t sent = 0;
      bool end = false;
      bool deferred = false;
    };
    struct Free {
      void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
    };
    void on_open(net::TcpConnection& stream) override;
    std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
    void on_closed(net::TcpConnection& stream, net::CloseReason why) override;
    void pump();
    static ssize_t read_body(nghttp2_session*, std::int32_t id, std::uint8_t* to, std::size_t size,
                             std::uint32_t* flags, nghttp2_data_source* source, void* self);

    Http2Server& server_;
    std::shared_ptr<net::TcpConnection> stream_;
    std::unique_ptr<nghttp2_session, Free> session_;
    std::map<std::int32_t, Body> bodies_;
  };

  explicit Http2Server(net::Loop& loop);
  Http2Server(net::Loop& loop, Options options);

  /// Called with each request once it is whole.
  std::function<void(Peer& peer, std::int32_t id, Peer::Request& request)> on_request;
  /// Called when the client resets a stream.
  std::function<void(Peer& peer, std::int32_t id, Peer::Request& request)> on_reset;

  [[nodiscard]] asio::ip::tcp::endpoint endpoint() const { return {address_, port_}; }
  [[nodiscard]] std::string address() const { return net::text_of(endpoint()); }
  /// The process dies: every connection is reset, and nobody listens.
  void die();
  /// A new process at the same address.
  void rise();

  std::vector<std::unique_ptr<Peer>> peers;
  Options options;

 private:
  void accept();
  net::Loop& loop_;
  asio::ip::address address_;
  std::uint16_t port_ = 0;
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace amberknot::lab
