#include "translate/dialect.hpp"

#include <algorithm>
#include <array>

namespace amberknot::translate {
namespace {

constexpr std::int64_t kMaxDescription = 8192;
constexpr std::int64_t kMaxPatience = 600'000'000;  // microseconds

FieldSpec text(std::string name, Meaning meaning, std::int64_t least, std::int64_t most,
               bool required = true) {
  return {std::move(name), meaning, Type::kText, least, most, required};
}
FieldSpec token(std::string name, Meaning meaning, std::int64_t least, std::int64_t most,
                bool required = true) {
  return {std::move(name), meaning, Type::kToken, least, most, required};
}
FieldSpec digits(std::string name, Meaning meaning, std::int64_t least, std::int64_t most,
                 bool required = true) {
  return {std::move(name), meaning, Type::kDigits, least, most, required};
}
FieldSpec number(std::string name, Meaning meaning, std::int64_t least, std::int64_t most,
                 bool required = true) {
  return {std::move(name), meaning, Type::kNumber, least, most, required};
}
FieldSpec call(std::string name) {
  return {std::move(name), Meaning::kCall, Type::kHex, 16, 16, true};
}
FieldSpec patience(std::string name) {
  return {std::move(name), Meaning::kPatience, Type::kDuration, 1000, kMaxPatience, true};
}
FieldSpec cause(std::string name, bool required = true) {
  return {std::move(name), Meaning::kCause, Type::kNumber, 1, 127, required};
}

void set(Dialect& dialect, Kind kind, std::vector<FieldSpec> fields) {
  dialect.fields[static_cast<std::size_t>(kind)] = std::move(fields);
}

constexpr ErrorMeaning kFull{Reason::kCongestion, Ran::kNo, About::kServer};
constexpr ErrorMeaning kFault{Reason::kServerFault, Ran::kMaybe, About::kServer};

// ---- clients --------------------------------------------------------------------------------------------

Dialect json_lines() {
  Dialect dialect;
  dialect.name = "json-lines";
  dialect.states_retry_after = true;
  set(dialect, Kind::kSetUp,
      {call("sid"), token("class", Meaning::kClass, 1, 64), patience("left"),
       token("tenant", Meaning::kTenant, 1, 64), token("key", Meaning::kNumber, 1, 64),
       text("text", Meaning::kDescription, 1, kMaxDescription),
       number("dest", Meaning::kPool, 0, 0xffffffff, false), number("width", Meaning::kWidth, 1, 64, false),
       number("again", Meaning::kAgain, 0, 1, false)});
  set(dialect, Kind::kAnswer, {call("sid"), text("text", Meaning::kDescription, 1, kMaxDescription)});
  set(dialect, Kind::kGiveUp, {call("sid")});
  set(dialect, Kind::kRelease, {call("sid"), cause("code")});
  // A refusal is a release with cause 34, 42 or 102; every other cause is a failure.
  dialect.words = {{Reason::kNormal, 16},         {Reason::kCongestion, 42},  {Reason::kNoCircuit, 34},
                   {Reason::kTimeout, 102},       {Reason::kNumberBusy, 17},  {Reason::kNumberUnknown, 1},
                   {Reason::kFieldRejected, 100}, {Reason::kServerFault, 41}, {Reason::kTenantUnknown, 21}};
  return dialect;
}

Dialect diameter_client() {
  Dialect dialect;
  dialect.name = "diameter";
  dialect.states_retry_after = true;
  set(dialect, Kind::kSetUp,
      {call("Session-Id"), token("Service-Context-Id", Meaning::kClass, 1, 64),
       token("Subscription-Id-Data", Meaning::kNumber, 1, 64), token("User-Name", Meaning::kTenant, 1, 64),
       number("Destination-Host", Meaning::kPool, 0, 0xffffffff, false),
       text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription),
       patience("Service-Parameter-Value.2")});
  set(dialect, Kind::kAnswer,
      {call("Session-Id"), text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription)});
  set(dialect, Kind::kGiveUp, {call("Session-Id")});
  set(dialect, Kind::kRelease, {call("Session-Id"), cause("Termination-Cause")});
  dialect.words = {{Reason::kCongestion, 3004, "DIAMETER_TOO_BUSY"},
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
  // Names are the numbers of the data elements; what has no number is made by the front from the element
  // named.
  set(dialect, Kind::kSetUp,
      {call("call.of.11"), token("class.of.3", Meaning::kClass, 1, 64),
       digits("102", Meaning::kNumber, 1, 28), token("tenant.of.32", Meaning::kTenant, 1, 64),
       patience("patience.of.3"), text("48", Meaning::kDescription, 1, 999),
       token("41", Meaning::kTerminal, 1, 8), digits("32", Meaning::kAcquirer, 1, 11),
       digits("11", Meaning::kTrace, 6, 6), token("37", Meaning::kReference, 12, 12, false),
       number("4", Meaning::kAmount, 0, 999'999'999'999, false),
       digits("49", Meaning::kCurrency, 3, 3, false), digits("7", Meaning::kLocalTime, 10, 10, false)});
  set(dialect, Kind::kAnswer,
      {call("call.of.11"), text("48", Meaning::kDescription, 1, 999),
       FieldSpec{"39", Meaning::kNone, Type::kWord, 2, 2, true, 1000, {"00"}}});
  set(dialect, Kind::kGiveUp, {call("call.of.11"), digits("11", Meaning::kTrace, 6, 6)});
  set(dialect, Kind::kRelease, {call("call.of.11"), cause("cause.of.24", false)});
  dialect.words = {{Reason::kNormal, 0, "approved"},
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
  set(dialect, Kind::kSetUp,
      {call("Call-ID"), token("X-Cos", Meaning::kClass, 1, 64), token("Request-URI", Meaning::kNumber, 1, 64),
       patience("X-Timer-Ms"), text("body", Meaning::kDescription, 1, kMaxDescription)});
  set(dialect, Kind::kAnswer, {call("Call-ID"), text("body", Meaning::kDescription, 1, kMaxDescription)});
  set(dialect, Kind::kGiveUp, {call("Call-ID")});
  set(dialect, Kind::kRelease, {call("Call-ID"), cause("Reason")});
  dialect.errors = {{480, 480, "", {Reason::kServerFault, Ran::kNo, About::kServer}},
                    {486, 486, "", {Reason::kNumberBusy, Ran::kMaybe, About::kCall}},
                    {486, 486, "sub", {Reason::kNumberBusy, Ran::kMaybe, About::kCall}},
                    {503, 503, "", kFull},
                    {503, 503, "atb", {Reason::kNoCircuit, Ran::kNo, About::kServer}},
                    {503, 503, "acc", kFull},
                    {504, 504, "", {Reason::kAborted, Ran::kMaybe, About::kServer}},
                    {300, 699, "", kFault}};
  return dialect;
}

Dialect diameter_server() {
  Dialect dialect;
  dialect.name = "diameter-server";
  set(dialect, Kind::kSetUp,
      {call("Session-Id"), token("Service-Context-Id", Meaning::kClass, 1, 64),
       token("Subscription-Id-Data", Meaning::kNumber, 1, 64),
       text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription),
       patience("Service-Parameter-Value.2")});
  set(dialect, Kind::kAnswer,
      {call("Session-Id"), text("Service-Parameter-Value.1", Meaning::kDescription, 1, kMaxDescription)});
  set(dialect, Kind::kGiveUp, {call("Session-Id")});
  set(dialect, Kind::kRelease, {call("Session-Id"), cause("Termination-Cause", false)});
  constexpr ErrorMeaning kElsewhere{Reason::kServerFault, Ran::kNo, About::kServer};
  dialect.errors = {{3002, 3002, "", kElsewhere},
                    {3004, 3004, "", kFull},
                    {3006, 3006, "", kElsewhere},
                    {3010, 3010, "", kElsewhere},
                    {4002, 4002, "", kFull},
                    {4010, 4010, "", {Reason::kTenantSuspended, Ran::kMaybe, About::kCall}},
                    {4011, 4011, "", {Reason::kOverQuota, Ran::kMaybe, About::kCall}},
                    {4012, 4012, "", {Reason::kOverQuota, Ran::kMaybe, About::kCall}},
                    {5001, 5001, "", {Reason::kFieldRejected, Ran::kNo, About::kVersion}},
                    {5003, 5003, "", {Reason::kTenantUnknown, Ran::kMaybe, About::kCall}},
                    {5004, 5004, "", {Reason::kFieldRejected, Ran::kNo, About::kVersion}},
                    {5030, 5030, "", {Reason::kNumberUnknown, Ran::kMaybe, About::kCall}},
                    {5031, 5031, "", {Reason::kFieldRejected, Ran::kMaybe, About::kCall}},
                    {3000, 5999, "", kFault}};
  return dialect;
}

Dialect session_1() {
  Dialect dialect;
  dialect.name = "session-1";
  set(dialect, Kind::kSetUp,
      {call("id"), token("class", Meaning::kClass, 1, 64), token("number", Meaning::kNumber, 1, 64),
       text("description", Meaning::kDescription, 1, kMaxDescription), patience("waitMs")});
  set(dialect, Kind::kAnswer, {call("id"), text("description", Meaning::kDescription, 1, kMaxDescription)});
  set(dialect, Kind::kGiveUp, {call("id")});
  set(dialect, Kind::kRelease, {call("id"), cause("cause")});
  dialect.errors = {{400, 400, "", {Reason::kFieldRejected, Ran::kNo, About::kVersion}},
                    {404, 404, "", {Reason::kNumberUnknown, Ran::kNo, About::kCall}},
                    {409, 409, "", {Reason::kDuplicate, Ran::kMaybe, About::kCall}},
                    {429, 429, "", kFull},
                    {503, 503, "", kFull},
                    {503, 503, "no-line", {Reason::kNoCircuit, Ran::kNo, About::kServer}},
                    {504, 504, "", {Reason::kAborted, Ran::kMaybe, About::kServer}},
                    {505, 505, "", {Reason::kFieldRejected, Ran::kNo, About::kVersion}},
                    {400, 599, "", kFault}};
  return dialect;
}

Dialect session_2() {
  Dialect dialect = session_1();
  dialect.name = "session-2";
  dialect.version = 2;
  set(dialect, Kind::kSetUp,
      {call("id"), token("class", Meaning::kClass, 1, 64), token("number", Meaning::kNumber, 1, 64),
       text("description", Meaning::kDescription, 1, kMaxDescription), patience("waitMs"),
       token("retailer", Meaning::kTenant, 1, 64), token("region", Meaning::kRegion, 1, 32),
       token("terminal", Meaning::kTerminal, 1, 16, false), digits("trace", Meaning::kTrace, 6, 6, false),
       token("reference", Meaning::kReference, 1, 32, false),
       number("amountMinor", Meaning::kAmount, 0, 999'999'999'999, false),
       digits("currency", Meaning::kCurrency, 3, 3, false), number("again", Meaning::kAgain, 0, 1, false)});
  set(dialect, Kind::kAnswer,
      {call("id"), text("description", Meaning::kDescription, 1, kMaxDescription),
       token("region", Meaning::kRegion, 1, 32)});
  dialect.errors = {{400, 400, "", {Reason::kFieldRejected, Ran::kNo, About::kVersion}},
                    {403, 403, "tenant-suspended", {Reason::kTenantSuspended, Ran::kNo, About::kCall}},
                    {403, 403, "", {Reason::kTenantUnknown, Ran::kNo, About::kCall}},
                    {404, 404, "", {Reason::kNumberUnknown, Ran::kNo, About::kCall}},
                    {409, 409, "", {Reason::kDuplicate, Ran::kMaybe, About::kCall}},
                    {409, 409, "number-busy", {Reason::kNumberBusy, Ran::kNo, About::kCall}},
                    {421, 421, "region-closed", {Reason::kRegionClosed, Ran::kNo, About::kVersion}},
                    {421, 421, "", {Reason::kServerFault, Ran::kNo, About::kServer}},
                    {422, 422, "", {Reason::kFieldRejected, Ran::kNo, About::kVersion}},
                    {429, 429, "over-share", {Reason::kOverQuota, Ran::kNo, About::kCall}},
                    {429, 429, "", kFull},
                    {503, 503, "", kFull},
                    {503, 503, "no-line", {Reason::kNoCircuit, Ran::kNo, About::kServer}},
                    {504, 504, "", {Reason::kAborted, Ran::kMaybe, About::kServer}},
                    {505, 505, "", {Reason::kFieldRejected, Ran::kNo, About::kVersion}},
                    {400, 599, "", kFault}};
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

/// An exact number goes before a range: the range is the class that the unknown ones fall into.
bool is_class(const ErrorSpec& error) {
  return error.from != error.to;
}

}  // namespace

std::string_view name_of(Type type) {
  return kTypeNames[static_cast<std::size_t>(type)];
}

std::size_t index_of(const std::vector<FieldSpec>& fields, std::string_view name) {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [name](const auto& one) { return one.name == name; });
  return static_cast<std::size_t>(found - fields.begin());
}

std::size_t index_of(const std::vector<FieldSpec>& fields, Meaning meaning) {
  if (meaning == Meaning::kNone) return fields.size();
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [meaning](const auto& one) { return one.meaning == meaning; });
  return static_cast<std::size_t>(found - fields.begin());
}

bool holds(const FieldSpec& spec, std::string_view text) {
  const auto size = static_cast<std::int64_t>(text.size());
  if (spec.type == Type::kWord) {
    return std::find(spec.words.begin(), spec.words.end(), text) != spec.words.end();
  }
  if (size < spec.least || size > spec.most) return false;
  switch (spec.type) {
    case Type::kText:
      return true;
    case Type::kToken:
      return std::all_of(text.begin(), text.end(), is_token_char);
    case Type::kDigits:
      return std::all_of(text.begin(), text.end(), is_digit);
    case Type::kHex:
      return std::all_of(text.begin(), text.end(), is_hex);
    default:
      return false;
  }
}

bool holds(const FieldSpec& spec, std::int64_t number) {
  if (spec.type == Type::kNumber) return number >= spec.least && number <= spec.most;
  if (spec.type != Type::kDuration) return false;
  // Compared in units: the product with the unit could overflow.
  return number >= spec.least / spec.unit && number <= spec.most / spec.unit;
}

std::vector<std::string> faults_of(const Dialect& dialect) {
  std::vector<std::string> faults;
  const auto fault = [&](std::string field, const char* what) {
    faults.push_back(dialect.name + "." + std::move(field) + ": " + what);
  };
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const auto& fields = dialect.fields[kind];
    const std::string path(name_of(static_cast<Kind>(kind)));
    if (fields.size() > kMaxFields) fault(path, "more fields than a record holds");
    for (std::size_t i = 0; i < fields.size(); ++i) {
      const auto& field = fields[i];
      const std::string at = path + "." + field.name;
      if (field.name.empty()) fault(at, "has no name");
      if (index_of(fields, field.name) != i) fault(at, "comes twice");
      if (field.type == Type::kWord ? field.words.empty() : field.least > field.most) {
        fault(at, "nothing can be in its range");
      }
      if (field.unit <= 0) fault(at, "has no unit");
      for (std::size_t j = 0; j < i; ++j) {
        if (field.meaning != Meaning::kNone && fields[j].meaning == field.meaning) {
          fault(at, "means the same as another field");
        }
      }
    }
  }
  for (std::size_t i = 0; i < dialect.errors.size(); ++i) {
    const auto& error = dialect.errors[i];
    const std::string at =
        "errors." + std::to_string(error.from) + (error.name.empty() ? "" : "." + error.name);
    if (error.from > error.to) fault(at, "its range is empty");
    for (std::size_t j = 0; j < i; ++j) {
      const auto& other = dialect.errors[j];
      const bool overlap = error.from <= other.to && other.from <= error.to;
      if (overlap && error.name == other.name && is_class(error) == is_class(other)) {
        fault(at, "has two meanings");
      }
    }
  }
  if (!dialect.words.empty()) {
    for (const Reason root : {Reason::kCongestion, Reason::kServerFault}) {
      if (std::none_of(dialect.words.begin(), dialect.words.end(),
                       [root](const auto& word) { return word.reason == root; })) {
        fault("words." + std::string(name_of(root)), "there is no word for it");
      }
    }
    for (std::size_t i = 0; i < dialect.words.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        if (dialect.words[i].reason == dialect.words[j].reason) {
          fault("words." + std::string(name_of(dialect.words[i].reason)), "comes twice");
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

ErrorMeaning meaning_of(const Dialect& dialect, std::uint32_t code, std::string_view name) {
  const ErrorSpec* best = nullptr;
  // Named before unnamed, one number before a class of them.
  const auto rank = [](const ErrorSpec& error) {
    return (error.name.empty() ? 0 : 2) + (is_class(error) ? 0 : 1);
  };
  for (const auto& error : dialect.errors) {
    if (code < error.from || code > error.to) continue;
    if (!error.name.empty() && error.name != name) continue;
    if (best == nullptr || rank(error) > rank(*best)) best = &error;
  }
  return best != nullptr ? best->meaning : ErrorMeaning{};
}

const WordSpec& word_for(const Dialect& dialect, Reason reason) {
  // Reasons form two trees; faults_of() sees to it that both roots have a word.
  static const WordSpec kNone{};
  for (Reason at = reason;; at = facts_of(at).above) {
    for (const auto& word : dialect.words) {
      if (word.reason == at) return word;
    }
    if (facts_of(at).above == at) return kNone;
  }
}

}  // namespace amberknot::translate
