#include "app/kinds.hpp"

#include <algorithm>
#include <array>

#include "diameter/connection_pool.hpp"
#include "diameter/frontend.hpp"
#include "http2/connection_pool.hpp"
#include "jsonl/frontend.hpp"
#include "net/log.hpp"
#include "sip/connection_pool.hpp"

namespace amberknot::app {
namespace {

std::unique_ptr<core::Frontend> make_jsonl_frontend(RouterContext& context) {
  return std::make_unique<jsonl::Frontend>(context.loop, context.table, context.counters, context.names,
                                           context.settings, context.resource_limits, context.config.listen,
                                           context.translator.get());
}

std::unique_ptr<core::Frontend> make_diameter_frontend(RouterContext& context) {
  const auto& diameter_config = context.operator_file.diameter;
  if (!diameter_config || !diameter_config->listen) return nullptr;
  auto frontend = std::make_unique<diameter::Frontend>(
      context.loop, context.table, context.counters, context.identity, context.call_ids, context.names,
      context.settings, *diameter_config->listen, context.resource_limits.max_diameter_connections,
      diameter_config->clients, context.tenant_of,
      [&servers = context.servers](std::string_view host) -> std::optional<PoolId> {
        const auto* server = servers.find(host);
        return server != nullptr ? std::optional(server->pool) : std::nullopt;
      },
      context.translator.get());
  net::log::info("diameter: ", context.identity.host, " serves clients at ", frontend->listen_address());
  return frontend;
}

std::unique_ptr<core::UpstreamPool> make_diameter_pool(RouterContext& context) {
  if (!context.operator_file.diameter) return nullptr;
  return std::make_unique<diameter::ConnectionPool>(
      context.loop, context.table, context.servers, context.counters, context.identity,
      context.config.connect_timeout, context.on_availability_changed);
}

std::unique_ptr<core::UpstreamPool> make_sip_pool(RouterContext& context) {
  return std::make_unique<sip::ConnectionPool>(context.loop, context.table, context.servers, context.counters,
                                               context.resource_limits, context.settings, context.config.name,
                                               context.config.connect_timeout);
}

std::unique_ptr<core::UpstreamPool> make_http2_pool(RouterContext& context) {
  if (!context.operator_file.session_api) return nullptr;
  const auto& limits = context.settings.limits;
  return std::make_unique<http2::ConnectionPool>(
      context.loop, context.table, context.servers, context.counters, context.resource_limits,
      *context.translator, context.config.connect_timeout, limits.max_retry_after,
      [&session_api = *context.operator_file.session_api,
       &translator = *context.translator](const std::string& server) {
        const auto* version = session_api.version_of(server);
        return version != nullptr ? translator.server_dialect_index(*version) : std::nullopt;
      },
      context.on_availability_changed);
}

bool is_session_api_server(const OperatorFile& operator_file, const std::string& server) {
  return operator_file.session_api && operator_file.session_api->version_of(server) != nullptr;
}
bool is_diameter_server(const OperatorFile& operator_file, const std::string& server) {
  return operator_file.diameter && operator_file.diameter->is_diameter_server(server);
}
bool is_sip_server(const OperatorFile& /*operator_file*/, const std::string& /*server*/) {
  return true;
}

constexpr std::array kFrontendKinds = {FrontendKind{"json-lines", make_jsonl_frontend},
                                       FrontendKind{"diameter", make_diameter_frontend}};
constexpr std::array kUpstreamPoolKinds = {
    UpstreamPoolKind{"diameter", "diameter-server", is_diameter_server, make_diameter_pool},
    UpstreamPoolKind{"session-api", "", is_session_api_server, make_http2_pool},
    UpstreamPoolKind{"sip", "sip", is_sip_server, make_sip_pool}};

}  // namespace

std::span<const FrontendKind> frontend_kinds() {
  return kFrontendKinds;
}
std::span<const UpstreamPoolKind> upstream_pool_kinds() {
  return kUpstreamPoolKinds;
}

std::unique_ptr<translate::Translator> make_translator(const OperatorFile& operator_file) {
  if (!operator_file.session_api) return nullptr;
  std::vector<std::string> clients = {"json-lines"};
  if (operator_file.diameter && operator_file.diameter->listen) clients.emplace_back("diameter");
  std::vector<std::string> servers = {"sip", "diameter-server", "session-1"};
  // Version 2 needs a translation row from the operator. The row is not required if no server may use
  // version 2.
  const bool has_version_2 =
      std::any_of(operator_file.session_api->servers.begin(), operator_file.session_api->servers.end(),
                  [](const auto& entry) { return entry.second != "session-1"; });
  if (has_version_2) servers.emplace_back("session-2");
  auto translator = std::make_unique<translate::Translator>(clients, servers, operator_file.translate);
  if (!translator->mapping_errors().empty()) {
    throw ConfigError("operator file: translate: " + translator->mapping_errors().front());
  }
  return translator;
}

void init_shared_parts(RouterContext& context) {
  context.translator = make_translator(context.operator_file);
  if (const auto& diameter_config = context.operator_file.diameter) {
    auto& identity = context.identity;
    identity.host = diameter_config->origin_host;
    identity.realm = diameter_config->origin_realm;
    identity.origin_state_id = static_cast<std::uint32_t>(net::Loop::unix_ms() / 1000);
    identity.watchdog_interval = diameter_config->watchdog_interval;
    identity.watchdog_jitter =
        std::min<Duration>(identity.watchdog_jitter, diameter_config->watchdog_interval / 5);
    // RFC 6733, section 3: the high 12 bits come from the time, the low 20 bits may have any value.
    identity.next_end_to_end =
        (identity.origin_state_id << 20U) | (static_cast<std::uint32_t>(context.config.seed) & 0xfffffU);
  }
}

}  // namespace amberknot::app
