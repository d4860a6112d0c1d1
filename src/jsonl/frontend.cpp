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

// A connection that has sent no useful message within this time is closed. The time is below the 3 s within
// which the caller must get an answer or see the connection closed.
constexpr Duration kFirstMessageTimeout = milliseconds{2400};
// A line must be complete within this time after its first byte.
constexpr Duration kPartialLineTimeout = milliseconds{2400};
// How long a connection without unanswered or established calls may be idle.
constexpr Duration kIdleTimeout = seconds{30};
// How long releases are kept for a caller that has no open connection.
constexpr Duration kReleaseRetention = seconds{30};
// A release that the caller has not confirmed (`closed`) when its connection is lost is sent again, unless it
// is older than this. The number of releases remembered per connection is bounded. Callers need not confirm,
// so one that never does receives some releases twice.
constexpr Duration kConfirmationTimeout = seconds{3};
constexpr std::size_t kMaxSentReleases = 256;
constexpr Duration kSweepInterval = milliseconds{200};
// During a drain: how often connections are looked at, well within the 50 ms that the operators' page
// PROTOCOL adds to each limit, and how long a new one may take to send its first line.
constexpr Duration kDrainInterval = milliseconds{20};
constexpr Duration kFirstLineGracePeriod = milliseconds{150};
constexpr Duration kRecentUse = seconds{2};
// Lines that are read from one connection before other connections get their turn.
constexpr int kMaxLinesPerTurn = 16;
// Longest remaining time that a caller may state, as a multiple of the deadline of the call's class.
constexpr double kMaxDeadlineFactor = 2.0;
// Memory that a call takes in all tables together, without its texts.
constexpr std::size_t kCallOverheadBytes = 1024;

// Tags of queued lines: an answer has the tag of its call, releases are numbered from this value on.
constexpr net::TcpConnection::Tag kFirstReleaseTag = net::TcpConnection::Tag{1} << 40U;
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
  return static_cast<core::Cause>(translate::code_for_reason(dialect, reason).code);
}

}  // namespace

Frontend::Frontend(net::Loop& loop, core::CallTable& table, core::Counters& counters,
                   const core::ConfiguredNames& names, const Settings& settings,
                   const net::ResourceLimits& limits, const asio::ip::tcp::endpoint& listen,
                   const translate::Translator* translator)
    : loop_(loop),
      table_(table),
      counters_(counters),
      names_(names),
      settings_(settings),
      limits_(limits),
      translator_(translator),
      dialect_(translator != nullptr ? translator->client_dialect_index("json-lines").value() : 0),
      acceptor_(net::shared_acceptor(loop.io, listen)),
      accept_retry_timer_(loop.io) {
  listen_address_ = net::to_text(acceptor_.local_endpoint());
  accept();
  schedule_sweep();
}

// ---- connections ----------------------------------------------------------------------------------------

void Frontend::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      if (!acceptor_.is_open()) return;  // closed by a hot restart
      // Most likely there is no free descriptor; accepting again at once would loop without progress.
      net::log::warn("jsonl: accept failed, retried after a pause: ", error.message());
      accept_retry_timer_.expires_after(milliseconds{20});
      accept_retry_timer_.async_wait([this](const asio::error_code& stopped) {
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
    net::log::warn(capacity_log_limit_,
                   "jsonl: connection of a caller rejected at the connection limit: ", connections_.size(),
                   " are open");
  }
}

void Frontend::add_connection(asio::ip::tcp::socket socket) {
  auto stream = std::make_shared<net::TcpConnection>(loop_, *this);
  auto& connection = connections_[stream.get()];
  connection.stream = stream;
  connection.accepted_at = net::Loop::now();
  stream->start_accepted(std::move(socket));
  if (stream->is_closed()) return;
  net::log::debug("jsonl: connection of caller ", stream->remote(), " accepted");
  const auto caller = stream->remote().address();
  connections_by_caller_[caller].push_back(stream.get());
  // Releases that could not be sent to this caller before are sent on its new connection.
  const auto waiting = undelivered_.find(caller);
  if (waiting == undelivered_.end()) return;
  undelivered_count_ -= waiting->second.releases.size();
  const auto releases = std::move(waiting->second.releases);
  undelivered_.erase(waiting);
  for (const auto& release : releases) {
    if (!is_id_in_use(release)) send_release(*stream, release);
  }
}

// At the connection limit, closes the least valuable connection to make room for the new one: first one that
// is already closing, then the oldest that has sent no useful message, then the one idle for longest.
// Connections with established calls come last, since their callers wait there for the release. A connection
// in the middle of a message is closed only if there is no other, and one with an unanswered set-up never.
bool Frontend::make_room() {
  std::erase_if(lingering_, [](const auto& stream) { return !stream->is_lingering(); });
  if (connections_.size() + lingering_.size() < limits_.max_caller_connections) return true;
  if (!lingering_.empty()) {
    lingering_.front()->close();
    lingering_.pop_front();
    return true;
  }
  Connection* evicted = nullptr;
  std::tuple<bool, bool, bool, Instant> evicted_rank;
  for (auto& [key, connection] : connections_) {
    if (connection.unanswered > 0) continue;
    const std::tuple rank(has_pending_data(connection), connection.is_useful, !connection.calls.empty(),
                          connection.is_useful ? connection.stream->used_at() : connection.accepted_at);
    if (evicted != nullptr && rank >= evicted_rank) continue;
    evicted = &connection;
    evicted_rank = rank;
  }
  if (evicted == nullptr) return false;
  ++counters_.evicted_connections;
  close_connection(*evicted, false, "to make room for a new connection");
  return true;
}

void Frontend::close_connection(Connection& connection, bool flush_output, const char* why) {
  const auto stream = connection.stream;
  net::log::debug("jsonl: connection of caller ", stream->remote(), " closed by the router: ", why);
  remove_connection(*stream, flush_output);
  if (flush_output) {
    stream->close_after_flush();
    lingering_.push_back(stream);
  } else {
    stream->close();
  }
}

bool Frontend::has_pending_data(const Connection& connection) {
  return connection.partial_line_since || connection.stream->queued_bytes() > 0 ||
         connection.stream->has_unread();
}

std::size_t Frontend::on_bytes(net::TcpConnection& stream, std::span<char> bytes) {
  auto& from = connections_.at(&stream);
  std::size_t taken = 0;
  for (int lines = 0; lines < kMaxLinesPerTurn; ++lines) {
    const auto rest = bytes.subspan(taken);
    const auto end = std::find(rest.begin(), rest.end(), '\n');
    const auto size = static_cast<std::size_t>(end - rest.begin());
    if (size > net::kMaxMessageBytes || (end != rest.end() && !on_line(from, rest.first(size), &*end))) {
      ++counters_.unreadable_messages;
      net::log::warn(unreadable_log_limit_, "jsonl: cannot parse a line from caller ", stream.remote(),
                     ": connection closed");
      close_connection(from, true, "unreadable line");
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
    case JsonLine::Type::kHealthCheck:
      from.is_useful = true;
      from.stream->send(health_check_answer_line(read->sid, !drain_.is_standby()));
      break;
    case JsonLine::Type::kOther:  // `closed` is one of these: it confirms a release
      std::erase_if(from.sent_releases,
                    [&](const SentRelease& sent) { return sent.release.call_id == read->sid; });
      break;
  }
  return true;
}

void Frontend::on_closed(net::TcpConnection& stream, net::CloseReason reason) {
  net::log::debug("jsonl: connection of caller ", stream.remote(), " closed: ", close_reason_name(reason));
  remove_connection(stream, false);
}

void Frontend::remove_connection(net::TcpConnection& stream, bool was_flushed) {
  const auto found = connections_.find(&stream);
  if (found == connections_.end()) return;
  const auto closed = std::move(found->second);
  connections_.erase(found);
  if (const auto caller = connections_by_caller_.find(stream.remote().address());
      caller != connections_by_caller_.end()) {
    std::erase(caller->second, &stream);
    if (caller->second.empty()) connections_by_caller_.erase(caller);
  }
  // Calls without an answer end with their connection; established calls are independent of it.
  std::vector<CallId> abandoned_ids;
  std::vector<CallId> undelivered_ids;
  for (const CallId id : closed.calls) {
    auto& call = calls_.at(id);
    call.connection = nullptr;
    const bool is_undelivered = call.answered && !was_flushed && stream.is_unsent(answer_tag(id));
    if (call.answered && !is_undelivered) continue;
    remove_call(id);
    (is_undelivered ? undelivered_ids : abandoned_ids).push_back(id);
  }
  for (const CallId id : abandoned_ids) table_.abandon(id);
  // The caller did not get the answer, does not know that the call is established and will never release it.
  counters_.undelivered_answers += undelivered_ids.size();
  for (const CallId id : undelivered_ids) table_.close_by_client(id, core::Cause::kNormal);
  if (was_flushed) return;  // closed by this side after all output was written
  // Unconfirmed releases may be lost with the connection and are sent again on another one.
  const Instant now = net::Loop::now();
  for (const auto& sent : closed.sent_releases) {
    if (stream.is_unsent(sent.tag) || now - sent.at <= kConfirmationTimeout)
      send_release_to_caller(sent.release);
  }
}

// Closes connections that are silent or never complete a line: descriptors are scarce, and the caller must
// see the connection closed in time (see kFirstMessageTimeout).
void Frontend::schedule_sweep() {
  loop_.run_after(kSweepInterval, [this] {
    const Instant now = net::Loop::now();
    std::vector<net::TcpConnection*> to_close;
    for (const auto& [key, connection] : connections_) {
      const bool is_without_useful_message =
          !connection.is_useful && now - connection.accepted_at > kFirstMessageTimeout;
      const bool is_stalled =
          connection.partial_line_since && now - *connection.partial_line_since > kPartialLineTimeout;
      const bool is_idle = connection.calls.empty() && now - connection.stream->used_at() > kIdleTimeout;
      const bool due = (is_without_useful_message && connection.unanswered == 0) || is_stalled || is_idle;
      // Unread bytes may be a set-up that the caller wrote before this close.
      if (due && !connection.stream->has_unread()) to_close.push_back(key);
    }
    for (auto* key : to_close) {
      const auto found = connections_.find(key);
      if (found == connections_.end()) continue;
      if (!found->second.is_useful) {
        ++counters_.idle_connections_closed;
        net::log::info(idle_log_limit_, "jsonl: caller ", key->remote(),
                       " sent no useful message in time: connection closed");
      }
      close_connection(found->second, true, "no useful message, an incomplete line or idle for too long");
    }
    std::erase_if(undelivered_, [&](const auto& item) {
      if (now - item.second.since <= kReleaseRetention) return false;
      undelivered_count_ -= item.second.releases.size();
      return true;
    });
    std::erase_if(lingering_, [](const auto& stream) { return !stream->is_lingering(); });
    schedule_sweep();
  });
}

void Frontend::set_standby(bool is_standby) {
  if (drain_.is_standby() == is_standby) return;
  loop_.timers.cancel(std::exchange(drain_deadline_timer_, 0));
  const Instant now = net::Loop::now();
  if (is_standby) {
    drain_.begin_standby(now);
    closed_in_standby_ = 0;
    net::log::info("jsonl: standby: health checks fail, idle connections are closed; ",
                   describe_connections());
    drain_deadline_timer_ =
        loop_.run_after(core::ConnectionDrain::kDrainTime, [this] { log_overdue_drain(); });
  } else {
    const auto standby_ms = std::chrono::duration_cast<milliseconds>(now - drain_.standby_since()).count();
    drain_.end_standby();
    net::log::info("jsonl: active: health checks pass, connections are kept; in ", standby_ms,
                   " ms of standby ", closed_in_standby_, " connections were closed; ",
                   describe_connections());
  }
  schedule_drain();
}

void Frontend::log_overdue_drain() {
  drain_deadline_timer_ = 0;
  if (connections_.empty()) return;
  net::log::info("jsonl: standby: the time for the drain is over; ", describe_connections());
}

std::string Frontend::describe_connections() const {
  std::size_t unanswered = 0;
  std::size_t established_only = 0;
  std::size_t with_recent_line = 0;
  const Instant now = net::Loop::now();
  for (const auto& [key, connection] : connections_) {
    if (connection.unanswered > 0) {
      ++unanswered;
    } else if (!connection.calls.empty()) {
      ++established_only;
    }
    if (now - connection.stream->used_at() < kRecentUse) ++with_recent_line;
  }
  return std::to_string(connections_.size()) + " connections are open: " + std::to_string(unanswered) +
         " with unanswered set-ups, " + std::to_string(established_only) + " with established calls only, " +
         std::to_string(with_recent_line) + " used in the last 2 s";
}

void Frontend::begin_hot_restart(std::function<void(core::UndeliveredRelease)> undelivered) {
  if (drain_.is_hot_restarting()) return;
  drain_.begin_hot_restart();
  undelivered_sink_ = std::move(undelivered);
  // The kernel distributes new connections among all listening processes, and resets those that are pending
  // at a listener that closes. Pending connections are therefore accepted first.
  accept_pending();
  acceptor_.close();
  // The callers will connect to the new process.
  for (auto& [caller, waiting] : std::exchange(undelivered_, {})) {
    for (auto& release : waiting.releases) undelivered_sink_(std::move(release));
  }
  undelivered_count_ = 0;
  net::log::info("jsonl: hot restart: ", connections_.size(),
                 " connections of callers, each closed once its set-ups are answered");
  schedule_drain();
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
                      [](const auto& item) { return has_pending_data(item.second); }) &&
         std::none_of(lingering_.begin(), lingering_.end(),
                      [](const auto& stream) { return stream->queued_bytes() > 0; });
}

void Frontend::shut_down() {
  acceptor_.close();
  std::vector<net::TcpConnection*> all;
  for (const auto& [key, connection] : connections_) all.push_back(key);
  for (auto* key : all) close_connection(connections_.at(key), true, "exit of the process");
}

bool Frontend::is_closed() const {
  return std::none_of(lingering_.begin(), lingering_.end(),
                      [](const auto& stream) { return stream->is_lingering(); });
}

core::DrainedConnection Frontend::drain_state(const Connection& connection, Instant now) {
  // A set-up that has partly arrived is read to its end and answered.
  return {.is_new = !connection.is_useful && now - connection.accepted_at < kFirstLineGracePeriod,
          .has_pending_input = connection.partial_line_since.has_value() || connection.stream->has_unread(),
          .unanswered = connection.unanswered,
          .established = connection.calls.size() - connection.unanswered};
}

void Frontend::close_drained_connections() {
  const Instant now = net::Loop::now();
  std::vector<net::TcpConnection*> to_close;
  for (const auto& [key, connection] : connections_) {
    if (drain_.may_close(drain_state(connection, now), now)) to_close.push_back(key);
  }
  for (auto* key : to_close) {
    const auto found = connections_.find(key);
    if (found == connections_.end()) continue;
    ++closed_in_standby_;
    close_connection(found->second, true, "drained");
  }
}

void Frontend::schedule_drain() {
  loop_.timers.cancel(std::exchange(drain_timer_, 0));
  if (!drain_.is_draining()) return;
  close_drained_connections();
  drain_timer_ = loop_.run_after(kDrainInterval, [this] { schedule_drain(); });
}

std::shared_ptr<net::TcpConnection> Frontend::best_connection_of(const asio::ip::address& caller) {
  const auto found = connections_by_caller_.find(caller);
  if (found == connections_by_caller_.end()) return nullptr;
  // The most recently used connection that has served calls is the most likely to be read: other programs may
  // connect from the same address and never send a request.
  const auto rank = [this](net::TcpConnection* stream) {
    return std::pair(connections_.at(stream).is_useful, stream->used_at());
  };
  net::TcpConnection* best = nullptr;
  for (auto* stream : found->second) {
    if (stream->is_open() && (best == nullptr || rank(best) < rank(stream))) best = stream;
  }
  return best != nullptr ? best->shared_from_this() : nullptr;
}

// ---- messages from callers -------------------------------------------------------------------------------

const char* Frontend::find_invalid_field(const JsonLine& line, core::SetUpRequest& to) const {
  const auto class_index = names_.class_index(line.call_class);
  if (!class_index) return "class";
  const auto tenant =
      names_.tenants.empty() ? std::optional<std::size_t>(0) : index_of(names_.tenants, line.tenant);
  if (!tenant) return "tenant";
  const auto& rules = settings_.classes[*class_index];
  // Callers do not wait much longer than the deadline of the class, so a larger value is an error.
  const auto remaining_ms = settings::parse_number(line.remaining_ms);
  const double max_wait_ms = kMaxDeadlineFactor * static_cast<double>(rules.deadline.count()) / 1000.0;
  if (!remaining_ms || *remaining_ms < 0 || *remaining_ms > max_wait_ms) return "left";
  if (!core::is_valid_called_number(line.number)) return "key";
  const auto extras = parse_extras(line.extras);
  if (line.extras.empty() || !extras || !extras->destination_pool) return "extras";
  const PoolId destination_pool{*extras->destination_pool};
  if (!rules.pools.empty() &&
      std::find(rules.pools.begin(), rules.pools.end(), destination_pool) == rules.pools.end()) {
    return "extras dest";
  }
  if (*class_index < names_.max_widths.size() && extras->width > names_.max_widths[*class_index])
    return "extras width";
  if (!line.has_text) return "text";
  to.id = line.sid;
  to.call_class = line.call_class;
  to.number = line.number;
  to.description = line.text;
  to.request.expires = net::Loop::now() + Duration{static_cast<std::int64_t>(*remaining_ms * 1000.0)};
  to.request.preferred_pool = destination_pool;
  to.request.width = extras->width;
  to.request.was_aborted = extras->was_aborted;
  to.request.call_class = *class_index;
  to.request.tenant = *tenant;
  if (translator_ != nullptr) {
    using translate::Meaning;
    auto message = std::make_unique<translate::Message>(
        dialect_, translator_->client_dialect(dialect_).of(translate::MessageKind::kSetUp));
    message->set(Meaning::kCall, line.sid);
    message->set(Meaning::kClass, line.call_class);
    message->set(Meaning::kRemainingWait, static_cast<std::int64_t>(*remaining_ms));
    message->set(Meaning::kTenant, line.tenant);
    message->set(Meaning::kNumber, line.number);
    message->set(Meaning::kDescription, line.text);
    message->set(Meaning::kWasAborted, extras->was_aborted ? 1 : 0);
    to.request.excluded_versions = translator_->ineligible_dialects(*message, translation_scratch_);
    to.message = std::move(message);
  }
  return nullptr;
}

void Frontend::open(Connection& from, const JsonLine& line) {
  const std::string sid(line.sid);
  if (const auto existing = calls_by_sid_.find(sid); existing != calls_by_sid_.end()) {
    on_repeated_id(from, sid, existing->second);
    return;
  }
  core::SetUpRequest set_up;
  if (const char* invalid_field = find_invalid_field(line, set_up)) {
    ++counters_.malformed_set_ups;
    net::log::warn(malformed_log_limit_, "jsonl: set-up ", sid,
                   " failed: invalid or missing field: ", invalid_field);
    from.stream->send(close_line(sid, core::Cause::kInvalidContents));
    return;
  }
  from.is_useful = true;
  const std::size_t message_bytes =
      set_up.message ? sizeof(translate::Message) + 2 * set_up.description.size() : 0;
  const std::size_t held_bytes =
      kCallOverheadBytes + 2 * (set_up.description.size() + set_up.number.size()) + message_bytes;
  if (held_bytes_ + held_bytes > limits_.max_call_bytes ||
      from.held_bytes + held_bytes > limits_.max_call_bytes_per_connection) {
    // The memory limit is reached. The set-up is rejected at once; if limits.may_advise_retry is set, the
    // rejection tells the caller how long to wait before it retries.
    ++counters_.rejected_for_capacity;
    net::log::warn(capacity_log_limit_, "jsonl: set-up rejected at the memory limit: unanswered calls hold ",
                   held_bytes_, " bytes");
    from.stream->send(close_line(
        sid, core::Cause::kCongestion,
        settings_.limits.may_advise_retry ? std::optional(settings_.limits.max_retry_after) : std::nullopt));
    return;
  }
  const CallId id = table_.add_call(*this, std::move(set_up));
  calls_by_sid_[sid] = id;
  calls_[id] = {sid, &from, from.stream->remote().address(), false, held_bytes};
  from.calls.insert(id);
  ++from.unanswered;
  from.held_bytes += held_bytes;
  held_bytes_ += held_bytes;
  if (drain_.serves_set_ups(net::Loop::now())) {
    table_.route(id);
    return;
  }
  ++counters_.rejected_in_standby;
  net::log::info(standby_log_limit_, "jsonl: set-up rejected in standby: ", sid);
  table_.reject_unrouted(id);
}

// Handles a set-up whose id belongs to a live call. If both came on one connection, the caller could not
// match the answers to them, so both end with a single rejection. If it came on another connection, it is
// rejected there and the live call goes on.
void Frontend::on_repeated_id(Connection& from, const std::string& sid, CallId existing) {
  ++counters_.repeated_ids;
  net::log::warn(repeated_log_limit_, "jsonl: set-up failed, its id belongs to a live call: ", sid);
  if (calls_.at(existing).connection == &from) {
    end_call(existing, core::Cause::kInvalidContents);
    table_.close_by_client(existing, core::Cause::kInvalidContents);
  } else {
    from.stream->send(close_line(sid, core::Cause::kInvalidContents));
  }
}

void Frontend::close(Connection& from, const JsonLine& line) {
  const auto found = calls_by_sid_.find(std::string(line.sid));
  // The release is confirmed even if the id is unknown: it may have crossed a release sent by the router, and
  // the caller must get a confirmation.
  from.stream->send(closed_line(line.sid));
  if (found == calls_by_sid_.end()) {
    ++counters_.unknown_ids;
    return;
  }
  from.is_useful = true;
  const CallId id = found->second;
  remove_call(id);
  table_.close_by_client(id, static_cast<core::Cause>(line.code.value_or(16)));
}

// ---- requests of the core --------------------------------------------------------------------------------

// The call is answered or over, and its memory is no longer reserved.
void Frontend::mark_answered(Call& call) {
  if (std::exchange(call.answered, true)) return;
  held_bytes_ -= call.held_bytes;
  if (call.connection == nullptr) return;
  --call.connection->unanswered;
  call.connection->held_bytes -= call.held_bytes;
}

Frontend::Call Frontend::remove_call(CallId id) {
  const auto found = calls_.find(id);
  auto call = std::move(found->second);
  calls_.erase(found);
  calls_by_sid_.erase(call.sid);
  const bool answered = call.answered;
  mark_answered(call);
  call.answered = answered;
  if (call.connection != nullptr) call.connection->calls.erase(id);
  return call;
}

bool Frontend::answer(CallId id, std::string_view description) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.connection == nullptr) return false;
  // If the connection cannot be written any more, it is lost and on_closed() follows.
  if (!found->second.connection->stream->is_open()) return false;
  auto line = ready_line(found->second.sid, description);
  if (line.size() > net::kMaxMessageBytes) return false;
  mark_answered(found->second);
  found->second.connection->stream->send(std::move(line), {}, answer_tag(id));
  return true;
}

void Frontend::reject(CallId id, core::Reason reason, Duration retry_after) {
  end_call(id, cause_of(reason), retry_after > Duration::zero() ? std::optional(retry_after) : std::nullopt);
}

void Frontend::fail(CallId id, core::Reason reason) {
  end_call(id, cause_of(reason));
}

void Frontend::release(CallId id, core::Cause cause) {
  end_call(id, cause);
}

void Frontend::end_call(CallId id, core::Cause cause, std::optional<Duration> wait) {
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
  if (bad || !is_call_id(release.call_id)) return;
  send_release_to_caller(release);
}

void Frontend::send_release(net::TcpConnection& stream, core::UndeliveredRelease release) {
  auto& sent_releases = connections_.at(&stream).sent_releases;
  const Instant now = net::Loop::now();
  while (!sent_releases.empty() &&
         (sent_releases.size() >= kMaxSentReleases || now - sent_releases.front().at > kConfirmationTimeout))
    sent_releases.pop_front();
  const auto tag = kFirstReleaseTag + next_release_tag_++;
  stream.send(close_line(release.call_id, static_cast<core::Cause>(release.cause)), {}, tag);
  sent_releases.push_back({tag, std::move(release), now});
}

// A caller that comes again with an id has forgotten the call that had it before; the release would end the
// new one.
bool Frontend::is_id_in_use(const core::UndeliveredRelease& release) const {
  return calls_by_sid_.contains(release.call_id);
}

void Frontend::send_release_to_caller(core::UndeliveredRelease release) {
  if (is_id_in_use(release)) return;
  const auto caller = asio::ip::make_address(release.caller);
  if (const auto to = best_connection_of(caller)) {
    send_release(*to, std::move(release));
    return;
  }
  if (drain_.is_hot_restarting() && undelivered_sink_) {
    undelivered_sink_(std::move(release));
    return;
  }
  if (undelivered_count_ >= limits_.max_undelivered_releases) return;
  auto& waiting = undelivered_[caller];
  if (waiting.releases.size() >= limits_.max_undelivered_releases_per_peer) return;
  waiting.since = net::Loop::now();
  waiting.releases.push_back(std::move(release));
  ++undelivered_count_;
}

}  // namespace amberknot::jsonl
