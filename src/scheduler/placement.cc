// The launches on one machine.
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
  std::vector<Command> out;
  const UnreconciledMachines& unreconciled = machines_.unreconciled();
  steps_.draining.move_service(machine, unreconciled, now, out);
  if (!machine.accepts_tasks(now) || jobs_.waiting_jobs().empty()) return out;
  steps_.reservation.update(machine, unreconciled, now);
  if (has_room_for_smallest(machine)) {
    const auto order = jobs_.waiting_jobs_for(machine);
    for (const Pass pass : {Pass::within_fair_share, Pass::borrowing})
      if (out.empty() || machine.lost_replies == 0)
        launch(machine, order, pass, unreconciled, now, out);
  }
  if (machine.lost_replies == 0) steps_.preemption.make_room(machine, unreconciled, now, out);
  if (!machine.tasks.empty()) machine.idle_since = now;
  return out;
}

bool Placement::has_room_for_smallest(const ScheduledMachine& machine) const {
  return machine.used.cpus + jobs_.smallest_waiting_cpus() <=
         machine.type->cpus + kRoundingTolerance;
}

// Work within a fair share goes first, then borrowing; each in the order of the queue.
void Placement::launch(ScheduledMachine& machine, const std::vector<ScheduledJob*>& order,
                       Pass pass, const UnreconciledMachines& unreconciled, Ms now,
                       std::vector<Command>& out) {
  for (ScheduledJob* job : order) {
    if (!has_room_for_smallest(machine)) return;
    if (!steps_.reservation.admits(machine, *job) ||
        !steps_.rules.may_start(machine, *job, unreconciled, now) ||
        steps_.delays.waits_for_image(machine, *job, now) ||
        steps_.delays.spares_consolidating(machine, *job, now))
      continue;
    const bool launched = launch_tasks(machine, *job, pass, unreconciled, now, out);
    if (launched && on_trial(machine)) return;
  }
}

// The tasks of a job are alike, so they are decided together. Returns whether any was launched.
bool Placement::launch_tasks(ScheduledMachine& machine, ScheduledJob& job, Pass pass,
                             const UnreconciledMachines& unreconciled, Ms now,
                             std::vector<Command>& out) {
  bool launched = false;
  while (may_launch(machine, job, pass, unreconciled, now)) {
    machine.consolidating = false;  // the totals follow with the next tick
    const bool starved = job.starved;
    steps_.launcher.start(machine, job, now, out);
    launched = true;
    if (starved || on_trial(machine)) break;
  }
  return launched;
}

bool Placement::may_launch(const ScheduledMachine& machine, const ScheduledJob& job, Pass pass,
                           const UnreconciledMachines& unreconciled, Ms now) const {
  if (job.queued == 0 || !steps_.rules.fits(machine, job, unreconciled) ||
      steps_.delays.waits_for_fuller(machine, job, now))
    return false;
  if (!job.is_service() && machine.used.cpus + job.spec.cpus + machine.service_headroom_cpus() >
                               machine.type->cpus + kRoundingTolerance)
    return false;
  return pass == Pass::borrowing || job.starved ||
         teams_.within_fair_share(job.team, job.spec.cpus);
}

}  // namespace eiderreel
