// Description of a dialect, that is, one version of one protocol: the fields of its messages with their types
// and ranges, the errors that its servers may answer, and the codes by which its clients learn how a call
// ended.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "translate/canonical.hpp"

namespace amberknot::translate {

/// The type of a field's value. Textual types are held in a Record as texts, the others as integers.
enum class FieldType : std::uint8_t {
  kText,      ///< any bytes; `min` and `max` bound the length in bytes
  kToken,     ///< printable ASCII without spaces; length in bytes as above
  kDigits,    ///< decimal digits; length in bytes as above
  kHex,       ///< lower-case hex digits; length in bytes as above
  kWord,      ///< one of `allowed_values`
  kNumber,    ///< an integer from `min` to `max`
  kDuration,  ///< a count of `unit` microseconds; `min` and `max` are in microseconds
};
/// The name of a type in messages for operators.
std::string_view name_of(FieldType type);
/// Whether values of the type are texts rather than integers.
inline constexpr bool is_text(FieldType type) {
  return type <= FieldType::kWord;
}

/// Description of one field of a message.
struct FieldSpec {
  std::string name;  ///< the field's name on the wire
  Meaning meaning = Meaning::kNone;
  FieldType type = FieldType::kText;
  std::int64_t min = 0;
  std::int64_t max = 0;
  bool required = false;
  std::int64_t unit = 1000;                      ///< kDuration: length of one unit in microseconds
  std::vector<std::string> allowed_values = {};  ///< kWord: the allowed values
};

/// An error of a server's dialect, by its range of codes (HTTP or SIP status, Result-Code or response code;
/// both ends included). A named error (such as a problem type of RFC 9457) also requires the name, and takes
/// precedence over errors without a name.
struct ErrorSpec {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string name;  ///< empty: matches any name for which there is no named error
  ErrorClassification meaning;
};

/// The code by which a client's dialect reports a reason.
struct ReasonCode {
  Reason reason{};
  std::uint32_t code = 0;  ///< Q.850 cause, Result-Code or response code
  std::string name = {};   ///< name of the code in that protocol
};

/// One version of one protocol.
struct Dialect {
  std::string name;
  std::uint32_t version = 1;
  std::vector<FieldSpec> fields[kKinds];  ///< indexed by Kind; at most kMaxFields each
  std::vector<ErrorSpec> errors;          ///< only in dialects of servers
  std::vector<ReasonCode> reason_codes;   ///< only in dialects of clients
  bool states_retry_after = false;        ///< a rejection can state when to try again

  /// The fields of messages of that kind.
  [[nodiscard]] const std::vector<FieldSpec>& of(MessageKind kind) const {
    return fields[static_cast<std::size_t>(kind)];
  }
};
/// Maximum number of fields in a message.
inline constexpr std::size_t kMaxFields = 32;

/// Returns the index of the field with that name, or the number of fields if there is none.
std::size_t index_of(const std::vector<FieldSpec>& fields, std::string_view name);
/// Returns the index of the field with that meaning, or the number of fields if there is none. Each meaning
/// occurs at most once in a message; kNone is never found.
std::size_t index_of(const std::vector<FieldSpec>& fields, Meaning meaning);

/// Whether a value is valid for the field. Used for both incoming and outgoing messages.
bool is_valid_value(const FieldSpec& spec, std::string_view text);
bool is_valid_value(const FieldSpec& spec, std::int64_t number);

/// Returns the faults in the description of a dialect: duplicate names, empty ranges, overlapping errors,
/// root reasons without a code. Each text names the field. Returns an empty list if the description is valid.
std::vector<std::string> faults_of(const Dialect& dialect);

/// The built-in dialects, in the order of docs/translation.md.
/// Clients: "json-lines", "diameter", "iso8583". Servers: "sip", "diameter-server", "session-1", "session-2".
const std::vector<Dialect>& dialects();
/// Returns null if there is no built-in dialect of that name.
const Dialect* find_dialect(std::string_view name);

/// Returns the meaning of an error answer: that of the named error, otherwise of the single code, otherwise
/// of the range of codes. An unknown error is a server fault after which the call may have been executed.
ErrorClassification meaning_of(const Dialect& dialect, std::uint32_t code, std::string_view name = {});

/// Returns the code by which this client's dialect reports a reason: its own, or that of the nearest parent
/// reason that has one.
const ReasonCode& code_for_reason(const Dialect& dialect, Reason reason);

}  // namespace amberknot::translate
