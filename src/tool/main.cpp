// The operators' command line: reads words and files, and does what tool/commands.hpp says.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "app/config.hpp"
#include "tool/commands.hpp"

using namespace amberknot;

int main(int count, char** words) {
  CLI::App program("amberknot: checks and explains what an operator sets up");
  program.footer(
      "Examples:\n"
      "  amberknot check deploy/operator.json\n"
      "  amberknot translate matrix --operator deploy/operator.json\n"
      "  amberknot translate explain json-lines session-1 sid=00112233445566aa class=voice left=1500 \\\n"
      "      tenant=acme key=77aa text=v=0");
  program.require_subcommand(1);
  int status = 0;

  std::vector<std::string> files;
  auto* check = program.add_subcommand("check", "operator's files: whether a router starts with them");
  check->add_option("FILE", files, "files to check")->required();
  check->callback([&] {
    for (const auto& file : files) {
      if (!tool::check(file, app::read_file(file), std::cout)) status = 1;
    }
  });

  std::string file;
  auto* translate = program.add_subcommand("translate", "how the protocols are explained in each other");
  translate->require_subcommand(1);
  const auto table = [&file] {
    return file.empty() ? translate::Table() : tool::table_of(app::read_file(file));
  };

  auto* matrix = translate->add_subcommand(
      "matrix", "which client reaches which server, what is lost, which error says what");
  matrix->add_option("--operator", file, "the operator's file whose rows and errors count");
  matrix->callback([&] {
    if (!tool::matrix(table(), std::cout)) status = 1;
  });

  std::string from;
  std::string to;
  std::string kind = "set-up";
  std::vector<std::string> fields;
  auto* explain = translate->add_subcommand(
      "explain", "one message in, the other dialect out, with the reason for each field");
  explain->add_option("FROM", from, "dialect of the message")->required();
  explain->add_option("TO", to, "dialect to say it in")->required();
  explain->add_option("FIELD=VALUE", fields, "the message's fields");
  explain->add_option("--kind", kind, "set-up, answer, give-up or release");
  explain->add_option("--operator", file, "the operator's file whose rows count");
  explain->callback([&] {
    std::vector<std::pair<std::string, std::string>> given;
    for (const auto& field : fields) {
      const auto equals = field.find('=');
      if (equals == std::string::npos) throw CLI::ValidationError("FIELD=VALUE", field + " has no =");
      given.emplace_back(field.substr(0, equals), field.substr(equals + 1));
    }
    if (!tool::explain(from, to, kind, table(), given, std::cout)) status = 1;
  });

  program.add_subcommand("version", "the version of this program")->callback([] {
    std::cout << "amberknot " << AMBERKNOT_VERSION << "\n";
  });

  try {
    program.parse(count, words);
  } catch (const CLI::ParseError& error) {
    return program.exit(error) == 0 ? 0 : 2;
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
  return status;
}
