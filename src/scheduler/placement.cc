// Decides which tasks to launch on one machine.
#include "scheduler/placement.h"

#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/machine_health.h"
#include "scheduler/machine_pool.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

std::vector<Command> Placement::place(ScheduledMachine& machine, Ms now) {
  std::vector<Command> commands;
  const UnreconciledMachines& unreconciled = machines_.unreconciled();
  components_.draining.move_service(machine, unreconciled, now, commands);
  if (!machine.accepts_tasks(now) || jobs_.waiting_jobs().empty()) return commands;
  components_.reservation.update(machine, unreconciled, now);
  if (has_room_for_smallest_task(machine)) {
    const auto waiting_jobs = jobs_.waiting_jobs_for(machine);
    for (const Pass pass : {Pass::within_fair_share, Pass::borrowing})
      if (commands.empty() || machine.lost_replies == 0)
        run_pass(machine, waiting_jobs, pass, unreconciled, now, commands);
  }
  if (machine.lost_replies == 0)
    components_.preemption.make_room(machine, unreconciled, now, commands);
  if (!machine.tasks.empty()) machine.idle_since = now;
  return commands;
}

bool Placement::has_room_for_smallest_task(const ScheduledMachine& machine) const {
  return machine.used.cpus + jobs_.smallest_waiting_cpus() <=
         machine.type->cpus + kRoundingTolerance;
}

// One pass over the waiting jobs, in queue order. `place` runs a pass for jobs within their team's
// fair share before the pass for jobs that borrow.
void Placement::run_pass(ScheduledMachine& machine, const std::vector<ScheduledJob*>& waiting_jobs,
                         Pass pass, const UnreconciledMachines& unreconciled, Ms now,
                         std::vector<Command>& commands) {
  for (ScheduledJob* job : waiting_jobs) {
    if (!has_room_for_smallest_task(machine)) return;
    if (!components_.reservation.admits(machine, *job) ||
        !components_.rules.may_start(machine, *job, unreconciled, now) ||
        components_.delays.waits_for_preferred_machine(machine, *job, now) ||
        components_.delays.avoids_consolidating_machine(machine, *job, now))
      continue;
    const bool launched = launch_tasks(machine, *job, pass, unreconciled, now, commands);
    if (launched && on_trial(machine)) return;
  }
}

// Launches as many tasks of the job as possible; its tasks are alike, so the rules checked by the
// caller apply to all of them. Returns whether any task was launched.
bool Placement::launch_tasks(ScheduledMachine& machine, ScheduledJob& job, Pass pass,
                             const UnreconciledMachines& unreconciled, Ms now,
                             std::vector<Command>& commands) {
  bool launched = false;
  while (may_launch(machine, job, pass, unreconciled, now)) {
    machine.consolidating = false;  // the totals include this from the next tick on
    const bool starved = job.starved;
    components_.launcher.start(machine, job, now, commands);
    launched = true;
    if (starved || on_trial(machine)) break;
  }
  return launched;
}

bool Placement::may_launch(const ScheduledMachine& machine, const ScheduledJob& job, Pass pass,
                           const UnreconciledMachines& unreconciled, Ms now) const {
  if (job.queued == 0 || !components_.rules.fits(machine, job, unreconciled) ||
      components_.delays.waits_for_fuller_machine(machine, job, now))
    return false;
  if (!job.is_service() && machine.used.cpus + job.spec.cpus + machine.service_headroom_cpus() >
                               machine.type->cpus + kRoundingTolerance)
    return false;
  return pass == Pass::borrowing || job.starved ||
         teams_.within_fair_share(job.team, job.spec.cpus);
}

}  // namespace eiderreel
