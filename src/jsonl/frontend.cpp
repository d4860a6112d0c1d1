#include "jsonl/frontend.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "net/listen.hpp"
#include "settings/json_text.hpp"
#include "translate/dialect.hpp"

namespace amberknot::jsonl {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A connection that has said nothing of use by then is closed: who is owed an answer or a close has 3 s.
constexpr Duration kFirstMessageTimeout = milliseconds{2400};
// So long may a line be on its way.
constexpr Duration kLineTimeout = milliseconds{2400};
// Without a call, unanswered or standing, a connection is kept so long.
constexpr Duration kIdleTimeout = seconds{30};
// A caller that has not come back by then is not told any more.
constexpr Duration kReleaseRetention = seconds{30};
// A release that its caller has not confirmed (`closed`) when the connection is lost is told again, up to
// this age; so many are remembered for a connection. Callers need not confirm: one that never does hears some
// twice.
constexpr Duration kConfirmationTimeout = seconds{3};
constexpr std::size_t kMaxSentReleases = 256;
constexpr Duration kSweepInterval = milliseconds{200};
// In standby: how often connections that owe nothing are looked for, and how long a new one has to say its
// first line. The front keeps sending new connections for 0.2 s after the drain, and at 4 s none that is idle
// or carried a request in the last 2 s may be left (DAYS, drain).
constexpr Duration kIdleCloseInterval = milliseconds{50};
constexpr Duration kFirstLineGracePeriod = milliseconds{150};
// Lines that one connection may have read before the others get their turn.
constexpr int kMaxLinesPerTurn = 16;
// Of its class's deadline a caller may say to wait so many times.
constexpr double kMaxDeadlineFactor = 2.0;
// What a call holds beside its texts, in all tables together.
constexpr std::size_t kCallBytes = 1024;

// Marks of queued lines: answers by their call, releases counted from here on.
constexpr net::TcpConnection::Tag kReleaseTags = net::TcpConnection::Tag{1} << 40U;
net::TcpConnection::Tag answer_tag(CallId id) {
  return static_cast<net::TcpConnection::Tag>(id) + 1;
}

std::optional<std::size_t> index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto at = std::find(names.begin(), names.end(), name);
  if (at == names.end()) return std::nullopt;
  return static_cast<std::size_t>(at - names.begin());
}

core::Cause cause_of(core::Reason reason) {
  static const auto& dialect = *translate::find_dialect("json-lines");
  return static_cast<core::Cause>(translate::word_for(dialect, reason).code);
}

}  // namespace

Frontend::Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters,
                   const core::Names& names, const Settings& settings, const net::ResourceLimits& bounds,
                   const asio::ip::tcp::endpoint& listen, const translate::Translator* translator)
    : loop_(loop),
      table_(table),
      counters_(counters),
      names_(names),
      settings_(settings),
      bounds_(bounds),
      translator_(translator),
      dialect_(translator != nullptr ? translator->client_no("json-lines").value() : 0),
      acceptor_(net::shared_acceptor(loop.io, listen)),
      pause_(loop.io) {
  where_ = net::text_of(acceptor_.local_endpoint());
  accept();
  sweep();
}

// ---- connections ----------------------------------------------------------------------------------------

void Frontend::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      if (!acceptor_.is_open()) return;  // handed over
      // Out of descriptors, most likely: accepting again at once would spin.
      net::log::warn("accept failed: ", error.message());
      pause_.expires_after(milliseconds{20});
      pause_.async_wait([this](const asio::error_code& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    accept_or_reject(std::move(socket));
    if (acceptor_.is_open()) accept();
  });
}

void Frontend::accept_or_reject(asio::ip::tcp::socket socket) {
  if (make_room()) {
    add_connection(std::move(socket));
  } else {
    ++counters_.rejected_for_capacity;
    net::log::warn(capacity_log_limit_, "connection refused: ", connections_.size(), " are open already");
  }
}

void Frontend::add_connection(asio::ip::tcp::socket socket) {
  auto stream = std::make_shared<net::TcpConnection>(loop_, *this);
  auto& connection = connections_[stream.get()];
  connection.stream = stream;
  connection.accepted = net::Loop::now();
  stream->adopt(std::move(socket));
  if (stream->is_closed()) return;
  const auto caller = stream->remote().address();
  by_caller_[caller].push_back(stream.get());
  // What could not be told to this caller is told on its next connection.
  const auto waiting = undelivered_.find(caller);
  if (waiting == undelivered_.end()) return;
  undelivered_lines_ -= waiting->second.releases.size();
  const auto releases = std::move(waiting->second.releases);
  undelivered_.erase(waiting);
  for (const auto& release : releases) send_release(*stream, release);
}

// At the bound the one that is worth least gives way to the newcomer: one that is closing anyway, then the
// oldest that has said nothing of use, then the one that has been idle longest, those with calls that stand
// last, since their callers wait there for the release. One in the middle of a message only where there is no
// other; one with a set-up open never.
bool Frontend::make_room() {
  std::erase_if(lingering_, [](const auto& stream) { return !stream->is_lingering(); });
  if (connections_.size() + lingering_.size() < bounds_.callers) return true;
  if (!lingering_.empty()) {
    lingering_.front()->close();
    lingering_.pop_front();
    return true;
  }
  Connection* victim = nullptr;
  std::tuple<bool, bool, bool, Instant> victim_rank;
  for (auto& [key, one] : connections_) {
    if (one.unanswered > 0) continue;
    const std::tuple rank(is_busy(one), one.is_useful, !one.calls.empty(),
                          one.is_useful ? one.stream->used_at() : one.accepted);
    if (victim != nullptr && rank >= victim_rank) continue;
    victim = &one;
    victim_rank = rank;
  }
  if (victim == nullptr) return false;
  ++counters_.evicted;
  close_connection(*victim, false);
  return true;
}

void Frontend::close_connection(Connection& connection, bool with_what_is_queued) {
  const auto stream = connection.stream;
  forget(*stream, with_what_is_queued);
  if (with_what_is_queued) {
    stream->finish();
    lingering_.push_back(stream);
  } else {
    stream->close();
  }
}

bool Frontend::is_busy(const Connection& one) {
  return one.partial_line_since || one.stream->queued() > 0 || one.stream->has_unread();
}

std::size_t Frontend::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  auto& from = connections_.at(&stream);
  std::size_t taken = 0;
  for (int lines = 0; lines < kMaxLinesPerTurn; ++lines) {
    const auto rest = bytes.subspan(taken);
    const auto end = std::find(rest.begin(), rest.end(), '\n');
    const auto size = static_cast<std::size_t>(end - rest.begin());
    if (size > net::kMaxMessage || (end != rest.end() && !on_line(from, rest.first(size), &*end))) {
      ++counters_.unreadable;
      net::log::warn(unreadable_log_limit_, "unreadable line from ", stream.remote(), ": connection closed");
      close_connection(from, true);
      return bytes.size();
    }
    if (stream.is_closed()) return bytes.size();
    if (end == rest.end()) {
      if (rest.empty()) {
        from.partial_line_since.reset();
      } else if (taken > 0 || !from.partial_line_since) {
        from.partial_line_since = net::Loop::now();
      }
      return taken;
    }
    taken += size + 1;
  }
  if (taken < bytes.size()) {
    stream.yield();
  } else {
    from.partial_line_since.reset();
  }
  return taken;
}

bool Frontend::on_line(Connection& from, std::span<char> line, char* end) {
  if (std::all_of(line.begin(), line.end(), [](char c) { return c == ' ' || c == '\r' || c == '\t'; }))
    return true;
  const auto read = reader_.read(line, end);
  if (!read) return false;
  switch (read->type) {
    case JsonLine::Type::kOpen:
      open(from, *read);
      break;
    case JsonLine::Type::kClose:
      close(from, *read);
      break;
    case JsonLine::Type::kProbe:
      from.is_useful = true;
      from.stream->send(probed_line(read->sid, !is_standby_));
      break;
    case JsonLine::Type::kOther:  // `closed` among them: that release is heard
      std::erase_if(from.sent_releases, [&](const SentRelease& one) { return one.release.id == read->sid; });
      break;
  }
  return true;
}

void Frontend::on_closed(net::TcpConnection& stream, net::CloseReason why) {
  net::log::debug("caller ", stream.remote(), " ", name(why));
  forget(stream, false);
}

void Frontend::forget(net::TcpConnection& stream, bool was_written) {
  const auto found = connections_.find(&stream);
  if (found == connections_.end()) return;
  const auto closed = std::move(found->second);
  connections_.erase(found);
  if (const auto caller = by_caller_.find(stream.remote().address()); caller != by_caller_.end()) {
    std::erase(caller->second, &stream);
    if (caller->second.empty()) by_caller_.erase(caller);
  }
  // What was not answered on it never can be; what stands belongs to no connection.
  std::vector<CallId> given_up;
  std::vector<CallId> unwritten;
  for (const CallId id : closed.calls) {
    auto& call = calls_.at(id);
    call.connection = nullptr;
    const bool is_undelivered = call.answered && !was_written && stream.is_unsent(answer_tag(id));
    if (call.answered && !is_undelivered) continue;
    remove_call(id);
    (is_undelivered ? unwritten : given_up).push_back(id);
  }
  for (const CallId id : given_up) table_.abandon(id);
  // Its caller cannot have heard that the call stands, and will never end it.
  counters_.undelivered_answers += unwritten.size();
  for (const CallId id : unwritten) table_.close_by_client(id, core::Cause::kNormal);
  if (was_written) return;  // closed from here, once all has left
  // What was told on it and not confirmed may be lost with it: told again elsewhere, as servers' releases
  // are.
  const Instant now = net::Loop::now();
  for (const auto& one : closed.sent_releases) {
    if (stream.is_unsent(one.tag) || now - one.at <= kConfirmationTimeout)
      send_release_to_caller(one.release);
  }
}

// Guards against connections that hold a place and say nothing, or never end a line: descriptors are few, and
// their other side is owed a close.
void Frontend::sweep() {
  loop_.after(kSweepInterval, [this] {
    const Instant now = net::Loop::now();
    std::vector<net::TcpConnection*> out;
    for (const auto& [key, one] : connections_) {
      const bool is_silent = !one.is_useful && now - one.accepted > kFirstMessageTimeout;
      const bool is_stalled = one.partial_line_since && now - *one.partial_line_since > kLineTimeout;
      const bool is_idle = one.calls.empty() && now - one.stream->used_at() > kIdleTimeout;
      const bool due = (is_silent && one.unanswered == 0) || is_stalled || is_idle;
      // Bytes that have come and are not read yet: a set-up that its caller had written before this close.
      if (due && !one.stream->has_unread()) out.push_back(key);
    }
    for (auto* key : out) {
      const auto found = connections_.find(key);
      if (found == connections_.end()) continue;
      if (!found->second.is_useful) {
        ++counters_.idle_closed;
        net::log::info(idle_log_limit_, "caller ", key->remote(),
                       " has said nothing of use: connection closed");
      }
      close_connection(found->second, true);
    }
    std::erase_if(undelivered_, [&](const auto& item) {
      if (now - item.second.since <= kReleaseRetention) return false;
      undelivered_lines_ -= item.second.releases.size();
      return true;
    });
    std::erase_if(lingering_, [](const auto& stream) { return !stream->is_lingering(); });
    sweep();
  });
}

void Frontend::set_standby(bool is_standby) {
  if (is_standby_ == is_standby) return;
  is_standby_ = is_standby;
  net::log::info(is_standby ? "standby: callers are sent away" : "active: callers are taken again");
  if (is_hot_restarting_) return;
  loop_.wheel.cancel(std::exchange(closing_, 0));
  if (is_standby) schedule_idle_close();
}

void Frontend::begin_hot_restart(std::function<void(core::UndeliveredRelease)> undelivered) {
  if (std::exchange(is_hot_restarting_, true)) return;
  undelivered_sink_ = std::move(undelivered);
  // The kernel deals new connections out among all that listen, and resets those that wait at a listener that
  // closes: what waits is taken first.
  accept_pending();
  acceptor_.close();
  // Their callers will come to the other process.
  for (auto& [caller, waiting] : std::exchange(undelivered_, {})) {
    for (auto& release : waiting.releases) undelivered_sink_(std::move(release));
  }
  undelivered_lines_ = 0;
  net::log::info("handing over: ", connections_.size(), " callers' connections, each closed once answered");
  loop_.wheel.cancel(std::exchange(closing_, 0));
  schedule_idle_close();
}

void Frontend::accept_pending() {
  acceptor_.non_blocking(true);
  for (;;) {
    asio::error_code none;
    auto socket = acceptor_.accept(none);
    if (none) break;
    accept_or_reject(std::move(socket));
  }
}

bool Frontend::is_settled() {
  if (acceptor_.is_open()) accept_pending();
  return std::none_of(connections_.begin(), connections_.end(),
                      [](const auto& item) { return is_busy(item.second); }) &&
         std::none_of(lingering_.begin(), lingering_.end(),
                      [](const auto& stream) { return stream->queued() > 0; });
}

void Frontend::shut_down() {
  acceptor_.close();
  std::vector<net::TcpConnection*> all;
  for (const auto& [key, one] : connections_) all.push_back(key);
  for (auto* key : all) close_connection(connections_.at(key), true);
}

bool Frontend::is_closed() const {
  return std::none_of(lingering_.begin(), lingering_.end(),
                      [](const auto& stream) { return stream->is_lingering(); });
}

bool Frontend::may_close(const Connection& one, Instant now) const {
  const bool is_fresh = !one.is_useful && now - one.accepted < kFirstLineGracePeriod;
  // A set-up that has begun to come is read whole and answered here.
  const bool has_calls = is_hot_restarting_ ? one.unanswered > 0 : !one.calls.empty();
  return !is_fresh && !has_calls && !one.partial_line_since && !one.stream->has_unread();
}

void Frontend::close_idle_connections() {
  const Instant now = net::Loop::now();
  std::vector<net::TcpConnection*> out;
  for (const auto& [key, one] : connections_) {
    if (may_close(one, now)) out.push_back(key);
  }
  for (auto* key : out) {
    const auto found = connections_.find(key);
    if (found != connections_.end()) close_connection(found->second, true);
  }
}

void Frontend::schedule_idle_close() {
  if (!is_standby_ && !is_hot_restarting_) return;
  close_idle_connections();
  closing_ = loop_.after(kIdleCloseInterval, [this] { schedule_idle_close(); });
}

std::shared_ptr<net::TcpConnection> Frontend::best_connection_of(const asio::ip::address& caller) {
  const auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return nullptr;
  // One that has served calls, and the latest used, is the likeliest to be read: others may come from the
  // same address and never ask for anything.
  const auto rank = [this](net::TcpConnection* one) {
    return std::pair(connections_.at(one).is_useful, one->used_at());
  };
  net::TcpConnection* best = nullptr;
  for (auto* one : found->second) {
    if (one->is_open() && (best == nullptr || rank(best) < rank(one))) best = one;
  }
  return best != nullptr ? best->shared_from_this() : nullptr;
}

// ---- what callers say -----------------------------------------------------------------------------------

const char* Frontend::check(const JsonLine& line, core::NewSetUp& to) const {
  const auto cls = names_.class_no(line.call_class);
  if (!cls) return "class";
  const auto tenant =
      names_.tenants.empty() ? std::optional<std::size_t>(0) : index_of(names_.tenants, line.tenant);
  if (!tenant) return "tenant";
  const auto& rules = settings_.classes[*cls];
  // A caller keeps trying as long as its class's deadline: no try lasts much longer.
  const auto left = settings::number_of(line.left);
  const double max_wait_ms = kMaxDeadlineFactor * static_cast<double>(rules.deadline.count()) / 1000.0;
  if (!left || *left < 0 || *left > max_wait_ms) return "left";
  if (!core::is_number_called(line.key)) return "key";
  const auto extras = read_extras(line.extras);
  if (line.extras.empty() || !extras || !extras->dest) return "extras";
  const PoolId dest{*extras->dest};
  if (!rules.pools.empty() && std::find(rules.pools.begin(), rules.pools.end(), dest) == rules.pools.end()) {
    return "extras dest";
  }
  if (*cls < names_.widths.size() && extras->width > names_.widths[*cls]) return "extras width";
  if (!line.has_text) return "text";
  to.id = line.sid;
  to.call_class = line.call_class;
  to.number = line.key;
  to.description = line.text;
  to.facts.expires = net::Loop::now() + Duration{static_cast<std::int64_t>(*left * 1000.0)};
  to.facts.first_choice = dest;
  to.facts.width = extras->width;
  to.facts.was_aborted = extras->again;
  to.facts.call_class = *cls;
  to.facts.tenant = *tenant;
  if (translator_ != nullptr) {
    using translate::Meaning;
    auto message = std::make_unique<translate::Message>(
        dialect_, translator_->client(dialect_).of(translate::Kind::kSetUp));
    message->set(Meaning::kCall, line.sid);
    message->set(Meaning::kClass, line.call_class);
    message->set(Meaning::kPatience, static_cast<std::int64_t>(*left));
    message->set(Meaning::kTenant, line.tenant);
    message->set(Meaning::kNumber, line.key);
    message->set(Meaning::kDescription, line.text);
    message->set(Meaning::kAgain, extras->again ? 1 : 0);
    to.facts.excluded_versions = translator_->rule(*message, scratch_);
    to.message = std::move(message);
  }
  return nullptr;
}

void Frontend::open(Connection& from, const JsonLine& line) {
  const std::string sid(line.sid);
  if (const auto live = by_sid_.find(sid); live != by_sid_.end()) {
    on_repeated_id(from, sid, live->second);
    return;
  }
  core::NewSetUp set_up;
  if (const char* wrong = check(line, set_up)) {
    ++counters_.malformed;
    net::log::warn(malformed_log_limit_, "set-up ", sid, " failed: bad or missing ", wrong);
    from.stream->send(close_line(sid, core::Cause::kInvalidContents));
    return;
  }
  from.is_useful = true;
  const std::size_t message_bytes =
      set_up.message ? sizeof(translate::Message) + 2 * set_up.description.size() : 0;
  const std::size_t held =
      kCallBytes + 2 * (set_up.description.size() + set_up.number.size()) + message_bytes;
  if (held_ + held > bounds_.calls || from.held + held > bounds_.calls_of_one) {
    // There is no memory to hold it: refused at once, with the time to stay away.
    ++counters_.rejected_for_capacity;
    net::log::warn(capacity_log_limit_, "set-up refused: ", held_, " bytes are held for unanswered calls");
    from.stream->send(close_line(
        sid, core::Cause::kCongestion,
        settings_.limits.retry_advice ? std::optional(settings_.limits.max_retry_advice) : std::nullopt));
    return;
  }
  const CallId id = table_.admit(*this, std::move(set_up));
  by_sid_[sid] = id;
  calls_[id] = {sid, &from, from.stream->remote().address(), false, held};
  from.calls.insert(id);
  ++from.unanswered;
  from.held += held;
  held_ += held;
  table_.route(id);
}

// Two set-ups under one id. On one connection its caller could not tell their answers apart: both end with
// the one that the id is owed. A stranger is answered where it asked, and the live call goes on.
void Frontend::on_repeated_id(Connection& from, const std::string& sid, CallId live) {
  ++counters_.repeated_ids;
  net::log::warn(repeated_log_limit_, "set-up with the id of a live call failed: ", sid);
  if (calls_.at(live).connection == &from) {
    finish(live, core::Cause::kInvalidContents);
    table_.close_by_client(live, core::Cause::kInvalidContents);
  } else {
    from.stream->send(close_line(sid, core::Cause::kInvalidContents));
  }
}

void Frontend::close(Connection& from, const JsonLine& line) {
  const auto found = by_sid_.find(std::string(line.sid));
  // Also where the id is not known: a release crosses ours, and its sender is owed that it was heard.
  from.stream->send(closed_line(line.sid));
  if (found == by_sid_.end()) {
    ++counters_.unknown_ids;
    return;
  }
  from.is_useful = true;
  const CallId id = found->second;
  remove_call(id);
  table_.close_by_client(id, static_cast<core::Cause>(line.code.value_or(16)));
}

// ---- what the core says ---------------------------------------------------------------------------------

// The call is answered or over: what it held is free.
void Frontend::mark_answered(Call& call) {
  if (std::exchange(call.answered, true)) return;
  held_ -= call.held;
  if (call.connection == nullptr) return;
  --call.connection->unanswered;
  call.connection->held -= call.held;
}

Frontend::Call Frontend::remove_call(CallId id) {
  const auto found = calls_.find(id);
  auto call = std::move(found->second);
  calls_.erase(found);
  by_sid_.erase(call.sid);
  const bool answered = call.answered;
  mark_answered(call);
  call.answered = answered;
  if (call.connection != nullptr) call.connection->calls.erase(id);
  return call;
}

bool Frontend::answer(CallId id, std::string_view description) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.connection == nullptr) return false;
  // A connection that cannot be written any more is lost, and its end about to be told.
  if (!found->second.connection->stream->is_open()) return false;
  auto line = ready_line(found->second.sid, description);
  if (line.size() > net::kMaxMessage) return false;
  mark_answered(found->second);
  found->second.connection->stream->send(std::move(line), {}, answer_tag(id));
  return true;
}

void Frontend::reject(CallId id, core::Reason reason, Duration retry_after) {
  finish(id, cause_of(reason), retry_after > Duration::zero() ? std::optional(retry_after) : std::nullopt);
}

void Frontend::fail(CallId id, core::Reason reason) {
  finish(id, cause_of(reason));
}

void Frontend::release(CallId id, core::Cause cause) {
  finish(id, cause);
}

void Frontend::finish(CallId id, core::Cause cause, std::optional<Duration> wait) {
  if (!calls_.contains(id)) return;
  const auto call = remove_call(id);
  const auto to = call.connection != nullptr ? call.connection->stream : nullptr;
  if (!call.answered) {
    if (to) to->send(close_line(call.sid, cause, wait));
    return;
  }
  core::UndeliveredRelease release{call.caller.to_string(), call.sid, static_cast<int>(cause)};
  if (to && to->is_open()) {
    send_release(*to, std::move(release));
  } else {
    send_release_to_caller(std::move(release));
  }
}

void Frontend::deliver_release(const core::UndeliveredRelease& release) {
  asio::error_code bad;
  asio::ip::make_address(release.caller, bad);
  if (bad || !is_call_id(release.id)) return;
  send_release_to_caller(release);
}

void Frontend::send_release(net::TcpConnection& stream, core::UndeliveredRelease release) {
  auto& sent_releases = connections_.at(&stream).sent_releases;
  const Instant now = net::Loop::now();
  while (!sent_releases.empty() &&
         (sent_releases.size() >= kMaxSentReleases || now - sent_releases.front().at > kConfirmationTimeout))
    sent_releases.pop_front();
  const auto tag = kReleaseTags + next_release_++;
  stream.send(close_line(release.id, static_cast<core::Cause>(release.cause)), {}, tag);
  sent_releases.push_back({tag, std::move(release), now});
}

void Frontend::send_release_to_caller(core::UndeliveredRelease release) {
  const auto caller = asio::ip::make_address(release.caller);
  if (const auto to = best_connection_of(caller)) {
    send_release(*to, std::move(release));
    return;
  }
  if (is_hot_restarting_ && undelivered_sink_) {
    undelivered_sink_(std::move(release));
    return;
  }
  if (undelivered_lines_ >= bounds_.waiting) return;
  auto& waiting = undelivered_[caller];
  if (waiting.releases.size() >= bounds_.waiting_of_one) return;
  waiting.since = net::Loop::now();
  waiting.releases.push_back(std::move(release));
  ++undelivered_lines_;
}

}  // namespace amberknot::jsonl
