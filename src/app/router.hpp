// The whole router in one object: the core, its callers' fronts, its server links and the command channel.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "admin/admin_server.hpp"
#include "app/config.hpp"
#include "app/endpoint_updates.hpp"
#include "app/kinds.hpp"
#include "app/operator_file.hpp"
#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/dispatcher.hpp"
#include "core/endpoint_registry.hpp"
#include "core/graceful_shutdown.hpp"
#include "core/names.hpp"
#include "directory/tenants.hpp"
#include "discovery/endpoint_watcher.hpp"
#include "discovery/gossip_transport.hpp"
#include "hot_restart/instance_lock.hpp"
#include "net/log.hpp"
#include "net/loop.hpp"

namespace amberknot::app {

class Router {
 public:
  Router(net::Loop& loop, const Config& config, const OperatorFile& setup = {});

  /// Goes on serving until all that was taken is answered, then releases what stands and calls `done`.
  void shut_down(std::function<void()> done);
  /// Says in a folder that the process shares with the one that it replaces, or that will replace it, that it
  /// serves. Takes what a process that it replaces has left to tell.
  void declare(const std::string& folder);
  /// Takes over a new configuration, read and checked whole. What a running program cannot change is refused
  /// aloud and stays as it was.
  void reload(const Config& fresh);
  /// A new configuration could not be read: the one in force stays.
  void reload_failed(std::string_view why);
  /// Forgets the servers that had been gone for long by then and that nothing refers to.
  void forget_removed(Instant now) { endpoint_updates_.forget_removed(now); }
  /// Standby sends callers away, active takes them again, as the admin server's commands say.
  void standby(bool on);
  /// Whether this process takes clients: it has started, and is neither in standby nor stopping.
  [[nodiscard]] bool ready() const { return !standby_ && !on_exit_; }
  /// The reply to one admin command, without its line feed.
  [[nodiscard]] std::string answer(admin::Command command);
  [[nodiscard]] std::optional<asio::ip::tcp::endpoint> control_at() const {
    return admin_server_ ? std::optional(admin_server_->local_endpoint()) : std::nullopt;
  }
  /// News of the servers, as from the command channel.
  void apply(const discovery::EndpointUpdate& update) { endpoint_updates_.apply(update); }

  [[nodiscard]] const core::Counters& counters() const { return counters_; }
  [[nodiscard]] const core::CallTable& table() const { return table_; }
  [[nodiscard]] const core::EndpointRegistry& servers() const { return servers_; }
  /// Open connections of callers, by whatever front.
  [[nodiscard]] std::size_t callers() const;
  /// Where the front of that name in the table of kinds listens; empty: it is not set up.
  [[nodiscard]] std::optional<asio::ip::tcp::endpoint> frontend_at(std::string_view name) const;
  [[nodiscard]] asio::ip::tcp::endpoint callers_at() const { return *frontend_at(frontend_kinds()[0].name); }
  [[nodiscard]] std::optional<asio::ip::tcp::endpoint> diameter_at() const { return frontend_at("diameter"); }
  /// The tenant that a Diameter client's User-Name or realm belongs to, by the directory or the operator's
  /// file.
  [[nodiscard]] std::string tenant_of(std::string_view user) const;

 private:
  void follow_directory();
  void check_exit();
  void exit_when_closed(Instant by);
  [[nodiscard]] bool is_replaced() const;
  void store_undelivered_releases();
  void deliver_stored_releases();
  void schedule_forgetting();

  net::Loop& loop_;
  Config config_;  ///< in force
  core::Names names_;
  net::ResourceLimits bounds_;
  core::Counters counters_;
  core::EndpointRegistry servers_;
  core::Dispatcher dispatcher_;
  core::CallTable table_;
  OperatorFile setup_;
  Site site_;
  UpstreamPools upstream_pools_;
  EndpointUpdates endpoint_updates_;
  std::vector<std::unique_ptr<core::Frontend>>
      frontends_;  ///< in the order of frontend_kinds(); null: not set up
  directory::TenantMap directory_;
  std::unique_ptr<directory::Refresher> refresher_;
  std::unique_ptr<discovery::GossipTransport> gossip_;
  std::unique_ptr<discovery::EndpointWatcher> endpoint_watcher_;
  std::unique_ptr<admin::AdminServer> admin_server_;
  bool standby_ = false;
  std::function<void()> on_exit_;
  core::GracefulShutdown shutdown_plan_;
  std::optional<hot_restart::InstanceLock> instance_lock_;
  std::string shared_folder_;
  net::log::RateLimiter store_failures_log_;
  std::vector<core::UndeliveredRelease> undelivered_releases_;  ///< for the process that replaces this one
};

}  // namespace amberknot::app
