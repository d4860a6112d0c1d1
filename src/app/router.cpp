#include "app/router.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "control/figures.hpp"
#include "core/retune.hpp"
#include "net/log.hpp"
#include "store/handover.hpp"

namespace amberknot::app {
namespace {

using std::chrono::milliseconds;

// How often a process looks for what the one that it replaces has left to tell: callers are owed it within 1
// s.
constexpr Duration kTakeUntold = milliseconds{50};
constexpr Duration kLookWhetherDone = milliseconds{20};
// What has gone is remembered for a while, since some of its calls may still want their release.
constexpr Duration kGoneKept = std::chrono::seconds{20};
constexpr Duration kForgetEvery = std::chrono::seconds{5};

}  // namespace

Router::Router(net::Loop& loop, const Config& config, const OperatorFile& setup)
    : loop_(loop),
      config_(config),
      names_(config.names),
      bounds_(net::Bounds::of(config.memory_mb, config.sockets)),
      dispatcher_(config.settings, net::Loop::now()),
      table_(dispatcher_, servers_, loop.wheel, counters_, &net::Loop::now),
      setup_(setup),
      site_{loop,
            table_,
            servers_,
            counters_,
            config_,
            setup_,
            bounds_,
            names_,
            dispatcher_.settings(),
            [this](std::string_view user) { return tenant_of(user); },
            [this](ServerId id, bool started_anew) { server_changed(id, started_anew); }} {
  loop.outgoing.most = bounds_.queued;
  loop.outgoing.most_on_one = bounds_.queued_on_one;
  if (config.settings.limits.peers && config.peer_listen && config.peers_all) {
    peers_ = std::make_unique<feed::Peers>(loop, *config.peer_listen, config.peers, *config.peers_all,
                                           [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                                             table_.peer_said(from, std::move(bytes));
                                           });
  }
  table_.connect(
      [this](const std::vector<std::uint8_t>& bytes) {
        if (peers_) peers_->tell_all(bytes);
      },
      [](const std::string& text) { net::log::info(text); });
  prepare(site_);
  for (const auto& kind : links_kinds()) links_.push_back(kind.make(site_));
  if (setup_.ldap) follow_directory();
  for (const auto& kind : front_kinds()) fronts_.push_back(kind.make(site_));
  for (const auto& news : config.known) apply(news);
  config_.known.clear();  // told; a reload brings its own
  feed_ = std::make_unique<feed::Feed>(loop, counters_, config.channel, config.cursor,
                                       [this](const feed::ListNews& news) { apply(news); });
  forget_now_and_then();
  if (config.control) {
    // Its own places, beside the callers' and the servers': a sixteenth of the descriptors, at least eight.
    const std::size_t most = std::max<std::size_t>(8, config.sockets / 16);
    door_ = std::make_unique<control::Door>(loop, *config.control, most,
                                            [this](control::Command command) { return answer(command); });
    net::log::info("control: the operators' door is at ", net::text_of(door_->where()));
  }
}

void Router::standby(bool on) {
  if (standby_ == on) return;
  standby_ = on;
  for (const auto& front : fronts_) {
    if (front) front->standby(on);
  }
}

std::string Router::answer(control::Command command) {
  switch (command) {
    case control::Command::kStatus:
      if (ready()) return "+OK yes";
      return done_ ? "-ERR no: stopping" : "-ERR no: standby";
    case control::Command::kStats: {
      control::Gauges gauges;
      gauges.open_requests = table_.unanswered() + table_.standing();
      for (const auto& [id, server] : servers_.all()) {
        if (server.state == ListState::kGone) continue;
        ++gauges.registry_entries;
        if (server.state != ListState::kReady || !server.port->serves(id)) ++gauges.out_of_rotation;
      }
      auto lines = control::statsd_lines(counters_, names_.classes, gauges);
      lines.pop_back();  // the door ends the reply
      return "+OK\n" + lines;
    }
    case control::Command::kStandby:
      standby(true);
      return "+OK standby";
    case control::Command::kActive:
      standby(false);
      return "+OK active";
  }
  return "-ERR unknown call";
}

void Router::follow_directory() {
  std::string error;
  // Serving without the directory is better than not at all: whom it would name is refused until it
  // answers.
  if (auto read = directory::read_tenants(*setup_.ldap, error)) {
    directory_ = std::move(*read);
    net::log::info("directory: ", directory_.size(), " tenants' names");
  } else {
    ++counters_.directory_failures;
    net::log::error("directory: not read at the start: ", error);
  }
  refresher_ = std::make_unique<directory::Refresher>(
      *setup_.ldap, [this](std::optional<directory::TenantMap> tenants, const std::string& failed) {
        asio::post(loop_.io, [this, tenants = std::move(tenants), failed]() mutable {
          if (!tenants) {
            ++counters_.directory_failures;
            net::log::warn("directory: not refreshed, the last good copy stays: ", failed);
            return;
          }
          if (*tenants != directory_)
            net::log::info("directory: changed, ", tenants->size(), " tenants' names");
          directory_ = std::move(*tenants);
        });
      });
}

void Router::server_changed(ServerId id, bool started_anew) {
  auto& server = *servers_.find(id);
  if (started_anew) server.started = net::Loop::now();
  table_.list_changed(false, {facts_of(server)});
}

void Router::assign_links(core::ListedServer& server) const {
  const auto kinds = links_kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (!links_[i] || !kinds[i].speaks(setup_, server.name)) continue;
    server.port = links_[i].get();
    if (!site_.translator) return;
    const auto dialect = kinds[i].dialect;
    server.version =
        dialect.empty() ? core::kNotKnown : site_.translator->server_no(dialect).value_or(core::kNotKnown);
    return;
  }
}

std::size_t Router::callers() const {
  std::size_t open = 0;
  for (const auto& front : fronts_) open += front ? front->connections() : 0;
  return open;
}

std::optional<asio::ip::tcp::endpoint> Router::front_at(std::string_view name) const {
  const auto kinds = front_kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (kinds[i].name == name && fronts_[i]) return net::read_endpoint(fronts_[i]->where());
  }
  return std::nullopt;
}

std::string Router::tenant_of(std::string_view user) const {
  if (const auto found = directory_.find(user); found != directory_.end()) return found->second;
  if (setup_.diameter) {
    const auto found = setup_.diameter->tenants.find(user);
    if (found != setup_.diameter->tenants.end()) return found->second;
  }
  return std::string(user);  // the tenant's own name
}

core::ServerFacts Router::facts_of(const core::ListedServer& server) const {
  core::ServerFacts facts{server.id, server.cell, server.state, server.started, server.version};
  // A server whose links cannot take anything new now, as a Diameter peer that is not up or whose watchdog is
  // silent; what is out there may finish. To the module that is a server that drains.
  if (facts.state == ListState::kReady && !server.port->serves(server.id)) {
    facts.state = ListState::kDraining;
  }
  return facts;
}

void Router::apply(const feed::ListNews& news) {
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
  std::vector<ServerId> gone;
  std::vector<std::pair<ServerId, Instant>> anew;
  for (const auto& change : changes) {
    auto& server = servers_.of(change.name);
    const bool known = server.port != nullptr;
    const bool started = change.started_unix_ms > server.started_unix_ms;
    if (change.state == ListState::kGone && server.state != ListState::kGone) gone.push_back(server.id);
    server.address = change.address;
    server.cell = CellNo{change.cell};
    server.state = change.state;
    if (change.state != ListState::kGone) {
      server.gone_at.reset();
    } else if (!server.gone_at) {
      server.gone_at = net::Loop::now();
    }
    if (!known) assign_links(server);
    if (started) {
      // Read once for each start: the module takes a later moment for another start.
      server.started_unix_ms = change.started_unix_ms;
      server.started = net::Loop::now() -
                       milliseconds{std::max<std::int64_t>(0, net::Loop::unix_ms() - change.started_unix_ms)};
    }
    net::log::info("server ", server.name, " at ", server.address,
                   change.state == ListState::kReady      ? " ready"
                   : change.state == ListState::kDraining ? " draining"
                                                          : " gone",
                   started && known ? ", started anew" : "");
    if (started && known) anew.emplace_back(server.id, *server.started);
    // Links to what is new come first, so that the module's sends find them.
    if (server.state == ListState::kReady) server.port->server_changed(server);
    facts.push_back(facts_of(server));
  }
  table_.list_changed(news.whole_list, facts);
  // The module hears of a drain before the links take set-ups back: those are placed anew at once, and must
  // not go there again.
  for (const auto& change : changes) {
    if (change.state == ListState::kReady) continue;
    const auto& server = servers_.of(change.name);
    server.port->server_changed(server);
  }
  // A process that is no more took its calls along; some may still want their release. Last, when the module
  // has heard all of the news: each end lets it place what is held, and that must not go to what has gone.
  for (const auto id : gone) table_.cut_all(id, "server gone");
  for (const auto& [id, started] : anew) table_.cut_before(id, started, "server started anew");
}

// Servers come and go under new names all day: one that has gone is forgotten once nothing refers to it.
void Router::forget_gone(Instant now) {
  std::vector<ServerId> over;
  for (const auto& [id, server] : servers_.all()) {
    if (server.gone_at && now - *server.gone_at > kGoneKept && !table_.uses(id)) over.push_back(id);
  }
  for (const auto id : over) {
    for (const auto& links : links_) {
      if (links) links->forget_server(id);
    }
    servers_.forget(id);
  }
}

void Router::forget_now_and_then() {
  loop_.after(kForgetEvery, [this] {
    forget_gone(net::Loop::now());
    forget_now_and_then();
  });
}

void Router::reload(const Config& fresh) {
  ++counters_.reloads;
  const auto refuse = [](const char* field) {
    net::log::warn("reload: ", field, " is changed: refused, it takes a restart");
  };
  if (fresh.name != config_.name) refuse("name");
  if (fresh.listen != config_.listen) refuse("listen");
  if (fresh.peer_listen != config_.peer_listen) refuse("peer_listen");
  if (fresh.settings_text != config_.settings_text) {
    // Checked whole when it was read; what the router cannot change at run time stays and is said.
    auto retuned = core::retune(names_, dispatcher_.settings(), fresh.names, fresh.settings);
    names_ = std::move(retuned.names);
    dispatcher_.retune(retuned.classes, retuned.limits);
    config_.settings_text = fresh.settings_text;
    for (const auto& note : retuned.notes) net::log::info("reload: ", note);
    for (const auto& kept : retuned.kept) refuse(kept.c_str());
  }
  if (fresh.sockets != config_.sockets || fresh.memory_mb != config_.memory_mb) refuse("limits");
  if (fresh.peers != config_.peers || fresh.peers_all != config_.peers_all) {
    if (peers_ && fresh.peers_all) {
      peers_->move_to(fresh.peers, *fresh.peers_all);
      config_.peers = fresh.peers;
      config_.peers_all = fresh.peers_all;
      net::log::info("reload: ", fresh.peers.size(), " siblings");
    } else {
      refuse("peers");
    }
  }
  for (const auto& news : fresh.known) feed_->learn(news);
  feed_->move_to(fresh.channel);
  config_.channel = fresh.channel;
  net::log::info("reload: done");
}

void Router::reload_failed(std::string_view why) {
  ++counters_.reloads_failed;
  net::log::error("reload: not taken, the configuration in force stays: ", why);
}

void Router::declare(const std::string& folder) {
  std::string error;
  auto made = store::Presence::declare(
      folder, {config_.name, net::text_of(callers_at()), net::Loop::unix_us()}, error);
  if (!made) {
    net::log::info("a replacement will not be noticed: ", error);
    return;
  }
  presence_.emplace(std::move(*made));
  shared_folder_ = folder;
  take_untold();
}

bool Router::is_replaced() const {
  if (!presence_) return false;
  std::size_t unreadable = 0;
  const auto others = presence_->others(unreadable);
  if (unreadable > 0) net::log::warn("files of other processes in TMPDIR not readable: ", unreadable);
  return core::replaced_by_any(presence_->self(), others);
}

// As long as the process that this one replaces lives, and once more after it: it may have left some at its
// end.
void Router::take_untold() {
  std::size_t unreadable = 0;
  const bool more = core::replaces_any(presence_->self(), presence_->others(unreadable));
  unreadable = 0;
  const auto releases = store::take_releases(shared_folder_, presence_->self(), unreadable);
  if (unreadable > 0) net::log::warn("releases of a replaced process not readable: ", unreadable, " files");
  for (const auto& release : releases) {
    for (const auto& front : fronts_) {
      if (front) front->take_over(release);
    }
  }
  if (more) loop_.after(kTakeUntold, [this] { take_untold(); });
}

void Router::leave_untold() {
  if (untold_.empty()) return;
  std::string error;
  if (!store::leave_releases(shared_folder_, presence_->self(), untold_, error)) {
    // What is left is kept, and tried again at the next look: a full folder may have room by then.
    net::log::warn(log_untold_, "releases not left for the other process: ", error);
  }
}

void Router::stop_when_answered(std::function<void()> done) {
  if (done_) return;
  done_ = std::move(done);
  // The door says no from now on. Where nobody has taken over, the callers' connections stay and what comes
  // is answered; else callers are to go to the other process at once.
  const bool replaced = is_replaced();
  leaving_ = core::Leaving::plan(net::Loop::now(), dispatcher_.longest_deadline(), replaced);
  table_.begin_shutdown(leaving_);
  net::log::info("stopping: ", table_.unanswered(), " unanswered, ", table_.standing(), " standing",
                 replaced ? ", replaced" : "");
  if (replaced) {
    for (const auto& front : fronts_) {
      if (front) front->hand_over([this](core::HandedRelease one) { untold_.push_back(std::move(one)); });
    }
  }
  look_whether_done();
}

void Router::look_whether_done() {
  const Instant now = net::Loop::now();
  leave_untold();
  const bool settled = std::all_of(fronts_.begin(), fronts_.end(),
                                   [](const auto& front) { return !front || front->settled(); });
  if (leaving_.may_leave(now, table_.unanswered(), table_.standing(), !settled)) {
    table_.release_all();
    leave_untold();
    for (const auto& front : fronts_) {
      if (front) front->leave();
    }
    for (const auto& links : links_) {
      if (links) links->leave();
    }
    end_when_closed(leaving_.end_by(now));
    return;
  }
  loop_.after(kLookWhetherDone, [this] { look_whether_done(); });
}

// A process that ends with input unread resets its connections, and a reset may overtake the last answer:
// each is closed by its caller first, or its time is up.
void Router::end_when_closed(Instant by) {
  const bool closed = std::all_of(fronts_.begin(), fronts_.end(),
                                  [](const auto& front) { return !front || front->closed(); });
  if (closed || net::Loop::now() >= by) {
    done_();
    return;
  }
  loop_.after(core::TimerWheel::kTick, [this, by] { end_when_closed(by); });
}

}  // namespace amberknot::app
