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

std::unique_ptr<core::Frontend> make_jsonl_frontend(Site& site) {
  return std::make_unique<jsonl::Frontend>(site.loop, site.table, site.counters, site.names, site.settings,
                                           site.bounds, site.config.listen, site.translator.get());
}

std::unique_ptr<core::Frontend> make_diameter_frontend(Site& site) {
  const auto& setup = site.setup.diameter;
  if (!setup || !setup->listen) return nullptr;
  auto front = std::make_unique<diameter::Frontend>(
      site.loop, site.table, site.counters, site.identity, site.names, site.settings, *setup->listen,
      site.bounds.diameter, setup->clients, site.tenant_of,
      [&servers = site.servers](std::string_view host) -> std::optional<PoolId> {
        const auto* server = servers.find(host);
        return server != nullptr ? std::optional(server->pool) : std::nullopt;
      },
      site.translator.get());
  net::log::info("diameter: ", site.identity.host, " serves clients at ", front->listen_address());
  return front;
}

std::unique_ptr<core::UpstreamPool> make_diameter_pool(Site& site) {
  if (!site.setup.diameter) return nullptr;
  return std::make_unique<diameter::ConnectionPool>(site.loop, site.table, site.servers, site.counters,
                                                    site.identity, site.config.connect_limit,
                                                    site.on_availability_changed);
}

std::unique_ptr<core::UpstreamPool> make_sip_pool(Site& site) {
  return std::make_unique<sip::ConnectionPool>(site.loop, site.table, site.servers, site.counters,
                                               site.bounds, site.config.name, site.config.connect_limit);
}

std::unique_ptr<core::UpstreamPool> make_http2_pool(Site& site) {
  if (!site.setup.session_api) return nullptr;
  const auto& limits = site.settings.limits;
  return std::make_unique<http2::ConnectionPool>(
      site.loop, site.table, site.servers, site.counters, site.bounds, *site.translator,
      site.config.connect_limit, limits.max_retry_advice,
      [&setup = *site.setup.session_api, &translator = *site.translator](const std::string& server) {
        const auto* speaks = setup.of(server);
        return speaks != nullptr ? translator.server_no(*speaks) : std::nullopt;
      },
      site.on_availability_changed);
}

bool is_session_api_server(const OperatorFile& setup, const std::string& server) {
  return setup.session_api && setup.session_api->of(server) != nullptr;
}
bool is_diameter_server(const OperatorFile& setup, const std::string& server) {
  return setup.diameter && setup.diameter->is_diameter_server(server);
}
bool is_sip_server(const OperatorFile& /*setup*/, const std::string& /*server*/) {
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

std::unique_ptr<translate::Translator> make_translator(const OperatorFile& setup) {
  if (!setup.session_api) return nullptr;
  std::vector<std::string> clients = {"json-lines"};
  if (setup.diameter && setup.diameter->listen) clients.emplace_back("diameter");
  std::vector<std::string> servers = {"sip", "diameter-server", "session-1"};
  // Version 2 asks for a row of the operator's; without servers that may speak it none is wanted.
  const bool two = std::any_of(setup.session_api->servers.begin(), setup.session_api->servers.end(),
                               [](const auto& one) { return one.second != "session-1"; });
  if (two) servers.emplace_back("session-2");
  auto translator = std::make_unique<translate::Translator>(clients, servers, setup.translate);
  if (!translator->faults().empty()) {
    throw ConfigError("operator file: translate: " + translator->faults().front());
  }
  return translator;
}

void prepare(Site& site) {
  site.translator = make_translator(site.setup);
  if (const auto& setup = site.setup.diameter) {
    auto& identity = site.identity;
    identity.host = setup->origin_host;
    identity.realm = setup->origin_realm;
    identity.state_id = static_cast<std::uint32_t>(net::Loop::unix_ms() / 1000);
    identity.watchdog = setup->watchdog;
    identity.jitter = std::min<Duration>(identity.jitter, setup->watchdog / 5);
    // RFC 6733: the low part is free, the high 12 bits are of the time.
    identity.next_end_to_end =
        (identity.state_id << 20U) | (static_cast<std::uint32_t>(site.config.seed) & 0xfffffU);
  }
}

}  // namespace amberknot::app
