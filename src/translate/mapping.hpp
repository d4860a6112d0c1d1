// From one dialect to another: the rows of the tables, compiled at the start into a flat program of field
// moves for each kind of message. What is not total is refused then, with the field's name; at run time
// nothing is looked up by name and nothing is allocated.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "translate/dialect.hpp"
#include "translate/table.hpp"

namespace amberknot::translate {

/// One message: a value for each field of its dialect, by the field's index. Texts are views into the message
/// that was read or, where a program made them, into the record itself: a record is not copied or moved.
class Record {
 public:
  Record() = default;
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void clear() {
    present_ = 0;
    used_ = 0;
  }
  [[nodiscard]] bool has(std::size_t field) const { return (present_ >> field & 1U) != 0; }
  [[nodiscard]] std::string_view text(std::size_t field) const { return texts_[field]; }
  [[nodiscard]] std::int64_t number(std::size_t field) const { return numbers_[field]; }
  void set(std::size_t field, std::string_view text) {
    texts_[field] = text;
    present_ |= 1U << field;
  }
  void set(std::size_t field, std::int64_t number) {
    numbers_[field] = number;
    present_ |= 1U << field;
  }
  /// Room for a text that a program makes; null: there is none left.
  char* room(std::size_t size) {
    if (used_ + size > own_.size()) return nullptr;
    char* at = own_.data() + used_;
    used_ += size;
    return at;
  }

 private:
  std::uint32_t present_ = 0;
  std::size_t used_ = 0;
  std::array<std::string_view, kMaxFields> texts_{};
  std::array<std::int64_t, kMaxFields> numbers_{};
  std::array<char, kMaxFields * kMaxDerived> own_{};
};

/// A record against its dialect's fields: the index of the first that is missing though required, or holds
/// what it may not; none: it is sound.
std::optional<std::size_t> fault_in(const std::vector<FieldSpec>& fields, const Record& record);

/// Why a message cannot be said in the other dialect.
enum class Bar : std::uint8_t { kNone, kMissing, kNotTaken, kNotListed };
std::string_view text_of(Bar bar);

/// What a run gave. Not eligible: the field of the target that nothing could be found for, and why.
struct Said {
  Bar bar = Bar::kNone;
  std::uint8_t field = 0;
  explicit operator bool() const { return bar == Bar::kNone; }
};

class Program {
 public:
  /// `from` may be any record of its dialect that fault_in() finds nothing in. `to` is cleared first; it
  /// refers to what `from` refers to.
  Said run(const Record& from, Record& to) const;

  [[nodiscard]] const std::vector<FieldSpec>& to_fields() const { return to_; }
  [[nodiscard]] std::size_t steps() const { return steps_.size(); }

  /// One line for each field of either side: where it comes from, what happens otherwise, what is lost and
  /// why.
  struct Line {
    std::string field;
    std::string says;
    bool lost = false;
  };
  [[nodiscard]] const std::vector<Line>& lines() const { return lines_; }

 private:
  friend class Compiler;
  enum class Op : std::uint8_t {
    kText,
    kNumber,
    kScale,
    kParse,
    kPrint,
    kConstText,
    kConstNumber,
    kLookup,
    kRule
  };
  enum class Else : std::uint8_t { kBar, kLeaveOut, kText, kNumber };
  struct Step {
    Op op = Op::kText;
    std::uint8_t from = 0;
    std::uint8_t to = 0;
    bool checked = true;    ///< whether the value has to be held against the target's range
    bool always = false;    ///< whether the source is always there
    bool optional = false;  ///< an absent source leaves the target out
    Else otherwise = Else::kBar;
    std::uint16_t aux = 0;       ///< of the constants, tables or rules
    std::uint16_t fallback = 0;  ///< of the constants
    std::int64_t times = 1;      ///< kScale
    std::int64_t over = 1;
  };
  struct Value {
    std::string text;
    std::int64_t number = 0;
  };
  struct List {
    std::vector<std::pair<std::string, Value>> rows;  ///< sorted by key
    [[nodiscard]] const Value* find(std::string_view key) const;
  };

  bool put(const Step& step, const Record& from, Record& to) const;
  bool fits(const Step& step, std::string_view text) const {
    return !step.checked || holds(to_[step.to], text);
  }
  bool fits(const Step& step, std::int64_t number) const {
    return !step.checked || holds(to_[step.to], number);
  }

  std::vector<Step> steps_;
  std::vector<Value> constants_;
  std::vector<List> lists_;
  std::vector<RuleFunction> rules_;
  std::vector<FieldSpec> to_;
  std::vector<Line> lines_;
};

/// Compiles one kind of message. Every fault is told, each with the field's name: "a → b, set-up: region: …".
std::optional<Program> compile(const Dialect& from, const Dialect& to, Kind kind, const Table& operators,
                               std::vector<std::string>& faults);

/// All programs between a client's dialect and a server's: `there` for what goes to the server, `back` for
/// what comes from it.
struct Mapping {
  const Dialect* client = nullptr;
  const Dialect* server = nullptr;
  Program set_up, give_up, release_there;
  Program answer, release_back;
};
std::optional<Mapping> compile(const Dialect& client, const Dialect& server, const Table& operators,
                               std::vector<std::string>& faults);

}  // namespace amberknot::translate
