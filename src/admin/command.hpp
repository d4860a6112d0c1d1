// The operators' door (DAYS, "A door for operators"): one line a connection, one reply. Pure: no socket.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace amberknot::admin {

enum class Command { kStatus, kStats, kStandby, kActive };

/// A line that could be read, or why not: the reason goes back after `-ERR `.
struct ReadCommand {
  std::optional<Command> command;
  std::string error;
};

/// The longest line that is read; a longer one is refused whole.
inline constexpr std::size_t kMaxLine = 256;

/// Reads one line without its line feed; a carriage return at its end and blanks around it are ignored.
ReadCommand read_command(std::string_view line);

}  // namespace amberknot::admin
