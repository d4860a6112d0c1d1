// The commands of the admin server and the parser of one command line. Pure functions: no socket, no state.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace amberknot::admin {

/// What an operator may ask for.
enum class Command {
  kStatus,   ///< `status`: whether this process takes clients
  kStats,    ///< `stats`: the metrics as statsd lines
  kStandby,  ///< `standby`: begin to drain the clients' connections
  kActive,   ///< `active`: end the drain
};

/// Why a line is no command.
enum class CommandFault { kLineTooLong, kEmptyLine, kUnknownCommand };

/// A rejected line.
struct CommandError {
  CommandFault fault = CommandFault::kUnknownCommand;
  std::string message;  ///< the reply's text after `-ERR `; printable ASCII
};

/// The longest command line, in bytes without its line feed; a longer one is rejected whole. The longest
/// command has 7 bytes: the rest is for blanks around it.
inline constexpr std::size_t kMaxCommandBytes = 256;

/// Parses one line without its line feed. Blanks and tabs around the command and a carriage return at the end
/// are ignored; commands are lower-case.
std::variant<Command, CommandError> parse_command(std::string_view line);

}  // namespace amberknot::admin
