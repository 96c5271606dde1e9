// Rules that decide which tasks may run on which machine.
#pragma once
#include "constants.h"
#include "scheduler/machine_pool.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/team_usage.h"

namespace eiderreel {

/// The rules that every start of a task must satisfy.
class PlacementRules {
 public:
  PlacementRules(const TeamUsage& teams, const MachinePool& machines)
      : teams_(teams), machines_(machines) {}

  /// Whether a task of the job may be started now on this machine, apart from resources, quota and
  /// zones, which `fits` checks.
  bool may_start(const ScheduledMachine& machine, const ScheduledJob& job,
                 const UnreconciledMachines& unreconciled, Ms now) const;
  /// Whether one more task of the job fits: the machine has enough free resources and an allowed
  /// type, and the team's quota and the job's zone rules permit it.
  bool fits(const ScheduledMachine& machine, const ScheduledJob& job,
            const UnreconciledMachines& unreconciled) const {
    return fits_given_usage(machine.used, machine, job, unreconciled);
  }
  /// Like `fits`, but as if only `taken` were in use on the machine.
  bool fits_given_usage(const Resources& taken, const ScheduledMachine& machine,
                        const ScheduledJob& job, const UnreconciledMachines& unreconciled) const;

 private:
  const TeamUsage& teams_;
  const MachinePool& machines_;
};

}  // namespace eiderreel
