// What a machine's heartbeat proves of the tasks on it, and what its answer has to carry.
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

/// Brings the bindings of a machine into line with its heartbeats.
class HeartbeatReconciler {
 public:
  HeartbeatReconciler(const SchedulingPolicy& policy, MachinePool& machines, const JobQueue& jobs,
                      TaskBindings& bindings)
      : policy_(policy), machines_(machines), jobs_(jobs), bindings_(bindings) {}

  /// Takes in a heartbeat. The answer has the kills and clears, but no launches.
  HeartbeatReply reconcile(const Heartbeat& heartbeat, Ms now);

 private:
  // What a heartbeat shows of the tasks on its machine.
  struct ShownTasks {
    std::set<TaskKey> on_machine;
    bool new_start = false;  // one that no heartbeat had shown before
  };

  bool is_outdated(const ScheduledMachine& machine, const Heartbeat& heartbeat) const;
  void begin_incarnation(ScheduledMachine& machine, Ms now);
  void update_machine(ScheduledMachine& machine, const Heartbeat& heartbeat, Ms now) const;
  HeartbeatReply announce_token(ScheduledMachine& machine, const Heartbeat& heartbeat,
                                Ms now) const;
  std::vector<Command> owed_kills(const Heartbeat& heartbeat) const;
  void reconcile_task(ScheduledMachine& machine, const TaskStatus& status, Ms now,
                      ShownTasks& shown, std::vector<Command>& out);
  void reconcile_exited(ScheduledMachine& machine, const TaskStatus& status, const BoundTask* bound,
                        Ms now, std::vector<Command>& out);
  BoundTask& bind_found(ScheduledMachine& machine, const TaskStatus& status, Ms now);
  bool release_missing(ScheduledMachine& machine, const std::set<TaskKey>& on_machine, Ms now);
  ScheduledJob* find_job(const TaskStatus& status) const;

  const SchedulingPolicy& policy_;
  MachinePool& machines_;
  const JobQueue& jobs_;
  TaskBindings& bindings_;
};

}  // namespace eiderreel
