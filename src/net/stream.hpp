// One TCP connection: bytes in, whole messages out. What is queued stays ours until the kernel takes it, so
// that a set-up can be taken back from a connecting or blocked socket.
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

enum class CloseReason { kEnded, kReset, kRefused, kNeverUp, kOverrun };
const char* name(CloseReason why);

class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_open(TcpConnection& /*stream*/) {}
    /// Returns how many bytes it took; the rest comes again with what follows. A message that does not fit
    /// is the owner's to refuse.
    virtual std::size_t on_bytes(TcpConnection& stream, std::span<char> bytes) = 0;
    /// The connection is not up in its time, and may still come up: on_open or on_closed follows.
    virtual void on_connect_timeout(TcpConnection& /*stream*/) {}
    /// What was blocked has left, and nothing is queued. Not called from inside send().
    virtual void on_drained(TcpConnection& /*stream*/) {}
    /// The connection is gone by the other side's doing. Not called after close().
    virtual void on_closed(TcpConnection& stream, CloseReason why) = 0;
  };
  /// Marks what is queued, to find it again.
  using Tag = std::uint64_t;

  TcpConnection(Loop& loop, Owner& owner) : loop_(loop), owner_(&owner), socket_(loop.io) {}
  ~TcpConnection();

  /// For an accepted connection.
  void adopt(asio::ip::tcp::socket socket);
  /// `late`: how long after the limit it may still come up; the owner hears of the limit by on_late then.
  void connect(const asio::ip::tcp::endpoint& to, Duration limit, Duration late = Duration::zero());
  void send(std::string head, std::string body = {}, Tag tag = 0);
  /// True: the tagged message was queued with no byte written, and is queued no more.
  bool take_back(Tag tag);
  /// Whether the tagged message is queued with no byte written.
  [[nodiscard]] bool is_queued(Tag tag) const;
  /// Whether any of the tagged message is still to be written.
  [[nodiscard]] bool is_unsent(Tag tag) const;
  /// Whether bytes of the other side wait to be read: asked before a close that would drop them.
  [[nodiscard]] bool has_unread() const;
  /// Whether the other side has closed and we have not read that yet.
  [[nodiscard]] bool has_ended();
  struct Message {
    std::string head;
    std::string body;
    Tag tag = 0;
    [[nodiscard]] std::size_t size() const { return head.size() + body.size(); }
  };
  /// All of which no byte was written.
  std::vector<Message> take_unsent();
  void close();
  /// TCP half-close: what is queued is dropped, nothing more is sent and the other side hears the end. What
  /// it says until it closes too still comes to the owner.
  void close_output();
  /// Closes as if the other side had: the owner is told, and may take back what never left.
  void fail(CloseReason why);
  /// Closes with a reset, whatever is under way.
  void reset();
  /// Closes once what is queued has left, and drops what still comes for a while: a close with unread input
  /// is a reset, which may overtake the last message.
  void finish();
  /// Called from on_bytes: the rest of the buffer comes again by itself, after the others had their turn.
  void yield() { yielded_ = true; }

  [[nodiscard]] bool is_lingering() const { return lingering_; }
  [[nodiscard]] std::size_t queued() const { return queued_; }
  [[nodiscard]] bool is_open() const { return open_ && !output_closed_; }
  [[nodiscard]] bool is_closed() const { return owner_ == nullptr; }
  [[nodiscard]] const asio::ip::tcp::endpoint& remote() const { return remote_; }
  [[nodiscard]] Instant used_at() const { return used_at_; }

 private:
  void begin();
  void read();
  void read_now();
  void deliver();
  void drop_input();
  void flush();
  void stop_writing(CloseReason why);
  void count_out(std::size_t bytes);
  void shut();
  void drop_queue();
  static CloseReason reason(const asio::error_code& error);

  Loop& loop_;
  Owner* owner_;
  asio::ip::tcp::socket socket_;
  asio::ip::tcp::endpoint remote_;
  bool open_ = false;
  bool waiting_to_write_ = false;
  bool output_closed_ = false;  ///< a write failed, or close_output()
  bool reading_ = false;
  bool yielded_ = false;
  bool lingering_ = false;
  std::size_t dropped_ = 0;
  std::vector<char> in_;
  std::size_t filled_ = 0;
  std::deque<Message> out_;
  std::size_t queued_ = 0;
  std::size_t begun_ = 0;  ///< bytes of the first message that are written
  core::TimerWheel::Handle limit_ = 0;
  Instant used_at_{};
};

/// host:port, numbers only: there is no DNS.
std::optional<asio::ip::tcp::endpoint> read_endpoint(std::string_view text);
std::string text_of(const asio::ip::tcp::endpoint& endpoint);

}  // namespace amberknot::net
