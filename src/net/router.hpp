// The whole router in one object: the core, its callers' fronts, its server links and the command channel.
#pragma once

#include <functional>
#include <memory>

#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/dispatcher.hpp"
#include "core/server_list.hpp"
#include "diameter/front.hpp"
#include "diameter/links.hpp"
#include "directory/tenants.hpp"
#include "net/config.hpp"
#include "net/feed.hpp"
#include "net/jsonl_front.hpp"
#include "net/loop.hpp"
#include "net/operator_file.hpp"
#include "net/peers.hpp"
#include "net/sip_links.hpp"

namespace amberknot::net {

class Router {
 public:
  Router(Loop& loop, const Config& config, const OperatorFile& setup = {});

  /// Goes on serving until all that was taken is answered, then releases what stands and calls `done`.
  void stop_when_answered(std::function<void()> done);
  /// Takes over a new configuration, read and checked whole. What a running program cannot change is refused
  /// aloud and stays as it was.
  void reload(const Config& fresh);
  /// A new configuration could not be read: the one in force stays.
  void reload_failed(std::string_view why);
  /// Forgets the servers that had been gone for long by then and that nothing refers to.
  void forget_gone(Instant now);
  /// News of the servers, as from the command channel.
  void apply(const ListNews& news);

  [[nodiscard]] const core::Counters& counters() const { return counters_; }
  [[nodiscard]] const core::CallTable& table() const { return table_; }
  [[nodiscard]] const core::ServerList& servers() const { return servers_; }
  [[nodiscard]] std::size_t callers() const { return front_.connections(); }
  [[nodiscard]] asio::ip::tcp::endpoint callers_at() const { return front_.local(); }
  [[nodiscard]] std::optional<asio::ip::tcp::endpoint> diameter_at() const {
    return diameter_front_ ? std::optional(diameter_front_->local()) : std::nullopt;
  }
  /// The tenant that a Diameter client's User-Name or realm belongs to, by the directory or the operator's
  /// file.
  [[nodiscard]] std::string tenant_of(std::string_view user) const;

 private:
  void start_diameter(const Config& config, const OperatorFile& setup);
  [[nodiscard]] core::ServerFacts facts_of(const core::ListedServer& server) const;
  void tell_links(const core::ListedServer& server);
  void look_whether_done();
  void forget_now_and_then();

  Loop& loop_;
  Config config_;  ///< in force
  Names names_;
  Bounds bounds_;
  core::Counters counters_;
  core::ServerList servers_;
  core::Dispatcher dispatcher_;
  core::CallTable table_;
  SipLinks links_;
  JsonlFront front_;
  std::optional<DiameterSetup> diameter_;
  diameter::Identity identity_;
  std::unique_ptr<diameter::Links> diameter_links_;
  std::unique_ptr<diameter::Front> diameter_front_;
  directory::TenantMap directory_;
  std::unique_ptr<directory::Refresher> refresher_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Feed> feed_;
  std::function<void()> done_;
  Instant stop_from_{};
  Instant stop_by_{};
};

}  // namespace amberknot::net
