#include "diameter/connection_pool.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/session_description.hpp"
#include "diameter/results.hpp"
#include "net/log.hpp"

namespace amberknot::diameter {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMinReconnectDelay = milliseconds{100};
constexpr Duration kMaxReconnectDelay = std::chrono::seconds{30};  // Tc of RFC 6733
constexpr std::size_t kMaxPendingTerminations = 4096;              // for each server; later ones are dropped
constexpr Duration kSilenceCheckInterval = milliseconds{100};
constexpr std::uint32_t kTerminationCauseLogout = 1;     // DIAMETER_LOGOUT
constexpr std::uint32_t kSubscriptionIdTypePrivate = 4;  // END_USER_PRIVATE

}  // namespace

/// One session server, its connection and its attempts.
struct ConnectionPool::Server : Peer::Handler {
  Server(ConnectionPool& pool, ServerId id) : pool(pool), id(id) {}

  void on_up(Peer& peer) override {
    reconnect_delay = kMinReconnectDelay;
    for (const auto& session_id : std::exchange(pending_terminations, {}))
      pool.terminate_session(*this, session_id);
    if (peer.is_up()) pool.on_change_(id, false);
  }
  void on_message(Peer& /*peer*/, const Message& message) override {
    if (message.has_command(Command::kCreditControl) && !message.is_request) {
      pool.on_answer(*this, message);
    } else if (message.has_command(Command::kAbortSession) && message.is_request) {
      pool.on_abort(*this, message);
    } else if (message.is_request) {
      auto writer = peer->answer(message, {ResultCode::kCommandUnsupported, {}});
      peer->send(writer);
    }
  }
  void on_malformed_answer(Peer& /*peer*/, const Message& message) override {
    if (message.has_command(Command::kCreditControl)) pool.on_malformed_answer(*this, message);
  }
  void on_health_changed(Peer& /*peer*/, bool /*is_healthy*/) override { on_availability_changed(); }
  void on_disconnect_request(Peer& /*peer*/) override { on_availability_changed(); }
  void on_availability_changed() {
    // The decision module is told first: withdrawn set-ups are routed again at once and must not come back
    // here.
    pool.on_change_(id, false);
    if (pool.is_available(id)) return;
    pool.withdraw_queued(*this);
    if (std::exchange(is_health_check_pending, false))
      pool.table_.on_health_check_result(id, Outcome::kTimeout, Duration::zero(), {});
  }
  void on_watchdog_answer(Peer& /*peer*/, Duration round_trip) override {
    if (std::exchange(is_health_check_pending, false))
      pool.table_.on_health_check_result(id, Outcome::kOk, round_trip, {});
  }
  std::uint32_t& last_state_id(Peer& of) override {
    const bool is_to_predecessor = of.up_since() != Instant{} && of.up_since() < started;
    return is_to_predecessor ? predecessor_state_id : state_id;
  }
  void on_restarted(Peer& /*peer*/) override {
    // The restarted process has lost its sessions. Each call is aborted once, here, whichever message carried
    // the new Origin-State-Id.
    net::log::warn("diameter: server ", pool.servers_.find(id)->name,
                   " has restarted; its sessions are ended");
    pending_terminations.clear();
    pool.end_unanswered(*this, Outcome::kReset);
    pool.table_.abort_calls_at(id, "peer restarted");
    pool.on_change_(id, true);
  }
  void on_down(Peer& closed_peer, net::CloseReason reason) override;

  ConnectionPool& pool;
  ServerId id;
  std::string address;
  std::int64_t started_unix_ms = 0;
  std::optional<Instant> started;  ///< the same on the monotonic clock
  bool is_wanted = false;          ///< listed, so a connection is kept
  bool is_ready = false;           ///< listed as ready for new calls
  std::shared_ptr<Peer> peer;
  core::ServerLiveness liveness;
  Duration reconnect_delay = kMinReconnectDelay;
  core::TimerWheel::Handle reconnect_timer = 0;
  bool is_health_check_pending = false;    ///< a health check waits for a DWA
  std::uint32_t state_id = 0;              ///< the last Origin-State-Id of the server
  std::uint32_t predecessor_state_id = 0;  ///< of the process before it, while a connection leads there
  std::unordered_map<CallId, Attempt> attempts;
  /// Calls of unanswered initial requests by Hop-by-Hop Identifier.
  std::unordered_map<std::uint32_t, CallId> calls_by_hop_by_hop;
  std::unordered_map<std::string, CallId> calls_by_session;
  std::deque<std::string> pending_terminations;  ///< sessions to terminate when the connection is up again
};

void ConnectionPool::Server::on_down(Peer& closed_peer, net::CloseReason reason) {
  if (peer.get() != &closed_peer) return;
  const auto keep = std::exchange(peer, nullptr);
  net::log::info("diameter: connection to server ", pool.servers_.find(id)->name,
                 " closed: ", net::close_reason_name(reason));
  pool.on_change_(id, false);
  if (std::exchange(is_health_check_pending, false))
    pool.table_.on_health_check_result(id, Outcome::kConnectFailed, Duration::zero(), {});
  pool.end_unanswered(*this, Outcome::kReset);
  if (reason == net::CloseReason::kConnectionRefused) pool.table_.abort_calls_at(id, "connection refused");
  if (!is_wanted || reconnect_timer != 0) return;
  reconnect_timer = pool.loop_.run_after(reconnect_delay, [this] {
    reconnect_timer = 0;
    pool.connect(*this);
  });
  reconnect_delay = std::min(reconnect_delay * 2, kMaxReconnectDelay);
}

ConnectionPool::ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                               core::Counters& counters, Identity& identity, Duration connect_timeout,
                               OnChange on_change)
    : loop_(loop),
      table_(table),
      servers_(servers),
      counters_(counters),
      identity_(identity),
      connect_timeout_(connect_timeout),
      on_change_(std::move(on_change)) {
  schedule_silence_check();
}

ConnectionPool::~ConnectionPool() {
  loop_.timers.cancel(silence_timer_);
  for (auto& [id, server] : servers_by_id_) {
    if (server->peer) server->peer->close();
  }
}

ConnectionPool::Server& ConnectionPool::find_or_add(ServerId id) {
  auto& server = servers_by_id_[id];
  if (!server) server = std::make_unique<Server>(*this, id);
  return *server;
}

void ConnectionPool::on_endpoint_changed(const core::Endpoint& listed) {
  auto& server = find_or_add(listed.id);
  const bool has_moved = !server.address.empty() && server.address != listed.address;
  const bool is_restarted = listed.started_unix_ms > server.started_unix_ms;
  server.address = listed.address;
  server.started_unix_ms = listed.started_unix_ms;
  server.is_ready = listed.state == EndpointState::kReady;
  server.is_wanted = listed.state != EndpointState::kRemoved;
  if (!server.is_ready) withdraw_queued(server);
  if (server.peer && (!server.is_wanted || has_moved)) {
    const auto peer = std::exchange(server.peer, nullptr);
    peer->close();
    end_unanswered(server, Outcome::kReset);
  }
  if (has_moved || is_restarted) forget_process(server, listed.started);
  if (!server.is_wanted) {
    server.pending_terminations.clear();  // the removed server holds no sessions any more
    loop_.timers.cancel(std::exchange(server.reconnect_timer, 0));
    server.reconnect_delay = kMinReconnectDelay;
  }
  if (server.is_wanted && !server.peer && server.reconnect_timer == 0) connect(server);
}

// The new process counts its Origin-State-Id by itself, so that it may be lower than that of the process
// before. If the current connection is one to the new process, it has reported that process's own.
void ConnectionPool::forget_process(Server& server, std::optional<Instant> started) const {
  server.started = started;
  server.predecessor_state_id = server.state_id;
  const bool is_connected_to_new = server.peer && server.peer->is_up() && server.peer->up_since() >= started;
  server.state_id = is_connected_to_new ? server.peer->state_id() : 0;
  // It may listen already; the delay has grown while the process before did not.
  server.reconnect_delay = kMinReconnectDelay;
  loop_.timers.cancel(std::exchange(server.reconnect_timer, 0));
}

void ConnectionPool::forget_server(ServerId id) {
  const auto found = servers_by_id_.find(id);
  if (found == servers_by_id_.end()) return;
  loop_.timers.cancel(found->second->reconnect_timer);
  if (found->second->peer) found->second->peer->close();
  servers_by_id_.erase(found);
}

bool ConnectionPool::is_available(ServerId id) const {
  const auto found = servers_by_id_.find(id);
  return found != servers_by_id_.end() && found->second->peer && found->second->peer->is_healthy();
}

void ConnectionPool::shut_down() {
  for (auto& [id, server] : servers_by_id_) {
    server->is_wanted = false;
    if (server->peer) server->peer->disconnect();
  }
}

void ConnectionPool::schedule_silence_check() {
  silence_timer_ = loop_.run_after(kSilenceCheckInterval, [this] {
    check_silent_servers();
    schedule_silence_check();
  });
}

void ConnectionPool::check_silent_servers() {
  const Instant now = net::Loop::now();
  std::vector<ServerId> lost;
  for (const auto& [id, server] : servers_by_id_) {
    if (server->peer) server->liveness.on_received(server->peer->last_received_at());
    const bool has_established = std::any_of(server->attempts.begin(), server->attempts.end(),
                                             [](const auto& item) { return item.second.is_established; });
    switch (server->liveness.check(now, has_established)) {
      case core::ServerLiveness::Verdict::kAlive:
        break;
      case core::ServerLiveness::Verdict::kProbe:
        probe(*server);
        break;
      case core::ServerLiveness::Verdict::kLost:
        lost.push_back(id);
        break;
    }
  }
  for (const auto id : lost) table_.abort_calls_at_silent_server(id, "server silent");
}

// The reconnect delay may be longer than the silence after which the sessions are given up.
void ConnectionPool::probe(Server& server) {
  if (server.peer) {
    server.peer->send_watchdog();
    return;
  }
  loop_.timers.cancel(std::exchange(server.reconnect_timer, 0));
  connect(server);
}

void ConnectionPool::connect(Server& server) {
  const auto address = net::parse_endpoint(server.address);
  if (!server.is_wanted || server.peer) return;
  if (!address) {
    net::log::warn(
        "diameter: invalid server address, expected an IP address and a port; no connection is made: ",
        server.address);
    return;
  }
  server.peer = std::make_shared<Peer>(loop_, counters_, identity_, server);
  server.peer->connect(*address, connect_timeout_);
}

// ---- requests of the core ---------------------------------------------------------------------------------

void ConnectionPool::set_up(const core::OutgoingSetUp& set_up) {
  auto& server = find_or_add(set_up.attempt.server);
  if (!is_available(server.id)) {
    asio::post(loop_.io, [this, ref = set_up.attempt] {
      table_.on_attempt_ended(ref, {Outcome::kConnectFailed, core::Cause::kOutOfOrder, false, {}});
    });
    return;
  }
  auto& peer = *server.peer;
  Attempt attempt{set_up.attempt, {}, 0, false};
  // The format of RFC 6733, section 8.8: host, start time of the router, and parts that never repeat.
  attempt.session_id = identity_.host + ";" + std::to_string(identity_.origin_state_id) + ";" +
                       std::to_string(static_cast<std::uint32_t>(set_up.attempt.call)) + ";" +
                       std::to_string(set_up.attempt.attempt) + ";" + std::string(set_up.id);
  auto ccr = peer.request(Command::kCreditControl, kCreditControlApplication, &attempt.hop_by_hop);
  peer.add_origin(ccr.add(AvpCode::kSessionId, attempt.session_id));
  ccr.add(AvpCode::kDestinationRealm, peer.realm()).add(AvpCode::kDestinationHost, peer.host());
  ccr.add(AvpCode::kAuthApplicationId, kCreditControlApplication);
  ccr.add(AvpCode::kServiceContextId, std::string(set_up.call_class) + "@" + identity_.realm);
  ccr.add(AvpCode::kCcRequestType, static_cast<std::uint32_t>(RequestType::kInitial))
      .add(AvpCode::kCcRequestNumber, 0U);
  ccr.add_group(AvpCode::kSubscriptionId, [&](Writer& group) {
    group.add(AvpCode::kSubscriptionIdType, kSubscriptionIdTypePrivate)
        .add(AvpCode::kSubscriptionIdData, set_up.number);
  });
  ccr.add_parameter(ServiceParameter::kDescription, set_up.description);
  ccr.add_parameter(ServiceParameter::kWaitMs,
                    std::to_string(std::chrono::duration_cast<milliseconds>(set_up.answer_timeout).count()));
  server.calls_by_hop_by_hop[attempt.hop_by_hop] = set_up.attempt.call;
  server.calls_by_session[attempt.session_id] = set_up.attempt.call;
  server.attempts[set_up.attempt.call] = std::move(attempt);
  peer.send(ccr, tag(set_up.attempt));
}

bool ConnectionPool::cancel(const core::AttemptId& ref) {
  auto& server = find_or_add(ref.server);
  const auto* attempt = find_attempt(server, ref);
  if (attempt == nullptr) return false;
  const std::string session_id = attempt->session_id;
  erase_attempt(server, ref.call);
  if (server.peer && server.peer->is_up() && server.peer->stream().withdraw(tag(ref))) {
    ++counters_.withdrawn_set_ups;
    return true;
  }
  // Credit-Control has no cancel request, so the session is terminated. If a success answer is already on its
  // way, on_answer() terminates the session a second time.
  terminate_session(server, session_id);
  return false;
}

void ConnectionPool::release(const core::AttemptId& ref, core::Cause /*cause*/) {
  auto& server = find_or_add(ref.server);
  if (const auto* attempt = find_attempt(server, ref)) end_session(server, *attempt);
}

void ConnectionPool::forget_attempt(const core::AttemptId& ref) {
  auto& server = find_or_add(ref.server);
  if (find_attempt(server, ref) != nullptr) erase_attempt(server, ref.call);
}

// The health check is a watchdog request, which every Diameter peer answers.
void ConnectionPool::check_health(ServerId id) {
  auto& server = find_or_add(id);
  if (!is_available(id)) {
    asio::post(loop_.io, [this, id] {
      table_.on_health_check_result(id, Outcome::kConnectFailed, Duration::zero(), {});
    });
    return;
  }
  server.is_health_check_pending = true;
  server.peer->send_watchdog();
}

ConnectionPool::Attempt* ConnectionPool::find_attempt(Server& server, const core::AttemptId& ref) {
  const auto found = server.attempts.find(ref.call);
  return found != server.attempts.end() && found->second.ref.attempt == ref.attempt ? &found->second
                                                                                    : nullptr;
}

void ConnectionPool::erase_attempt(Server& server, CallId call) {
  const auto found = server.attempts.find(call);
  if (found == server.attempts.end()) return;
  server.calls_by_hop_by_hop.erase(found->second.hop_by_hop);
  server.calls_by_session.erase(found->second.session_id);
  server.attempts.erase(found);
}

void ConnectionPool::end_session(Server& server, const Attempt& attempt) {
  const std::string session_id = attempt.session_id;
  erase_attempt(server, attempt.ref.call);
  terminate_session(server, session_id);
}

void ConnectionPool::terminate_session(Server& server, const std::string& session_id) {
  if (!server.peer || !server.peer->is_up()) {
    if (server.pending_terminations.size() < kMaxPendingTerminations)
      server.pending_terminations.push_back(session_id);
    return;
  }
  auto& peer = *server.peer;
  auto ccr = peer.request(Command::kCreditControl, kCreditControlApplication);
  peer.add_origin(ccr.add(AvpCode::kSessionId, session_id));
  ccr.add(AvpCode::kDestinationRealm, peer.realm()).add(AvpCode::kDestinationHost, peer.host());
  ccr.add(AvpCode::kAuthApplicationId, kCreditControlApplication);
  ccr.add(AvpCode::kServiceContextId, "release@" + identity_.realm);
  ccr.add(AvpCode::kCcRequestType, static_cast<std::uint32_t>(RequestType::kTermination));
  ccr.add(AvpCode::kCcRequestNumber, 1U).add(AvpCode::kTerminationCause, kTerminationCauseLogout);
  peer.send(ccr);
}

// Once a server is known to be draining, it must not get new set-ups, so set-ups that are still queued on a
// blocked connection are withdrawn.
void ConnectionPool::withdraw_queued(Server& server) {
  if (!server.peer || !server.peer->is_up()) return;
  std::vector<core::AttemptId> withdrawn;
  for (const auto& [call, attempt] : server.attempts) {
    if (!attempt.is_established && server.peer->stream().withdraw(tag(attempt.ref)))
      withdrawn.push_back(attempt.ref);
  }
  for (const auto& ref : withdrawn) {
    ++counters_.withdrawn_set_ups;
    erase_attempt(server, ref.call);
    table_.on_attempt_ended(ref, {Outcome::kNotSent, core::Cause::kOutOfOrder, false, {}});
  }
}

void ConnectionPool::end_unanswered(Server& server, Outcome outcome) {
  std::vector<core::AttemptId> unanswered;
  for (const auto& [call, attempt] : server.attempts) {
    if (!attempt.is_established) unanswered.push_back(attempt.ref);
  }
  for (const auto& ref : unanswered) {
    erase_attempt(server, ref.call);
    table_.on_attempt_ended(ref, {outcome, core::Cause::kTemporaryFailure, false, {}});
  }
}

// ---- messages of the servers ------------------------------------------------------------------------------

void ConnectionPool::on_answer(Server& server, const Message& message) {
  const auto result = message.number(AvpCode::kResultCode).value_or(0);
  const auto meaning = find_meaning(result);
  const auto found = server.calls_by_hop_by_hop.find(message.hop_by_hop);
  if (found == server.calls_by_hop_by_hop.end()) {
    on_unexpected_answer(server, message, meaning.outcome);
    return;
  }
  auto& attempt = server.attempts.at(found->second);
  const auto ref = attempt.ref;
  const auto session_id = message.text(AvpCode::kSessionId);
  if (!session_id.empty() && session_id != attempt.session_id) {
    fail_malformed_attempt(server, attempt, "another session");
    return;
  }
  if (meaning.outcome == Outcome::kOk) {
    const auto description = message.parameter(ServiceParameter::kDescription);
    if (!description || !core::is_session_description(*description)) {
      fail_malformed_attempt(server, attempt, description ? "invalid description" : "no description");
      return;
    }
    attempt.is_established = true;
    server.calls_by_hop_by_hop.erase(found);
    if (!table_.on_established(ref, *description)) release(ref, core::Cause::kInvalidContents);
    return;
  }
  erase_attempt(server, ref.call);
  net::log::debug("diameter: set-up failed; Result-Code ", result);
  table_.on_attempt_ended(ref, {meaning.outcome, core::Cause::kTemporaryFailure, meaning.is_user_error, {}});
}

// Each attempt has a session of its own, so that a session that is still known has been established by the
// first copy of this answer. A session that is not known belongs to an attempt that is over: it is
// terminated, and no caller is notified.
void ConnectionPool::on_unexpected_answer(Server& server, const Message& message, Outcome outcome) {
  const auto type = message.number(AvpCode::kCcRequestType);
  if (type != static_cast<std::uint32_t>(RequestType::kInitial)) return;
  const std::string session_id(message.text(AvpCode::kSessionId));
  if (server.calls_by_session.contains(session_id)) {
    ++counters_.second_answers;
    net::log::info(second_answer_log_limit_, "diameter: second answer from ", servers_.find(server.id)->name,
                   " to session ", session_id, "; dropped");
    return;
  }
  if (outcome != Outcome::kOk || session_id.empty()) return;
  ++counters_.late_answers;
  net::log::info(second_answer_log_limit_, "diameter: late answer from ", servers_.find(server.id)->name,
                 " to session ", session_id, "; session terminated");
  terminate_session(server, session_id);
}

void ConnectionPool::on_malformed_answer(Server& server, const Message& message) {
  const auto found = server.calls_by_hop_by_hop.find(message.hop_by_hop);
  if (found == server.calls_by_hop_by_hop.end()) return;
  fail_malformed_attempt(server, server.attempts.at(found->second), "invalid AVPs");
}

void ConnectionPool::fail_malformed_attempt(Server& server, const Attempt& attempt, const char* fault) {
  ++counters_.malformed_answers;
  net::log::warn(malformed_log_limit_, "diameter: malformed answer from ", servers_.find(server.id)->name,
                 " to session ", attempt.session_id, ": ", fault, "; session terminated");
  const auto ref = attempt.ref;
  end_session(server, attempt);
  table_.on_attempt_ended(ref, {Outcome::kError, core::Cause::kInvalidContents, false, {}});
}

void ConnectionPool::on_abort(Server& server, const Message& message) {
  const std::string session_id(message.text(AvpCode::kSessionId));
  const auto found = server.calls_by_session.find(session_id);
  const bool is_known = found != server.calls_by_session.end();
  auto asa =
      server.peer->answer(message, {is_known ? ResultCode::kSuccess : ResultCode::kUnknownSession, {}});
  server.peer->send(asa);
  if (!is_known) {
    ++counters_.unknown_ids;
    return;
  }
  const auto& attempt = server.attempts.at(found->second);
  const auto ref = attempt.ref;
  end_session(server, attempt);
  table_.on_attempt_ended(ref, {Outcome::kReset, core::Cause::kTemporaryFailure, false, {}});
}

}  // namespace amberknot::diameter
