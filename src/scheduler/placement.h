// Chooses the tasks to start on a machine whose heartbeat shows free room.
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

/// The components that take part in a placement decision.
struct PlacementComponents {
  const PlacementRules& rules;
  Reservation& reservation;
  DelayScheduling& delays;
  const Draining& draining;
  TaskLauncher& launcher;
  Preemption& preemption;
};

/// Starts tasks. Each decision covers a single machine; of the other machines only totals are used,
/// so that the work for one heartbeat does not grow with the number of machines.
class Placement {
 public:
  Placement(const TeamUsage& teams, MachinePool& machines, JobQueue& jobs,
            PlacementComponents components)
      : teams_(teams), machines_(machines), jobs_(jobs), components_(components) {}

  /// Returns the commands for this machine, to be sent in the reply to its newest heartbeat.
  std::vector<Command> place(ScheduledMachine& machine, Ms now);

 private:
  // Whether tasks may start only within the fair share of their team, or also on borrowed capacity.
  enum class Pass : std::uint8_t { within_fair_share, borrowing };

  bool has_room_for_smallest_task(const ScheduledMachine& machine) const;
  void run_pass(ScheduledMachine& machine, const std::vector<ScheduledJob*>& waiting_jobs,
                Pass pass, const UnreconciledMachines& unreconciled, Ms now,
                std::vector<Command>& commands);
  bool launch_tasks(ScheduledMachine& machine, ScheduledJob& job, Pass pass,
                    const UnreconciledMachines& unreconciled, Ms now,
                    std::vector<Command>& commands);
  bool may_launch(const ScheduledMachine& machine, const ScheduledJob& job, Pass pass,
                  const UnreconciledMachines& unreconciled, Ms now) const;

  const TeamUsage& teams_;
  MachinePool& machines_;
  JobQueue& jobs_;
  PlacementComponents components_;
};

}  // namespace eiderreel
