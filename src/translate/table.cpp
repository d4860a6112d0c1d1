#include "translate/table.hpp"

#include <algorithm>
#include <boost/crc.hpp>

#include "settings/json_text.hpp"

namespace amberknot::translate {
namespace {

using settings::member;
using settings::number_of;
using settings::text_of;

Row lost(std::string from, std::string to, Kind kind, FieldName field, std::string why) {
  Row row{std::move(from), std::move(to), kind, {}, std::nullopt};
  row.lost = std::move(field);
  row.why = std::move(why);
  return row;
}

Table make_own_table() {
  Table table;
  // What the router itself goes by; no server is told.
  for (const char* field : {"@pool", "@width", "@again"}) {
    table.rows.push_back(lost("*", "*", Kind::kSetUp, field, "the router goes by it"));
  }
  for (const char* to : {"sip", "diameter-server", "session-1"}) {
    for (const char* field : {"@tenant", "@terminal", "@acquirer", "@trace", "@reference", "@amount",
                              "@currency", "@local-time"}) {
      table.rows.push_back(lost("*", to, Kind::kSetUp, field, "that protocol has no field for it"));
    }
  }
  for (const char* field : {"@acquirer", "@local-time"}) {
    table.rows.push_back(lost("*", "session-2", Kind::kSetUp, field, "that protocol has no field for it"));
  }
  for (const char* to : {"*"}) {
    table.rows.push_back(
        lost("*", to, Kind::kGiveUp, "@trace", "a set-up is given up by its identity alone"));
    table.rows.push_back(lost("session-2", to, Kind::kAnswer, "@region", "old clients do not ask where"));
    table.rows.push_back(lost("*", to, Kind::kRelease, "@cause", "that protocol has no field for it"));
  }
  // ISO 8583: a description has 999 bytes there, and an approved answer has the code 00.
  Row answer{"*", "iso8583", Kind::kAnswer, "48", Copy{"@description"}, NotEligible{}};
  table.rows.push_back(std::move(answer));
  table.rows.push_back({"*", "iso8583", Kind::kAnswer, "39", Constant{"00"}});
  // Where a release has no cause, it is the normal one.
  table.rows.push_back({"*", "*", Kind::kRelease, "@cause", Copy{"@cause"}, Constant{"16"}});
  return table;
}

// ---- rules ----------------------------------------------------------------------------------------------

bool put(std::string_view text, char* out, std::size_t& size) {
  if (text.size() > kMaxDerived) return false;
  std::copy(text.begin(), text.end(), out);
  size = text.size();
  return true;
}

template <typename Change>
bool each(std::string_view in, char* out, std::size_t& size, Change change) {
  if (in.size() > kMaxDerived) return false;
  std::transform(in.begin(), in.end(), out, change);
  size = in.size();
  return true;
}

bool upper(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  return each(in, out, size, [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c; });
}
bool lower(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  return each(in, out, size, [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
}
bool digits_only(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  size = 0;
  for (const char c : in) {
    if (c < '0' || c > '9') continue;
    if (size == kMaxDerived) return false;
    out[size++] = c;
  }
  return size > 0;
}
bool strip_zeros(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  const auto first = in.find_first_not_of('0');
  return put(first == std::string_view::npos ? in.substr(0, in.empty() ? 0 : 1) : in.substr(first), out,
             size);
}
bool pad_zeros(std::string_view in, const FieldSpec& target, char* out, std::size_t& size) {
  const auto least = static_cast<std::size_t>(std::max<std::int64_t>(target.least, 0));
  const std::size_t zeros = in.size() < least ? least - in.size() : 0;
  if (zeros + in.size() > kMaxDerived) return false;
  std::fill(out, out + zeros, '0');
  std::copy(in.begin(), in.end(), out + zeros);
  size = zeros + in.size();
  return true;
}
bool trim(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  const auto first = in.find_first_not_of(' ');
  if (first == std::string_view::npos) return false;
  return put(in.substr(first, in.find_last_not_of(' ') - first + 1), out, size);
}
bool first_label(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  return put(in.substr(0, in.find('.')), out, size) && size > 0;
}
bool six_digits(std::string_view in, const FieldSpec& /*target*/, char* out, std::size_t& size) {
  boost::crc_32_type crc;  // the same on every machine, as a library's own hash need not be
  crc.process_bytes(in.data(), in.size());
  std::uint32_t value = crc.checksum() % 1'000'000;
  for (int i = 5; i >= 0; --i, value /= 10) out[i] = static_cast<char>('0' + value % 10);
  size = 6;
  return true;
}

// ---- the operator's table -------------------------------------------------------------------------------

class Reader {
 public:
  Reader(Table& to, std::vector<std::string>& faults) : to_(to), faults_(faults) {}

  void read(const rapidjson::Value& value) {
    if (!value.IsObject()) return fault("translate", "is not an object");
    if (!only(value, "translate", {"rows", "errors"})) return;
    if (const auto* rows = list(value, "rows")) {
      for (rapidjson::SizeType i = 0; i < rows->Size(); ++i) {
        row((*rows)[i], "translate.rows[" + std::to_string(i) + "]");
      }
    }
    if (const auto* errors = list(value, "errors")) {
      for (rapidjson::SizeType i = 0; i < errors->Size(); ++i) {
        error((*errors)[i], "translate.errors[" + std::to_string(i) + "]");
      }
    }
  }

 private:
  void fault(const std::string& path, const std::string& what) { faults_.push_back(path + ": " + what); }

  const rapidjson::Value* list(const rapidjson::Value& value, const char* name) {
    const auto* found = member(value, name);
    if (found == nullptr) return nullptr;
    if (found->IsArray()) return found;
    fault(std::string("translate.") + name, "is not a list");
    return nullptr;
  }

  bool only(const rapidjson::Value& value, const std::string& path,
            std::initializer_list<std::string_view> fields) {
    if (!value.IsObject()) {
      fault(path, "is not an object");
      return false;
    }
    bool good = true;
    for (const auto& item : value.GetObject()) {
      if (std::find(fields.begin(), fields.end(), text_of(item.name)) != fields.end()) continue;
      fault(path + "." + std::string(text_of(item.name)), "is not known");
      good = false;
    }
    return good;
  }

  /// A text that must be there, or may be absent where `otherwise` is given.
  std::string text(const rapidjson::Value& value, const std::string& path, const char* name,
                   std::optional<std::string> otherwise = std::nullopt) {
    const auto* found = member(value, name);
    if (found == nullptr && otherwise) return *otherwise;
    if (found == nullptr) {
      fault(path + "." + name, "is missing");
      return {};
    }
    if (text_of(*found).empty()) fault(path + "." + name, "is not a text");
    return std::string(text_of(*found));
  }

  bool dialect(const std::string& name, const std::string& path) {
    if (name == "*" || find_dialect(name) != nullptr) return true;
    fault(path, "\"" + name + "\" is no dialect");
    return false;
  }

  void row(const rapidjson::Value& value, const std::string& path) {
    const auto before = faults_.size();
    if (!only(value, path,
              {"from", "to", "kind", "field", "copy", "constant", "rule", "of", "by", "table", "otherwise",
               "lost", "why"})) {
      return;
    }
    Row row;
    row.from = text(value, path, "from", "*");
    row.to = text(value, path, "to", "*");
    dialect(row.from, path + ".from");
    dialect(row.to, path + ".to");
    const auto kind = kind_of(text(value, path, "kind", "set-up"));
    if (!kind) fault(path + ".kind", "is none of set-up, answer, give-up, release");
    row.kind = kind.value_or(Kind::kSetUp);
    row.why = text(value, path, "why", "");
    if (member(value, "lost") != nullptr) {
      row.lost = text(value, path, "lost");
      for (const char* name : {"field", "copy", "constant", "rule", "by", "otherwise"}) {
        if (member(value, name) != nullptr) fault(path + "." + name, "cannot stand beside lost");
      }
    } else {
      row.field = text(value, path, "field");
      source(value, path, row);
      otherwise(value, path, row);
    }
    if (faults_.size() == before) to_.rows.push_back(std::move(row));
  }

  void source(const rapidjson::Value& value, const std::string& path, Row& row) {
    int sources = 0;
    for (const char* name : {"copy", "constant", "rule", "by"})
      sources += member(value, name) != nullptr ? 1 : 0;
    if (sources != 1) return fault(path, "needs just one of copy, constant, rule, by");
    if (member(value, "of") != nullptr && member(value, "rule") == nullptr)
      fault(path + ".of", "needs a rule");
    if (member(value, "table") != nullptr && member(value, "by") == nullptr)
      fault(path + ".table", "needs by");
    if (member(value, "copy") != nullptr) {
      row.source = Copy{text(value, path, "copy")};
    } else if (member(value, "constant") != nullptr) {
      row.source = Constant{text(value, path, "constant")};
    } else if (member(value, "rule") != nullptr) {
      Derived derived{text(value, path, "rule"), text(value, path, "of")};
      if (find_rule(derived.rule) == nullptr) fault(path + ".rule", "\"" + derived.rule + "\" is no rule");
      row.source = std::move(derived);
    } else {
      Lookup lookup{text(value, path, "by"), {}};
      const auto* table = member(value, "table");
      if (table == nullptr || !table->IsObject()) {
        fault(path + ".table", table == nullptr ? "is missing" : "is not an object");
      } else {
        for (const auto& item : table->GetObject()) {
          const std::string key(text_of(item.name));
          if (text_of(item.value).empty()) fault(path + ".table." + key, "is not a text");
          if (!lookup.table.emplace(key, text_of(item.value)).second) {
            fault(path + ".table." + key, "comes twice");
          }
        }
      }
      row.source = std::move(lookup);
    }
  }

  void otherwise(const rapidjson::Value& value, const std::string& path, Row& row) {
    const auto* found = member(value, "otherwise");
    if (found == nullptr) return;
    if (text_of(*found) == "not-eligible") {
      row.otherwise = NotEligible{};
    } else if (text_of(*found) == "leave-out") {
      row.otherwise = LeaveOut{};
    } else if (found->IsObject() && only(*found, path + ".otherwise", {"constant"})) {
      row.otherwise = Constant{text(*found, path + ".otherwise", "constant")};
    } else {
      fault(path + ".otherwise", "is none of not-eligible, leave-out, {\"constant\": …}");
    }
  }

  std::uint32_t code(const rapidjson::Value& value, const std::string& path, const char* name,
                     std::uint32_t otherwise) {
    const auto* found = member(value, name);
    if (found == nullptr) return otherwise;
    const auto read = number_of(text_of(*found));
    if (!read || *read < 1 || *read > 1e6 || *read != static_cast<std::uint32_t>(*read)) {
      fault(path + "." + name, "is not a code");
      return otherwise;
    }
    return static_cast<std::uint32_t>(*read);
  }

  void error(const rapidjson::Value& value, const std::string& path) {
    const auto before = faults_.size();
    if (!only(value, path, {"dialect", "code", "to", "name", "reason", "ran", "about"})) return;
    ErrorRow row;
    row.dialect = text(value, path, "dialect");
    if (!row.dialect.empty() && find_dialect(row.dialect) == nullptr) {
      fault(path + ".dialect", "\"" + row.dialect + "\" is no dialect");
    }
    row.error.from = code(value, path, "code", 0);
    if (row.error.from == 0) fault(path + ".code", "is missing");
    row.error.to = code(value, path, "to", row.error.from);
    if (row.error.to < row.error.from) fault(path + ".to", "is less than code");
    row.error.name = text(value, path, "name", "");
    const auto reason = reason_of(text(value, path, "reason"));
    if (!reason) fault(path + ".reason", "is no reason");
    const auto ran = text(value, path, "ran");
    if (ran != "no" && ran != "maybe") fault(path + ".ran", "is neither no nor maybe");
    const auto about = text(value, path, "about");
    if (about != "server" && about != "version" && about != "call") {
      fault(path + ".about", "is none of server, version, call");
    }
    row.error.meaning = {reason.value_or(Reason::kServerFault), ran == "no" ? Ran::kNo : Ran::kMaybe,
                         about == "version" ? About::kVersion
                         : about == "call"  ? About::kCall
                                            : About::kServer};
    if (faults_.size() == before) to_.errors.push_back(std::move(row));
  }

  Table& to_;
  std::vector<std::string>& faults_;
};

}  // namespace

const Table& own_table() {
  static const Table table = make_own_table();
  return table;
}

std::vector<std::string> read_table(std::string json, Table& to) {
  rapidjson::Document document;
  if (!settings::parse_in_place(json, document)) return {"translate: not JSON"};
  return read_table(document, to);
}

std::vector<std::string> read_table(const rapidjson::Value& value, Table& to) {
  std::vector<std::string> faults;
  Table read;
  Reader(read, faults).read(value);
  if (faults.empty()) to = std::move(read);
  return faults;
}

const std::vector<Rule>& rules() {
  static const std::vector<Rule> all = {
      {"upper", "letters a to z as capitals", upper},
      {"lower", "letters A to Z as small ones", lower},
      {"digits-only", "its digits, all else left out", digits_only},
      {"strip-zeros", "without leading zeros", strip_zeros},
      {"pad-zeros", "with leading zeros to the least length of the field", pad_zeros},
      {"trim", "without blanks at both ends", trim},
      {"first-label", "up to the first dot", first_label},
      {"six-digits", "six digits that follow from the text, the same each time", six_digits},
  };
  return all;
}

const Rule* find_rule(std::string_view name) {
  for (const auto& rule : rules()) {
    if (rule.name == name) return &rule;
  }
  return nullptr;
}

Dialect with_errors(const Dialect& dialect, const Table& table) {
  Dialect made = dialect;
  for (const auto& row : table.errors) {
    if (row.dialect != dialect.name) continue;
    const auto same = std::find_if(made.errors.begin(), made.errors.end(), [&](const auto& error) {
      return error.from == row.error.from && error.to == row.error.to && error.name == row.error.name;
    });
    if (same != made.errors.end()) {
      *same = row.error;
    } else {
      made.errors.push_back(row.error);
    }
  }
  return made;
}

}  // namespace amberknot::translate
