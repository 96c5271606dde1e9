// Reconciles the bound tasks of a machine with the tasks that its heartbeats report, and builds the
// heartbeat reply.
#pragma once
#include <set>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/heartbeat_reply.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/scheduling_policy.h"
#include "scheduler/task_bindings.h"

namespace eiderreel {

/// Updates the lease state and the bound tasks of a machine from its heartbeats.
class HeartbeatReconciler {
 public:
  HeartbeatReconciler(const SchedulingPolicy& policy, MachinePool& machines, const JobQueue& jobs,
                      TaskBindings& bindings)
      : policy_(policy), machines_(machines), jobs_(jobs), bindings_(bindings) {}

  /// Processes a heartbeat. The reply contains kill and clear commands, but no launches.
  HeartbeatReply reconcile(const Heartbeat& heartbeat, Ms now);

 private:
  // Summary of the tasks that one heartbeat reports.
  struct ReportedTasks {
    std::set<TaskKey> on_machine;   // reported and not exited
    bool launch_confirmed = false;  // at least one bound task is reported for the first time
  };

  bool is_outdated(const ScheduledMachine& machine, const Heartbeat& heartbeat) const;
  void begin_incarnation(ScheduledMachine& machine, Ms now);
  void update_machine(ScheduledMachine& machine, const Heartbeat& heartbeat, Ms now) const;
  HeartbeatReply announce_token(ScheduledMachine& machine, const Heartbeat& heartbeat,
                                Ms now) const;
  std::vector<Command> kills_for_ended_jobs(const Heartbeat& heartbeat) const;
  void reconcile_task(ScheduledMachine& machine, const TaskStatus& status, Ms now,
                      ReportedTasks& reported, std::vector<Command>& commands);
  void reconcile_exited(ScheduledMachine& machine, const TaskStatus& status, const BoundTask* bound,
                        Ms now, std::vector<Command>& commands);
  BoundTask& bind_reported(ScheduledMachine& machine, const TaskStatus& status, Ms now);
  bool release_missing(ScheduledMachine& machine, const std::set<TaskKey>& on_machine, Ms now);
  ScheduledJob* find_job(const TaskStatus& status) const;

  const SchedulingPolicy& policy_;
  MachinePool& machines_;
  const JobQueue& jobs_;
  TaskBindings& bindings_;
};

}  // namespace eiderreel
