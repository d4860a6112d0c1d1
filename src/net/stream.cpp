#include "net/stream.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace amberknot::net {

const char* name(Closed why) {
  static constexpr const char* kNames[] = {"ended", "reset", "refused", "never up", "overrun"};
  return kNames[static_cast<int>(why)];
}

void Stream::adopt(asio::ip::tcp::socket socket) {
  socket_ = std::move(socket);
  asio::error_code ignored;
  remote_ = socket_.remote_endpoint(ignored);
  begin();
}

void Stream::connect(const asio::ip::tcp::endpoint& to, Duration limit) {
  remote_ = to;
  limit_ = loop_.after(limit, [self = shared_from_this()] {
    self->limit_ = 0;
    self->fail(Closed::kNeverUp);
  });
  socket_.async_connect(to, [self = shared_from_this()](const asio::error_code& error) {
    if (self->is_closed()) return;
    self->loop_.wheel.cancel(std::exchange(self->limit_, 0));
    if (error) {
      self->fail(error == asio::error::connection_refused ? Closed::kRefused : Closed::kNeverUp);
      return;
    }
    self->begin();
  });
}

void Stream::begin() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  open_ = true;
  used_at_ = Loop::now();
  in_.resize(kMostMessage + 1024);
  const auto self = shared_from_this();
  owner_->on_open(*this);
  if (is_closed()) return;
  flush();
  if (!is_closed()) read();
}

void Stream::read() {
  socket_.async_read_some(
      asio::buffer(in_.data() + filled_, in_.size() - filled_),
      [self = shared_from_this()](const asio::error_code& error, std::size_t got) {
        if (self->is_closed()) return;
        if (error) {
          self->fail(reason(error));
          return;
        }
        self->used_at_ = Loop::now();
        self->filled_ += got;
        const std::size_t taken = self->owner_->on_bytes(*self, std::span(self->in_.data(), self->filled_));
        if (self->is_closed()) return;
        std::move(self->in_.begin() + static_cast<std::ptrdiff_t>(taken),
                  self->in_.begin() + static_cast<std::ptrdiff_t>(self->filled_), self->in_.begin());
        self->filled_ -= taken;
        if (self->filled_ == self->in_.size()) {
          self->fail(Closed::kOverrun);
          return;
        }
        self->read();
      });
}

void Stream::send(std::string head, std::string body, Tag tag) {
  if (is_closed()) return;
  queued_ += head.size() + body.size();
  out_.push_back({std::move(head), std::move(body), tag});
  if (queued_ > kMostQueued) {
    // The other side does not read: what waits for it must not grow without bound.
    asio::post(loop_.io, [self = shared_from_this()] { self->fail(Closed::kOverrun); });
    return;
  }
  flush();
}

bool Stream::take_back(Tag tag) {
  for (auto at = out_.begin(); at != out_.end(); ++at) {
    if (at->tag != tag || (at == out_.begin() && begun_ > 0)) continue;
    queued_ -= at->size();
    out_.erase(at);
    return true;
  }
  return false;
}

// Gathered: as many heads and bodies in one write as the system takes. The write is tried at once and never
// left to Asio, which would hold on to the buffers while the socket is blocked.
void Stream::flush() {
  while (open_ && !waiting_to_write_ && !out_.empty()) {
    constexpr std::size_t kMostPieces = 32;
    std::array<asio::const_buffer, kMostPieces> pieces;
    std::size_t count = 0;
    std::size_t skip = begun_;
    const auto add = [&](const std::string& text) {
      const std::size_t gone = std::min(skip, text.size());
      skip -= gone;
      if (text.size() > gone && count < kMostPieces) {
        pieces[count++] = asio::buffer(text.data() + gone, text.size() - gone);
      }
    };
    for (const auto& message : out_) {
      if (count + 2 > kMostPieces) break;
      add(message.head);
      add(message.body);
    }
    asio::error_code error;
    std::size_t written =
        socket_.write_some(std::span<const asio::const_buffer>(pieces.data(), count), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      waiting_to_write_ = true;
      socket_.async_wait(asio::ip::tcp::socket::wait_write,
                         [self = shared_from_this()](const asio::error_code& failed) {
                           self->waiting_to_write_ = false;
                           if (!failed) self->flush();
                         });
      return;
    }
    if (error) {
      // Reported through the loop: a sender must not be told from inside its own call.
      asio::post(loop_.io, [self = shared_from_this(), error] { self->fail(reason(error)); });
      return;
    }
    used_at_ = Loop::now();
    queued_ -= written;
    written += begun_;
    while (!out_.empty() && written >= out_.front().size()) {
      written -= out_.front().size();
      out_.pop_front();
    }
    begun_ = written;
  }
}

void Stream::fail(Closed why) {
  if (is_closed()) return;
  auto* owner = owner_;
  const auto self = shared_from_this();
  close();
  owner->on_closed(*this, why);
}

void Stream::close() {
  owner_ = nullptr;
  open_ = false;
  loop_.wheel.cancel(std::exchange(limit_, 0));
  asio::error_code ignored;
  socket_.close(ignored);
}

Closed Stream::reason(const asio::error_code& error) {
  return error == asio::error::eof ? Closed::kEnded : Closed::kReset;
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

}  // namespace amberknot::net
