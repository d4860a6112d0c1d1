// The operators' command line: parses the arguments, reads the files and runs the commands of
// tool/commands.hpp. Exits with 0 on success, 1 if a checked file, a table or a message is invalid, and 2 on
// wrong usage, an unreadable file or an invalid file given with --operator.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "app/config.hpp"
#include "tool/commands.hpp"

using namespace amberknot;

int main(int argc, char** argv) {
  CLI::App program("amberknot: checks operators' files and explains the translation between protocols");
  program.footer(
      "Examples:\n"
      "  amberknot check deploy/operator.json\n"
      "  amberknot translate matrix --operator deploy/operator.json\n"
      "  amberknot translate explain json-lines session-1 sid=00112233445566aa class=voice left=1500 \\\n"
      "      tenant=acme key=77aa text=v=0");
  program.require_subcommand(1);
  int status = 0;

  std::vector<std::string> files;
  auto* check =
      program.add_subcommand("check", "check whether a router starts with each of these operator files");
  check->add_option("FILE", files, "files to check")->required();
  check->callback([&] {
    for (const auto& file : files) {
      if (!tool::check(file, app::read_file(file), std::cout)) status = 1;
    }
  });

  std::string file;
  auto* translate = program.add_subcommand("translate", "show how messages are translated between protocols");
  translate->require_subcommand(1);
  const auto table = [&file] {
    return file.empty() ? translate::MappingTable() : tool::read_translation_table(app::read_file(file));
  };

  auto* matrix = translate->add_subcommand(
      "matrix", "show the mappings between all dialects, the lost fields and the error codes");
  matrix->add_option("--operator", file, "operator's file with rows and errors to apply");
  matrix->callback([&] {
    if (!tool::matrix(table(), std::cout)) status = 1;
  });

  std::string from;
  std::string to;
  std::string kind = "set-up";
  std::vector<std::string> fields;
  auto* explain =
      translate->add_subcommand("explain", "translate one message to another dialect and explain each field");
  explain->add_option("FROM", from, "dialect of the message")->required();
  explain->add_option("TO", to, "dialect to translate it to")->required();
  explain->add_option("FIELD=VALUE", fields, "fields of the message");
  explain->add_option("--kind", kind, "kind of message: set-up, answer, give-up or release");
  explain->add_option("--operator", file, "operator's file with rows to apply");
  explain->callback([&] {
    std::vector<std::pair<std::string, std::string>> field_values;
    for (const auto& field : fields) {
      const auto equals_sign = field.find('=');
      if (equals_sign == std::string::npos) throw CLI::ValidationError("FIELD=VALUE", field + " has no '='");
      field_values.emplace_back(field.substr(0, equals_sign), field.substr(equals_sign + 1));
    }
    if (!tool::explain(from, to, kind, table(), field_values, std::cout)) status = 1;
  });

  program.add_subcommand("version", "print the version of this program")->callback([] {
    std::cout << "amberknot " << AMBERKNOT_VERSION << "\n";
  });

  try {
    program.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return program.exit(error) == 0 ? 0 : 2;
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
  return status;
}
