// Changes of the endpoint list and the parser of the JSON that holds them: one event of the command channel,
// or one entry of `known` in the configuration. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint_registry.hpp"
#include "settings/json_text.hpp"

namespace amberknot::discovery {

/// One event about the endpoint list.
struct EndpointUpdate {
  std::uint64_t cursor = 0;  ///< the event's number; numbers grow
  bool whole_list = false;   ///< `changes` is the whole list: an endpoint that it does not name is removed
  bool has_servers = false;  ///< false: an event of another kind, which leaves the list as it is
  std::vector<core::EndpointChange> changes;
};

/// Parses the data of one event. Empty: it is no JSON object, has no valid `cursor`, or its `nodes` hold no
/// list of endpoints. Endpoints with an unknown state or no name are left out.
std::optional<EndpointUpdate> parse_endpoint_update(std::string json);
/// The same for an event that is parsed as JSON already.
std::optional<EndpointUpdate> parse_endpoint_update(const rapidjson::Value& event);

}  // namespace amberknot::discovery
