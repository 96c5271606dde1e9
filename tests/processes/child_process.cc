#include "processes/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace eiderreel::standin {

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& output_file) {
  std::vector<char*> arguments;
  for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // killed with the test process, even if that crashes
  const int output = open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(127);
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::kill() {
  if (exit_code()) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  exit_code_ = -1;
}

void ChildProcess::set_suspended(bool suspended) {
  if (!exit_code()) ::kill(pid_, suspended ? SIGSTOP : SIGCONT);
}

std::optional<int> ChildProcess::exit_code() {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_)
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return exit_code_;
}

}  // namespace eiderreel::standin
