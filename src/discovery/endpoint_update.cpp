#include "discovery/endpoint_update.hpp"

namespace amberknot::discovery {

std::optional<EndpointUpdate> read_endpoint_update(std::string json) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document) || !document.IsObject()) return std::nullopt;
  return read_endpoint_update(document);
}

std::optional<EndpointUpdate> read_endpoint_update(const rapidjson::Value& event) {
  EndpointUpdate news;
  const auto cursor = settings::number_of(settings::text_in(event, "cursor"));
  if (!cursor || *cursor < 0) return std::nullopt;
  news.cursor = static_cast<std::uint64_t>(*cursor);
  const auto* nodes = settings::member(event, "nodes");
  if (nodes == nullptr) return news;  // an event of another kind
  const auto* snapshot = settings::member(*nodes, "snapshot");
  news.whole_list = snapshot != nullptr && snapshot->IsTrue();
  const auto* endpoints = settings::member(*nodes, "endpoints");
  if (endpoints == nullptr || !endpoints->IsArray()) return std::nullopt;
  news.has_servers = true;
  for (const auto& entry : endpoints->GetArray()) {
    core::EndpointChange change;
    change.name = settings::text_in(entry, "name");
    change.address = settings::text_in(entry, "address");
    const auto pool = settings::number_of(settings::text_in(entry, "group")).value_or(0);
    change.pool = pool >= 0 && pool < 4e9 ? static_cast<std::uint32_t>(pool) : 0;
    change.started_unix_ms =
        static_cast<std::int64_t>(settings::number_of(settings::text_in(entry, "since_ms")).value_or(0));
    const auto state = settings::text_in(entry, "status");
    if (change.name.empty()) continue;
    if (state == "ready") {
      change.state = EndpointState::kReady;
    } else if (state == "draining") {
      change.state = EndpointState::kDraining;
    } else if (state == "gone") {
      change.state = EndpointState::kRemoved;
    } else {
      continue;
    }
    news.changes.push_back(std::move(change));
  }
  return news;
}

}  // namespace amberknot::discovery
