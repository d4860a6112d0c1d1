#include "core/endpoint_registry.hpp"

#include "core/placement.hpp"

namespace amberknot::core {

Endpoint& EndpointRegistry::find_or_create(std::string_view name) {
  if (const auto found = ids_by_name_.find(name); found != ids_by_name_.end()) return *find(found->second);
  const ServerId id{next_id_++};
  auto& server = servers_[id];
  server.id = id;
  server.name = name;
  ids_by_name_.emplace(server.name, id);
  return server;
}

Endpoint* EndpointRegistry::find(ServerId id) {
  const auto found = servers_.find(id);
  return found != servers_.end() ? &found->second : nullptr;
}

const Endpoint* EndpointRegistry::find(ServerId id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() ? &found->second : nullptr;
}

const Endpoint* EndpointRegistry::find(std::string_view name) const {
  const auto found = ids_by_name_.find(name);
  return found != ids_by_name_.end() ? find(found->second) : nullptr;
}

ProtocolVersionSet EndpointRegistry::supported_versions() const {
  ProtocolVersionSet versions = 0;
  for (const auto& [id, server] : servers_) {
    if (server.state != EndpointState::kRemoved) versions |= version_set(server.version);
  }
  return versions;
}

void EndpointRegistry::forget(ServerId id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  ids_by_name_.erase(found->second.name);
  servers_.erase(found);
}

}  // namespace amberknot::core
