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

constexpr std::size_t kFirstBuffer = 4096;
constexpr std::size_t kMaxBuffer = kMaxMessage + 1024;
// Bytes behind what was read, for parsers that look ahead a little (RapidJSON's check of UTF-8).
constexpr std::size_t kPad = 4;
// After a failed write what has come is read on for so long.
constexpr Duration kReadOn = milliseconds{20};
// A finished connection whose other side does not close is closed after this.
constexpr Duration kLinger = milliseconds{1000};

}  // namespace

const char* name(CloseReason why) {
  static constexpr const char* kNames[] = {"ended", "reset", "refused", "never up", "overrun"};
  return kNames[static_cast<int>(why)];
}

void TcpConnection::adopt(asio::ip::tcp::socket socket) {
  socket_ = std::move(socket);
  asio::error_code ignored;
  remote_ = socket_.remote_endpoint(ignored);
  begin();
}

void TcpConnection::connect(const asio::ip::tcp::endpoint& to, Duration limit, Duration late) {
  remote_ = to;
  limit_ = loop_.after(limit, [self = shared_from_this(), late] {
    self->limit_ = 0;
    if (late <= Duration::zero()) {
      self->fail(CloseReason::kNeverUp);
      return;
    }
    self->limit_ = self->loop_.after(late, [self] {
      self->limit_ = 0;
      self->fail(CloseReason::kNeverUp);
    });
    self->owner_->on_connect_timeout(*self);
  });
  socket_.async_connect(to, [self = shared_from_this()](const asio::error_code& error) {
    if (self->is_closed()) return;
    self->loop_.wheel.cancel(std::exchange(self->limit_, 0));
    if (error) {
      self->fail(error == asio::error::connection_refused ? CloseReason::kRefused
                 : error == asio::error::connection_reset ? CloseReason::kReset
                                                          : CloseReason::kNeverUp);
      return;
    }
    self->begin();
  });
}

void TcpConnection::begin() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  open_ = true;
  used_at_ = Loop::now();
  in_.resize(kFirstBuffer + kPad);
  const auto self = shared_from_this();
  owner_->on_open(*this);
  if (is_closed()) return;
  flush();
  if (!is_closed()) read();
}

// Waited for and then read in one step: what has come is either in the kernel, where has_unread() sees it, or
// with the owner. An asynchronous read would take it at once and deliver it later, and a close in between
// would lose it unseen.
void TcpConnection::read() {
  reading_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code& failed) {
                       self->reading_ = false;
                       if (self->is_closed()) {
                         self->drop_input();
                         return;
                       }
                       if (failed) {
                         self->fail(reason(failed));
                       } else {
                         self->read_now();
                       }
                     });
}

void TcpConnection::read_now() {
  asio::error_code error;
  const std::size_t got =
      socket_.read_some(asio::buffer(in_.data() + filled_, in_.size() - kPad - filled_), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    read();
    return;
  }
  if (error) {
    fail(reason(error));
    return;
  }
  used_at_ = Loop::now();
  filled_ += got;
  deliver();
}

void TcpConnection::deliver() {
  yielded_ = false;
  const std::size_t taken = owner_->on_bytes(*this, std::span(in_.data(), filled_));
  if (is_closed()) {
    drop_input();
    return;
  }
  std::move(in_.begin() + static_cast<std::ptrdiff_t>(taken),
            in_.begin() + static_cast<std::ptrdiff_t>(filled_), in_.begin());
  filled_ -= taken;
  if (yielded_) {
    asio::post(loop_.io, [self = shared_from_this()] {
      if (!self->is_closed()) self->deliver();
    });
    return;
  }
  if (filled_ + kPad == in_.size()) {
    // A long message: most connections never see one, and their buffers stay small.
    if (in_.size() >= kMaxBuffer + kPad) {
      fail(CloseReason::kOverrun);
      return;
    }
    in_.resize(std::min(2 * in_.size(), kMaxBuffer + kPad));
  }
  read();
}

// For a stream that is finished: what comes is read and dropped until the other side closes too.
void TcpConnection::drop_input() {
  constexpr std::size_t kMaxDropped = 256 * 1024;
  if (!lingering_ || reading_) return;
  reading_ = true;
  socket_.async_read_some(asio::buffer(in_),
                          [self = shared_from_this()](const asio::error_code& error, std::size_t got) {
                            self->reading_ = false;
                            if (!self->lingering_) return;
                            self->dropped_ += got;
                            if (error || self->dropped_ > kMaxDropped) {
                              self->close();
                            } else {
                              self->drop_input();
                            }
                          });
}

void TcpConnection::count_out(std::size_t bytes) {
  queued_ -= bytes;
  loop_.outgoing.bytes -= bytes;
}

void TcpConnection::send(std::string head, std::string body, Tag tag) {
  if (is_closed() || output_closed_) return;
  queued_ += head.size() + body.size();
  loop_.outgoing.bytes += head.size() + body.size();
  out_.push_back({std::move(head), std::move(body), tag});
  flush();
  // Another side that does not read: what waits for it must not grow without bound, nor what waits for all.
  auto& all = loop_.outgoing;
  TcpConnection* worst = queued_ > all.max_on_one ? this : nullptr;
  if (worst == nullptr && all.bytes > all.most) {
    for (auto* one : all.blocked) {
      if (worst == nullptr || one->queued_ > worst->queued_) worst = one;
    }
  }
  if (worst == nullptr || worst->is_closed()) return;
  asio::post(loop_.io, [self = worst->shared_from_this()] { self->fail(CloseReason::kOverrun); });
}

bool TcpConnection::take_back(Tag tag) {
  for (auto at = out_.begin(); at != out_.end(); ++at) {
    if (at->tag != tag || (at == out_.begin() && begun_ > 0)) continue;
    count_out(at->size());
    out_.erase(at);
    return true;
  }
  return false;
}

bool TcpConnection::is_queued(Tag tag) const {
  for (auto at = out_.begin(); at != out_.end(); ++at) {
    if (at->tag == tag) return at != out_.begin() || begun_ == 0;
  }
  return false;
}

bool TcpConnection::is_unsent(Tag tag) const {
  return std::any_of(out_.begin(), out_.end(), [tag](const Message& one) { return one.tag == tag; });
}

bool TcpConnection::has_unread() const {
  asio::error_code none;
  return !is_closed() && socket_.is_open() && socket_.available(none) > 0 && !none;
}

bool TcpConnection::has_ended() {
  if (!open_) return false;
  char byte = 0;
  return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::vector<TcpConnection::Message> TcpConnection::take_unsent() {
  std::vector<Message> unsent;
  const std::size_t first = begun_ > 0 ? 1 : 0;
  while (out_.size() > first) {
    count_out(out_[first].size());
    unsent.push_back(std::move(out_[first]));
    out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(first));
  }
  return unsent;
}

// Gathered: as many heads and bodies in one write as the system takes. The write is tried at once and never
// left to Asio, which would hold on to the buffers while the socket is blocked.
void TcpConnection::flush() {
  while (open_ && !waiting_to_write_ && !output_closed_ && !out_.empty()) {
    constexpr std::size_t kMaxPieces = 32;
    std::array<asio::const_buffer, kMaxPieces> pieces;
    std::size_t count = 0;
    std::size_t skip = begun_;
    const auto add = [&](const std::string& text) {
      const std::size_t gone = std::min(skip, text.size());
      skip -= gone;
      if (text.size() > gone && count < kMaxPieces) {
        pieces[count++] = asio::buffer(text.data() + gone, text.size() - gone);
      }
    };
    for (const auto& message : out_) {
      if (count + 2 > kMaxPieces) break;
      add(message.head);
      add(message.body);
    }
    asio::error_code error;
    std::size_t written =
        socket_.write_some(std::span<const asio::const_buffer>(pieces.data(), count), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      waiting_to_write_ = true;
      loop_.outgoing.blocked.insert(this);
      socket_.async_wait(asio::ip::tcp::socket::wait_write,
                         [self = shared_from_this()](const asio::error_code& failed) {
                           self->waiting_to_write_ = false;
                           self->loop_.outgoing.blocked.erase(self.get());
                           if (failed) return;
                           self->flush();
                           if (self->is_closed() || self->output_closed_) return;
                           if (self->out_.empty()) self->owner_->on_drained(*self);
                         });
      return;
    }
    if (error) {
      stop_writing(reason(error));
      return;
    }
    used_at_ = Loop::now();
    count_out(written);
    written += begun_;
    while (!out_.empty() && written >= out_.front().size()) {
      written -= out_.front().size();
      out_.pop_front();
    }
    begun_ = written;
  }
  if (lingering_ && out_.empty()) {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
}

// What cannot be written does not undo what has come: answers that wait to be read are read first, and the
// end of the input tells the owner. It is told through the loop, never from inside its own call.
void TcpConnection::stop_writing(CloseReason why) {
  if (lingering_) {
    close();
    return;
  }
  if (std::exchange(output_closed_, true)) return;
  limit_ = loop_.after(kReadOn, [self = shared_from_this(), why] {
    self->limit_ = 0;
    self->fail(why);
  });
}

void TcpConnection::fail(CloseReason why) {
  if (is_closed()) return;
  auto* owner = owner_;
  const auto self = shared_from_this();
  shut();
  // What never left is still queued: the owner may take it back and send it another way.
  owner->on_closed(*this, why);
  drop_queue();
}

void TcpConnection::close_output() {
  if (!open_) return;
  output_closed_ = true;
  drop_queue();
  loop_.outgoing.blocked.erase(this);
  asio::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void TcpConnection::close() {
  shut();
  drop_queue();
}

void TcpConnection::shut() {
  owner_ = nullptr;
  open_ = false;
  lingering_ = false;
  loop_.outgoing.blocked.erase(this);
  loop_.wheel.cancel(std::exchange(limit_, 0));
  asio::error_code ignored;
  socket_.close(ignored);
}

void TcpConnection::drop_queue() {
  count_out(queued_);
  out_.clear();
  begun_ = 0;
}

void TcpConnection::reset() {
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void TcpConnection::finish() {
  if (is_closed()) return;
  if (!open_ || output_closed_) {
    close();
    return;
  }
  owner_ = nullptr;
  lingering_ = true;
  limit_ = loop_.after(kLinger, [self = shared_from_this()] {
    self->limit_ = 0;
    self->close();
  });
  flush();
  // A read that is out goes on to drop; where none is, dropping begins once the owner's call is over.
  asio::post(loop_.io, [self = shared_from_this()] { self->drop_input(); });
}

TcpConnection::~TcpConnection() {
  loop_.outgoing.bytes -= queued_;
  loop_.outgoing.blocked.erase(this);
}

CloseReason TcpConnection::reason(const asio::error_code& error) {
  return error == asio::error::eof ? CloseReason::kEnded : CloseReason::kReset;
}

std::optional<asio::ip::tcp::endpoint> read_endpoint(std::string_view text) {
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

std::string text_of(const asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace amberknot::net
