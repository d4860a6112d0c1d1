// One process of the program under test: started, signalled and ended by its own id.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amberknot::lab::fleet {

class Process {
 public:
  /// Output and errors go to `log`, which is begun anew; no other open file is inherited. Throws
  /// std::system_error.
  Process(const std::vector<std::string>& words, const std::map<std::string, std::string>& variables,
          const std::string& log);
  ~Process();  ///< ends it where it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const;
  /// Its status once it has ended, a signal's number below zero; nothing while it runs.
  std::optional<int> ended();
  [[nodiscard]] pid_t id() const { return id_; }

 private:
  pid_t id_ = 0;
  std::optional<int> status_;
};

}  // namespace amberknot::lab::fleet
