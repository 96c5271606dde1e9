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

/// Whether a released task goes back into the queue.
enum class Requeue : std::uint8_t { no, yes };

/// Binds tasks to machines and releases them. Bindings change only through this class, which keeps
/// machines, jobs, teams' usage and totals consistent.
class TaskBindings {
 public:
  TaskBindings(TeamUsage& teams, MachinePool& machines, JobQueue& jobs, CapacityTotals& totals)
      : teams_(teams), machines_(machines), jobs_(jobs), totals_(totals) {}

  /// Binds a task of an open job to the machine.
  BoundTask& bind(ScheduledMachine& machine, ScheduledJob& job, std::uint32_t index,
                  std::uint64_t attempt, TaskPhase phase, Ms now);
  /// Binds a reported task that must not run: its job is not open, or the task is not queued (it is
  /// done, or bound elsewhere). It is killed, and holds room until it is proven gone. `job`: null
  /// if the job is not open.
  BoundTask& bind_orphan(ScheduledMachine& machine, const TaskStatus& status,
                         const ScheduledJob* job, Ms now);
  /// Releases a task that is proven not to run on this machine any more. `key` must not refer to
  /// the key in `machine.tasks`, which is erased.
  void release(ScheduledMachine& machine, const TaskKey& key, Requeue requeue, Ms now);
  /// Releases and requeues all tasks of the machine, which are proven not to run any more.
  void release_all(ScheduledMachine& machine, Ms now);

 private:
  TeamUsage& teams_;
  MachinePool& machines_;
  JobQueue& jobs_;
  CapacityTotals& totals_;
};

}  // namespace eiderreel
