#include "translate/mapping.hpp"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace amberknot::translate {

std::optional<std::size_t> find_invalid_field(const std::vector<FieldSpec>& fields, const Record& record) {
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (!record.has(i)) {
      if (fields[i].required) return i;
      continue;
    }
    const bool is_valid = is_text(fields[i].type) ? is_valid_value(fields[i], record.text(i))
                                                  : is_valid_value(fields[i], record.number(i));
    if (!is_valid) return i;
  }
  return std::nullopt;
}

std::string_view describe(MappingFailure failure) {
  switch (failure) {
    case MappingFailure::kNone:
      return "said";
    case MappingFailure::kSourceMissing:
      return "its source is missing";
    case MappingFailure::kValueInvalid:
      return "its value is not valid there";
    case MappingFailure::kNotInTable:
      return "its value is not in the table";
  }
  return "";
}

// ---- running --------------------------------------------------------------------------------------------

const Program::Value* Program::LookupTable::find(std::string_view key) const {
  const auto found = std::lower_bound(rows.begin(), rows.end(), key,
                                      [](const auto& row, std::string_view k) { return row.first < k; });
  return found != rows.end() && found->first == key ? &found->second : nullptr;
}

bool Program::apply(const Step& step, const Record& from, Record& to) const {
  switch (step.op) {
    case Op::kText: {
      const auto text = from.text(step.from);
      if (!fits(step, text)) return false;
      to.set(step.to, text);
      return true;
    }
    case Op::kNumber:
    case Op::kScale: {
      std::int64_t number = from.number(step.from);
      if (step.op == Op::kScale) {
        // Rounded down, so that the server does not wait longer than the caller.
        std::int64_t product = 0;
        if (__builtin_mul_overflow(number, step.multiplier, &product)) return false;
        number = product / step.divisor;
      }
      if (!fits(step, number)) return false;
      to.set(step.to, number);
      return true;
    }
    case Op::kParse: {
      const auto text = from.text(step.from);
      std::int64_t number = 0;
      const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
      if (error != std::errc{} || end != text.data() + text.size() || !fits(step, number)) return false;
      to.set(step.to, number);
      return true;
    }
    case Op::kPrint: {
      char* at = to.allocate_text(kMaxDerivedBytes);
      if (at == nullptr) return false;
      const auto [end, error] = std::to_chars(at, at + kMaxDerivedBytes, from.number(step.from));
      const std::string_view text(at, static_cast<std::size_t>(end - at));
      if (error != std::errc{} || !fits(step, text)) return false;
      to.set(step.to, text);
      return true;
    }
    case Op::kConstText:
      to.set(step.to, constants_[step.operand].text);
      return true;
    case Op::kConstNumber:
      to.set(step.to, constants_[step.operand].number);
      return true;
    case Op::kLookup: {
      const auto* found = lookup_tables_[step.operand].find(from.text(step.from));
      if (found == nullptr) return false;
      // The values of the table were checked against the target field at compilation.
      if (is_text(to_[step.to].type)) {
        to.set(step.to, std::string_view(found->text));
      } else {
        to.set(step.to, found->number);
      }
      return true;
    }
    case Op::kRule: {
      char* at = to.allocate_text(kMaxDerivedBytes);
      std::size_t size = 0;
      if (at == nullptr || !rules_[step.operand](from.text(step.from), to_[step.to], at, size)) return false;
      const std::string_view text(at, size);
      if (!is_valid_value(to_[step.to], text)) return false;
      to.set(step.to, text);
      return true;
    }
  }
  return false;
}

MappingResult Program::translate_record(const Record& from, Record& to) const {
  to.clear();
  for (const auto& step : steps_) {
    const bool source_present = step.source_always_present || from.has(step.from);
    if (source_present && apply(step, from, to)) continue;
    // An optional field without a source value is left out, even if its fallback is not-eligible, unless its
    // fallback is a constant.
    if (!source_present && step.target_optional && step.otherwise != Fallback::kText &&
        step.otherwise != Fallback::kNumber)
      continue;
    switch (step.otherwise) {
      case Fallback::kNotEligible:
        return {!source_present          ? MappingFailure::kSourceMissing
                : step.op == Op::kLookup ? MappingFailure::kNotInTable
                                         : MappingFailure::kValueInvalid,
                step.to};
      case Fallback::kLeaveOut:
        break;
      case Fallback::kText:
        to.set(step.to, constants_[step.fallback_constant].text);
        break;
      case Fallback::kNumber:
        to.set(step.to, constants_[step.fallback_constant].number);
        break;
    }
  }
  return {};
}

// ---- compiling ------------------------------------------------------------------------------------------

/// Compiles the program for one kind of message between two dialects.
class Compiler {
 public:
  Compiler(const Dialect& from, const Dialect& to, MessageKind kind, const MappingTable& operator_table,
           std::vector<std::string>& faults)
      : from_(from),
        to_(to),
        kind_(kind),
        operator_table_(operator_table),
        faults_(faults),
        is_carried_(from.of(kind).size()) {}

  std::optional<Program> compile() {
    const auto previous_faults = faults_.size();
    program_.to_ = to_.of(kind_);
    for (std::size_t i = 0; i < program_.to_.size(); ++i) compile_field(i);
    check_losses();
    if (faults_.size() > previous_faults) return std::nullopt;
    return std::move(program_);
  }

 private:
  using Step = Program::Step;
  using Op = Program::Op;
  using Fallback = Program::Fallback;

  void add_fault(const std::string& field, const std::string& problem) {
    faults_.push_back(from_.name + " → " + to_.name + ", " + std::string(name_of(kind_)) + ": " + field +
                      ": " + problem);
  }

  [[nodiscard]] const std::vector<FieldSpec>& sources() const { return from_.of(kind_); }

  /// Returns the index of the field with that name or, for `@meaning`, with that meaning. Returns the number
  /// of fields if there is none.
  static std::size_t resolve(const std::vector<FieldSpec>& fields, const FieldName& name) {
    if (name.empty() || name.front() != '@') return index_of(fields, name);
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto& field) {
      return field.meaning != Meaning::kNone && name_of(field.meaning) == std::string_view(name).substr(1);
    });
    return static_cast<std::size_t>(found - fields.begin());
  }

  /// Returns how many of this pair's dialects the row names, or nullopt if the row does not apply to it.
  [[nodiscard]] std::optional<int> specificity(const MappingRow& row) const {
    if (row.kind != kind_) return std::nullopt;
    if (row.from != "*" && row.from != from_.name) return std::nullopt;
    if (row.to != "*" && row.to != to_.name) return std::nullopt;
    return (row.from != "*" ? 1 : 0) + (row.to != "*" ? 1 : 0);
  }

  /// Returns the row for a target field, or null if there is none. Rows of the operator take precedence over
  /// built-in ones, then rows that name more dialects. Sets `is_ambiguous` if two rows have the same
  /// precedence.
  const MappingRow* select_row(std::size_t target, bool& is_ambiguous) {
    const MappingRow* best = nullptr;
    int best_rank = -1;
    is_ambiguous = false;
    const auto search = [&](const MappingTable& table, int base_rank) {
      for (const auto& row : table.rows) {
        const auto row_rank = specificity(row);
        if (!row_rank || row.target_field.empty() || resolve(program_.to_, row.target_field) != target)
          continue;
        if (base_rank + *row_rank == best_rank) is_ambiguous = true;
        if (base_rank + *row_rank <= best_rank) continue;
        best = &row;
        best_rank = base_rank + *row_rank;
        is_ambiguous = false;
      }
    };
    search(builtin_table(), 0);
    search(operator_table_, 10);  // greater than any specificity(), so the operator's rows take precedence
    return best;
  }

  void compile_field(std::size_t target) {
    const auto& spec = program_.to_[target];
    bool is_ambiguous = false;
    const MappingRow* row = select_row(target, is_ambiguous);
    if (is_ambiguous) return add_fault(spec.name, "two rows define its source");
    Step step;
    step.to = static_cast<std::uint8_t>(target);
    step.target_optional = !spec.required;
    std::string description;
    if (row == nullptr) {
      const auto source = index_of(sources(), spec.meaning);
      if (source == sources().size()) {
        if (spec.required) add_fault(spec.name, "is required and nothing says where it comes from");
        return;
      }
      if (!compile_copy(step, spec, source, description)) return;
    } else if (const auto* from = std::get_if<Copy>(&*row->source)) {
      const auto source = resolve(sources(), from->source_field);
      // A row that applies to several dialects may name a field that this one lacks.
      if (source == sources().size()) return compile_without_source(step, spec, *row, from->source_field);
      if (!compile_copy(step, spec, source, description)) return;
    } else if (const auto* constant = std::get_if<Constant>(&*row->source)) {
      if (!compile_constant(step, spec, constant->value)) return;
      description = "the constant \"" + constant->value + "\"";
    } else if (const auto* derived = std::get_if<Derived>(&*row->source)) {
      const auto source = resolve(sources(), derived->source_field);
      if (source == sources().size()) return compile_without_source(step, spec, *row, derived->source_field);
      if (!compile_rule(step, spec, source, *derived, description)) return;
    } else {
      const auto& lookup = std::get<Lookup>(*row->source);
      const auto source = resolve(sources(), lookup.key_field);
      if (source == sources().size()) return compile_without_source(step, spec, *row, lookup.key_field);
      if (!compile_lookup(step, spec, source, lookup, description)) return;
    }
    add_step(step, spec, row, std::move(description));
  }

  /// Compiles a row whose source field does not exist in this dialect, so that its fallback always applies.
  void compile_without_source(Step& step, const FieldSpec& spec, const MappingRow& row,
                              const FieldName& name) {
    if (row.fallback && std::holds_alternative<Constant>(*row.fallback)) {
      if (!compile_constant(step, spec, std::get<Constant>(*row.fallback).value)) return;
      step.needs_check = false;
      step.source_always_present = true;
      program_.steps_.push_back(step);
      add_note(spec.name,
               "the constant \"" + std::get<Constant>(*row.fallback).value + "\", since there is no " + name);
    } else if (row.fallback && std::holds_alternative<NotEligible>(*row.fallback) && spec.required) {
      add_fault(spec.name,
                "has no source, since " + from_.name + " has no " + name + ": no message would be eligible");
    } else if (spec.required) {
      add_fault(spec.name, "is required, and " + from_.name + " has no " + name);
    }
  }

  bool compile_copy(Step& step, const FieldSpec& to, std::size_t source, std::string& description) {
    const auto& from = sources()[source];
    step.from = static_cast<std::uint8_t>(source);
    is_carried_[source] = true;
    step.source_always_present = from.required;
    description = "copied from " + from.name;
    const bool duration = from.type == FieldType::kDuration && to.type == FieldType::kDuration;
    if (is_text(from.type) && is_text(to.type)) {
      step.op = Op::kText;
      step.needs_check = !is_text_subset(from, to);
    } else if (duration && from.unit != to.unit) {
      const auto common = std::gcd(from.unit, to.unit);
      step.op = Op::kScale;
      step.multiplier = from.unit / common;
      step.divisor = to.unit / common;
      description += ", " + std::to_string(from.unit) + " µs to " + std::to_string(to.unit) + " µs";
    } else if (from.type == to.type) {
      step.op = Op::kNumber;
      step.needs_check = from.min < to.min || from.max > to.max;
    } else if (from.type == FieldType::kDigits && to.type == FieldType::kNumber) {
      step.op = Op::kParse;
      // Up to 18 digits fit in 64 bits, so the maximum count of digits bounds the value.
      std::int64_t power_of_ten = 1;
      for (std::int64_t i = 0; i < std::min<std::int64_t>(from.max, 18); ++i) power_of_ten *= 10;
      step.needs_check = from.max > 18 || to.min > 0 || power_of_ten - 1 > to.max;
    } else if (from.type == FieldType::kNumber && is_text(to.type)) {
      step.op = Op::kPrint;
    } else {
      add_fault(to.name, "is a " + std::string(name_of(to.type)) + " field, and " + from.name + " is a " +
                             std::string(name_of(from.type)) + " field: use a rule or a table");
      return false;
    }
    return true;
  }

  /// Whether every valid value of `from` is valid for `to`.
  static bool is_text_subset(const FieldSpec& from, const FieldSpec& to) {
    if (from.type == FieldType::kWord) {
      return std::all_of(from.allowed_values.begin(), from.allowed_values.end(),
                         [&to](const auto& word) { return is_valid_value(to, word); });
    }
    if (to.type == FieldType::kWord || from.min < to.min || from.max > to.max) return false;
    const auto alphabet_rank = [](FieldType type) {
      return type == FieldType::kText ? 3 : type == FieldType::kToken ? 2 : type == FieldType::kHex ? 1 : 0;
    };
    return alphabet_rank(from.type) <= alphabet_rank(to.type);
  }

  bool compile_constant(Step& step, const FieldSpec& spec, const std::string& value) {
    const auto parsed = value_of(spec, value);
    if (!parsed) {
      add_fault(spec.name, "cannot hold the constant \"" + value + "\"");
      return false;
    }
    step.op = is_text(spec.type) ? Op::kConstText : Op::kConstNumber;
    step.operand = static_cast<std::uint16_t>(program_.constants_.size());
    step.source_always_present = true;
    step.needs_check = false;
    program_.constants_.push_back(*parsed);
    return true;
  }

  static std::optional<Program::Value> value_of(const FieldSpec& spec, const std::string& text) {
    if (is_text(spec.type)) {
      return is_valid_value(spec, text) ? std::optional(Program::Value{text, 0}) : std::nullopt;
    }
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || !is_valid_value(spec, number))
      return std::nullopt;
    return Program::Value{text, number};
  }

  bool compile_rule(Step& step, const FieldSpec& to, std::size_t source, const Derived& derived,
                    std::string& description) {
    const auto& from = sources()[source];
    const auto* found = find_rule(derived.rule);
    if (found == nullptr) return add_fault(to.name, "\"" + derived.rule + "\" is not a known rule"), false;
    if (!is_text(from.type) || !is_text(to.type)) {
      return add_fault(to.name, "a rule needs a text field as source and as target"), false;
    }
    step.op = Op::kRule;
    step.from = static_cast<std::uint8_t>(source);
    step.source_always_present = from.required;
    step.operand = static_cast<std::uint16_t>(program_.rules_.size());
    program_.rules_.push_back(found->derive);
    is_carried_[source] = true;
    description =
        "by the rule " + derived.rule + " from " + from.name + ": " + std::string(found->description);
    return true;
  }

  bool compile_lookup(Step& step, const FieldSpec& to, std::size_t source, const Lookup& lookup,
                      std::string& description) {
    const auto& from = sources()[source];
    if (!is_text(from.type))
      return add_fault(to.name, from.name + " is not a text field, so it cannot be looked up"), false;
    Program::LookupTable compiled;
    for (const auto& [key, value] : lookup.values) {
      const auto parsed = value_of(to, value);
      if (!parsed) return add_fault(to.name, "cannot hold \"" + value + "\", the value for " + key), false;
      if (!is_valid_value(from, key))
        return add_fault(to.name, from.name + " cannot have the value \"" + key + "\""), false;
      compiled.rows.emplace_back(key, *parsed);
    }
    step.op = Op::kLookup;
    step.from = static_cast<std::uint8_t>(source);
    step.source_always_present = from.required;
    // A table with a row for every word of its source always has a match.
    step.needs_check = from.type != FieldType::kWord || compiled.rows.size() != from.allowed_values.size();
    step.operand = static_cast<std::uint16_t>(program_.lookup_tables_.size());
    program_.lookup_tables_.push_back(std::move(compiled));
    lookup_sources_.push_back(source);
    description = "looked up by " + from.name + ", " + std::to_string(lookup.values.size()) + " values";
    return true;
  }

  /// Adds a step after checking that its fallback covers every case in which the source gives no valid value.
  void add_step(Step step, const FieldSpec& spec, const MappingRow* row, std::string description) {
    const bool value_may_be_invalid = step.needs_check || step.op == Op::kRule;
    const bool source_may_be_missing = !step.source_always_present && spec.required;
    if (row != nullptr && row->fallback) {
      if (std::holds_alternative<LeaveOut>(*row->fallback)) {
        if (spec.required) return add_fault(spec.name, "is required and cannot be left out");
        step.otherwise = Fallback::kLeaveOut;
        description += "; otherwise left out";
      } else if (const auto* constant = std::get_if<Constant>(&*row->fallback)) {
        const auto parsed = value_of(spec, constant->value);
        if (!parsed) return add_fault(spec.name, "cannot hold the constant \"" + constant->value + "\"");
        step.otherwise = is_text(spec.type) ? Fallback::kText : Fallback::kNumber;
        step.fallback_constant = static_cast<std::uint16_t>(program_.constants_.size());
        program_.constants_.push_back(*parsed);
        description += "; otherwise \"" + constant->value + "\"";
      } else if (value_may_be_invalid || source_may_be_missing) {
        description += "; otherwise not eligible";
      }
    } else if (source_may_be_missing) {
      return add_fault(spec.name, "is required, and its source may be missing: its row needs \"otherwise\"");
    } else if (value_may_be_invalid) {
      return add_fault(spec.name, "may get a value that it cannot hold (" + description +
                                      "): its row needs \"otherwise\"");
    }
    program_.steps_.push_back(step);
    add_note(spec.name, std::move(description));
  }

  void add_note(const std::string& field, std::string text) {
    program_.notes_.push_back({field, std::move(text), false});
  }

  /// Reports source fields that are neither carried to the target nor declared lost, so that no field is lost
  /// unnoticed.
  void check_losses() {
    for (std::size_t i = 0; i < sources().size(); ++i) {
      if (is_carried_[i]) continue;
      const MappingRow* declared = nullptr;
      for (const auto* table : {&operator_table_, &builtin_table()}) {
        for (const auto& row : table->rows) {
          if (declared != nullptr || !specificity(row) || row.lost_field.empty() ||
              resolve(sources(), row.lost_field) != i)
            continue;
          declared = &row;
        }
      }
      const bool has_one_value =
          sources()[i].type == FieldType::kWord && sources()[i].allowed_values.size() == 1;
      if (declared != nullptr) {
        program_.notes_.push_back(
            {sources()[i].name,
             "lost: " + (declared->loss_reason.empty() ? "declared" : declared->loss_reason), true});
      } else if (std::find(lookup_sources_.begin(), lookup_sources_.end(), i) != lookup_sources_.end()) {
        // The field has selected the value of another field, which carries its information.
        program_.notes_.push_back({sources()[i].name,
                                   "not copied; it selects the value of another field by a lookup table",
                                   false});
      } else if (!has_one_value) {
        add_fault(sources()[i].name, "is not carried to any field and not declared lost");
      }
    }
  }

  const Dialect& from_;
  const Dialect& to_;
  MessageKind kind_;
  const MappingTable& operator_table_;
  std::vector<std::string>& faults_;
  std::vector<bool> is_carried_;
  std::vector<std::size_t> lookup_sources_;
  Program program_;
};

std::optional<Program> compile(const Dialect& from, const Dialect& to, MessageKind kind,
                               const MappingTable& operator_table, std::vector<std::string>& faults) {
  return Compiler(from, to, kind, operator_table, faults).compile();
}

std::optional<Mapping> compile(const Dialect& client, const Dialect& server,
                               const MappingTable& operator_table, std::vector<std::string>& faults) {
  const auto previous_faults = faults.size();
  for (const auto* dialect : {&client, &server}) {
    for (auto& fault : faults_of(*dialect)) faults.push_back(std::move(fault));
  }
  if (client.reason_codes.empty()) faults.push_back(client.name + ": has no codes for how a call ends");
  if (server.errors.empty())
    faults.push_back(server.name + ": has no errors, but a server dialect needs some");
  auto set_up = compile(client, server, MessageKind::kSetUp, operator_table, faults);
  auto give_up = compile(client, server, MessageKind::kGiveUp, operator_table, faults);
  auto release_to_server = compile(client, server, MessageKind::kRelease, operator_table, faults);
  auto answer = compile(server, client, MessageKind::kAnswer, operator_table, faults);
  auto release_to_client = compile(server, client, MessageKind::kRelease, operator_table, faults);
  if (faults.size() > previous_faults) return std::nullopt;
  return Mapping{&client,
                 &server,
                 std::move(*set_up),
                 std::move(*give_up),
                 std::move(*release_to_server),
                 std::move(*answer),
                 std::move(*release_to_client)};
}

}  // namespace amberknot::translate
