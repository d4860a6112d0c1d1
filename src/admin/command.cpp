#include "admin/command.hpp"

#include <array>
#include <utility>

namespace amberknot::admin {
namespace {

constexpr std::array<std::pair<std::string_view, Command>, 4> kCommands{{
    {"status", Command::kStatus},
    {"stats", Command::kStats},
    {"standby", Command::kStandby},
    {"active", Command::kActive},
}};

bool blank(char c) {
  return c == ' ' || c == '\t' || c == '\r';
}

}  // namespace

ReadCommand read_command(std::string_view line) {
  if (line.size() > kMaxLine) return {std::nullopt, "line too long"};
  while (!line.empty() && blank(line.front())) line.remove_prefix(1);
  while (!line.empty() && blank(line.back())) line.remove_suffix(1);
  if (line.empty()) return {std::nullopt, "empty line"};
  for (const auto& [word, command] : kCommands) {
    if (line == word) return {command, {}};
  }
  std::string shown;
  for (const char c : line.substr(0, 32)) shown += (c >= 0x20 && c < 0x7f) ? c : '?';
  return {std::nullopt, "unknown call: " + shown};
}

}  // namespace amberknot::admin
