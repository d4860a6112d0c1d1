#include "lab/fleet/stand_ins.hpp"

#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace amberknot::lab::fleet {

using std::chrono::milliseconds;

namespace {

constexpr Duration kReleaseKept = std::chrono::seconds{8};
constexpr Duration kCrossing = milliseconds{50};
constexpr Duration kReconnect = milliseconds{30};
const asio::ip::tcp::endpoint kAnyPort{asio::ip::address_v4::loopback(), 0};

std::string status_line(int status, const std::string& id, const std::string& cseq, const std::string& via,
                        std::string_view more, std::string_view body) {
  std::string head = "SIP/2.0 " + std::to_string(status) + (status == 200 ? " OK" : " No") +
                     "\r\nVia: " + via + "\r\nCall-ID: " + id + "\r\nCSeq: " + cseq + "\r\n";
  head.append(more).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return head.append(body);
}

/// The router's own name is the last word of its Via.
std::string router_of(std::string_view via) {
  const auto space = via.rfind(' ');
  return std::string(space == std::string_view::npos ? via : via.substr(space + 1));
}

/// Routers number a call's attempts in CSeq, from 1; 0: unreadable.
std::int64_t attempt_number(std::string_view cseq) {
  std::int64_t number = 0;
  std::from_chars(cseq.data(), cseq.data() + cseq.size(), number);
  return number;
}

}  // namespace

// ---- session servers ------------------------------------------------------------------------------------

SipServer::SipServer(net::Loop& loop, Scene& scene, std::string name, ServerTraits traits, std::uint64_t seed)
    : loop_(loop), scene_(scene), name_(std::move(name)), traits_(traits), random_(seed, name_) {}

SipServer::~SipServer() {
  for (auto& [id, call] : calls_) loop_.wheel.cancel(call.timer);
  for (auto& [key, one] : connections_) one.stream->close();
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
          stream->adopt(std::move(socket));
          // What concerned this router and was not heard is said again on the next connection (PROTOCOL).
          std::erase_if(releases_,
                        [this](const Release& one) { return scene_.now() - one.since > kReleaseKept; });
          for (const auto& one : releases_) {
            if (one.router == router) send_release(one, stream);
          }
        }
        accept(acceptor, router);
      });
}

void SipServer::send_release(const Release& release, const std::shared_ptr<net::TcpConnection>& preferred) {
  auto found = connections_.find(preferred.get());
  if (found == connections_.end()) {
    found = std::find_if(connections_.begin(), connections_.end(),
                         [&](const auto& item) { return item.second.router == release.router; });
  }
  if (found != connections_.end()) found->second.stream->send(release.text);
}

void SipServer::note(What what, const std::string& call, const std::string& router, std::int64_t number,
                     std::string text) {
  scene_.note({scene_.now(), name_, what, call, router, number, std::move(text)});
}

std::size_t SipServer::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size()) {
    const auto read = sip::read_sip({bytes.data() + taken, bytes.size() - taken}, net::kMaxMessage);
    if (read.state == sip::SipRead::State::kMore) break;
    if (read.state == sip::SipRead::State::kBad) {
      stream.fail(net::CloseReason::kReset);
      return bytes.size();
    }
    if (read.head.status == 0) {
      on_request(stream, read);
    } else if (read.head.method == "BYE") {
      std::erase_if(releases_, [&](const Release& one) { return one.id == read.head.call_id; });
    }
    if (stream.is_closed()) return bytes.size();
    taken += read.size();
  }
  return taken;
}

void SipServer::on_request(net::TcpConnection& stream, const sip::SipRead& read) {
  const auto& head = read.head;
  const std::string id(head.call_id);
  if (head.method == "INVITE") {
    on_invite(stream, read);
  } else if (head.method == "OPTIONS") {
    stream.send(sip::ok_head(head));
  } else if (head.method == "CANCEL") {
    stream.send(sip::ok_head(head));
    const auto found = calls_.find(id);
    // An answer that crossed it: the router acknowledges and releases.
    if (found == calls_.end() || !found->second.description.empty()) return;
    note(What::kCancelled, id, found->second.router);
    loop_.wheel.cancel(found->second.timer);
    calls_.erase(found);
    --working_;
  } else if (head.method == "BYE") {
    stream.send(sip::ok_head(head));
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.description.empty()) return;
    note(What::kEnded, id, found->second.router);
    loop_.wheel.cancel(found->second.timer);
    calls_.erase(found);
  }
}

void SipServer::on_invite(net::TcpConnection& stream, const sip::SipRead& read) {
  const auto& head = read.head;
  const std::string id(head.call_id);
  const auto router = router_of(head.via);
  note(What::kInvite, id, router, attempt_number(head.cseq));
  const std::string via(head.via);
  const std::string cseq(head.cseq);
  if (working_ >= traits_.max_out || calls_.contains(id)) {
    note(What::kDenied, id, router, 503);
    stream.send(status_line(503, id, cseq, via, "X-Diagnosis: acc\r\n", ""));
    return;
  }
  ++working_;
  auto& call = calls_[id];
  call.connection = stream.weak_from_this();
  call.router = router;
  call.cseq = cseq;
  call.via = via;
  if (random_.chance(traits_.silent)) return;
  call.timer = loop_.after(drawn(traits_.work), [this, id] { answer(id); });
}

void SipServer::answer(const std::string& id) {
  auto& call = calls_.at(id);
  call.description = name_ + "-" + std::to_string(++answers_) + "\r\nc=IN IP4 127.0.0.1\r\n";
  --working_;
  call.timer = loop_.after(drawn(traits_.hold), [this, id] { hang_up(id); });
  const auto found = connections_.find(call.connection.lock().get());
  if (found == connections_.end()) return;
  note(What::kAnswered, id, call.router, 0, call.description);
  found->second.stream->send(status_line(200, id, call.cseq, call.via, "", call.description));
}

void SipServer::hang_up(const std::string& id) {
  const auto call = std::move(calls_.at(id));
  calls_.erase(id);
  note(What::kHungUp, id, call.router);
  releases_.push_back({id, call.router,
                       "BYE sip:router@net SIP/2.0\r\nVia: SIP/2.0/TCP " + name_ + "\r\nCall-ID: " + id +
                           "\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n",
                       scene_.now()});
  send_release(releases_.back(), call.connection.lock());
}

void SipServer::on_closed(net::TcpConnection& stream, net::CloseReason /*why*/) {
  for (auto at = calls_.begin(); at != calls_.end();) {
    auto& call = at->second;
    if (call.connection.lock().get() != &stream || !call.description.empty()) {
      ++at;
      continue;
    }
    // The set-ups open on a connection are given up when it is closed (PROTOCOL); what stands goes on.
    note(What::kBroken, at->first, call.router);
    loop_.wheel.cancel(call.timer);
    --working_;
    at = calls_.erase(at);
  }
  connections_.erase(&stream);
}

// ---- callers --------------------------------------------------------------------------------------------

Callers::Callers(net::Loop& loop, Scene& scene, std::string name, std::string router,
                 asio::ip::tcp::endpoint to, double calls_per_s, Duration patience, std::uint64_t seed)
    : loop_(loop),
      scene_(scene),
      name_(std::move(name)),
      router_(std::move(router)),
      to_(std::move(to)),
      calls_per_s_(calls_per_s),
      patience_(patience),
      random_(seed, name_) {
  connect();
}

Callers::~Callers() {
  for (auto& [id, one] : waiting_) loop_.wheel.cancel(one.timer);
  loop_.wheel.cancel(next_);
  loop_.wheel.cancel(again_);
  if (stream_) stream_->close();
}

void Callers::note(What what, const std::string& call, std::int64_t number, std::string text) {
  scene_.note({scene_.now(), name_, what, call, router_, number, std::move(text)});
}

void Callers::connect() {
  stream_ = std::make_shared<net::TcpConnection>(loop_, *this);
  stream_->connect(to_, milliseconds{500});
}

void Callers::on_open(net::TcpConnection& /*stream*/) {
  open_ = true;
  if (asking_) ask_ready();
  for (auto& [id, one] : waiting_) stream_->send(one.line);  // only what crossed a close is left
}

void Callers::ask_ready() {
  ready_ = false;
  asking_ = true;
  if (open_) stream_->send("{\"msg\":\"probe\",\"sid\":\"00000000000000ff\",\"attrs\":{},\"code\":0}\n");
}

void Callers::call_until(Duration end) {
  end_ = end;
  call();
}

void Callers::call() {
  if (scene_.now() >= end_) return;
  // Exponential gaps: callers know nothing of each other.
  const double gap = -std::log(1.0 - random_.share()) / calls_per_s_;
  next_ = loop_.after(Duration{static_cast<std::int64_t>(gap * 1e6)}, [this] { call(); });
  if (!open_) return;
  const auto id = random_.call_id();
  const auto left = std::chrono::duration_cast<milliseconds>(patience_).count();
  note(What::kSetUp, id, left);
  auto& one = waiting_[id];
  one.timer = loop_.after(patience_, [this, id] { give_up(id); });
  one.sent = scene_.now();
  one.line = "{\"msg\":\"open\",\"sid\":\"" + id + "\",\"attrs\":{\"class\":\"till\",\"left\":\"" +
             std::to_string(left) + "\",\"tenant\":\"toko\",\"key\":\"" + id +
             "\",\"extras\":\"dest:0;width:1;via:-1\"},\"text\":\"" + id +
             "\\r\\nc=IN IP4 127.0.0.1\\r\\n\"}\n";
  stream_->send(one.line);
}

void Callers::give_up(const std::string& id) {
  waiting_.erase(id);
  note(What::kGaveUp, id);
  if (open_) stream_->send("{\"msg\":\"close\",\"sid\":\"" + id + "\",\"attrs\":{},\"code\":16}\n");
}

std::size_t Callers::on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) {
  std::size_t taken = 0;
  for (;;) {
    const auto rest = bytes.subspan(taken);
    const auto end = std::find(rest.begin(), rest.end(), '\n');
    if (end == rest.end()) return taken;
    const auto size = static_cast<std::size_t>(end - rest.begin());
    on_line(rest.first(size));
    taken += size + 1;
  }
}

void Callers::on_line(std::span<char> line) {
  rapidjson::Document read;
  if (read.Parse(line.data(), line.size()).HasParseError() || !read.IsObject()) return;
  const auto text = [&read](const char* key) -> std::string {
    const auto at = read.FindMember(key);
    return at != read.MemberEnd() && at->value.IsString() ? at->value.GetString() : std::string();
  };
  const auto type = text("msg");
  const auto id = text("sid");
  const auto code = read.HasMember("code") && read["code"].IsInt() ? read["code"].GetInt() : 0;
  if (type == "probed") {
    ready_ = code == 1;
    if (!ready_) {
      loop_.wheel.cancel(again_);
      again_ = loop_.after(milliseconds{20}, [this] { ask_ready(); });
    }
    return;
  }
  if (type == "ready") {
    if (const auto found = waiting_.find(id); found != waiting_.end()) {
      loop_.wheel.cancel(found->second.timer);
      waiting_.erase(found);
    }
    standing_.insert(id);
    note(What::kAnswer, id, 0, text("text"));
    return;
  }
  if (type != "close") return;
  if (standing_.erase(id) > 0) {
    note(What::kReleased, id, code);
    return;
  }
  // Noted also where it comes a second time or after the caller gave up: the checker judges.
  if (const auto found = waiting_.find(id); found != waiting_.end()) {
    loop_.wheel.cancel(found->second.timer);
    waiting_.erase(found);
  }
  const bool refused = code == 34 || code == 42 || code == 102;
  std::int64_t wait = 0;
  if (read.HasMember("attrs") && read["attrs"].IsObject() && read["attrs"].HasMember("wait")) {
    wait = std::strtoll(read["attrs"]["wait"].GetString(), nullptr, 10);
  }
  note(refused ? What::kRefused : What::kFailed, id, refused ? wait : code);
}

void Callers::on_closed(net::TcpConnection& stream, net::CloseReason why) {
  if (&stream != stream_.get()) return;
  open_ = false;
  bool crossed = false;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    auto& [id, one] = *at;
    // A set-up that crosses the router's close within 50 ms is sent again on a new connection, once
    // (PROTOCOL).
    if (why == net::CloseReason::kEnded && !one.resent && scene_.now() - one.sent <= kCrossing) {
      crossed = one.resent = true;
      ++at;
      continue;
    }
    loop_.wheel.cancel(one.timer);
    note(What::kLost, id);
    at = waiting_.erase(at);
  }
  loop_.wheel.cancel(again_);
  again_ = loop_.after(crossed ? Duration{} : kReconnect, [this] { connect(); });
}

// ---- the command channel --------------------------------------------------------------------------------

Channel::Channel(net::Loop& loop, std::string first_event)
    : loop_(loop), acceptor_(loop.io, kAnyPort), events_{std::move(first_event)} {
  accept();
  beat();
}

Channel::~Channel() {
  loop_.wheel.cancel(beat_);
  for (auto& [key, stream] : open_) stream->close();
}

void Channel::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error) {
      auto stream = std::make_shared<net::TcpConnection>(loop_, *this);
      open_[stream.get()] = stream;
      stream->adopt(std::move(socket));
    }
    accept();
  });
}

std::string Channel::text_of(std::size_t event) const {
  return "{\"cursor\":" + std::to_string(event + 1) + ",\"nodes\":" + events_[event] + "}";
}

std::string Channel::known() const {
  std::string all;
  for (std::size_t i = 0; i < events_.size(); ++i) all += (i == 0 ? "" : ",") + text_of(i);
  return "{\"cursor\":" + std::to_string(events_.size()) + ",\"cmds\":[" + all + "]}";
}

void Channel::tell(const std::string& nodes) {
  events_.push_back(nodes);
  const auto last = events_.size() - 1;
  for (auto& [key, stream] : listening_) {
    stream->send("id: " + std::to_string(last + 1) + "\ndata: " + text_of(last) + "\n\n");
  }
}

void Channel::beat() {
  for (auto& [key, stream] : listening_) stream->send(": beat\n\n");
  beat_ = loop_.after(std::chrono::seconds{1}, [this] { beat(); });
}

std::size_t Channel::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  const std::string_view text(bytes.data(), bytes.size());
  if (text.find("\r\n\r\n") == std::string_view::npos) return 0;
  const auto at = text.find("Last-Event-ID: ");
  const auto last = at == std::string_view::npos ? 0 : std::strtoull(text.data() + at + 15, nullptr, 10);
  std::string reply = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  for (std::size_t i = last; i < events_.size(); ++i) {
    reply += "id: " + std::to_string(i + 1) + "\ndata: " + text_of(i) + "\n\n";
  }
  stream.send(std::move(reply));
  listening_[&stream] = open_.at(&stream);
  return bytes.size();
}

void Channel::on_closed(net::TcpConnection& stream, net::CloseReason /*why*/) {
  listening_.erase(&stream);
  open_.erase(&stream);
}

}  // namespace amberknot::lab::fleet
