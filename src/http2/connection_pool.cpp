#include "http2/connection_pool.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/load_report.hpp"
#include "translate/message.hpp"
#include "translate/retry_after.hpp"

namespace amberknot::http2 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using translate::DialectNo;
using translate::Kind;
using translate::Meaning;

constexpr std::size_t kWarmConnections = 2;
constexpr std::size_t kMaxConnections = 4;
constexpr Duration kMinBackoff = milliseconds{100};
constexpr Duration kMaxBackoff = seconds{1};
// What was never taken goes by another connection of its server so many times, then it is the module's.
constexpr int kMaxMoved = 3;
// A release is told so many times; its server may hold what nobody can release.
constexpr int kMaxReleaseTries = 20;
constexpr Duration kReleaseAgain = milliseconds{300};
// After "enhance your calm" on a connection nothing new is sent to that server for so long.
constexpr Duration kCalm = seconds{1};
// A set-up that was handed over and not written, while its server drains, for so long: the connection is
// given up.
constexpr Duration kBlockedDrain = milliseconds{400};
// Sessions are asked for one by one once events were lost: 50 a second.
constexpr Duration kCheckEvery = milliseconds{20};
constexpr Duration kEventsAgain = milliseconds{100};

core::AttemptEnd end_of(Outcome outcome, core::Cause cause = core::Cause::kTemporaryFailure) {
  core::AttemptEnd end;
  end.outcome = outcome;
  end.cause = cause;
  return end;
}

core::AttemptEnd error_of(const core::ErrorMeaning& meaning,
                          std::optional<Duration> retry_after = std::nullopt) {
  auto end = end_of(Outcome::kError);
  end.error = meaning;
  end.retry_after = retry_after;
  return end;
}

}  // namespace

struct ConnectionPool::Conn : Connection::Handler {
  Conn(ConnectionPool& all, Server& server, std::uint64_t number)
      : all(all), server(server), number(number) {}
  void on_up(Connection& /*c*/) override { all.on_up(*this); }
  void on_response(Connection& /*c*/, Key key, Response& response) override {
    all.on_response(*this, key, response);
  }
  void on_failure(Connection& /*c*/, Key key, Failure failure) override {
    all.on_failure(*this, key, failure);
  }
  bool on_chunk(Connection& /*c*/, Key key, int status, std::string_view chunk) override {
    return all.on_chunk(*this, key, status, chunk);
  }
  void on_room(Connection& /*c*/) override;
  void on_health(Connection& /*c*/, bool /*healthy*/) override;
  void on_going_away(Connection& /*c*/) override;
  void on_down(Connection& /*c*/, net::CloseReason why) override { all.on_down(*this, why); }

  ConnectionPool& all;
  Server& server;
  std::uint64_t number;
  std::shared_ptr<Connection> connection;
  Instant up{};
};

struct ConnectionPool::Server {
  explicit Server(ServerId id) : id(id) {}
  ServerId id;
  std::string name;
  std::string address;
  std::int64_t started = 0;
  bool wanted = false;
  bool ready = false;     // by the list
  bool draining = false;  // by its own word
  bool told_serving = false;
  std::string process;
  std::vector<std::shared_ptr<Conn>> connections;
  std::deque<CallId> waiting;  // set-ups that have not left
  std::map<std::string, Release> releases;
  Instant calm_until{};
  core::TimerWheel::Handle retry = 0;
  core::TimerWheel::Handle calm = 0;
  core::TimerWheel::Handle release_timer = 0;
  Duration backoff = kMinBackoff;
  // The stream of events.
  Key events = 0;  // zero: none is read
  core::TimerWheel::Handle events_timer = 0;
  std::uint64_t last_event = 0;
  bool resumable = false;
  settings::SseReader reader{net::kMaxMessage};
  std::deque<std::string> to_check;
  core::TimerWheel::Handle check_timer = 0;
};

void ConnectionPool::Conn::on_room(Connection& /*c*/) {
  all.pump(server);
}
void ConnectionPool::Conn::on_health(Connection& /*c*/, bool healthy) {
  net::log::info(all.log_link_, "session api: ", server.name,
                 healthy ? " answers its ping again" : " leaves a ping unanswered");
  all.pump(server);
}
void ConnectionPool::Conn::on_going_away(Connection& /*c*/) {
  // Another one is made at once, so that the next set-up does not wait for it.
  all.keep_warm(server);
  if (all.out_.contains(server.events)) all.again_events(server);
}

ConnectionPool::ConnectionPool(net::Loop& loop, core::CallTable& table, core::EndpointRegistry& servers,
                               core::Counters& counters, const net::ResourceLimits& bounds,
                               const translate::Translator& translator, Duration connect_limit,
                               Duration max_stay_away, Configured configured, OnChange on_change)
    : loop_(loop),
      table_(table),
      servers_(servers),
      counters_(counters),
      bounds_(bounds),
      translator_(translator),
      connect_limit_(connect_limit),
      max_stay_away_(max_stay_away),
      configured_(std::move(configured)),
      on_change_(std::move(on_change)),
      versions_({}, [&translator] {
        // Only the session API's versions can be learned.
        std::vector<std::uint32_t> ranks;
        for (std::size_t i = 0; i < translator.servers(); ++i) {
          const auto& dialect = translator.server(static_cast<DialectNo>(i));
          ranks.push_back(dialect.name.rfind("session-", 0) == 0 ? dialect.version : 0);
        }
        return ranks;
      }()) {}

ConnectionPool::~ConnectionPool() {
  loop_.wheel.cancel(look_);
  for (auto& [id, server] : by_id_) {
    stop_timers(*server);
    for (auto& conn : server->connections) conn->connection->close();
  }
}

void ConnectionPool::stop_timers(const Server& server) {
  for (const auto timer :
       {server.retry, server.calm, server.release_timer, server.events_timer, server.check_timer}) {
    loop_.wheel.cancel(timer);
  }
}

ConnectionPool::Server& ConnectionPool::of(ServerId id) {
  auto& server = by_id_[id];
  if (!server) server = std::make_unique<Server>(id);
  return *server;
}

// ---- the list -------------------------------------------------------------------------------------------

void ConnectionPool::on_endpoint_changed(const core::Endpoint& listed) {
  auto& server = of(listed.id);
  server.name = listed.name;
  const bool moved = !server.address.empty() && server.address != listed.address;
  const bool anew = listed.started_unix_ms > server.started;
  server.address = listed.address;
  server.started = listed.started_unix_ms;
  server.ready = listed.state == EndpointState::kReady;
  server.wanted = listed.state != EndpointState::kRemoved;
  if (anew) server.draining = false;
  // The drain rule binds at the write: what has not left does not leave.
  if (!server.ready) take_back(server);
  if (!server.wanted || moved) {
    const auto gone = std::exchange(server.connections, {});
    connections_ -= gone.size();
    server.events = 0;
    for (const auto& conn : gone) {
      // The handler would find its server changed already: what was out is told here.
      std::vector<core::AttemptRef> lost;
      for (const auto& [call, attempt] : attempts_) {
        if (attempt.conn == conn.get()) lost.push_back(attempt.ref);
      }
      conn->connection->close();
      forget_out(server, *conn);
      std::sort(lost.begin(), lost.end(), [](const auto& a, const auto& b) { return a.call < b.call; });
      for (const auto& ref : lost) end(ref, end_of(Outcome::kReset));
    }
  }
  if (!server.wanted) {
    server.releases.clear();
    server.to_check.clear();
    loop_.wheel.cancel(std::exchange(server.retry, 0));
    versions_.gone(server.id);
    return;
  }
  translate::Versions::Actions actions;
  versions_.listed(net::Loop::now(), server.id, server.address, server.started, configured_(server.name),
                   actions);
  apply(std::move(actions));
  keep_warm(server);
}

void ConnectionPool::forget_server(ServerId id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  auto& server = *found->second;
  stop_timers(server);
  for (auto& conn : server.connections) {
    conn->connection->close();
    forget_out(server, *conn);
  }
  connections_ -= server.connections.size();
  versions_.gone(id);
  by_id_.erase(found);
}

bool ConnectionPool::is_available(ServerId id) const {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return false;
  return versions_.speaks(id).has_value() && !found->second->draining;
}

void ConnectionPool::forget_out(Server& server, const Conn& conn) {
  std::erase_if(out_, [&](const auto& item) {
    const auto& out = item.second;
    if (out.connection != conn.number) return false;
    if (out.what == What::kRelease) release_out(server, out.id, false);
    return true;
  });
}

void ConnectionPool::end_waiting(Server& server) {
  const auto back = std::exchange(server.waiting, {});
  for (const auto call : back) {
    const auto found = attempts_.find(call);
    if (found == attempts_.end()) continue;
    ++counters_.withdrawn;
    end(found->second.ref, end_of(Outcome::kNotSent, core::Cause::kOutOfOrder));
  }
}

void ConnectionPool::take_back(Server& server) {
  end_waiting(server);
  // A set-up that was handed over while the socket took it whole may still wait in part: nothing can be taken
  // out of a connection's order of frames, so the connection itself is given up where that lasts.
  for (const auto& conn : server.connections) {
    if (!conn->connection->is_blocked()) continue;
    loop_.after(kBlockedDrain, [this, id = server.id, number = conn->number] {
      const auto found = by_id_.find(id);
      if (found == by_id_.end() || found->second->ready) return;
      for (const auto& one : std::vector(found->second->connections)) {
        if (one->number == number && one->connection->is_blocked())
          one->connection->fail(net::CloseReason::kReset);
      }
    });
  }
}

// ---- versions -------------------------------------------------------------------------------------------

void ConnectionPool::apply(translate::Versions::Actions actions) {
  for (const auto& action : actions) {
    const auto found = by_id_.find(action.server);
    if (found == by_id_.end()) continue;
    auto& server = *found->second;
    if (action.what == translate::VersionAction::What::kChanged) {
      if (auto* listed = servers_.find(server.id)) listed->version = action.dialect.value_or(core::kNotKnown);
      net::log::info(
          "session api: ", server.name, " speaks ",
          action.dialect ? translator_.server(*action.dialect).name : std::string("nothing that is known"));
      // The module hears first: what is taken back is placed anew at once and must not go there again.
      on_change_(server.id, false);
      if (!action.dialect) {
        end_waiting(server);
      }
      continue;
    }
    for (const auto& conn : server.connections) {
      if (conn->number != action.connection || !conn->connection->has_room()) continue;
      const Key key = next_key_++;
      out_[key] = {What::kVersions, {}, {}, net::Loop::now(), conn->number};
      if (!conn->connection->request(key, {"GET", "/versions", {{"accept", "application/json"}}}))
        out_.erase(key);
    }
  }
  look_at_versions();
}

void ConnectionPool::look_at_versions() {
  const auto next = versions_.next_tick();
  if (!next || look_ != 0) return;
  look_ = loop_.wheel.at(std::min(*next, net::Loop::now() + seconds{1}), [this] {
    look_ = 0;
    translate::Versions::Actions actions;
    versions_.tick(net::Loop::now(), actions);
    apply(std::move(actions));
  });
}

// ---- connections ----------------------------------------------------------------------------------------

void ConnectionPool::keep_warm(Server& server) {
  if (!server.wanted || server.retry != 0) return;
  const auto usable = [](const auto& conn) {
    return !conn->connection->is_closed() && !conn->connection->is_going_away();
  };
  while (static_cast<std::size_t>(std::count_if(server.connections.begin(), server.connections.end(),
                                                usable)) < kWarmConnections) {
    const auto had = server.connections.size();
    connect(server);
    if (server.connections.size() == had) return;
  }
}

void ConnectionPool::connect(Server& server) {
  const auto to = net::read_endpoint(server.address);
  if (!to) {
    net::log::warn("server address cannot be read: ", server.address);
    return;
  }
  if (connections_ >= bounds_.upstream_connections && !server.connections.empty()) return;
  if (server.connections.size() >= kMaxConnections + kWarmConnections) return;  // some may be going away
  Connection::Limits limits;
  limits.connect = connect_limit_;
  limits.streams = bounds_.streams_of_one;
  auto conn = std::make_shared<Conn>(*this, server, next_connection_++);
  conn->connection = std::make_shared<Connection>(loop_, *conn, limits);
  server.connections.push_back(conn);
  ++connections_;
  conn->connection->connect(*to);
}

void ConnectionPool::on_up(Conn& conn) {
  auto& server = conn.server;
  conn.up = net::Loop::now();
  server.backoff = kMinBackoff;
  translate::Versions::Actions actions;
  versions_.connected(conn.up, server.id, conn.number, actions);
  apply(std::move(actions));
  if (server.events == 0) follow_events(server);
  pump(server);
}

void ConnectionPool::on_down(Conn& gone, net::CloseReason why) {
  auto& server = gone.server;
  const auto at = std::find_if(server.connections.begin(), server.connections.end(),
                               [&](const auto& one) { return one.get() == &gone; });
  if (at == server.connections.end()) return;
  const auto keep = *at;
  server.connections.erase(at);
  --connections_;
  const bool was_up = gone.up != Instant{};
  net::log::info(log_link_, "session api: connection to ", server.name, " ", net::name(why));
  versions_.disconnected(net::Loop::now(), server.id, gone.number);
  look_at_versions();
  if (!server.wanted) return;
  if (!was_up && server.connections.empty()) {
    // Nobody is there to take what waits: nothing of it has left.
    const auto lost = std::exchange(server.waiting, {});
    for (const auto call : lost) {
      const auto attempt = attempts_.find(call);
      if (attempt != attempts_.end()) end(attempt->second.ref, end_of(Outcome::kConnectFailed));
    }
    if (why == net::CloseReason::kRefused) table_.abort_all(server.id, "connection refused");
  }
  if (server.retry != 0) return;
  server.retry = loop_.after(was_up ? kMinBackoff / 10 : server.backoff, [this, &server] {
    server.retry = 0;
    keep_warm(server);
  });
  if (!was_up) server.backoff = std::min(server.backoff * 2, kMaxBackoff);
}

ConnectionPool::Conn* ConnectionPool::pick(Server& server) {
  Conn* best = nullptr;
  for (const auto& conn : server.connections) {
    if (!conn->connection->has_room()) continue;
    if (best == nullptr || conn->connection->out() < best->connection->out()) best = conn.get();
  }
  return best;
}

// What waits leaves as far as there is room: releases first, since they free what others wait for.
void ConnectionPool::pump(Server& server) {
  if (net::Loop::now() < server.calm_until) return;
  for (auto& [id, release] : server.releases) {
    if (release.out) continue;
    auto* conn = pick(server);
    if (conn == nullptr) break;
    const Key key = next_key_++;
    out_[key] = {What::kRelease, {}, id, net::Loop::now(), conn->number};
    release.out = true;
    ++release.tries;
    const auto cause = std::to_string(static_cast<int>(release.cause));
    conn->connection->request(key, {"DELETE", "/sessions/" + id + "?cause=" + cause});
  }
  while (!server.waiting.empty()) {
    const auto found = attempts_.find(server.waiting.front());
    if (found == attempts_.end()) {
      server.waiting.pop_front();
      continue;
    }
    auto& attempt = found->second;
    auto* conn = out_.size() < bounds_.streams ? pick(server) : nullptr;
    if (conn == nullptr) break;
    server.waiting.pop_front();
    attempt.key = next_key_++;
    attempt.conn = conn;
    attempt.sent = net::Loop::now();
    out_[attempt.key] = {What::kSetUp, attempt.ref.call, attempt.id, attempt.sent, conn->number};
    const auto version = std::to_string(translator_.server(attempt.version).version);
    conn->connection->request(attempt.key, {"POST",
                                            "/sessions",
                                            {{"content-type", "application/json"}, {"api-version", version}},
                                            attempt.body});
    attempt.body.clear();
    attempt.body.shrink_to_fit();
  }
  // What finds no room asks for one more connection.
  if (!server.waiting.empty() && server.wanted && server.retry == 0 &&
      server.connections.size() < kMaxConnections) {
    connect(server);
  }
}

// ---- what the core asks ---------------------------------------------------------------------------------

void ConnectionPool::set_up(const core::SetUp& set_up) {
  auto& server = of(set_up.attempt.server);
  const auto version = versions_.speaks(server.id);
  const auto* message = dynamic_cast<const translate::Message*>(set_up.message);
  if (!version || message == nullptr || !server.wanted) {
    end_later(set_up.attempt, end_of(Outcome::kNotSent, core::Cause::kOutOfOrder));
    return;
  }
  const auto* mapping = translator_.mapping(message->client(), *version);
  const auto said = mapping->set_up.run(message->record(), said_);
  if (!said) {
    // The front has ruled this version out; a server that has changed it since gets here.
    end_later(set_up.attempt,
              error_of({core::Reason::kNoCompatibleServer, core::Ran::kNo, core::About::kVersion}));
    return;
  }
  const auto& fields = translator_.server(*version).of(Kind::kSetUp);
  const auto ms = std::chrono::duration_cast<milliseconds>(set_up.wait).count();
  said_.set(translate::index_of(fields, Meaning::kPatience), std::max<std::int64_t>(ms, 1));
  Attempt attempt;
  attempt.ref = set_up.attempt;
  attempt.id = set_up.id;
  attempt.body = write_body(fields, said_);
  attempt.version = *version;
  attempt.client = message->client();
  by_session_[{server.id, attempt.id}] = set_up.attempt.call;
  versions_.pin(set_up.attempt.call, *version);
  attempts_[set_up.attempt.call] = std::move(attempt);
  server.waiting.push_back(set_up.attempt.call);
  keep_warm(server);
  pump(server);
}

bool ConnectionPool::cancel(const core::AttemptRef& ref) {
  auto* attempt = find(ref);
  if (attempt == nullptr) return false;
  auto& server = of(ref.server);
  const std::string id = attempt->id;
  if (attempt->conn == nullptr) {
    ++counters_.withdrawn;
    std::erase(server.waiting, ref.call);
    drop(ref.call);
    return true;
  }
  const auto connection = attempt->conn->connection;
  const Key key = attempt->key;
  drop(ref.call);
  out_.erase(key);
  connection->cancel(key);
  // Its answer may cross the cancel: then it stands there, and nobody else would release it.
  delete_session(server, id, core::Cause::kNormal);
  return false;
}

void ConnectionPool::release(const core::AttemptRef& ref, core::Cause cause) {
  auto* attempt = find(ref);
  if (attempt == nullptr) return;
  const std::string id = attempt->id;
  drop(ref.call);
  delete_session(of(ref.server), id, cause);
}

void ConnectionPool::forget(const core::AttemptRef& ref) {
  if (find(ref) != nullptr) drop(ref.call);
}

// A release that is lost leaves a session standing for good: it is kept until it is confirmed.
void ConnectionPool::delete_session(Server& server, const std::string& id, core::Cause cause) {
  if (!server.wanted || server.releases.size() >= bounds_.waiting_of_one) return;
  server.releases[id] = {cause, false, 0};
  pump(server);
}

void ConnectionPool::release_out(Server& server, const std::string& id, bool confirmed) {
  const auto found = server.releases.find(id);
  if (found == server.releases.end()) return;
  if (confirmed || found->second.tries >= kMaxReleaseTries) {
    server.releases.erase(found);
    return;
  }
  found->second.out = false;
  if (server.release_timer != 0) return;
  server.release_timer = loop_.after(kReleaseAgain, [this, &server] {
    server.release_timer = 0;
    pump(server);
  });
}

void ConnectionPool::check_health(ServerId id) {
  auto& server = of(id);
  auto* conn = pick(server);
  if (conn == nullptr) {
    const bool connecting = !server.connections.empty();
    asio::post(loop_.io, [this, id, connecting] {
      table_.on_health_check_result(id, connecting ? Outcome::kTimeout : Outcome::kConnectFailed,
                                    Duration::zero(), {});
    });
    return;
  }
  const Key key = next_key_++;
  out_[key] = {What::kProbe, {}, {}, net::Loop::now(), conn->number};
  conn->connection->request(key, {"GET", "/versions", {{"accept", "application/json"}}});
  loop_.after(milliseconds{250}, [this, id, key] {
    if (out_.erase(key) == 0) return;
    table_.on_health_check_result(id, Outcome::kTimeout, milliseconds{250}, {});
  });
}

ConnectionPool::Attempt* ConnectionPool::find(const core::AttemptRef& ref) {
  const auto found = attempts_.find(ref.call);
  if (found == attempts_.end() || found->second.ref.attempt != ref.attempt ||
      found->second.ref.server != ref.server) {
    return nullptr;
  }
  return &found->second;
}

void ConnectionPool::drop(CallId call) {
  const auto found = attempts_.find(call);
  if (found == attempts_.end()) return;
  const auto at = by_session_.find({found->second.ref.server, found->second.id});
  if (at != by_session_.end() && at->second == call) by_session_.erase(at);
  versions_.unpin(call);
  attempts_.erase(found);
}

void ConnectionPool::end(core::AttemptRef ref, core::AttemptEnd what) {
  if (find(ref) == nullptr) return;
  drop(ref.call);
  table_.on_attempt_ended(ref, what);
}

void ConnectionPool::end_later(core::AttemptRef ref, core::AttemptEnd what) {
  asio::post(loop_.io, [this, ref, what] { table_.on_attempt_ended(ref, what); });
}

// ---- what the servers say -------------------------------------------------------------------------------

void ConnectionPool::on_response(Conn& conn, Key key, Response& response) {
  const auto found = out_.find(key);
  if (found == out_.end()) return;
  const Out out = std::move(found->second);
  out_.erase(found);
  auto& server = conn.server;
  std::string fault;
  switch (out.what) {
    case What::kSetUp:
      on_set_up_answer(conn, out.call, response);
      break;
    case What::kRelease:
      release_out(server, out.id, response.status == 204 || response.status == 404);
      break;
    case What::kProbe:
      table_.on_health_check_result(
          server.id, response.status == 503 || response.status == 429 ? Outcome::kFull : Outcome::kOk,
          net::Loop::now() - out.sent, {});
      break;
    case What::kVersions: {
      std::vector<DialectNo> spoken;
      std::string process;
      if (response.status == 404) {
        // Version 1 knows no such path.
        if (const auto one = translator_.server_no("session-1")) spoken.push_back(*one);
      } else if (response.status == 200) {
        const auto read = reader_.read_versions({response.body.data(), response.body.size()}, fault);
        if (!read) {
          net::log::warn(log_bad_, "session api: versions of ", server.name, " cannot be read: ", fault);
          return;
        }
        for (const auto version : read->versions) {
          if (const auto no = translator_.server_no("session-" + std::to_string(version)))
            spoken.push_back(*no);
        }
        process = read->process;
      } else {
        return;  // asked again when the patience is over
      }
      if (!server.process.empty() && process != server.process) {
        net::log::warn("session api: ", server.name, " is another process now");
        table_.abort_sent_before(server.id, conn.up, "process replaced");
      }
      server.process = process;
      translate::Versions::Actions actions;
      versions_.told(net::Loop::now(), server.id, conn.number, process, spoken, actions);
      apply(std::move(actions));
      pump(server);
      break;
    }
    case What::kEvents:
      again_events(server);
      break;
    case What::kCheck:
      if (response.status == 404)
        session_over(server, out.id, Outcome::kReset, core::Cause::kTemporaryFailure);
      break;
  }
}

void ConnectionPool::on_set_up_answer(Conn& conn, CallId call, Response& response) {
  const auto found = attempts_.find(call);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  auto& server = conn.server;
  const auto ref = attempt.ref;
  const auto& dialect = translator_.server(attempt.version);
  std::string fault;
  if (response.status != 201) {
    std::string type;
    if (response.content_type.rfind("application/problem+json", 0) == 0) {
      if (const auto problem = reader_.read_problem({response.body.data(), response.body.size()}, fault))
        type = problem->type;
    }
    const auto retry_after =
        translate::read_retry_after(response.retry_after, net::Loop::unix_ms(), max_stay_away_);
    const auto meaning = translate::meaning_of(dialect, static_cast<std::uint32_t>(response.status), type);
    translate::Versions::Actions actions;
    if (response.status == 505) {
      versions_.denied(net::Loop::now(), server.id, conn.number, attempt.version, actions);
    }
    // The module hears first that the version is gone: the call may wait for what the server says next.
    apply(std::move(actions));
    end(ref, error_of(meaning, retry_after));
    return;
  }
  const auto version = dialect.version;
  if (!reader_.read_answer(version, {response.body.data(), response.body.size()}, record_, fault)) {
    ++counters_.malformed_answers;
    net::log::warn(log_bad_, "session api: answer of ", server.name, " to ", attempt.id,
                   " cannot be taken: ", fault);
    const std::string id = attempt.id;
    end(ref, error_of({core::Reason::kServerFault, core::Ran::kMaybe, core::About::kServer}));
    delete_session(server, id, core::Cause::kInvalidContents);
    return;
  }
  const auto* mapping = translator_.mapping(attempt.client, attempt.version);
  const auto said = mapping->answer.run(record_, said_);
  const auto& fields = dialect.of(Kind::kAnswer);
  const bool same = record_.text(translate::index_of(fields, Meaning::kCall)) == attempt.id;
  if (!said || !same) {
    // It stands there and cannot be told here, or is another session's: it is released, and the call is over.
    ++counters_.malformed_answers;
    const std::string id = attempt.id;
    end(ref, error_of({same ? core::Reason::kFieldRejected : core::Reason::kServerFault, core::Ran::kMaybe,
                       same ? core::About::kCall : core::About::kServer}));
    delete_session(server, id, core::Cause::kInvalidContents);
    return;
  }
  const auto& client_fields = translator_.client(attempt.client).of(Kind::kAnswer);
  const std::string description(said_.text(translate::index_of(client_fields, Meaning::kDescription)));
  attempt.standing = true;
  attempt.conn = nullptr;
  attempt.key = 0;
  const auto over = attempt.over;
  const std::string id = attempt.id;
  if (!table_.on_established(ref, description)) {
    drop(call);
    delete_session(server, id, core::Cause::kInvalidContents);
    return;
  }
  // Its end came by the stream of events before the answer came by this one.
  if (over) end(ref, end_of(over->first, over->second));
}

void ConnectionPool::on_failure(Conn& conn, Key key, Failure failure) {
  const auto found = out_.find(key);
  if (found == out_.end()) return;
  const Out out = std::move(found->second);
  out_.erase(found);
  auto& server = conn.server;
  if (failure == Failure::kCalm) {
    server.calm_until = net::Loop::now() + kCalm;
    if (server.calm == 0) {
      server.calm = loop_.after(kCalm, [this, &server] {
        server.calm = 0;
        pump(server);
      });
    }
  }
  switch (out.what) {
    case What::kSetUp: {
      const auto at = attempts_.find(out.call);
      if (at == attempts_.end()) return;
      auto& attempt = at->second;
      const std::string id = attempt.id;
      switch (failure) {
        case Failure::kNeverRan:
          end(attempt.ref, error_of({core::Reason::kServerFault, core::Ran::kNo, core::About::kServer}));
          break;
        case Failure::kCalm:
          end(attempt.ref, error_of({core::Reason::kCongestion, core::Ran::kMaybe, core::About::kServer}));
          break;
        case Failure::kTooLarge:
          end(attempt.ref, error_of({core::Reason::kServerFault, core::Ran::kMaybe, core::About::kServer}));
          delete_session(server, id, core::Cause::kInvalidContents);
          break;
        case Failure::kReset:
          end(attempt.ref, error_of({core::Reason::kAborted, core::Ran::kMaybe, core::About::kServer}));
          // A reset of the stream leaves in doubt whether it stands there.
          delete_session(server, id, core::Cause::kTemporaryFailure);
          break;
      }
      break;
    }
    case What::kRelease:
      release_out(server, out.id, false);
      break;
    case What::kEvents:
      again_events(server);
      break;
    case What::kCheck:
      server.to_check.push_back(out.id);
      check_sessions(server);
      break;
    case What::kProbe:
      table_.on_health_check_result(server.id, Outcome::kReset, net::Loop::now() - out.sent, {});
      break;
    case What::kVersions:
      break;
  }
}

// ---- events ---------------------------------------------------------------------------------------------

void ConnectionPool::follow_events(Server& server) {
  if (server.events != 0) return;
  auto* conn = pick(server);
  if (conn == nullptr) return;
  const Key key = next_key_++;
  Request request{"GET", "/events", {{"accept", "text/event-stream"}}, {}, true};
  if (server.resumable) request.headers.emplace_back("last-event-id", std::to_string(server.last_event));
  server.reader = settings::SseReader(net::kMaxMessage);
  server.events = key;
  out_[key] = {What::kEvents, {}, {}, net::Loop::now(), conn->number};
  conn->connection->request(key, request);
}

void ConnectionPool::again_events(Server& server) {
  if (server.events != 0) {
    out_.erase(server.events);
    for (const auto& conn : server.connections) conn->connection->cancel(server.events);
    server.events = 0;
  }
  if (!server.wanted || server.events_timer != 0) return;
  server.events_timer = loop_.after(kEventsAgain, [this, &server] {
    server.events_timer = 0;
    follow_events(server);
    // No connection has room yet: it is tried again.
    if (server.events == 0) again_events(server);
  });
}

bool ConnectionPool::on_chunk(Conn& conn, Key key, int status, std::string_view chunk) {
  const auto found = out_.find(key);
  if (found == out_.end()) return false;
  auto& server = conn.server;
  if (status != 200) {
    out_.erase(found);
    server.events = 0;
    again_events(server);
    return false;
  }
  if (server.events != key) return false;
  const bool good =
      server.reader.feed(chunk, [&](const settings::SseEvent& event) { on_event(server, event); });
  if (good && server.events == key) return true;
  if (!good) {
    ++counters_.unreadable;
    net::log::warn(log_bad_, "session api: an event of ", server.name,
                   " is too long: the stream is read anew");
  }
  out_.erase(key);
  if (server.events == key) server.events = 0;
  again_events(server);
  return false;
}

void ConnectionPool::on_event(Server& server, const settings::SseEvent& event) {
  std::uint64_t number = 0;
  const auto [end, bad] = std::from_chars(event.id.data(), event.id.data() + event.id.size(), number);
  const bool numbered = bad == std::errc{} && end == event.id.data() + event.id.size();
  // Told again after a break.
  if (numbered && server.resumable && number <= server.last_event) return;
  std::string data = event.data;
  std::string fault;
  const auto read = reader_.read_event(event.name, {data.data(), data.size()}, fault);
  if (numbered) {
    server.last_event = number;
    server.resumable = true;
  }
  if (!read) {
    ++counters_.unreadable;
    net::log::warn(log_bad_, "session api: event ", event.id, " of ", server.name,
                   " cannot be read: ", fault);
    // It may have said that a session is over: all are asked for.
    for (const auto& [key, call] : by_session_) {
      if (key.first == server.id) server.to_check.push_back(key.second);
    }
    check_sessions(server);
    return;
  }
  switch (read->kind) {
    case SessionEvent::Kind::kReleased:
      session_over(server, read->id, Outcome::kOk, static_cast<core::Cause>(read->cause));
      break;
    case SessionEvent::Kind::kAborted:
      session_over(server, read->id, Outcome::kReset, core::Cause::kTemporaryFailure);
      break;
    case SessionEvent::Kind::kLoad: {
      LoadReport report;
      for (const auto& [name, value] : read->load) core::set_load_report_field(report, name, value);
      table_.on_load_report(server.id, report);
      break;
    }
    case SessionEvent::Kind::kLost:
      for (const auto& [key, call] : by_session_) {
        if (key.first == server.id) server.to_check.push_back(key.second);
      }
      check_sessions(server);
      break;
    case SessionEvent::Kind::kDraining:
      if (std::exchange(server.draining, true)) break;
      on_change_(server.id, false);
      take_back(server);
      break;
    case SessionEvent::Kind::kUnknown:
      break;
  }
}

void ConnectionPool::session_over(Server& server, const std::string& id, Outcome outcome, core::Cause cause) {
  const auto found = by_session_.find({server.id, id});
  if (found == by_session_.end()) {
    ++counters_.unknown_ids;
    return;
  }
  auto& attempt = attempts_.at(found->second);
  if (!attempt.standing) {
    attempt.over = std::pair(outcome, cause);
    return;
  }
  end(attempt.ref, end_of(outcome, cause));
}

void ConnectionPool::check_sessions(Server& server) {
  if (server.check_timer != 0 || server.to_check.empty()) return;
  server.check_timer = loop_.after(kCheckEvery, [this, &server] {
    server.check_timer = 0;
    if (server.to_check.empty()) return;
    if (auto* conn = pick(server)) {
      const std::string id = server.to_check.front();
      server.to_check.pop_front();
      const auto found = by_session_.find({server.id, id});
      if (found != by_session_.end() && attempts_.at(found->second).standing) {
        const Key key = next_key_++;
        out_[key] = {What::kCheck, {}, id, net::Loop::now(), conn->number};
        conn->connection->request(key, {"GET", "/sessions/" + id});
      }
    }
    check_sessions(server);
  });
}

}  // namespace amberknot::http2
