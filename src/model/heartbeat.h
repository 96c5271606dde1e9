// Heartbeats of workers, and the commands that they are sent.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eiderreel {

/// The state of a task on its machine.
enum class TaskPhase : std::uint8_t { pulling, running, flushing, exited };

/// Why a task has exited; the last three are refusals to start it.
enum class ExitReason : std::uint8_t { none, done, stopped, error, no_room, busy, no_such };

/// What a worker is told to do with a task.
enum class CommandType : std::uint8_t { launch, kill, clear };

/// One task in a heartbeat.
struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling;
  ExitReason exit_reason = ExitReason::none;
};

/// A worker's heartbeat with the status of all tasks on its machine. The newest one is that with
/// the largest (incarnation, sequence).
struct Heartbeat {
  std::string machine;
  std::string addr;  // IP:PORT of the worker
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;    // counts the leases of the worker that have expired
  std::uint64_t sequence = 0;       // of the message within the incarnation
  std::uint64_t fencing_token = 0;  // the highest one that the worker has seen
  std::optional<double> notice_s;   // until the cloud takes the machine away
  std::vector<TaskStatus> tasks;
};

/// A command for one attempt of a task.
struct Command {
  CommandType type = CommandType::launch;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // of a kill: time to save
};

}  // namespace eiderreel
