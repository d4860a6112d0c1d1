#include "tool/commands.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

#include "app/kinds.hpp"
#include "app/operator_file.hpp"
#include "translate/eligibility.hpp"

namespace amberknot::tool {
namespace {

using translate::Dialect;
using translate::MessageKind;

const std::vector<std::string> kClientDialects = {"json-lines", "diameter", "iso8583"};
const std::vector<std::string> kServerDialects = {"sip", "diameter-server", "session-1", "session-2"};

std::string describe(const core::ErrorClassification& meaning) {
  std::string text(core::name_of(meaning.reason));
  text += meaning.execution_state == core::ExecutionState::kNotExecuted ? ", not executed"
                                                                        : ", may have been executed";
  text += meaning.scope == core::ErrorScope::kServer    ? ", about the server"
          : meaning.scope == core::ErrorScope::kVersion ? ", about its version"
                                                        : ", about the call";
  return text;
}

std::string code_of(const translate::ErrorSpec& error) {
  std::string text = std::to_string(error.from);
  if (error.to != error.from) {
    text += '-';
    text += std::to_string(error.to);
  }
  if (!error.name.empty()) {
    text += ' ';
    text += error.name;
  }
  return text;
}

}  // namespace

bool check(const std::string& name, const std::string& json, std::ostream& out) {
  try {
    const auto file = app::read_operator_file(json);
    const auto translator = app::make_translator(file);
    out << name << ": valid";
    if (translator)
      out << ", " << translator->client_dialect_count() << " client dialects and "
          << translator->server_dialect_count() << " server dialects";
    out << "\n";
    return true;
  } catch (const app::ConfigError& error) {
    out << name << ": " << error.what() << "\n";
    return false;
  }
}

translate::MappingTable read_translation_table(const std::string& json) {
  return app::read_operator_file(json).translate;
}

bool explain(const std::string& from, const std::string& to, const std::string& kind_name,
             const translate::MappingTable& table,
             const std::vector<std::pair<std::string, std::string>>& field_values, std::ostream& out) {
  const auto* source = translate::find_dialect(from);
  const auto* target = translate::find_dialect(to);
  const auto kind = translate::kind_of(kind_name);
  if (source == nullptr || target == nullptr || !kind) {
    out << "unknown "
        << (source == nullptr   ? "dialect: " + from
            : target == nullptr ? "dialect: " + to
                                : "kind: " + kind_name)
        << "\n";
    return false;
  }
  std::vector<std::string> faults;
  const auto program = translate::compile(*source, *target, *kind, table, faults);
  for (const auto& fault : faults) out << fault << "\n";
  if (!program) return false;
  const auto& fields = source->of(*kind);
  translate::Record in, translated;
  for (const auto& [name, value] : field_values) {
    const auto index = translate::index_of(fields, name);
    if (index == fields.size()) {
      out << from << " has no field " << name << "\n";
      return false;
    }
    if (translate::is_text(fields[index].type)) {
      in.set(index, std::string_view(value));
      continue;
    }
    std::int64_t number = 0;
    const auto [end, parse_error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (parse_error != std::errc{} || end != value.data() + value.size()) {
      out << name << " is not a number: " << value << "\n";
      return false;
    }
    in.set(index, number);
  }
  if (const auto invalid = translate::find_invalid_field(fields, in)) {
    out << fields[*invalid].name << (in.has(*invalid) ? " has an invalid value" : " is missing")
        << ": expected a " << name_of(fields[*invalid].type) << " from " << fields[*invalid].min << " to "
        << fields[*invalid].max << "\n";
    return false;
  }
  const auto result = program->translate_record(in, translated);
  const auto& to_fields = program->to_fields();
  if (!result) {
    out << "not eligible for " << to << ": " << to_fields[result.field].name << ": "
        << translate::describe(result.failure) << "\n";
  }
  for (const auto& note : program->notes()) {
    if (note.lost) {
      const auto index = translate::index_of(fields, note.field);
      if (in.has(index)) out << note.field << ": " << note.text << "\n";
      continue;
    }
    const auto index = translate::index_of(to_fields, note.field);
    out << note.field;
    if (index < to_fields.size() && result && translated.has(index)) {
      out << " = "
          << (translate::is_text(to_fields[index].type) ? std::string(translated.text(index))
                                                        : std::to_string(translated.number(index)));
    }
    out << ": " << note.text << "\n";
  }
  return static_cast<bool>(result);
}

bool matrix(const translate::MappingTable& table, std::ostream& out) {
  const translate::Translator translator(kClientDialects, kServerDialects, table);
  bool all_mapped = true;
  out << "translation of set-ups (and the fields that are lost):\n";
  for (std::size_t client = 0; client < translator.client_dialect_count(); ++client) {
    for (std::size_t i = 0; i < translator.server_dialect_count(); ++i) {
      const auto version = static_cast<ProtocolVersion>(i);
      const auto* mapping = translator.mapping(client, version);
      out << "  " << translator.client_dialect(client).name << " to "
          << translator.server_dialect(version).name << ": ";
      if (mapping == nullptr) {
        all_mapped = false;
        out << "refused\n";
        continue;
      }
      std::string lost;
      for (const auto& note : mapping->set_up.notes()) {
        if (note.lost) lost += (lost.empty() ? "" : ", ") + note.field;
      }
      out << (lost.empty() ? "nothing is lost" : "loses " + lost) << "\n";
    }
  }
  for (const auto& fault : translator.mapping_errors()) out << "  fault: " << fault << "\n";
  out << "errors (and the code that each client receives):\n";
  for (std::size_t i = 0; i < translator.server_dialect_count(); ++i) {
    const auto& server = translator.server_dialect(static_cast<ProtocolVersion>(i));
    for (const auto& error : server.errors) {
      out << "  " << server.name << " " << code_of(error) << ": " << describe(error.meaning) << ":";
      for (std::size_t client = 0; client < translator.client_dialect_count(); ++client) {
        const auto& dialect = translator.client_dialect(client);
        const auto& reason_code = translate::code_for_reason(dialect, error.meaning.reason);
        out << (client == 0 ? " " : ", ") << dialect.name << " " << reason_code.code;
      }
      out << (core::info_of(error.meaning.reason).final_answer == core::FinalAnswerKind::kRejected
                  ? " (refused)"
                  : " (failed)")
          << "\n";
    }
  }
  return all_mapped;
}

}  // namespace amberknot::tool
