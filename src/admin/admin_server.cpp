#include "admin/admin_server.hpp"

#include <algorithm>

namespace amberknot::admin {

AdminServer::AdminServer(net::Loop& loop, const asio::ip::tcp::endpoint& at, std::size_t most, Answer answer)
    : loop_(loop),
      acceptor_(loop.io, at, true),
      most_(std::max<std::size_t>(most, 1)),
      answer_(std::move(answer)) {
  accept();
}

AdminServer::~AdminServer() {
  for (auto& [key, one] : open_) {
    loop_.wheel.cancel(one.deadline);
    one.stream->close();
  }
}

void AdminServer::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      net::log::warn("control: accept failed: ", error.message());
      loop_.after(std::chrono::milliseconds{20}, [this] { accept(); });
      return;
    }
    std::erase_if(finishing_, [](const auto& stream) { return !stream->is_lingering(); });
    if (open_.size() >= most_) {
      // The oldest has had longest to say its line; a caller that holds a place and says nothing must not
      // keep the next one out.
      const auto oldest = std::min_element(open_.begin(), open_.end(), [](const auto& a, const auto& b) {
        return a.second.since < b.second.since;
      });
      net::log::info(log_full_, "control: ", open_.size(), " connections open: the oldest is closed");
      drop(oldest->first, false);
    }
    auto stream = std::make_shared<net::TcpConnection>(loop_, *this);
    auto* key = stream.get();
    auto& one = open_[key];
    one.stream = stream;
    one.since = net::Loop::now();
    one.deadline = loop_.after(kLineWithin, [this, key] {
      if (const auto found = open_.find(key); found != open_.end()) {
        found->second.deadline = 0;
        drop(key, false);
      }
    });
    stream->adopt(std::move(socket));
    accept();
  });
}

std::size_t AdminServer::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const auto found = open_.find(&stream);
  if (found == open_.end()) return bytes.size();
  const auto end = std::find(bytes.begin(), bytes.end(), '\n');
  if (end == bytes.end()) {
    if (bytes.size() <= kMaxLine) return 0;  // the rest of the line is still on its way
  }
  const auto line = std::string_view(bytes.data(), static_cast<std::size_t>(end - bytes.begin()));
  const auto read = read_command(line);
  std::string reply;
  if (read.command) {
    reply = answer_(*read.command);
  } else {
    net::log::warn(log_bad_, "control: ", read.error, " from ", stream.remote());
    reply = "-ERR " + read.error;
  }
  stream.send(reply + "\n");
  drop(&stream, true);
  return bytes.size();
}

void AdminServer::on_closed(net::TcpConnection& stream, net::CloseReason /*why*/) {
  remove_call(&stream);
}

std::optional<AdminServer::Open> AdminServer::remove_call(net::TcpConnection* stream) {
  const auto found = open_.find(stream);
  if (found == open_.end()) return std::nullopt;
  auto one = std::move(found->second);
  open_.erase(found);
  loop_.wheel.cancel(one.deadline);
  return one;
}

void AdminServer::drop(net::TcpConnection* stream, bool with_what_is_queued) {
  auto one = remove_call(stream);
  if (!one) return;
  if (with_what_is_queued) {
    one->stream->finish();
    finishing_.push_back(one->stream);
  } else {
    one->stream->close();
  }
}

}  // namespace amberknot::admin
