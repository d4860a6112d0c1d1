#include "lab/fleet/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>

extern char** environ;

namespace amberknot::lab::fleet {

Process::Process(const std::vector<std::string>& arguments,
                 const std::map<std::string, std::string>& variables, const std::string& log) {
  std::vector<std::string> entries;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    const std::string entry = *variable;
    if (!variables.contains(entry.substr(0, entry.find('=')))) entries.push_back(entry);
  }
  for (const auto& [name, value] : variables) entries.push_back(name + "=" + value);
  std::vector<char*> environment_pointers;
  for (auto& entry : entries) environment_pointers.push_back(entry.data());
  environment_pointers.push_back(nullptr);
  auto argument_copies = arguments;
  std::vector<char*> argument_pointers;
  for (auto& entry : argument_copies) argument_pointers.push_back(entry.data());
  argument_pointers.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The new process inherits no sockets: a connection closes only when its last descriptor is closed, so that
  // a copy in the new process would keep the connection open for the other side.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&id_, arguments.front().c_str(), &actions, nullptr, argument_pointers.data(),
                                environment_pointers.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::system_error(error, std::generic_category(), arguments.front());
}

Process::~Process() {
  if (status_ || id_ <= 0) return;
  ::kill(id_, SIGKILL);
  ::waitpid(id_, nullptr, 0);
}

void Process::send_signal(int number) const {
  if (!status_) ::kill(id_, number);
}

std::optional<int> Process::exit_status() {
  int status = 0;
  if (!status_ && ::waitpid(id_, &status, WNOHANG) == id_) {
    status_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  }
  return status_;
}

}  // namespace amberknot::lab::fleet
