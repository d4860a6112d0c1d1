// One HTTP/2 connection to a session server (RFC 9113), cleartext with prior knowledge, on nghttp2. It knows
// requests and answers, and nothing of sessions.
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

struct Request {
  std::string method;
  std::string path;
  std::vector<std::pair<std::string, std::string>> headers = {};  ///< names in small letters
  std::string body = {};
  bool streamed = false;  ///< the answer's body does not end, and is handed over as it comes
};

struct Response {
  int status = 0;
  std::string content_type;
  std::string retry_after;
  std::string body;
};

/// How a request ended without a whole answer, and what that proves.
enum class Failure : std::uint8_t {
  kNeverRan,  ///< refused, above the last stream of a GOAWAY, or never written: it may go elsewhere
  kCalm,      ///< ENHANCE_YOUR_CALM: as too many requests, and proves nothing
  kReset,     ///< any other reset, or the connection was lost: it may have run
  kTooLarge,  ///< its head or body is larger than is believed: it may have run
};

class Connection : public net::TcpConnection::Owner, public std::enable_shared_from_this<Connection> {
 public:
  /// A request by the owner's own number; never used twice on one connection.
  using Key = std::uint64_t;

  /// Nothing of it is called from inside a method of the connection, but for close() none at all.
  class Handler {
   public:
    virtual ~Handler() = default;
    /// The other side's SETTINGS are there: requests may go.
    virtual void on_up(Connection& connection) = 0;
    virtual void on_response(Connection& connection, Key key, Response& response) = 0;
    virtual void on_failure(Connection& connection, Key key, Failure failure) = 0;
    /// Of a streamed request: its status (first, with an empty chunk) and what comes of its body. False: it
    /// is ended.
    virtual bool on_chunk(Connection& connection, Key key, int status, std::string_view chunk) = 0;
    /// There may be room for more: a request ended, a bound was raised, what was blocked has left, it answers
    /// again.
    virtual void on_room(Connection& connection) = 0;
    /// A PING is unanswered, or answered again.
    virtual void on_health(Connection& connection, bool healthy) = 0;
    /// GOAWAY: nothing new goes here, and what is below its last stream may finish.
    virtual void on_going_away(Connection& connection) = 0;
    /// All that was out has been told as failed before.
    virtual void on_down(Connection& connection, net::CloseReason why) = 0;
  };

  struct Limits {
    std::size_t streams = 64;             ///< requests out at a time, whatever the server allows
    std::size_t head = 8 * 1024;          ///< bytes of an answer's head, names included
    std::size_t body = net::kMaxMessage;  ///< of its body
    Duration connect = std::chrono::milliseconds{500};  ///< for the connection and for its SETTINGS
    Duration ping_every = std::chrono::seconds{1};      ///< while it is open
    Duration ping_patience =
        std::chrono::seconds{2};  ///< then it is in doubt, and closed after as much again
  };

  Connection(net::Loop& loop, Handler& handler, Limits limits);
  ~Connection() override;

  void connect(const asio::ip::tcp::endpoint& to);
  /// Whether a request would be written at once. Requests that have to wait are the owner's to keep: what was
  /// handed over here cannot be taken back.
  [[nodiscard]] bool has_room() const;
  /// False: there is no room, and nothing was done.
  bool request(Key key, const Request& request);
  /// RST_STREAM with CANCEL; nothing more is told of it. An answer that crosses it is dropped.
  void cancel(Key key);
  /// Whether the request's first byte has left.
  [[nodiscard]] bool has_left(Key key) const;
  /// Closed without a word to the handler; what is out is forgotten.
  void close();
  /// Closed as if the other side had: the handler is told all.
  void fail(net::CloseReason why) { stream_->fail(why); }

  [[nodiscard]] bool is_up() const { return up_ && !stream_->is_closed(); }
  [[nodiscard]] bool is_closed() const { return stream_->is_closed(); }
  [[nodiscard]] bool is_going_away() const { return going_away_; }
  [[nodiscard]] bool is_healthy() const { return healthy_; }
  [[nodiscard]] std::size_t out() const { return by_key_.size(); }
  [[nodiscard]] bool is_blocked() const { return stream_->queued() > 0; }

 private:
  struct Exchange {
    Key key = 0;
    std::int32_t id = 0;
    Response response;
    std::string request_body;
    std::size_t sent = 0;  ///< of the request's body
    std::size_t head = 0;
    bool streamed = false;
    bool whole = false;  ///< its last frame has come
    bool too_large = false;
    bool cancelled = false;  ///< by the owner: nothing is told
  };
  struct Free {
    void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
  };
  /// What happened inside nghttp2, told to the handler once it has returned.
  struct News {
    enum class What { kUp, kResponse, kFailure, kChunk, kRoom, kHealth, kGoingAway, kDown } what;
    Key key = 0;
    Response response = {};
    Failure failure = Failure::kReset;
    int status = 0;
    std::string chunk = {};
    bool healthy = true;
    net::CloseReason why = net::CloseReason::kEnded;
  };

  void on_open(net::TcpConnection& stream) override;
  std::size_t on_bytes(net::TcpConnection& stream, std::span<char> bytes) override;
  void on_drained(net::TcpConnection& stream) override;
  void on_closed(net::TcpConnection& stream, net::CloseReason why) override;

  void pump(net::TcpConnection::Tag tag = 0);
  void tell();
  void ping();
  void watch();
  Exchange* find(std::int32_t id);
  static int frame_received(nghttp2_session*, const nghttp2_frame* frame, void* self);
  static int header_received(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                             std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
                             std::uint8_t, void* self);
  static int data_received(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data,
                           std::size_t size, void* self);
  static int stream_closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* self);
  static ssize_t read_body(nghttp2_session*, std::int32_t id, std::uint8_t* to, std::size_t size,
                           std::uint32_t* flags, nghttp2_data_source* source, void* self);

  net::Loop& loop_;
  Handler& handler_;
  Limits limits_;
  std::shared_ptr<net::TcpConnection> stream_;
  std::unique_ptr<nghttp2_session, Free> session_;
  std::unordered_map<std::int32_t, std::unique_ptr<Exchange>> by_id_;
  std::unordered_map<Key, Exchange*> by_key_;
  std::vector<News> news_;
  bool telling_ = false;
  bool up_ = false;
  bool going_away_ = false;
  bool healthy_ = true;
  bool ping_out_ = false;
  Instant ping_sent_{};
  Instant connected_{};
  core::TimerWheel::Handle timer_ = 0;
};

}  // namespace amberknot::http2
