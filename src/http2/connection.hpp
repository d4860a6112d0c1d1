// One client connection over HTTP/2 (RFC 9113) to a session server, in cleartext with prior knowledge, built
// on nghttp2. Sends requests and returns responses; has no knowledge of sessions.
#pragma once

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/stream.hpp"

namespace amberknot::http2 {

/// A request without its :scheme and :authority, which the connection adds.
struct Request {
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers = {};  ///< names in lower case
  std::string body = {};
  bool streamed = false;  ///< the response body is endless and is passed on chunk by chunk
};

/// The parts of a response that the session API uses. A header field that is missing is an empty string.
struct Response {
  int status = 0;
  std::string content_type;
  std::string retry_after;
  std::string body;
};

/// How a request ended without a complete response, and whether the server may have processed it.
enum class Failure : std::uint8_t {
  kNotProcessed,     ///< refused, above the last stream of a GOAWAY, or never written: safe to send elsewhere
  kEnhanceYourCalm,  ///< reset with ENHANCE_YOUR_CALM for too many requests; it may have been processed
  kReset,            ///< any other stream reset, or the connection was lost; it may have been processed
  kTooLarge,         ///< the response's head or body exceeds its limit; the request may have been processed
};

/// Owned by a shared_ptr. All methods are called on the thread of the event loop.
class Connection : public net::TcpConnection::EventHandler, public std::enable_shared_from_this<Connection> {
 public:
  /// Identifies a request. The owner chooses it and never uses it twice on one connection.
  using RequestKey = std::uint64_t;

  /// Receives the events of a connection. No method is called after close(). Of the connection's methods,
  /// only fail() may call the handler before it returns.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The server's SETTINGS have arrived; requests can be sent.
    virtual void on_up(Connection& connection) = 0;
    /// A response has arrived completely. The request has ended.
    virtual void on_response(Connection& connection, RequestKey key, Response& response) = 0;
    /// The request ended without a complete response.
    virtual void on_failure(Connection& connection, RequestKey key, Failure failure) = 0;
    /// Reports the status of a streamed request, with an empty chunk, and then each chunk of its body.
    /// Returns false to cancel the request.
    virtual bool on_chunk(Connection& connection, RequestKey key, int status, std::string_view chunk) = 0;
    /// Another request can be sent: a request ended, the server raised its stream limit, blocked output was
    /// written, or the server answers PINGs again.
    virtual void on_capacity(Connection& connection) = 0;
    /// A PING was not answered within the ping timeout, or a late answer arrived.
    virtual void on_health_changed(Connection& connection, bool healthy) = 0;
    /// The server sent GOAWAY: no new request is accepted, and those up to its last stream may finish.
    virtual void on_going_away(Connection& connection) = 0;
    /// The connection is lost. on_failure() has been called for every outstanding request before.
    virtual void on_down(Connection& connection, net::CloseReason reason) = 0;
  };

  struct Limits {
    std::size_t max_streams = 64;          ///< outstanding requests, even if the server allows more
    std::size_t max_head_size = 8 * 1024;  ///< bytes of a response's header fields, with their names
    std::size_t max_body_size = net::kMaxMessageBytes;  ///< bytes of a response's body
    /// Until the connection is established, and until the server's SETTINGS have arrived.
    Duration connect_timeout = std::chrono::milliseconds{500};
    /// Between the PINGs of an open connection.
    Duration ping_interval = std::chrono::seconds{1};
    /// Until an unanswered PING makes the connection unhealthy; after twice this it is closed.
    Duration ping_timeout = std::chrono::seconds{2};
  };

  Connection(net::Loop& loop, Handler& handler, Limits limits);
  ~Connection() override;

  /// Starts connecting. on_up() or on_down() follows.
  void connect(const asio::ip::tcp::endpoint& remote);
  /// Whether a request would be written at once. The owner has to keep requests that wait, because a request
  /// handed to the connection cannot be withdrawn from its output.
  [[nodiscard]] bool has_capacity() const;
  /// Sends a request. Returns false, and sends nothing, if there is no capacity, the key is in use or nghttp2
  /// accepts no further request.
  bool request(RequestKey key, const Request& request);
  /// Resets the request's stream with CANCEL. The handler gets no more events for it; a response that crosses
  /// the reset is dropped.
  void cancel(RequestKey key);
  /// Whether the first byte of the request has been written.
  [[nodiscard]] bool has_started_writing(RequestKey key) const;
  /// Closes without calling the handler, and drops all outstanding requests.
  void close();
  /// Closes as if the server had: the handler gets a failure for each outstanding request, then on_down().
  void fail(net::CloseReason reason) { tcp_->fail(reason); }

  [[nodiscard]] bool is_up() const { return up_ && !tcp_->is_closed(); }
  [[nodiscard]] bool is_closed() const { return tcp_->is_closed(); }
  [[nodiscard]] bool is_going_away() const { return going_away_; }
  [[nodiscard]] bool is_healthy() const { return healthy_; }
  /// When bytes were last received; zero before the first ones. PINGs are sent all the time, so a live server
  /// is never silent for long.
  [[nodiscard]] Instant last_received_at() const { return last_received_at_; }
  [[nodiscard]] std::size_t outstanding_requests() const { return exchanges_by_key_.size(); }
  /// Whether output waits to be written to the socket.
  [[nodiscard]] bool is_blocked() const { return tcp_->queued_bytes() > 0; }

 private:
  /// A request and its response, on one HTTP/2 stream.
  struct Exchange {
    RequestKey key = 0;
    std::int32_t stream_id = 0;
    Response response;
    std::string request_body;
    std::size_t body_bytes_sent = 0;
    std::size_t head_size = 0;  ///< of the response, in bytes
    bool streamed = false;
    bool complete = false;  ///< the last frame of the response has arrived
    bool too_large = false;
    bool cancelled = false;  ///< by the owner: the handler gets no more events for it
  };
  struct SessionDeleter {
    void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
  };
  /// An event that occurred inside an nghttp2 call. The handler gets it after that call has returned.
  struct PendingEvent {
    enum class Kind { kUp, kResponse, kFailure, kChunk, kCapacity, kHealthChanged, kGoingAway, kDown } kind;
    RequestKey key = 0;
    Response response = {};
    Failure failure = Failure::kReset;
    int status = 0;
    std::string chunk = {};
    bool healthy = true;
    net::CloseReason reason = net::CloseReason::kClosedByPeer;
  };

  void on_open(net::TcpConnection& tcp) override;
  std::size_t on_bytes(net::TcpConnection& tcp, std::span<char> bytes) override;
  void on_drained(net::TcpConnection& tcp) override;
  void on_closed(net::TcpConnection& tcp, net::CloseReason reason) override;

  void flush_output(net::TcpConnection::Tag tag = 0);
  void dispatch_events();
  void check_ping();
  void start_timer();
  Exchange* find_exchange(std::int32_t stream_id);
  static int on_frame(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int on_header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                       std::size_t name_size, const std::uint8_t* value, std::size_t value_size, std::uint8_t,
                       void* self);
  static int on_data_chunk(nghttp2_session*, std::uint8_t, std::int32_t stream_id, const std::uint8_t* data,
                           std::size_t size, void* self);
  static int on_stream_closed(nghttp2_session*, std::int32_t stream_id, std::uint32_t code, void* self);
  static ssize_t read_request_body(nghttp2_session*, std::int32_t stream_id, std::uint8_t* buffer,
                                   std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
                                   void* self);

  net::Loop& loop_;
  Handler& handler_;
  Limits limits_;
  std::shared_ptr<net::TcpConnection> tcp_;
  std::unique_ptr<nghttp2_session, SessionDeleter> session_;
  std::unordered_map<std::int32_t, std::unique_ptr<Exchange>> exchanges_by_stream_;
  std::unordered_map<RequestKey, Exchange*> exchanges_by_key_;
  std::vector<PendingEvent> pending_events_;
  bool dispatching_ = false;
  bool up_ = false;
  bool going_away_ = false;
  bool healthy_ = true;
  bool ping_outstanding_ = false;
  Instant ping_sent_at_{};
  Instant last_received_at_{};
  Instant connect_started_at_{};
  core::TimerWheel::Handle timer_ = 0;
};

}  // namespace amberknot::http2
