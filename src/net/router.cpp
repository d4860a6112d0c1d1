#include "net/router.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "net/log.hpp"

namespace amberknot::net {
namespace {

using std::chrono::milliseconds;

// After SIGTERM callers go on connecting and asking for a while.
constexpr Duration kStillComing = milliseconds{700};
constexpr Duration kLookWhetherDone = milliseconds{20};
// What has gone is remembered for a while, since some of its calls may still want their release.
constexpr Duration kGoneKept = std::chrono::seconds{20};
constexpr Duration kForgetEvery = std::chrono::seconds{5};

}  // namespace

Router::Router(Loop& loop, const Config& config, const OperatorFile& setup)
    : loop_(loop),
      config_(config),
      names_(config.names),
      bounds_(Bounds::of(config.memory_mb, config.sockets)),
      dispatcher_(config.settings, Loop::now()),
      table_(dispatcher_, servers_, loop.wheel, counters_, &Loop::now),
      links_(loop, table_, servers_, counters_, bounds_, config.name, config.connect_limit),
      front_(loop, table_, counters_, names_, dispatcher_.settings(), bounds_, config.listen),
      diameter_(setup.diameter) {
  loop.outgoing.most = bounds_.queued;
  loop.outgoing.most_on_one = bounds_.queued_on_one;
  if (config.settings.limits.peers && config.peer_listen && config.peers_all) {
    peers_ = std::make_unique<Peers>(loop, *config.peer_listen, config.peers, *config.peers_all,
                                     [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                                       table_.peer_said(from, std::move(bytes));
                                     });
  }
  table_.connect(
      [this](const std::vector<std::uint8_t>& bytes) {
        if (peers_) peers_->tell_all(bytes);
      },
      [](const std::string& text) { log::info(text); });
  if (diameter_) start_diameter(config, setup);
  for (const auto& news : config.known) apply(news);
  config_.known.clear();  // told; a reload brings its own
  feed_ = std::make_unique<Feed>(loop, counters_, config.channel, config.cursor,
                                 [this](const ListNews& news) { apply(news); });
  forget_now_and_then();
}

void Router::start_diameter(const Config& config, const OperatorFile& setup) {
  identity_.host = diameter_->origin_host;
  identity_.realm = diameter_->origin_realm;
  identity_.state_id = static_cast<std::uint32_t>(Loop::unix_ms() / 1000);
  identity_.watchdog = diameter_->watchdog;
  identity_.jitter = std::min<Duration>(identity_.jitter, diameter_->watchdog / 5);
  // RFC 6733: the low part is free, the high 12 bits are of the time.
  identity_.next_end_to_end =
      (identity_.state_id << 20U) | (static_cast<std::uint32_t>(config.seed) & 0xfffffU);
  diameter_links_ =
      std::make_unique<diameter::Links>(loop_, table_, servers_, counters_, identity_, config.connect_limit,
                                        [this](ServerId id, bool started_anew) {
                                          auto& server = *servers_.find(id);
                                          if (started_anew) server.started = Loop::now();
                                          table_.list_changed(false, {facts_of(server)});
                                        });
  if (!diameter_->listen) return;
  if (setup.ldap) {
    std::string error;
    // Serving without the directory is better than not at all: whom it would name is refused until it
    // answers.
    if (auto read = directory::read_tenants(*setup.ldap, error)) {
      directory_ = std::move(*read);
      log::info("directory: ", directory_.size(), " tenants' names");
    } else {
      ++counters_.directory_failures;
      log::error("directory: not read at the start: ", error);
    }
    refresher_ = std::make_unique<directory::Refresher>(
        *setup.ldap, [this](std::optional<directory::TenantMap> tenants, const std::string& failed) {
          asio::post(loop_.io, [this, tenants = std::move(tenants), failed]() mutable {
            if (!tenants) {
              ++counters_.directory_failures;
              log::warn("directory: not refreshed, the last good copy stays: ", failed);
              return;
            }
            if (*tenants != directory_) log::info("directory: changed, ", tenants->size(), " tenants' names");
            directory_ = std::move(*tenants);
          });
        });
  }
  diameter_front_ = std::make_unique<diameter::Front>(
      loop_, table_, counters_, identity_, names_, dispatcher_.settings(), *diameter_->listen,
      bounds_.diameter, diameter_->clients, [this](std::string_view user) { return tenant_of(user); },
      [this](std::string_view host) -> std::optional<CellNo> {
        for (const auto& [id, server] : servers_.all()) {
          if (server.name == host) return server.cell;
        }
        return std::nullopt;
      });
  log::info("diameter: ", identity_.host, " serves clients at ", diameter_front_->local());
}

std::string Router::tenant_of(std::string_view user) const {
  if (const auto found = directory_.find(user); found != directory_.end()) return found->second;
  if (const auto found = diameter_->tenants.find(user); found != diameter_->tenants.end())
    return found->second;
  return std::string(user);  // the tenant's own name
}

core::ServerFacts Router::facts_of(const core::ListedServer& server) const {
  core::ServerFacts facts{server.id, server.cell, server.state, server.started};
  // A Diameter peer that is not up, or whose watchdog is silent, gets nothing new; what is out there may
  // finish. To the module that is a server that drains.
  const bool diameter = diameter_links_ && server.port == diameter_links_.get();
  if (diameter && facts.state == ListState::kReady && !diameter_links_->serves(server.id)) {
    facts.state = ListState::kDraining;
  }
  return facts;
}

void Router::tell_links(const core::ListedServer& server) {
  if (server.port == &links_) {
    links_.server_changed(server);
  } else {
    diameter_links_->server_changed(server);
  }
}

void Router::apply(const ListNews& news) {
  if (!news.has_servers) return;
  std::set<std::string> listed;
  std::vector<core::ListChange> changes = news.changes;
  for (const auto& change : changes) listed.insert(change.name);
  if (news.whole_list) {
    // What a whole list does not name is gone.
    for (const auto& [id, server] : servers_.all()) {
      if (server.state == ListState::kGone || listed.contains(server.name)) continue;
      changes.push_back({server.name, server.address, static_cast<std::uint32_t>(server.cell),
                         ListState::kGone, server.started_unix_ms});
    }
  }
  std::vector<core::ServerFacts> facts;
  for (const auto& change : changes) {
    auto& server = servers_.of(change.name);
    const bool known = server.port != nullptr;
    const bool started = change.started_unix_ms > server.started_unix_ms;
    const bool gone = change.state == ListState::kGone && server.state != ListState::kGone;
    server.address = change.address;
    server.cell = CellNo{change.cell};
    server.state = change.state;
    if (change.state != ListState::kGone) {
      server.gone_at.reset();
    } else if (!server.gone_at) {
      server.gone_at = Loop::now();
    }
    if (!known) {
      const bool diameter = diameter_links_ && diameter_->speaks_diameter(server.name);
      server.port = diameter ? static_cast<core::ServerPort*>(diameter_links_.get()) : &links_;
    }
    if (started) {
      // Read once for each start: the module takes a later moment for another start.
      server.started_unix_ms = change.started_unix_ms;
      server.started =
          Loop::now() - milliseconds{std::max<std::int64_t>(0, Loop::unix_ms() - change.started_unix_ms)};
    }
    log::info("server ", server.name, " at ", server.address,
              change.state == ListState::kReady      ? " ready"
              : change.state == ListState::kDraining ? " draining"
                                                     : " gone",
              started && known ? ", started anew" : "");
    // A process that is no more took its calls along; some may still want their release.
    if (gone) table_.cut_all(server.id, "server gone");
    if (started && known) table_.cut_before(server.id, *server.started, "server started anew");
    // Links to what is new come first, so that the module's sends find them.
    if (server.state == ListState::kReady) tell_links(server);
    facts.push_back(facts_of(server));
  }
  table_.list_changed(news.whole_list, facts);
  // The module hears of a drain before the links take set-ups back: those are placed anew at once, and must
  // not go there again.
  for (const auto& change : changes) {
    if (change.state != ListState::kReady) tell_links(servers_.of(change.name));
  }
}

// Servers come and go under new names all day: one that has gone is forgotten once nothing refers to it.
void Router::forget_gone(Instant now) {
  std::vector<ServerId> over;
  for (const auto& [id, server] : servers_.all()) {
    if (server.gone_at && now - *server.gone_at > kGoneKept && !table_.uses(id)) over.push_back(id);
  }
  for (const auto id : over) {
    links_.forget_server(id);
    if (diameter_links_) diameter_links_->forget_server(id);
    servers_.forget(id);
  }
}

void Router::forget_now_and_then() {
  loop_.after(kForgetEvery, [this] {
    forget_gone(Loop::now());
    forget_now_and_then();
  });
}

void Router::reload(const Config& fresh) {
  ++counters_.reloads;
  const auto refuse = [](const char* field) {
    log::warn("reload: ", field, " is changed: refused, it takes a restart");
  };
  if (fresh.name != config_.name) refuse("name");
  if (fresh.listen != config_.listen) refuse("listen");
  if (fresh.peer_listen != config_.peer_listen) refuse("peer_listen");
  if (fresh.settings_text != config_.settings_text) refuse("settings");
  if (fresh.sockets != config_.sockets || fresh.memory_mb != config_.memory_mb) refuse("limits");
  if (fresh.peers != config_.peers || fresh.peers_all != config_.peers_all) {
    if (peers_ && fresh.peers_all) {
      peers_->move_to(fresh.peers, *fresh.peers_all);
      config_.peers = fresh.peers;
      config_.peers_all = fresh.peers_all;
      log::info("reload: ", fresh.peers.size(), " siblings");
    } else {
      refuse("peers");
    }
  }
  for (const auto& news : fresh.known) feed_->learn(news);
  feed_->move_to(fresh.channel);
  config_.channel = fresh.channel;
  log::info("reload: done");
}

void Router::reload_failed(std::string_view why) {
  ++counters_.reloads_failed;
  log::error("reload: not taken, the configuration in force stays: ", why);
}

void Router::stop_when_answered(std::function<void()> done) {
  if (done_) return;
  done_ = std::move(done);
  Duration longest{};
  for (const auto& cls : dispatcher_.settings().classes) longest = std::max(longest, cls.deadline);
  stop_from_ = Loop::now() + kStillComing;
  stop_by_ = stop_from_ + std::min<Duration>(longest, std::chrono::seconds{3});
  log::info("stopping: ", table_.unanswered(), " unanswered, ", table_.standing(), " standing");
  look_whether_done();
}

void Router::look_whether_done() {
  const Instant now = Loop::now();
  const bool answered = now >= stop_from_ && table_.unanswered() == 0;
  // What stands may come to its own end for as long as no one is kept waiting by it.
  if (answered && (table_.standing() == 0 || now >= stop_by_)) {
    table_.release_all();
    if (diameter_front_) diameter_front_->leave();
    if (diameter_links_) diameter_links_->leave();
    done_();
    return;
  }
  loop_.after(kLookWhetherDone, [this] { look_whether_done(); });
}

}  // namespace amberknot::net
