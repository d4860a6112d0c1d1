#include "diameter/frontend.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/listen.hpp"
#include "net/log.hpp"
#include "settings/json_text.hpp"
#include "translate/dialect.hpp"

namespace amberknot::diameter {
namespace {

using std::chrono::milliseconds;

// How long an aborted session is kept, so that the client's termination request for it is answered with
// success.
constexpr Duration kAbortedSessionRetention = std::chrono::seconds{30};
constexpr std::size_t kMaxSessions = 20'000;

/// Returns the AVP to report in Failed-AVP: the one in the message or, if it is absent, the example that
/// missing_avp() makes.
std::string avp_or_example(const Message& message, AvpCode code) {
  const auto* avp = message.find(code);
  return avp != nullptr ? std::string(avp->encoded) : missing_avp(code);
}

/// Returns the Result-Code that tells a client why a call failed.
ResultCode result_of(core::Reason reason) {
  static const auto& dialect = *translate::find_dialect("diameter");
  return static_cast<ResultCode>(translate::code_for_reason(dialect, reason).code);
}

}  // namespace

Frontend::Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters, Identity& identity,
                   core::CallIdGenerator& call_ids, const core::ConfiguredNames& names,
                   const Settings& settings, const asio::ip::tcp::endpoint& listen,
                   std::size_t max_connections, std::set<std::string> allowed_hosts, TenantLookup find_tenant,
                   PoolLookup find_pool, const translate::Translator* translator)
    : loop_(loop),
      table_(table),
      counters_(counters),
      identity_(identity),
      call_ids_(call_ids),
      names_(names),
      settings_(settings),
      acceptor_(net::shared_acceptor(loop.io, listen)),
      accept_retry_timer_(loop.io),
      max_connections_(max_connections),
      allowed_hosts_(std::move(allowed_hosts)),
      find_tenant_(std::move(find_tenant)),
      find_pool_(std::move(find_pool)),
      translator_(translator),
      dialect_index_(translator != nullptr ? translator->client_dialect_index("diameter").value() : 0) {
  accept();
}

Frontend::~Frontend() {
  for (const auto& [key, peer] : std::exchange(peers_, {})) peer->close();
}

void Frontend::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      net::log::warn("diameter: accept failed; retrying after a pause: ", error.message());
      accept_retry_timer_.expires_after(milliseconds{20});
      accept_retry_timer_.async_wait([this](const asio::error_code& cancelled) {
        if (!cancelled) accept();
      });
      return;
    }
    if (peers_.size() >= max_connections_) {
      net::log::warn("diameter: client connection refused: ", peers_.size(),
                     " connections are open, which is the limit");
    } else {
      auto peer = std::make_shared<Peer>(loop_, counters_, identity_, *this);
      peers_.emplace(peer.get(), peer);
      peer->adopt(std::move(socket));
    }
    accept();
  });
}

void Frontend::shut_down() {
  for (const auto& [key, peer] : peers_) peer->disconnect();
}

void Frontend::set_standby(bool is_standby) {
  if (is_standby) {
    drain_.begin_standby(net::Loop::now());
  } else {
    drain_.end_standby();
  }
}

ResultCode Frontend::admit(Peer& peer) {
  return allowed_hosts_.empty() || allowed_hosts_.contains(peer.host()) ? ResultCode::kSuccess
                                                                        : ResultCode::kUnknownPeer;
}

void Frontend::on_up(Peer& peer) {
  // Sends the abort requests of sessions that were released while this host had no connection.
  for (const auto& [id, session] : sessions_) {
    if (session.is_aborted && session.host == peer.host()) send_abort_request(id, session, peer);
  }
}

void Frontend::on_message(Peer& peer, const Message& message) {
  if (!message.is_request) return;  // an answer to an abort request: the client's termination request follows
  if (!message.has_command(Command::kCreditControl)) {
    reply(peer, message, {ResultCode::kCommandUnsupported, {}});
    return;
  }
  if (message.application != kCreditControlApplication) {
    reply(peer, message, {ResultCode::kApplicationUnsupported, {}});
    return;
  }
  for (const AvpCode code :
       {AvpCode::kSessionId, AvpCode::kOriginHost, AvpCode::kOriginRealm, AvpCode::kDestinationRealm,
        AvpCode::kAuthApplicationId, AvpCode::kServiceContextId, AvpCode::kCcRequestType,
        AvpCode::kCcRequestNumber}) {
    if (message.find(code) != nullptr) continue;
    ++counters_.malformed_set_ups;
    reply(peer, message, {ResultCode::kMissingAvp, missing_avp(code)});
    return;
  }
  const auto type = static_cast<RequestType>(message.number(AvpCode::kCcRequestType).value_or(0));
  if (type == RequestType::kInitial) {
    on_initial_request(peer, message);
  } else if (type == RequestType::kUpdate || type == RequestType::kTermination) {
    on_update_or_termination(peer, message, type);
  } else {
    ++counters_.malformed_set_ups;
    reply(peer, message, {ResultCode::kInvalidAvpValue, avp_or_example(message, AvpCode::kCcRequestType)});
  }
}

void Frontend::on_initial_request(Peer& peer, const Message& message) {
  const std::string id(message.text(AvpCode::kSessionId));
  if (const auto existing = sessions_.find(id); existing != sessions_.end()) {
    on_repeated_request(peer, message, existing->second);
    return;
  }
  const auto context = message.text(AvpCode::kServiceContextId);
  const auto class_index = names_.class_index(context.substr(0, context.find('@')));
  std::string_view number;
  if (const auto* subscription = message.find(AvpCode::kSubscriptionId)) {
    Message group_message;
    if (auto group = read_group(subscription->data)) group_message.avps = std::move(*group);
    number = group_message.text(AvpCode::kSubscriptionIdData);
  }
  auto user_name = message.text(AvpCode::kUserName);
  if (user_name.empty()) user_name = peer.realm();
  const auto tenant_name = find_tenant_(user_name);
  const auto tenant = std::find(names_.tenants.begin(), names_.tenants.end(), tenant_name);
  const auto wait_text = message.parameter(ServiceParameter::kWaitMs);
  const double wait_ms = wait_text ? settings::parse_number(*wait_text).value_or(-1.0) : -1.0;
  Fault fault;
  if (!class_index) {
    fault = {ResultCode::kInvalidAvpValue, avp_or_example(message, AvpCode::kServiceContextId)};
  } else if (message.find(AvpCode::kSubscriptionId) == nullptr) {
    fault = {ResultCode::kMissingAvp, missing_avp(AvpCode::kSubscriptionId)};
  } else if (!core::is_valid_called_number(number)) {
    fault = {ResultCode::kInvalidAvpValue, avp_or_example(message, AvpCode::kSubscriptionId)};
  } else if (wait_text && (wait_ms < 0 || wait_ms > 86'400'000)) {
    fault = {ResultCode::kInvalidAvpValue, avp_or_example(message, AvpCode::kServiceParameterInfo)};
  } else if (!names_.tenants.empty() && tenant == names_.tenants.end()) {
    fault = {ResultCode::kUserUnknown, {}};
  } else if (sessions_.size() >= kMaxSessions) {
    fault = {ResultCode::kTooBusy, {}};
  }
  if (fault.is_set()) {
    ++counters_.malformed_set_ups;
    reply(peer, message, fault);
    return;
  }
  core::SetUpRequest set_up;
  set_up.id = call_ids_.next();
  set_up.repeat_key = peer.host() + ";" + id;
  set_up.call_class = names_.classes[*class_index];
  set_up.number = number;
  set_up.description = message.parameter(ServiceParameter::kDescription).value_or(std::string_view());
  set_up.request.call_class = *class_index;
  set_up.request.tenant = static_cast<std::size_t>(tenant - names_.tenants.begin());
  // Without a wait parameter, the call's deadline is that of its class.
  const Duration max_wait = wait_text ? Duration{static_cast<std::int64_t>(wait_ms * 1000.0)}
                                      : settings_.classes[set_up.request.call_class].deadline;
  set_up.request.expires = net::Loop::now() + max_wait;
  set_up.request.preferred_pool = find_pool_(message.text(AvpCode::kDestinationHost));
  if (translator_ != nullptr) {
    using translate::Meaning;
    auto set_up_message = std::make_unique<translate::Message>(
        dialect_index_, translator_->client_dialect(dialect_index_).of(translate::MessageKind::kSetUp));
    set_up_message->set(Meaning::kCall, set_up.id);
    set_up_message->set(Meaning::kClass, set_up.call_class);
    set_up_message->set(Meaning::kNumber, set_up.number);
    set_up_message->set(Meaning::kTenant, tenant_name);
    set_up_message->set(Meaning::kDescription, set_up.description);
    set_up_message->set(Meaning::kRemainingWait, max_wait.count() / 1000);
    set_up.request.excluded_versions = translator_->ineligible_dialects(*set_up_message, scratch_);
    set_up.message = std::move(set_up_message);
  }
  const CallId call = table_.add_call(*this, std::move(set_up));
  // Only the parts of the request that the answer repeats are kept.
  auto request_parts =
      Writer::request(Command::kCreditControl, message.application, message.hop_by_hop, message.end_to_end);
  request_parts.add(AvpCode::kSessionId, id);
  for (const auto& avp : message.avps) {
    if (avp.has_code(AvpCode::kProxyInfo) || avp.has_code(AvpCode::kCcRequestType) ||
        avp.has_code(AvpCode::kCcRequestNumber)) {
      request_parts.add_raw(avp.encoded);
    }
  }
  sessions_[id] = {call, peer.host(), peer.shared_from_this(), request_parts.finish(), false, false};
  session_ids_by_call_[call] = id;
  if (drain_.serves_set_ups(net::Loop::now())) {
    table_.route(call);
    return;
  }
  ++counters_.rejected_in_standby;
  table_.reject_unrouted(call);
}

// A repeated request of the same client is not answered: the first request has been or will be answered. The
// Session-Id of another client's session is an error of the client that sends it.
void Frontend::on_repeated_request(Peer& peer, const Message& message, const Session& existing) {
  if (existing.host == peer.host()) {
    ++counters_.unknown_ids;
    return;
  }
  ++counters_.malformed_set_ups;
  reply(peer, message, {ResultCode::kInvalidAvpValue, avp_or_example(message, AvpCode::kSessionId)});
}

void Frontend::on_update_or_termination(Peer& peer, const Message& message, RequestType type) {
  const std::string id(message.text(AvpCode::kSessionId));
  const auto found = sessions_.find(id);
  const bool is_termination = type == RequestType::kTermination;
  const bool is_known = found != sessions_.end() && found->second.host == peer.host() &&
                        (is_termination || (found->second.is_answered && !found->second.is_aborted));
  if (!is_known) {
    ++counters_.unknown_ids;
    reply(peer, message, {ResultCode::kUnknownSession, {}});
    return;
  }
  if (is_termination) {
    auto& session = found->second;
    // The client gives up before the initial request is answered: that request still gets its only answer.
    if (!session.is_answered) answer_initial_request(session, ResultCode::kUnableToComply, {});
    const auto call = session.call;
    const bool was_aborted = session.is_aborted;
    erase_session(id);
    if (!was_aborted) table_.close_by_client(call, core::Cause::kNormal);
  }
  reply(peer, message, {ResultCode::kSuccess, {}});
}

void Frontend::reply(Peer& peer, const Message& to, const Fault& fault) {
  auto writer = peer.answer(to, fault);
  writer.add(AvpCode::kAuthApplicationId, kCreditControlApplication);
  for (const AvpCode code : {AvpCode::kCcRequestType, AvpCode::kCcRequestNumber}) {
    if (const auto* avp = to.find(code)) writer.add_raw(avp->encoded);
  }
  peer.send(writer);
}

bool Frontend::answer_initial_request(Session& session, ResultCode result,
                                      const std::function<void(Writer&)>& fill) {
  const auto read = read_message(session.request, net::kMaxMessageBytes);
  if (!session.peer) return false;
  auto writer = session.peer->answer(read.message, {result, {}});
  writer.add(AvpCode::kAuthApplicationId, kCreditControlApplication);
  for (const auto& avp : read.message.avps) {
    if (avp.has_code(AvpCode::kCcRequestType) || avp.has_code(AvpCode::kCcRequestNumber))
      writer.add_raw(avp.encoded);
  }
  if (fill) fill(writer);
  auto bytes = writer.finish();
  if (bytes.size() > net::kMaxMessageBytes) return false;
  session.is_answered = true;
  session.peer->stream().send(std::move(bytes));
  return true;
}

bool Frontend::answer(CallId call, std::string_view description) {
  const auto id = session_ids_by_call_.find(call);
  if (id == session_ids_by_call_.end()) return false;
  return answer_initial_request(sessions_.at(id->second), ResultCode::kSuccess, [&](Writer& writer) {
    writer.add_parameter(ServiceParameter::kDescription, description);
  });
}

void Frontend::reject(CallId call, core::Reason reason, Duration retry_after) {
  const auto found = session_ids_by_call_.find(call);
  if (found == session_ids_by_call_.end()) return;
  const std::string id = found->second;
  answer_initial_request(sessions_.at(id), result_of(reason), [&](Writer& writer) {
    if (retry_after <= Duration::zero()) return;
    const auto ms = std::chrono::duration_cast<milliseconds>(retry_after).count();
    writer.add(AvpCode::kErrorMessage, "come back in " + std::to_string(ms) + " ms");
    writer.add_parameter(ServiceParameter::kRetryAfterMs, std::to_string(ms));
  });
  erase_session(id);
}

void Frontend::fail(CallId call, core::Reason reason) {
  const auto found = session_ids_by_call_.find(call);
  if (found == session_ids_by_call_.end()) return;
  const std::string id = found->second;
  answer_initial_request(sessions_.at(id), result_of(reason), {});
  erase_session(id);
}

void Frontend::release(CallId call, core::Cause /*cause*/) {
  const auto found = session_ids_by_call_.find(call);
  if (found == session_ids_by_call_.end()) return;
  const std::string id = found->second;
  auto& session = sessions_.at(id);
  session.is_aborted = true;
  session.peer.reset();
  session_ids_by_call_.erase(found);
  loop_.run_after(kAbortedSessionRetention, [this, id] {
    const auto expired = sessions_.find(id);
    if (expired != sessions_.end() && expired->second.is_aborted) sessions_.erase(expired);
  });
  if (const auto peer = find_peer(session.host)) send_abort_request(id, session, *peer);
}

void Frontend::send_abort_request(const std::string& id, const Session& session, Peer& peer) {
  auto asr = peer.request(Command::kAbortSession, kCreditControlApplication);
  peer.add_origin(asr.add(AvpCode::kSessionId, id));
  asr.add(AvpCode::kDestinationRealm, peer.realm()).add(AvpCode::kDestinationHost, session.host);
  asr.add(AvpCode::kAuthApplicationId, kCreditControlApplication);
  peer.send(asr);
}

void Frontend::erase_session(const std::string& id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  session_ids_by_call_.erase(found->second.call);
  sessions_.erase(found);
}

std::shared_ptr<Peer> Frontend::find_peer(const std::string& host) {
  for (const auto& [key, peer] : peers_) {
    if (peer->is_up() && peer->host() == host) return peer;
  }
  return nullptr;
}

std::uint32_t& Frontend::last_state_id(Peer& peer) {
  constexpr std::size_t kMaxHosts = 4096;
  if (state_ids_by_host_.size() > kMaxHosts) state_ids_by_host_.erase(state_ids_by_host_.begin());
  return state_ids_by_host_[peer.host()];
}

// A client that has restarted has lost all its sessions: they are released at the servers, and the client is
// not told.
void Frontend::on_restarted(Peer& peer) {
  std::vector<std::string> lost_ids;
  for (const auto& [id, session] : sessions_) {
    if (session.host == peer.host()) lost_ids.push_back(id);
  }
  net::log::warn("diameter: client ", peer.host(), " has restarted; ", lost_ids.size(),
                 " of its sessions are ended");
  for (const auto& id : lost_ids) {
    const auto call = sessions_.at(id).call;
    const bool was_aborted = sessions_.at(id).is_aborted;
    erase_session(id);
    if (!was_aborted) table_.close_by_client(call, core::Cause::kNormal);
  }
}

void Frontend::on_down(Peer& peer, net::CloseReason reason) {
  net::log::info("diameter: connection of client ", peer.host(), " closed: ", net::close_reason_name(reason));
  const auto closed_peer = peer.shared_from_this();
  peers_.erase(&peer);
  std::vector<std::string> abandoned_ids;
  for (auto& [id, session] : sessions_) {
    if (session.peer != closed_peer) continue;
    session.peer.reset();
    if (!session.is_answered) abandoned_ids.push_back(id);
  }
  for (const auto& id : abandoned_ids) {
    const auto call = sessions_.at(id).call;
    erase_session(id);
    table_.abandon(call);
  }
}

}  // namespace amberknot::diameter
