// The one table of fronts and of links to servers. A new kind is entered there; the router itself names none.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "app/config.hpp"
#include "app/operator_file.hpp"
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

/// What every kind is made from. All of it outlives what is made.
struct Site {
  net::Loop& loop;
  core::CallTable& table;
  core::EndpointRegistry& servers;
  core::Counters& counters;
  const Config& config;
  const OperatorFile& setup;
  const net::ResourceLimits& bounds;
  const core::Names& names;
  const Settings& settings;
  /// The tenant that a User-Name, realm or acquirer belongs to; the text itself where nobody knows it.
  std::function<std::string(std::string_view)> tenant_of;
  /// To be told when a server begins or ceases to take new calls, or has started anew.
  std::function<void(ServerId server, bool started_anew)> on_availability_changed;
  /// One name and one number space for the Diameter front and links.
  diameter::Identity identity = {};
  /// Null: nothing is translated, and no server speaks the session API.
  std::unique_ptr<translate::Translator> translator = {};
};

struct FrontendKind {
  std::string_view name;
  /// Null: the operator's file does not set it up.
  std::unique_ptr<core::Frontend> (*make)(Site& site);
};

struct UpstreamPoolKind {
  std::string_view name;
  std::string_view dialect;  ///< of all its servers; empty: each has its own, which the links find out
  /// Whether the operator's file says that this server speaks it; the last row takes the rest.
  bool (*speaks)(const OperatorFile& setup, const std::string& server);
  /// Null: the operator's file does not set it up.
  std::unique_ptr<core::UpstreamPool> (*make)(Site& site);
};

/// The first row is the platform's front.
std::span<const FrontendKind> frontend_kinds();
std::span<const UpstreamPoolKind> upstream_pool_kinds();

/// The translator that the operator's file asks for; null: nothing is translated. Throws ConfigError where a
/// mapping is not total.
std::unique_ptr<translate::Translator> make_translator(const OperatorFile& setup);

/// What is made before both: the parts that several kinds share. Throws ConfigError where a mapping is not
/// total.
void prepare(Site& site);

}  // namespace amberknot::app
