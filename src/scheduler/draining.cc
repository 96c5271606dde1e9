// Chooses the machines to cordon and the services to move.
#include "scheduler/draining.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/task_commands.h"

namespace eiderreel {

void Draining::cordon(double cpus, bool drain, Ms now) {
  std::vector<ScheduledMachine*> candidates;
  for (const auto& [id, machine] : machines_)
    if (machine->reconciled && machine->heartbeat_received && !machine->lease_expired &&
        !machine->transferring && machine->type && (drain || machine->service_cpus == 0))
      candidates.push_back(machine.get());
  // Machines that are cordoned already (for a drain: that are being drained already) come first.
  // Further criteria are the end of the last array task, soonest first (only for a drain), and then
  // the CPUs used by services and by all tasks, emptiest first.
  const auto sort_key = [now, drain](const ScheduledMachine* machine) {
    return std::tuple((drain ? machine->drain_until : machine->cordoned_until) < now,
                      drain ? std::max(now, machine->arrays_end_at()) : 0, machine->service_cpus,
                      machine->used.cpus, machine->id);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const ScheduledMachine* a, const ScheduledMachine* b) {
              return sort_key(a) < sort_key(b);
            });
  for (ScheduledMachine* machine : candidates) {
    if (machine->type->cpus > cpus) continue;
    cpus -= machine->type->cpus;
    machine->cordoned_until = now + constants::kCordonTtlMs;
    if (drain) machine->drain_until = machine->cordoned_until;
  }
}

// A stopped replica is started on another machine once a heartbeat has shown that it no longer runs
// on this one. Replicas are moved one at a time, so that a service with several replicas is never
// down.
void Draining::move_service(ScheduledMachine& machine, const UnreconciledMachines& unreconciled,
                            Ms now, std::vector<Command>& commands) const {
  if (machine.drain_until <= now || !machine.schedulable(now)) return;
  const bool move_in_progress =
      std::any_of(machine.tasks.begin(), machine.tasks.end(),
                  [](const auto& entry) { return entry.second.stop_grace_s.has_value(); });
  if (move_in_progress) return;
  for (auto& [key, task] : machine.tasks) {
    if (!task.service || !task.job || task.job->finalizing ||
        !fits_on_another_machine(machine, *task.job, unreconciled, now))
      continue;
    stop_task(key, task, commands);
    return;
  }
}

bool Draining::fits_on_another_machine(const ScheduledMachine& machine, const ScheduledJob& job,
                                       const UnreconciledMachines& unreconciled, Ms now) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const ScheduledMachine& other = *entry.second;
    return &other != &machine && other.accepts_tasks(now) && other.images.contains(job.image) &&
           rules_.fits(other, job, unreconciled);
  });
}

}  // namespace eiderreel
