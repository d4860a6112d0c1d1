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

constexpr std::array<std::string_view, 9> kLinkNames = {
    "drop", "delay", "duplicate", "reorder", "reset", "finish", "half-open", "stall", "partition"};
constexpr std::array<std::string_view, 5> kNodeNames = {"crash", "freeze", "stop", "replace", "drain"};

template <typename Kind, std::size_t N>
Kind kind_of(const std::array<std::string_view, N>& names, std::string_view name) {
  // The schema has checked that it is one of them.
  return static_cast<Kind>(std::find(names.begin(), names.end(), name) - names.begin());
}

void check(const rapidjson::Document& document) {
  rapidjson::Document schema_text;
  schema_text.Parse(kScheduleSchema);
  if (schema_text.HasParseError()) throw std::logic_error("fleet-schedule.schema.json cannot be read");
  valijson::Schema schema;
  valijson::SchemaParser(valijson::SchemaParser::kDraft7)
      .populateSchema(RapidJsonAdapter(schema_text), schema);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  if (validator.validate(schema, RapidJsonAdapter(document), &results)) return;
  valijson::ValidationResults::Error error;
  std::string fault;
  std::size_t depth = 0;
  while (results.popError(error)) {  // the innermost names the field
    if (error.context.size() < depth) continue;
    depth = error.context.size();
    fault.clear();
    for (const auto& part : error.context) fault += part;
    fault += ": " + error.description;
  }
  throw ScheduleError("schedule: " + fault);
}

std::vector<std::string> names_in(const rapidjson::Value& list) {
  std::vector<std::string> names;
  for (const auto& item : list.GetArray()) names.emplace_back(item.GetString());
  return names;
}

Duration ms(const rapidjson::Value& object, const char* field) {
  const auto found = object.FindMember(field);
  return found == object.MemberEnd() ? Duration{} : Duration{milliseconds{found->value.GetInt64()}};
}

LinkFault read_link(const rapidjson::Value& item, std::size_t number) {
  LinkFault fault;
  fault.kind = kind_of<LinkFaultKind>(kLinkNames, item["fault"].GetString());
  fault.from = names_in(item["from"]);
  fault.to = names_in(item["to"]);
  if (item.HasMember("both_ways")) fault.both_ways = item["both_ways"].GetBool();
  fault.at = ms(item, "at_ms");
  fault.until = ms(item, "until_ms");
  if (fault.until <= fault.at) {
    throw ScheduleError("schedule: links[" + std::to_string(number) + "].until_ms is not after at_ms");
  }
  if (item.HasMember("share")) fault.share = item["share"].GetDouble();
  fault.fixed = ms(item, "fixed_ms");
  fault.jitter = ms(item, "jitter_ms");
  return fault;
}

NodeFault read_node(const rapidjson::Value& item) {
  NodeFault fault;
  fault.kind = kind_of<NodeFaultKind>(kNodeNames, item["do"].GetString());
  fault.nodes = names_in(item["nodes"]);
  fault.at = ms(item, "at_ms");
  if (item.HasMember("back_after_ms")) fault.back_after = ms(item, "back_after_ms");
  return fault;
}

class Writer {
 public:
  Writer() : to_(buffer_) {}
  void names(const char* key, const std::vector<std::string>& list) {
    to_.Key(key);
    to_.StartArray();
    for (const auto& one : list) to_.String(one.c_str());
    to_.EndArray();
  }
  void ms(const char* key, Duration value) {
    to_.Key(key);
    to_.Int64(std::chrono::duration_cast<milliseconds>(value).count());
  }
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> to_;
};

}  // namespace

std::string_view name_of(LinkFaultKind kind) {
  return kLinkNames[static_cast<std::size_t>(kind)];
}
std::string_view name_of(NodeFaultKind kind) {
  return kNodeNames[static_cast<std::size_t>(kind)];
}

bool covers(const std::vector<std::string>& patterns, std::string_view node) {
  return std::any_of(patterns.begin(), patterns.end(), [node](std::string_view one) {
    return one.ends_with('*') ? node.starts_with(one.substr(0, one.size() - 1)) : node == one;
  });
}

bool covers(const LinkFault& fault, std::string_view from, std::string_view to) {
  const auto goes = [&fault](std::string_view a, std::string_view b) {
    return covers(fault.from, a) && covers(fault.to, b);
  };
  return goes(from, to) || (fault.both_ways && goes(to, from));
}

Schedule read_schedule(std::string_view json) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseFullPrecisionFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    throw ScheduleError("schedule: at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                        rapidjson::GetParseError_En(document.GetParseError()));
  }
  check(document);
  Schedule schedule;
  schedule.seed = document["seed"].GetUint64();
  schedule.length = ms(document, "length_ms");
  if (document.HasMember("links")) {
    for (const auto& item : document["links"].GetArray()) {
      schedule.links.push_back(read_link(item, schedule.links.size()));
    }
  }
  if (document.HasMember("nodes")) {
    for (const auto& item : document["nodes"].GetArray()) schedule.nodes.push_back(read_node(item));
  }
  return schedule;
}

std::string text_of(const Schedule& schedule) {
  Writer all;
  auto& to = all.to_;
  to.StartObject();
  to.Key("version");
  to.Int(1);
  to.Key("seed");
  to.Uint64(schedule.seed);
  all.ms("length_ms", schedule.length);
  to.Key("links");
  to.StartArray();
  for (const auto& fault : schedule.links) {
    to.StartObject();
    to.Key("fault");
    to.String(name_of(fault.kind).data());
    all.names("from", fault.from);
    all.names("to", fault.to);
    to.Key("both_ways");
    to.Bool(fault.both_ways);
    all.ms("at_ms", fault.at);
    all.ms("until_ms", fault.until);
    to.Key("share");
    to.Double(fault.share);
    all.ms("fixed_ms", fault.fixed);
    all.ms("jitter_ms", fault.jitter);
    to.EndObject();
  }
  to.EndArray();
  to.Key("nodes");
  to.StartArray();
  for (const auto& fault : schedule.nodes) {
    to.StartObject();
    to.Key("do");
    to.String(name_of(fault.kind).data());
    all.names("nodes", fault.nodes);
    all.ms("at_ms", fault.at);
    if (fault.back_after) all.ms("back_after_ms", *fault.back_after);
    to.EndObject();
  }
  to.EndArray();
  to.EndObject();
  return {all.buffer_.GetString(), all.buffer_.GetSize()};
}

Schedule draw_schedule(std::uint64_t seed, std::size_t routers, std::size_t servers, Duration length) {
  Random random(seed, "schedule");
  const auto in_ms = std::chrono::duration_cast<milliseconds>(length).count();
  // Faults begin in the second eighth at the earliest, and are over by three quarters.
  const auto moment = [&] {
    return milliseconds{
        in_ms / 8 + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(in_ms) * 3 / 8 + 1))};
  };
  const auto span = [&] {
    return milliseconds{200 + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(in_ms) / 4))};
  };
  // In a large fleet one router's troubles would not show: all whose names begin alike share them.
  const auto router = [&] {
    return routers > 20 ? "n" + std::to_string(1 + random.below(9)) + "*"
                        : "n" + std::to_string(random.below(routers));
  };
  const auto server = [&] { return "s" + std::to_string(random.below(servers)); };
  Schedule schedule{seed, length, {}, {}};
  for (std::size_t kind = 0; kind < kLinkNames.size(); ++kind) {
    LinkFault fault;
    fault.kind = static_cast<LinkFaultKind>(kind);
    fault.from = {router()};
    fault.to = {server()};
    fault.at = moment();
    fault.until = std::min<Duration>(fault.at + span(), length * 3 / 4);
    fault.both_ways = random.chance(0.5);
    fault.share = 0.1 + 0.3 * random.share();
    fault.fixed = milliseconds{5 + static_cast<std::int64_t>(random.below(40))};
    fault.jitter = milliseconds{static_cast<std::int64_t>(random.below(20))};
    schedule.links.push_back(std::move(fault));
  }
  // Siblings lose datagrams all along.
  schedule.links.push_back(
      {LinkFaultKind::kDrop, {"n*"}, {"n*"}, false, length / 8, length * 3 / 4, 0.3, {}, {}});
  schedule.nodes.push_back({NodeFaultKind::kCrash, {router()}, moment(), milliseconds{300}});
  schedule.nodes.push_back({NodeFaultKind::kFreeze, {router()}, moment(), milliseconds{400}});
  schedule.nodes.push_back({NodeFaultKind::kDrain, {server()}, moment(), milliseconds{1500}});
  return schedule;
}

}  // namespace amberknot::lab::fleet
