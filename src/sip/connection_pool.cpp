#include "sip/connection_pool.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "net/log.hpp"

namespace amberknot::sip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWarmLinks = 2;
constexpr std::size_t kMaxLinks = 4;  // a server tells its state on no more
constexpr Duration kMinBackoff = milliseconds{100};
constexpr Duration kMaxBackoff = seconds{1};
// A link that ends sooner has not shown that the server takes links again.
constexpr Duration kShortLife = milliseconds{500};
// A probe unanswered this long is told as timed out: it waits in a queue or is lost.
constexpr Duration kProbeLimit = milliseconds{250};
// A release not confirmed when its link is lost is told again, up to this age.
constexpr Duration kByeDoubt = seconds{3};
// So long a server's release counts as told if it could not be sent before (PROTOCOL).
constexpr Duration kUntold = seconds{8};
constexpr std::size_t kMaxByes = 256;
// The start of a message whose rest does not come: the link is cut.
constexpr Duration kHalfMessage = milliseconds{400};
// Set-ups sent so much later have been answered, and so long ago: what is out on a silent link is lost.
constexpr Duration kOvertakenBy = milliseconds{60};
constexpr Duration kOvertakenFor = milliseconds{60};
// The same while answers go on by other links, or where all that was out on it has been called off. Cutting a
// link loses the releases that are on their way in it, so it is cut late, and others are chosen meanwhile.
constexpr Duration kDoubtedFor = seconds{3};
constexpr Duration kWatchEvery = milliseconds{20};
// So many refusals in a row, and no link left, show that no process listens there any more.
constexpr int kRefusalsOfDeath = 2;
// A second answer to an attempt may come some milliseconds after the first; by then it is long over.
constexpr Duration kSecondAnswer = seconds{1};
// A set-up given up when a part of it was written, and whose rest waits on a blocked link: its client has
// left, and 0.3 s later nothing is sent on for it (STANDING). The link is cut before.
constexpr Duration kTornFor = milliseconds{200};
// A connection may come up so long after its time (STANDING, join+mass: up to 1 s late). What waits on it is
// not kept so long; the connection is, since its server may have taken it for open before we see that, and
// told a release on it that it tells on no other.
constexpr Duration kLateUp = seconds{1};
constexpr std::size_t kMaxLate = 2;  // a machine that is cut off must not hold the other servers' places
// A link that we gave up is read on until its server closes it too, so long at least, and longer while calls
// stand that came by it: their releases are told there. Each holds a descriptor.
constexpr Duration kHalfClosedFor = kUntold;
constexpr std::size_t kMaxHalfClosed = 4;
// Until then another link is opened so often: what is told by the one given up may be lost, a server tells it
// again on the next one that opens, and that one may meet the same fault. Several times within kUntold.
constexpr Duration kSeekEvery = seconds{2};
// A set-up that never left is moved from one lost link to the next so many times.
constexpr int kMaxResent = 3;

}  // namespace

/// One connection to a server, and what left by it.
struct ConnectionPool::Link : net::TcpConnection::Owner, std::enable_shared_from_this<Link> {
  Link(ConnectionPool& all, Server& server) : all(all), server(server) {}
  void on_open(net::TcpConnection& /*stream*/) override { all.link_open(*this); }
  void on_late(net::TcpConnection& /*stream*/) override { all.link_late(*this); }
  std::size_t on_bytes(net::TcpConnection& /*stream*/, std::span<char> bytes) override {
    return all.link_bytes(*this, bytes);
  }
  void on_closed(net::TcpConnection& /*stream*/, net::CloseReason why) override {
    all.link_closed(*this, why);
  }

  struct Bye {
    std::string id;
    std::string text;
    Instant sent{};
  };
  ConnectionPool& all;
  Server& server;
  std::shared_ptr<net::TcpConnection> stream;
  std::vector<core::AttemptRef> out;  ///< in the order in which they were queued
  std::deque<Bye> byes;               ///< not yet confirmed
  std::size_t standing = 0;           ///< calls that came by it and stand
  int resent = 0;                     ///< how often what waits on it has been moved, at most
  Instant up{};
  bool late = false;                  ///< not up in its time; nothing waits for it
  std::optional<Instant> half_since;  ///< the start of a message is there, and not its end
  /// When the first set-up left by it of all since which nothing has been heard on it. Outlives the set-up:
  /// one that was called off unanswered tells as much of the link as one that is out.
  std::optional<Instant> silent_since;
  /// A set-up that was given up half written: the link sends its rest, or is cut.
  std::optional<std::pair<net::TcpConnection::Tag, Instant>> torn;
  std::optional<Instant> half_closed_at;  ///< when we gave it up; nothing is sent by it any more
  std::optional<Instant> overtaken_at;    ///< when later set-ups by other links had been answered

  [[nodiscard]] bool is_usable() const { return stream->is_open() && !half_since; }
  /// It may be stalled: other links are to be preferred.
  [[nodiscard]] bool is_doubted() const { return overtaken_at || (silent_since && out.empty()); }
};

struct ConnectionPool::Server {
  explicit Server(ServerId id) : id(id) {}
  ServerId id;
  std::string address;
  bool wanted = false;
  std::vector<std::shared_ptr<Link>> links;  // connecting and open
  HalfClosed half_closed;
  std::size_t turn = 0;
  Duration backoff = kMinBackoff;
  core::TimerWheel::Handle retry = 0;
  int refusals = 0;         // in a row
  Instant answered_sent{};  // when the latest set-up that has been answered was sent
  Instant answered_at{};    // and since when that is known
  std::deque<std::pair<std::string, std::string>> pending;  // releases that no link could take
  /// When a link broke while calls stood: releases in it are told again on the next link that opens, and only
  /// there (PROTOCOL). Empty: one has opened since.
  std::optional<Instant> untold_since;
  Instant sought_at{};  // when a link was opened last since one that was given up is not closed by the server

  [[nodiscard]] std::size_t open_links() const {
    return static_cast<std::size_t>(
        std::count_if(links.begin(), links.end(), [](const auto& link) { return link->stream->is_open(); }));
  }
  /// Open, or coming up in their time.
  [[nodiscard]] std::size_t counted_links() const {
    return static_cast<std::size_t>(
        std::count_if(links.begin(), links.end(), [](const auto& link) { return !link->late; }));
  }
};

ConnectionPool::ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                               core::Counters& counters, const net::ResourceLimits& bounds,
                               std::string own_name, Duration connect_limit)
    : loop_(loop),
      table_(table),
      servers_(servers),
      counters_(counters),
      bounds_(bounds),
      own_name_(std::move(own_name)),
      connect_limit_(connect_limit) {
  watch_links();
}

ConnectionPool::~ConnectionPool() {
  for (auto& [id, server] : by_id_) {
    for (auto& link : server->links) link->stream->close();
    for (auto& link : server->half_closed) link->stream->close();
  }
}

ConnectionPool::Server& ConnectionPool::of(ServerId id) {
  auto& server = by_id_[id];
  if (!server) server = std::make_unique<Server>(id);
  return *server;
}

void ConnectionPool::on_endpoint_changed(const core::Endpoint& listed) {
  auto& server = of(listed.id);
  const bool moved = !server.address.empty() && server.address != listed.address;
  server.address = listed.address;
  std::vector<core::AttemptRef> back;
  if (listed.state != EndpointState::kReady || moved) {
    // The drain rule binds at the write: what still waits on a connecting or blocked socket never leaves. Nor
    // does it go to an address that the server has left.
    for (const auto& link : server.links) {
      for (const auto& ref : link->out) {
        if (link->stream->take_back(tag(ref))) back.push_back(ref);
      }
    }
    counters_.withdrawn += back.size();
    for (const auto& ref : back) drop(find(ref));
  }
  server.wanted = listed.state != EndpointState::kRemoved;
  std::vector<std::shared_ptr<Link>> closed;
  if (!server.wanted || moved) {
    closed = std::exchange(server.links, {});
    links_ -= closed.size() + server.half_closed.size();
    for (const auto& link : closed) link->stream->close();
    for (const auto& link : std::exchange(server.half_closed, {})) link->stream->close();
  }
  if (!server.wanted) {
    server.pending.clear();
    loop_.wheel.cancel(std::exchange(server.retry, 0));
  }
  if (server.wanted) keep_warm(server);
  // Told last: what ends is placed anew at once, and must not find the old links.
  for (const auto& ref : back)
    table_.on_attempt_ended(ref, {Outcome::kNotSent, core::Cause::kOutOfOrder, false, {}});
  for (const auto& link : closed) end_on(*link, Outcome::kReset);
}

void ConnectionPool::forget_server(ServerId id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  auto& server = *found->second;
  loop_.wheel.cancel(server.retry);
  for (const auto& link : server.links) link->stream->close();
  for (const auto& link : server.half_closed) link->stream->close();
  links_ -= server.links.size() + server.half_closed.size();
  std::vector<std::string> probes;
  for (const auto& [key, probe] : pending_health_checks_) {
    if (probe.server == id) probes.push_back(key);
  }
  for (const auto& key : probes) {
    loop_.wheel.cancel(pending_health_checks_.at(key).limit);
    pending_health_checks_.erase(key);
  }
  by_id_.erase(found);
}

// ---- links ----------------------------------------------------------------------------------------------

void ConnectionPool::keep_warm(Server& server) {
  if (!server.wanted || server.retry != 0) return;
  const auto one_more = [&server] {
    if (server.links.size() < kWarmLinks) return true;
    if (!server.untold_since || server.counted_links() >= kMaxLinks) return false;
    return server.open_links() == server.counted_links();  // else one is coming up already
  };
  while (one_more()) {
    const auto had = server.links.size();
    connect(server);
    if (server.links.size() == had) return;
  }
}

void ConnectionPool::connect(Server& server) {
  const auto to = net::read_endpoint(server.address);
  if (!to) {
    net::log::warn("server address cannot be read: ", server.address);
    return;
  }
  // The first link to a server is not denied: the list of servers is short.
  if (links_ >= bounds_.upstream_connections && !close_oldest_half_closed() && !server.links.empty()) return;
  auto link = std::make_shared<Link>(*this, server);
  link->stream = std::make_shared<net::TcpConnection>(loop_, *link);
  server.links.push_back(link);
  ++links_;
  link->stream->connect(*to, connect_limit_, kLateUp);
}

// The open link with the fewest set-ups out, so that one spoilt answer or reset takes few others along; with
// some out on each, one more is opened for those to come. Without an open link one that is coming up, or a
// new one, backoff or not.
std::shared_ptr<ConnectionPool::Link> ConnectionPool::pick_link(Server& server, const Link* avoid) {
  std::shared_ptr<Link> best;
  std::shared_ptr<Link> avoided;
  const std::size_t count = server.links.size();
  for (std::size_t i = 0; i < count; ++i) {
    const auto& link = server.links[(server.turn + i) % count];
    const auto rank = [](const Link& one) { return std::pair(one.is_doubted(), one.out.size()); };
    const bool better = link.get() == avoid || !best || rank(*link) < rank(*best);
    // Closed by the server, and we have not read so far: what is written now would be reset unread.
    if (!better || !link->is_usable() || link->stream->has_ended()) continue;
    (link.get() == avoid ? avoided : best) = link;
  }
  ++server.turn;
  const bool room = server.counted_links() < kMaxLinks;
  if (best) {
    if (!best->out.empty() && server.wanted && server.retry == 0 && room) connect(server);
    return best;
  }
  const auto coming = std::find_if(server.links.begin(), server.links.end(), [](const auto& link) {
    return !link->late && !link->stream->is_closed() && !link->stream->is_open() && !link->half_since;
  });
  if (coming != server.links.end()) return *coming;
  if (!avoided || room) connect(server);
  return server.links.size() > count ? server.links.back() : avoided;
}

const ConnectionPool::Link* ConnectionPool::over_on(const core::AttemptRef& attempt) const {
  if (attempt.attempt == 0) return nullptr;
  for (auto one = over_.rbegin(); one != over_.rend(); ++one) {
    if (one->call != attempt.call) continue;
    if (const auto link = one->link.lock(); link && link->server.id == attempt.server) return link.get();
  }
  return nullptr;
}

void ConnectionPool::link_open(Link& link) {
  auto& server = link.server;
  link.up = net::Loop::now();
  if (std::exchange(link.late, false)) ++counters_.late_connections;
  server.refusals = 0;
  server.untold_since.reset();
  net::log::debug("link up: ", servers_.find(server.id)->name);
  for (auto& [id, bye] : std::exchange(server.pending, {})) send_bye(server, std::move(id), std::move(bye));
}

// What never left goes by another link: it is no attempt's end. Only with nothing to go by is it one. A
// refusal, or silence for the whole time, says that there is nothing; a reset of a new link does not.
void ConnectionPool::move_unsent(Link& link, bool dead) {
  auto& server = link.server;
  auto unsent = link.stream->take_unsent();
  const bool again = server.wanted && (server.open_links() > 0 || !dead);
  std::vector<core::AttemptRef> stranded;
  for (auto& message : unsent) {
    if (message.tag == 0) continue;
    const auto ref = std::find_if(link.out.begin(), link.out.end(),
                                  [&](const auto& one) { return tag(one) == message.tag; });
    if (ref == link.out.end()) continue;
    const auto attempt = find(*ref);
    const auto other = again && link.resent < kMaxResent ? pick_link(server) : nullptr;
    if (attempt == attempts_.end() || !other) {
      stranded.push_back(*ref);
      continue;
    }
    ++counters_.moved;
    other->resent = std::max(other->resent, link.resent + 1);
    other->out.push_back(*ref);
    attempt->second.link = other;
    attempt->second.sent = net::Loop::now();
    if (!other->silent_since) other->silent_since = attempt->second.sent;
    link.out.erase(ref);
    other->stream->send(std::move(message.head), std::move(message.body), message.tag);
  }
  for (const auto& ref : stranded) {
    const auto attempt = find(ref);
    if (attempt == attempts_.end()) continue;
    drop(attempt);
    table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kTemporaryFailure, false, {}});
  }
}

void ConnectionPool::link_late(Link& link) {
  auto& server = link.server;
  const auto keep = link.shared_from_this();
  net::log::debug("link late: ", servers_.find(server.id)->name);
  link.late = true;
  link.silent_since.reset();  // nothing left by it
  move_unsent(link, true);
  end_on(link, Outcome::kConnectFailed);
  for (auto& bye : std::exchange(link.byes, {})) send_bye(server, std::move(bye.id), std::move(bye.text));
  if (server.links.size() - server.counted_links() > kMaxLate) {
    link.stream->fail(net::CloseReason::kNeverUp);
    return;
  }
  // A server that tells releases on the next link that opens may never see this one: another one is opened.
  keep_warm(server);
}

void ConnectionPool::link_closed(Link& gone, net::CloseReason why) {
  if (gone.half_closed_at) {
    half_closed_ended(gone, why);
    return;
  }
  auto& server = gone.server;
  const auto at = std::find_if(server.links.begin(), server.links.end(),
                               [&](const auto& link) { return link.get() == &gone; });
  if (at == server.links.end()) return;
  const auto link = *at;  // keeps it alive
  server.links.erase(at);
  --links_;
  on_lost(*link, why);
}

void ConnectionPool::on_lost(Link& link, net::CloseReason why) {
  auto& server = link.server;
  const Instant now = net::Loop::now();
  const bool was_up = link.up != Instant{};
  if (was_up) {
    net::log::info(log_link_, "link to ", servers_.find(server.id)->name, " ", name(why));
  } else {
    net::log::debug("no link to ", servers_.find(server.id)->name, ": ", name(why));
  }
  server.refusals = why == net::CloseReason::kRefused ? server.refusals + 1 : 0;

  move_unsent(link, why == net::CloseReason::kRefused || why == net::CloseReason::kNeverUp);
  // A link that was lost leaves what it carried in doubt.
  end_on(link, was_up ? Outcome::kReset : Outcome::kConnectFailed);
  for (auto& bye : std::exchange(link.byes, {})) {
    if (now - bye.sent < kByeDoubt) send_bye(server, std::move(bye.id), std::move(bye.text));
  }
  // What stood has been cut, and nobody is left who could say so.
  if (server.refusals >= kRefusalsOfDeath && server.open_links() == 0) {
    table_.abort_all(server.id, "connection refused");
  }
  const bool stands = stands_at(server.id);
  if (was_up && why != net::CloseReason::kEnded && stands) server.untold_since = now;
  if (!stands || (server.untold_since && now - *server.untold_since > kUntold)) server.untold_since.reset();
  // Callers are owed a release within 1 s: a pause that is longer, begun by another link, is not waited for.
  if (server.untold_since) {
    loop_.wheel.cancel(std::exchange(server.retry, 0));
    server.backoff = kMinBackoff;
  }
  if (!server.wanted || server.retry != 0) return;
  if (was_up && now - link.up >= kShortLife) {
    server.backoff = kMinBackoff;
    keep_warm(server);
    return;
  }
  server.retry = loop_.after(server.backoff, [this, &server] {
    server.retry = 0;
    keep_warm(server);
  });
  server.backoff = std::min(server.backoff * 2, kMaxBackoff);
}

// A server tells a release on the link of its set-up, and on the next one that opens. While what we said does
// not reach it, it takes a link that we gave up for open, after the next one has opened too: closed at our
// side, its releases would be lost for good.
void ConnectionPool::half_close(Link& link, net::CloseReason why) {
  auto& server = link.server;
  const auto keep = link.shared_from_this();
  if (links_ >= bounds_.upstream_connections || !link.stream->is_open()) {
    link.stream->fail(why);
    return;
  }
  if (server.half_closed.size() >= kMaxHalfClosed) close_half_closed(server, server.half_closed.begin());
  std::erase(server.links, keep);
  server.half_closed.push_back(keep);
  link.half_closed_at = net::Loop::now();
  on_lost(link, why);
  link.stream->close_output();
}

void ConnectionPool::half_closed_ended(Link& link, net::CloseReason why) {
  auto& server = link.server;
  std::erase(server.half_closed, link.shared_from_this());
  --links_;
  // It closed in its turn: all that it told by that link has come. A reset may have overtaken some of it.
  if (why == net::CloseReason::kEnded || !stands_at(server.id)) return;
  server.untold_since = net::Loop::now();
  loop_.wheel.cancel(std::exchange(server.retry, 0));
  server.backoff = kMinBackoff;
  keep_warm(server);
}

ConnectionPool::HalfClosed::iterator ConnectionPool::close_half_closed(Server& server,
                                                                       HalfClosed::iterator at) {
  (*at)->stream->close();
  --links_;
  return server.half_closed.erase(at);
}

bool ConnectionPool::close_oldest_half_closed() {
  Server* oldest = nullptr;
  for (const auto& [id, server] : by_id_) {
    if (server->half_closed.empty()) continue;
    const bool older = oldest == nullptr || server->half_closed.front()->half_closed_at <
                                                oldest->half_closed.front()->half_closed_at;
    if (older) oldest = server.get();
  }
  if (oldest == nullptr) return false;
  close_half_closed(*oldest, oldest->half_closed.begin());
  return true;
}

void ConnectionPool::close_useless_half_closed(Server& server, Instant now) {
  for (auto at = server.half_closed.begin(); at != server.half_closed.end();) {
    const auto& link = **at;
    const bool is_useless = link.standing == 0 && now - *link.half_closed_at > kHalfClosedFor;
    at = is_useless ? close_half_closed(server, at) : std::next(at);
  }
}

bool ConnectionPool::seeks_releases(const Server& server, Instant now) {
  if (!server.wanted || now - server.sought_at < kSeekEvery) return false;
  return std::any_of(server.half_closed.begin(), server.half_closed.end(), [now](const auto& link) {
    return link->standing > 0 && now - *link->half_closed_at >= kSeekEvery;
  });
}

// With as many links as a server takes, one that carries nothing makes room.
void ConnectionPool::open_for_releases(Server& server) {
  server.sought_at = net::Loop::now();
  server.untold_since = server.sought_at;
  if (server.counted_links() < kMaxLinks) {
    loop_.wheel.cancel(std::exchange(server.retry, 0));
    keep_warm(server);
    return;
  }
  const auto idle = std::find_if(server.links.begin(), server.links.end(), [](const auto& link) {
    return link->stream->is_open() && link->out.empty() && link->byes.empty();
  });
  if (idle == server.links.end()) return;
  const auto link = *idle;
  half_close(*link, net::CloseReason::kEnded);
}

bool ConnectionPool::stands_at(ServerId server) const {
  return std::any_of(attempts_.begin(), attempts_.end(), [server](const auto& item) {
    return item.first.first == server && item.second.standing;
  });
}

void ConnectionPool::end_on(Link& link, Outcome outcome) {
  const auto over = std::exchange(link.out, {});
  std::vector<std::string> probes;
  for (const auto& [id, probe] : pending_health_checks_) {
    if (probe.link.get() == &link) probes.push_back(id);
  }
  for (const auto& ref : over) {
    const auto attempt = find(ref);
    if (attempt == attempts_.end()) continue;
    drop(attempt);
    table_.on_attempt_ended(ref, {outcome, core::Cause::kTemporaryFailure, false, {}});
  }
  for (const auto& id : probes) {
    const auto found = pending_health_checks_.find(id);
    if (found == pending_health_checks_.end()) continue;
    // One lost link says nothing of the server while others are open: it is asked again by one of them.
    auto& server = of(found->second.server);
    const auto other = server.open_links() > 0 ? pick_link(server) : nullptr;
    if (other) {
      found->second.link = other;
      other->stream->send(options_head(id, own_name_));
    } else {
      end_probe(id, Outcome::kConnectFailed, {});
    }
  }
}

// Guards against a link that is open and serves no further use: its server has answered what was sent by
// other links later, or a message on it has begun and does not end. What is out on it is lost, and held on to
// it would wait for its callers' whole patience.
bool ConnectionPool::is_stuck(const Link& link, Instant now) {
  if (link.torn && now - link.torn->second > kTornFor) return true;
  if (link.half_since) return now - *link.half_since > kHalfMessage;
  if (!link.stream->is_open() || !link.overtaken_at) return false;
  if (now - *link.overtaken_at > kDoubtedFor) return true;
  return !link.out.empty() && now - link.server.answered_at > kOvertakenFor;
}

// Silence counts from when the link was up: until then a set-up waits for the connection.
void ConnectionPool::note_overtaken(Link& link, Instant now) {
  if (!link.silent_since || link.overtaken_at) return;
  if (std::max(*link.silent_since, link.up) + kOvertakenBy < link.server.answered_sent)
    link.overtaken_at = now;
}

void ConnectionPool::watch_links() {
  loop_.after(kWatchEvery, [this] {
    const Instant now = net::Loop::now();
    std::vector<std::shared_ptr<Link>> stuck;
    std::vector<Server*> seeking;
    for (const auto& [id, server] : by_id_) {
      close_useless_half_closed(*server, now);
      if (seeks_releases(*server, now)) seeking.push_back(server.get());
      for (const auto& link : server->links) {
        note_overtaken(*link, now);
        if (link->torn && !link->stream->is_unsent(link->torn->first)) link->torn.reset();
        if (is_stuck(*link, now)) stuck.push_back(link);
        while (!link->byes.empty() && now - link->byes.front().sent > kByeDoubt) link->byes.pop_front();
      }
    }
    while (!over_.empty() && now - over_.front().at > kSecondAnswer) over_.pop_front();
    for (const auto& link : stuck) {
      ++counters_.stalled_connections;
      net::log::warn(log_bad_, "link to ", servers_.find(link->server.id)->name, " is stuck: cut, with ",
                     link->out.size(), " set-ups out");
      half_close(*link, net::CloseReason::kReset);
    }
    for (auto* server : seeking) open_for_releases(*server);
    watch_links();
  });
}

// ---- what the core asks ---------------------------------------------------------------------------------

void ConnectionPool::set_up(const core::SetUp& set_up) {
  auto& server = of(set_up.attempt.server);
  // Answers name their call and not their attempt: after one that had left the next goes by another link, by
  // which no second or late answer to the first one comes.
  const auto link = pick_link(server, over_on(set_up.attempt));
  if (!link) {
    asio::post(loop_.io, [this, ref = set_up.attempt] {
      table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kOutOfOrder, false, {}});
    });
    return;
  }
  Key key{server.id, std::string(set_up.id)};
  by_call_[set_up.attempt.call] = key;
  attempts_[std::move(key)] = {.ref = set_up.attempt,
                               .number = std::string(set_up.number),
                               .link = link,
                               .sent = net::Loop::now(),
                               .standing = false,
                               .came_by = {}};
  link->out.push_back(set_up.attempt);
  if (!link->silent_since) link->silent_since = net::Loop::now();
  link->stream->send(invite_head({set_up.id, set_up.number, set_up.attempt.attempt + 1}, own_name_,
                                 set_up.call_class, set_up.wait, set_up.description.size()),
                     std::string(set_up.description), tag(set_up.attempt));
}

bool ConnectionPool::cancel(const core::AttemptRef& attempt) {
  const auto found = find(attempt);
  if (found == attempts_.end()) return false;
  const auto link = found->second.link;
  const std::string number = found->second.number;
  const std::string id = found->first.second;
  drop(found);
  if (!link || link->stream->is_closed()) return false;
  if (link->stream->take_back(tag(attempt))) {
    ++counters_.withdrawn;
    // It never left, so that no answer to it tells nothing of the link.
    if (link->out.empty() && !link->overtaken_at) link->silent_since.reset();
    return true;
  }
  over_.push_back({attempt.call, link, net::Loop::now()});
  if (link->stream->is_unsent(tag(attempt))) link->torn = {tag(attempt), net::Loop::now()};
  link->stream->send(request_head("CANCEL", {id, number, attempt.attempt + 1}, own_name_));
  return false;
}

void ConnectionPool::release(const core::AttemptRef& attempt, core::Cause cause) {
  const auto found = find(attempt);
  if (found == attempts_.end()) return;
  std::string id = found->first.second;
  auto bye = request_head("BYE", {id, found->second.number, attempt.attempt + 2}, own_name_, cause);
  auto& server = of(attempt.server);
  drop(found);
  send_bye(server, std::move(id), std::move(bye));
}

// A release that is lost leaves a call standing for good: it is kept until it is confirmed, and told again
// when its link is lost before that.
void ConnectionPool::send_bye(Server& server, std::string id, std::string bye) {
  if (server.open_links() > 0) {
    if (const auto link = pick_link(server)) {
      if (link->byes.size() >= kMaxByes) link->byes.pop_front();
      link->byes.push_back({std::move(id), bye, net::Loop::now()});
      link->stream->send(std::move(bye));
      return;
    }
  }
  if (!server.wanted || server.pending.size() >= bounds_.waiting_of_one) return;
  server.pending.emplace_back(std::move(id), std::move(bye));
  keep_warm(server);
}

void ConnectionPool::check_health(ServerId id) {
  auto& server = of(id);
  const auto link = pick_link(server);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next_probe_++));
  PendingHealthCheck probe{id, link, net::Loop::now(), 0};
  probe.limit =
      loop_.after(kProbeLimit, [this, key = std::string(text)] { end_probe(key, Outcome::kTimeout, {}); });
  pending_health_checks_.emplace(text, std::move(probe));
  if (link) link->stream->send(options_head(text, own_name_));
}

void ConnectionPool::end_probe(const std::string& id, Outcome outcome, const LoadReport& load) {
  const auto found = pending_health_checks_.find(id);
  if (found == pending_health_checks_.end()) return;
  const auto probe = std::move(found->second);
  pending_health_checks_.erase(found);
  loop_.wheel.cancel(probe.limit);
  table_.on_health_check_result(probe.server, outcome, net::Loop::now() - probe.sent, load);
}

void ConnectionPool::drop(Attempts::iterator at) {
  if (at == attempts_.end()) return;
  if (const auto& link = at->second.link) {
    std::erase_if(link->out, [&](const auto& ref) { return ref.call == at->second.ref.call; });
  }
  if (const auto link = at->second.came_by.lock()) --link->standing;
  by_call_.erase(at->second.ref.call);
  attempts_.erase(at);
}

ConnectionPool::Attempts::iterator ConnectionPool::find(const core::AttemptRef& attempt) {
  const auto key = by_call_.find(attempt.call);
  if (key == by_call_.end()) return attempts_.end();
  const auto found = attempts_.find(key->second);
  if (found == attempts_.end() || found->second.ref.call != attempt.call ||
      found->second.ref.attempt != attempt.attempt) {
    return attempts_.end();
  }
  return found;
}

// ---- what the servers say -------------------------------------------------------------------------------

std::size_t ConnectionPool::link_bytes(Link& link, std::span<char> bytes) {
  const auto keep = link.shared_from_this();
  link.silent_since.reset();
  link.overtaken_at.reset();
  std::size_t taken = 0;
  while (taken < bytes.size()) {
    const auto read = read_sip({bytes.data() + taken, bytes.size() - taken}, net::kMaxMessage);
    if (read.state == SipRead::State::kMore) break;
    if (read.state == SipRead::State::kBad) {
      ++counters_.unreadable;
      net::log::warn(log_bad_, "unreadable head from ", servers_.find(link.server.id)->name, ": link closed");
      link.stream->fail(net::CloseReason::kReset);
      return bytes.size();
    }
    on_message(link, read);
    if (link.stream->is_closed()) return bytes.size();
    taken += read.size();
  }
  if (taken == bytes.size()) {
    link.half_since.reset();
  } else if (taken > 0 || !link.half_since) {
    link.half_since = net::Loop::now();
  }
  return taken;
}

void ConnectionPool::on_message(Link& link, const SipRead& read) {
  const auto& head = read.head;
  if (head.status != 0) {
    if (head.method == "INVITE") {
      on_invite_answer(link, read);
    } else if (head.method == "OPTIONS") {
      if (head.status < 200) return;
      end_probe(std::string(head.call_id), head.status < 300 ? Outcome::kOk : Outcome::kFull,
                read_load_report(head.occupancy));
    } else if (head.method == "BYE") {
      std::erase_if(link.byes, [&](const auto& bye) { return bye.id == head.call_id; });
    }
    return;
  }
  if (head.method == "NOTIFY") {
    if (link.half_closed_at) return;  // it may be old, and the other links have told what is new
    table_.on_load_report(link.server.id, read_load_report(head.occupancy));
  } else if (head.method == "BYE") {
    on_bye(link, head);
  } else if (head.method != "ACK") {
    link.stream->send(ok_head(head));
  }
}

void ConnectionPool::on_invite_answer(Link& link, const SipRead& read) {
  const auto& head = read.head;
  auto& server = link.server;
  if (head.status < 200) return;
  const auto found = attempts_.find({server.id, std::string(head.call_id)});
  // The Call-ID and the method tell whose answer it is, nothing else does: servers answer a second attempt
  // too with the number 1 in CSeq.
  // An answer comes by the link of its attempt (PROTOCOL: a set-up is given up with its connection). By
  // another link it is a second answer to an earlier attempt of the same call at this server.
  const bool current =
      found != attempts_.end() && !found->second.standing && found->second.link.get() == &link;
  const SipCall call{head.call_id, current ? std::string_view(found->second.number) : "late",
                     std::max(head.sequence, 1U)};
  // Every final answer is acknowledged, also one that crossed our CANCEL or came after our patience.
  link.stream->send(request_head("ACK", call, own_name_));
  if (current && found->second.sent > server.answered_sent) {
    server.answered_sent = found->second.sent;
    server.answered_at = net::Loop::now();
  }
  if (head.status < 300) {
    // The answer of the call that stands, repeated, or one to an earlier attempt while another is out: a
    // release would cut that call.
    if (!current && found != attempts_.end()) {
      ++counters_.second_answers;
      return;
    }
    const bool plausible = is_description(read.body);
    if (current && plausible) {
      const auto ref = found->second.ref;
      found->second.standing = true;
      if (const auto by = std::exchange(found->second.link, nullptr)) {
        ++by->standing;
        found->second.came_by = by;
        std::erase_if(by->out, [&](const auto& one) { return one.call == ref.call; });
      }
      if (table_.on_established(ref, read.body)) return;
      drop(find(ref));
    }
    const std::string id(head.call_id);
    auto bye =
        request_head("BYE", {call.id, call.number, call.sequence + 1}, own_name_, core::Cause::kNormal);
    if (current && !plausible) {
      // It has run, and what it says is spoilt: released there, and no part of it is passed on. The link
      // carries nothing more.
      ++counters_.malformed_answers;
      net::log::warn(log_bad_, "spoilt answer of ", servers_.find(server.id)->name, " to ", id,
                     ": link closed");
      const auto keep = link.shared_from_this();
      link.stream->fail(net::CloseReason::kReset);
      send_bye(server, id, std::move(bye));
      return;
    }
    ++counters_.late_answers;
    net::log::info(log_late_, "late answer of ", servers_.find(server.id)->name, " released: ", call.id);
    // Nobody waits for it any more: it is released, and no second answer is passed on.
    if (link.half_closed_at) {
      send_bye(server, id, std::move(bye));
    } else {
      link.stream->send(std::move(bye));
    }
    return;
  }
  if (!current) {
    ++counters_.second_answers;
    return;
  }
  const auto ref = found->second.ref;
  over_.push_back({ref.call, found->second.link, net::Loop::now()});
  drop(found);
  core::AttemptEnd end;
  end.load = read_load_report(head.occupancy);
  switch (head.status) {
    case 503:
      end.outcome = Outcome::kFull;
      end.retry_after = read_lag(head.diagnosis, head.lag);
      break;
    case 480:
      end.outcome = Outcome::kNotSent;
      break;
    case 504:
      end.outcome = Outcome::kReset;
      break;
    default:
      end.outcome = Outcome::kError;
      end.is_caller_fault = head.diagnosis == "sub";
  }
  table_.on_attempt_ended(ref, end);
}

void ConnectionPool::on_bye(Link& link, const SipHead& head) {
  link.stream->send(ok_head(head));
  const auto found = attempts_.find({link.server.id, std::string(head.call_id)});
  if (found == attempts_.end()) {
    ++counters_.unknown_ids;  // a release is told again on the next link that opens
    return;
  }
  const auto ref = found->second.ref;
  const bool standing = found->second.standing;
  // Of an earlier attempt of this call, which went by that link and was answered unheard.
  if (link.half_closed_at && !standing) return;
  drop(found);
  const int cause = read_reason(head.reason).value_or(static_cast<int>(core::Cause::kNormal));
  const bool ok = cause == static_cast<int>(core::Cause::kNormal);
  core::AttemptEnd end;
  end.outcome = ok && standing ? Outcome::kOk : Outcome::kReset;
  end.cause = static_cast<core::Cause>(cause);
  if (!link.half_closed_at) end.load = read_load_report(head.occupancy);
  table_.on_attempt_ended(ref, end);
}

}  // namespace amberknot::sip
