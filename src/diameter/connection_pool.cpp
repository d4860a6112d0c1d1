#include "diameter/connection_pool.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "diameter/results.hpp"
#include "net/log.hpp"

namespace amberknot::diameter {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMinBackoff = milliseconds{100};
constexpr Duration kMaxBackoff = std::chrono::seconds{30};  // Tc of RFC 6733
constexpr std::size_t kMaxPending = 4096;
constexpr std::uint32_t kLogout = 1;          // Termination-Cause
constexpr std::uint32_t kEndUserPrivate = 4;  // Subscription-Id-Type: a number of our own

}  // namespace

struct ConnectionPool::Server : Peer::Handler {
  Server(ConnectionPool& all, ServerId id) : all(all), id(id) {}

  void on_up(Peer& peer) override {
    backoff = kMinBackoff;
    for (const auto& session : std::exchange(pending, {})) all.terminate(*this, session);
    if (peer.is_up()) all.on_change_(id, false);
  }
  void on_message(Peer& /*peer*/, const Message& message) override {
    if (message.is(Command::kCreditControl) && !message.request) {
      all.on_answer(*this, message);
    } else if (message.is(Command::kAbortSession) && message.request) {
      all.on_abort(*this, message);
    } else if (message.request) {
      auto writer = peer->answer(message, {Result::kCommandUnsupported, {}});
      peer->send(writer);
    }
  }
  void on_health(Peer& /*peer*/, bool /*healthy*/) override { stop_or_go(); }
  void on_leaving(Peer& /*peer*/) override { stop_or_go(); }
  void stop_or_go() {
    // The module hears first: what is taken back is placed anew at once and must not go there again.
    all.on_change_(id, false);
    if (all.is_available(id)) return;
    all.take_back(*this);
    if (std::exchange(probing, false))
      all.table_.on_health_check_result(id, Outcome::kTimeout, Duration::zero(), {});
  }
  void on_watchdog(Peer& /*peer*/, Duration taken) override {
    if (std::exchange(probing, false)) all.table_.on_health_check_result(id, Outcome::kOk, taken, {});
  }
  std::uint32_t& last_state(Peer& /*peer*/) override { return state_id; }
  void on_restarted(Peer& /*peer*/) override {
    // Its sessions went with the process that held them; each is cut once, here, whichever message told.
    net::log::warn("diameter: ", all.servers_.find(id)->name, " has started anew");
    pending.clear();
    all.end_out(*this, Outcome::kReset);
    all.table_.abort_all(id, "peer started anew");
    all.on_change_(id, true);
  }
  void on_down(Peer& gone, net::CloseReason why) override;

  ConnectionPool& all;
  ServerId id;
  std::string address;
  bool wanted = false;
  bool ready = false;  ///< by the list
  std::shared_ptr<Peer> peer;
  Duration backoff = kMinBackoff;
  core::TimerWheel::Handle retry = 0;
  bool probing = false;
  std::uint32_t state_id = 0;
  std::unordered_map<CallId, Attempt> attempts;
  std::unordered_map<std::uint32_t, CallId> by_hop;  ///< initial requests that are out
  std::unordered_map<std::string, CallId> by_session;
  std::deque<std::string> pending;  ///< sessions whose end could not be told
};

void ConnectionPool::Server::on_down(Peer& gone, net::CloseReason why) {
  if (peer.get() != &gone) return;
  const auto keep = std::exchange(peer, nullptr);
  net::log::info("diameter: connection to ", all.servers_.find(id)->name, " ", net::name(why));
  all.on_change_(id, false);
  if (std::exchange(probing, false))
    all.table_.on_health_check_result(id, Outcome::kConnectFailed, Duration::zero(), {});
  all.end_out(*this, Outcome::kReset);
  if (why == net::CloseReason::kRefused) all.table_.abort_all(id, "connection refused");
  if (!wanted || retry != 0) return;
  retry = all.loop_.after(backoff, [this] {
    retry = 0;
    all.connect(*this);
  });
  backoff = std::min(backoff * 2, kMaxBackoff);
}

ConnectionPool::ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                               core::Counters& counters, Identity& identity, Duration connect_limit,
                               OnChange on_change)
    : loop_(loop),
      table_(table),
      servers_(servers),
      counters_(counters),
      identity_(identity),
      connect_limit_(connect_limit),
      on_change_(std::move(on_change)) {}

ConnectionPool::~ConnectionPool() {
  for (auto& [id, server] : by_id_) {
    if (server->peer) server->peer->close();
  }
}

ConnectionPool::Server& ConnectionPool::of(ServerId id) {
  auto& server = by_id_[id];
  if (!server) server = std::make_unique<Server>(*this, id);
  return *server;
}

void ConnectionPool::on_endpoint_changed(const core::Endpoint& listed) {
  auto& server = of(listed.id);
  const bool moved = !server.address.empty() && server.address != listed.address;
  server.address = listed.address;
  server.ready = listed.state == EndpointState::kReady;
  server.wanted = listed.state != EndpointState::kRemoved;
  if (!server.ready) take_back(server);
  if (server.peer && (!server.wanted || moved)) {
    const auto peer = std::exchange(server.peer, nullptr);
    peer->close();
    end_out(server, Outcome::kReset);
  }
  if (!server.wanted) {
    server.pending.clear();  // its sessions went with it
    loop_.wheel.cancel(std::exchange(server.retry, 0));
  }
  if (server.wanted && !server.peer && server.retry == 0) connect(server);
}

void ConnectionPool::forget_server(ServerId id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  loop_.wheel.cancel(found->second->retry);
  if (found->second->peer) found->second->peer->close();
  by_id_.erase(found);
}

bool ConnectionPool::is_available(ServerId id) const {
  const auto found = by_id_.find(id);
  return found != by_id_.end() && found->second->peer && found->second->peer->healthy();
}

void ConnectionPool::shut_down() {
  for (auto& [id, server] : by_id_) {
    server->wanted = false;
    if (server->peer) server->peer->disconnect();
  }
}

void ConnectionPool::connect(Server& server) {
  const auto to = net::read_endpoint(server.address);
  if (!server.wanted || server.peer) return;
  if (!to) {
    net::log::warn("server address cannot be read: ", server.address);
    return;
  }
  server.peer = std::make_shared<Peer>(loop_, counters_, identity_, server);
  server.peer->connect(*to, connect_limit_);
}

// ---- what the core asks ---------------------------------------------------------------------------------

void ConnectionPool::set_up(const core::SetUp& set_up) {
  auto& server = of(set_up.attempt.server);
  if (!is_available(server.id)) {
    asio::post(loop_.io, [this, ref = set_up.attempt] {
      table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kOutOfOrder, false, {}});
    });
    return;
  }
  auto& peer = *server.peer;
  Attempt attempt{set_up.attempt, {}, 0, false};
  // RFC 6733, 8.8: who, when it started, and what it never names twice.
  attempt.session = identity_.host + ";" + std::to_string(identity_.state_id) + ";" +
                    std::to_string(static_cast<std::uint32_t>(set_up.attempt.call)) + ";" +
                    std::to_string(set_up.attempt.attempt) + ";" + std::string(set_up.id);
  auto ccr = peer.request(Command::kCreditControl, kCreditControlApplication, &attempt.hop_by_hop);
  peer.origin(ccr.add(Code::kSessionId, attempt.session));
  ccr.add(Code::kDestinationRealm, peer.realm()).add(Code::kDestinationHost, peer.host());
  ccr.add(Code::kAuthApplicationId, kCreditControlApplication);
  ccr.add(Code::kServiceContextId, std::string(set_up.call_class) + "@" + identity_.realm);
  ccr.add(Code::kCcRequestType, static_cast<std::uint32_t>(RequestType::kInitial))
      .add(Code::kCcRequestNumber, 0U);
  ccr.add_group(Code::kSubscriptionId, [&](Writer& in) {
    in.add(Code::kSubscriptionIdType, kEndUserPrivate).add(Code::kSubscriptionIdData, set_up.number);
  });
  ccr.add_parameter(Parameter::kDescription, set_up.description);
  ccr.add_parameter(Parameter::kWaitMs,
                    std::to_string(std::chrono::duration_cast<milliseconds>(set_up.wait).count()));
  server.by_hop[attempt.hop_by_hop] = set_up.attempt.call;
  server.by_session[attempt.session] = set_up.attempt.call;
  server.attempts[set_up.attempt.call] = std::move(attempt);
  peer.send(ccr, tag(set_up.attempt));
}

bool ConnectionPool::cancel(const core::AttemptRef& ref) {
  auto& server = of(ref.server);
  const auto* attempt = find(server, ref);
  if (attempt == nullptr) return false;
  const std::string session = attempt->session;
  drop(server, ref.call);
  if (server.peer && server.peer->is_up() && server.peer->stream().take_back(tag(ref))) {
    ++counters_.withdrawn;
    return true;
  }
  // Credit-Control has no cancel: the session is ended, and again if its success still crosses this.
  terminate(server, session);
  return false;
}

void ConnectionPool::release(const core::AttemptRef& ref, core::Cause /*cause*/) {
  auto& server = of(ref.server);
  const auto* attempt = find(server, ref);
  if (attempt == nullptr) return;
  const std::string session = attempt->session;
  drop(server, ref.call);
  terminate(server, session);
}

void ConnectionPool::forget(const core::AttemptRef& ref) {
  auto& server = of(ref.server);
  if (find(server, ref) != nullptr) drop(server, ref.call);
}

// The watchdog is the test that every Diameter peer answers.
void ConnectionPool::check_health(ServerId id) {
  auto& server = of(id);
  if (!is_available(id)) {
    asio::post(loop_.io, [this, id] {
      table_.on_health_check_result(id, Outcome::kConnectFailed, Duration::zero(), {});
    });
    return;
  }
  server.probing = true;
  server.peer->send_watchdog();
}

ConnectionPool::Attempt* ConnectionPool::find(Server& server, const core::AttemptRef& ref) {
  const auto found = server.attempts.find(ref.call);
  return found != server.attempts.end() && found->second.ref.attempt == ref.attempt ? &found->second
                                                                                    : nullptr;
}

void ConnectionPool::drop(Server& server, CallId call) {
  const auto found = server.attempts.find(call);
  if (found == server.attempts.end()) return;
  server.by_hop.erase(found->second.hop_by_hop);
  server.by_session.erase(found->second.session);
  server.attempts.erase(found);
}

void ConnectionPool::terminate(Server& server, const std::string& session) {
  if (!server.peer || !server.peer->is_up()) {
    if (server.pending.size() < kMaxPending) server.pending.push_back(session);
    return;
  }
  auto& peer = *server.peer;
  auto ccr = peer.request(Command::kCreditControl, kCreditControlApplication);
  peer.origin(ccr.add(Code::kSessionId, session));
  ccr.add(Code::kDestinationRealm, peer.realm()).add(Code::kDestinationHost, peer.host());
  ccr.add(Code::kAuthApplicationId, kCreditControlApplication);
  ccr.add(Code::kServiceContextId, "release@" + identity_.realm);
  ccr.add(Code::kCcRequestType, static_cast<std::uint32_t>(RequestType::kTermination));
  ccr.add(Code::kCcRequestNumber, 1U).add(Code::kTerminationCause, kLogout);
  peer.send(ccr);
}

// The drain rule binds at the write: a set-up still queued on a blocked connection never leaves.
void ConnectionPool::take_back(Server& server) {
  if (!server.peer || !server.peer->is_up()) return;
  std::vector<core::AttemptRef> back;
  for (const auto& [call, attempt] : server.attempts) {
    if (!attempt.standing && server.peer->stream().take_back(tag(attempt.ref))) back.push_back(attempt.ref);
  }
  for (const auto& ref : back) {
    ++counters_.withdrawn;
    drop(server, ref.call);
    table_.on_attempt_ended(ref, {Outcome::kNotSent, core::Cause::kOutOfOrder, false, {}});
  }
}

void ConnectionPool::end_out(Server& server, Outcome outcome) {
  std::vector<core::AttemptRef> out;
  for (const auto& [call, attempt] : server.attempts) {
    if (!attempt.standing) out.push_back(attempt.ref);
  }
  for (const auto& ref : out) {
    drop(server, ref.call);
    table_.on_attempt_ended(ref, {outcome, core::Cause::kTemporaryFailure, false, {}});
  }
}

// ---- what the servers say -------------------------------------------------------------------------------

void ConnectionPool::on_answer(Server& server, const Message& message) {
  const auto result = message.number(Code::kResultCode).value_or(0);
  const auto meaning = meaning_of(result);
  const auto found = server.by_hop.find(message.hop_by_hop);
  if (found == server.by_hop.end()) {
    // The success of a set-up that is over crossed its end: released, and passed on to nobody.
    const bool initial =
        message.number(Code::kCcRequestType) == static_cast<std::uint32_t>(RequestType::kInitial);
    const std::string session(message.text(Code::kSessionId));
    if (initial && meaning.outcome == Outcome::kOk && !session.empty()) {
      ++counters_.late_answers;
      terminate(server, session);
    }
    return;
  }
  auto& attempt = server.attempts.at(found->second);
  const auto ref = attempt.ref;
  if (meaning.outcome == Outcome::kOk) {
    attempt.standing = true;
    const std::string session = attempt.session;
    server.by_hop.erase(found);
    if (table_.on_established(ref, message.parameter(Parameter::kDescription).value_or(std::string_view())))
      return;
    drop(server, ref.call);
    terminate(server, session);
    return;
  }
  drop(server, ref.call);
  net::log::debug("diameter: set-up answered with ", result);
  table_.on_attempt_ended(ref, {meaning.outcome, core::Cause::kTemporaryFailure, meaning.of_the_user, {}});
}

void ConnectionPool::on_abort(Server& server, const Message& message) {
  const std::string session(message.text(Code::kSessionId));
  const auto found = server.by_session.find(session);
  const bool known = found != server.by_session.end();
  auto asa = server.peer->answer(message, {known ? Result::kSuccess : Result::kUnknownSession, {}});
  server.peer->send(asa);
  if (!known) {
    ++counters_.unknown_ids;
    return;
  }
  const auto ref = server.attempts.at(found->second).ref;
  drop(server, ref.call);
  terminate(server, session);
  table_.on_attempt_ended(ref, {Outcome::kReset, core::Cause::kTemporaryFailure, false, {}});
}

}  // namespace amberknot::diameter
