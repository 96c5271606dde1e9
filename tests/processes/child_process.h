// Child processes of a test: controllers that run until they are killed, and commands that end.
#pragma once
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace eiderreel::standin {

class ChildProcess {
 public:
  // Standard output and error go to this file, after what is there.
  ChildProcess(const std::vector<std::string>& command, const std::string& output_file);
  ~ChildProcess();  // kills it if it still runs
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void kill();
  void stop(bool on);  // it pauses, or goes on
  // Its exit code once it has ended, -1 where a signal ended it; nothing while it runs.
  std::optional<int> exit_code();

 private:
  pid_t pid_;
  std::optional<int> exit_code_;
};

}  // namespace eiderreel::standin
