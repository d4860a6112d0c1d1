// The tables of frontends and upstream pools. A new protocol is added to them; the router creates frontends
// and pools only through them.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "app/config.hpp"
#include "app/operator_file.hpp"
#include "core/call_id_generator.hpp"
#include "core/call_table.hpp"
#include "core/counters.hpp"
#include "core/endpoint_registry.hpp"
#include "core/names.hpp"
#include "core/ports.hpp"
#include "diameter/peer.hpp"
#include "net/bounds.hpp"
#include "net/loop.hpp"
#include "translate/eligibility.hpp"

namespace amberknot::app {

/// What frontends and upstream pools are created from. All of it outlives them.
struct RouterContext {
  net::Loop& loop;
  core::CallTable& table;
  core::EndpointRegistry& servers;
  core::Counters& counters;
  const Config& config;
  const OperatorFile& operator_file;
  const net::ResourceLimits& resource_limits;
  const core::ConfiguredNames& names;
  const Settings& settings;
  /// Returns the tenant that a User-Name, realm or acquirer belongs to, or the text itself if it is unknown.
  std::function<std::string(std::string_view)> tenant_of;
  /// Called when a server starts or stops accepting calls, or was restarted.
  std::function<void(ServerId server, bool is_restarted)> on_availability_changed;
  /// Shared by the Diameter frontend and upstream pool: one identity and one range of identifiers.
  diameter::Identity identity = {};
  /// For the calls of frontends whose protocol has no call ids that session servers accept.
  core::CallIdGenerator call_ids;
  /// Null if no server uses the session API; nothing is translated then.
  std::unique_ptr<translate::Translator> translator = {};
};

/// A protocol of callers.
struct FrontendKind {
  std::string_view name;
  /// Returns null if the operator file does not configure it.
  std::unique_ptr<core::Frontend> (*make)(RouterContext& context);
};

/// A protocol of session servers.
struct UpstreamPoolKind {
  std::string_view name;
  std::string_view dialect;  ///< of all its servers; empty if the pool detects it for each server
  /// Whether the operator file assigns the server to this protocol. The last row accepts every server.
  bool (*is_protocol_of)(const OperatorFile& operator_file, const std::string& server);
  /// Returns null if the operator file does not configure it.
  std::unique_ptr<core::UpstreamPool> (*make)(RouterContext& context);
};

/// The first row is the frontend that every platform has: JSON lines.
std::span<const FrontendKind> frontend_kinds();
/// A server is assigned to the pool of the first row whose `is_protocol_of` accepts it.
std::span<const UpstreamPoolKind> upstream_pool_kinds();

/// Returns the translator that the operator file requires, or null if nothing is translated. Throws
/// ConfigError if a mapping does not cover every message.
std::unique_ptr<translate::Translator> make_translator(const OperatorFile& operator_file);

/// Initializes the parts of `context` that several protocols share; called before any frontend or pool is
/// created. Throws ConfigError if a mapping does not cover every message.
void init_shared_parts(RouterContext& context);

}  // namespace amberknot::app
