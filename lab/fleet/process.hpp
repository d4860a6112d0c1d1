// Starts a process of the program under test, sends it signals and reaps it, always by its own process id.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amberknot::lab::fleet {

/// A child process.
class Process {
 public:
  /// Starts `arguments[0]` with the given arguments and additional environment variables. Truncates the file
  /// `log` and redirects standard output and standard error to it; the process inherits no other open file.
  /// Throws std::system_error if the process cannot be started.
  Process(const std::vector<std::string>& arguments, const std::map<std::string, std::string>& variables,
          const std::string& log);
  ~Process();  ///< kills and reaps the process if it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends the signal unless the process is known to have ended.
  void send_signal(int number) const;
  /// Returns the exit status, or the negative number of the signal that ended the process, or nullopt while
  /// it runs.
  std::optional<int> exit_status();
  [[nodiscard]] pid_t id() const { return id_; }

 private:
  pid_t id_ = 0;
  std::optional<int> status_;
};

}  // namespace amberknot::lab::fleet
