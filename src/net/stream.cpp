#include "net/stream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

namespace amberknot::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInitialBufferSize = 4096;
constexpr std::size_t kMaxBufferSize = kMaxMessageBytes + 1024;
// Bytes kept free after the input, for parsers that read ahead (the UTF-8 check of RapidJSON).
constexpr std::size_t kLookaheadPadding = 4;
// How long input is still read after a failed write.
constexpr Duration kReadAfterWriteErrorTime = milliseconds{20};
// A finished connection is closed after this time if the peer does not close it.
constexpr Duration kLingerTimeout = milliseconds{1000};

}  // namespace

const char* close_reason_name(CloseReason reason) {
  static constexpr const char* kNames[] = {"ended", "reset", "refused", "connect failed", "overrun"};
  return kNames[static_cast<int>(reason)];
}

void TcpConnection::start_accepted(asio::ip::tcp::socket socket) {
  socket_ = std::move(socket);
  asio::error_code ignored;
  remote_ = socket_.remote_endpoint(ignored);
  start();
}

void TcpConnection::connect(const asio::ip::tcp::endpoint& to, Duration timeout, Duration late_window) {
  remote_ = to;
  timer_ = loop_.run_after(timeout, [self = shared_from_this(), late_window] {
    self->timer_ = 0;
    if (late_window <= Duration::zero()) {
      self->fail(CloseReason::kConnectFailed);
      return;
    }
    self->timer_ = self->loop_.run_after(late_window, [self] {
      self->timer_ = 0;
      self->fail(CloseReason::kConnectFailed);
    });
    self->handler_->on_connect_timeout(*self);
  });
  socket_.async_connect(to, [self = shared_from_this()](const asio::error_code& error) {
    if (self->is_closed()) return;
    self->loop_.timers.cancel(std::exchange(self->timer_, 0));
    if (error) {
      self->fail(error == asio::error::connection_refused ? CloseReason::kConnectionRefused
                 : error == asio::error::connection_reset ? CloseReason::kReset
                                                          : CloseReason::kConnectFailed);
      return;
    }
    self->start();
  });
}

void TcpConnection::start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  is_open_ = true;
  used_at_ = Loop::now();
  input_.resize(kInitialBufferSize + kLookaheadPadding);
  const auto self = shared_from_this();
  handler_->on_open(*this);
  if (is_closed()) return;
  flush();
  if (!is_closed()) read();
}

// Waits until the socket is readable and reads in a separate step. Received bytes are then either in the
// kernel, where has_unread() sees them, or with the handler. An asynchronous read would take them out of the
// kernel before it delivers them, and a close in between would lose them.
void TcpConnection::read() {
  is_reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& failed) {
                       self->is_reading_ = false;
                       if (self->is_closed()) {
                         self->discard_input();
                         return;
                       }
                       if (failed) {
                         self->fail(close_reason_of(failed));
                       } else {
                         self->read_now();
                       }
                     });
}

void TcpConnection::read_now() {
  asio::error_code error;
  const std::size_t bytes_read = socket_.read_some(
      asio::buffer(input_.data() + input_size_, input_.size() - kLookaheadPadding - input_size_), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    read();
    return;
  }
  if (error) {
    fail(close_reason_of(error));
    return;
  }
  used_at_ = Loop::now();
  input_size_ += bytes_read;
  deliver();
}

void TcpConnection::deliver() {
  has_yielded_ = false;
  const std::size_t taken = handler_->on_bytes(*this, std::span(input_.data(), input_size_));
  if (is_closed()) {
    discard_input();
    return;
  }
  std::move(input_.begin() + static_cast<std::ptrdiff_t>(taken),
            input_.begin() + static_cast<std::ptrdiff_t>(input_size_), input_.begin());
  input_size_ -= taken;
  if (has_yielded_) {
    asio::post(loop_.io, [self = shared_from_this()] {
      if (!self->is_closed()) self->deliver();
    });
    return;
  }
  if (input_size_ + kLookaheadPadding == input_.size()) {
    // The buffer grows only for long messages, so that most connections need little memory.
    if (input_.size() >= kMaxBufferSize + kLookaheadPadding) {
      fail(CloseReason::kLimitExceeded);
      return;
    }
    input_.resize(std::min(2 * input_.size(), kMaxBufferSize + kLookaheadPadding));
  }
  read();
}

// After close_after_flush(): reads and discards input until the peer closes the connection too.
void TcpConnection::discard_input() {
  constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
  if (!is_lingering_ || is_reading_) return;
  is_reading_ = true;
  socket_.async_read_some(asio::buffer(input_),
                          [self = shared_from_this()](const asio::error_code& error, std::size_t bytes_read) {
                            self->is_reading_ = false;
                            if (!self->is_lingering_) return;
                            self->dropped_bytes_ += bytes_read;
                            if (error || self->dropped_bytes_ > kMaxDiscardedBytes) {
                              self->close();
                            } else {
                              self->discard_input();
                            }
                          });
}

void TcpConnection::subtract_queued(std::size_t bytes) {
  queued_bytes_ -= bytes;
  loop_.output_totals.bytes -= bytes;
}

void TcpConnection::send(std::string head, std::string body, Tag tag) {
  if (is_closed() || is_output_closed_) return;
  queued_bytes_ += head.size() + body.size();
  loop_.output_totals.bytes += head.size() + body.size();
  output_.push_back({std::move(head), std::move(body), tag});
  flush();
  // The output for a peer that does not read must not grow without limit, nor must the output of all
  // connections together.
  auto& all = loop_.output_totals;
  TcpConnection* largest = queued_bytes_ > all.max_bytes_per_connection ? this : nullptr;
  if (largest == nullptr && all.bytes > all.max_bytes) {
    for (auto* connection : all.blocked_connections) {
      if (largest == nullptr || connection->queued_bytes_ > largest->queued_bytes_) largest = connection;
    }
  }
  if (largest == nullptr || largest->is_closed()) return;
  asio::post(loop_.io, [self = largest->shared_from_this()] { self->fail(CloseReason::kLimitExceeded); });
}

bool TcpConnection::withdraw(Tag tag) {
  for (auto at = output_.begin(); at != output_.end(); ++at) {
    if (at->tag != tag || (at == output_.begin() && first_output_written_ > 0)) continue;
    subtract_queued(at->size());
    output_.erase(at);
    return true;
  }
  return false;
}

bool TcpConnection::is_queued(Tag tag) const {
  for (auto at = output_.begin(); at != output_.end(); ++at) {
    if (at->tag == tag) return at != output_.begin() || first_output_written_ == 0;
  }
  return false;
}

bool TcpConnection::is_unsent(Tag tag) const {
  return std::any_of(output_.begin(), output_.end(),
                     [tag](const Message& message) { return message.tag == tag; });
}

bool TcpConnection::has_unread() const {
  asio::error_code none;
  return !is_closed() && socket_.is_open() && socket_.available(none) > 0 && !none;
}

bool TcpConnection::has_ended() {
  if (!is_open_) return false;
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::vector<TcpConnection::Message> TcpConnection::take_unsent() {
  std::vector<Message> unsent;
  const std::size_t first = first_output_written_ > 0 ? 1 : 0;
  while (output_.size() > first) {
    subtract_queued(output_[first].size());
    unsent.push_back(std::move(output_[first]));
    output_.erase(output_.begin() + static_cast<std::ptrdiff_t>(first));
  }
  return unsent;
}

// Writes as many heads and bodies in one call as the limit on buffers allows. The write is tried at once
// instead of being left to Asio, which would hold the buffers while the socket is blocked, so that they could
// not be withdrawn.
void TcpConnection::flush() {
  while (is_open_ && !is_waiting_to_write_ && !is_output_closed_ && !output_.empty()) {
    constexpr std::size_t kMaxWriteBuffers = 32;
    std::array<asio::const_buffer, kMaxWriteBuffers> buffers;
    std::size_t count = 0;
    std::size_t skip = first_output_written_;
    const auto add = [&](const std::string& text) {
      const std::size_t skipped = std::min(skip, text.size());
      skip -= skipped;
      if (text.size() > skipped && count < kMaxWriteBuffers) {
        buffers[count++] = asio::buffer(text.data() + skipped, text.size() - skipped);
      }
    };
    for (const auto& message : output_) {
      if (count + 2 > kMaxWriteBuffers) break;
      add(message.head);
      add(message.body);
    }
    asio::error_code error;
    std::size_t written =
        socket_.write_some(std::span<const asio::const_buffer>(buffers.data(), count), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      is_waiting_to_write_ = true;
      loop_.output_totals.blocked_connections.insert(this);
      socket_.async_wait(asio::ip::tcp::socket::wait_write,
                         [self = shared_from_this()](const asio::error_code& failed) {
                           self->is_waiting_to_write_ = false;
                           self->loop_.output_totals.blocked_connections.erase(self.get());
                           if (failed) return;
                           self->flush();
                           if (self->is_closed() || self->is_output_closed_) return;
                           if (self->output_.empty()) self->handler_->on_drained(*self);
                         });
      return;
    }
    if (error) {
      stop_writing(close_reason_of(error));
      return;
    }
    used_at_ = Loop::now();
    subtract_queued(written);
    written += first_output_written_;
    while (!output_.empty() && written >= output_.front().size()) {
      written -= output_.front().size();
      output_.pop_front();
    }
    first_output_written_ = written;
  }
  if (is_lingering_ && output_.empty()) {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
}

// A failed write does not invalidate input that has arrived, so pending answers are read first. The handler
// learns of the close when the end of the input is read, or from this timer, which runs from the loop and
// never inside a call that the handler has made.
void TcpConnection::stop_writing(CloseReason reason) {
  if (is_lingering_) {
    close();
    return;
  }
  if (std::exchange(is_output_closed_, true)) return;
  timer_ = loop_.run_after(kReadAfterWriteErrorTime, [self = shared_from_this(), reason] {
    self->timer_ = 0;
    self->fail(reason);
  });
}

void TcpConnection::fail(CloseReason reason) {
  if (is_closed()) return;
  auto* handler = handler_;
  const auto self = shared_from_this();
  close_socket();
  // Unsent messages are still queued here, so that the handler can take them and send them on another
  // connection.
  handler->on_closed(*this, reason);
  discard_output();
}

void TcpConnection::close_output() {
  if (!is_open_) return;
  is_output_closed_ = true;
  discard_output();
  loop_.output_totals.blocked_connections.erase(this);
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void TcpConnection::close() {
  close_socket();
  discard_output();
}

void TcpConnection::close_socket() {
  handler_ = nullptr;
  is_open_ = false;
  is_lingering_ = false;
  loop_.output_totals.blocked_connections.erase(this);
  loop_.timers.cancel(std::exchange(timer_, 0));
  asio::error_code ignored;
  socket_.close(ignored);
}

void TcpConnection::discard_output() {
  subtract_queued(queued_bytes_);
  output_.clear();
  first_output_written_ = 0;
}

void TcpConnection::reset() {
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void TcpConnection::close_after_flush() {
  if (is_closed()) return;
  if (!is_open_ || is_output_closed_) {
    close();
    return;
  }
  handler_ = nullptr;
  is_lingering_ = true;
  timer_ = loop_.run_after(kLingerTimeout, [self = shared_from_this()] {
    self->timer_ = 0;
    self->close();
  });
  flush();
  // A pending read continues by discarding input. If there is none, discarding starts from the loop, after
  // the handler's call to close_after_flush() has returned.
  asio::post(loop_.io, [self = shared_from_this()] { self->discard_input(); });
}

TcpConnection::~TcpConnection() {
  loop_.output_totals.bytes -= queued_bytes_;
  loop_.output_totals.blocked_connections.erase(this);
}

CloseReason TcpConnection::close_reason_of(const asio::error_code& error) {
  return error == asio::error::eof ? CloseReason::kClosedByPeer : CloseReason::kReset;
}

std::optional<asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, bad] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (bad != std::errc{} || end != port_text.data() + port_text.size()) return std::nullopt;
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
  if (error) return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

std::string to_text(const asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace amberknot::net
