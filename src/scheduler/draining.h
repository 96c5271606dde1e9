// Machines that are to run empty because other partitions need them.
#pragma once
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/machine_pool.h"
#include "scheduler/placement_rules.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// Cordons machines, and moves services away from those that are drained.
class Draining {
 public:
  Draining(const MachinePool& machines, const PlacementRules& rules)
      : machines_(machines), rules_(rules) {}

  /// Cordons machines of about so many CPUs for a few seconds. `drain`: also such with services,
  /// which are moved away one by one.
  void cordon(double cpus, bool drain, Ms now);
  /// Stops one service here that another machine can take, if this machine is drained.
  void move_service(ScheduledMachine& machine, const UnreconciledMachines& unreconciled, Ms now,
                    std::vector<Command>& out) const;

 private:
  bool fits_elsewhere(const ScheduledMachine& machine, const ScheduledJob& job,
                      const UnreconciledMachines& unreconciled, Ms now) const;

  const MachinePool& machines_;
  const PlacementRules& rules_;
};

}  // namespace eiderreel
