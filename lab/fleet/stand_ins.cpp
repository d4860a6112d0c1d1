#include "lab/fleet/stand_ins.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "net/listen.hpp"

namespace amberknot::lab::fleet {

using std::chrono::milliseconds;

namespace {

// How long an unconfirmed release is sent again (the operators' page PROTOCOL).
constexpr Duration kReleaseRetention = std::chrono::seconds{8};
// A set-up sent at most this long before the router closed the connection is sent again (the operators'
// page PROTOCOL).
constexpr Duration kResendWindow = milliseconds{50};
// How much longer than its time a caller waits for the answer (the operators' page PROTOCOL).
constexpr Duration kAnswerTolerance = milliseconds{50};
constexpr Duration kReconnectDelay = milliseconds{30};
const asio::ip::tcp::endpoint kAnyPort{asio::ip::address_v4::loopback(), 0};

/// Returns a SIP response. `further_headers` holds complete header lines.
std::string sip_response(int status, const std::string& id, const std::string& cseq, const std::string& via,
                         std::string_view further_headers, std::string_view body) {
  std::string message = "SIP/2.0 " + std::to_string(status) + (status == 200 ? " OK" : " No") +
                        "\r\nVia: " + via + "\r\nCall-ID: " + id + "\r\nCSeq: " + cseq + "\r\n";
  message.append(further_headers)
      .append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n");
  return message.append(body);
}

/// Returns the name of the router, which is the last word of its Via header.
std::string router_name(std::string_view via) {
  const auto space = via.rfind(' ');
  return std::string(space == std::string_view::npos ? via : via.substr(space + 1));
}

/// Returns the number of the attempt, which routers count in CSeq from 1, or 0 if it cannot be read.
std::int64_t attempt_number(std::string_view cseq) {
  std::int64_t number = 0;
  std::from_chars(cseq.data(), cseq.data() + cseq.size(), number);
  return number;
}

}  // namespace

// ---- session servers ------------------------------------------------------------------------------------

SipServer::SipServer(net::Loop& loop, RunContext& context, std::string name, ServerTraits traits,
                     std::uint64_t seed)
    : loop_(loop), context_(context), name_(std::move(name)), traits_(traits), random_(seed, name_) {}

SipServer::~SipServer() {
  for (auto& [id, call] : calls_) loop_.timers.cancel(call.timer);
  for (auto& [key, connection] : connections_) connection.stream->close();
}

asio::ip::tcp::endpoint SipServer::listen_for(const std::string& router) {
  auto& acceptor = acceptors_.emplace_back(loop_.io, kAnyPort);
  accept(acceptor, router);
  return acceptor.local_endpoint();
}

void SipServer::accept(asio::ip::tcp::acceptor& acceptor, const std::string& router) {
  acceptor.async_accept(
      [this, &acceptor, router](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
          auto stream = std::make_shared<net::TcpConnection>(loop_, *this);
          connections_[stream.get()] = {stream, router};
          stream->start_accepted(std::move(socket));
          stream->send(load_report());
          // Releases that the router has not confirmed are sent again on its next connection (the
          // operators' page PROTOCOL).
          std::erase_if(unconfirmed_releases_, [this](const Release& release) {
            return context_.now() - release.since > kReleaseRetention;
          });
          for (const auto& release : unconfirmed_releases_) {
            if (release.router == router) send_release(release, stream);
          }
        }
        accept(acceptor, router);
      });
}

std::string SipServer::load_report() const {
  // More lines than any run uses: only the processor limits these servers.
  constexpr std::size_t kLines = 10000;
  return "NOTIFY sip:router@net SIP/2.0\r\nVia: SIP/2.0/TCP " + name_ + "\r\nCall-ID: " + name_ +
         "\r\nCSeq: 1 NOTIFY\r\nX-Occupancy: idle:" + std::to_string(kLines - calls_.size()) +
         ";circuits:" + std::to_string(kLines) + "\r\nContent-Length: 0\r\n\r\n";
}

void SipServer::lose_calls() {
  for (auto& [id, call] : calls_) {
    loop_.timers.cancel(call.timer);
    if (call.description.empty()) record(EventKind::kBroken, id, call.router);
  }
  calls_.clear();
  unconfirmed_releases_.clear();
  set_ups_in_progress_ = 0;
}

void SipServer::send_release(const Release& release, const std::shared_ptr<net::TcpConnection>& preferred) {
  auto found = connections_.find(preferred.get());
  if (found == connections_.end()) {
    found = std::find_if(connections_.begin(), connections_.end(),
                         [&](const auto& item) { return item.second.router == release.router; });
  }
  if (found != connections_.end()) found->second.stream->send(release.text);
}

void SipServer::record(EventKind kind, const std::string& call, const std::string& router,
                       std::int64_t number, std::string text) {
  context_.record_event({context_.now(), name_, kind, call, router, number, std::move(text)});
}

std::size_t SipServer::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size()) {
    const auto message =
        sip::parse_sip_message({bytes.data() + consumed, bytes.size() - consumed}, net::kMaxMessageBytes);
    if (message.state == sip::SipParseResult::State::kIncomplete) break;
    if (message.state == sip::SipParseResult::State::kMalformed) {
      stream.fail(net::CloseReason::kReset);
      return bytes.size();
    }
    if (message.head.status == 0) {
      on_request(stream, message);
    } else if (message.head.method == "BYE") {
      std::erase_if(unconfirmed_releases_,
                    [&](const Release& release) { return release.id == message.head.call_id; });
    }
    if (stream.is_closed()) return bytes.size();
    consumed += message.size();
  }
  return consumed;
}

void SipServer::on_request(net::TcpConnection& stream, const sip::SipParseResult& message) {
  const auto& head = message.head;
  const std::string id(head.call_id);
  if (head.method == "INVITE") {
    on_invite(stream, message);
  } else if (head.method == "OPTIONS") {
    stream.send(sip::ok_response_head(head));
  } else if (head.method == "CANCEL") {
    stream.send(sip::ok_response_head(head));
    const auto found = calls_.find(id);
    // The answer crossed the CANCEL, so the router acknowledges the answer and releases the call.
    if (found == calls_.end() || !found->second.description.empty()) return;
    record(EventKind::kCancelled, id, found->second.router);
    loop_.timers.cancel(found->second.timer);
    calls_.erase(found);
    --set_ups_in_progress_;
  } else if (head.method == "BYE") {
    stream.send(sip::ok_response_head(head));
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.description.empty()) return;
    record(EventKind::kEnded, id, found->second.router);
    loop_.timers.cancel(found->second.timer);
    calls_.erase(found);
  }
}

void SipServer::on_invite(net::TcpConnection& stream, const sip::SipParseResult& message) {
  const auto& head = message.head;
  const std::string id(head.call_id);
  const auto router = router_name(head.via);
  record(EventKind::kInvite, id, router, attempt_number(head.cseq));
  const std::string via(head.via);
  const std::string cseq(head.cseq);
  if (set_ups_in_progress_ >= traits_.max_set_ups_in_progress || calls_.contains(id)) {
    record(EventKind::kDenied, id, router, 503);
    stream.send(sip_response(503, id, cseq, via, "X-Diagnosis: acc\r\n", ""));
    return;
  }
  ++set_ups_in_progress_;
  auto& call = calls_[id];
  call.connection = stream.weak_from_this();
  call.router = router;
  call.cseq = cseq;
  call.via = via;
  if (random_.chance(traits_.unanswered_share)) return;
  call.timer = loop_.run_after(random_duration(traits_.mean_answer_time), [this, id] { answer(id); });
}

void SipServer::answer(const std::string& id) {
  auto& call = calls_.at(id);
  call.description = name_ + "-" + std::to_string(++answer_count_) + "\r\nc=IN IP4 127.0.0.1\r\n";
  --set_ups_in_progress_;
  call.timer = loop_.run_after(random_duration(traits_.mean_call_time), [this, id] { hang_up(id); });
  const auto found = connections_.find(call.connection.lock().get());
  if (found == connections_.end()) return;
  record(EventKind::kAnswered, id, call.router, 0, call.description);
  found->second.stream->send(sip_response(200, id, call.cseq, call.via, "", call.description));
}

void SipServer::hang_up(const std::string& id) {
  const auto call = std::move(calls_.at(id));
  calls_.erase(id);
  record(EventKind::kHungUp, id, call.router);
  unconfirmed_releases_.push_back(
      {id, call.router,
       "BYE sip:router@net SIP/2.0\r\nVia: SIP/2.0/TCP " + name_ + "\r\nCall-ID: " + id +
           "\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n",
       context_.now()});
  send_release(unconfirmed_releases_.back(), call.connection.lock());
}

void SipServer::on_closed(net::TcpConnection& stream, net::CloseReason /*reason*/) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    auto& call = it->second;
    if (call.connection.lock().get() != &stream || !call.description.empty()) {
      ++it;
      continue;
    }
    // Set-ups in progress on a connection end when it closes (the operators' page PROTOCOL);
    // established calls continue.
    record(EventKind::kBroken, it->first, call.router);
    loop_.timers.cancel(call.timer);
    --set_ups_in_progress_;
    it = calls_.erase(it);
  }
  connections_.erase(&stream);
}

// ---- callers --------------------------------------------------------------------------------------------

Callers::Callers(net::Loop& loop, RunContext& context, std::string name, std::string router,
                 asio::ip::tcp::endpoint to, CallerTraits traits, std::uint64_t seed,
                 std::shared_ptr<EstablishedCalls> established)
    : loop_(loop),
      context_(context),
      name_(std::move(name)),
      router_(std::move(router)),
      to_(std::move(to)),
      traits_(traits),
      random_(seed, name_),
      established_(std::move(established)) {
  connect();
}

Callers::~Callers() {
  for (auto& [id, set_up] : pending_) loop_.timers.cancel(set_up.timer);
  loop_.timers.cancel(next_call_timer_);
  loop_.timers.cancel(piece_timer_);
  loop_.timers.cancel(retry_timer_);
  if (stream_) stream_->close();
}

void Callers::record(EventKind kind, const std::string& call, std::int64_t number, std::string text) {
  context_.record_event({context_.now(), name_, kind, call, router_, number, std::move(text)});
}

void Callers::connect() {
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->connect(to_, milliseconds{500});
}

void Callers::on_open(net::TcpConnection& /*stream*/) {
  is_open_ = true;
  record(EventKind::kConnected, "");
  if (is_probing_) request_readiness();
  for (auto& [id, set_up] : pending_)
    stream_->send(set_up.line);  // only set-ups that crossed a close are left
  for (auto count = std::exchange(calls_at_once_, 0); count > 0; --count) place_call();
}

void Callers::request_readiness() {
  is_ready_ = false;
  is_probing_ = true;
  if (is_open_)
    write_line("{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n", false, [] {});
}

void Callers::call_until(Duration end) {
  end_ = end;
  call();
}

void Callers::call() {
  if (context_.now() >= end_) return;
  // Callers are independent of each other, so the gaps between calls are exponentially distributed.
  const double gap = -std::log(1.0 - random_.uniform()) / traits_.calls_per_s;
  next_call_timer_ = loop_.run_after(Duration{static_cast<std::int64_t>(gap * 1e6)}, [this] { call(); });
  if (is_open_) place_call();
}

void Callers::place_call() {
  const auto id = random_.call_id();
  const auto timeout_ms = std::chrono::duration_cast<milliseconds>(traits_.timeout).count();
  const std::string line = "{\"msg\":\"open\",\"sid\":\"" + id +
                           "\",\"attrs\":{\"class\":\"till\",\"left\":\"" + std::to_string(timeout_ms) +
                           "\",\"tenant\":\"toko\",\"key\":\"" + id +
                           "\",\"extras\":\"dest:" + std::to_string(random_.below(traits_.destinations)) +
                           ";width:1;via:-1\"},\"text\":\"" + id + "\\r\\nc=IN IP4 127.0.0.1\\r\\n\"}\n";
  const bool gives_up_early = random_.chance(traits_.give_up_share);
  const Duration patience = gives_up_early
                                ? Duration{static_cast<std::int64_t>(
                                      static_cast<double>(traits_.timeout.count()) * random_.uniform() / 2)}
                                : traits_.timeout + kAnswerTolerance;
  write_line(line, random_.chance(traits_.pieces_share), [this, id, timeout_ms, line, patience] {
    record(EventKind::kSetUp, id, timeout_ms);
    auto& set_up = pending_[id];
    set_up.timer = loop_.run_after(patience, [this, id] { give_up(id); });
    set_up.sent_at = context_.now();
    set_up.line = line;
  });
}

void Callers::write_line(std::string line, bool in_pieces, std::function<void()> on_written) {
  outputs_.push_back({std::move(line), in_pieces, std::move(on_written)});
  if (outputs_.size() == 1) write_next_piece();
}

void Callers::write_next_piece() {
  while (!outputs_.empty() && is_open_) {
    auto& output = outputs_.front();
    constexpr std::size_t kPieces = 3;
    if (output.in_pieces && output.bytes.size() > kPieces) {
      const auto size = 1 + random_.below(output.bytes.size() / 2);
      record(EventKind::kPartWritten, "");
      stream_->send(output.bytes.substr(0, size));
      output.bytes.erase(0, size);
      const milliseconds gap{static_cast<std::int64_t>(random_.below(20))};
      piece_timer_ = loop_.run_after(gap, [this] { write_next_piece(); });
      return;
    }
    // The time of a request runs from its last byte.
    output.on_written();
    stream_->send(std::move(output.bytes));
    outputs_.pop_front();
  }
}

void Callers::schedule_leave(const std::string& id) {
  const milliseconds stay{static_cast<std::int64_t>(random_.below(3000))};
  loop_.run_after(stay, [this, id] {
    if (!is_open_ || established_->current.erase(id) == 0) return;
    established_->left.insert(id);
    record(EventKind::kLeft, id);
    write_line("{\"msg\":\"close\",\"sid\":\"" + id + "\",\"attrs\":{},\"code\":16}\n", false, [] {});
  });
}

void Callers::give_up(const std::string& id) {
  pending_.erase(id);
  record(EventKind::kGaveUp, id);
  if (is_open_)
    write_line("{\"msg\":\"close\",\"sid\":\"" + id + "\",\"attrs\":{},\"code\":16}\n", false, [] {});
}

std::size_t Callers::on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) {
  std::size_t consumed = 0;
  for (;;) {
    const auto rest = bytes.subspan(consumed);
    const auto end = std::find(rest.begin(), rest.end(), '\n');
    if (end == rest.end()) return consumed;
    const auto size = static_cast<std::size_t>(end - rest.begin());
    on_line(rest.first(size));
    consumed += size + 1;
  }
}

void Callers::on_line(std::span<char> line) {
  rapidjson::Document document;
  if (document.Parse(line.data(), line.size()).HasParseError() || !document.IsObject()) return;
  const auto text = [&document](const char* key) -> std::string {
    const auto member = document.FindMember(key);
    return member != document.MemberEnd() && member->value.IsString() ? member->value.GetString()
                                                                      : std::string();
  };
  const auto type = text("msg");
  const auto id = text("sid");
  const auto code = document.HasMember("code") && document["code"].IsInt() ? document["code"].GetInt() : 0;
  if (type == "probed") {
    is_ready_ = code == 1;
    if (!is_ready_) {
      loop_.timers.cancel(retry_timer_);
      retry_timer_ = loop_.run_after(milliseconds{20}, [this] { request_readiness(); });
    }
    return;
  }
  if (type == "ready") {
    if (const auto found = pending_.find(id); found != pending_.end()) {
      loop_.timers.cancel(found->second.timer);
      pending_.erase(found);
    }
    established_->current.insert(id);
    record(EventKind::kAnswer, id, 0, text("text"));
    if (random_.chance(traits_.leave_share)) schedule_leave(id);
    return;
  }
  if (type != "close") return;
  if (established_->current.erase(id) > 0) {
    record(EventKind::kReleased, id, code);
    return;
  }
  if (established_->left.contains(id)) return;  // the release crossed the end by the caller
  // Also recorded if it is a second answer or comes after the caller gave up; the checker decides on it.
  if (const auto found = pending_.find(id); found != pending_.end()) {
    loop_.timers.cancel(found->second.timer);
    pending_.erase(found);
  }
  const bool is_rejected = code == 34 || code == 42 || code == 102;
  std::int64_t wait = 0;
  if (document.HasMember("attrs") && document["attrs"].IsObject() && document["attrs"].HasMember("wait")) {
    wait = std::strtoll(document["attrs"]["wait"].GetString(), nullptr, 10);
  }
  record(is_rejected ? EventKind::kRejected : EventKind::kFailed, id, is_rejected ? wait : code);
}

void Callers::on_closed(net::TcpConnection& stream, net::CloseReason reason) {
  if (&stream != stream_.get()) return;
  if (std::exchange(is_open_, false)) record(EventKind::kDisconnected, "");
  outputs_.clear();  // the router has not taken what was not written whole
  loop_.timers.cancel(std::exchange(piece_timer_, 0));
  bool has_resend = false;
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& [id, set_up] = *it;
    // A set-up that was sent at most 50 ms before the router closed the connection is sent again, once, on a
    // new connection (the operators' page PROTOCOL).
    if (reason == net::CloseReason::kClosedByPeer && !set_up.is_resent &&
        context_.now() - set_up.sent_at <= kResendWindow) {
      if (!is_admitted_) {
        loop_.timers.cancel(set_up.timer);
        record(EventKind::kGaveUp, id, 0, "sent to another router");
        it = pending_.erase(it);
        continue;
      }
      has_resend = set_up.is_resent = true;
      ++it;
      continue;
    }
    loop_.timers.cancel(set_up.timer);
    record(EventKind::kLost, id, 0, reason == net::CloseReason::kConnectionRefused ? "refused" : "");
    it = pending_.erase(it);
  }
  reconnect_after(has_resend ? Duration{} : kReconnectDelay);
}

void Callers::reconnect_after(Duration delay) {
  loop_.timers.cancel(retry_timer_);
  retry_timer_ = loop_.run_after(delay, [this] {
    if (is_admitted_) {
      connect();
    } else {
      reconnect_after(kReconnectDelay);
    }
  });
}

void Callers::set_admitted(bool is_admitted) {
  is_admitted_ = is_admitted;
}

// ---- the command channel --------------------------------------------------------------------------------

CommandChannel::CommandChannel(net::Loop& loop, std::string first_event)
    : loop_(loop), reserved_port_(loop.io), acceptor_(loop.io), events_{std::move(first_event)} {
  net::bind_reusable_port(reserved_port_, kAnyPort);
  address_ = reserved_port_.local_endpoint();
  listen();
  send_heartbeat();
}

CommandChannel::~CommandChannel() {
  loop_.timers.cancel(heartbeat_timer_);
  for (auto& [key, stream] : connections_) stream->close();
}

void CommandChannel::listen() {
  net::bind_reusable_port(acceptor_, address_);
  acceptor_.listen();
  accept();
}

void CommandChannel::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto stream = std::make_shared<net::TcpConnection>(loop_, *this);
      connections_[stream.get()] = stream;
      stream->start_accepted(std::move(socket));
    }
    accept();
  });
}

void CommandChannel::close_connections() {
  subscribers_.clear();
  for (const auto& [key, stream] : std::exchange(connections_, {})) stream->reset();
}

void CommandChannel::set_silent(bool is_silent) {
  is_silent_ = is_silent;
  // Subscribers ask again for what they have missed.
  if (!is_silent) close_connections();
}

void CommandChannel::set_down(bool is_down) {
  if (is_down == !acceptor_.is_open()) return;
  if (is_down) {
    acceptor_.close();
    close_connections();
    return;
  }
  listen();
}

std::string CommandChannel::event_json(std::size_t index) const {
  return "{\"cursor\":" + std::to_string(index + 1) + ",\"nodes\":" + events_[index] + "}";
}

std::string CommandChannel::known_events() const {
  std::string all;
  for (std::size_t i = 0; i < events_.size(); ++i) all += (i == 0 ? "" : ",") + event_json(i);
  return "{\"cursor\":" + std::to_string(events_.size()) + ",\"cmds\":[" + all + "]}";
}

void CommandChannel::publish(const std::string& nodes) {
  events_.push_back(nodes);
  if (is_silent_) return;
  const auto last = events_.size() - 1;
  for (auto& [key, stream] : subscribers_) {
    stream->send("id: " + std::to_string(last + 1) + "\ndata: " + event_json(last) + "\n\n");
  }
}

void CommandChannel::send_heartbeat() {
  for (auto& [key, stream] : subscribers_) {
    if (!is_silent_) stream->send(": beat\n\n");
  }
  heartbeat_timer_ = loop_.run_after(std::chrono::seconds{1}, [this] { send_heartbeat(); });
}

std::size_t CommandChannel::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const std::string_view text(bytes.data(), bytes.size());
  if (is_silent_) return bytes.size();
  if (text.find("\r\n\r\n") == std::string_view::npos) return 0;
  const auto position = text.find("Last-Event-ID: ");
  const auto last =
      position == std::string_view::npos ? 0 : std::strtoull(text.data() + position + 15, nullptr, 10);
  std::string reply = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  for (std::size_t i = last; i < events_.size(); ++i) {
    reply += "id: " + std::to_string(i + 1) + "\ndata: " + event_json(i) + "\n\n";
  }
  stream.send(std::move(reply));
  subscribers_[&stream] = connections_.at(&stream);
  return bytes.size();
}

void CommandChannel::on_closed(net::TcpConnection& stream, net::CloseReason /*reason*/) {
  subscribers_.erase(&stream);
  connections_.erase(&stream);
}

}  // namespace amberknot::lab::fleet
