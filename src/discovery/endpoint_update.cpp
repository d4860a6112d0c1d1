#include "discovery/endpoint_update.hpp"

#include <string_view>
#include <utility>

namespace amberknot::discovery {
namespace {

/// Exclusive upper limit of pool numbers. A group outside of it counts as pool 0.
constexpr double kPoolLimit = 4e9;

std::optional<EndpointState> parse_state(std::string_view text) {
  if (text == "ready") return EndpointState::kReady;
  if (text == "draining") return EndpointState::kDraining;
  if (text == "gone") return EndpointState::kRemoved;
  return std::nullopt;
}

std::uint32_t parse_pool(const rapidjson::Value& endpoint) {
  const auto pool = settings::parse_number(settings::member_string(endpoint, "group")).value_or(0);
  return pool >= 0 && pool < kPoolLimit ? static_cast<std::uint32_t>(pool) : 0;
}

/// Returns nothing if the entry has no name or an unknown state.
std::optional<core::EndpointChange> parse_change(const rapidjson::Value& endpoint) {
  const auto state = parse_state(settings::member_string(endpoint, "status"));
  core::EndpointChange change;
  change.name = settings::member_string(endpoint, "name");
  if (!state || change.name.empty()) return std::nullopt;
  change.address = settings::member_string(endpoint, "address");
  change.pool = parse_pool(endpoint);
  change.state = *state;
  change.started_unix_ms = static_cast<std::int64_t>(
      settings::parse_number(settings::member_string(endpoint, "since_ms")).value_or(0));
  return change;
}

}  // namespace

std::optional<EndpointUpdate> parse_endpoint_update(std::string json) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document) || !document.IsObject()) return std::nullopt;
  return parse_endpoint_update(document);
}

std::optional<EndpointUpdate> parse_endpoint_update(const rapidjson::Value& event) {
  EndpointUpdate update;
  const auto cursor = settings::parse_number(settings::member_string(event, "cursor"));
  if (!cursor || *cursor < 0) return std::nullopt;
  update.event_number = static_cast<std::uint64_t>(*cursor);
  const auto* nodes = settings::find_member(event, "nodes");
  if (nodes == nullptr) return update;  // not an event about the endpoint list
  const auto* snapshot = settings::find_member(*nodes, "snapshot");
  update.is_full_list = snapshot != nullptr && snapshot->IsTrue();
  const auto* endpoints = settings::find_member(*nodes, "endpoints");
  if (endpoints == nullptr || !endpoints->IsArray()) return std::nullopt;
  update.has_endpoint_list = true;
  for (const auto& endpoint : endpoints->GetArray()) {
    if (auto change = parse_change(endpoint)) update.changes.push_back(std::move(*change));
  }
  return update;
}

}  // namespace amberknot::discovery
