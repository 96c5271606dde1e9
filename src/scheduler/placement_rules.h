// Which tasks may run on which machine.
#pragma once
#include "constants.h"
#include "scheduler/machine_pool.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/team_usage.h"

namespace eiderreel {

/// The rules that every start keeps.
class PlacementRules {
 public:
  PlacementRules(const TeamUsage& teams, const MachinePool& machines)
      : teams_(teams), machines_(machines) {}

  /// Whether a task of the job may be started now, and on this machine, its size aside.
  bool may_start(const ScheduledMachine& machine, const ScheduledJob& job,
                 const UnreconciledMachines& unreconciled, Ms now) const;
  /// Whether one more task of the job fits: the room here, its team's quota and its zones.
  bool fits(const ScheduledMachine& machine, const ScheduledJob& job,
            const UnreconciledMachines& unreconciled) const {
    return fits_beside(machine.used, machine, job, unreconciled);
  }
  /// Whether it would fit if of all that runs here only so much stayed.
  bool fits_beside(const Resources& taken, const ScheduledMachine& machine, const ScheduledJob& job,
                   const UnreconciledMachines& unreconciled) const;

 private:
  const TeamUsage& teams_;
  const MachinePool& machines_;
};

}  // namespace eiderreel
