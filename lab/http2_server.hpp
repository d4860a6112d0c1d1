// A scripted HTTP/2 server on loopback, the test peer of src/http2. The test decides on every frame; by
// itself the server does only what RFC 9113 requires of every server.
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

/// Serves in the event loop of the test.
class Http2Server {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;
  struct Options {
    std::uint32_t max_streams = 100;
    std::uint32_t initial_window_size = 65'535;  ///< bytes, for each stream
    bool answer_pings = true;
  };

  /// The server's side of one accepted connection.
  class Peer : public net::TcpConnection::EventHandler {
   public:
    struct Request {
      std::string method, path, body;
      std::map<std::string, std::string> headers;
      bool complete = false;   ///< its last frame has arrived
      bool was_reset = false;  ///< by the client
      std::uint32_t reset_code = 0;
    };

    Peer(Http2Server& server, asio::ip::tcp::socket socket);
    ~Peer() override { tcp_->close(); }

    /// Sends a response. If `end_stream` is false the body stays open and send_data() continues it.
    void respond(std::int32_t stream_id, int status, const Headers& headers, const std::string& body,
                 bool end_stream = true);
    /// Sends a chunk of the body that respond() has opened.
    void send_data(std::int32_t stream_id, const std::string& chunk, bool end_stream = false);
    /// Resets a stream with RST_STREAM.
    void reset_stream(std::int32_t stream_id, std::uint32_t code);
    /// Tells the client that streams above `last_stream_id` were not processed.
    void send_goaway(std::int32_t last_stream_id, std::uint32_t code = NGHTTP2_NO_ERROR);
    /// Changes the limit on concurrent streams by a SETTINGS frame.
    void set_max_streams(std::uint32_t max_streams);
    /// Writes bytes to the socket without nghttp2.
    void send_raw(const std::string& bytes) { tcp_->send(bytes); }
    /// Resets the TCP connection.
    void reset_connection() {
      tcp_->reset();
      closed = true;
    }

    std::map<std::int32_t, Request> requests;  ///< by stream identifier
    bool closed = false;

   private:
    friend class Http2Server;
    struct Body {
      std::string bytes;
      std::size_t bytes_sent = 0;
      bool end_stream = false;
      bool deferred = false;  ///< nghttp2 waits for nghttp2_session_resume_data()
    };
    struct SessionDeleter {
      void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
    };
    void on_open(net::TcpConnection& tcp) override;
    std::size_t on_bytes(net::TcpConnection& tcp, std::span<char> bytes) override;
    void on_closed(net::TcpConnection& tcp, net::CloseReason reason) override;
    void flush_output();
    static ssize_t read_response_body(nghttp2_session*, std::int32_t stream_id, std::uint8_t* buffer,
                                      std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
                                      void* self);

    Http2Server& server_;
    std::shared_ptr<net::TcpConnection> tcp_;
    std::unique_ptr<nghttp2_session, SessionDeleter> session_;
    std::map<std::int32_t, Body> bodies_;  // of responses, by stream identifier
  };

  explicit Http2Server(net::Loop& loop);
  Http2Server(net::Loop& loop, Options options);

  /// Called with each request once it is complete.
  std::function<void(Peer& peer, std::int32_t stream_id, Peer::Request& request)> on_request;
  /// Called when the client resets a stream.
  std::function<void(Peer& peer, std::int32_t stream_id, Peer::Request& request)> on_reset;

  [[nodiscard]] asio::ip::tcp::endpoint endpoint() const { return {address_, port_}; }
  [[nodiscard]] std::string address() const { return net::to_text(endpoint()); }
  /// Simulates a crash of the process: stops listening and resets every connection.
  void crash();
  /// Listens again at the same address, as a new process would.
  void restart();

  bool is_hung = false;                      ///< sends nothing any more, not on new connections either
  std::vector<std::unique_ptr<Peer>> peers;  ///< in the order of acceptance; closed ones stay
  Options options;

 private:
  void accept();
  net::Loop& loop_;
  asio::ip::address address_;
  std::uint16_t port_ = 0;
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace amberknot::lab
