#include "translate/dialect.hpp"

#include <algorithm>
#include <array>

namespace amberknot::translate {
namespace {

constexpr std::int64_t kMaxDescription = 8192;
constexpr std::int64_t kMaxRemainingWait = 600'000'000;  // 10 minutes in microseconds

FieldSpec text(std::string name, Meaning meaning, std::int64_t min, std::int64_t max, bool required = true) {
  return {std::move(name), meaning, FieldType::kText, min, max, required};
}
FieldSpec token(std::string name, Meaning meaning, std::int64_t min, std::int64_t max, bool required = true) {
  return {std::move(name), meaning, FieldType::kToken, min, max, required};
}
FieldSpec digits(std::string name, Meaning meaning, std::int64_t min, std::int64_t max,
                 bool required = true) {
  return {std::move(name), meaning, FieldType::kDigits, min, max, required};
}
FieldSpec number(std::string name, Meaning meaning, std::int64_t min, std::int64_t max,
                 bool required = true) {
  return {std::move(name), meaning, FieldType::kNumber, min, max, required};
}
FieldSpec call(std::string name) {
  return {std::move(name), Meaning::kCall, FieldType::kHex, 16, 16, true};
}
FieldSpec remaining_wait(std::string name) {
  return {std::move(name), Meaning::kRemainingWait, FieldType::kDuration, 1000, kMaxRemainingWait, true};
}
FieldSpec cause(std::string name, bool required = true) {
  return {std::move(name), Meaning::kCause, FieldType::kNumber, 1, 127, required};
}

void set_fields(Dialect& dialect, MessageKind kind, std::vector<FieldSpec> fields) {
  dialect.fields[static_cast<std::size_t>(kind)] = std::move(fields);
}

constexpr ErrorClassification kServerFull{Reason::kCongestion, ExecutionState::kNotExecuted,
                                          ErrorScope::kServer};
constexpr ErrorClassification kMayHaveRun{Reason::kServerFault, ExecutionState::kMayHaveExecuted,
                                          ErrorScope::kServer};

// ---- clients --------------------------------------------------------------------------------------------

Dialect json_lines() {
  Dialect dialect;
  dialect.name = "json-lines";
  dialect.states_retry_after = true;
  set_fields(
      dialect, MessageKind::kSetUp,
      {call("sid"), token("class", Meaning::kClass, 1, 64), remaining_wait("left"),
       token("tenant", Meaning::kTenant, 1, 64), token("key", Meaning::kNumber, 1, 64),
       text("text", Meaning::kDescription, 1, kMaxDescription),
       number("dest", Meaning::kPool, 0, 0xffffffff, false), number("width", Meaning::kWidth, 1, 64, false),
       number("again", Meaning::kWasAborted, 0, 1, false)});
  set_fields(dialect, MessageKind::kAnswer,
             {call("sid"), text("text", Meaning::kDescription, 1, kMaxDescription)});
  set_fields(dialect, MessageKind::kGiveUp, {call("sid")});
  set_fields(dialect, MessageKind::kRelease, {call("sid"), cause("code")});
  // A release with cause 34, 42 or 102 rejects the call; every other cause is a failure.
  dialect.reason_codes = {
      {Reason::kNormal, 16},         {Reason::kCongestion, 42},  {Reason::kNoCircuit, 34},
      {Reason::kTimeout, 102},       {Reason::kNumberBusy, 17},  {Reason::kNumberUnknown, 1},
      {Reason::kFieldRejected, 100}, {Reason::kServerFault, 41}, {Reason::kTenantUnknown, 21}};
  return dialect;
}

Dialect diameter_client() {
  Dialect dialect;
  dialect.name = "diameter";
  dialect.states_retry_after = true;
  set_fields(
      dialect, MessageKind::kSetUp,
      {call("Session-Id"), token("Service-Context-Id", Meaning::kClass, 1, 64),
       token("Subscription-Id-Data", Meaning::kNumber, 1, 64), token("User-Name", Meaning::kTenant, 1, 64),
       number("Destination-Host", Meaning::kPool, 0, 0xffffffff, false),
       text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription),
       remaining_wait("Service-Parameter-Value.2")});
  set_fields(
      dialect, MessageKind::kAnswer,
      {call("Session-Id"), text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription)});
  set_fields(dialect, MessageKind::kGiveUp, {call("Session-Id")});
  set_fields(dialect, MessageKind::kRelease, {call("Session-Id"), cause("Termination-Cause")});
  dialect.reason_codes = {{Reason::kCongestion, 3004, "DIAMETER_TOO_BUSY"},
                          {Reason::kServerFault, 5012, "DIAMETER_UNABLE_TO_COMPLY"},
                          {Reason::kFieldRejected, 5004, "DIAMETER_INVALID_AVP_VALUE"},
                          {Reason::kNumberUnknown, 5030, "DIAMETER_USER_UNKNOWN"},
                          {Reason::kTenantUnknown, 5003, "DIAMETER_AUTHORIZATION_REJECTED"},
                          {Reason::kTenantSuspended, 4010, "DIAMETER_END_USER_SERVICE_DENIED"},
                          {Reason::kNormal, 2001, "DIAMETER_SUCCESS"}};
  return dialect;
}

Dialect iso8583() {
  Dialect dialect;
  dialect.name = "iso8583";
  // Fields are named by the numbers of their data elements. A field named `x.of.N` has no data element of its
  // own; the frontend derives it from data element N.
  set_fields(
      dialect, MessageKind::kSetUp,
      {call("call.of.11"), token("class.of.3", Meaning::kClass, 1, 64),
       digits("102", Meaning::kNumber, 1, 28), token("tenant.of.32", Meaning::kTenant, 1, 64),
       remaining_wait("patience.of.3"), text("48", Meaning::kDescription, 1, 999),
       token("41", Meaning::kTerminal, 1, 8), digits("32", Meaning::kAcquirer, 1, 11),
       digits("11", Meaning::kTrace, 6, 6), token("37", Meaning::kReference, 12, 12, false),
       number("4", Meaning::kAmount, 0, 999'999'999'999, false),
       digits("49", Meaning::kCurrency, 3, 3, false), digits("7", Meaning::kLocalTime, 10, 10, false)});
  set_fields(dialect, MessageKind::kAnswer,
             {call("call.of.11"), text("48", Meaning::kDescription, 1, 999),
              FieldSpec{"39", Meaning::kNone, FieldType::kWord, 2, 2, true, 1000, {"00"}}});
  set_fields(dialect, MessageKind::kGiveUp, {call("call.of.11"), digits("11", Meaning::kTrace, 6, 6)});
  set_fields(dialect, MessageKind::kRelease, {call("call.of.11"), cause("cause.of.24", false)});
  dialect.reason_codes = {{Reason::kNormal, 0, "approved"},
                          {Reason::kCongestion, 91, "issuer or switch inoperative"},
                          {Reason::kTimeout, 68, "response received too late"},
                          {Reason::kOverQuota, 65, "exceeds frequency limit"},
                          {Reason::kServerFault, 96, "system malfunction"},
                          {Reason::kFieldRejected, 30, "format error"},
                          {Reason::kNumberUnknown, 14, "invalid card number"},
                          {Reason::kNumberBusy, 5, "do not honor"},
                          {Reason::kTenantUnknown, 3, "invalid merchant"},
                          {Reason::kTenantSuspended, 57, "not permitted to cardholder"},
                          {Reason::kDuplicate, 94, "duplicate transmission"}};
  return dialect;
}

// ---- servers --------------------------------------------------------------------------------------------

Dialect sip() {
  Dialect dialect;
  dialect.name = "sip";
  set_fields(
      dialect, MessageKind::kSetUp,
      {call("Call-ID"), token("X-Cos", Meaning::kClass, 1, 64), token("Request-URI", Meaning::kNumber, 1, 64),
       remaining_wait("X-Timer-Ms"), text("body", Meaning::kDescription, 1, kMaxDescription)});
  set_fields(dialect, MessageKind::kAnswer,
             {call("Call-ID"), text("body", Meaning::kDescription, 1, kMaxDescription)});
  set_fields(dialect, MessageKind::kGiveUp, {call("Call-ID")});
  set_fields(dialect, MessageKind::kRelease, {call("Call-ID"), cause("Reason")});
  dialect.errors = {
      {480, 480, "", {Reason::kServerFault, ExecutionState::kNotExecuted, ErrorScope::kServer}},
      {486, 486, "", {Reason::kNumberBusy, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {486, 486, "sub", {Reason::kNumberBusy, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {503, 503, "", kServerFull},
      {503, 503, "atb", {Reason::kNoCircuit, ExecutionState::kNotExecuted, ErrorScope::kServer}},
      {503, 503, "acc", kServerFull},
      {504, 504, "", {Reason::kAborted, ExecutionState::kMayHaveExecuted, ErrorScope::kServer}},
      {300, 699, "", kMayHaveRun}};
  return dialect;
}

Dialect diameter_server() {
  Dialect dialect;
  dialect.name = "diameter-server";
  set_fields(dialect, MessageKind::kSetUp,
             {call("Session-Id"), token("Service-Context-Id", Meaning::kClass, 1, 64),
              token("Subscription-Id-Data", Meaning::kNumber, 1, 64),
              text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription),
              remaining_wait("Service-Parameter-Value.2")});
  set_fields(
      dialect, MessageKind::kAnswer,
      {call("Session-Id"), text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription)});
  set_fields(dialect, MessageKind::kGiveUp, {call("Session-Id")});
  set_fields(dialect, MessageKind::kRelease, {call("Session-Id"), cause("Termination-Cause", false)});
  constexpr ErrorClassification kNotDelivered{Reason::kServerFault, ExecutionState::kNotExecuted,
                                              ErrorScope::kServer};
  dialect.errors = {
      {3002, 3002, "", kNotDelivered},
      {3004, 3004, "", kServerFull},
      {3006, 3006, "", kNotDelivered},
      {3010, 3010, "", kNotDelivered},
      {4002, 4002, "", kServerFull},
      {4010, 4010, "", {Reason::kTenantSuspended, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {4011, 4011, "", {Reason::kOverQuota, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {4012, 4012, "", {Reason::kOverQuota, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {5001, 5001, "", {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {5003, 5003, "", {Reason::kTenantUnknown, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {5004, 5004, "", {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {5030, 5030, "", {Reason::kNumberUnknown, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {5031, 5031, "", {Reason::kFieldRejected, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {3000, 5999, "", kMayHaveRun}};
  return dialect;
}

Dialect session_1() {
  Dialect dialect;
  dialect.name = "session-1";
  set_fields(dialect, MessageKind::kSetUp,
             {call("id"), token("class", Meaning::kClass, 1, 64), token("number", Meaning::kNumber, 1, 64),
              text("description", Meaning::kDescription, 1, kMaxDescription), remaining_wait("waitMs")});
  set_fields(dialect, MessageKind::kAnswer,
             {call("id"), text("description", Meaning::kDescription, 1, kMaxDescription)});
  set_fields(dialect, MessageKind::kGiveUp, {call("id")});
  set_fields(dialect, MessageKind::kRelease, {call("id"), cause("cause")});
  dialect.errors = {
      {400, 400, "", {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {404, 404, "", {Reason::kNumberUnknown, ExecutionState::kNotExecuted, ErrorScope::kCall}},
      {409, 409, "", {Reason::kDuplicate, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {429, 429, "", kServerFull},
      {503, 503, "", kServerFull},
      {503, 503, "no-line", {Reason::kNoCircuit, ExecutionState::kNotExecuted, ErrorScope::kServer}},
      {504, 504, "", {Reason::kAborted, ExecutionState::kMayHaveExecuted, ErrorScope::kServer}},
      {505, 505, "", {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {400, 599, "", kMayHaveRun}};
  return dialect;
}

Dialect session_2() {
  Dialect dialect = session_1();
  dialect.name = "session-2";
  dialect.version = 2;
  set_fields(
      dialect, MessageKind::kSetUp,
      {call("id"), token("class", Meaning::kClass, 1, 64), token("number", Meaning::kNumber, 1, 64),
       text("description", Meaning::kDescription, 1, kMaxDescription), remaining_wait("waitMs"),
       token("retailer", Meaning::kTenant, 1, 64), token("region", Meaning::kRegion, 1, 32),
       token("terminal", Meaning::kTerminal, 1, 16, false), digits("trace", Meaning::kTrace, 6, 6, false),
       token("reference", Meaning::kReference, 1, 32, false),
       number("amountMinor", Meaning::kAmount, 0, 999'999'999'999, false),
       digits("currency", Meaning::kCurrency, 3, 3, false),
       number("again", Meaning::kWasAborted, 0, 1, false)});
  set_fields(dialect, MessageKind::kAnswer,
             {call("id"), text("description", Meaning::kDescription, 1, kMaxDescription),
              token("region", Meaning::kRegion, 1, 32)});
  dialect.errors = {
      {400, 400, "", {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {403,
       403,
       "tenant-suspended",
       {Reason::kTenantSuspended, ExecutionState::kNotExecuted, ErrorScope::kCall}},
      {403, 403, "", {Reason::kTenantUnknown, ExecutionState::kNotExecuted, ErrorScope::kCall}},
      {404, 404, "", {Reason::kNumberUnknown, ExecutionState::kNotExecuted, ErrorScope::kCall}},
      {409, 409, "", {Reason::kDuplicate, ExecutionState::kMayHaveExecuted, ErrorScope::kCall}},
      {409, 409, "number-busy", {Reason::kNumberBusy, ExecutionState::kNotExecuted, ErrorScope::kCall}},
      {421,
       421,
       "region-closed",
       {Reason::kRegionClosed, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {421, 421, "", {Reason::kServerFault, ExecutionState::kNotExecuted, ErrorScope::kServer}},
      {422, 422, "", {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {429, 429, "over-share", {Reason::kOverQuota, ExecutionState::kNotExecuted, ErrorScope::kCall}},
      {429, 429, "", kServerFull},
      {503, 503, "", kServerFull},
      {503, 503, "no-line", {Reason::kNoCircuit, ExecutionState::kNotExecuted, ErrorScope::kServer}},
      {504, 504, "", {Reason::kAborted, ExecutionState::kMayHaveExecuted, ErrorScope::kServer}},
      {505, 505, "", {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion}},
      {400, 599, "", kMayHaveRun}};
  return dialect;
}

constexpr std::array<std::string_view, 7> kTypeNames = {"text", "token",  "digits",  "hex",
                                                        "word", "number", "duration"};

bool is_token_char(char c) {
  return c > ' ' && c < 0x7f;
}
bool is_digit(char c) {
  return c >= '0' && c <= '9';
}
bool is_hex(char c) {
  return is_digit(c) || (c >= 'a' && c <= 'f');
}

/// Whether the error covers a range of codes. An exact code takes precedence over a range, which covers the
/// codes that have no entry of their own.
bool is_range(const ErrorSpec& error) {
  return error.from != error.to;
}

}  // namespace

std::string_view name_of(FieldType type) {
  return kTypeNames[static_cast<std::size_t>(type)];
}

std::size_t index_of(const std::vector<FieldSpec>& fields, std::string_view name) {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [name](const auto& field) { return field.name == name; });
  return static_cast<std::size_t>(found - fields.begin());
}

std::size_t index_of(const std::vector<FieldSpec>& fields, Meaning meaning) {
  if (meaning == Meaning::kNone) return fields.size();
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [meaning](const auto& field) { return field.meaning == meaning; });
  return static_cast<std::size_t>(found - fields.begin());
}

bool is_valid_value(const FieldSpec& spec, std::string_view text) {
  const auto size = static_cast<std::int64_t>(text.size());
  if (spec.type == FieldType::kWord) {
    return std::find(spec.allowed_values.begin(), spec.allowed_values.end(), text) !=
           spec.allowed_values.end();
  }
  if (size < spec.min || size > spec.max) return false;
  switch (spec.type) {
    case FieldType::kText:
      return true;
    case FieldType::kToken:
      return std::all_of(text.begin(), text.end(), is_token_char);
    case FieldType::kDigits:
      return std::all_of(text.begin(), text.end(), is_digit);
    case FieldType::kHex:
      return std::all_of(text.begin(), text.end(), is_hex);
    default:
      return false;
  }
}

bool is_valid_value(const FieldSpec& spec, std::int64_t number) {
  if (spec.type == FieldType::kNumber) return number >= spec.min && number <= spec.max;
  if (spec.type != FieldType::kDuration) return false;
  // Dividing the bounds avoids the overflow that multiplying `number` by the unit could cause.
  return number >= spec.min / spec.unit && number <= spec.max / spec.unit;
}

std::vector<std::string> faults_of(const Dialect& dialect) {
  std::vector<std::string> faults;
  const auto add_fault = [&](std::string field, const char* problem) {
    faults.push_back(dialect.name + "." + std::move(field) + ": " + problem);
  };
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const auto& fields = dialect.fields[kind];
    const std::string path(name_of(static_cast<MessageKind>(kind)));
    if (fields.size() > kMaxFields) add_fault(path, "has more fields than a record can hold");
    for (std::size_t i = 0; i < fields.size(); ++i) {
      const auto& field = fields[i];
      const std::string at = path + "." + field.name;
      if (field.name.empty()) add_fault(at, "has no name");
      if (index_of(fields, field.name) != i) add_fault(at, "is defined twice");
      if (field.type == FieldType::kWord ? field.allowed_values.empty() : field.min > field.max) {
        add_fault(at, "has an empty range of values");
      }
      if (field.unit <= 0) add_fault(at, "has a unit that is not positive");
      for (std::size_t j = 0; j < i; ++j) {
        if (field.meaning != Meaning::kNone && fields[j].meaning == field.meaning) {
          add_fault(at, "has the same meaning as another field");
        }
      }
    }
  }
  for (std::size_t i = 0; i < dialect.errors.size(); ++i) {
    const auto& error = dialect.errors[i];
    const std::string at =
        "errors." + std::to_string(error.from) + (error.name.empty() ? "" : "." + error.name);
    if (error.from > error.to) add_fault(at, "has an empty range of codes");
    for (std::size_t j = 0; j < i; ++j) {
      const auto& other = dialect.errors[j];
      const bool overlap = error.from <= other.to && other.from <= error.to;
      if (overlap && error.name == other.name && is_range(error) == is_range(other)) {
        add_fault(at, "overlaps another error");
      }
    }
  }
  if (!dialect.reason_codes.empty()) {
    for (const Reason root : {Reason::kCongestion, Reason::kServerFault}) {
      if (std::none_of(dialect.reason_codes.begin(), dialect.reason_codes.end(),
                       [root](const auto& entry) { return entry.reason == root; })) {
        add_fault("words." + std::string(name_of(root)), "has no code");
      }
    }
    for (std::size_t i = 0; i < dialect.reason_codes.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        if (dialect.reason_codes[i].reason == dialect.reason_codes[j].reason) {
          add_fault("words." + std::string(name_of(dialect.reason_codes[i].reason)), "is defined twice");
        }
      }
    }
  }
  return faults;
}

const std::vector<Dialect>& dialects() {
  static const std::vector<Dialect> all = {json_lines(),      diameter_client(), iso8583(),  sip(),
                                           diameter_server(), session_1(),       session_2()};
  return all;
}

const Dialect* find_dialect(std::string_view name) {
  for (const auto& dialect : dialects()) {
    if (dialect.name == name) return &dialect;
  }
  return nullptr;
}

ErrorClassification meaning_of(const Dialect& dialect, std::uint32_t code, std::string_view name) {
  const ErrorSpec* best = nullptr;
  // A named error takes precedence over an unnamed one, a single code over a range.
  const auto rank = [](const ErrorSpec& error) {
    return (error.name.empty() ? 0 : 2) + (is_range(error) ? 0 : 1);
  };
  for (const auto& error : dialect.errors) {
    if (code < error.from || code > error.to) continue;
    if (!error.name.empty() && error.name != name) continue;
    if (best == nullptr || rank(error) > rank(*best)) best = &error;
  }
  return best != nullptr ? best->meaning : ErrorClassification{};
}

const ReasonCode& code_for_reason(const Dialect& dialect, Reason reason) {
  // Reasons form two trees. faults_of() reports a dialect that has no code for one of the two roots.
  static const ReasonCode kNoCode{};
  for (Reason at = reason;; at = info_of(at).fallback) {
    for (const auto& entry : dialect.reason_codes) {
      if (entry.reason == at) return entry;
    }
    if (info_of(at).fallback == at) return kNoCode;
  }
}

}  // namespace amberknot::translate
