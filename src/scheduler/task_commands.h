// The commands that workers are given.
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

/// The commands for one attempt of a task.
Command launch_command(const TaskKey& key, std::uint64_t attempt);
/// Stops an attempt; it has `grace_s` seconds to save.
Command kill_command(const TaskKey& key, std::uint64_t attempt, double grace_s);
/// Removes an exited attempt from the heartbeats.
Command clear_command(const TaskKey& key, std::uint64_t attempt);

/// Tells the task to end, in the commands `out`. Returns whether it is gone at once, since it has
/// nothing to save.
bool stop_task(const TaskKey& key, BoundTask& task, std::vector<Command>& out);

/// Starts tasks, under attempt numbers that are unique for ever.
class TaskLauncher {
 public:
  TaskLauncher(const MachinePool& machines, TaskBindings& bindings, Reservation& reservation)
      : machines_(machines), bindings_(bindings), reservation_(reservation) {}

  /// Starts the first task of the job that waits on this machine, by a command in `out`.
  void start(ScheduledMachine& machine, ScheduledJob& job, Ms now, std::vector<Command>& out);

 private:
  const MachinePool& machines_;
  TaskBindings& bindings_;
  Reservation& reservation_;
  std::uint64_t counter_ = 0;
};

}  // namespace eiderreel
