// Changes of the endpoint list, and their parser. Their JSON form is an event of the command channel or an
// entry of `known.cmds` in the configuration. Has no I/O and no state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint_registry.hpp"
#include "settings/json_text.hpp"

namespace amberknot::discovery {

/// One event of the command channel.
struct EndpointUpdate {
  std::uint64_t event_number = 0;  ///< the event's number; later events have higher numbers
  bool is_full_list = false;  ///< `changes` is the full list: endpoints that it does not name are removed
  bool has_endpoint_list = false;  ///< false if the event does not concern the endpoint list
  std::vector<core::EndpointChange> changes;
  /// Fields that are missing or invalid, for example `group of endpoint s-1`.
  std::vector<std::string> invalid_fields;
};

/// Parses the data of an event. Returns nothing if it is not a JSON object, has no valid `cursor`, or has
/// `nodes` without an array of endpoints. Endpoints with an unknown state or no name are skipped.
std::optional<EndpointUpdate> parse_endpoint_update(std::string json);
/// As above, for an event that has already been parsed as JSON.
std::optional<EndpointUpdate> parse_endpoint_update(const rapidjson::Value& event);

}  // namespace amberknot::discovery
