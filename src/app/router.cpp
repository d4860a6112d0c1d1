#include "app/router.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "admin/metrics.hpp"
#include "core/reload_plan.hpp"
#include "hot_restart/undelivered_releases.hpp"
#include "net/log.hpp"

namespace amberknot::app {
namespace {

using std::chrono::milliseconds;

// How often a process loads the releases that the process it replaces has stored. Callers must receive them
// within 1 s.
constexpr Duration kStoredReleasesInterval = milliseconds{50};
constexpr Duration kExitCheckInterval = milliseconds{20};
constexpr Duration kForgetRemovedInterval = std::chrono::seconds{5};

/// Returns 64 random bits, which differ between processes whenever they are started.
std::uint64_t random_seed() {
  std::random_device random;
  return static_cast<std::uint64_t>(random()) << 32U | random();
}

}  // namespace

Router::Router(net::Loop& loop, const Config& config, const OperatorFile& operator_file)
    : loop_(loop),
      config_(config),
      names_(config.names),
      resource_limits_(net::ResourceLimits::from_config(config.max_memory_mb, config.max_sockets)),
      dispatcher_(config.settings, net::Loop::now()),
      table_(dispatcher_, servers_, loop.timers, counters_, &net::Loop::now,
             resource_limits_.max_executed_call_bytes / core::ExecutedCalls::kBytesPerEntry),
      operator_file_(operator_file),
      context_{loop,
               table_,
               servers_,
               counters_,
               config_,
               operator_file_,
               resource_limits_,
               names_,
               dispatcher_.settings(),
               [this](std::string_view user) { return tenant_of(user); },
               [this](ServerId id, bool is_restarted) {
                 endpoint_updates_.on_availability_changed(id, is_restarted);
               },
               {},
               core::CallIdGenerator(random_seed())},
      endpoint_updates_(context_, upstream_pools_) {
  loop.output_totals.max_bytes = resource_limits_.max_queued_bytes;
  loop.output_totals.max_bytes_per_connection = resource_limits_.max_queued_bytes_per_connection;
  if (config.settings.limits.may_message_peers && config.peer_listen && config.all_peers_address) {
    gossip_ = std::make_unique<discovery::GossipTransport>(
        loop, *config.peer_listen, config.peers, *config.all_peers_address,
        [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
          table_.on_gossip(from, std::move(bytes));
        });
  }
  table_.set_sinks(
      [this](const std::vector<std::uint8_t>& bytes) {
        if (gossip_) gossip_->broadcast(bytes);
      },
      [](const std::string& text) { net::log::info(text); });
  if (net::log::level() >= net::log::Level::kDebug) {
    table_.set_event_sink([](const core::CallEvent& event) { net::log::debug(core::to_text(event)); });
  }
  init_shared_parts(context_);
  for (const auto& kind : upstream_pool_kinds()) upstream_pools_.push_back(kind.make(context_));
  if (operator_file_.ldap) start_directory_refresh();
  for (const auto& kind : frontend_kinds()) frontends_.push_back(kind.make(context_));
  for (const auto& update : config.known_updates) apply_endpoint_update(update);
  config_.known_updates.clear();  // applied above; a reload brings its own list
  endpoint_watcher_ = std::make_unique<discovery::EndpointWatcher>(
      loop, counters_, config.command_channel, config.last_event_id,
      [this](const discovery::EndpointUpdate& update) { apply_endpoint_update(update); });
  schedule_forget_removed();
  if (config.admin_listen) {
    // Admin connections have a limit of their own, apart from those for callers and servers: a sixteenth of
    // the sockets, but at least eight.
    const std::size_t max_connections = std::max<std::size_t>(8, config.max_sockets / 16);
    admin_server_ = std::make_unique<admin::AdminServer>(
        loop, *config.admin_listen, max_connections,
        [this](admin::Command command) { return execute_admin_command(command); });
    net::log::info("admin: listening at ", net::to_text(admin_server_->local_endpoint()));
  }
}

void Router::set_standby(bool on) {
  if (standby_ == on) return;
  standby_ = on;
  for (const auto& frontend : frontends_) {
    if (frontend) frontend->set_standby(on);
  }
}

std::string Router::execute_admin_command(admin::Command command) {
  switch (command) {
    case admin::Command::kStatus:
      if (is_ready()) return "+OK yes";
      return on_exit_ ? "-ERR no: stopping" : "-ERR no: standby";
    case admin::Command::kStats: {
      admin::Gauges gauges;
      gauges.open_requests = table_.unanswered() + table_.established();
      for (const auto& [id, server] : servers_.all()) {
        if (server.state == EndpointState::kRemoved) continue;
        ++gauges.registry_entries;
        if (server.state != EndpointState::kReady || !server.upstream_pool->is_available(id))
          ++gauges.out_of_rotation;
      }
      auto lines = admin::statsd_lines(counters_, names_.classes, gauges);
      lines.pop_back();  // the admin server ends the reply
      return "+OK\n" + lines;
    }
    case admin::Command::kStandby:
      set_standby(true);
      return "+OK standby";
    case admin::Command::kActive:
      set_standby(false);
      return "+OK active";
  }
  return "-ERR unknown call";
}

void Router::start_directory_refresh() {
  std::string error;
  // A router without the directory still serves other clients, so a failed read does not stop it. Clients
  // that only the directory knows are rejected until a refresh succeeds.
  if (auto tenants = directory::read_tenants(*operator_file_.ldap, error)) {
    directory_ = std::move(*tenants);
    net::log::info("directory: loaded ", directory_.size(), " tenant names");
  } else {
    ++counters_.directory_failures;
    net::log::error("directory: initial read failed, starting without it: ", error);
  }
  refresher_ = std::make_unique<directory::TenantRefresher>(
      *operator_file_.ldap, [this](std::optional<directory::TenantMap> tenants, const std::string& reason) {
        asio::post(loop_.io, [this, tenants = std::move(tenants), reason]() mutable {
          if (!tenants) {
            ++counters_.directory_failures;
            net::log::warn("directory: refresh failed, keeping the last good copy: ", reason);
            return;
          }
          if (*tenants != directory_)
            net::log::info("directory: changed, ", tenants->size(), " tenant names");
          directory_ = std::move(*tenants);
        });
      });
}

std::size_t Router::caller_connections() const {
  std::size_t open = 0;
  for (const auto& frontend : frontends_) open += frontend ? frontend->connections() : 0;
  return open;
}

std::optional<asio::ip::tcp::endpoint> Router::frontend_endpoint(std::string_view name) const {
  const auto kinds = frontend_kinds();
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    if (kinds[i].name == name && frontends_[i]) return net::parse_endpoint(frontends_[i]->listen_address());
  }
  return std::nullopt;
}

std::string Router::tenant_of(std::string_view user) const {
  if (const auto found = directory_.find(user); found != directory_.end()) return found->second;
  if (operator_file_.diameter) {
    const auto found = operator_file_.diameter->tenants.find(user);
    if (found != operator_file_.diameter->tenants.end()) return found->second;
  }
  return std::string(user);  // unknown: taken as the tenant's own name
}

void Router::schedule_forget_removed() {
  loop_.run_after(kForgetRemovedInterval, [this] {
    endpoint_updates_.forget_removed_servers(net::Loop::now());
    schedule_forget_removed();
  });
}

void Router::reload(const Config& new_config) {
  check_fields_retained(config_, new_config);
  ++counters_.reloads;
  const auto reject = [](const char* field) {
    net::log::warn("reload: ", field, " has changed: not applied, requires a restart");
  };
  if (new_config.name != config_.name) reject("name");
  if (new_config.listen != config_.listen) reject("listen");
  if (new_config.peer_listen != config_.peer_listen) reject("peer_listen");
  if (new_config.settings_text != config_.settings_text) {
    // The settings were checked when they were read. Those that cannot change at run time keep their values
    // and are logged.
    auto plan = core::plan_reload(names_, dispatcher_.settings(), new_config.names, new_config.settings);
    names_ = std::move(plan.names);
    dispatcher_.apply_reload(plan.classes, plan.limits);
    config_.settings_text = new_config.settings_text;
    for (const auto& note : plan.changes) net::log::info("reload: ", note);
    for (const auto& setting : plan.requires_restart) reject(setting.c_str());
  }
  if (new_config.max_sockets != config_.max_sockets || new_config.max_memory_mb != config_.max_memory_mb)
    reject("limits");
  if (new_config.peers != config_.peers || new_config.all_peers_address != config_.all_peers_address) {
    if (gossip_ && new_config.all_peers_address) {
      gossip_->set_peers(new_config.peers, *new_config.all_peers_address);
      config_.peers = new_config.peers;
      config_.all_peers_address = new_config.all_peers_address;
      net::log::info("reload: now gossiping with ", new_config.peers.size(), " peers");
    } else {
      reject("peers");
    }
  }
  for (const auto& update : new_config.known_updates) endpoint_watcher_->apply_update(update);
  endpoint_watcher_->reconnect_to(new_config.command_channel);
  config_.command_channel = new_config.command_channel;
  config_.optional_fields = new_config.optional_fields;
  net::log::info("reload: configuration applied");
}

void Router::on_reload_failed(std::string_view reason) {
  ++counters_.reloads_failed;
  net::log::error("reload: new configuration rejected, keeping the current one: ", reason);
}

void Router::join_hot_restart(const std::string& folder) {
  auto acquired = hot_restart::InstanceLock::acquire(
      folder, {config_.name, net::to_text(callers_endpoint()), net::Loop::unix_us()});
  if (const auto* error = std::get_if<hot_restart::StorageError>(&acquired)) {
    net::log::info("hot restart: no instance record, a replacement of this process will not be detected: ",
                   error->message);
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
    net::log::warn("hot restart: unreadable instance records of other processes in TMPDIR, ignored: ",
                   others.unreadable_files);
  }
  return core::is_replaced_by_any(instance_lock_->self(), others.records);
}

// Repeated while the process that this one replaces is alive, and once after it has ended, since it may store
// releases at its exit.
void Router::deliver_stored_releases() {
  const bool is_replacing = core::replaces_any(instance_lock_->self(), instance_lock_->others().records);
  const auto loaded = hot_restart::load_releases(shared_folder_, instance_lock_->self());
  if (loaded.unreadable_files > 0) {
    net::log::warn("hot restart: unreadable stored releases, discarded: ", loaded.unreadable_files, " files");
  }
  for (const auto& release : loaded.releases) {
    for (const auto& frontend : frontends_) {
      if (frontend) frontend->deliver_release(release);
    }
  }
  if (is_replacing) loop_.run_after(kStoredReleasesInterval, [this] { deliver_stored_releases(); });
}

void Router::store_undelivered_releases() {
  if (undelivered_releases_.empty()) return;
  if (const auto error =
          hot_restart::store_releases(shared_folder_, instance_lock_->self(), undelivered_releases_)) {
    // Releases that were not stored are kept and stored by the next check: a full disk may have room by then.
    net::log::warn(
        store_failures_log_,
        "hot restart: cannot store releases for the replacement process, will retry: ", error->message);
  }
}

void Router::shut_down(std::function<void()> done) {
  if (on_exit_) return;
  on_exit_ = std::move(done);
  // From now on `status` reports that the router is stopping. If no other process has taken over, connections
  // of callers stay open and new requests are answered; otherwise callers are moved to the other process at
  // once.
  const bool was_replaced = is_replaced();
  shutdown_plan_ =
      core::GracefulShutdown::plan(net::Loop::now(), dispatcher_.longest_deadline(), was_replaced);
  table_.begin_shutdown(shutdown_plan_);
  net::log::info("shutdown: stopping with ", table_.unanswered(), " unanswered and ", table_.established(),
                 " established calls", was_replaced ? ", replaced by another process" : "");
  if (was_replaced) {
    for (const auto& frontend : frontends_) {
      if (frontend)
        frontend->begin_hot_restart([this](core::UndeliveredRelease release) {
          undelivered_releases_.push_back(std::move(release));
        });
    }
  }
  check_exit();
}

void Router::check_exit() {
  const Instant now = net::Loop::now();
  store_undelivered_releases();
  const bool all_settled = std::all_of(frontends_.begin(), frontends_.end(), [](const auto& frontend) {
    return !frontend || frontend->is_settled();
  });
  if (shutdown_plan_.may_exit(now, table_.unanswered(), table_.established(), !all_settled)) {
    table_.end_all();
    store_undelivered_releases();
    for (const auto& frontend : frontends_) {
      if (frontend) frontend->shut_down();
    }
    for (const auto& pool : upstream_pools_) {
      if (pool) pool->shut_down();
    }
    exit_when_closed(shutdown_plan_.callers_close_by(now));
    return;
  }
  const Duration until_exit = shutdown_plan_.exit_by - now;
  loop_.run_after(std::min(kExitCheckInterval, until_exit), [this] { check_exit(); });
}

// A process that exits with unread input resets its connections, and a caller may see the reset before the
// last answer. Therefore the process exits only when all callers have closed their connections, or at the
// deadline.
void Router::exit_when_closed(Instant deadline) {
  const bool all_closed = std::all_of(frontends_.begin(), frontends_.end(), [](const auto& frontend) {
    return !frontend || frontend->is_closed();
  });
  if (all_closed || net::Loop::now() >= deadline) {
    on_exit_();
    return;
  }
  loop_.run_after(core::TimerWheel::kTick, [this, deadline] { exit_when_closed(deadline); });
}

}  // namespace amberknot::app
