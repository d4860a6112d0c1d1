// The operators' command line: what it says for good and bad files, messages and tables.
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "tool/commands.hpp"

using namespace amberknot;

namespace {

std::string example() {
  std::ifstream file(EXAMPLE_OPERATOR_FILE);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool has(const std::ostringstream& out, const std::string& text) {
  return out.str().find(text) != std::string::npos;
}

const std::vector<std::pair<std::string, std::string>> kSetUp = {{"sid", "00112233445566aa"},
                                                                 {"class", "voice"},
                                                                 {"left", "1500"},
                                                                 {"tenant", "toko-sinar"},
                                                                 {"key", "77aa"},
                                                                 {"text", "v=0"},
                                                                 {"dest", "2"}};

}  // namespace

TEST_CASE("check tells whether a router starts with a file, and the field that is wrong") {
  std::ostringstream out;
  CHECK(tool::check("example", example(), out));
  CHECK(has(out, "example: good"));
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"{", "not JSON"},
      {R"({"session_api":{}})", "session_api.servers: is missing"},
      {R"({"session_api":{"servers":{}}})", "session_api.servers: names no server"},
      {R"({"session_api":{"servers":{"a":"session-3"}}})", "session_api.servers.a: is none of"},
      {R"({"session_api":{"servers":{"a":"learn"}}})",
       "region: is required and nothing says where it comes from"},
      {R"({"translate":{"rows":[{"field":"x"}]}})", "translate.rows[0]: needs just one of"},
      {R"({"translate":{"rows":[{"field":"x","rule":"magic","of":"y"}]}})", "translate.rows[0].rule"},
  };
  for (const auto& [json, fault] : bad) {
    CAPTURE(json);
    std::ostringstream said;
    CHECK_FALSE(tool::check("bad.json", json, said));
    CHECK_MESSAGE(has(said, fault), said.str());
    CHECK(said.str().rfind("bad.json: ", 0) == 0);
  }
}

TEST_CASE("explain says a message in the other dialect, with the reason for each field") {
  const auto table = tool::table_of(example());
  std::ostringstream out;
  CHECK(tool::explain("json-lines", "session-2", "set-up", table, kSetUp, out));
  CHECK(has(out, "region = jakarta: by tenant"));
  CHECK(has(out, "retailer = toko-sinar: copied from tenant"));
  CHECK(has(out, "dest: lost: the router goes by it"));
  auto unlisted = kSetUp;
  unlisted[3].second = "nobody";
  std::ostringstream barred;
  CHECK_FALSE(tool::explain("json-lines", "session-2", "set-up", table, unlisted, barred));
  CHECK(has(barred, "not eligible for session-2: region: its value is not in the table"));
  const auto fails = [&](const char* from, const char* to, const char* kind,
                         const std::vector<std::pair<std::string, std::string>>& fields, const char* why) {
    std::ostringstream said;
    CHECK_FALSE(tool::explain(from, to, kind, table, fields, said));
    CHECK_MESSAGE(has(said, why), said.str());
  };
  fails("morse", "sip", "set-up", kSetUp, "no such dialect: morse");
  fails("json-lines", "sip", "party", kSetUp, "no such kind: party");
  fails("json-lines", "sip", "set-up", {{"colour", "red"}}, "json-lines has no field colour");
  fails("json-lines", "sip", "set-up", {{"left", "soon"}}, "left is not a number: soon");
  fails("json-lines", "sip", "set-up", {{"sid", "short"}}, "sid cannot hold that");
  fails("json-lines", "sip", "set-up", {}, "sid is missing");
}

TEST_CASE("the matrix names who reaches whom, what is lost, and what each error says") {
  std::ostringstream out;
  CHECK(tool::matrix(tool::table_of(example()), out));
  CHECK(has(out, "json-lines to session-2: loses dest, width"));
  CHECK(has(out,
            "session-2 403 tenant-suspended: tenant-suspended, nothing ran, of the call: json-lines 21, "
            "diameter 4010, iso8583 57 (failed)"));
  CHECK(has(out,
            "session-1 503: congestion, nothing ran, of the server: json-lines 42, diameter 3004, iso8583 91 "
            "(refused)"));
  std::ostringstream without;
  CHECK_FALSE(tool::matrix({}, without));
  CHECK(has(without, "json-lines to session-2: refused"));
  CHECK(has(without, "fault: json-lines"));
}
