// The commands of the admin server and the parser of a command line. Has no I/O and no state.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace amberknot::admin {

/// A command of an operator.
enum class Command {
  kStatus,   ///< `status`: whether this process accepts clients
  kStats,    ///< `stats`: the metrics as statsd lines
  kStandby,  ///< `standby`: starts to drain the connections of clients
  kActive,   ///< `active`: ends the drain
};

/// Why a line is not a command.
enum class CommandFault { kLineTooLong, kEmptyLine, kUnknownCommand };

/// The error for a rejected line.
struct CommandError {
  CommandFault fault = CommandFault::kUnknownCommand;
  std::string message;  ///< the text of the reply after `-ERR `, in printable ASCII
};

/// The maximum length of a command line, in bytes without its line feed; a longer line is rejected. The
/// longest command has 7 bytes; the rest allows for blanks around it.
inline constexpr std::size_t kMaxCommandBytes = 256;

/// Parses a line without its line feed. Spaces, tabs and carriage returns around the command are ignored.
/// Commands are case-sensitive.
std::variant<Command, CommandError> parse_command(std::string_view line);

}  // namespace amberknot::admin
