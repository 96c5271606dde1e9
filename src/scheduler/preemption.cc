// Decides which tasks are preempted, for which job and after which wait.
#include "scheduler/preemption.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "model/job.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/task_commands.h"

namespace eiderreel {
namespace {

bool covers(const Resources& free, const JobSpec& spec) {
  return free.cpus + kRoundingTolerance >= spec.cpus &&
         free.gpus + kRoundingTolerance >= spec.gpus &&
         free.memory_gb + kRoundingTolerance >= spec.memory_gb;
}

// The resources that are free when the launches of the same reply are executed. Tasks that are
// being stopped without a save count as gone, as the worker stops them before it starts others.
Resources free_before_launches(const ScheduledMachine& machine) {
  Resources free = Resources::of(*machine.type);
  for (const auto& [key, task] : machine.tasks)
    if (task.stop_grace_s != 0.0) free -= task.resources;
  return free;
}

}  // namespace

// A job may preempt only after a wait, during which the heartbeat of another machine may have shown
// free room for the job.
void Preemption::make_room(ScheduledMachine& machine, const UnreconciledMachines& unreconciled,
                           Ms now, std::vector<Command>& commands) {
  // A fair share is reclaimed no sooner than its start objective requires, since most tasks on
  // borrowed capacity end by themselves before that. Immediate preemption stopped the last tasks of
  // arrays repeatedly, which was the cause of most late arrays.
  const Ms reclaim_after_ms =
      std::max(constants::kMinReclaimDelayMs, inputs_.policy.fair_share_start_ms -
                                                  constants::kReclaimMarginMs -
                                                  inputs_.policy.heartbeat_round_ms());
  for (ScheduledJob* job : jobs_.waiting_jobs()) {
    ++jobs_examined_;
    const Ms waited_ms = now - job->waiting_since;
    const bool by_priority =
        job->priority > Priority::standard && waited_ms >= constants::kPreemptionDelayMs;
    // A fair share is not reclaimed while the queued tasks fit into the free room of machines whose
    // next heartbeat is still to come. Without this check, all tasks of some jobs were preempted
    // needlessly.
    const bool by_fair_share = waited_ms >= reclaim_after_ms && within_fair_share(*job) &&
                               job->queued_cpus() > inputs_.totals.free_cpus_for(*job);
    if (!by_priority && !by_fair_share) continue;
    if (!inputs_.reservation.admits(machine, *job) ||
        !inputs_.rules.may_start(machine, *job, unreconciled, now) ||
        delays_.waits_for_preferred_machine(machine, *job, now))
      continue;
    while (by_priority && job->queued > 0 &&
           preempt_for(machine, *job, PreemptionReason::priority, unreconciled, now, commands)) {
    }
    while (by_fair_share && job->queued > 0 && within_fair_share(*job) &&
           preempt_for(machine, *job, PreemptionReason::fair_share, unreconciled, now, commands)) {
    }
  }
}

bool Preemption::within_fair_share(const ScheduledJob& job) const {
  return inputs_.teams.within_fair_share(job.team, job.spec.cpus);
}

// Stops tasks on this machine and starts one task of the job in their place, in the same reply: the
// worker executes commands in order, and a task that cannot save stops at once. If any of the
// stopped tasks saves first, nothing is started; the freed resources are used after a heartbeat has
// shown that the task is gone. Returns whether a task was started.
bool Preemption::preempt_for(ScheduledMachine& machine, ScheduledJob& job, PreemptionReason reason,
                             const UnreconciledMachines& unreconciled, Ms now,
                             std::vector<Command>& commands) {
  const auto victims = choose_victims(machine, job, reason, now);
  if (!victims) return false;
  if (!inputs_.rules.fits_given_usage({}, machine, job, unreconciled)) return false;
  bool all_stopped_at_once = true;
  for (Victim* victim : *victims) {
    all_stopped_at_once &= stop_task(victim->first, victim->second, commands);
    ++preempted_count_;
  }
  if (all_stopped_at_once) launcher_.start(machine, job, now, commands);
  return all_stopped_at_once;
}

// Returns the tasks to stop so that a task of the job fits, or std::nullopt if stopping all
// candidates does not free enough.
std::optional<std::vector<Preemption::Victim*>> Preemption::choose_victims(
    ScheduledMachine& machine, const ScheduledJob& job, PreemptionReason reason, Ms now) const {
  Resources free = free_before_launches(machine);
  std::vector<Victim*> victims;
  double preempted_cpus = 0;
  for (Victim* candidate : candidates(machine, job, reason, now)) {
    if (covers(free, job.spec)) break;
    const BoundTask& task = candidate->second;
    if (reason == PreemptionReason::fair_share) {
      if (!inputs_.teams.keeps_fair_share(*task.team, preempted_cpus, task.resources.cpus))
        continue;
      preempted_cpus += task.resources.cpus;
    }
    free += task.resources;
    victims.push_back(candidate);
  }
  if (!covers(free, job.spec)) return std::nullopt;
  return victims;
}

// The tasks that may be preempted, the lowest priority first. Within a priority the latest started
// come first, as they lose the least work.
std::vector<Preemption::Victim*> Preemption::candidates(ScheduledMachine& machine,
                                                        const ScheduledJob& job,
                                                        PreemptionReason reason, Ms now) const {
  std::vector<Victim*> candidates;
  for (Victim& entry : machine.tasks)
    if (may_preempt(entry.second, job, reason, now)) candidates.push_back(&entry);
  std::sort(candidates.begin(), candidates.end(), [](const Victim* a, const Victim* b) {
    const Priority priority_a = a->second.job->priority;
    const Priority priority_b = b->second.job->priority;
    return priority_a != priority_b ? priority_a < priority_b
                                    : a->second.attempt > b->second.attempt;
  });
  return candidates;
}

bool Preemption::may_preempt(const BoundTask& task, const ScheduledJob& job,
                             PreemptionReason reason, Ms now) const {
  if (!task.job || task.stop_grace_s || task.phase == TaskPhase::flushing ||
      now < task.protected_until)
    return false;
  if (reason == PreemptionReason::priority) return task.job->priority < job.priority;
  // The team of the preempted task keeps its own fair share.
  return task.team != job.team && !task.service && task.job->priority <= job.priority &&
         inputs_.teams.keeps_fair_share(*task.team, 0, task.resources.cpus);
}

}  // namespace eiderreel
