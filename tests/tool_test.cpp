// Tests the commands of the operators' command line with valid and invalid files, messages and tables.
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

bool contains(const std::ostringstream& out, const std::string& text) {
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

TEST_CASE("check reports whether a router starts with a file and names the invalid field") {
  std::ostringstream out;
  CHECK(tool::check("example", example(), out));
  CHECK(contains(out, "example: valid"));
  const std::vector<std::pair<std::string, std::string>> invalid_files = {
      {"{", "not JSON"},
      {R"({"session_api":{}})", "session_api.servers: is missing"},
      {R"({"session_api":{"servers":{}}})", "session_api.servers: names no server"},
      {R"({"session_api":{"servers":{"a":"session-3"}}})", "session_api.servers.a: is none of"},
      {R"({"session_api":{"servers":{"a":"learn"}}})",
       "region: is required and nothing says where it comes from"},
      {R"({"translate":{"rows":[{"field":"x"}]}})", "translate.rows[0]: needs exactly one of"},
      {R"({"translate":{"rows":[{"field":"x","rule":"magic","of":"y"}]}})", "translate.rows[0].rule"},
  };
  for (const auto& [json, fault] : invalid_files) {
    CAPTURE(json);
    std::ostringstream output;
    CHECK_FALSE(tool::check("bad.json", json, output));
    CHECK_MESSAGE(contains(output, fault), output.str());
    CHECK(output.str().rfind("bad.json: ", 0) == 0);
  }
}

TEST_CASE("explain translates a message to the other dialect and gives the source of each field") {
  const auto table = tool::read_translation_table(example());
  std::ostringstream out;
  CHECK(tool::explain("json-lines", "session-2", "set-up", table, kSetUp, out));
  CHECK(contains(out, "region = jakarta: looked up by tenant"));
  CHECK(contains(out, "retailer = toko-sinar: copied from tenant"));
  CHECK(contains(out, "dest: lost: used by the router only"));
  auto unlisted = kSetUp;
  unlisted[3].second = "nobody";
  std::ostringstream ineligible;
  CHECK_FALSE(tool::explain("json-lines", "session-2", "set-up", table, unlisted, ineligible));
  CHECK(contains(ineligible, "not eligible for session-2: region: its value is not in the table"));
  const auto check_fails = [&](const char* from, const char* to, const char* kind,
                               const std::vector<std::pair<std::string, std::string>>& fields,
                               const char* why) {
    std::ostringstream output;
    CHECK_FALSE(tool::explain(from, to, kind, table, fields, output));
    CHECK_MESSAGE(contains(output, why), output.str());
  };
  check_fails("morse", "sip", "set-up", kSetUp, "unknown dialect: morse");
  check_fails("json-lines", "sip", "party", kSetUp, "unknown kind: party");
  check_fails("json-lines", "sip", "set-up", {{"colour", "red"}}, "json-lines has no field colour");
  check_fails("json-lines", "sip", "set-up", {{"left", "soon"}}, "left is not a number: soon");
  check_fails("json-lines", "sip", "set-up", {{"sid", "short"}}, "sid has an invalid value");
  check_fails("json-lines", "sip", "set-up", {}, "sid is missing");
}

TEST_CASE("the matrix lists the pairs of dialects, the lost fields and the code for each error") {
  std::ostringstream out;
  CHECK(tool::matrix(tool::read_translation_table(example()), out));
  CHECK(contains(out, "json-lines to session-2: loses dest, width"));
  CHECK(contains(
      out,
      "session-2 403 tenant-suspended: tenant-suspended, not executed, about the call: json-lines 21, "
      "diameter 4010, iso8583 57 (failed)"));
  CHECK(contains(
      out,
      "session-1 503: congestion, not executed, about the server: json-lines 42, diameter 3004, iso8583 91 "
      "(refused)"));
  std::ostringstream without;
  CHECK_FALSE(tool::matrix({}, without));
  CHECK(contains(without, "json-lines to session-2: refused"));
  CHECK(contains(without, "fault: json-lines"));
}
