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

/// The number of bytes of an unknown command that its error repeats: enough to recognize a mistyped command.
constexpr std::size_t kMaxQuotedBytes = 32;

bool is_blank(char c) {
  return c == ' ' || c == '\t' || c == '\r';
}

std::string_view trim(std::string_view line) {
  while (!line.empty() && is_blank(line.front())) line.remove_prefix(1);
  while (!line.empty() && is_blank(line.back())) line.remove_suffix(1);
  return line;
}

/// The first kMaxQuotedBytes of `text`, with `?` in place of each byte that is not printable ASCII.
std::string quote(std::string_view text) {
  std::string quoted;
  for (const char c : text.substr(0, kMaxQuotedBytes)) quoted += (c >= 0x20 && c < 0x7f) ? c : '?';
  return quoted;
}

}  // namespace

std::variant<Command, CommandError> parse_command(std::string_view line) {
  if (line.size() > kMaxCommandBytes) return CommandError{CommandFault::kLineTooLong, "line too long"};
  line = trim(line);
  if (line.empty()) return CommandError{CommandFault::kEmptyLine, "empty line"};
  for (const auto& [word, command] : kCommands) {
    if (line == word) return command;
  }
  return CommandError{CommandFault::kUnknownCommand, "unknown call: " + quote(line)};
}

}  // namespace amberknot::admin
