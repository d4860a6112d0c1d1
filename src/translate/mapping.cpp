#include "translate/mapping.hpp"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace amberknot::translate {

std::optional<std::size_t> fault_in(const std::vector<FieldSpec>& fields, const Record& record) {
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (!record.has(i)) {
      if (fields[i].required) return i;
      continue;
    }
    const bool good =
        is_textual(fields[i].type) ? holds(fields[i], record.text(i)) : holds(fields[i], record.number(i));
    if (!good) return i;
  }
  return std::nullopt;
}

std::string_view text_of(Bar bar) {
  switch (bar) {
    case Bar::kNone:
      return "said";
    case Bar::kMissing:
      return "nothing to say it with";
    case Bar::kNotTaken:
      return "its value is not taken there";
    case Bar::kNotListed:
      return "its value is not in the table";
  }
  return "";
}

// ---- running --------------------------------------------------------------------------------------------

const Program::Value* Program::List::find(std::string_view key) const {
  const auto found = std::lower_bound(rows.begin(), rows.end(), key,
                                      [](const auto& row, std::string_view k) { return row.first < k; });
  return found != rows.end() && found->first == key ? &found->second : nullptr;
}

bool Program::put(const Step& step, const Record& from, Record& to) const {
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
        // Rounded down: a patience told longer than it is would outlast the caller's.
        std::int64_t product = 0;
        if (__builtin_mul_overflow(number, step.times, &product)) return false;
        number = product / step.over;
      }
      if (!fits(step, number)) return false;
      to.set(step.to, number);
      return true;
    }
    case Op::kParse: {
      const auto text = from.text(step.from);
      std::int64_t number = 0;
      const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), number);
      if (bad != std::errc{} || end != text.data() + text.size() || !fits(step, number)) return false;
      to.set(step.to, number);
      return true;
    }
    case Op::kPrint: {
      char* at = to.room(kMaxDerived);
      if (at == nullptr) return false;
      const auto [end, bad] = std::to_chars(at, at + kMaxDerived, from.number(step.from));
      const std::string_view text(at, static_cast<std::size_t>(end - at));
      if (bad != std::errc{} || !fits(step, text)) return false;
      to.set(step.to, text);
      return true;
    }
    case Op::kConstText:
      to.set(step.to, constants_[step.aux].text);
      return true;
    case Op::kConstNumber:
      to.set(step.to, constants_[step.aux].number);
      return true;
    case Op::kLookup: {
      const auto* found = lists_[step.aux].find(from.text(step.from));
      if (found == nullptr) return false;
      // Held against the target when it was compiled.
      if (is_textual(to_[step.to].type)) {
        to.set(step.to, std::string_view(found->text));
      } else {
        to.set(step.to, found->number);
      }
      return true;
    }
    case Op::kRule: {
      char* at = to.room(kMaxDerived);
      std::size_t size = 0;
      if (at == nullptr || !rules_[step.aux](from.text(step.from), to_[step.to], at, size)) return false;
      const std::string_view text(at, size);
      if (!holds(to_[step.to], text)) return false;
      to.set(step.to, text);
      return true;
    }
  }
  return false;
}

Said Program::run(const Record& from, Record& to) const {
  to.clear();
  for (const auto& step : steps_) {
    const bool there = step.always || from.has(step.from);
    if (there && put(step, from, to)) continue;
    // An optional field that nobody gave is no loss.
    if (!there && step.optional && step.otherwise != Else::kText && step.otherwise != Else::kNumber) continue;
    switch (step.otherwise) {
      case Else::kBar:
        return {!there ? Bar::kMissing : step.op == Op::kLookup ? Bar::kNotListed : Bar::kNotTaken, step.to};
      case Else::kLeaveOut:
        break;
      case Else::kText:
        to.set(step.to, constants_[step.fallback].text);
        break;
      case Else::kNumber:
        to.set(step.to, constants_[step.fallback].number);
        break;
    }
  }
  return {};
}

// ---- compiling ------------------------------------------------------------------------------------------

class Compiler {
 public:
  Compiler(const Dialect& from, const Dialect& to, Kind kind, const Table& operators,
           std::vector<std::string>& faults)
      : from_(from),
        to_(to),
        kind_(kind),
        operators_(operators),
        faults_(faults),
        carried_(from.of(kind).size()) {}

  std::optional<Program> compile() {
    const auto before = faults_.size();
    program_.to_ = to_.of(kind_);
    for (std::size_t i = 0; i < program_.to_.size(); ++i) field(i);
    losses();
    if (faults_.size() > before) return std::nullopt;
    return std::move(program_);
  }

 private:
  using Step = Program::Step;
  using Op = Program::Op;
  using Else = Program::Else;

  void fault(const std::string& field, const std::string& what) {
    faults_.push_back(from_.name + " → " + to_.name + ", " + std::string(name_of(kind_)) + ": " + field +
                      ": " + what);
  }

  [[nodiscard]] const std::vector<FieldSpec>& sources() const { return from_.of(kind_); }

  /// By name or `@meaning`; none: the number of fields.
  static std::size_t resolve(const std::vector<FieldSpec>& fields, const FieldName& name) {
    if (name.empty() || name.front() != '@') return index_of(fields, name);
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto& field) {
      return field.meaning != Meaning::kNone && name_of(field.meaning) == std::string_view(name).substr(1);
    });
    return static_cast<std::size_t>(found - fields.begin());
  }

  /// How well a row names this pair: the more, the better; none: it does not.
  [[nodiscard]] std::optional<int> rank(const Row& row) const {
    if (row.kind != kind_) return std::nullopt;
    if (row.from != "*" && row.from != from_.name) return std::nullopt;
    if (row.to != "*" && row.to != to_.name) return std::nullopt;
    return (row.from != "*" ? 1 : 0) + (row.to != "*" ? 1 : 0);
  }

  /// The row of that target field, operators' before our own, the closer before the wider.
  const Row* row_of(std::size_t target, bool& twice) {
    const Row* best = nullptr;
    int best_rank = -1;
    twice = false;
    const auto look = [&](const Table& table, int base) {
      for (const auto& row : table.rows) {
        const auto ranked = rank(row);
        if (!ranked || row.field.empty() || resolve(program_.to_, row.field) != target) continue;
        if (base + *ranked == best_rank) twice = true;
        if (base + *ranked <= best_rank) continue;
        best = &row;
        best_rank = base + *ranked;
        twice = false;
      }
    };
    look(own_table(), 0);
    look(operators_, 10);
    return best;
  }

  void field(std::size_t target) {
    const auto& spec = program_.to_[target];
    bool twice = false;
    const Row* row = row_of(target, twice);
    if (twice) return fault(spec.name, "two rows say where it comes from");
    Step step;
    step.to = static_cast<std::uint8_t>(target);
    step.optional = !spec.required;
    std::string says;
    if (row == nullptr) {
      const auto source = index_of(sources(), spec.meaning);
      if (source == sources().size()) {
        if (spec.required) fault(spec.name, "is required and nothing says where it comes from");
        return;
      }
      if (!copy(step, spec, source, says)) return;
    } else if (const auto* from = std::get_if<Copy>(&*row->source)) {
      const auto source = resolve(sources(), from->of);
      // A row for any dialect may name what this one does not have.
      if (source == sources().size()) return without_source(step, spec, *row, from->of);
      if (!copy(step, spec, source, says)) return;
    } else if (const auto* constant = std::get_if<Constant>(&*row->source)) {
      if (!constant_of(step, spec, constant->value)) return;
      says = "the constant \"" + constant->value + "\"";
    } else if (const auto* derived = std::get_if<Derived>(&*row->source)) {
      const auto source = resolve(sources(), derived->of);
      if (source == sources().size()) return without_source(step, spec, *row, derived->of);
      if (!rule(step, spec, source, *derived, says)) return;
    } else {
      const auto& lookup = std::get<Lookup>(*row->source);
      const auto source = resolve(sources(), lookup.by);
      if (source == sources().size()) return without_source(step, spec, *row, lookup.by);
      if (!list(step, spec, source, lookup, says)) return;
    }
    finish(step, spec, row, std::move(says));
  }

  /// The row's source is none of this dialect's fields: it is never there.
  void without_source(Step& step, const FieldSpec& spec, const Row& row, const FieldName& name) {
    if (row.otherwise && std::holds_alternative<Constant>(*row.otherwise)) {
      if (!constant_of(step, spec, std::get<Constant>(*row.otherwise).value)) return;
      step.checked = false;
      step.always = true;
      program_.steps_.push_back(step);
      line(spec.name,
           "the constant \"" + std::get<Constant>(*row.otherwise).value + "\", for want of " + name);
    } else if (row.otherwise && std::holds_alternative<NotEligible>(*row.otherwise) && spec.required) {
      fault(spec.name,
            "has no source, since " + from_.name + " has no " + name + ": no message could be said");
    } else if (spec.required) {
      fault(spec.name, "is required, and " + from_.name + " has no " + name);
    }
  }

  bool copy(Step& step, const FieldSpec& to, std::size_t source, std::string& says) {
    const auto& from = sources()[source];
    step.from = static_cast<std::uint8_t>(source);
    carried_[source] = true;
    step.always = from.required;
    says = "copied from " + from.name;
    const bool duration = from.type == Type::kDuration && to.type == Type::kDuration;
    if (is_textual(from.type) && is_textual(to.type)) {
      step.op = Op::kText;
      step.checked = !text_within(from, to);
    } else if (duration && from.unit != to.unit) {
      const auto common = std::gcd(from.unit, to.unit);
      step.op = Op::kScale;
      step.times = from.unit / common;
      step.over = to.unit / common;
      says += ", " + std::to_string(from.unit) + " µs to " + std::to_string(to.unit) + " µs";
    } else if (from.type == to.type) {
      step.op = Op::kNumber;
      step.checked = from.least < to.least || from.most > to.most;
    } else if (from.type == Type::kDigits && to.type == Type::kNumber) {
      step.op = Op::kParse;
      // Up to 18 digits fit; their range is that of their length.
      std::int64_t most = 1;
      for (std::int64_t i = 0; i < std::min<std::int64_t>(from.most, 18); ++i) most *= 10;
      step.checked = from.most > 18 || to.least > 0 || most - 1 > to.most;
    } else if (from.type == Type::kNumber && is_textual(to.type)) {
      step.op = Op::kPrint;
    } else {
      fault(to.name, "is a " + std::string(name_of(to.type)) + ", and " + from.name + " a " +
                         std::string(name_of(from.type)) + ": name a rule or a table");
      return false;
    }
    return true;
  }

  /// Whether all that `from` may hold, `to` may hold.
  static bool text_within(const FieldSpec& from, const FieldSpec& to) {
    if (from.type == Type::kWord) {
      return std::all_of(from.words.begin(), from.words.end(),
                         [&to](const auto& word) { return holds(to, word); });
    }
    if (to.type == Type::kWord || from.least < to.least || from.most > to.most) return false;
    const auto width = [](Type type) {
      return type == Type::kText ? 3 : type == Type::kToken ? 2 : type == Type::kHex ? 1 : 0;
    };
    return width(from.type) <= width(to.type);
  }

  bool constant_of(Step& step, const FieldSpec& spec, const std::string& value) {
    const auto made = value_of(spec, value);
    if (!made) {
      fault(spec.name, "cannot hold the constant \"" + value + "\"");
      return false;
    }
    step.op = is_textual(spec.type) ? Op::kConstText : Op::kConstNumber;
    step.aux = static_cast<std::uint16_t>(program_.constants_.size());
    step.always = true;
    step.checked = false;
    program_.constants_.push_back(*made);
    return true;
  }

  static std::optional<Program::Value> value_of(const FieldSpec& spec, const std::string& text) {
    if (is_textual(spec.type)) {
      return holds(spec, text) ? std::optional(Program::Value{text, 0}) : std::nullopt;
    }
    std::int64_t number = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (bad != std::errc{} || end != text.data() + text.size() || !holds(spec, number)) return std::nullopt;
    return Program::Value{text, number};
  }

  bool rule(Step& step, const FieldSpec& to, std::size_t source, const Derived& derived, std::string& says) {
    const auto& from = sources()[source];
    const auto* found = find_rule(derived.rule);
    if (found == nullptr) return fault(to.name, "\"" + derived.rule + "\" is no rule"), false;
    if (!is_textual(from.type) || !is_textual(to.type)) {
      return fault(to.name, "rules make texts out of texts, and one of the two is none"), false;
    }
    step.op = Op::kRule;
    step.from = static_cast<std::uint8_t>(source);
    step.always = from.required;
    step.aux = static_cast<std::uint16_t>(program_.rules_.size());
    program_.rules_.push_back(found->make);
    carried_[source] = true;
    says = "by the rule " + derived.rule + " of " + from.name + ": " + std::string(found->what);
    return true;
  }

  bool list(Step& step, const FieldSpec& to, std::size_t source, const Lookup& lookup, std::string& says) {
    const auto& from = sources()[source];
    if (!is_textual(from.type)) return fault(to.name, from.name + " is no text to look up"), false;
    Program::List made;
    for (const auto& [key, value] : lookup.table) {
      const auto read = value_of(to, value);
      if (!read) return fault(to.name, "cannot hold \"" + value + "\", the value for " + key), false;
      if (!holds(from, key)) return fault(to.name, from.name + " is never \"" + key + "\""), false;
      made.rows.emplace_back(key, *read);
    }
    step.op = Op::kLookup;
    step.from = static_cast<std::uint8_t>(source);
    step.always = from.required;
    // A table that has every word of its source cannot miss.
    step.checked = from.type != Type::kWord || made.rows.size() != from.words.size();
    step.aux = static_cast<std::uint16_t>(program_.lists_.size());
    program_.lists_.push_back(std::move(made));
    looked_at_.push_back(source);
    says = "by " + from.name + ", " + std::to_string(lookup.table.size()) + " values";
    return true;
  }

  void finish(Step step, const FieldSpec& spec, const Row* row, std::string says) {
    const bool may_fail = step.checked || step.op == Op::kRule;
    const bool may_lack = !step.always && spec.required;
    if (row != nullptr && row->otherwise) {
      if (std::holds_alternative<LeaveOut>(*row->otherwise)) {
        if (spec.required) return fault(spec.name, "is required and cannot be left out");
        step.otherwise = Else::kLeaveOut;
        says += "; otherwise left out";
      } else if (const auto* constant = std::get_if<Constant>(&*row->otherwise)) {
        const auto made = value_of(spec, constant->value);
        if (!made) return fault(spec.name, "cannot hold the constant \"" + constant->value + "\"");
        step.otherwise = is_textual(spec.type) ? Else::kText : Else::kNumber;
        step.fallback = static_cast<std::uint16_t>(program_.constants_.size());
        program_.constants_.push_back(*made);
        says += "; otherwise \"" + constant->value + "\"";
      } else if (may_fail || may_lack) {
        says += "; otherwise not eligible";
      }
    } else if (may_lack) {
      return fault(spec.name, "is required, and its source may be missing: say otherwise");
    } else if (may_fail) {
      return fault(spec.name, "may be given what it cannot hold (" + says + "): say otherwise");
    }
    program_.steps_.push_back(step);
    line(spec.name, std::move(says));
  }

  void line(const std::string& field, std::string says) {
    program_.lines_.push_back({field, std::move(says), false});
  }

  /// What the other side has no place for must be declared, so that nothing is lost without anybody's
  /// knowing.
  void losses() {
    for (std::size_t i = 0; i < sources().size(); ++i) {
      if (carried_[i]) continue;
      const Row* declared = nullptr;
      for (const auto* table : {&operators_, &own_table()}) {
        for (const auto& row : table->rows) {
          if (declared != nullptr || !rank(row) || row.lost.empty() || resolve(sources(), row.lost) != i)
            continue;
          declared = &row;
        }
      }
      const bool constant_word = sources()[i].type == Type::kWord && sources()[i].words.size() == 1;
      if (declared != nullptr) {
        program_.lines_.push_back(
            {sources()[i].name, "lost: " + (declared->why.empty() ? "declared" : declared->why), true});
      } else if (std::find(looked_at_.begin(), looked_at_.end(), i) != looked_at_.end()) {
        // It has chosen another field's value, and is carried by that.
        program_.lines_.push_back({sources()[i].name, "carried by what it was looked up for", false});
      } else if (!constant_word) {
        fault(sources()[i].name, "is carried nowhere and not declared lost");
      }
    }
  }

  const Dialect& from_;
  const Dialect& to_;
  Kind kind_;
  const Table& operators_;
  std::vector<std::string>& faults_;
  std::vector<bool> carried_;
  std::vector<std::size_t> looked_at_;
  Program program_;
};

std::optional<Program> compile(const Dialect& from, const Dialect& to, Kind kind, const Table& operators,
                               std::vector<std::string>& faults) {
  return Compiler(from, to, kind, operators, faults).compile();
}

std::optional<Mapping> compile(const Dialect& client, const Dialect& server, const Table& operators,
                               std::vector<std::string>& faults) {
  const auto before = faults.size();
  for (const auto* dialect : {&client, &server}) {
    for (auto& fault : faults_of(*dialect)) faults.push_back(std::move(fault));
  }
  if (client.words.empty()) faults.push_back(client.name + ": has no words for how a call ends");
  if (server.errors.empty()) faults.push_back(server.name + ": has no errors, and every server has some");
  auto set_up = compile(client, server, Kind::kSetUp, operators, faults);
  auto give_up = compile(client, server, Kind::kGiveUp, operators, faults);
  auto there = compile(client, server, Kind::kRelease, operators, faults);
  auto answer = compile(server, client, Kind::kAnswer, operators, faults);
  auto back = compile(server, client, Kind::kRelease, operators, faults);
  if (faults.size() > before) return std::nullopt;
  return Mapping{&client,
                 &server,
                 std::move(*set_up),
                 std::move(*give_up),
                 std::move(*there),
                 std::move(*answer),
                 std::move(*back)};
}

}  // namespace amberknot::translate
