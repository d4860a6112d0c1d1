// Tests the dialects, the compiled mappings against a plain interpreter, and the translation of errors to
// reason codes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "bench/plain_mapping.hpp"
#include "translate/eligibility.hpp"
#include "translate/retry_after.hpp"

using namespace amberknot;
using namespace amberknot::translate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> kClientDialects = {"json-lines", "diameter", "iso8583"};
const std::vector<std::string> kServerDialects = {"sip", "diameter-server", "session-1", "session-2"};

MappingTable read_operator_table(const std::string& json) {
  MappingTable table;
  const auto faults = parse_operator_table(json, table);
  for (const auto& fault : faults) MESSAGE(fault);
  REQUIRE(faults.empty());
  return table;
}

const char* kRegionTable =
    R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"acme":"jakarta","toko":"surabaya"},)"
    R"("otherwise":"not-eligible"}]})";

bool has_fault(const std::vector<std::string>& faults, const std::string& text) {
  for (const auto& fault : faults) {
    if (fault.find(text) != std::string::npos) return true;
  }
  for (const auto& fault : faults) MESSAGE(fault);
  return false;
}

/// Returns a random valid value of the field, often near its bounds.
std::string random_value(const FieldSpec& field) {
  if (field.type == FieldType::kWord) return *rc::gen::elementOf(field.allowed_values);
  if (!is_text(field.type)) {
    const auto unit = field.type == FieldType::kDuration ? field.unit : 1;
    return std::to_string(*rc::gen::inRange<std::int64_t>(field.min / unit, field.max / unit + 1));
  }
  static const std::string kDigits = "0123456789";
  static const std::string kHex = "0123456789abcdef";
  static const std::string kToken = "09afAZ-._!~";
  const std::string& alphabet = field.type == FieldType::kDigits ? kDigits
                                : field.type == FieldType::kHex  ? kHex
                                                                 : kToken;
  const auto longest = std::min<std::int64_t>(field.max, field.min + 70);
  const auto size = *rc::gen::elementOf(
      std::vector<std::int64_t>{field.min, longest, *rc::gen::inRange<std::int64_t>(field.min, longest + 1)});
  std::string text =
      *rc::gen::container<std::string>(static_cast<std::size_t>(size), rc::gen::elementOf(alphabet));
  // The bounds of other dialects are among the long values.
  if (field.max > 900 && *rc::gen::inRange(0, 8) == 0) text.assign(static_cast<std::size_t>(field.max), 'x');
  return text;
}

reference::Fields random_fields(const std::vector<FieldSpec>& fields) {
  reference::Fields values;
  for (const auto& field : fields) {
    if (field.required || *rc::gen::arbitrary<bool>()) values[field.name] = random_value(field);
  }
  if (values.contains("tenant") && *rc::gen::arbitrary<bool>()) values["tenant"] = "acme";
  return values;
}

void fill(Record& record, const std::vector<FieldSpec>& fields, const reference::Fields& values) {
  record.clear();
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const auto found = values.find(fields[i].name);
    if (found == values.end()) continue;
    if (is_text(fields[i].type)) {
      record.set(i, std::string_view(found->second));
    } else {
      record.set(i, static_cast<std::int64_t>(std::stoll(found->second)));
    }
  }
}

reference::Fields read(const Record& record, const std::vector<FieldSpec>& fields) {
  reference::Fields values;
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (!record.has(i)) continue;
    values[fields[i].name] =
        is_text(fields[i].type) ? std::string(record.text(i)) : std::to_string(record.number(i));
  }
  return values;
}

}  // namespace

TEST_CASE("the built-in dialects are valid and have different names") {
  std::set<std::string> names;
  for (const auto& dialect : dialects()) {
    for (const auto& fault : faults_of(dialect)) FAIL_CHECK(fault);
    CHECK(names.insert(dialect.name).second);
  }
  CHECK(names.size() == kClientDialects.size() + kServerDialects.size());
}

TEST_CASE("an invalid dialect is reported with the name of the field") {
  auto dialect = *find_dialect("session-1");
  auto& fields = dialect.fields[static_cast<std::size_t>(MessageKind::kSetUp)];
  fields.push_back(fields.front());
  fields.push_back({"empty", Meaning::kNone, FieldType::kText, 5, 4, false});
  dialect.errors.push_back({503, 503, "", {}});
  dialect.errors.push_back({450, 599, "", {}});
  dialect.errors.push_back({599, 500, "", {}});
  const auto faults = faults_of(dialect);
  CHECK(has_fault(faults, "set-up.id: is defined twice"));
  CHECK(has_fault(faults, "set-up.id: has the same meaning as another field"));
  CHECK(has_fault(faults, "set-up.empty: has an empty range of values"));
  CHECK(has_fault(faults, "errors.503: overlaps another error"));
  CHECK(has_fault(faults, "errors.450: overlaps another error"));
  CHECK(has_fault(faults, "errors.599: has an empty range of codes"));
  auto without_code = *find_dialect("iso8583");
  std::erase_if(without_code.reason_codes,
                [](const auto& entry) { return entry.reason == Reason::kCongestion; });
  CHECK(has_fault(faults_of(without_code), "words.congestion: has no code"));
}

TEST_CASE("every pair of dialects has a mapping once the operator's table supplies the region") {
  const Translator translator(kClientDialects, kServerDialects, read_operator_table(kRegionTable));
  for (const auto& fault : translator.mapping_errors()) FAIL_CHECK(fault);
  for (std::size_t client = 0; client < translator.client_dialect_count(); ++client) {
    for (std::size_t server = 0; server < translator.server_dialect_count(); ++server) {
      CHECK(translator.mapping(client, static_cast<DialectIndex>(server)) != nullptr);
    }
  }
  const Translator without(kClientDialects, kServerDialects, {});
  CHECK(
      has_fault(without.mapping_errors(),
                "json-lines → session-2, set-up: region: is required and nothing says where it comes from"));
  CHECK(without.mapping_errors().size() == kClientDialects.size());
  CHECK(without.mapping(0, *without.server_dialect_index("session-1")) != nullptr);
  CHECK(without.mapping(0, *without.server_dialect_index("session-2")) == nullptr);
}

TEST_CASE("a mapping that does not cover all messages is rejected with the name of the field") {
  struct Case {
    const char* name;
    std::string rows;  ///< rows of the operator's table
    std::string fault;
  };
  const auto region = [](const std::string& more) {
    return R"({"to":"session-2","field":"region",)" + more + "}";
  };
  const std::vector<Case> cases = {
      {"a table without otherwise", region(R"("by":"@tenant","table":{"acme":"x"})"),
       "region: may get a value that it cannot hold"},
      {"a value that the field cannot hold",
       region(R"("by":"@tenant","table":{"acme":"a b"},"otherwise":"not-eligible")"),
       "region: cannot hold \"a b\", the value for acme"},
      {"a constant that the field cannot hold", region(R"("constant":"a b")"),
       "region: cannot hold the constant"},
      {"a source that is not there", region(R"("copy":"nobody")"),
       "region: is required, and json-lines has no nobody"},
      {"not eligible, with no source at all", region(R"("copy":"nobody","otherwise":"not-eligible")"),
       "no message would be eligible"},
      {"a source of another type", region(R"("copy":"left")"),
       "region: is a token field, and left is a duration field"},
      {"a required field that is left out", region(R"("by":"@tenant","table":{},"otherwise":"leave-out")"),
       "region: is required and cannot be left out"},
      {"an optional source for a required field", region(R"("copy":"dest")"),
       "region: is required, and its source may be missing"},
      {"a longer source", region(R"("copy":"tenant")"), "region: may get a value that it cannot hold"},
      {"a rule without otherwise", region(R"("rule":"lower","of":"tenant")"),
       "region: may get a value that it cannot hold"},
      {"a rule with a number as source", region(R"("rule":"lower","of":"left","otherwise":"not-eligible")"),
       "region: a rule needs a text field"},
      {"two rows", region(R"("constant":"x")") + "," + region(R"("constant":"y")"),
       "region: two rows define its source"},
      {"a key that the source cannot have",
       region(R"("by":"sid","table":{"acme":"x"},"otherwise":"not-eligible")"),
       "region: sid cannot have the value \"acme\""},
      {"an invalid fallback", region(R"("by":"@tenant","table":{},"otherwise":{"constant":"a b"})"),
       "region: cannot hold the constant \"a b\""},
  };
  for (const auto& test_case : cases) {
    CAPTURE(test_case.name);
    std::vector<std::string> faults;
    const auto program = compile(*find_dialect("json-lines"), *find_dialect("session-2"), MessageKind::kSetUp,
                                 read_operator_table("{\"rows\":[" + test_case.rows + "]}"), faults);
    CHECK_FALSE(program);
    CHECK(has_fault(faults, test_case.fault));
  }
  // A field that is not carried to the target must be declared lost.
  auto rich = *find_dialect("json-lines");
  rich.fields[0].push_back({"colour", Meaning::kNone, FieldType::kText, 0, 8, false});
  std::vector<std::string> faults;
  CHECK_FALSE(compile(rich, *find_dialect("sip"), MessageKind::kSetUp, {}, faults));
  CHECK(has_fault(faults, "colour: is not carried to any field and not declared lost"));
  CHECK(compile(rich, *find_dialect("sip"), MessageKind::kSetUp,
                read_operator_table(R"({"rows":[{"lost":"colour","why":"vain"}]})"), faults));
}

TEST_CASE("an invalid operator's table is rejected with the path of the field") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"nonsense", "translate: not JSON"},
      {"{\"a\xf0:", "translate: not JSON"},  // ends within a UTF-8 sequence
      {"[]", "translate: is not an object"},
      {R"({"row":[]})", "translate.row: is not a known field"},
      {R"({"rows":{}})", "translate.rows: is not an array"},
      {R"({"rows":[7]})", "translate.rows[0]: is not an object"},
      {R"({"rows":[{"field":"a","constant":"b"},{"to":"x","field":"a","constant":"b"}]})",
       "translate.rows[1].to: \"x\" is not a known dialect"},
      {R"({"rows":[{"constant":"b"}]})", "translate.rows[0].field: is missing"},
      {R"({"rows":[{"field":"a"}]})", "translate.rows[0]: needs exactly one of"},
      {R"({"rows":[{"field":"a","constant":"b","copy":"c"}]})", "translate.rows[0]: needs exactly one of"},
      {R"({"rows":[{"field":"a","rule":"magic","of":"c"}]})",
       "translate.rows[0].rule: \"magic\" is not a known rule"},
      {R"({"rows":[{"field":"a","rule":"upper"}]})", "translate.rows[0].of: is missing"},
      {R"({"rows":[{"field":"a","by":"c"}]})", "translate.rows[0].table: is missing"},
      {R"({"rows":[{"field":"a","by":"c","table":{"k":true}}]})", "translate.rows[0].table.k"},
      {R"({"rows":[{"field":"a","by":"c","table":{"k":"1","k":"2"}}]})",
       "translate.rows[0].table.k: is defined twice"},
      {R"({"rows":[{"field":"a","copy":"c","otherwise":"maybe"}]})",
       "translate.rows[0].otherwise: is not one of"},
      {R"({"rows":[{"field":"a","copy":"c","table":{}}]})",
       "translate.rows[0].table: is only allowed with by"},
      {R"({"rows":[{"kind":"party","field":"a","copy":"c"}]})", "translate.rows[0].kind"},
      {R"({"rows":[{"lost":"a","field":"b"}]})", "translate.rows[0].field: cannot be combined with lost"},
      {R"({"errors":[{"dialect":"sip","code":0,"reason":"cut","ran":"no","about":"call"}]})",
       "translate.errors[0].code"},
      {R"({"errors":[{"dialect":"sip","code":400,"reason":"bad","ran":"no","about":"call"}]})",
       "translate.errors[0].reason"},
      {R"({"errors":[{"dialect":"sip","code":400,"reason":"cut","ran":"yes","about":"call"}]})",
       "translate.errors[0].ran"},
      {R"({"errors":[{"dialect":"sip","code":400,"reason":"cut","ran":"no","about":"me"}]})",
       "translate.errors[0].about"},
      {R"({"errors":[{"dialect":"sip","code":400,"to":3,"reason":"cut","ran":"no","about":"call"}]})",
       "translate.errors[0].to"},
  };
  for (const auto& [json, fault] : cases) {
    CAPTURE(json);
    MappingTable table;
    CHECK(has_fault(parse_operator_table(json, table), fault));
    CHECK(table.rows.empty());
    CHECK(table.errors.empty());
  }
}

TEST_CASE("a set-up keeps the value of each field, and an unlisted tenant excludes one version") {
  const Translator translator(kClientDialects, kServerDialects, read_operator_table(kRegionTable));
  const auto& from = translator.client_dialect(0).of(MessageKind::kSetUp);
  Record in, out;
  const reference::Fields values = {{"sid", "00112233445566aa"},
                                    {"class", "voice"},
                                    {"left", "1500"},
                                    {"tenant", "toko"},
                                    {"key", "77aa"},
                                    {"text", "v=0"},
                                    {"dest", "2"},
                                    {"again", "1"}};
  fill(in, from, values);
  REQUIRE_FALSE(find_invalid_field(from, in));
  const auto* mapping = translator.mapping(0, *translator.server_dialect_index("session-2"));
  REQUIRE(mapping->set_up.translate_record(in, out));
  CHECK(read(out, mapping->set_up.to_fields()) == reference::Fields{{"id", "00112233445566aa"},
                                                                    {"class", "voice"},
                                                                    {"number", "77aa"},
                                                                    {"description", "v=0"},
                                                                    {"waitMs", "1500"},
                                                                    {"retailer", "toko"},
                                                                    {"region", "surabaya"},
                                                                    {"again", "1"}});
  // A tenant that is not in the table makes the call ineligible for that version only.
  auto unlisted = values;
  unlisted["tenant"] = "warung";
  fill(in, from, unlisted);
  const auto eligibility = translator.check_eligibility(0, in, out);
  const auto two = *translator.server_dialect_index("session-2");
  CHECK(eligibility.ineligible == version_set(two));
  CHECK(eligibility.results[static_cast<std::size_t>(two)].failure == MappingFailure::kNotInTable);
  CHECK(translator.server_dialect(two)
            .of(MessageKind::kSetUp)[eligibility.results[static_cast<std::size_t>(two)].field]
            .name == "region");
}

TEST_CASE("a compiled program gives the same result as the plain interpreter") {
  const std::vector<std::string> tables = {
      kRegionTable,
      R"({"rows":[{"to":"session-2","field":"region","rule":"first-label","of":"@tenant","otherwise":{"constant":"any"}},
                  {"to":"session-2","field":"reference","copy":"@call"},
                  {"from":"iso8583","to":"session-2","field":"amountMinor","copy":"11"},
                  {"from":"iso8583","to":"session-2","field":"trace","rule":"pad-zeros","of":"32","otherwise":"leave-out"},
                  {"from":"iso8583","to":"session-2","lost":"4"},{"from":"iso8583","to":"session-2","lost":"37"}]})",
      R"({"rows":[{"to":"session-2","field":"region","by":"@class","table":{"0":"zero","a":"b"},"otherwise":{"constant":"r"}},
                  {"to":"session-2","field":"terminal","rule":"six-digits","of":"@number","otherwise":"leave-out"},
                  {"to":"session-2","lost":"@terminal"}]})"};
  for (const auto& json : tables) {
    const auto table = read_operator_table(json);
    for (const auto& client : kClientDialects) {
      for (const auto& server : kServerDialects) {
        for (const MessageKind kind :
             {MessageKind::kSetUp, MessageKind::kAnswer, MessageKind::kGiveUp, MessageKind::kRelease}) {
          const bool back = kind == MessageKind::kAnswer;
          const auto& from = *find_dialect(back ? server : client);
          const auto& to = *find_dialect(back ? client : server);
          CAPTURE(from.name + " to " + to.name + " " + std::string(name_of(kind)));
          std::vector<std::string> faults;
          const auto program = compile(from, to, kind, table, faults);
          for (const auto& fault : faults) FAIL_CHECK(fault);
          REQUIRE(program);
          const reference::Interpreter interpreter(from, to, kind, table);
          Record in, out;
          const bool agree = rc::check(from.name + "-" + to.name, [&] {
            const auto values = random_fields(from.of(kind));
            fill(in, from.of(kind), values);
            RC_ASSERT((!find_invalid_field(from.of(kind), in)));
            const auto result = program->translate_record(in, out);
            std::string failed_field;
            const auto expected = interpreter.translate_fields(values, failed_field);
            RC_ASSERT((static_cast<bool>(result) == expected.has_value()));
            if (result) {
              RC_ASSERT((read(out, to.of(kind)) == *expected));
              RC_ASSERT((!find_invalid_field(to.of(kind), out)));
            } else {
              RC_ASSERT((to.of(kind)[result.field].name == failed_field));
            }
          });
          CHECK(agree);
        }
      }
    }
  }
}

TEST_CASE("durations are converted to the target's unit and rounded down") {
  Dialect from, to;
  from.name = "from";
  to.name = "to";
  from.fields[0] = {{"ms", Meaning::kRemainingWait, FieldType::kDuration, 1000, 600'000'000, true, 1000}};
  to.fields[0] = {{"s", Meaning::kRemainingWait, FieldType::kDuration, 0, 600'000'000, true, 1'000'000}};
  std::vector<std::string> faults;
  CHECK_FALSE(compile(from, to, MessageKind::kSetUp, {},
                      faults));  // a scaled value is not proven to be valid, so otherwise is required
  const MappingTable table{{MappingRow{"*", "*", MessageKind::kSetUp, "s", Copy{"ms"}, NotEligible{}}}, {}};
  faults.clear();
  const auto program = compile(from, to, MessageKind::kSetUp, table, faults);
  REQUIRE(program);
  Record in, out;
  for (const auto& [ms, s] :
       std::vector<std::pair<std::int64_t, std::int64_t>>{{1, 0}, {999, 0}, {1999, 1}, {600'000, 600}}) {
    in.clear();
    in.set(0, ms);
    REQUIRE(program->translate_record(in, out));
    CHECK(out.number(0) == s);
  }
}

TEST_CASE("every error of every server has one meaning and one code for every client") {
  for (const auto& server : kServerDialects) {
    const auto& dialect = *find_dialect(server);
    for (std::uint32_t code = 300; code < 6000; ++code) {
      const auto meaning = meaning_of(dialect, code);
      // Only an error that the dialect lists may prove that the call was not executed.
      const bool is_listed = std::any_of(
          dialect.errors.begin(), dialect.errors.end(),
          [code](const auto& error) { return error.from == code && error.to == code && error.name.empty(); });
      const bool in_range = std::any_of(
          dialect.errors.begin(), dialect.errors.end(),
          [code](const auto& error) { return error.from <= code && code <= error.to && error.name.empty(); });
      if (!is_listed && !in_range) CHECK(meaning == ErrorClassification{});
      if (!in_range) CHECK(meaning.execution_state == ExecutionState::kMayHaveExecuted);
    }
    for (const auto& error : dialect.errors) {
      if (error.from == error.to) CHECK(meaning_of(dialect, error.from, error.name) == error.meaning);
      // An error with an unknown name has the meaning of its code.
      CHECK(meaning_of(dialect, error.from, "unheard-of") == meaning_of(dialect, error.from));
      const auto verdict = verdict_of(error.meaning);
      if (error.meaning.scope != ErrorScope::kServer) CHECK(verdict.is_caller_fault);
      if (error.meaning.execution_state == ExecutionState::kMayHaveExecuted) {
        CHECK(verdict.outcome != Outcome::kFull);
        CHECK(verdict.outcome != Outcome::kNotSent);
      }
      for (const auto& client : kClientDialects) {
        const auto& client_dialect = *find_dialect(client);
        const auto& reason_code = code_for_reason(client_dialect, error.meaning.reason);
        CHECK(info_of(reason_code.reason).final_answer == info_of(error.meaning.reason).final_answer);
      }
    }
  }
  // On JSON lines exactly the causes 34, 42 and 102 stand for a rejection.
  const auto& json = *find_dialect("json-lines");
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    const auto reason = static_cast<Reason>(i);
    const auto code = code_for_reason(json, reason).code;
    CHECK((code == 34 || code == 42 || code == 102) ==
          (info_of(reason).final_answer == FinalAnswerKind::kRejected));
    CHECK(reason_from_name(name_of(reason)) == reason);
  }
}

TEST_CASE("an operator's error replaces the built-in one or is added") {
  const auto table = read_operator_table(
      R"({"errors":[{"dialect":"session-2","code":429,"reason":"over-share","ran":"no","about":"call"},
                    {"dialect":"session-2","code":418,"name":"teapot","reason":"number-unknown","ran":"no","about":"call"}]})");
  const auto dialect = with_errors(*find_dialect("session-2"), table);
  CHECK(faults_of(dialect).empty());
  CHECK(meaning_of(dialect, 429).reason == Reason::kOverQuota);
  CHECK(meaning_of(dialect, 418, "teapot").reason == Reason::kNumberUnknown);
  CHECK(meaning_of(dialect, 418).reason == Reason::kServerFault);
  CHECK(with_errors(*find_dialect("session-1"), table).errors.size() ==
        find_dialect("session-1")->errors.size());
}

TEST_CASE("a call may go to other versions, and its caller gets the most specific reason") {
  const auto session_1 = DialectIndex{2};
  const auto session_2 = DialectIndex{3};
  core::AttemptHistory call(version_set(DialectIndex{0}) | version_set(DialectIndex{1}));
  CHECK_FALSE(call.is_unroutable(0));  // no server's dialect is known yet
  CHECK_FALSE(call.is_unroutable(version_set(session_1)));
  CHECK(call.is_unroutable(version_set(DialectIndex{0})));
  CHECK(call.reason(Reason::kTimeout) == Reason::kTimeout);
  auto verdict = call.on_attempt_ended(
      session_1, {Reason::kCongestion, ExecutionState::kNotExecuted, ErrorScope::kServer}, seconds{4});
  CHECK(verdict.outcome == Outcome::kFull);
  CHECK_FALSE(verdict.is_caller_fault);
  verdict = call.on_attempt_ended(
      session_1, {Reason::kNoCircuit, ExecutionState::kNotExecuted, ErrorScope::kServer}, seconds{2});
  CHECK(call.retry_after() == seconds{2});
  CHECK(call.reason(Reason::kCongestion) == Reason::kNoCircuit);
  CHECK(call.reason(Reason::kNoCompatibleServer) == Reason::kNoCompatibleServer);
  verdict = call.on_attempt_ended(
      session_2, {Reason::kFieldRejected, ExecutionState::kNotExecuted, ErrorScope::kVersion});
  CHECK(verdict.outcome == Outcome::kNotSent);
  CHECK(verdict.is_caller_fault);
  CHECK(verdict.excludes_version);
  CHECK_FALSE(verdict.answer_immediately);
  CHECK_FALSE(call.is_unroutable(version_set(session_1) | version_set(session_2)));
  CHECK(call.is_unroutable(version_set(session_2)));
  CHECK(call.reason(Reason::kCongestion) == Reason::kFieldRejected);
  verdict = call.on_attempt_ended(
      session_1, {Reason::kTenantSuspended, ExecutionState::kNotExecuted, ErrorScope::kCall});
  CHECK(verdict.answer_immediately);
  CHECK(call.reason(Reason::kCongestion) == Reason::kTenantSuspended);
}

TEST_CASE("Retry-After is read in both formats and limited to the longest delay") {
  constexpr std::int64_t kNow = 784'111'777'000;  // Sun, 06 Nov 1994 08:49:37 GMT
  const Duration max_delay = seconds{30};
  struct Case {
    std::string value;
    std::optional<Duration> expected;
  };
  const std::vector<Case> cases = {
      {"0", Duration::zero()},
      {"7", seconds{7}},
      {"31", max_delay},
      {"99999999999999999999", max_delay},
      {"Sun, 06 Nov 1994 08:49:47 GMT", seconds{10}},
      {"Sunday, 06-Nov-94 08:49:47 GMT", seconds{10}},
      {"Sun Nov  6 08:49:47 1994", seconds{10}},
      {"Sun, 06 Nov 1994 08:49:30 GMT", Duration::zero()},
      {"Sun, 06 Nov 2094 08:49:30 GMT", max_delay},
      {"Sun, 06 Nov 1994 08:49:47 CET", std::nullopt},
      {"", std::nullopt},
      {"-1", std::nullopt},
      {"1.5", std::nullopt},
      {"7 ", std::nullopt},
      {"soon", std::nullopt},
      {std::string(100, '1'), std::nullopt},
  };
  for (const auto& test_case : cases) {
    CAPTURE(test_case.value);
    CHECK(read_retry_after(test_case.value, kNow, max_delay) == test_case.expected);
  }
}
