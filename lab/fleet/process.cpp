#include "lab/fleet/process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <system_error>

extern char** environ;

namespace amberknot::lab::fleet {

Process::Process(const std::vector<std::string>& words, const std::map<std::string, std::string>& variables,
                 const std::string& log) {
  std::vector<std::string> texts;
  for (char** at = environ; *at != nullptr; ++at) {
    const std::string one = *at;
    if (!variables.contains(one.substr(0, one.find('=')))) texts.push_back(one);
  }
  for (const auto& [name, value] : variables) texts.push_back(name + "=" + value);
  std::vector<char*> environment;
  for (auto& one : texts) environment.push_back(one.data());
  environment.push_back(nullptr);
  auto copy = words;
  std::vector<char*> arguments;
  for (auto& one : copy) arguments.push_back(one.data());
  arguments.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The caller's sockets are not inherited: a connection ends only once its last descriptor is closed, and a
  // copy in the new process, which nobody reads, would keep it open for the other side.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error =
      posix_spawn(&id_, words.front().c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::system_error(error, std::generic_category(), words.front());
}

Process::~Process() {
  if (status_ || id_ <= 0) return;
  ::kill(id_, SIGKILL);
  ::waitpid(id_, nullptr, 0);
}

void Process::signal(int number) const {
  if (!status_) ::kill(id_, number);
}

std::optional<int> Process::ended() {
  int status = 0;
  if (!status_ && ::waitpid(id_, &status, WNOHANG) == id_) {
    status_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  }
  return status_;
}

}  // namespace amberknot::lab::fleet
