#include "diameter/peer.hpp"

#include <random>
#include <utility>

#include "net/log.hpp"

namespace amberknot::diameter {

using net::CloseReason;
using net::Loop;

namespace {
constexpr std::uint32_t kDisconnectCauseRebooting = 0;  // REBOOTING
}

Peer::Peer(Loop& loop, core::Counters& counters, Identity& identity, Handler& handler)
    : loop_(loop), counters_(counters), identity_(identity), handler_(handler) {}

void Peer::connect(const asio::ip::tcp::endpoint& remote, Duration timeout) {
  is_initiator_ = true;
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->connect(remote, timeout);
}

void Peer::adopt(asio::ip::tcp::socket socket) {
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->start_accepted(std::move(socket));
}

Writer Peer::request(Command command, std::uint32_t application, std::uint32_t* hop_by_hop) {
  const std::uint32_t id = next_hop_by_hop_++;
  if (hop_by_hop != nullptr) *hop_by_hop = id;
  return Writer::request(command, application, id, identity_.next_end_to_end++);
}

Writer& Peer::add_origin(Writer& writer) const {
  return writer.add(AvpCode::kOriginHost, identity_.host).add(AvpCode::kOriginRealm, identity_.realm);
}

Writer Peer::answer(const Message& to, const Fault& fault) const {
  auto writer = Writer::answer(to, fault.result);
  add_origin(writer);
  if (!fault.failed_avp.empty())
    writer.add_group(AvpCode::kFailedAvp, [&](Writer& group) { group.add_raw(fault.failed_avp); });
  return writer;
}

void Peer::on_open(net::TcpConnection& /*stream*/) {
  // The capabilities exchange must be the first exchange and end within its limit.
  timer_ = loop_.run_after(identity_.capabilities_timeout, [this, self = shared_from_this()] {
    timer_ = 0;
    fail(CloseReason::kConnectFailed);
  });
  if (!is_initiator_) return;
  auto cer = request(Command::kCapabilitiesExchange, kBaseApplication);
  add_origin(cer).add_address(AvpCode::kHostIpAddress, stream_->remote().address().to_string());
  cer.add(AvpCode::kVendorId, 0U)
      .add(AvpCode::kProductName, "amberknot")
      .add(AvpCode::kOriginStateId, identity_.origin_state_id);
  cer.add(AvpCode::kAuthApplicationId, kCreditControlApplication);
  send(cer);
}

std::size_t Peer::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const auto self = shared_from_this();
  std::size_t consumed = 0;
  while (consumed < bytes.size()) {
    const auto read = read_message({bytes.data() + consumed, bytes.size() - consumed}, net::kMaxMessageBytes);
    if (read.state == ReadResult::State::kIncomplete) break;
    if (read.state == ReadResult::State::kTooLong) {
      ++counters_.unreadable_messages;
      net::log::warn("diameter: message from ", stream.remote(),
                     " exceeds the maximum length; connection closed");
      fail(CloseReason::kLimitExceeded);
      return bytes.size();
    }
    on_message_read(read);
    if (stream.is_closed()) return bytes.size();
    consumed += read.size;
  }
  return consumed;
}

void Peer::on_message_read(const ReadResult& read) {
  const auto& message = read.message;
  last_received_at_ = Loop::now();
  if (!is_up_) {
    on_capabilities(read);
    return;
  }
  if (read.fault.is_set()) {
    on_faulty_message(read);
    return;
  }
  on_origin_state_id(message);
  if (stream_->is_closed()) return;
  const bool is_application_message =
      message.has_command(Command::kCreditControl) || message.has_command(Command::kAbortSession);
  const bool is_watchdog = message.has_command(Command::kWatchdog);
  if (is_watchdog || message.has_command(Command::kDisconnect)) {
    if (message.is_request) {
      on_base_request(message);
    } else if (is_watchdog) {
      on_watchdog_answer(message);
    } else {
      on_disconnect_answer(message);
    }
  } else if (is_application_message) {
    handler_.on_message(*this, message);
  } else if (message.is_request) {
    auto writer = answer(message, {ResultCode::kCommandUnsupported, {}});
    send(writer);
  }
}

// A request is answered with the Result-Code of its fault. After an invalid message length the start of the
// next message is unknown; an answer of another version shows that it was unknown before.
void Peer::on_faulty_message(const ReadResult& read) {
  const auto& message = read.message;
  ++counters_.malformed_set_ups;
  net::log::warn("diameter: invalid message with command ", message.command, " from ", host_,
                 ", Result-Code ", static_cast<std::uint32_t>(read.fault.result));
  if (message.is_request) {
    auto writer = answer(message, read.fault);
    send(writer);
  } else {
    handler_.on_malformed_answer(*this, message);
  }
  const bool is_out_of_sync = read.fault.result == ResultCode::kInvalidMessageLength ||
                              (!message.is_request && read.fault.result == ResultCode::kUnsupportedVersion);
  if (is_out_of_sync && !stream_->is_closed()) fail(CloseReason::kReset);
}

void Peer::on_capabilities(const ReadResult& read) {
  const auto& message = read.message;
  if (!message.has_command(Command::kCapabilitiesExchange) || message.is_request == is_initiator_) {
    net::log::warn("diameter: ", stream_->remote(),
                   " did not start with a capabilities exchange; connection closed; command ",
                   message.command);
    fail(CloseReason::kReset);
    return;
  }
  host_ = message.text(AvpCode::kOriginHost);
  realm_ = message.text(AvpCode::kOriginRealm);
  if (is_initiator_) {
    const auto result = message.number(AvpCode::kResultCode).value_or(0);
    if (result / 1000 != 2 || read.fault.is_set()) {
      net::log::warn("diameter: ", stream_->remote(),
                     " refused the capabilities exchange; connection closed; Result-Code ", result);
      fail(CloseReason::kReset);
      return;
    }
    on_origin_state_id(message);
    mark_up();
    return;
  }
  Fault fault = read.fault;
  bool has_common_application = false;
  for (const auto& avp : message.avps) {
    constexpr std::uint32_t kRelay = 0xffffffff;
    if (!avp.has_code(AvpCode::kAuthApplicationId)) continue;
    Message single;
    single.avps.push_back(avp);
    const auto id = single.number(AvpCode::kAuthApplicationId);
    has_common_application = has_common_application || id == kCreditControlApplication || id == kRelay;
  }
  for (const AvpCode code : {AvpCode::kOriginHost, AvpCode::kOriginRealm}) {
    if (!fault.is_set() && message.text(code).empty()) fault = {ResultCode::kMissingAvp, missing_avp(code)};
  }
  if (!fault.is_set() && !has_common_application) fault = {ResultCode::kNoCommonApplication, {}};
  if (!fault.is_set()) fault.result = handler_.admit(*this);
  auto cea = answer(message, fault);
  cea.add_address(AvpCode::kHostIpAddress, stream_->remote().address().to_string());
  cea.add(AvpCode::kVendorId, 0U)
      .add(AvpCode::kProductName, "amberknot")
      .add(AvpCode::kOriginStateId, identity_.origin_state_id);
  cea.add(AvpCode::kAuthApplicationId, kCreditControlApplication);
  send(cea);
  if (fault.is_set()) {
    net::log::warn("diameter: ", stream_->remote(), " not admitted; connection closed; Result-Code ",
                   static_cast<std::uint32_t>(fault.result));
    fail(CloseReason::kReset);
    return;
  }
  on_origin_state_id(message);
  mark_up();
}

void Peer::mark_up() {
  is_up_ = true;
  up_since_ = Loop::now();
  net::log::info("diameter: ", host_, " is up");
  loop_.timers.cancel(timer_);
  start_watchdog_timer();
  handler_.on_up(*this);
}

void Peer::on_base_request(const Message& message) {
  auto writer = answer(message, {ResultCode::kSuccess, {}});
  if (message.has_command(Command::kWatchdog)) writer.add(AvpCode::kOriginStateId, identity_.origin_state_id);
  send(writer);
  if (message.has_command(Command::kDisconnect) && !std::exchange(is_disconnecting_, true)) {
    net::log::info("diameter: ", host_, " sent a disconnect request, cause ",
                   message.number(AvpCode::kDisconnectCause).value_or(kDisconnectCauseRebooting));
    handler_.on_disconnect_request(*this);
  }
}

// An answer to no request, or the second copy of one, closes nothing.
void Peer::on_disconnect_answer(const Message& message) {
  if (pending_disconnect_ == message.hop_by_hop) fail(CloseReason::kClosedByPeer);
}

// A second copy of the answer to an earlier DWR does not answer the current one.
void Peer::on_watchdog_answer(const Message& message) {
  if (pending_watchdog_ != message.hop_by_hop) return;
  pending_watchdog_.reset();
  handler_.on_watchdog_answer(*this, Loop::now() - watchdog_sent_at_);
  if (!std::exchange(is_healthy_, true)) {
    net::log::info("diameter: ", host_, " answers watchdog requests again; new calls may go to it");
    handler_.on_health_changed(*this, true);
  }
}

void Peer::on_origin_state_id(const Message& message) {
  const auto id = message.number(AvpCode::kOriginStateId);
  // An id of zero or a missing id says nothing about restarts. A lower id than before is ignored, since it
  // may come from a clock that was set back.
  if (!id || *id == 0) return;
  state_id_ = *id;
  auto& last = handler_.last_state_id(*this);
  const std::uint32_t previous = std::exchange(last, std::max(*id, last));
  if (previous != 0 && *id > previous) handler_.on_restarted(*this);
}

void Peer::start_watchdog_timer() {
  static std::minstd_rand random{std::random_device{}()};
  const auto max_offset = identity_.watchdog_jitter.count();
  const Duration offset{std::uniform_int_distribution<std::int64_t>(-max_offset, max_offset)(random)};
  timer_ = loop_.run_after(identity_.watchdog_interval + offset, [this, self = shared_from_this()] {
    timer_ = 0;
    on_watchdog_timer();
  });
}

// This deviates from RFC 3539 in two points: a DWR is sent each Tw even while other messages are received,
// and only a DWA answers it. In the RFC any message does, so a peer that no longer answers its watchdog would
// count as alive as long as other answers are received. Here it gets no new calls, and unanswered set-ups may
// finish.
void Peer::on_watchdog_timer() {
  if (!pending_watchdog_) {
    send_watchdog();
  } else if (Loop::now() - watchdog_sent_at_ < identity_.watchdog_interval - identity_.watchdog_jitter) {
    // A health check sent the DWR between two timer events: its time to answer is not over yet.
  } else if (std::exchange(is_healthy_, false)) {
    net::log::warn("diameter: ", host_, " did not answer a watchdog request in time; no new calls go to it");
    handler_.on_health_changed(*this, false);
  } else if (Loop::now() - last_received_at_ >= identity_.watchdog_interval) {
    net::log::warn("diameter: ", host_, " sent nothing for a whole watchdog interval; connection closed");
    fail(CloseReason::kReset);
    return;
  } else {
    // Other messages are still received: a new DWR shows whether the peer answers watchdogs again.
    pending_watchdog_.reset();
    send_watchdog();
  }
  start_watchdog_timer();
}

void Peer::send_watchdog() {
  if (!is_up_ || pending_watchdog_) return;
  watchdog_sent_at_ = Loop::now();
  auto dwr = request(Command::kWatchdog, kBaseApplication, &pending_watchdog_.emplace());
  add_origin(dwr).add(AvpCode::kOriginStateId, identity_.origin_state_id);
  send(dwr);
}

void Peer::disconnect() {
  if (!is_up_ || std::exchange(is_disconnecting_, true)) return;
  auto dpr = request(Command::kDisconnect, kBaseApplication, &pending_disconnect_.emplace());
  add_origin(dpr).add(AvpCode::kDisconnectCause, kDisconnectCauseRebooting);
  send(dpr);
}

void Peer::close() {
  loop_.timers.cancel(std::exchange(timer_, 0));
  is_up_ = false;
  if (stream_) stream_->close();
}

void Peer::fail(CloseReason reason) {
  const auto self = shared_from_this();
  stream_->close();
  on_closed(*stream_, reason);
}

void Peer::on_closed(net::TcpConnection& /*stream*/, CloseReason reason) {
  const auto self = shared_from_this();
  loop_.timers.cancel(std::exchange(timer_, 0));
  is_up_ = false;
  handler_.on_down(*this, reason);
}

}  // namespace amberknot::diameter
