#include "translate/table.hpp"

#include <algorithm>
#include <boost/crc.hpp>

#include "settings/json_text.hpp"

namespace amberknot::translate {
namespace {

using settings::find_member;
using settings::parse_number;
using settings::string_value;

/// Returns a row that declares the loss of a field.
MappingRow loss_row(std::string from, std::string to, MessageKind kind, FieldName field, std::string reason) {
  MappingRow row{std::move(from), std::move(to), kind, {}, std::nullopt};
  row.lost_field = std::move(field);
  row.loss_reason = std::move(reason);
  return row;
}

MappingTable make_builtin_table() {
  MappingTable table;
  // Fields that only the router uses; they are not sent to servers.
  for (const char* field : {"@pool", "@width", "@again"}) {
    table.rows.push_back(loss_row("*", "*", MessageKind::kSetUp, field, "used by the router only"));
  }
  for (const char* to : {"sip", "diameter-server", "session-1"}) {
    for (const char* field : {"@tenant", "@terminal", "@acquirer", "@trace", "@reference", "@amount",
                              "@currency", "@local-time"}) {
      table.rows.push_back(
          loss_row("*", to, MessageKind::kSetUp, field, "that protocol has no field for it"));
    }
  }
  for (const char* field : {"@acquirer", "@local-time"}) {
    table.rows.push_back(
        loss_row("*", "session-2", MessageKind::kSetUp, field, "that protocol has no field for it"));
  }
  for (const char* to : {"*"}) {
    table.rows.push_back(
        loss_row("*", to, MessageKind::kGiveUp, "@trace", "a set-up is given up by its identifier alone"));
    table.rows.push_back(loss_row("session-2", to, MessageKind::kAnswer, "@region",
                                  "the protocols of clients have no field for it"));
    table.rows.push_back(
        loss_row("*", to, MessageKind::kRelease, "@cause", "that protocol has no field for it"));
  }
  // In ISO 8583 a description has at most 999 bytes, and an approved answer has the response code 00.
  MappingRow answer{"*", "iso8583", MessageKind::kAnswer, "48", Copy{"@description"}, NotEligible{}};
  table.rows.push_back(std::move(answer));
  table.rows.push_back({"*", "iso8583", MessageKind::kAnswer, "39", Constant{"00"}});
  // A release without a cause gets Q.850 cause 16, normal call clearing.
  table.rows.push_back({"*", "*", MessageKind::kRelease, "@cause", Copy{"@cause"}, Constant{"16"}});
  return table;
}

// ---- rules ----------------------------------------------------------------------------------------------

/// Copies a text to the output of a rule. Returns false if it is too long.
bool write_text(std::string_view text, char* out, std::size_t& size) {
  if (text.size() > kMaxDerivedBytes) return false;
  std::copy(text.begin(), text.end(), out);
  size = text.size();
  return true;
}

/// Applies a function to each character. Returns false if the text is too long.
template <typename Transform>
bool transform_text(std::string_view in, char* out, std::size_t& size, Transform transform) {
  if (in.size() > kMaxDerivedBytes) return false;
  std::transform(in.begin(), in.end(), out, transform);
  size = in.size();
  return true;
}

bool upper(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  return transform_text(in, out, size,
                        [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c; });
}
bool lower(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  return transform_text(in, out, size,
                        [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
}
bool digits_only(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  size = 0;
  for (const char c : in) {
    if (c < '0' || c > '9') continue;
    if (size == kMaxDerivedBytes) return false;
    out[size++] = c;
  }
  return size > 0;
}
bool strip_zeros(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  const auto first = in.find_first_not_of('0');
  return write_text(first == std::string_view::npos ? in.substr(0, in.empty() ? 0 : 1) : in.substr(first),
                    out, size);
}
bool pad_zeros(std::string_view in, const FieldSpec& target, char* out, std::size_t& size) {
  const auto min_length = static_cast<std::size_t>(std::max<std::int64_t>(target.min, 0));
  const std::size_t zeros = in.size() < min_length ? min_length - in.size() : 0;
  if (zeros + in.size() > kMaxDerivedBytes) return false;
  std::fill(out, out + zeros, '0');
  std::copy(in.begin(), in.end(), out + zeros);
  size = zeros + in.size();
  return true;
}
bool trim(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  const auto first = in.find_first_not_of(' ');
  if (first == std::string_view::npos) return false;
  return write_text(in.substr(first, in.find_last_not_of(' ') - first + 1), out, size);
}
bool first_label(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  return write_text(in.substr(0, in.find('.')), out, size) && size > 0;
}
bool six_digits(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  boost::crc_32_type crc;  // gives the same result on every machine, unlike a standard library hash
  crc.process_bytes(in.data(), in.size());
  std::uint32_t value = crc.checksum() % 1'000'000;
  for (int i = 5; i >= 0; --i, value /= 10) out[i] = static_cast<char>('0' + value % 10);
  size = 6;
  return true;
}

// ---- the operator's table -------------------------------------------------------------------------------

/// Reads an operator's table and collects its faults.
class TableReader {
 public:
  TableReader(MappingTable& to, std::vector<std::string>& faults) : table_(to), faults_(faults) {}

  void read(const rapidjson::Value& value) {
    if (!value.IsObject()) return add_fault("translate", "is not an object");
    if (!check_fields(value, "translate", {"rows", "errors"})) return;
    if (const auto* rows = find_array(value, "rows")) {
      for (rapidjson::SizeType i = 0; i < rows->Size(); ++i) {
        read_row((*rows)[i], "translate.rows[" + std::to_string(i) + "]");
      }
    }
    if (const auto* errors = find_array(value, "errors")) {
      for (rapidjson::SizeType i = 0; i < errors->Size(); ++i) {
        read_error((*errors)[i], "translate.errors[" + std::to_string(i) + "]");
      }
    }
  }

 private:
  void add_fault(const std::string& path, const std::string& problem) {
    faults_.push_back(path + ": " + problem);
  }

  /// Returns the array of that name, or null if it is absent or not an array.
  const rapidjson::Value* find_array(const rapidjson::Value& value, const char* name) {
    const auto* found = find_member(value, name);
    if (found == nullptr) return nullptr;
    if (found->IsArray()) return found;
    add_fault(std::string("translate.") + name, "is not an array");
    return nullptr;
  }

  /// Checks that the value is an object with no fields but those given.
  bool check_fields(const rapidjson::Value& value, const std::string& path,
                    std::initializer_list<std::string_view> fields) {
    if (!value.IsObject()) {
      add_fault(path, "is not an object");
      return false;
    }
    bool is_valid = true;
    for (const auto& item : value.GetObject()) {
      if (std::find(fields.begin(), fields.end(), string_value(item.name)) != fields.end()) continue;
      add_fault(path + "." + std::string(string_value(item.name)), "is not a known field");
      is_valid = false;
    }
    return is_valid;
  }

  /// Returns a field that holds a string or a number, as text, or `default_value` if it is absent. Without a
  /// default the field is required.
  std::string read_string(const rapidjson::Value& value, const std::string& path, const char* name,
                          std::optional<std::string> default_value = std::nullopt) {
    const auto* found = find_member(value, name);
    if (found == nullptr && default_value) return *default_value;
    if (found == nullptr) {
      add_fault(path + "." + name, "is missing");
      return {};
    }
    if (string_value(*found).empty())
      add_fault(path + "." + name, "is empty, or neither a string nor a number");
    return std::string(string_value(*found));
  }

  /// Reports a fault if `name` is neither a dialect nor `*`.
  bool check_dialect(const std::string& name, const std::string& path) {
    if (name == "*" || find_dialect(name) != nullptr) return true;
    add_fault(path, "\"" + name + "\" is not a known dialect");
    return false;
  }

  void read_row(const rapidjson::Value& value, const std::string& path) {
    const auto previous_faults = faults_.size();
    if (!check_fields(value, path,
                      {"from", "to", "kind", "field", "copy", "constant", "rule", "of", "by", "table",
                       "otherwise", "lost", "why"})) {
      return;
    }
    MappingRow row;
    row.from = read_string(value, path, "from", "*");
    row.to = read_string(value, path, "to", "*");
    check_dialect(row.from, path + ".from");
    check_dialect(row.to, path + ".to");
    const auto kind = kind_of(read_string(value, path, "kind", "set-up"));
    if (!kind) add_fault(path + ".kind", "is not one of set-up, answer, give-up, release");
    row.kind = kind.value_or(MessageKind::kSetUp);
    row.loss_reason = read_string(value, path, "why", "");
    if (find_member(value, "lost") != nullptr) {
      row.lost_field = read_string(value, path, "lost");
      for (const char* name : {"field", "copy", "constant", "rule", "by", "otherwise"}) {
        if (find_member(value, name) != nullptr) add_fault(path + "." + name, "cannot be combined with lost");
      }
    } else {
      row.target_field = read_string(value, path, "field");
      read_source(value, path, row);
      read_otherwise(value, path, row);
    }
    if (faults_.size() == previous_faults) table_.rows.push_back(std::move(row));
  }

  void read_source(const rapidjson::Value& value, const std::string& path, MappingRow& row) {
    int sources = 0;
    for (const char* name : {"copy", "constant", "rule", "by"})
      sources += find_member(value, name) != nullptr ? 1 : 0;
    if (sources != 1) return add_fault(path, "needs exactly one of copy, constant, rule, by");
    if (find_member(value, "of") != nullptr && find_member(value, "rule") == nullptr)
      add_fault(path + ".of", "is only allowed with rule");
    if (find_member(value, "table") != nullptr && find_member(value, "by") == nullptr)
      add_fault(path + ".table", "is only allowed with by");
    if (find_member(value, "copy") != nullptr) {
      row.source = Copy{read_string(value, path, "copy")};
    } else if (find_member(value, "constant") != nullptr) {
      row.source = Constant{read_string(value, path, "constant")};
    } else if (find_member(value, "rule") != nullptr) {
      Derived derived{read_string(value, path, "rule"), read_string(value, path, "of")};
      if (find_rule(derived.rule) == nullptr)
        add_fault(path + ".rule", "\"" + derived.rule + "\" is not a known rule");
      row.source = std::move(derived);
    } else {
      Lookup lookup{read_string(value, path, "by"), {}};
      const auto* table = find_member(value, "table");
      if (table == nullptr || !table->IsObject()) {
        add_fault(path + ".table", table == nullptr ? "is missing" : "is not an object");
      } else {
        for (const auto& item : table->GetObject()) {
          const std::string key(string_value(item.name));
          if (string_value(item.value).empty())
            add_fault(path + ".table." + key, "is empty, or neither a string nor a number");
          if (!lookup.values.emplace(key, string_value(item.value)).second) {
            add_fault(path + ".table." + key, "is defined twice");
          }
        }
      }
      row.source = std::move(lookup);
    }
  }

  void read_otherwise(const rapidjson::Value& value, const std::string& path, MappingRow& row) {
    const auto* found = find_member(value, "otherwise");
    if (found == nullptr) return;
    if (string_value(*found) == "not-eligible") {
      row.fallback = NotEligible{};
    } else if (string_value(*found) == "leave-out") {
      row.fallback = LeaveOut{};
    } else if (found->IsObject() && check_fields(*found, path + ".otherwise", {"constant"})) {
      row.fallback = Constant{read_string(*found, path + ".otherwise", "constant")};
    } else {
      add_fault(path + ".otherwise", "is not one of not-eligible, leave-out, {\"constant\": …}");
    }
  }

  /// Returns an error code, or `default_value` if it is absent or invalid.
  std::uint32_t read_code(const rapidjson::Value& value, const std::string& path, const char* name,
                          std::uint32_t default_value) {
    const auto* found = find_member(value, name);
    if (found == nullptr) return default_value;
    const auto parsed = parse_number(string_value(*found));
    if (!parsed || *parsed < 1 || *parsed > 1e6 || *parsed != static_cast<std::uint32_t>(*parsed)) {
      add_fault(path + "." + name, "is not an integer from 1 to 1000000");
      return default_value;
    }
    return static_cast<std::uint32_t>(*parsed);
  }

  void read_error(const rapidjson::Value& value, const std::string& path) {
    const auto previous_faults = faults_.size();
    if (!check_fields(value, path, {"dialect", "code", "to", "name", "reason", "ran", "about"})) return;
    ErrorRow row;
    row.dialect = read_string(value, path, "dialect");
    if (!row.dialect.empty() && find_dialect(row.dialect) == nullptr) {
      add_fault(path + ".dialect", "\"" + row.dialect + "\" is not a known dialect");
    }
    row.error.from = read_code(value, path, "code", 0);
    if (row.error.from == 0) add_fault(path + ".code", "is missing");
    row.error.to = read_code(value, path, "to", row.error.from);
    if (row.error.to < row.error.from) add_fault(path + ".to", "is less than code");
    row.error.name = read_string(value, path, "name", "");
    const auto reason = reason_from_name(read_string(value, path, "reason"));
    if (!reason) add_fault(path + ".reason", "is not a known reason");
    const auto ran = read_string(value, path, "ran");
    if (ran != "no" && ran != "maybe") add_fault(path + ".ran", "is not one of no, maybe");
    const auto about = read_string(value, path, "about");
    if (about != "server" && about != "version" && about != "call") {
      add_fault(path + ".about", "is not one of server, version, call");
    }
    row.error.meaning = {reason.value_or(Reason::kServerFault),
                         ran == "no" ? ExecutionState::kNotExecuted : ExecutionState::kMayHaveExecuted,
                         about == "version" ? ErrorScope::kVersion
                         : about == "call"  ? ErrorScope::kCall
                                            : ErrorScope::kServer};
    if (faults_.size() == previous_faults) table_.errors.push_back(std::move(row));
  }

  MappingTable& table_;
  std::vector<std::string>& faults_;
};

}  // namespace

const MappingTable& builtin_table() {
  static const MappingTable table = make_builtin_table();
  return table;
}

std::vector<std::string> parse_operator_table(std::string json, MappingTable& to) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document)) return {"translate: not JSON"};
  return parse_operator_table(document, to);
}

std::vector<std::string> parse_operator_table(const rapidjson::Value& value, MappingTable& to) {
  std::vector<std::string> faults;
  MappingTable table;
  TableReader(table, faults).read(value);
  if (faults.empty()) to = std::move(table);
  return faults;
}

const std::vector<Rule>& rules() {
  static const std::vector<Rule> all = {
      {"upper", "letters a to z in upper case", upper},
      {"lower", "letters A to Z in lower case", lower},
      {"digits-only", "its digits only", digits_only},
      {"strip-zeros", "without leading zeros", strip_zeros},
      {"pad-zeros", "with leading zeros up to the minimum length of the field", pad_zeros},
      {"trim", "without spaces at both ends", trim},
      {"first-label", "up to the first dot", first_label},
      {"six-digits", "six digits computed from the text, always the same for the same text", six_digits},
  };
  return all;
}

const Rule* find_rule(std::string_view name) {
  for (const auto& rule : rules()) {
    if (rule.name == name) return &rule;
  }
  return nullptr;
}

Dialect with_errors(const Dialect& dialect, const MappingTable& table) {
  Dialect merged = dialect;
  for (const auto& row : table.errors) {
    if (row.dialect != dialect.name) continue;
    const auto existing = std::find_if(merged.errors.begin(), merged.errors.end(), [&](const auto& error) {
      return error.from == row.error.from && error.to == row.error.to && error.name == row.error.name;
    });
    if (existing != merged.errors.end()) {
      *existing = row.error;
    } else {
      merged.errors.push_back(row.error);
    }
  }
  return merged;
}

}  // namespace amberknot::translate
