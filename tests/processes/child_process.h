// Child processes of a test: controllers, which run until killed, and commands, which exit.
#pragma once
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace eiderreel::standin {

class ChildProcess {
 public:
  // Appends standard output and standard error to `output_file`.
  ChildProcess(const std::vector<std::string>& command, const std::string& output_file);
  ~ChildProcess();  // kills a process that is still running
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void kill();
  void set_suspended(bool suspended);  // by SIGSTOP and SIGCONT
  // The exit code, -1 if a signal ended the process; nullopt while it is running.
  std::optional<int> exit_code();

 private:
  pid_t pid_;
  std::optional<int> exit_code_;
};

}  // namespace eiderreel::standin
