// A TCP connection that delivers input as bytes and sends output as whole messages. Output stays queued in
// this process until the kernel accepts it, so that a set-up can be withdrawn from a connecting or blocked
// socket.
#pragma once

#include <asio.hpp>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/bounds.hpp"
#include "net/loop.hpp"

namespace amberknot::net {

/// Why a connection was closed: `kClosedByPeer`: by the peer; `kReset`: reset or another socket error;
/// `kConnectionRefused`: connect refused; `kConnectFailed`: not open in time, or the connect failed
/// otherwise; `kLimitExceeded`: too much output queued, or a message too long.
enum class CloseReason { kClosedByPeer, kReset, kConnectionRefused, kConnectFailed, kLimitExceeded };
/// Returns the text for log lines.
const char* close_reason_name(CloseReason reason);

/// Always held by a shared_ptr; used on the thread of the event loop only.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  /// Receives the events of a connection. It must outlive the connection, or close it first.
  class EventHandler {
   public:
    virtual ~EventHandler() = default;
    /// The connection is open.
    virtual void on_open(TcpConnection& /*stream*/) {}
    /// Returns the number of bytes consumed; the rest is passed again together with later input. The handler
    /// must reject a message that does not fit into the buffer.
    virtual std::size_t on_bytes(TcpConnection& stream, std::span<char> bytes) = 0;
    /// The connect timeout has expired, but the connect may still complete: on_open or on_closed follows.
    virtual void on_connect_timeout(TcpConnection& /*stream*/) {}
    /// The socket was blocked, and all queued output has been written since. Not called from inside send().
    virtual void on_drained(TcpConnection& /*stream*/) {}
    /// The connection was closed by the peer or by an error. Not called after close().
    virtual void on_closed(TcpConnection& stream, CloseReason reason) = 0;
  };
  /// Identifies a queued message; 0 for messages that need no tag.
  using Tag = std::uint64_t;

  TcpConnection(Loop& loop, EventHandler& handler) : loop_(loop), handler_(&handler), socket_(loop.io) {}
  ~TcpConnection();

  /// Takes over an accepted socket.
  void start_accepted(asio::ip::tcp::socket socket);
  /// Connects to an address. If the connect takes longer than `timeout`, it fails, unless `late_window` is
  /// positive: then the handler gets on_connect_timeout, and the connect may complete for that much longer.
  void connect(const asio::ip::tcp::endpoint& to, Duration timeout, Duration late_window = Duration::zero());
  /// Queues a message and writes as much output as the socket accepts.
  void send(std::string head, std::string body = {}, Tag tag = 0);
  /// Removes the tagged message from the queue if no byte of it was written. Returns whether it did.
  bool withdraw(Tag tag);
  /// Whether the tagged message is queued and no byte of it was written.
  [[nodiscard]] bool is_queued(Tag tag) const;
  /// Whether any byte of the tagged message is still queued.
  [[nodiscard]] bool is_unsent(Tag tag) const;
  /// Whether received bytes have not been read yet. To be checked before close(), which discards them.
  [[nodiscard]] bool has_unread() const;
  /// Whether the peer has closed the connection and this has not been read yet.
  [[nodiscard]] bool has_ended();
  /// A message in the output queue.
  struct Message {
    std::string head;
    std::string body;
    Tag tag = 0;
    [[nodiscard]] std::size_t size() const { return head.size() + body.size(); }
  };
  /// Removes and returns all queued messages of which no byte was written.
  std::vector<Message> take_unsent();
  /// Closes the socket and discards queued output. The handler is not notified.
  void close();
  /// TCP half-close: discards queued output, sends nothing more and signals the end to the peer. Input is
  /// still passed to the handler until the peer closes the connection too.
  void close_output();
  /// Closes as if the peer had done so: the handler gets on_closed, and may take unsent messages there.
  void fail(CloseReason reason);
  /// Closes with a TCP reset; queued output and input in transit are lost.
  void reset();
  /// Closes after all queued output is written, and discards input that still arrives for a while: closing
  /// with unread input sends a reset, which may overtake the last message.
  void close_after_flush();
  /// Called from on_bytes: the unconsumed bytes are passed again after other connections had their turn.
  void yield() { has_yielded_ = true; }

  /// Whether close_after_flush() was called and the connection is not closed yet.
  [[nodiscard]] bool is_lingering() const { return is_lingering_; }
  /// Bytes of queued output.
  [[nodiscard]] std::size_t queued_bytes() const { return queued_bytes_; }
  /// Whether output can be sent now.
  [[nodiscard]] bool is_open() const { return is_open_ && !is_output_closed_; }
  /// Whether the handler gets no more events: after close(), fail() and close_after_flush().
  [[nodiscard]] bool is_closed() const { return handler_ == nullptr; }
  [[nodiscard]] const asio::ip::tcp::endpoint& remote() const { return remote_; }
  /// When bytes were last read or written.
  [[nodiscard]] Instant used_at() const { return used_at_; }

 private:
  void start();
  void read();
  void read_now();
  void deliver();
  void discard_input();
  void flush();
  void stop_writing(CloseReason reason);
  void subtract_queued(std::size_t bytes);
  void close_socket();
  void discard_output();
  static CloseReason close_reason_of(const asio::error_code& error);

  Loop& loop_;
  EventHandler* handler_;
  asio::ip::tcp::socket socket_;
  asio::ip::tcp::endpoint remote_;
  bool is_open_ = false;
  bool is_waiting_to_write_ = false;
  bool is_output_closed_ = false;  ///< after a failed write or close_output()
  bool is_reading_ = false;
  bool has_yielded_ = false;
  bool is_lingering_ = false;
  std::size_t dropped_bytes_ = 0;
  std::vector<char> input_;
  std::size_t input_size_ = 0;
  std::deque<Message> output_;
  std::size_t queued_bytes_ = 0;
  std::size_t first_output_written_ = 0;  ///< bytes of the first queued message that are written
  core::TimerWheel::Handle timer_ = 0;    ///< for the connect, a failed write or lingering
  Instant used_at_{};
};

/// Parses host:port, where the host is an IP address: names are not resolved. Returns nullopt for anything
/// else.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);
/// Returns an endpoint as host:port.
std::string to_text(const asio::ip::tcp::endpoint& endpoint);

}  // namespace amberknot::net
