// Reserves a machine for a starved job.
#pragma once
#include <optional>
#include <string>

#include "constants.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/placement_rules.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/scheduling_policy.h"

namespace eiderreel {

/// The reservation of at most one machine of the partition for a starved job. The reserved machine
/// takes no tasks of other job arrays until a task of the starved job has started. Without it, a
/// task that needs a whole machine never found an empty one, as smaller tasks took all freed
/// resources at once.
class Reservation {
 public:
  Reservation(const SchedulingPolicy& policy, const MachinePool& machines, JobQueue& jobs,
              const PlacementRules& rules)
      : policy_(policy), machines_(machines), jobs_(jobs), rules_(rules) {}

  /// Drops a reservation that is not needed any more. If there is none, reserves this machine for
  /// the first starved job that fits on no machine at its present load but would fit on this one
  /// once its arrays have ended.
  void update(const ScheduledMachine& machine, const UnreconciledMachines& unreconciled, Ms now);
  /// Whether the reservation allows the machine to take tasks of the job.
  bool admits(const ScheduledMachine& machine, const ScheduledJob& job) const;
  /// Drops the reservation if it is for this job, a task of which has been started.
  void job_started(const ScheduledJob& job);

 private:
  struct ReservedMachine {
    std::string machine;
    std::string job;
  };
  bool still_needed(Ms now) const;

  const SchedulingPolicy& policy_;
  const MachinePool& machines_;
  JobQueue& jobs_;
  const PlacementRules& rules_;
  std::optional<ReservedMachine> reserved_;
};

}  // namespace eiderreel
