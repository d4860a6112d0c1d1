// Translation: dialects, compiled mappings against the plain interpreter, errors and words.
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

const std::vector<std::string> kClients = {"json-lines", "diameter", "iso8583"};
const std::vector<std::string> kServers = {"sip", "diameter-server", "session-1", "session-2"};

Table operators(const std::string& json) {
  Table table;
  const auto faults = read_table(json, table);
  for (const auto& fault : faults) MESSAGE(fault);
  REQUIRE(faults.empty());
  return table;
}

const char* kRegions =
    R"({"rows":[{"to":"session-2","field":"region","by":"@tenant","table":{"acme":"jakarta","toko":"surabaya"},)"
    R"("otherwise":"not-eligible"}]})";

bool has_fault(const std::vector<std::string>& faults, const std::string& text) {
  for (const auto& fault : faults) {
    if (fault.find(text) != std::string::npos) return true;
  }
  for (const auto& fault : faults) MESSAGE(fault);
  return false;
}

/// A value that the field may hold, most often near its bounds.
std::string any_value(const FieldSpec& field) {
  if (field.type == Type::kWord) return *rc::gen::elementOf(field.words);
  if (!is_textual(field.type)) {
    const auto unit = field.type == Type::kDuration ? field.unit : 1;
    return std::to_string(*rc::gen::inRange<std::int64_t>(field.least / unit, field.most / unit + 1));
  }
  static const std::string kDigits = "0123456789";
  static const std::string kHex = "0123456789abcdef";
  static const std::string kToken = "09afAZ-._!~";
  const std::string& letters = field.type == Type::kDigits ? kDigits
                               : field.type == Type::kHex  ? kHex
                                                           : kToken;
  const auto longest = std::min<std::int64_t>(field.most, field.least + 70);
  const auto size = *rc::gen::elementOf(std::vector<std::int64_t>{
      field.least, longest, *rc::gen::inRange<std::int64_t>(field.least, longest + 1)});
  std::string text =
      *rc::gen::container<std::string>(static_cast<std::size_t>(size), rc::gen::elementOf(letters));
  // Long ones are where other dialects' bounds are.
  if (field.most > 900 && *rc::gen::inRange(0, 8) == 0)
    text.assign(static_cast<std::size_t>(field.most), 'x');
  return text;
}

plain::Fields any_fields(const std::vector<FieldSpec>& fields) {
  plain::Fields made;
  for (const auto& field : fields) {
    if (field.required || *rc::gen::arbitrary<bool>()) made[field.name] = any_value(field);
  }
  if (made.contains("tenant") && *rc::gen::arbitrary<bool>()) made["tenant"] = "acme";
  return made;
}

void fill(Record& record, const std::vector<FieldSpec>& fields, const plain::Fields& values) {
  record.clear();
  for (std::size_t i = 0; i < fields.size(); ++i) {
    const auto found = values.find(fields[i].name);
    if (found == values.end()) continue;
    if (is_textual(fields[i].type)) {
      record.set(i, std::string_view(found->second));
    } else {
      record.set(i, static_cast<std::int64_t>(std::stoll(found->second)));
    }
  }
}

plain::Fields read(const Record& record, const std::vector<FieldSpec>& fields) {
  plain::Fields values;
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (!record.has(i)) continue;
    values[fields[i].name] =
        is_textual(fields[i].type) ? std::string(record.text(i)) : std::to_string(record.number(i));
  }
  return values;
}

}  // namespace

TEST_CASE("the project's own dialects are sound") {
  std::set<std::string> names;
  for (const auto& dialect : dialects()) {
    for (const auto& fault : faults_of(dialect)) FAIL_CHECK(fault);
    CHECK(names.insert(dialect.name).second);
  }
  CHECK(names.size() == kClients.size() + kServers.size());
}

TEST_CASE("a dialect with a fault is refused, and the field named") {
  auto dialect = *find_dialect("session-1");
  auto& fields = dialect.fields[static_cast<std::size_t>(Kind::kSetUp)];
  fields.push_back(fields.front());
  fields.push_back({"empty", Meaning::kNone, Type::kText, 5, 4, false});
  dialect.errors.push_back({503, 503, "", {}});
  dialect.errors.push_back({450, 599, "", {}});
  dialect.errors.push_back({599, 500, "", {}});
  const auto faults = faults_of(dialect);
  CHECK(has_fault(faults, "set-up.id: comes twice"));
  CHECK(has_fault(faults, "set-up.id: means the same as another field"));
  CHECK(has_fault(faults, "set-up.empty: nothing can be in its range"));
  CHECK(has_fault(faults, "errors.503: has two meanings"));
  CHECK(has_fault(faults, "errors.450: has two meanings"));
  CHECK(has_fault(faults, "errors.599: its range is empty"));
  auto wordless = *find_dialect("iso8583");
  std::erase_if(wordless.words, [](const auto& word) { return word.reason == Reason::kCongestion; });
  CHECK(has_fault(faults_of(wordless), "words.congestion: there is no word for it"));
}

TEST_CASE("every client reaches every server, once the operator says what no client sends") {
  const Translator translator(kClients, kServers, operators(kRegions));
  for (const auto& fault : translator.faults()) FAIL_CHECK(fault);
  for (std::size_t client = 0; client < translator.clients(); ++client) {
    for (std::size_t server = 0; server < translator.servers(); ++server) {
      CHECK(translator.mapping(client, static_cast<DialectNo>(server)) != nullptr);
    }
  }
  const Translator without(kClients, kServers, {});
  CHECK(has_fault(without.faults(), "json-lines → session-2, set-up: region: is required and nothing says"));
  CHECK(without.faults().size() == kClients.size());
  CHECK(without.mapping(0, *without.server_no("session-1")) != nullptr);
  CHECK(without.mapping(0, *without.server_no("session-2")) == nullptr);
}

TEST_CASE("a mapping that is not total is refused, and the field named") {
  struct Case {
    const char* what;
    std::string rows;  ///< beside a sound one for the region
    std::string fault;
  };
  const auto region = [](const std::string& more) {
    return R"({"to":"session-2","field":"region",)" + more + "}";
  };
  const std::vector<Case> cases = {
      {"no otherwise for a table", region(R"("by":"@tenant","table":{"acme":"x"})"),
       "region: may be given what it cannot hold"},
      {"a value that the field cannot hold",
       region(R"("by":"@tenant","table":{"acme":"a b"},"otherwise":"not-eligible")"),
       "region: cannot hold \"a b\", the value for acme"},
      {"a constant that the field cannot hold", region(R"("constant":"a b")"),
       "region: cannot hold the constant"},
      {"a source that is not there", region(R"("copy":"nobody")"),
       "region: is required, and json-lines has no nobody"},
      {"not eligible for want of any source", region(R"("copy":"nobody","otherwise":"not-eligible")"),
       "no message could be said"},
      {"a source of another type", region(R"("copy":"left")"), "region: is a token, and left a duration"},
      {"required and left out", region(R"("by":"@tenant","table":{},"otherwise":"leave-out")"),
       "region: is required and cannot be left out"},
      {"an optional source of what is required", region(R"("copy":"dest")"),
       "region: is required, and its source may be missing"},
      {"a longer source", region(R"("copy":"tenant")"), "region: may be given what it cannot hold"},
      {"a rule without otherwise", region(R"("rule":"lower","of":"tenant")"),
       "region: may be given what it cannot hold"},
      {"a rule of a number", region(R"("rule":"lower","of":"left","otherwise":"not-eligible")"),
       "region: rules make texts out of texts"},
      {"two rows", region(R"("constant":"x")") + "," + region(R"("constant":"y")"), "region: two rows"},
      {"a key that cannot be", region(R"("by":"sid","table":{"acme":"x"},"otherwise":"not-eligible")"),
       "region: sid is never \"acme\""},
      {"a bad fallback", region(R"("by":"@tenant","table":{},"otherwise":{"constant":"a b"})"),
       "region: cannot hold the constant \"a b\""},
  };
  for (const auto& one : cases) {
    CAPTURE(one.what);
    std::vector<std::string> faults;
    const auto made = compile(*find_dialect("json-lines"), *find_dialect("session-2"), Kind::kSetUp,
                              operators("{\"rows\":[" + one.rows + "]}"), faults);
    CHECK_FALSE(made);
    CHECK(has_fault(faults, one.fault));
  }
  // What is carried nowhere must be declared.
  auto rich = *find_dialect("json-lines");
  rich.fields[0].push_back({"colour", Meaning::kNone, Type::kText, 0, 8, false});
  std::vector<std::string> faults;
  CHECK_FALSE(compile(rich, *find_dialect("sip"), Kind::kSetUp, {}, faults));
  CHECK(has_fault(faults, "colour: is carried nowhere and not declared lost"));
  CHECK(compile(rich, *find_dialect("sip"), Kind::kSetUp,
                operators(R"({"rows":[{"lost":"colour","why":"vain"}]})"), faults));
}

TEST_CASE("an operator's table with a fault is refused with the path of the field") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"nonsense", "translate: not JSON"},
      {"{\"a\xf0:", "translate: not JSON"},  // ends in a letter begun
      {"[]", "translate: is not an object"},
      {R"({"row":[]})", "translate.row: is not known"},
      {R"({"rows":{}})", "translate.rows: is not a list"},
      {R"({"rows":[7]})", "translate.rows[0]: is not an object"},
      {R"({"rows":[{"field":"a","constant":"b"},{"to":"x","field":"a","constant":"b"}]})",
       "translate.rows[1].to: \"x\" is no dialect"},
      {R"({"rows":[{"constant":"b"}]})", "translate.rows[0].field: is missing"},
      {R"({"rows":[{"field":"a"}]})", "translate.rows[0]: needs just one of"},
      {R"({"rows":[{"field":"a","constant":"b","copy":"c"}]})", "translate.rows[0]: needs just one of"},
      {R"({"rows":[{"field":"a","rule":"magic","of":"c"}]})", "translate.rows[0].rule: \"magic\" is no rule"},
      {R"({"rows":[{"field":"a","rule":"upper"}]})", "translate.rows[0].of: is missing"},
      {R"({"rows":[{"field":"a","by":"c"}]})", "translate.rows[0].table: is missing"},
      {R"({"rows":[{"field":"a","by":"c","table":{"k":true}}]})", "translate.rows[0].table.k"},
      {R"({"rows":[{"field":"a","by":"c","table":{"k":"1","k":"2"}}]})",
       "translate.rows[0].table.k: comes twice"},
      {R"({"rows":[{"field":"a","copy":"c","otherwise":"maybe"}]})",
       "translate.rows[0].otherwise: is none of"},
      {R"({"rows":[{"field":"a","copy":"c","table":{}}]})", "translate.rows[0].table: needs by"},
      {R"({"rows":[{"kind":"party","field":"a","copy":"c"}]})", "translate.rows[0].kind"},
      {R"({"rows":[{"lost":"a","field":"b"}]})", "translate.rows[0].field: cannot stand beside lost"},
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
    Table table;
    CHECK(has_fault(read_table(json, table), fault));
    CHECK(table.rows.empty());
    CHECK(table.errors.empty());
  }
}

TEST_CASE("a set-up keeps its meaning field by field") {
  const Translator translator(kClients, kServers, operators(kRegions));
  const auto& from = translator.client(0).of(Kind::kSetUp);
  Record in, out;
  const plain::Fields values = {{"sid", "00112233445566aa"},
                                {"class", "voice"},
                                {"left", "1500"},
                                {"tenant", "toko"},
                                {"key", "77aa"},
                                {"text", "v=0"},
                                {"dest", "2"},
                                {"again", "1"}};
  fill(in, from, values);
  REQUIRE_FALSE(fault_in(from, in));
  const auto* mapping = translator.mapping(0, *translator.server_no("session-2"));
  REQUIRE(mapping->set_up.run(in, out));
  CHECK(read(out, mapping->set_up.to_fields()) == plain::Fields{{"id", "00112233445566aa"},
                                                                {"class", "voice"},
                                                                {"number", "77aa"},
                                                                {"description", "v=0"},
                                                                {"waitMs", "1500"},
                                                                {"retailer", "toko"},
                                                                {"region", "surabaya"},
                                                                {"again", "1"}});
  // What no table can supply bars the version, and only that.
  auto unlisted = values;
  unlisted["tenant"] = "warung";
  fill(in, from, unlisted);
  const auto ruling = translator.rule(0, in, out);
  const auto two = *translator.server_no("session-2");
  CHECK(ruling.out == set_of(two));
  CHECK(ruling.why[static_cast<std::size_t>(two)].bar == Bar::kNotListed);
  CHECK(translator.server(two).of(Kind::kSetUp)[ruling.why[static_cast<std::size_t>(two)].field].name ==
        "region");
}

TEST_CASE("a compiled program says what the plain interpreter says") {
  const std::vector<std::string> tables = {
      kRegions,
      R"({"rows":[{"to":"session-2","field":"region","rule":"first-label","of":"@tenant","otherwise":{"constant":"any"}},
                  {"to":"session-2","field":"reference","copy":"@call"},
                  {"from":"iso8583","to":"session-2","field":"amountMinor","copy":"11"},
                  {"from":"iso8583","to":"session-2","field":"trace","rule":"pad-zeros","of":"32","otherwise":"leave-out"},
                  {"from":"iso8583","to":"session-2","lost":"4"},{"from":"iso8583","to":"session-2","lost":"37"}]})",
      R"({"rows":[{"to":"session-2","field":"region","by":"@class","table":{"0":"zero","a":"b"},"otherwise":{"constant":"r"}},
                  {"to":"session-2","field":"terminal","rule":"six-digits","of":"@number","otherwise":"leave-out"},
                  {"to":"session-2","lost":"@terminal"}]})"};
  for (const auto& json : tables) {
    const auto table = operators(json);
    for (const auto& client : kClients) {
      for (const auto& server : kServers) {
        for (const Kind kind : {Kind::kSetUp, Kind::kAnswer, Kind::kGiveUp, Kind::kRelease}) {
          const bool back = kind == Kind::kAnswer;
          const auto& from = *find_dialect(back ? server : client);
          const auto& to = *find_dialect(back ? client : server);
          CAPTURE(from.name + " to " + to.name + " " + std::string(name_of(kind)));
          std::vector<std::string> faults;
          const auto program = compile(from, to, kind, table, faults);
          for (const auto& fault : faults) FAIL_CHECK(fault);
          REQUIRE(program);
          const plain::Interpreter slow(from, to, kind, table);
          Record in, out;
          const bool agree = rc::check(from.name + "-" + to.name, [&] {
            const auto values = any_fields(from.of(kind));
            fill(in, from.of(kind), values);
            RC_ASSERT((!fault_in(from.of(kind), in)));
            const auto said = program->run(in, out);
            std::string bar;
            const auto expected = slow.run(values, bar);
            RC_ASSERT((static_cast<bool>(said) == expected.has_value()));
            if (said) {
              RC_ASSERT((read(out, to.of(kind)) == *expected));
              RC_ASSERT((!fault_in(to.of(kind), out)));
            } else {
              RC_ASSERT((to.of(kind)[said.field].name == bar));
            }
          });
          CHECK(agree);
        }
      }
    }
  }
}

TEST_CASE("durations are told in the other side's unit, and never longer") {
  Dialect from, to;
  from.name = "from";
  to.name = "to";
  from.fields[0] = {{"ms", Meaning::kPatience, Type::kDuration, 1000, 600'000'000, true, 1000}};
  to.fields[0] = {{"s", Meaning::kPatience, Type::kDuration, 0, 600'000'000, true, 1'000'000}};
  std::vector<std::string> faults;
  CHECK_FALSE(compile(from, to, Kind::kSetUp, {}, faults));  // what it may be given is not proven to fit
  const Table table{{Row{"*", "*", Kind::kSetUp, "s", Copy{"ms"}, NotEligible{}}}, {}};
  faults.clear();
  const auto program = compile(from, to, Kind::kSetUp, table, faults);
  REQUIRE(program);
  Record in, out;
  for (const auto& [ms, s] :
       std::vector<std::pair<std::int64_t, std::int64_t>>{{1, 0}, {999, 0}, {1999, 1}, {600'000, 600}}) {
    in.clear();
    in.set(0, ms);
    REQUIRE(program->run(in, out));
    CHECK(out.number(0) == s);
  }
}

TEST_CASE("every error of every server has one meaning and one word at every client") {
  for (const auto& server : kServers) {
    const auto& dialect = *find_dialect(server);
    for (std::uint32_t code = 300; code < 6000; ++code) {
      const auto meaning = meaning_of(dialect, code);
      // Only what is stated may be taken for proof that nothing ran.
      const bool stated = std::any_of(
          dialect.errors.begin(), dialect.errors.end(),
          [code](const auto& error) { return error.from == code && error.to == code && error.name.empty(); });
      const bool in_range = std::any_of(
          dialect.errors.begin(), dialect.errors.end(),
          [code](const auto& error) { return error.from <= code && code <= error.to && error.name.empty(); });
      if (!stated && !in_range) CHECK(meaning == ErrorMeaning{});
      if (!in_range) CHECK(meaning.ran == Ran::kMaybe);
    }
    for (const auto& error : dialect.errors) {
      if (error.from == error.to) CHECK(meaning_of(dialect, error.from, error.name) == error.meaning);
      // A name that nobody has stated falls back to the number.
      CHECK(meaning_of(dialect, error.from, "unheard-of") == meaning_of(dialect, error.from));
      const auto verdict = verdict_of(error.meaning);
      if (error.meaning.about != About::kServer) CHECK(verdict.is_caller_fault);
      if (error.meaning.ran == Ran::kMaybe) {
        CHECK(verdict.outcome != Outcome::kFull);
        CHECK(verdict.outcome != Outcome::kNotSent);
      }
      for (const auto& client : kClients) {
        const auto& words = *find_dialect(client);
        const auto& word = word_for(words, error.meaning.reason);
        CHECK(facts_of(word.reason).final_answer == facts_of(error.meaning.reason).final_answer);
      }
    }
  }
  // On the platform's front refusals are the causes 34, 42 and 102, and nothing else is.
  const auto& json = *find_dialect("json-lines");
  for (std::size_t i = 0; i < kReasons; ++i) {
    const auto reason = static_cast<Reason>(i);
    const auto code = word_for(json, reason).code;
    CHECK((code == 34 || code == 42 || code == 102) == (facts_of(reason).final_answer == Final::kRejected));
    CHECK(reason_of(name_of(reason)) == reason);
  }
}

TEST_CASE("an operator's error takes the place of ours, or is added") {
  const auto table = operators(
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

TEST_CASE("a call goes on to other versions, and its caller hears what says most") {
  const auto one = DialectNo{2};
  const auto two = DialectNo{3};
  core::Placement call(set_of(DialectNo{0}) | set_of(DialectNo{1}));
  CHECK_FALSE(call.is_unroutable(0));  // nothing is known to be spoken yet
  CHECK_FALSE(call.is_unroutable(set_of(one)));
  CHECK(call.is_unroutable(set_of(DialectNo{0})));
  CHECK(call.reason(Reason::kTimeout) == Reason::kTimeout);
  auto verdict = call.on_attempt_ended(one, {Reason::kCongestion, Ran::kNo, About::kServer}, seconds{4});
  CHECK(verdict.outcome == Outcome::kFull);
  CHECK_FALSE(verdict.is_caller_fault);
  verdict = call.on_attempt_ended(one, {Reason::kNoCircuit, Ran::kNo, About::kServer}, seconds{2});
  CHECK(call.retry_after() == seconds{2});
  CHECK(call.reason(Reason::kCongestion) == Reason::kNoCircuit);
  CHECK(call.reason(Reason::kNoCompatibleServer) == Reason::kNoCompatibleServer);
  verdict = call.on_attempt_ended(two, {Reason::kFieldRejected, Ran::kNo, About::kVersion});
  CHECK(verdict.outcome == Outcome::kNotSent);
  CHECK(verdict.is_caller_fault);
  CHECK(verdict.excludes_version);
  CHECK_FALSE(verdict.final_now);
  CHECK_FALSE(call.is_unroutable(set_of(one) | set_of(two)));
  CHECK(call.is_unroutable(set_of(two)));
  CHECK(call.reason(Reason::kCongestion) == Reason::kFieldRejected);
  verdict = call.on_attempt_ended(one, {Reason::kTenantSuspended, Ran::kNo, About::kCall});
  CHECK(verdict.final_now);
  CHECK(call.reason(Reason::kCongestion) == Reason::kTenantSuspended);
}

TEST_CASE("Retry-After is read in both forms, and capped") {
  constexpr std::int64_t kNow = 784'111'777'000;  // Sun, 06 Nov 1994 08:49:37 GMT
  const Duration most = seconds{30};
  struct Case {
    std::string value;
    std::optional<Duration> read;
  };
  const std::vector<Case> cases = {
      {"0", Duration::zero()},
      {"7", seconds{7}},
      {"31", most},
      {"99999999999999999999", most},
      {"Sun, 06 Nov 1994 08:49:47 GMT", seconds{10}},
      {"Sunday, 06-Nov-94 08:49:47 GMT", seconds{10}},
      {"Sun Nov  6 08:49:47 1994", seconds{10}},
      {"Sun, 06 Nov 1994 08:49:30 GMT", Duration::zero()},
      {"Sun, 06 Nov 2094 08:49:30 GMT", most},
      {"Sun, 06 Nov 1994 08:49:47 CET", std::nullopt},
      {"", std::nullopt},
      {"-1", std::nullopt},
      {"1.5", std::nullopt},
      {"7 ", std::nullopt},
      {"soon", std::nullopt},
      {std::string(100, '1'), std::nullopt},
  };
  for (const auto& one : cases) {
    CAPTURE(one.value);
    CHECK(read_retry_after(one.value, kNow, most) == one.read);
  }
}
