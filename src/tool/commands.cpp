#include "tool/commands.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

#include "app/kinds.hpp"
#include "app/operator_file.hpp"
#include "translate/eligibility.hpp"

namespace amberknot::tool {
namespace {

using translate::Dialect;
using translate::Kind;

const std::vector<std::string> kClients = {"json-lines", "diameter", "iso8583"};
const std::vector<std::string> kServers = {"sip", "diameter-server", "session-1", "session-2"};

std::string about(const core::ErrorMeaning& meaning) {
  std::string text(core::name_of(meaning.reason));
  text += meaning.ran == core::Ran::kNo ? ", nothing ran" : ", may have run";
  text += meaning.about == core::About::kServer    ? ", of the server"
          : meaning.about == core::About::kVersion ? ", of its version"
                                                   : ", of the call";
  return text;
}

std::string code_of(const translate::ErrorSpec& error) {
  std::string text = std::to_string(error.from);
  if (error.to != error.from) {
    text += '-';
    text += std::to_string(error.to);
  }
  if (!error.name.empty()) {
    text += ' ';
    text += error.name;
  }
  return text;
}

}  // namespace

bool check(const std::string& name, const std::string& json, std::ostream& out) {
  try {
    const auto file = app::read_operator_file(json);
    const auto translator = app::make_translator(file);
    out << name << ": good";
    if (translator)
      out << ", " << translator->clients() << " clients' and " << translator->servers()
          << " servers' dialects";
    out << "\n";
    return true;
  } catch (const app::ConfigError& error) {
    out << name << ": " << error.what() << "\n";
    return false;
  }
}

translate::Table table_of(const std::string& json) {
  return app::read_operator_file(json).translate;
}

bool explain(const std::string& from, const std::string& to, const std::string& kind_name,
             const translate::Table& table, const std::vector<std::pair<std::string, std::string>>& given,
             std::ostream& out) {
  const auto* source = translate::find_dialect(from);
  const auto* target = translate::find_dialect(to);
  const auto kind = translate::kind_of(kind_name);
  if (source == nullptr || target == nullptr || !kind) {
    out << "no such "
        << (source == nullptr   ? "dialect: " + from
            : target == nullptr ? "dialect: " + to
                                : "kind: " + kind_name)
        << "\n";
    return false;
  }
  std::vector<std::string> faults;
  const auto program = translate::compile(*source, *target, *kind, table, faults);
  for (const auto& fault : faults) out << fault << "\n";
  if (!program) return false;
  const auto& fields = source->of(*kind);
  translate::Record in, said;
  for (const auto& [name, value] : given) {
    const auto at = translate::index_of(fields, name);
    if (at == fields.size()) {
      out << from << " has no field " << name << "\n";
      return false;
    }
    if (translate::is_textual(fields[at].type)) {
      in.set(at, std::string_view(value));
      continue;
    }
    std::int64_t number = 0;
    const auto [end, bad] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (bad != std::errc{} || end != value.data() + value.size()) {
      out << name << " is not a number: " << value << "\n";
      return false;
    }
    in.set(at, number);
  }
  if (const auto bad = translate::fault_in(fields, in)) {
    out << fields[*bad].name << (in.has(*bad) ? " cannot hold that" : " is missing") << ": a "
        << name_of(fields[*bad].type) << " from " << fields[*bad].least << " to " << fields[*bad].most
        << "\n";
    return false;
  }
  const auto answer = program->run(in, said);
  const auto& to_fields = program->to_fields();
  if (!answer) {
    out << "not eligible for " << to << ": " << to_fields[answer.field].name << ": "
        << translate::text_of(answer.bar) << "\n";
  }
  for (const auto& line : program->lines()) {
    if (line.lost) {
      const auto at = translate::index_of(fields, line.field);
      if (in.has(at)) out << line.field << ": " << line.says << "\n";
      continue;
    }
    const auto at = translate::index_of(to_fields, line.field);
    out << line.field;
    if (at < to_fields.size() && answer && said.has(at)) {
      out << " = "
          << (translate::is_textual(to_fields[at].type) ? std::string(said.text(at))
                                                        : std::to_string(said.number(at)));
    }
    out << ": " << line.says << "\n";
  }
  return static_cast<bool>(answer);
}

bool matrix(const translate::Table& table, std::ostream& out) {
  const translate::Translator translator(kClients, kServers, table);
  bool all = true;
  out << "reach (what is lost on the way of a set-up):\n";
  for (std::size_t client = 0; client < translator.clients(); ++client) {
    for (std::size_t i = 0; i < translator.servers(); ++i) {
      const auto no = static_cast<ProtocolVersion>(i);
      const auto* mapping = translator.mapping(client, no);
      out << "  " << translator.client(client).name << " to " << translator.server(no).name << ": ";
      if (mapping == nullptr) {
        all = false;
        out << "refused\n";
        continue;
      }
      std::string lost;
      for (const auto& line : mapping->set_up.lines()) {
        if (line.lost) lost += (lost.empty() ? "" : ", ") + line.field;
      }
      out << (lost.empty() ? "nothing is lost" : "loses " + lost) << "\n";
    }
  }
  for (const auto& fault : translator.faults()) out << "  fault: " << fault << "\n";
  out << "errors (what each client hears):\n";
  for (std::size_t i = 0; i < translator.servers(); ++i) {
    const auto& server = translator.server(static_cast<ProtocolVersion>(i));
    for (const auto& error : server.errors) {
      out << "  " << server.name << " " << code_of(error) << ": " << about(error.meaning) << ":";
      for (std::size_t client = 0; client < translator.clients(); ++client) {
        const auto& dialect = translator.client(client);
        const auto& word = translate::word_for(dialect, error.meaning.reason);
        out << (client == 0 ? " " : ", ") << dialect.name << " " << word.code;
      }
      out << (core::facts_of(error.meaning.reason).final_answer == core::Final::kRejected ? " (refused)"
                                                                                          : " (failed)")
          << "\n";
    }
  }
  return all;
}

}  // namespace amberknot::tool
