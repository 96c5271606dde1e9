// Room that is held for a job which starves.
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

/// One machine that takes no other arrays until a starved job has begun on it. A task that needs a
/// whole machine never met an empty one, as whatever was freed was taken by smaller tasks at once.
class Reservation {
 public:
  Reservation(const SchedulingPolicy& policy, const MachinePool& machines, JobQueue& jobs,
              const PlacementRules& rules)
      : policy_(policy), machines_(machines), jobs_(jobs), rules_(rules) {}

  /// Gives up a reservation that has become void. If there is none, reserves this machine for the
  /// first starved job that fits on no machine as it stands.
  void update(const ScheduledMachine& machine, const UnreconciledMachines& unreconciled, Ms now);
  /// Whether the machine may take tasks of the job.
  bool admits(const ScheduledMachine& machine, const ScheduledJob& job) const;
  /// A task of the job has been started.
  void job_started(const ScheduledJob& job);

 private:
  struct Held {
    std::string machine;
    std::string job;
  };
  bool still_needed(Ms now) const;

  const SchedulingPolicy& policy_;
  const MachinePool& machines_;
  JobQueue& jobs_;
  const PlacementRules& rules_;
  std::optional<Held> held_;
};

}  // namespace eiderreel
