// The news of servers that the command channel's events hold.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/server_list.hpp"
#include "settings/json_text.hpp"
#include "settings/sse.hpp"

namespace amberknot::discovery {

using settings::SseEvent;
using settings::SseReader;

struct EndpointUpdate {
  std::uint64_t cursor = 0;
  bool whole_list = false;
  bool has_servers = false;
  std::vector<core::EndpointChange> changes;
};

/// One event's data. Empty: it cannot be read. Entries with an unknown state or no name are left out.
std::optional<EndpointUpdate> read_endpoint_update(std::string json);
std::optional<EndpointUpdate> read_endpoint_update(const rapidjson::Value& event);

}  // namespace amberknot::discovery
