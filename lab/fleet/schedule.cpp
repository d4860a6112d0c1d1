#include "lab/fleet/schedule.hpp"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <valijson/adapters/rapidjson_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "fleet_schema.hpp"
#include "lab/fleet/random.hpp"

namespace amberknot::lab::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using valijson::adapters::RapidJsonAdapter;

constexpr std::array<std::string_view, 9> kLinkFaultNames = {
    "drop", "delay", "duplicate", "reorder", "reset", "finish", "half-open", "stall", "partition"};
constexpr std::array<std::string_view, 12> kNodeFaultNames = {"crash",        "freeze", "stop",   "replace",
                                                              "drain",        "vanish", "reload", "mute",
                                                              "channel-down", "crowd",  "die",    "standby"};

template <typename Kind, std::size_t N>
Kind kind_from_name(const std::array<std::string_view, N>& names, std::string_view name) {
  // The schema guarantees that the name is in the list.
  return static_cast<Kind>(std::find(names.begin(), names.end(), name) - names.begin());
}

void validate(const rapidjson::Document& document) {
  rapidjson::Document schema_document;
  schema_document.Parse(kScheduleSchema);
  if (schema_document.HasParseError())
    throw std::logic_error("schema fleet-schedule.schema.json is not valid JSON");
  valijson::Schema schema;
  valijson::SchemaParser(valijson::SchemaParser::kDraft7)
      .populateSchema(RapidJsonAdapter(schema_document), schema);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (validator.validate(schema, RapidJsonAdapter(document), &results)) return;
  valijson::ValidationResults::Error error;
  std::string fault;
  std::size_t depth = 0;
  while (results.popError(error)) {  // the innermost error names the field
    if (error.context.size() < depth) continue;
    depth = error.context.size();
    fault.clear();
    for (const auto& part : error.context) fault += part;
    fault += ": " + error.description;
  }
  throw ScheduleError("schedule: " + fault);
}

std::vector<std::string> string_list(const rapidjson::Value& list) {
  std::vector<std::string> names;
  for (const auto& item : list.GetArray()) names.emplace_back(item.GetString());
  return names;
}

Duration duration_member(const rapidjson::Value& object, const char* field) {
  const auto found = object.FindMember(field);
  return found == object.MemberEnd() ? Duration{} : Duration{milliseconds{found->value.GetInt64()}};
}

LinkFault parse_link_fault(const rapidjson::Value& item, std::size_t number) {
  LinkFault fault;
  fault.kind = kind_from_name<LinkFaultKind>(kLinkFaultNames, item["fault"].GetString());
  fault.from = string_list(item["from"]);
  fault.to = string_list(item["to"]);
  if (item.HasMember("both_ways")) fault.both_ways = item["both_ways"].GetBool();
  fault.at = duration_member(item, "at_ms");
  fault.until = duration_member(item, "until_ms");
  if (fault.until <= fault.at) {
    throw ScheduleError("schedule: links[" + std::to_string(number) +
                        "].until_ms must be greater than at_ms");
  }
  if (item.HasMember("share")) fault.share = item["share"].GetDouble();
  fault.fixed = duration_member(item, "fixed_ms");
  fault.jitter = duration_member(item, "jitter_ms");
  return fault;
}

NodeFault parse_node_fault(const rapidjson::Value& item) {
  NodeFault fault;
  fault.kind = kind_from_name<NodeFaultKind>(kNodeFaultNames, item["do"].GetString());
  fault.nodes = string_list(item["nodes"]);
  fault.at = duration_member(item, "at_ms");
  if (item.HasMember("back_after_ms")) fault.back_after = duration_member(item, "back_after_ms");
  if (item.HasMember("listed_after_ms")) fault.listed_after = duration_member(item, "listed_after_ms");
  return fault;
}

class JsonWriter {
 public:
  JsonWriter() : json_(buffer_) {}
  void write_names(const char* key, const std::vector<std::string>& list) {
    json_.Key(key);
    json_.StartArray();
    for (const auto& name : list) json_.String(name.c_str());
    json_.EndArray();
  }
  void write_ms(const char* key, Duration value) {
    json_.Key(key);
    json_.Int64(std::chrono::duration_cast<milliseconds>(value).count());
  }
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> json_;
};

}  // namespace

std::string_view name_of(LinkFaultKind kind) {
  return kLinkFaultNames[static_cast<std::size_t>(kind)];
}
std::string_view name_of(NodeFaultKind kind) {
  return kNodeFaultNames[static_cast<std::size_t>(kind)];
}

bool covers(const std::vector<std::string>& patterns, std::string_view node) {
  return std::any_of(patterns.begin(), patterns.end(), [node](std::string_view pattern) {
    return pattern.ends_with('*') ? node.starts_with(pattern.substr(0, pattern.size() - 1)) : node == pattern;
  });
}

bool covers(const LinkFault& fault, std::string_view from, std::string_view to) {
  const auto matches = [&fault](std::string_view a, std::string_view b) {
    return covers(fault.from, a) && covers(fault.to, b);
  };
  return matches(from, to) || (fault.both_ways && matches(to, from));
}

Schedule parse_schedule(std::string_view json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseFullPrecisionFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    throw ScheduleError("schedule: invalid JSON at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                        rapidjson::GetParseError_En(document.GetParseError()));
  }
  validate(document);
  Schedule schedule;
  schedule.seed = document["seed"].GetUint64();
  schedule.length = duration_member(document, "length_ms");
  if (document.HasMember("links")) {
    for (const auto& item : document["links"].GetArray()) {
      schedule.links.push_back(parse_link_fault(item, schedule.links.size()));
    }
  }
  if (document.HasMember("nodes")) {
    for (const auto& item : document["nodes"].GetArray()) schedule.nodes.push_back(parse_node_fault(item));
  }
  return schedule;
}

std::string to_json(const Schedule& schedule) {
  JsonWriter writer;
  auto& json = writer.json_;
  json.StartObject();
  json.Key("version");
  json.Int(1);
  json.Key("seed");
  json.Uint64(schedule.seed);
  writer.write_ms("length_ms", schedule.length);
  json.Key("links");
  json.StartArray();
  for (const auto& fault : schedule.links) {
    json.StartObject();
    json.Key("fault");
    json.String(name_of(fault.kind).data());
    writer.write_names("from", fault.from);
    writer.write_names("to", fault.to);
    json.Key("both_ways");
    json.Bool(fault.both_ways);
    writer.write_ms("at_ms", fault.at);
    writer.write_ms("until_ms", fault.until);
    json.Key("share");
    json.Double(fault.share);
    writer.write_ms("fixed_ms", fault.fixed);
    writer.write_ms("jitter_ms", fault.jitter);
    json.EndObject();
  }
  json.EndArray();
  json.Key("nodes");
  json.StartArray();
  for (const auto& fault : schedule.nodes) {
    json.StartObject();
    json.Key("do");
    json.String(name_of(fault.kind).data());
    writer.write_names("nodes", fault.nodes);
    writer.write_ms("at_ms", fault.at);
    if (fault.back_after) writer.write_ms("back_after_ms", *fault.back_after);
    if (fault.listed_after) writer.write_ms("listed_after_ms", *fault.listed_after);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return {writer.buffer_.GetString(), writer.buffer_.GetSize()};
}

Schedule generate_schedule(std::uint64_t seed, std::size_t routers, std::size_t servers, Duration length) {
  Random random(seed, "schedule");
  const auto length_ms = std::chrono::duration_cast<milliseconds>(length).count();
  // Faults begin between one eighth and one half of the run, and end by three quarters of it.
  const auto start_time = [&] {
    return milliseconds{length_ms / 8 + static_cast<std::int64_t>(
                                            random.below(static_cast<std::uint64_t>(length_ms) * 3 / 8 + 1))};
  };
  const auto duration = [&] {
    return milliseconds{200 +
                        static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(length_ms) / 4))};
  };
  // In a large fleet the faults of one router would have no visible effect, so they apply to all routers
  // whose names have a common prefix.
  const auto random_router = [&] {
    return routers > 20 ? "n" + std::to_string(1 + random.below(9)) + "*"
                        : "n" + std::to_string(random.below(routers));
  };
  const auto random_server = [&] { return "s" + std::to_string(random.below(servers)); };
  Schedule schedule{seed, length, {}, {}};
  for (std::size_t kind = 0; kind < kLinkFaultNames.size(); ++kind) {
    LinkFault fault;
    fault.kind = static_cast<LinkFaultKind>(kind);
    fault.from = {random_router()};
    fault.to = {random_server()};
    fault.at = start_time();
    fault.until = std::min<Duration>(fault.at + duration(), length * 3 / 4);
    fault.both_ways = random.chance(0.5);
    fault.share = 0.1 + 0.3 * random.uniform();
    fault.fixed = milliseconds{5 + static_cast<std::int64_t>(random.below(40))};
    fault.jitter = milliseconds{static_cast<std::int64_t>(random.below(20))};
    schedule.links.push_back(std::move(fault));
  }
  // Datagrams between routers are lost during the whole period of faults.
  schedule.links.push_back(
      {LinkFaultKind::kDrop, {"n*"}, {"n*"}, false, length / 8, length * 3 / 4, 0.3, {}, {}});
  schedule.nodes.push_back({NodeFaultKind::kCrash, {random_router()}, start_time(), milliseconds{300}});
  schedule.nodes.push_back({NodeFaultKind::kFreeze, {random_router()}, start_time(), milliseconds{400}});
  schedule.nodes.push_back({NodeFaultKind::kDrain, {random_server()}, start_time(), milliseconds{1500}});
  return schedule;
}

}  // namespace amberknot::lab::fleet
