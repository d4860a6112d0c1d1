#include "net/sip_links.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "net/log.hpp"

namespace amberknot::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWarmLinks = 2;  // of the four that a server tells its state on
constexpr Duration kLeastBackoff = milliseconds{100};
constexpr Duration kMostBackoff = seconds{1};
// A probe unanswered this long is told as timed out: it waits in a queue or is lost.
constexpr Duration kProbeLimit = milliseconds{250};
constexpr std::size_t kMostPending = 4096;  // releases kept for a server without a link

}  // namespace

/// Ties a stream to its server.
struct SipLinks::Link : Stream::Owner {
  Link(SipLinks& all, Server& server) : all(all), server(server) {}
  void on_open(Stream& stream) override { all.link_open(server, stream); }
  std::size_t on_bytes(Stream& stream, std::span<char> bytes) override {
    return all.link_bytes(server, stream, bytes);
  }
  void on_closed(Stream& stream, Closed why) override { all.link_closed(server, stream, why); }
  SipLinks& all;
  Server& server;
};

struct SipLinks::Server {
  Server(SipLinks& all, ServerId id) : id(id), owner(all, *this) {}
  ServerId id;
  std::string address;
  bool wanted = false;
  std::vector<std::shared_ptr<Stream>> links;  // connecting and open
  std::size_t turn = 0;
  Duration backoff = kLeastBackoff;
  core::TimerWheel::Handle retry = 0;
  std::deque<std::string> pending;  // releases that no link could take
  Link owner;

  [[nodiscard]] std::size_t open_links() const {
    return static_cast<std::size_t>(
        std::count_if(links.begin(), links.end(), [](const auto& link) { return link->is_open(); }));
  }
};

SipLinks::SipLinks(Loop& loop, core::CallTable& table, core::ServerList& servers, core::Counters& counters,
                   std::string own_name, Duration connect_limit)
    : loop_(loop),
      table_(table),
      servers_(servers),
      counters_(counters),
      own_name_(std::move(own_name)),
      connect_limit_(connect_limit) {}

SipLinks::~SipLinks() = default;

SipLinks::Server& SipLinks::of(ServerId id) {
  auto& server = by_id_[id];
  if (!server) server = std::make_unique<Server>(*this, id);
  return *server;
}

void SipLinks::server_changed(const core::ListedServer& listed) {
  auto& server = of(listed.id);
  const bool moved = !server.address.empty() && server.address != listed.address;
  server.address = listed.address;
  if (listed.state != ListState::kReady) {
    // The drain rule binds at the write: what still waits on a connecting or blocked socket never leaves.
    std::vector<core::AttemptRef> back;
    for (const auto& [key, attempt] : attempts_) {
      if (key.first == server.id && !attempt.standing && attempt.link &&
          attempt.link->take_back(tag(attempt.ref))) {
        back.push_back(attempt.ref);
      }
    }
    for (const auto& ref : back) {
      ++counters_.taken_back;
      drop(find(ref));
      table_.ended(ref, {Outcome::kMoot, core::Cause::kOutOfOrder, false, {}});
    }
  }
  if (listed.state == ListState::kGone || moved) {
    const auto links = std::exchange(server.links, {});
    for (const auto& link : links) {
      link->close();
      end_on(server, *link, Outcome::kReset);
    }
  }
  server.wanted = listed.state != ListState::kGone;
  if (server.wanted) keep_warm(server);
}

// ---- links ----------------------------------------------------------------------------------------------

void SipLinks::keep_warm(Server& server) {
  if (!server.wanted || server.retry != 0) return;
  while (server.links.size() < kWarmLinks) {
    const auto had = server.links.size();
    connect(server);
    if (server.links.size() == had) return;
  }
}

void SipLinks::connect(Server& server) {
  const auto to = read_endpoint(server.address);
  if (!to) {
    log::warn("server address cannot be read: ", server.address);
    return;
  }
  auto link = std::make_shared<Stream>(loop_, server.owner);
  server.links.push_back(link);
  link->connect(*to, connect_limit_);
}

std::shared_ptr<Stream> SipLinks::pick_link(Server& server) {
  // An open link if there is one, in turn; else one that is coming up; else a new one, backoff or not.
  for (std::size_t i = 0; i < server.links.size(); ++i) {
    const auto& link = server.links[(server.turn + i) % server.links.size()];
    if (!link->is_open()) continue;
    server.turn = (server.turn + i + 1) % server.links.size();
    return link;
  }
  if (server.links.empty()) connect(server);
  return server.links.empty() ? nullptr : server.links.front();
}

void SipLinks::link_open(Server& server, Stream& stream) {
  server.backoff = kLeastBackoff;
  log::debug("link up: ", servers_.find(server.id)->name);
  for (auto& message : std::exchange(server.pending, {})) stream.send(std::move(message));
}

void SipLinks::link_closed(Server& server, Stream& stream, Closed why) {
  const auto at = std::find_if(server.links.begin(), server.links.end(),
                               [&](const auto& link) { return link.get() == &stream; });
  if (at == server.links.end()) return;
  const auto link = *at;  // keeps it alive
  server.links.erase(at);
  const auto& name_of = servers_.find(server.id)->name;
  const bool never_up = why == Closed::kRefused || why == Closed::kNeverUp;
  if (never_up) {
    log::debug("no link to ", name_of, ": ", name(why));
  } else {
    log::info("link to ", name_of, " ", name(why));
  }
  // A link that never came up carried nothing; one that was lost leaves its set-ups in doubt.
  end_on(server, *link, never_up ? Outcome::kConnectFailed : Outcome::kReset);
  // With no link left, a refusal says that no process listens there any more: what stood has been cut, and
  // nobody is left who could say so.
  if (why == Closed::kRefused && server.open_links() == 0) table_.cut_all(server.id, "connection refused");
  if (!server.wanted || server.retry != 0) return;
  if (!never_up) {
    keep_warm(server);
    return;
  }
  server.retry = loop_.after(server.backoff, [this, &server] {
    server.retry = 0;
    keep_warm(server);
  });
  server.backoff = std::min(server.backoff * 2, kMostBackoff);
}

void SipLinks::end_on(Server& server, const Stream& stream, Outcome outcome) {
  std::vector<core::AttemptRef> over;
  for (auto& [key, attempt] : attempts_) {
    if (key.first == server.id && attempt.link.get() == &stream && !attempt.standing)
      over.push_back(attempt.ref);
  }
  std::vector<std::string> probes;
  for (const auto& [id, probe] : probes_) {
    if (probe.link.get() == &stream) probes.push_back(id);
  }
  for (const auto& ref : over) {
    drop(find(ref));
    table_.ended(ref, {outcome, core::Cause::kTemporaryFailure, false, {}});
  }
  for (const auto& id : probes) end_probe(id, Outcome::kConnectFailed, {});
}

// ---- what the core asks ---------------------------------------------------------------------------------

void SipLinks::set_up(const core::SetUp& set_up) {
  auto& server = of(set_up.attempt.server);
  const auto link = pick_link(server);
  if (!link) {
    asio::post(loop_.io, [this, ref = set_up.attempt] {
      table_.ended(ref, {Outcome::kConnectFailed, core::Cause::kOutOfOrder, false, {}});
    });
    return;
  }
  Key key{server.id, std::string(set_up.id)};
  by_call_[set_up.attempt.call] = key;
  attempts_[std::move(key)] = {set_up.attempt, std::string(set_up.number), link, false};
  link->send(invite_head({set_up.id, set_up.number, set_up.attempt.attempt + 1}, own_name_, set_up.call_class,
                         set_up.wait, set_up.description.size()),
             std::string(set_up.description), tag(set_up.attempt));
}

void SipLinks::cancel(const core::AttemptRef& attempt) {
  const auto found = find(attempt);
  if (found == attempts_.end()) return;
  const auto link = found->second.link;
  const std::string number = found->second.number;
  const std::string id = found->first.second;
  drop(found);
  if (!link || link->is_closed()) return;
  if (link->take_back(tag(attempt))) {
    ++counters_.taken_back;
    return;
  }
  link->send(request_head("CANCEL", {id, number, attempt.attempt + 1}, own_name_));
}

void SipLinks::release(const core::AttemptRef& attempt, core::Cause cause) {
  const auto found = find(attempt);
  if (found == attempts_.end()) return;
  auto bye =
      request_head("BYE", {found->first.second, found->second.number, attempt.attempt + 2}, own_name_, cause);
  auto& server = of(attempt.server);
  drop(found);
  if (server.open_links() > 0) {
    pick_link(server)->send(std::move(bye));
  } else if (server.wanted && server.pending.size() < kMostPending) {
    server.pending.push_back(std::move(bye));
    keep_warm(server);
  }
}

void SipLinks::probe(ServerId id) {
  auto& server = of(id);
  const auto link = pick_link(server);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next_probe_++));
  Probe probe{id, link, Loop::now(), 0};
  probe.limit =
      loop_.after(kProbeLimit, [this, key = std::string(text)] { end_probe(key, Outcome::kTimeout, {}); });
  probes_.emplace(text, std::move(probe));
  if (link) link->send(options_head(text, own_name_));
}

void SipLinks::end_probe(const std::string& id, Outcome outcome, const Report& load) {
  const auto found = probes_.find(id);
  if (found == probes_.end()) return;
  const auto probe = std::move(found->second);
  probes_.erase(found);
  loop_.wheel.cancel(probe.limit);
  table_.probed(probe.server, outcome, Loop::now() - probe.sent, load);
}

void SipLinks::drop(Attempts::iterator at) {
  if (at == attempts_.end()) return;
  by_call_.erase(at->second.ref.call);
  attempts_.erase(at);
}

SipLinks::Attempts::iterator SipLinks::find(const core::AttemptRef& attempt) {
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

std::size_t SipLinks::link_bytes(Server& server, Stream& stream, std::span<char> bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size()) {
    const auto read = read_sip({bytes.data() + taken, bytes.size() - taken}, kMostMessage);
    if (read.state == SipRead::State::kMore) break;
    if (read.state == SipRead::State::kBad) {
      ++counters_.unreadable;
      log::warn("unreadable head from ", servers_.find(server.id)->name, ": link closed");
      const auto keep = stream.shared_from_this();
      stream.close();
      link_closed(server, stream, Closed::kReset);
      return taken;
    }
    on_message(server, stream, read);
    if (stream.is_closed()) return taken;
    taken += read.size();
  }
  return taken;
}

void SipLinks::on_message(Server& server, Stream& stream, const SipRead& read) {
  const auto& head = read.head;
  if (head.status != 0) {
    if (head.method == "INVITE") {
      on_invite_answer(server, stream, read);
    } else if (head.method == "OPTIONS") {
      if (head.status < 200) return;
      end_probe(std::string(head.call_id), head.status < 300 ? Outcome::kOk : Outcome::kFull,
                read_report(head.occupancy));
    }
    return;  // 200 to BYE and CANCEL mean nothing
  }
  if (head.method == "NOTIFY") {
    table_.load_told(server.id, read_report(head.occupancy));
  } else if (head.method == "BYE") {
    on_bye(server, stream, head);
  } else if (head.method != "ACK") {
    stream.send(ok_head(head));
  }
}

void SipLinks::on_invite_answer(Server& server, Stream& stream, const SipRead& read) {
  const auto& head = read.head;
  if (head.status < 200) return;
  const auto found = attempts_.find({server.id, std::string(head.call_id)});
  // The Call-ID and the method tell whose answer it is, nothing else does: servers answer a second attempt
  // too with the number 1 in CSeq.
  const bool current = found != attempts_.end() && !found->second.standing;
  const SipCall call{head.call_id, current ? std::string_view(found->second.number) : "late",
                     std::max(head.sequence, 1U)};
  // Every final answer is acknowledged, also one that crossed our CANCEL or came after our patience.
  stream.send(request_head("ACK", call, own_name_));
  if (head.status < 300) {
    // The answer of the call that stands, repeated: a release would cut that call.
    if (!current && found != attempts_.end()) return;
    if (current) {
      const auto ref = found->second.ref;
      found->second.standing = true;
      found->second.link.reset();
      if (table_.stood(ref, read.body)) return;
      drop(find(ref));
    }
    ++counters_.late_answers;
    log::info("late answer of ", servers_.find(server.id)->name, " released: ", call.id);
    // Nobody waits for it any more: it is released, and no second answer is passed on.
    stream.send(
        request_head("BYE", {call.id, call.number, call.sequence + 1}, own_name_, core::Cause::kNormal));
    return;
  }
  if (!current) return;
  const auto ref = found->second.ref;
  drop(found);
  core::AttemptEnd end;
  end.load = read_report(head.occupancy);
  switch (head.status) {
    case 503:
      end.outcome = Outcome::kFull;
      break;
    case 480:
      end.outcome = Outcome::kMoot;
      break;
    case 504:
      end.outcome = Outcome::kReset;
      break;
    default:
      end.outcome = Outcome::kError;
      end.number_busy = head.diagnosis == "sub";
  }
  table_.ended(ref, end);
}

void SipLinks::on_bye(Server& server, Stream& stream, const SipHead& head) {
  stream.send(ok_head(head));
  const auto found = attempts_.find({server.id, std::string(head.call_id)});
  if (found == attempts_.end()) {
    ++counters_.unknown_ids;  // a release is told again on the next link that opens
    return;
  }
  const auto ref = found->second.ref;
  const bool standing = found->second.standing;
  drop(found);
  const int cause = read_reason(head.reason).value_or(static_cast<int>(core::Cause::kNormal));
  const bool ok = cause == static_cast<int>(core::Cause::kNormal);
  core::AttemptEnd end;
  end.outcome = ok && standing ? Outcome::kOk : Outcome::kReset;
  end.cause = static_cast<core::Cause>(cause);
  end.load = read_report(head.occupancy);
  table_.ended(ref, end);
}

}  // namespace amberknot::net
