#include "diameter/frontend.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "net/listen.hpp"
#include "net/log.hpp"
#include "settings/json_text.hpp"
#include "translate/dialect.hpp"

namespace amberknot::diameter {
namespace {

using std::chrono::milliseconds;

// An aborted session's termination is answered as known for so long.
constexpr Duration kAbortedKept = std::chrono::seconds{30};
constexpr std::size_t kMaxSessions = 20'000;

std::string failed(const Message& message, Code code) {
  const auto* avp = message.find(code);
  return avp != nullptr ? std::string(avp->whole) : missing(code);
}

Result result_of(core::Reason reason) {
  static const auto& dialect = *translate::find_dialect("diameter");
  return static_cast<Result>(translate::word_for(dialect, reason).code);
}

}  // namespace

Frontend::Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters, Identity& identity,
                   const core::Names& names, const Settings& settings, const asio::ip::tcp::endpoint& listen,
                   std::size_t max_connections, std::set<std::string> admitted, TenantOf tenant_of,
                   PoolOf pool_of, const translate::Translator* translator)
    : loop_(loop),
      table_(table),
      counters_(counters),
      identity_(identity),
      names_(names),
      settings_(settings),
      acceptor_(net::shared_acceptor(loop.io, listen)),
      pause_(loop.io),
      max_connections_(max_connections),
      admitted_(std::move(admitted)),
      tenant_of_(std::move(tenant_of)),
      pool_of_(std::move(pool_of)),
      translator_(translator),
      dialect_(translator != nullptr ? translator->client_no("diameter").value() : 0) {
  accept();
}

Frontend::~Frontend() {
  for (const auto& [key, peer] : std::exchange(peers_, {})) peer->close();
}

void Frontend::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      net::log::warn("diameter: accept failed: ", error.message());
      pause_.expires_after(milliseconds{20});
      pause_.async_wait([this](const asio::error_code& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    if (peers_.size() >= max_connections_) {
      net::log::warn("diameter: connection refused: ", peers_.size(), " are open already");
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

Result Frontend::admit(Peer& peer) {
  return admitted_.empty() || admitted_.contains(peer.host()) ? Result::kSuccess : Result::kUnknownPeer;
}

void Frontend::on_up(Peer& peer) {
  // What was released while this host had no connection is told now.
  for (const auto& [id, session] : sessions_) {
    if (session.aborted && session.host == peer.host()) abort(id, session, peer);
  }
}

void Frontend::on_message(Peer& peer, const Message& message) {
  if (!message.request) return;  // an answer to our ASR: its termination follows
  if (!message.is(Command::kCreditControl)) {
    reply(peer, message, {Result::kCommandUnsupported, {}});
    return;
  }
  if (message.application != kCreditControlApplication) {
    reply(peer, message, {Result::kApplicationUnsupported, {}});
    return;
  }
  for (const Code code :
       {Code::kSessionId, Code::kOriginHost, Code::kOriginRealm, Code::kDestinationRealm,
        Code::kAuthApplicationId, Code::kServiceContextId, Code::kCcRequestType, Code::kCcRequestNumber}) {
    if (message.find(code) != nullptr) continue;
    ++counters_.malformed;
    reply(peer, message, {Result::kMissingAvp, missing(code)});
    return;
  }
  const auto type = static_cast<RequestType>(message.number(Code::kCcRequestType).value_or(0));
  if (type == RequestType::kInitial) {
    on_initial(peer, message);
  } else if (type == RequestType::kUpdate || type == RequestType::kTermination) {
    on_later(peer, message, type);
  } else {
    ++counters_.malformed;
    reply(peer, message, {Result::kInvalidAvpValue, failed(message, Code::kCcRequestType)});
  }
}

void Frontend::on_initial(Peer& peer, const Message& message) {
  const std::string id(message.text(Code::kSessionId));
  if (sessions_.contains(id)) {
    // Sent again while the first is still with us: it has one answer, on its way already or to come.
    ++counters_.unknown_ids;
    return;
  }
  const auto context = message.text(Code::kServiceContextId);
  const auto cls = names_.class_no(context.substr(0, context.find('@')));
  std::string_view number;
  if (const auto* subscription = message.find(Code::kSubscriptionId)) {
    Message inner;
    if (auto group = read_group(subscription->data)) inner.avps = std::move(*group);
    number = inner.text(Code::kSubscriptionIdData);
  }
  auto user = message.text(Code::kUserName);
  if (user.empty()) user = peer.realm();
  const auto tenant_name = tenant_of_(user);
  const auto tenant = std::find(names_.tenants.begin(), names_.tenants.end(), tenant_name);
  const auto wait_text = message.parameter(Parameter::kWaitMs);
  const double wait_ms = wait_text ? settings::number_of(*wait_text).value_or(-1.0) : -1.0;
  Fault fault;
  if (!cls) {
    fault = {Result::kInvalidAvpValue, failed(message, Code::kServiceContextId)};
  } else if (message.find(Code::kSubscriptionId) == nullptr) {
    fault = {Result::kMissingAvp, missing(Code::kSubscriptionId)};
  } else if (!core::is_number_called(number)) {
    fault = {Result::kInvalidAvpValue, failed(message, Code::kSubscriptionId)};
  } else if (wait_text && (wait_ms < 0 || wait_ms > 86'400'000)) {
    fault = {Result::kInvalidAvpValue, failed(message, Code::kServiceParameterInfo)};
  } else if (!names_.tenants.empty() && tenant == names_.tenants.end()) {
    fault = {Result::kUserUnknown, {}};
  } else if (sessions_.size() >= kMaxSessions) {
    fault = {Result::kTooBusy, {}};
  }
  if (fault.any()) {
    ++counters_.malformed;
    reply(peer, message, fault);
    return;
  }
  core::NewSetUp set_up;
  // Session servers know calls by 16 hex digits.
  char call_id[17];
  std::snprintf(call_id, sizeof call_id, "%08x%08x", identity_.state_id, next_id_++);
  set_up.id = call_id;
  set_up.call_class = names_.classes[*cls];
  set_up.number = number;
  set_up.description = message.parameter(Parameter::kDescription).value_or(std::string_view());
  set_up.facts.call_class = *cls;
  set_up.facts.tenant = static_cast<std::size_t>(tenant - names_.tenants.begin());
  // A client that does not say how long it waits is taken to wait as long as its class does.
  const Duration patience = wait_text ? Duration{static_cast<std::int64_t>(wait_ms * 1000.0)}
                                      : settings_.classes[set_up.facts.call_class].deadline;
  set_up.facts.expires = net::Loop::now() + patience;
  set_up.facts.first_choice = pool_of_(message.text(Code::kDestinationHost));
  if (translator_ != nullptr) {
    using translate::Meaning;
    auto message = std::make_unique<translate::Message>(
        dialect_, translator_->client(dialect_).of(translate::Kind::kSetUp));
    message->set(Meaning::kCall, set_up.id);
    message->set(Meaning::kClass, set_up.call_class);
    message->set(Meaning::kNumber, set_up.number);
    message->set(Meaning::kTenant, tenant_name);
    message->set(Meaning::kDescription, set_up.description);
    message->set(Meaning::kPatience, patience.count() / 1000);
    set_up.facts.excluded_versions = translator_->rule(*message, scratch_);
    set_up.message = std::move(message);
  }
  const CallId call = table_.admit(*this, std::move(set_up));
  // Only what the answer repeats is kept of the request.
  auto copy =
      Writer::request(Command::kCreditControl, message.application, message.hop_by_hop, message.end_to_end);
  copy.add(Code::kSessionId, id);
  for (const auto& avp : message.avps) {
    const auto code = static_cast<Code>(avp.code);
    if (code == Code::kProxyInfo || code == Code::kCcRequestType || code == Code::kCcRequestNumber) {
      copy.add_raw(avp.whole);
    }
  }
  sessions_[id] = {call, peer.host(), peer.shared_from_this(), copy.finish(), false, false};
  by_call_[call] = id;
  table_.route(call);
}

void Frontend::on_later(Peer& peer, const Message& message, RequestType type) {
  const std::string id(message.text(Code::kSessionId));
  const auto found = sessions_.find(id);
  const bool ends = type == RequestType::kTermination;
  const bool known = found != sessions_.end() && found->second.host == peer.host() &&
                     (ends || (found->second.answered && !found->second.aborted));
  if (!known) {
    ++counters_.unknown_ids;
    reply(peer, message, {Result::kUnknownSession, {}});
    return;
  }
  if (ends) {
    auto& session = found->second;
    // Given up before its answer: the request that is out still gets one, and only one.
    if (!session.answered) finish(session, Result::kUnableToComply, {});
    const auto call = session.call;
    const bool over = session.aborted;
    forget(id);
    if (!over) table_.close_by_client(call, core::Cause::kNormal);
  }
  reply(peer, message, {Result::kSuccess, {}});
}

void Frontend::reply(Peer& peer, const Message& to, const Fault& fault) {
  auto writer = peer.answer(to, fault);
  writer.add(Code::kAuthApplicationId, kCreditControlApplication);
  for (const Code code : {Code::kCcRequestType, Code::kCcRequestNumber}) {
    if (const auto* avp = to.find(code)) writer.add_raw(avp->whole);
  }
  peer.send(writer);
}

bool Frontend::finish(Session& session, Result result, const std::function<void(Writer&)>& fill) {
  const auto read = read_message(session.request, net::kMaxMessage);
  if (!session.peer) return false;
  auto writer = session.peer->answer(read.message, {result, {}});
  writer.add(Code::kAuthApplicationId, kCreditControlApplication);
  for (const auto& avp : read.message.avps) {
    const auto code = static_cast<Code>(avp.code);
    if (code == Code::kCcRequestType || code == Code::kCcRequestNumber) writer.add_raw(avp.whole);
  }
  if (fill) fill(writer);
  auto bytes = writer.finish();
  if (bytes.size() > net::kMaxMessage) return false;
  session.answered = true;
  session.peer->stream().send(std::move(bytes));
  return true;
}

bool Frontend::answer(CallId call, std::string_view description) {
  const auto id = by_call_.find(call);
  if (id == by_call_.end()) return false;
  return finish(sessions_.at(id->second), Result::kSuccess,
                [&](Writer& writer) { writer.add_parameter(Parameter::kDescription, description); });
}

void Frontend::reject(CallId call, core::Reason reason, Duration retry_after) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;
  const std::string id = found->second;
  finish(sessions_.at(id), result_of(reason), [&](Writer& writer) {
    if (retry_after <= Duration::zero()) return;
    const auto ms = std::chrono::duration_cast<milliseconds>(retry_after).count();
    writer.add(Code::kErrorMessage, "come back in " + std::to_string(ms) + " ms");
    writer.add_parameter(Parameter::kRetryAfterMs, std::to_string(ms));
  });
  forget(id);
}

void Frontend::fail(CallId call, core::Reason reason) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;
  const std::string id = found->second;
  finish(sessions_.at(id), result_of(reason), {});
  forget(id);
}

void Frontend::release(CallId call, core::Cause /*cause*/) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;
  const std::string id = found->second;
  auto& session = sessions_.at(id);
  session.aborted = true;
  session.peer.reset();
  by_call_.erase(found);
  loop_.after(kAbortedKept, [this, id] {
    const auto still = sessions_.find(id);
    if (still != sessions_.end() && still->second.aborted) sessions_.erase(still);
  });
  if (const auto peer = peer_of(session.host)) abort(id, session, *peer);
}

void Frontend::abort(const std::string& id, const Session& session, Peer& peer) {
  auto asr = peer.request(Command::kAbortSession, kCreditControlApplication);
  peer.origin(asr.add(Code::kSessionId, id));
  asr.add(Code::kDestinationRealm, peer.realm()).add(Code::kDestinationHost, session.host);
  asr.add(Code::kAuthApplicationId, kCreditControlApplication);
  peer.send(asr);
}

void Frontend::forget(const std::string& id) {
  const auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  by_call_.erase(found->second.call);
  sessions_.erase(found);
}

std::shared_ptr<Peer> Frontend::peer_of(const std::string& host) {
  for (const auto& [key, peer] : peers_) {
    if (peer->is_up() && peer->host() == host) return peer;
  }
  return nullptr;
}

std::uint32_t& Frontend::last_state(Peer& peer) {
  constexpr std::size_t kMaxHosts = 4096;
  if (state_ids_.size() > kMaxHosts) state_ids_.erase(state_ids_.begin());
  return state_ids_[peer.host()];
}

// A client that started anew holds none of its sessions any more: they are released towards the servers, and
// nobody is left to be told.
void Frontend::on_restarted(Peer& peer) {
  std::vector<std::string> lost;
  for (const auto& [id, session] : sessions_) {
    if (session.host == peer.host()) lost.push_back(id);
  }
  net::log::warn("diameter: client ", peer.host(), " has started anew, ", lost.size(), " sessions end");
  for (const auto& id : lost) {
    const auto call = sessions_.at(id).call;
    const bool over = sessions_.at(id).aborted;
    forget(id);
    if (!over) table_.close_by_client(call, core::Cause::kNormal);
  }
}

void Frontend::on_down(Peer& peer, net::CloseReason why) {
  net::log::info("diameter: client ", peer.host(), " ", net::name(why));
  const auto keep = peer.shared_from_this();
  peers_.erase(&peer);
  std::vector<std::string> given_up;
  for (auto& [id, session] : sessions_) {
    if (session.peer != keep) continue;
    session.peer.reset();
    if (!session.answered) given_up.push_back(id);
  }
  for (const auto& id : given_up) {
    const auto call = sessions_.at(id).call;
    forget(id);
    table_.abandon(call);
  }
}

}  // namespace amberknot::diameter
