// Translation of messages from one dialect to another. When the router starts, the rows of the tables are
// compiled to one flat program of field operations for each kind of message. Compilation fails, naming the
// field, if the rows do not cover every valid message. Running a program neither looks up names nor allocates
// memory.
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

/// The fields of one message, each at its index in the dialect. Texts are views into the message that was
/// read or, if a program produced them, into the record itself; a record is therefore neither copied nor
/// moved.
class Record {
 public:
  Record() = default;
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  /// Removes all fields.
  void clear() {
    present_ = 0;
    used_ = 0;
  }
  [[nodiscard]] bool has(std::size_t field) const { return (present_ >> field & 1U) != 0; }
  /// The value of a field that is present and has a textual type.
  [[nodiscard]] std::string_view text(std::size_t field) const { return texts_[field]; }
  /// The value of a field that is present and has a numeric type.
  [[nodiscard]] std::int64_t number(std::size_t field) const { return numbers_[field]; }
  void set(std::size_t field, std::string_view text) {
    texts_[field] = text;
    present_ |= 1U << field;
  }
  void set(std::size_t field, std::int64_t number) {
    numbers_[field] = number;
    present_ |= 1U << field;
  }
  /// Reserves space in the record for a text that a program produces. Returns null if there is not enough
  /// left.
  char* allocate_text(std::size_t size) {
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
  std::array<char, kMaxFields * kMaxDerivedBytes> own_{};
};

/// Returns the index of the first field that is required but missing, or has an invalid value. Returns
/// nullopt if the record is valid.
std::optional<std::size_t> find_invalid_field(const std::vector<FieldSpec>& fields, const Record& record);

/// Why a message cannot be translated to the other dialect.
enum class MappingFailure : std::uint8_t { kNone, kSourceMissing, kValueInvalid, kNotInTable };
/// Describes the failure for an operator.
std::string_view describe(MappingFailure failure);

/// Result of a translation; false if the message is not eligible for the other dialect. Then `field` is the
/// index of the target field that has no valid value.
struct MappingResult {
  MappingFailure failure = MappingFailure::kNone;
  std::uint8_t field = 0;
  explicit operator bool() const { return failure == MappingFailure::kNone; }
};

/// The compiled translation of one kind of message from one dialect to another. Immutable once compiled.
class Program {
 public:
  /// Translates `from`, which must be valid by find_invalid_field(), to `to`, which is cleared first. The
  /// texts of `to` may be views into the same data as those of `from`, and into the program.
  MappingResult translate_record(const Record& from, Record& to) const;

  /// The fields of the target message.
  [[nodiscard]] const std::vector<FieldSpec>& to_fields() const { return to_; }
  /// Number of steps.
  [[nodiscard]] std::size_t steps() const { return steps_.size(); }

  /// Explanation of one field for operators: the source of a target field and its fallback, or what
  /// happens to a source field that is not copied.
  struct FieldNote {
    std::string field;
    std::string text;
    bool lost = false;  ///< whether this is a source field with a declared loss
  };
  [[nodiscard]] const std::vector<FieldNote>& notes() const { return notes_; }

 private:
  friend class Compiler;
  /// How the value of a target field is produced.
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
  /// What happens to a target field whose source is missing or gives an invalid value.
  enum class Fallback : std::uint8_t { kNotEligible, kLeaveOut, kText, kNumber };
  /// Operation that sets one target field.
  struct Step {
    Op op = Op::kText;
    std::uint8_t from = 0;               ///< index of the source field
    std::uint8_t to = 0;                 ///< index of the target field
    bool needs_check = true;             ///< whether the value may be invalid for the target field
    bool source_always_present = false;  ///< true for required source fields and constants
    bool target_optional = false;        ///< whether the target field is optional
    Fallback otherwise = Fallback::kNotEligible;
    std::uint16_t operand = 0;            ///< index in constants_, lookup_tables_ or rules_, by `op`
    std::uint16_t fallback_constant = 0;  ///< index in constants_ for Fallback::kText and kNumber
    std::int64_t multiplier = 1;          ///< kScale: the value is multiplied by this ...
    std::int64_t divisor = 1;             ///< ... and then divided by this, rounded down
  };
  struct Value {
    std::string text;
    std::int64_t number = 0;
  };
  struct LookupTable {
    std::vector<std::pair<std::string, Value>> rows;  ///< sorted by key
    /// Returns null if there is no row for the key.
    [[nodiscard]] const Value* find(std::string_view key) const;
  };

  /// Sets the step's target field. Returns false if the source value is invalid for it.
  bool apply(const Step& step, const Record& from, Record& to) const;
  bool fits(const Step& step, std::string_view text) const {
    return !step.needs_check || is_valid_value(to_[step.to], text);
  }
  bool fits(const Step& step, std::int64_t number) const {
    return !step.needs_check || is_valid_value(to_[step.to], number);
  }

  std::vector<Step> steps_;
  std::vector<Value> constants_;
  std::vector<LookupTable> lookup_tables_;
  std::vector<RuleFunction> rules_;
  std::vector<FieldSpec> to_;  ///< the fields of the target message
  std::vector<FieldNote> notes_;
};

/// Compiles the program for one kind of message. Appends every fault to `faults` with the name of its field,
/// as "json-lines → session-2, set-up: region: …". Returns nullopt if there is any.
std::optional<Program> compile(const Dialect& from, const Dialect& to, MessageKind kind,
                               const MappingTable& operator_table, std::vector<std::string>& faults);

/// All programs between a client's dialect and a server's dialect.
struct Mapping {
  const Dialect* client = nullptr;
  const Dialect* server = nullptr;
  Program set_up, give_up, release_to_server;  ///< from client to server
  Program answer, release_to_client;           ///< from server to client
};
/// Compiles all programs for a pair of dialects, with faults as above.
std::optional<Mapping> compile(const Dialect& client, const Dialect& server,
                               const MappingTable& operator_table, std::vector<std::string>& faults);

}  // namespace amberknot::translate
