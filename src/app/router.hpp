// The router as one object: the core, frontends, upstream pools, endpoint discovery, admin server and hot
// restart.
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

/// Serves calls from its construction on. Used on the event loop's thread only.
class Router {
 public:
  /// Listens for callers and connects to servers and to the command channel. Throws ConfigError if the
  /// operator file is invalid and `std::system_error` if an address cannot be used.
  Router(net::Loop& loop, const Config& config, const OperatorFile& operator_file = {});

  /// Starts a graceful shutdown and returns. Once every accepted call is answered, and the established calls
  /// have ended or the shutdown's `exit_by` has passed, releases the remaining calls and invokes `done`.
  /// Invoking this function again has no effect.
  void shut_down(std::function<void()> done);
  /// Writes this process's instance record to `folder`, which successive processes of a router share, so that
  /// a replacement is detected. Delivers the releases that a replaced process has stored there.
  void join_hot_restart(const std::string& folder);
  /// Applies a new configuration, which has been read and checked. A change that requires a restart is logged
  /// and not applied.
  void reload(const Config& new_config);
  /// Counts and logs that a new configuration is invalid; the current one stays in force.
  void on_reload_failed(std::string_view reason);
  /// Deletes the entries of servers whose retention time has passed at `now` and that no call refers to.
  void forget_removed_servers(Instant now) { endpoint_updates_.forget_removed_servers(now); }
  /// Turns standby on (connections of callers are drained) or off (callers are accepted again), as the admin
  /// commands `standby` and `active` do.
  void set_standby(bool on);
  /// Whether this process accepts clients: it is neither in standby nor shutting down.
  [[nodiscard]] bool is_ready() const { return !standby_ && !on_exit_; }
  /// Executes an admin command and returns the reply without its last line feed.
  [[nodiscard]] std::string execute_admin_command(admin::Command command);
  /// Where the admin server listens; empty if it is not configured.
  [[nodiscard]] std::optional<asio::ip::tcp::endpoint> admin_endpoint() const {
    return admin_server_ ? std::optional(admin_server_->local_endpoint()) : std::nullopt;
  }
  /// Applies an endpoint update, as from the command channel.
  void apply_endpoint_update(const discovery::EndpointUpdate& update) { endpoint_updates_.apply(update); }

  [[nodiscard]] const core::Counters& counters() const { return counters_; }
  [[nodiscard]] const core::CallTable& table() const { return table_; }
  [[nodiscard]] const core::EndpointRegistry& servers() const { return servers_; }
  /// The number of open connections of callers at all frontends.
  [[nodiscard]] std::size_t caller_connections() const;
  /// Where the frontend of that name (see frontend_kinds()) listens; empty if it is not configured.
  [[nodiscard]] std::optional<asio::ip::tcp::endpoint> frontend_endpoint(std::string_view name) const;
  /// Where callers over JSON lines connect.
  [[nodiscard]] asio::ip::tcp::endpoint callers_endpoint() const {
    return *frontend_endpoint(frontend_kinds()[0].name);
  }
  /// Where Diameter clients connect; empty if that frontend is not configured.
  [[nodiscard]] std::optional<asio::ip::tcp::endpoint> diameter_endpoint() const {
    return frontend_endpoint("diameter");
  }
  /// The tenant that a User-Name, realm or acquirer belongs to, from the directory or else the operator file;
  /// the text itself if neither knows it.
  [[nodiscard]] std::string tenant_of(std::string_view user) const;

 private:
  void start_directory_refresh();
  void check_exit();
  void exit_when_closed(Instant deadline);
  [[nodiscard]] bool is_replaced() const;
  void store_undelivered_releases();
  void deliver_stored_releases();
  void schedule_forget_removed();

  net::Loop& loop_;
  Config config_;  ///< the current one
  core::ConfiguredNames names_;
  net::ResourceLimits resource_limits_;
  core::Counters counters_;
  core::EndpointRegistry servers_;
  core::Dispatcher dispatcher_;
  core::CallTable table_;
  OperatorFile operator_file_;
  RouterContext context_;
  UpstreamPools upstream_pools_;
  EndpointUpdates endpoint_updates_;
  std::vector<std::unique_ptr<core::Frontend>>
      frontends_;  ///< in the order of frontend_kinds(); null if not configured
  directory::TenantMap directory_;
  std::unique_ptr<directory::TenantRefresher> refresher_;
  std::unique_ptr<discovery::GossipTransport> gossip_;
  std::unique_ptr<discovery::EndpointWatcher> endpoint_watcher_;
  std::unique_ptr<admin::AdminServer> admin_server_;
  bool standby_ = false;
  std::function<void()> on_exit_;  ///< set once shutdown has begun
  core::GracefulShutdown shutdown_plan_;
  std::optional<hot_restart::InstanceLock> instance_lock_;
  std::string shared_folder_;  ///< where processes of this router exchange files
  net::log::RateLimiter store_failures_log_;
  std::vector<core::UndeliveredRelease> undelivered_releases_;  ///< for the process that replaces this one
};

}  // namespace amberknot::app
