#include "discovery/endpoint_update.hpp"

#include <string_view>
#include <utility>

namespace amberknot::discovery {
namespace {

/// Exclusive upper limit of pool numbers.
constexpr double kPoolLimit = 4e9;

std::optional<EndpointState> parse_state(std::string_view text) {
  if (text == "ready") return EndpointState::kReady;
  if (text == "draining") return EndpointState::kDraining;
  if (text == "gone") return EndpointState::kRemoved;
  return std::nullopt;
}

/// Returns nothing if the endpoint has no valid group.
std::optional<std::uint32_t> parse_pool(const rapidjson::Value& endpoint) {
  const auto pool = settings::parse_number(settings::member_string(endpoint, "group"));
  if (!pool || *pool < 0 || *pool >= kPoolLimit) return std::nullopt;
  return static_cast<std::uint32_t>(*pool);
}

/// Appends the change to the update unless the entry has to be skipped, and its invalid fields in any case.
void parse_change(const rapidjson::Value& endpoint, EndpointUpdate& update) {
  const auto state = parse_state(settings::member_string(endpoint, "status"));
  const auto started_unix_ms = settings::parse_number(settings::member_string(endpoint, "since_ms"));
  core::EndpointChange change;
  change.name = settings::member_string(endpoint, "name");
  change.address = settings::member_string(endpoint, "address");
  change.pool = parse_pool(endpoint);
  change.state = state.value_or(EndpointState::kRemoved);
  change.started_unix_ms = static_cast<std::int64_t>(started_unix_ms.value_or(0));
  const auto add_invalid = [&](const char* field) {
    update.invalid_fields.push_back(field + (" of endpoint " + change.name));
  };
  if (change.name.empty()) add_invalid("name");
  if (!state) add_invalid("status");
  const bool is_removed = state == EndpointState::kRemoved;
  if (!is_removed && change.address.empty()) add_invalid("address");
  if (!is_removed && !change.pool) add_invalid("group");
  if (!is_removed && !started_unix_ms) add_invalid("since_ms");
  if (state && !change.name.empty()) update.changes.push_back(std::move(change));
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
  for (const auto& endpoint : endpoints->GetArray()) parse_change(endpoint, update);
  if (snapshot == nullptr || !snapshot->IsBool()) update.invalid_fields.emplace_back("snapshot of the event");
  return update;
}

}  // namespace amberknot::discovery
