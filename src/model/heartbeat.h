// Heartbeats sent by workers, and the commands sent to workers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eiderreel {

/// The state of a task on its machine, as reported by the worker.
enum class TaskPhase : std::uint8_t { pulling, running, flushing, exited };

/// Why a task has exited. The last three values mean that the worker refused to start it.
enum class ExitReason : std::uint8_t { none, done, stopped, error, no_room, busy, no_such };

/// What a command makes a worker do with a task.
enum class CommandType : std::uint8_t { launch, kill, clear };

/// The status of one task in a heartbeat.
struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling;
  ExitReason exit_reason = ExitReason::none;
};

/// A worker's heartbeat with the status of all tasks on its machine. Heartbeats of a worker are
/// ordered by (incarnation, sequence); the largest pair is the newest heartbeat.
struct Heartbeat {
  std::string machine;
  std::string addr;  // IP:PORT of the worker
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;               // number of the worker's leases that have expired
  std::uint64_t sequence = 0;                  // number of the heartbeat within the incarnation
  std::uint64_t fencing_token = 0;             // the highest token that the worker has seen
  std::optional<double> termination_notice_s;  // until the cloud reclaims the machine, if announced
  std::vector<TaskStatus> tasks;
};

/// A command for one attempt of a task.
struct Command {
  CommandType type = CommandType::launch;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // kill only: time that the task gets to save its progress
};

}  // namespace eiderreel
