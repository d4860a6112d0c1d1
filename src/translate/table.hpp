// The rows by which one dialect's messages become another's: the project's own, and those that an operator
// adds.
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

/// Names a field of a dialect: by its own name, or by its meaning as `@tenant`.
using FieldName = std::string;

struct Copy {
  FieldName of;
};
struct Constant {
  std::string value;
};
/// A named rule, see rules() below, applied to a field.
struct Derived {
  std::string rule;
  FieldName of;
};
/// A value for each value of another field, as a region for each tenant.
struct Lookup {
  FieldName by;
  std::map<std::string, std::string, std::less<>> table;
};
using Source = std::variant<Copy, Constant, Derived, Lookup>;

/// What happens where the source gives nothing, or nothing that the field may hold.
struct NotEligible {};  ///< this message cannot be said there
struct LeaveOut {};     ///< the field is left out, which is a declared loss; optional fields only
using Otherwise = std::variant<NotEligible, LeaveOut, Constant>;

/// `from` and `to` name dialects, `*` is any. The row that names more of the two counts.
struct Row {
  std::string from = "*";
  std::string to = "*";
  Kind kind = Kind::kSetUp;
  FieldName field;               ///< of `to`; empty: the row declares a loss
  std::optional<Source> source;  ///< of `field`
  std::optional<Otherwise> otherwise = {};
  FieldName lost = {};   ///< a field of `from` that `to` has no place for
  std::string why = {};  ///< told to whoever asks what is lost
};

/// An error of a server's dialect that the operator knows and the project does not, or means otherwise.
struct ErrorRow {
  std::string dialect;
  ErrorSpec error;
};

struct Table {
  std::vector<Row> rows;
  std::vector<ErrorRow> errors;
};

/// What the project itself says about its own dialects.
const Table& own_table();

/// Reads an operator's table, the object `translate` of the operator's file (docs/operate-translation.md).
/// The faults name the field by its path; empty: `to` holds the table.
std::vector<std::string> read_table(std::string json, Table& to);
std::vector<std::string> read_table(const rapidjson::Value& value, Table& to);

/// A rule makes a text out of a text, for a field that is as the target says. It writes at most kMostDerived
/// bytes; false: it makes nothing of that.
inline constexpr std::size_t kMaxDerived = 64;
using RuleFunction = bool (*)(std::string_view in, const FieldSpec& target, char* out, std::size_t& size);
struct Rule {
  std::string_view name;
  std::string_view what;
  RuleFunction make;
};
const std::vector<Rule>& rules();
const Rule* find_rule(std::string_view name);

/// The dialect with the operator's errors in it: a row takes the place of the error of the same numbers and
/// name.
Dialect with_errors(const Dialect& dialect, const Table& table);

}  // namespace amberknot::translate
