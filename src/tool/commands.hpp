// What the operators' command line does, as functions from texts to text: main.cpp only reads words and
// files.
#pragma once

#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "translate/table.hpp"

namespace amberknot::tool {

/// One operator's file: the faults a router would not start with. True: there is none. Each line names the
/// file.
bool check(const std::string& name, const std::string& json, std::ostream& out);

/// The table of an operator's file; empty without one. Throws app::ConfigError.
translate::Table table_of(const std::string& json);

/// One message of `from` said in `to`, with the reason for each field. False: it cannot be said, or what was
/// given is no such message; `out` says why.
bool explain(const std::string& from, const std::string& to, const std::string& kind,
             const translate::Table& table, const std::vector<std::pair<std::string, std::string>>& fields,
             std::ostream& out);

/// Which client reaches which server, what is lost on the way, and what each client hears for each error.
/// False: some pair cannot be reached; its faults are told.
bool matrix(const translate::Table& table, std::ostream& out);

}  // namespace amberknot::tool
