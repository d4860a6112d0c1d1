#include "core/server_list.hpp"

namespace amberknot::core {

ListedServer& ServerList::of(std::string_view name) {
  if (const auto found = by_name_.find(name); found != by_name_.end()) return *find(found->second);
  auto& server = servers_.emplace_back();
  server.id = ServerId{static_cast<std::uint32_t>(servers_.size() - 1)};
  server.name = name;
  by_name_.emplace(server.name, server.id);
  return server;
}

ListedServer* ServerList::find(ServerId id) {
  const auto at = static_cast<std::size_t>(id);
  return at < servers_.size() ? &servers_[at] : nullptr;
}

const ListedServer* ServerList::find(ServerId id) const {
  const auto at = static_cast<std::size_t>(id);
  return at < servers_.size() ? &servers_[at] : nullptr;
}

}  // namespace amberknot::core
