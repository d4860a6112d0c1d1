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

// The iterative parser does not overflow the stack on deeply nested input. Numbers are parsed, not kept as
// text, because the schemas have numeric ranges.
constexpr unsigned kParseFlags =
    rapidjson::kParseInsituFlag | rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

constexpr const char* kSchemaNames[] = {"set-up-1", "set-up-2", "answer-1", "answer-2", "problem", "versions",
                                        "released", "cut",      "lost",     "load",     "draining"};

}  // namespace

std::string write_body(const std::vector<translate::FieldSpec>& fields, const translate::Record& record) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (!record.has(i)) continue;
    writer.Key(fields[i].name.c_str(), static_cast<rapidjson::SizeType>(fields[i].name.size()));
    if (translate::is_text(fields[i].type)) {
      const auto field_text = record.text(i);
      writer.String(field_text.data(), static_cast<rapidjson::SizeType>(field_text.size()));
    } else {
      writer.Int64(record.number(i));
    }
  }
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

struct BodyReader::Impl {
  std::map<std::string, valijson::Schema, std::less<>> schemas;
  valijson::Validator validator{valijson::Validator::kStrongTypes};
  rapidjson::Document document;
  std::string text;  ///< copy of the body; strings of the document point into it
};

BodyReader::BodyReader() : impl_(std::make_unique<Impl>()) {
  rapidjson::Document definitions;
  definitions.Parse(kSessionSchema);
  if (definitions.HasParseError()) throw std::logic_error("session.schema.json is not valid JSON");
  for (const char* name : kSchemaNames) {
    // Copies the whole document and lets the root of the copy refer to the named definition, so that
    // references between definitions resolve.
    rapidjson::Document schema_document;
    schema_document.CopyFrom(definitions, schema_document.GetAllocator());
    const std::string pointer = std::string("#/definitions/") + name;
    schema_document.AddMember("$ref", rapidjson::Value(pointer.c_str(), schema_document.GetAllocator()),
                              schema_document.GetAllocator());
    valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
    parser.populateSchema(RapidJsonAdapter(schema_document), impl_->schemas[name]);
  }
}

BodyReader::~BodyReader() = default;

bool BodyReader::parse(std::span<char> body, const char* schema_name, std::string& fault) {
  // The parser takes a zero byte for the end of the text and would ignore what follows.
  if (std::find(body.begin(), body.end(), '\0') != body.end()) {
    fault = "the body holds a zero byte";
    return false;
  }
  impl_->text.assign(body.begin(), body.end());
  impl_->document = rapidjson::Document();
  if (!settings::parse_in_place<kParseFlags>(impl_->text, impl_->document)) {
    fault = "the body is not JSON";
    return false;
  }
  valijson::ValidationResults results;
  const RapidJsonAdapter adapter(impl_->document);
  if (impl_->validator.validate(impl_->schemas.find(schema_name)->second, adapter, &results)) return true;
  // valijson reports the error of an enclosing value after those of the values inside, so the last error is
  // one of the outermost value.
  valijson::ValidationResults::Error error;
  fault.clear();
  while (results.popError(error)) {
    fault.clear();
    for (const auto& segment : error.context) fault += segment;
    fault += ": " + error.description;
  }
  return false;
}

bool BodyReader::read_record(const std::vector<translate::FieldSpec>& fields, translate::Record& target,
                             std::string& fault) {
  target.clear();
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const auto found = impl_->document.FindMember(fields[i].name.c_str());
    if (found == impl_->document.MemberEnd()) continue;
    if (found->value.IsString()) {
      if (settings::has_lone_surrogate(settings::string_value(found->value))) {
        fault = fields[i].name + ": is not valid Unicode: it has an unpaired surrogate";
        return false;
      }
      target.set(i, std::string_view(found->value.GetString(), found->value.GetStringLength()));
    } else if (found->value.IsInt64()) {
      target.set(i, found->value.GetInt64());
    } else {
      fault = fields[i].name + ": is neither a string nor a 64-bit integer";
      return false;
    }
  }
  // A field's length limit counts bytes here and characters in the schema; the body has to meet both.
  if (const auto invalid_field = translate::find_invalid_field(fields, target)) {
    fault = fields[*invalid_field].name + ": is missing, or its value is not allowed for this field";
    return false;
  }
  return true;
}

bool BodyReader::read_set_up(std::uint32_t version, std::span<char> body, translate::Record& target,
                             std::string& fault) {
  const auto& dialect = *translate::find_dialect(version == 1 ? "session-1" : "session-2");
  return parse(body, version == 1 ? "set-up-1" : "set-up-2", fault) &&
         read_record(dialect.of(translate::MessageKind::kSetUp), target, fault);
}

bool BodyReader::read_answer(std::uint32_t version, std::span<char> body, translate::Record& target,
                             std::string& fault) {
  const auto& dialect = *translate::find_dialect(version == 1 ? "session-1" : "session-2");
  return parse(body, version == 1 ? "answer-1" : "answer-2", fault) &&
         read_record(dialect.of(translate::MessageKind::kAnswer), target, fault);
}

std::optional<Problem> BodyReader::read_problem(std::span<char> body, std::string& fault) {
  if (!parse(body, "problem", fault)) return std::nullopt;
  Problem problem;
  const auto member_text = [this](const char* name) {
    const auto found = impl_->document.FindMember(name);
    if (found == impl_->document.MemberEnd()) return std::string();
    return std::string(found->value.GetString(), found->value.GetStringLength());
  };
  problem.type = member_text("type");
  problem.field = member_text("field");
  while (!problem.type.empty() && problem.type.back() == '/') problem.type.pop_back();
  if (const auto slash = problem.type.find_last_of("/:#"); slash != std::string::npos) {
    problem.type.erase(0, slash + 1);
  }
  return problem;
}

std::optional<VersionsBody> BodyReader::read_versions(std::span<char> body, std::string& fault) {
  if (!parse(body, "versions", fault)) return std::nullopt;
  VersionsBody result;
  for (const auto& version : impl_->document["versions"].GetArray()) {
    if (version.IsUint()) result.versions.push_back(version.GetUint());
  }
  if (const auto found = impl_->document.FindMember("process"); found != impl_->document.MemberEnd()) {
    result.process = found->value.GetString();
  }
  return result;
}

std::optional<SessionEvent> BodyReader::read_event(std::string_view name, std::span<char> data,
                                                   std::string& fault) {
  using Kind = SessionEvent::Kind;
  SessionEvent event;
  event.kind = name == "released"   ? Kind::kReleased
               : name == "cut"      ? Kind::kAborted
               : name == "load"     ? Kind::kLoad
               : name == "lost"     ? Kind::kEventsLost
               : name == "draining" ? Kind::kDraining
                                    : Kind::kUnknown;
  if (event.kind == Kind::kUnknown) return event;
  if (!parse(data, std::string(name).c_str(), fault)) return std::nullopt;
  const auto& document = impl_->document;
  switch (event.kind) {
    case Kind::kReleased:
      event.cause = document["cause"].GetInt();
      event.id = document["id"].GetString();
      break;
    case Kind::kAborted:
      event.id = document["id"].GetString();
      break;
    case Kind::kEventsLost:
      event.lost_before = document["before"].GetUint64();
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
