// Fuzz target: reads arbitrary text as an operator's table and compiles it for every pair of dialects. Each
// compiled mapping runs on the smallest and the largest message of its source dialect: every message that it
// produces must be valid in the target dialect.
#include <cstdlib>
#include <string>

#include "translate/eligibility.hpp"

using namespace amberknot::translate;

namespace {

/// Fills `record` with the smallest or the largest message that a dialect accepts; `texts` holds its strings.
void fill_message(const std::vector<FieldSpec>& fields, bool largest, std::vector<std::string>& texts,
                  Record& record) {
  texts.assign(fields.size(), {});
  record.clear();
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const auto& field = fields[i];
    if (!field.required && !largest) continue;
    if (field.type == FieldType::kWord) {
      texts[i] = field.allowed_values.front();
    } else if (is_text(field.type)) {
      texts[i].assign(static_cast<std::size_t>(largest ? field.max : field.min), '7');
    }
    if (is_text(field.type)) {
      record.set(i, std::string_view(texts[i]));
    } else {
      const auto unit = field.type == FieldType::kDuration ? field.unit : 1;
      record.set(i, (largest ? field.max : field.min) / unit);
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  MappingTable table;
  if (!parse_operator_table(std::string(reinterpret_cast<const char*>(data), size), table).empty()) return 0;
  if (table.rows.size() > 40) return 0;
  static Record in, out;
  std::vector<std::string> texts;
  const Translator translator({"json-lines", "diameter", "iso8583"},
                              {"sip", "diameter-server", "session-1", "session-2"}, table);
  for (std::size_t client = 0; client < translator.client_dialect_count(); ++client) {
    for (std::size_t server = 0; server < translator.server_dialect_count(); ++server) {
      const auto server_number = static_cast<DialectIndex>(server);
      const auto* mapping = translator.mapping(client, server_number);
      if (mapping == nullptr) continue;
      for (const bool largest : {false, true}) {
        fill_message(translator.client_dialect(client).of(MessageKind::kSetUp), largest, texts, in);
        if (mapping->set_up.translate_record(in, out) &&
            find_invalid_field(translator.server_dialect(server_number).of(MessageKind::kSetUp), out))
          std::abort();
        fill_message(translator.server_dialect(server_number).of(MessageKind::kAnswer), largest, texts, in);
        if (mapping->answer.translate_record(in, out) &&
            find_invalid_field(translator.client_dialect(client).of(MessageKind::kAnswer), out))
          std::abort();
      }
    }
  }
  return 0;
}
