#include "app/router.hpp"

#include <algorithm>
#include <utility>

#include "admin/metrics.hpp"
#include "core/reload_plan.hpp"
#include "hot_restart/undelivered_releases.hpp"
#include "net/log.hpp"

namespace amberknot::app {
namespace {

using std::chrono::milliseconds;

// How often a process looks for what the one that it replaces has left to tell: callers are owed it within 1
// s.
constexpr Duration kStoredReleasesInterval = milliseconds{50};
constexpr Duration kExitCheckInterval = milliseconds{20};
constexpr Duration kForgetInterval = std::chrono::seconds{5};

}  // namespace

Router::Router(net::Loop& loop, const Config& config, const OperatorFile& setup)
    : loop_(loop),
      config_(config),
      names_(config.names),
      bounds_(net::ResourceLimits::of(config.memory_mb, config.sockets)),
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
            [this](ServerId id, bool started_anew) {
              endpoint_updates_.on_availability_changed(id, started_anew);
            }},
      endpoint_updates_(site_, upstream_pools_) {
  loop.outgoing.most = bounds_.queued;
  loop.outgoing.max_on_one = bounds_.queued_on_one;
  if (config.settings.limits.peers && config.peer_listen && config.peers_all) {
    gossip_ = std::make_unique<discovery::GossipTransport>(
        loop, *config.peer_listen, config.peers, *config.peers_all,
        [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
          table_.on_gossip(from, std::move(bytes));
        });
  }
  table_.connect(
      [this](const std::vector<std::uint8_t>& bytes) {
        if (gossip_) gossip_->broadcast(bytes);
      },
      [](const std::string& text) { net::log::info(text); });
  prepare(site_);
  for (const auto& kind : upstream_pool_kinds()) upstream_pools_.push_back(kind.make(site_));
  if (setup_.ldap) follow_directory();
  for (const auto& kind : frontend_kinds()) frontends_.push_back(kind.make(site_));
  for (const auto& news : config.known) apply(news);
  config_.known.clear();  // told; a reload brings its own
  endpoint_watcher_ = std::make_unique<discovery::EndpointWatcher>(
      loop, counters_, config.channel, config.cursor,
      [this](const discovery::EndpointUpdate& news) { apply(news); });
  schedule_forgetting();
  if (config.control) {
    // Its own connection limit, beside the callers' and the servers': a sixteenth of the descriptors, at
    // least eight.
    const std::size_t max_connections = std::max<std::size_t>(8, config.sockets / 16);
    admin_server_ = std::make_unique<admin::AdminServer>(
        loop, *config.control, max_connections, [this](admin::Command command) { return answer(command); });
    net::log::info("control: the operators' door is at ", net::text_of(admin_server_->local_endpoint()));
  }
}

void Router::standby(bool on) {
  if (standby_ == on) return;
  standby_ = on;
  for (const auto& frontend : frontends_) {
    if (frontend) frontend->set_standby(on);
  }
}

std::string Router::answer(admin::Command command) {
  switch (command) {
    case admin::Command::kStatus:
      if (ready()) return "+OK yes";
      return on_exit_ ? "-ERR no: stopping" : "-ERR no: standby";
    case admin::Command::kStats: {
      admin::Gauges gauges;
      gauges.open_requests = table_.unanswered() + table_.established();
      for (const auto& [id, server] : servers_.all()) {
        if (server.state == EndpointState::kRemoved) continue;
        ++gauges.registry_entries;
        if (server.state != EndpointState::kReady || !server.port->is_available(id)) ++gauges.out_of_rotation;
      }
      auto lines = admin::statsd_lines(counters_, names_.classes, gauges);
      lines.pop_back();  // the admin server ends the reply
      return "+OK\n" + lines;
    }
    case admin::Command::kStandby:
      standby(true);
      return "+OK standby";
    case admin::Command::kActive:
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

std::size_t Router::callers() const {
  std::size_t open = 0;
  for (const auto& frontend : frontends_) open += frontend ? frontend->connections() : 0;
  return open;
}

std::optional<asio::ip::tcp::endpoint> Router::frontend_at(std::string_view name) const {
  const auto kinds = frontend_kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (kinds[i].name == name && frontends_[i]) return net::read_endpoint(frontends_[i]->listen_address());
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

void Router::schedule_forgetting() {
  loop_.after(kForgetInterval, [this] {
    endpoint_updates_.forget_removed(net::Loop::now());
    schedule_forgetting();
  });
}

void Router::reload(const Config& fresh) {
  ++counters_.reloads;
  const auto reject = [](const char* field) {
    net::log::warn("reload: ", field, " is changed: refused, it takes a restart");
  };
  if (fresh.name != config_.name) reject("name");
  if (fresh.listen != config_.listen) reject("listen");
  if (fresh.peer_listen != config_.peer_listen) reject("peer_listen");
  if (fresh.settings_text != config_.settings_text) {
    // Checked whole when it was read; what the router cannot change at run time stays and is said.
    auto plan = core::plan_reload(names_, dispatcher_.settings(), fresh.names, fresh.settings);
    names_ = std::move(plan.names);
    dispatcher_.apply_reload(plan.classes, plan.limits);
    config_.settings_text = fresh.settings_text;
    for (const auto& note : plan.notes) net::log::info("reload: ", note);
    for (const auto& setting : plan.requires_restart) reject(setting.c_str());
  }
  if (fresh.sockets != config_.sockets || fresh.memory_mb != config_.memory_mb) reject("limits");
  if (fresh.peers != config_.peers || fresh.peers_all != config_.peers_all) {
    if (gossip_ && fresh.peers_all) {
      gossip_->set_peers(fresh.peers, *fresh.peers_all);
      config_.peers = fresh.peers;
      config_.peers_all = fresh.peers_all;
      net::log::info("reload: ", fresh.peers.size(), " siblings");
    } else {
      reject("peers");
    }
  }
  for (const auto& update : fresh.known) endpoint_watcher_->apply_update(update);
  endpoint_watcher_->reconnect_to(fresh.channel);
  config_.channel = fresh.channel;
  net::log::info("reload: done");
}

void Router::reload_failed(std::string_view why) {
  ++counters_.reloads_failed;
  net::log::error("reload: not taken, the configuration in force stays: ", why);
}

void Router::declare(const std::string& folder) {
  auto acquired = hot_restart::InstanceLock::acquire(
      folder, {config_.name, net::text_of(callers_at()), net::Loop::unix_us()});
  if (const auto* error = std::get_if<hot_restart::StorageError>(&acquired)) {
    net::log::info("a replacement will not be noticed: ", error->message);
    return;
  }
  instance_lock_.emplace(std::get<hot_restart::InstanceLock>(std::move(acquired)));
  shared_folder_ = folder;
  deliver_stored_releases();
}

bool Router::is_replaced() const {
  if (!instance_lock_) return false;
  const auto others = instance_lock_->others();
  if (others.unreadable_files > 0) {
    net::log::warn("files of other processes in TMPDIR not readable: ", others.unreadable_files);
  }
  return core::is_replaced_by_any(instance_lock_->self(), others.records);
}

// As long as the process that this one replaces lives, and once more after it: it may have left some at its
// end.
void Router::deliver_stored_releases() {
  const bool more = core::replaces_any(instance_lock_->self(), instance_lock_->others().records);
  const auto loaded = hot_restart::load_releases(shared_folder_, instance_lock_->self());
  if (loaded.unreadable_files > 0) {
    net::log::warn("releases of a replaced process not readable: ", loaded.unreadable_files, " files");
  }
  for (const auto& release : loaded.releases) {
    for (const auto& frontend : frontends_) {
      if (frontend) frontend->deliver_release(release);
    }
  }
  if (more) loop_.after(kStoredReleasesInterval, [this] { deliver_stored_releases(); });
}

void Router::store_undelivered_releases() {
  if (undelivered_releases_.empty()) return;
  if (const auto error =
          hot_restart::store_releases(shared_folder_, instance_lock_->self(), undelivered_releases_)) {
    // What is left is kept, and tried again at the next look: a full folder may have room by then.
    net::log::warn(store_failures_log_, "releases not left for the other process: ", error->message);
  }
}

void Router::shut_down(std::function<void()> done) {
  if (on_exit_) return;
  on_exit_ = std::move(done);
  // `status` says no from now on. Where nobody has taken over, the callers' connections stay and what comes
  // is answered; else callers are to go to the other process at once.
  const bool replaced = is_replaced();
  shutdown_plan_ = core::GracefulShutdown::plan(net::Loop::now(), dispatcher_.longest_deadline(), replaced);
  table_.begin_shutdown(shutdown_plan_);
  net::log::info("stopping: ", table_.unanswered(), " unanswered, ", table_.established(), " standing",
                 replaced ? ", replaced" : "");
  if (replaced) {
    for (const auto& frontend : frontends_) {
      if (frontend)
        frontend->begin_hot_restart(
            [this](core::UndeliveredRelease one) { undelivered_releases_.push_back(std::move(one)); });
    }
  }
  check_exit();
}

void Router::check_exit() {
  const Instant now = net::Loop::now();
  store_undelivered_releases();
  const bool settled = std::all_of(frontends_.begin(), frontends_.end(),
                                   [](const auto& frontend) { return !frontend || frontend->is_settled(); });
  if (shutdown_plan_.may_exit(now, table_.unanswered(), table_.established(), !settled)) {
    table_.release_all();
    store_undelivered_releases();
    for (const auto& frontend : frontends_) {
      if (frontend) frontend->shut_down();
    }
    for (const auto& pool : upstream_pools_) {
      if (pool) pool->shut_down();
    }
    exit_when_closed(shutdown_plan_.end_by(now));
    return;
  }
  loop_.after(kExitCheckInterval, [this] { check_exit(); });
}

// A process that ends with input unread resets its connections, and a reset may overtake the last answer:
// each is closed by its caller first, or its time is up.
void Router::exit_when_closed(Instant by) {
  const bool closed = std::all_of(frontends_.begin(), frontends_.end(),
                                  [](const auto& frontend) { return !frontend || frontend->is_closed(); });
  if (closed || net::Loop::now() >= by) {
    on_exit_();
    return;
  }
  loop_.after(core::TimerWheel::kTick, [this, by] { exit_when_closed(by); });
}

}  // namespace amberknot::app
