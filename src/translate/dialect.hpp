// One version of one protocol: the fields of its messages, what each may hold, which must be there, the
// errors that a server may answer and the words that a client understands.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "translate/canonical.hpp"

namespace amberknot::translate {

/// How a field's value is held in a Record.
enum class Type : std::uint8_t {
  kText,      ///< any bytes; `least` and `most` are its length
  kToken,     ///< printable ASCII without spaces; length as above
  kDigits,    ///< decimal digits; length as above
  kHex,       ///< lower-case hex digits; length as above
  kWord,      ///< one of `words`
  kNumber,    ///< an integer; `least` and `most` are its range
  kDuration,  ///< an integer of `unit` microseconds; the range is in microseconds
};
std::string_view name_of(Type type);
inline constexpr bool is_textual(Type type) {
  return type <= Type::kWord;
}

struct FieldSpec {
  std::string name;  ///< as on the wire
  Meaning meaning = Meaning::kNone;
  Type type = Type::kText;
  std::int64_t least = 0;
  std::int64_t most = 0;
  bool required = false;
  std::int64_t unit = 1000;             ///< kDuration: microseconds of one
  std::vector<std::string> words = {};  ///< kWord
};

/// An error of a server's dialect, by number: a status, Result-Code or response code, both ends included. A
/// named error (a problem type of RFC 9457) has the name too, and goes before those that have none.
struct ErrorSpec {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string name;  ///< empty: any of these numbers that no named error takes
  ErrorMeaning meaning;
};

/// What a client's dialect says for a reason.
struct WordSpec {
  Reason reason{};
  std::uint32_t code = 0;  ///< Q.850 cause, Result-Code or response code
  std::string text = {};   ///< what the code is called there
};

struct Dialect {
  std::string name;
  std::uint32_t version = 1;
  std::vector<FieldSpec> fields[kKinds];  ///< by Kind; at most kMostFields each
  std::vector<ErrorSpec> errors;          ///< servers' dialects
  std::vector<WordSpec> words;            ///< clients' dialects
  bool states_retry_after = false;        ///< a refusal can say when to come back

  [[nodiscard]] const std::vector<FieldSpec>& of(Kind kind) const {
    return fields[static_cast<std::size_t>(kind)];
  }
};
inline constexpr std::size_t kMaxFields = 32;

/// Index of the field of that name; none: the number of fields.
std::size_t index_of(const std::vector<FieldSpec>& fields, std::string_view name);
/// The same by what the field means; no two fields of a message mean the same, and none is found for kNone.
std::size_t index_of(const std::vector<FieldSpec>& fields, Meaning meaning);

/// What the value of a field is checked by, at either side.
bool holds(const FieldSpec& spec, std::string_view text);
bool holds(const FieldSpec& spec, std::int64_t number);

/// Faults of a dialect itself: names that come twice, empty ranges, errors that overlap, reasons without a
/// word. Each names the field. Empty: it is sound.
std::vector<std::string> faults_of(const Dialect& dialect);

/// The project's own dialects, in the order of docs/translation.md.
/// Clients: "json-lines", "diameter", "iso8583". Servers: "sip", "diameter-server", "session-1", "session-2".
const std::vector<Dialect>& dialects();
const Dialect* find_dialect(std::string_view name);

/// The one meaning of an error answer: that of the named error, else of the number, else of its class
/// (the hundred or thousand that it is in), else a fault of the server that may have run.
ErrorMeaning meaning_of(const Dialect& dialect, std::uint32_t code, std::string_view name = {});

/// What this client is told for that reason: its own word or that of the reason above it.
const WordSpec& word_for(const Dialect& dialect, Reason reason);

}  // namespace amberknot::translate
