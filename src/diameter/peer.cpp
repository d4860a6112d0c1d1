#include "diameter/peer.hpp"

#include <random>
#include <utility>

#include "net/log.hpp"

namespace amberknot::diameter {

using net::CloseReason;
using net::Loop;

namespace {
constexpr std::uint32_t kRebooting = 0;  // Disconnect-Cause
}

Peer::Peer(Loop& loop, core::Counters& counters, Identity& identity, Handler& handler)
    : loop_(loop), counters_(counters), identity_(identity), handler_(handler) {}

void Peer::connect(const asio::ip::tcp::endpoint& to, Duration limit) {
  initiator_ = true;
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->connect(to, limit);
}

void Peer::adopt(asio::ip::tcp::socket socket) {
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->adopt(std::move(socket));
}

Writer Peer::request(Command command, std::uint32_t application, std::uint32_t* hop_by_hop) {
  const std::uint32_t hop = next_hop_by_hop_++;
  if (hop_by_hop != nullptr) *hop_by_hop = hop;
  return Writer::request(command, application, hop, identity_.next_end_to_end++);
}

Writer& Peer::origin(Writer& writer) const {
  return writer.add(Code::kOriginHost, identity_.host).add(Code::kOriginRealm, identity_.realm);
}

Writer Peer::answer(const Message& to, const Fault& fault) const {
  auto writer = Writer::answer(to, fault.result);
  origin(writer);
  if (!fault.failed.empty())
    writer.add_group(Code::kFailedAvp, [&](Writer& in) { in.add_raw(fault.failed); });
  return writer;
}

void Peer::on_open(net::TcpConnection& /*stream*/) {
  // The capabilities exchange comes first, and within its time.
  timer_ = loop_.after(identity_.capabilities, [this, self = shared_from_this()] {
    timer_ = 0;
    fail(CloseReason::kNeverUp);
  });
  if (!initiator_) return;
  auto cer = request(Command::kCapabilitiesExchange, kBaseApplication);
  origin(cer).add_address(Code::kHostIpAddress, stream_->remote().address().to_string());
  cer.add(Code::kVendorId, 0U)
      .add(Code::kProductName, "amberknot")
      .add(Code::kOriginStateId, identity_.state_id);
  cer.add(Code::kAuthApplicationId, kCreditControlApplication);
  send(cer);
}

std::size_t Peer::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const auto self = shared_from_this();
  std::size_t taken = 0;
  while (taken < bytes.size()) {
    const auto read = read_message({bytes.data() + taken, bytes.size() - taken}, net::kMaxMessage);
    if (read.state == Read::State::kMore) break;
    if (read.state == Read::State::kBad) {
      ++counters_.unreadable;
      net::log::warn("diameter: over-long message from ", stream.remote(), ": connection closed");
      fail(CloseReason::kOverrun);
      return bytes.size();
    }
    on_read(read);
    if (stream.is_closed()) return bytes.size();
    taken += read.size;
  }
  return taken;
}

void Peer::on_read(const Read& read) {
  const auto& message = read.message;
  heard_at_ = Loop::now();
  if (!up_) {
    on_capabilities(read);
    return;
  }
  if (read.fault.any()) {
    ++counters_.malformed;
    net::log::warn("diameter: command ", message.command, " from ", host_, " is answered with ",
                   static_cast<std::uint32_t>(read.fault.result));
    if (message.request) {
      auto writer = answer(message, read.fault);
      send(writer);
    } else {
      handler_.on_message(*this, message);  // what it answers has its end, if not the one it was to have
    }
    if (read.fault.result == Result::kInvalidMessageLength) fail(CloseReason::kReset);
    return;
  }
  learn_state(message);
  if (stream_->is_closed()) return;
  const bool of_session = message.is(Command::kCreditControl) || message.is(Command::kAbortSession);
  if (message.is(Command::kWatchdog) || message.is(Command::kDisconnect)) {
    on_base(message);
  } else if (of_session) {
    handler_.on_message(*this, message);
  } else if (message.request) {
    auto writer = answer(message, {Result::kCommandUnsupported, {}});
    send(writer);
  }
}

void Peer::on_capabilities(const Read& read) {
  const auto& message = read.message;
  if (!message.is(Command::kCapabilitiesExchange) || message.request == initiator_) {
    net::log::warn("diameter: ", stream_->remote(), " begins with command ", message.command);
    fail(CloseReason::kReset);
    return;
  }
  host_ = message.text(Code::kOriginHost);
  realm_ = message.text(Code::kOriginRealm);
  if (initiator_) {
    const auto result = message.number(Code::kResultCode).value_or(0);
    if (result / 1000 != 2 || read.fault.any()) {
      net::log::warn("diameter: ", stream_->remote(), " answers the capabilities exchange with ", result);
      fail(CloseReason::kReset);
      return;
    }
    learn_state(message);
    up();
    return;
  }
  Fault fault = read.fault;
  bool common = false;
  for (const auto& avp : message.avps) {
    constexpr std::uint32_t kRelay = 0xffffffff;
    if (avp.code != static_cast<std::uint32_t>(Code::kAuthApplicationId) || avp.data.size() != 4) continue;
    Message one;
    one.avps.push_back(avp);
    const auto id = one.number(Code::kAuthApplicationId);
    common = common || id == kCreditControlApplication || id == kRelay;
  }
  for (const Code code : {Code::kOriginHost, Code::kOriginRealm}) {
    if (!fault.any() && message.text(code).empty()) fault = {Result::kMissingAvp, missing(code)};
  }
  if (!fault.any() && !common) fault = {Result::kNoCommonApplication, {}};
  if (!fault.any()) fault.result = handler_.admit(*this);
  auto cea = answer(message, fault);
  cea.add_address(Code::kHostIpAddress, stream_->remote().address().to_string());
  cea.add(Code::kVendorId, 0U)
      .add(Code::kProductName, "amberknot")
      .add(Code::kOriginStateId, identity_.state_id);
  cea.add(Code::kAuthApplicationId, kCreditControlApplication);
  send(cea);
  if (fault.any()) {
    net::log::warn("diameter: ", stream_->remote(),
                   " not admitted: ", static_cast<std::uint32_t>(fault.result));
    fail(CloseReason::kReset);
    return;
  }
  learn_state(message);
  up();
}

void Peer::up() {
  up_ = true;
  net::log::info("diameter: ", host_, " is up");
  loop_.wheel.cancel(timer_);
  set_watchdog();
  handler_.on_up(*this);
}

void Peer::on_base(const Message& message) {
  if (message.request) {
    auto writer = answer(message, {Result::kSuccess, {}});
    if (message.is(Command::kWatchdog)) writer.add(Code::kOriginStateId, identity_.state_id);
    send(writer);
    if (message.is(Command::kDisconnect) && !std::exchange(leaving_, true)) {
      net::log::info("diameter: ", host_, " disconnects, cause ",
                     message.number(Code::kDisconnectCause).value_or(kRebooting));
      handler_.on_leaving(*this);
    }
    return;
  }
  if (message.is(Command::kDisconnect)) {
    fail(CloseReason::kEnded);
    return;
  }
  if (!std::exchange(asked_, false)) return;
  handler_.on_watchdog(*this, Loop::now() - asked_at_);
  if (!std::exchange(healthy_, true)) {
    net::log::info("diameter: ", host_, " answers watchdogs again");
    handler_.on_health(*this, true);
  }
}

void Peer::learn_state(const Message& message) {
  const auto id = message.number(Code::kOriginStateId);
  // Zero or none says nothing of restarts; a lower one is a clock set back, not a restart.
  if (!id || *id == 0) return;
  auto& last = handler_.last_state(*this);
  const std::uint32_t had = std::exchange(last, std::max(*id, last));
  if (had != 0 && *id > had) handler_.on_restarted(*this);
}

void Peer::set_watchdog() {
  static std::minstd_rand random{std::random_device{}()};
  const auto most = identity_.jitter.count();
  const Duration vary{std::uniform_int_distribution<std::int64_t>(-most, most)(random)};
  timer_ = loop_.after(identity_.watchdog + vary, [this, self = shared_from_this()] {
    timer_ = 0;
    on_watchdog_due();
  });
}

// RFC 3539 with two departures: a DWR goes out each Tw also while other messages come, and only a DWA clears
// it. There any message does, so that a peer whose watchdog has gone silent would count as alive for as long
// as answers still come; here it gets no new calls, and those that are out may finish.
void Peer::on_watchdog_due() {
  if (!asked_) {
    send_watchdog();
  } else if (Loop::now() - asked_at_ < identity_.watchdog - identity_.jitter) {
    // Asked out of turn, for a probe: its time is not up.
  } else if (std::exchange(healthy_, false)) {
    net::log::warn("diameter: ", host_, " does not answer the watchdog: no new calls there");
    handler_.on_health(*this, false);
  } else if (Loop::now() - heard_at_ >= identity_.watchdog) {
    net::log::warn("diameter: ", host_, " is silent: connection closed");
    fail(CloseReason::kReset);
    return;
  } else {
    // Other messages still come: asked anew, it may show that its watchdog is back.
    asked_ = false;
    send_watchdog();
  }
  set_watchdog();
}

void Peer::send_watchdog() {
  if (!up_ || asked_) return;
  asked_ = true;
  asked_at_ = Loop::now();
  auto dwr = request(Command::kWatchdog, kBaseApplication);
  origin(dwr).add(Code::kOriginStateId, identity_.state_id);
  send(dwr);
}

void Peer::disconnect() {
  if (!up_ || std::exchange(leaving_, true)) return;
  auto dpr = request(Command::kDisconnect, kBaseApplication);
  origin(dpr).add(Code::kDisconnectCause, kRebooting);
  send(dpr);
}

void Peer::close() {
  loop_.wheel.cancel(std::exchange(timer_, 0));
  up_ = false;
  if (stream_) stream_->close();
}

void Peer::fail(CloseReason why) {
  const auto self = shared_from_this();
  stream_->close();
  on_closed(*stream_, why);
}

void Peer::on_closed(net::TcpConnection& /*stream*/, CloseReason why) {
  const auto self = shared_from_this();
  loop_.wheel.cancel(std::exchange(timer_, 0));
  up_ = false;
  handler_.on_down(*this, why);
}

}  // namespace amberknot::diameter
