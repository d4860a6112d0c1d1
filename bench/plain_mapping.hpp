// A direct interpreter of mapping tables, with maps of strings as input and output and every field looked up
// by name. It is the reference model of the property tests and the baseline of the translation benchmark.
#pragma once

#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "translate/mapping.hpp"

namespace amberknot::reference {

/// The fields of a message as text, by name.
using Fields = std::map<std::string, std::string>;

/// Translates messages of one kind from one dialect to another without compiling the table.
class Interpreter {
 public:
  Interpreter(const translate::Dialect& from, const translate::Dialect& to, translate::MessageKind kind,
              const translate::MappingTable& operators)
      : from_(from), to_(to), kind_(kind) {
    // The row of each field is found once: searching the tables for each message would make the comparison
    // unfair.
    for (const auto& field : to.of(kind)) {
      const translate::MappingRow* best_row = nullptr;
      int best_rank = -1;
      for (const auto* table : {&operators, &translate::builtin_table()}) {
        for (const auto& row : table->rows) {
          if (row.kind != kind || row.target_field.empty()) continue;
          if ((row.from != "*" && row.from != from.name) || (row.to != "*" && row.to != to.name)) continue;
          if (resolve_field_name(to, row.target_field) != field.name) continue;
          const int rank =
              (table == &operators ? 10 : 0) + (row.from != "*" ? 1 : 0) + (row.to != "*" ? 1 : 0);
          if (rank > best_rank) {
            best_row = &row;
            best_rank = rank;
          }
        }
      }
      rows_.push_back({&field, best_row});
    }
  }

  /// Translates `in`. Returns nothing if the message is not eligible, with the name of the field in
  /// `failed_field`.
  std::optional<Fields> translate_fields(const Fields& in, std::string& failed_field) const {
    Fields out;
    for (const auto& [field, row] : rows_) {
      const auto value = evaluate(*field, row, in);
      if (value && is_valid(*field, *value)) {
        out[field->name] = *value;
        continue;
      }
      if (row != nullptr && row->fallback) {
        if (const auto* constant = std::get_if<translate::Constant>(&*row->fallback)) {
          out[field->name] = constant->value;
          continue;
        }
        if (std::holds_alternative<translate::LeaveOut>(*row->fallback)) continue;
      }
      if (!value && !field->required) continue;
      failed_field = field->name;
      return std::nullopt;
    }
    return out;
  }

  /// True if the field may have this value.
  static bool is_valid(const translate::FieldSpec& field, const std::string& value) {
    if (translate::is_text(field.type)) return translate::is_valid_value(field, std::string_view(value));
    std::int64_t number = 0;
    const auto [end, bad] = std::from_chars(value.data(), value.data() + value.size(), number);
    return bad == std::errc{} && end == value.data() + value.size() &&
           translate::is_valid_value(field, number);
  }

 private:
  /// Resolves a name of a table, which is a field name or `@` and a meaning. Empty if the dialect has no such
  /// field.
  std::string resolve_field_name(const translate::Dialect& dialect, const std::string& name) const {
    if (name.empty() || name[0] != '@') return name;
    for (const auto& field : dialect.of(kind_)) {
      if (field.meaning != translate::Meaning::kNone && translate::name_of(field.meaning) == name.substr(1)) {
        return field.name;
      }
    }
    return {};
  }

  const translate::FieldSpec* find_source_field(const std::string& name) const {
    for (const auto& field : from_.of(kind_)) {
      if (field.name == name) return &field;
    }
    return nullptr;
  }

  /// The value of field `to` before its check. Nothing if its source field is absent.
  std::optional<std::string> evaluate(const translate::FieldSpec& to, const translate::MappingRow* row,
                                      const Fields& in) const {
    using translate::FieldType;
    std::string name;
    if (row == nullptr) {
      for (const auto& field : from_.of(kind_)) {
        if (to.meaning != translate::Meaning::kNone && field.meaning == to.meaning) name = field.name;
      }
    } else if (const auto* copy = std::get_if<translate::Copy>(&*row->source)) {
      name = resolve_field_name(from_, copy->source_field);
    } else if (const auto* constant = std::get_if<translate::Constant>(&*row->source)) {
      return constant->value;
    } else if (const auto* derived = std::get_if<translate::Derived>(&*row->source)) {
      const auto found = in.find(resolve_field_name(from_, derived->source_field));
      if (found == in.end()) return std::nullopt;
      char derived_value[translate::kMaxDerivedBytes];
      std::size_t size = 0;
      if (!translate::find_rule(derived->rule)->derive(found->second, to, derived_value, size))
        return std::string("\x01 none");
      return std::string(derived_value, size);
    } else {
      const auto& lookup = std::get<translate::Lookup>(*row->source);
      const auto found = in.find(resolve_field_name(from_, lookup.key_field));
      if (found == in.end()) return std::nullopt;
      const auto value = lookup.values.find(found->second);
      return value != lookup.values.end() ? value->second : std::string("\x01 none");
    }
    const auto found = in.find(name);
    if (found == in.end()) return std::nullopt;
    const auto* from = find_source_field(name);
    if (from->type == FieldType::kDuration && to.type == FieldType::kDuration) {
      std::int64_t number = 0;
      std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
      return std::to_string(number * from->unit / to.unit);
    }
    if (from->type == FieldType::kDigits && to.type == FieldType::kNumber) {
      std::int64_t number = 0;
      const auto [end, bad] =
          std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
      return bad == std::errc{} ? std::to_string(number) : std::string("none");
    }
    return found->second;
  }

  const translate::Dialect& from_;
  const translate::Dialect& to_;
  translate::MessageKind kind_;
  std::vector<std::pair<const translate::FieldSpec*, const translate::MappingRow*>> rows_;
};

}  // namespace amberknot::reference
