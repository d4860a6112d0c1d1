#include "http2/body.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <map>
#include <stdexcept>
#include <valijson/adapters/rapidjson_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "http2/schema_text.hpp"
#include "settings/json_text.hpp"

namespace amberknot::http2 {
namespace {

using valijson::adapters::RapidJsonAdapter;

// In place, no deep recursion on hostile nesting, numbers read: the schemas have ranges of numbers.
constexpr unsigned kFlags =
    rapidjson::kParseInsituFlag | rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

constexpr const char* kSchemas[] = {"set-up-1", "set-up-2", "answer-1", "answer-2", "problem", "versions",
                                    "released", "cut",      "lost",     "load",     "draining"};

}  // namespace

std::string write_body(const std::vector<translate::FieldSpec>& fields, const translate::Record& record) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (!record.has(i)) continue;
    writer.Key(fields[i].name.c_str(), static_cast<rapidjson::SizeType>(fields[i].name.size()));
    if (translate::is_textual(fields[i].type)) {
      const auto text = record.text(i);
      writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    } else {
      writer.Int64(record.number(i));
    }
  }
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

struct BodyReader::Parts {
  std::map<std::string, valijson::Schema, std::less<>> schemas;
  valijson::Validator validator{valijson::Validator::kStrongTypes};
  rapidjson::Document document;
  std::string text;  ///< the body; the document refers to it
};

BodyReader::BodyReader() : parts_(std::make_unique<Parts>()) {
  rapidjson::Document all;
  all.Parse(kSessionSchema);
  if (all.HasParseError()) throw std::logic_error("session.schema.json cannot be read");
  for (const char* name : kSchemas) {
    // The definitions with one of them on top, so that references resolve.
    rapidjson::Document one;
    one.CopyFrom(all, one.GetAllocator());
    const std::string pointer = std::string("#/definitions/") + name;
    one.AddMember("$ref", rapidjson::Value(pointer.c_str(), one.GetAllocator()), one.GetAllocator());
    valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
    parser.populateSchema(RapidJsonAdapter(one), parts_->schemas[name]);
  }
}

BodyReader::~BodyReader() = default;

bool BodyReader::parse(std::span<char> body, const char* schema, std::string& fault) {
  // A zero byte would end the text early and hide what follows.
  if (std::find(body.begin(), body.end(), '\0') != body.end()) {
    fault = "holds a zero byte";
    return false;
  }
  parts_->text.assign(body.begin(), body.end());
  parts_->document = rapidjson::Document();
  if (!settings::parse_in_place<kFlags>(parts_->text, parts_->document)) {
    fault = "is not JSON";
    return false;
  }
  valijson::ValidationResults results;
  const RapidJsonAdapter adapter(parts_->document);
  if (parts_->validator.validate(parts_->schemas.find(schema)->second, adapter, &results)) return true;
  // The last error is the innermost.
  valijson::ValidationResults::Error error;
  fault.clear();
  while (results.popError(error)) {
    fault.clear();
    for (const auto& part : error.context) fault += part;
    fault += ": " + error.description;
  }
  return false;
}

bool BodyReader::record(const std::vector<translate::FieldSpec>& fields, translate::Record& to,
                        std::string& fault) {
  to.clear();
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const auto found = parts_->document.FindMember(fields[i].name.c_str());
    if (found == parts_->document.MemberEnd()) continue;
    if (found->value.IsString()) {
      if (settings::has_lone_surrogate(settings::text_of(found->value))) {
        fault = fields[i].name + ": is no text";
        return false;
      }
      to.set(i, std::string_view(found->value.GetString(), found->value.GetStringLength()));
    } else if (found->value.IsInt64()) {
      to.set(i, found->value.GetInt64());
    } else {
      fault = fields[i].name + ": is of no type that is known";
      return false;
    }
  }
  // Lengths are of bytes here and of characters in the schema: both have to hold.
  if (const auto bad = translate::fault_in(fields, to)) {
    fault = fields[*bad].name + ": is not as it may be";
    return false;
  }
  return true;
}

bool BodyReader::read_set_up(std::uint32_t version, std::span<char> body, translate::Record& to,
                             std::string& fault) {
  const auto& dialect = *translate::find_dialect(version == 1 ? "session-1" : "session-2");
  return parse(body, version == 1 ? "set-up-1" : "set-up-2", fault) &&
         record(dialect.of(translate::Kind::kSetUp), to, fault);
}

bool BodyReader::read_answer(std::uint32_t version, std::span<char> body, translate::Record& to,
                             std::string& fault) {
  const auto& dialect = *translate::find_dialect(version == 1 ? "session-1" : "session-2");
  return parse(body, version == 1 ? "answer-1" : "answer-2", fault) &&
         record(dialect.of(translate::Kind::kAnswer), to, fault);
}

std::optional<Problem> BodyReader::read_problem(std::span<char> body, std::string& fault) {
  if (!parse(body, "problem", fault)) return std::nullopt;
  Problem problem;
  const auto text = [this](const char* name) {
    const auto found = parts_->document.FindMember(name);
    if (found == parts_->document.MemberEnd()) return std::string();
    return std::string(found->value.GetString(), found->value.GetStringLength());
  };
  problem.type = text("type");
  problem.field = text("field");
  while (!problem.type.empty() && problem.type.back() == '/') problem.type.pop_back();
  if (const auto slash = problem.type.find_last_of("/:#"); slash != std::string::npos) {
    problem.type.erase(0, slash + 1);
  }
  return problem;
}

std::optional<VersionsBody> BodyReader::read_versions(std::span<char> body, std::string& fault) {
  if (!parse(body, "versions", fault)) return std::nullopt;
  VersionsBody read;
  for (const auto& one : parts_->document["versions"].GetArray()) {
    if (one.IsUint()) read.versions.push_back(one.GetUint());
  }
  if (const auto found = parts_->document.FindMember("process"); found != parts_->document.MemberEnd()) {
    read.process = found->value.GetString();
  }
  return read;
}

std::optional<SessionEvent> BodyReader::read_event(std::string_view name, std::span<char> data,
                                                   std::string& fault) {
  using Kind = SessionEvent::Kind;
  SessionEvent event;
  event.kind = name == "released"   ? Kind::kReleased
               : name == "cut"      ? Kind::kAborted
               : name == "load"     ? Kind::kLoad
               : name == "lost"     ? Kind::kLost
               : name == "draining" ? Kind::kDraining
                                    : Kind::kUnknown;
  if (event.kind == Kind::kUnknown) return event;
  if (!parse(data, std::string(name).c_str(), fault)) return std::nullopt;
  const auto& document = parts_->document;
  switch (event.kind) {
    case Kind::kReleased:
      event.cause = document["cause"].GetInt();
      event.id = document["id"].GetString();
      break;
    case Kind::kAborted:
      event.id = document["id"].GetString();
      break;
    case Kind::kLost:
      event.before = document["before"].GetUint64();
      break;
    case Kind::kLoad:
      for (const auto& item : document.GetObject()) {
        event.load.emplace_back(item.name.GetString(), item.value.GetDouble());
      }
      break;
    case Kind::kDraining:
    case Kind::kUnknown:
      break;
  }
  return event;
}

}  // namespace amberknot::http2
