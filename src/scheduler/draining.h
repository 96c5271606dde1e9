// Cordons and drains machines that other partitions need.
#pragma once
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/machine_pool.h"
#include "scheduler/placement_rules.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// Cordons machines, so that they get no new tasks, and moves services off drained machines.
class Draining {
 public:
  Draining(const MachinePool& machines, const PlacementRules& rules)
      : machines_(machines), rules_(rules) {}

  /// Cordons machines with up to `cpus` CPUs in total for a few seconds. If `drain` is set,
  /// machines with services are eligible too, and their services are moved away one by one.
  void cordon(double cpus, bool drain, Ms now);
  /// If this machine is being drained, stops one of its service replicas that another machine can
  /// take.
  void move_service(ScheduledMachine& machine, const UnreconciledMachines& unreconciled, Ms now,
                    std::vector<Command>& commands) const;

 private:
  bool fits_on_another_machine(const ScheduledMachine& machine, const ScheduledJob& job,
                               const UnreconciledMachines& unreconciled, Ms now) const;

  const MachinePool& machines_;
  const PlacementRules& rules_;
};

}  // namespace eiderreel
