// The binding of tasks to machines.
#pragma once
#include <cstdint>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/team_usage.h"

namespace eiderreel {

/// Whether a task that has left its machine is to run again.
enum class Requeue : std::uint8_t { no, yes };

/// Binds tasks and releases them. Machines, jobs, teams and totals are changed together here and
/// nowhere else.
class TaskBindings {
 public:
  TaskBindings(TeamUsage& teams, MachinePool& machines, JobQueue& jobs, CapacityTotals& totals)
      : teams_(teams), machines_(machines), jobs_(jobs), totals_(totals) {}

  /// Binds a task of an open job.
  BoundTask& bind(ScheduledMachine& machine, ScheduledJob& job, std::uint32_t index,
                  std::uint64_t attempt, TaskPhase phase, Ms now);
  /// Binds a task that a heartbeat shows and that is not ours to run: its job is over, or the task
  /// is done. It is killed, and holds room until it is gone. `job`: null if it is not open.
  BoundTask& bind_orphan(ScheduledMachine& machine, const TaskStatus& status,
                         const ScheduledJob* job, Ms now);
  /// The task is proven gone from this machine. The key must not be that in `machine.tasks`, which
  /// goes with the task.
  void release(ScheduledMachine& machine, const TaskKey& key, Requeue requeue, Ms now);
  /// All tasks are proven gone.
  void release_all(ScheduledMachine& machine, Ms now);

 private:
  TeamUsage& teams_;
  MachinePool& machines_;
  JobQueue& jobs_;
  CapacityTotals& totals_;
};

}  // namespace eiderreel
