// The rows that define how messages are translated between dialects: the built-in ones and those in an
// operator's file.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings/json_text.hpp"
#include "translate/canonical.hpp"
#include "translate/dialect.hpp"

namespace amberknot::translate {

/// Name of a field of a dialect, or its meaning with a leading `@`, such as `@tenant`.
using FieldName = std::string;

/// The value of another field, converted to the target's type and unit where needed.
struct Copy {
  FieldName source_field;
};
/// A fixed value.
struct Constant {
  std::string value;
};
/// The result of a named rule, see rules() below, applied to a field.
struct Derived {
  std::string rule;
  FieldName source_field;
};
/// A value chosen by the value of another field, such as a region for each tenant.
struct Lookup {
  FieldName key_field;
  std::map<std::string, std::string, std::less<>> values;
};
/// Where the value of a target field comes from.
using Source = std::variant<Copy, Constant, Derived, Lookup>;

/// The message is not eligible for the target dialect.
struct NotEligible {};
/// The field is left out, which counts as a declared loss. Only for optional fields.
struct LeaveOut {};
/// What happens if the source field is missing or its value is not valid for the target field.
using Otherwise = std::variant<NotEligible, LeaveOut, Constant>;

/// Defines the source of a target field, or declares that a source field is lost. `from` and `to` name
/// dialects, or are `*` for any. If several rows match, rows of the operator take
/// precedence over built-in ones, then rows that name more dialects. Two rows with the same precedence are a
/// fault.
struct MappingRow {
  std::string from = "*";
  std::string to = "*";
  MessageKind kind = MessageKind::kSetUp;
  FieldName target_field;        ///< field of `to`; empty if the row declares a loss
  std::optional<Source> source;  ///< source of `target_field`
  std::optional<Otherwise> fallback = {};
  FieldName lost_field = {};     ///< field of `from` that has no counterpart in `to`
  std::string loss_reason = {};  ///< reason for the loss, shown to operators
};

/// An operator's addition to the errors of a server dialect, or replacement of a built-in one.
struct ErrorRow {
  std::string dialect;
  ErrorSpec error;
};

/// The rows and errors of one operator's file, or the built-in ones.
struct MappingTable {
  std::vector<MappingRow> rows;
  std::vector<ErrorRow> errors;
};

/// The built-in rows.
const MappingTable& builtin_table();

/// Reads an operator's table, the object `translate` in the operator's file (docs/operate-translation.md).
/// Returns the faults, each with the path of its field. If there are none, `to` holds the table, otherwise it
/// is unchanged.
std::vector<std::string> parse_operator_table(std::string json, MappingTable& to);
std::vector<std::string> parse_operator_table(const rapidjson::Value& value, MappingTable& to);

/// Maximum number of bytes that a rule may produce.
inline constexpr std::size_t kMaxDerivedBytes = 64;
/// Derives a text for the field `target` from the text `in`. Writes at most kMaxDerivedBytes bytes to `out`
/// and their number to `size`. Returns false if no text can be derived.
using RuleFunction = bool (*)(std::string_view in, const FieldSpec& target, char* out, std::size_t& size);
/// A named rule for derived fields.
struct Rule {
  std::string_view name;
  std::string_view description;  ///< what the rule produces, for operators
  RuleFunction derive;
};
/// All rules.
const std::vector<Rule>& rules();
/// Returns null if there is no rule of that name.
const Rule* find_rule(std::string_view name);

/// Returns the dialect with the errors of the operator's table. A row replaces the error with the same codes
/// and name, and is added if there is none.
Dialect with_errors(const Dialect& dialect, const MappingTable& table);

}  // namespace amberknot::translate
