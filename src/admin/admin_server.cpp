#include "admin/admin_server.hpp"

#include <algorithm>
#include <utility>

namespace amberknot::admin {
namespace {

/// How long the server waits after a failed accept, so that a persistent failure does not keep the loop busy.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds{20};

}  // namespace

AdminServer::AdminServer(net::Loop& loop, const asio::ip::tcp::endpoint& address, std::size_t max_connections,
                         CommandHandler handler)
    : loop_(loop),
      acceptor_(loop.io, address, true),
      max_connections_(std::max<std::size_t>(max_connections, 1)),
      handler_(std::move(handler)) {
  accept();
}

AdminServer::~AdminServer() {
  for (auto& [key, connection] : connections_) {
    loop_.timers.cancel(connection.command_timer);
    connection.stream->close();
  }
}

void AdminServer::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      on_accept_failed(error);
      return;
    }
    std::erase_if(finishing_, [](const auto& stream) { return !stream->is_lingering(); });
    if (connections_.size() >= max_connections_) close_oldest();
    add_connection(std::move(socket));
    accept();
  });
}

void AdminServer::on_accept_failed(const asio::error_code& error) {
  net::log::warn("admin: accept failed, will retry: ", error.message());
  loop_.run_after(kAcceptRetryDelay, [this] { accept(); });
}

void AdminServer::close_oldest() {
  // The oldest connection has had the most time to send its command; idle clients must not block new ones.
  const auto oldest = std::min_element(
      connections_.begin(), connections_.end(),
      [](const auto& a, const auto& b) { return a.second.accepted_at < b.second.accepted_at; });
  net::log::info(connection_limit_log_, "admin: ", connections_.size(),
                 " connections open, closing the oldest one");
  abort(oldest->first);
}

void AdminServer::add_connection(asio::ip::tcp::socket socket) {
  auto stream = std::make_shared<net::TcpConnection>(loop_, *this);
  auto* key = stream.get();
  auto& connection = connections_[key];
  connection.stream = stream;
  connection.accepted_at = net::Loop::now();
  connection.command_timer = loop_.run_after(kCommandTimeout, [this, key] { on_command_timeout(key); });
  stream->start_accepted(std::move(socket));
}

void AdminServer::on_command_timeout(net::TcpConnection* stream) {
  const auto found = connections_.find(stream);
  if (found == connections_.end()) return;
  found->second.command_timer = 0;  // has just fired; nothing to cancel
  abort(stream);
}

std::size_t AdminServer::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  if (!connections_.contains(&stream)) return bytes.size();
  const auto end = std::find(bytes.begin(), bytes.end(), '\n');
  const bool is_incomplete = end == bytes.end();
  if (is_incomplete && bytes.size() <= kMaxCommandBytes) return 0;
  const std::string_view line(bytes.data(), static_cast<std::size_t>(end - bytes.begin()));
  stream.send(reply_to(line, stream) + "\n");
  finish(&stream);
  return bytes.size();
}

std::string AdminServer::reply_to(std::string_view line, net::TcpConnection& stream) {
  const auto parsed = parse_command(line);
  if (const auto* command = std::get_if<Command>(&parsed)) return handler_(*command);
  const auto& error = std::get<CommandError>(parsed);
  net::log::warn(rejected_command_log_, "admin: rejected command line (", error.message, ") from ",
                 stream.remote());
  return "-ERR " + error.message;
}

void AdminServer::on_closed(net::TcpConnection& stream, net::CloseReason /*reason*/) {
  remove(&stream);
}

std::optional<AdminServer::Connection> AdminServer::remove(net::TcpConnection* stream) {
  const auto found = connections_.find(stream);
  if (found == connections_.end()) return std::nullopt;
  auto connection = std::move(found->second);
  connections_.erase(found);
  loop_.timers.cancel(connection.command_timer);
  return connection;
}

void AdminServer::abort(net::TcpConnection* stream) {
  if (auto connection = remove(stream)) connection->stream->close();
}

void AdminServer::finish(net::TcpConnection* stream) {
  auto connection = remove(stream);
  if (!connection) return;
  connection->stream->close_after_flush();
  finishing_.push_back(std::move(connection->stream));
}

}  // namespace amberknot::admin
