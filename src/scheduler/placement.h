// What a machine is given when its heartbeat shows room.
#pragma once
#include <cstdint>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/delay_scheduling.h"
#include "scheduler/draining.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/placement_rules.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/task_commands.h"
#include "scheduler/team_usage.h"

namespace eiderreel {

/// The steps by which placement decides, each in a class of its own.
struct PlacementSteps {
  const PlacementRules& rules;
  Reservation& reservation;
  DelayScheduling& delays;
  const Draining& draining;
  TaskLauncher& launcher;
  Preemption& preemption;
};

/// Starts tasks. It looks at one machine alone; of the others it knows sums.
class Placement {
 public:
  Placement(const TeamUsage& teams, MachinePool& machines, JobQueue& jobs, PlacementSteps steps)
      : teams_(teams), machines_(machines), jobs_(jobs), steps_(steps) {}

  /// The commands for this machine, to be put into the answer to its newest heartbeat.
  std::vector<Command> place(ScheduledMachine& machine, Ms now);

 private:
  // In which room of their team tasks may start.
  enum class Pass : std::uint8_t { within_fair_share, borrowing };

  bool has_room_for_smallest(const ScheduledMachine& machine) const;
  void launch(ScheduledMachine& machine, const std::vector<ScheduledJob*>& order, Pass pass,
              const UnreconciledMachines& unreconciled, Ms now, std::vector<Command>& out);
  bool launch_tasks(ScheduledMachine& machine, ScheduledJob& job, Pass pass,
                    const UnreconciledMachines& unreconciled, Ms now, std::vector<Command>& out);
  bool may_launch(const ScheduledMachine& machine, const ScheduledJob& job, Pass pass,
                  const UnreconciledMachines& unreconciled, Ms now) const;

  const TeamUsage& teams_;
  MachinePool& machines_;
  JobQueue& jobs_;
  PlacementSteps steps_;
};

}  // namespace eiderreel
