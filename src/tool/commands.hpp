// The commands of the operators' command line. They work on texts and write to a stream; main.cpp reads the
// arguments and files.
#pragma once

#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "translate/table.hpp"

namespace amberknot::tool {

/// Checks an operator's file as a router does when it starts, and writes the result to `out`, with `name` as
/// the name of the file. Returns true if a router would start with the file.
bool check(const std::string& name, const std::string& json, std::ostream& out);

/// Returns the translation table of an operator's file, empty if it has none. Throws app::ConfigError if the
/// file is invalid.
translate::MappingTable read_translation_table(const std::string& json);

/// Translates one message with the given `field_values` from dialect `from` to dialect `to`, and writes the
/// value of each field and where it comes from. Returns false, with the reason in `out`, if the message is
/// invalid or not eligible for `to`.
bool explain(const std::string& from, const std::string& to, const std::string& kind_name,
             const translate::MappingTable& table,
             const std::vector<std::pair<std::string, std::string>>& field_values, std::ostream& out);

/// Writes for each client dialect which server dialects its set-ups can be translated to and which fields are
/// lost, and for each error of a server the code that each client receives. Returns false, with the faults in
/// `out`, if a pair of dialects has no valid mapping.
bool matrix(const translate::MappingTable& table, std::ostream& out);

}  // namespace amberknot::tool
