// The commands that are sent to workers.
#pragma once
#include <cstdint>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/machine_pool.h"
#include "scheduler/reservation.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/task_bindings.h"

namespace eiderreel {

/// A command that starts an attempt of a task.
Command launch_command(const TaskKey& key, std::uint64_t attempt);
/// A command that stops an attempt, which has `grace_s` seconds to save a checkpoint.
Command kill_command(const TaskKey& key, std::uint64_t attempt, double grace_s);
/// A command that makes the worker drop an exited attempt from its heartbeats.
Command clear_command(const TaskKey& key, std::uint64_t attempt);

/// Adds a kill of the task to `commands`, with time to save if it writes checkpoints. Returns
/// whether the kill takes effect at once, as the task has nothing to save.
bool stop_task(const TaskKey& key, BoundTask& task, std::vector<Command>& commands);

/// Launches tasks, with attempt numbers that are never reused.
class TaskLauncher {
 public:
  TaskLauncher(const MachinePool& machines, TaskBindings& bindings, Reservation& reservation)
      : machines_(machines), bindings_(bindings), reservation_(reservation) {}

  /// Binds the job's first queued task to the machine and adds its launch to `commands`.
  void start(ScheduledMachine& machine, ScheduledJob& job, Ms now, std::vector<Command>& commands);

 private:
  const MachinePool& machines_;
  TaskBindings& bindings_;
  Reservation& reservation_;
  std::uint64_t attempt_counter_ = 0;
};

}  // namespace eiderreel
