#include "lab/fleet/operator.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace amberknot::lab::fleet {
namespace {

using std::chrono::milliseconds;

constexpr Duration kConnectTimeout = milliseconds{500};
constexpr Duration kHealthCheckInterval = milliseconds{100};
constexpr std::string_view kHealthCheckLine =
    "{\"msg\":\"probe\",\"sid\":\"00000000000000fe\",\"attrs\":{},\"code\":0}\n";
constexpr std::string_view kPassedCode = "\"code\":1}";

}  // namespace

AdminCommand::AdminCommand(net::Loop& loop, const asio::ip::tcp::endpoint& to, const std::string& command,
                           std::function<void(const std::string&)> on_reply)
    : stream_(std::make_shared<net::TcpConnection>(loop, *this)), on_reply_(std::move(on_reply)) {
  stream_->send(command + "\n");
  stream_->connect(to, kConnectTimeout);
}

std::size_t AdminCommand::on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) {
  const auto end = std::find(bytes.begin(), bytes.end(), '\n');
  if (end == bytes.end()) return 0;
  if (on_reply_) std::exchange(on_reply_, nullptr)(std::string(bytes.begin(), end));
  return bytes.size();
}

void AdminCommand::on_closed(net::TcpConnection& /*stream*/, net::CloseReason /*reason*/) {
  if (on_reply_) std::exchange(on_reply_, nullptr)("");
}

HealthChecker::HealthChecker(net::Loop& loop, const asio::ip::tcp::endpoint& to,
                             std::function<void(bool)> on_result)
    : loop_(loop), to_(to), on_result_(std::move(on_result)) {
  check();
}

HealthChecker::~HealthChecker() {
  loop_.timers.cancel(timer_);
  if (stream_) stream_->close();
}

void HealthChecker::check() {
  timer_ = loop_.run_after(kHealthCheckInterval, [this] { check(); });
  if (stream_) return;  // the previous check is still under way
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->send(std::string(kHealthCheckLine));
  stream_->connect(to_, kConnectTimeout);
}

std::size_t HealthChecker::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const std::string_view text(bytes.data(), bytes.size());
  if (text.find('\n') == std::string_view::npos) return 0;
  const auto finished = std::exchange(stream_, nullptr);
  stream.close();
  on_result_(text.find(kPassedCode) != std::string_view::npos);
  return bytes.size();
}

void HealthChecker::on_closed(net::TcpConnection& /*stream*/, net::CloseReason /*reason*/) {
  stream_.reset();
}

}  // namespace amberknot::lab::fleet
