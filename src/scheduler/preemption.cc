// Who is preempted, by whom, and when.
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
  return free.cpus + kRounding >= spec.cpus && free.gpus + kRounding >= spec.gpus &&
         free.memory_gb + kRounding >= spec.memory_gb;
}

// The room that is free before the launches of the same answer: what is told to stop without
// saving goes before them.
Resources free_for_launches(const ScheduledMachine& machine) {
  Resources free = Resources::of(*machine.type);
  for (const auto& [key, task] : machine.tasks)
    if (task.stop_grace_s != 0.0) free -= task.size;
  return free;
}

}  // namespace

// This follows a moment in which another machine may have had room.
void Preemption::make_room(ScheduledMachine& machine, const UnreconciledMachines& unreconciled,
                           Ms now, std::vector<Command>& out) {
  // A fair share is reclaimed no sooner than its objective asks for. What borrows ends by itself in
  // most cases; stopped at once, most arrays that were late had lost their last tasks again and
  // again.
  const Ms reclaim_after =
      std::max(constants::kMinReclaimDelayMs, inputs_.policy.fair_share_start_ms -
                                                  constants::kReclaimMarginMs -
                                                  inputs_.policy.heartbeat_round_ms());
  for (ScheduledJob* job : jobs_.waiting()) {
    ++steps_;
    const Ms waited = now - job->waiting_since;
    const bool by_priority =
        job->priority > Priority::standard && waited >= constants::kPreemptionDelayMs;
    // What fits into room that is free on machines which have not sent a heartbeat yet needs no
    // victims. On jelajah-grown some jobs had each of their tasks stopped for nothing.
    const bool by_fair_share = waited >= reclaim_after && within_fair_share(*job) &&
                               job->queued_cpus() > inputs_.totals.free_for(*job);
    if (!by_priority && !by_fair_share) continue;
    if (!inputs_.reservation.admits(machine, *job) ||
        !inputs_.rules.may_start(machine, *job, unreconciled, now) ||
        delays_.waits_for_image(machine, *job, now))
      continue;
    while (by_priority && job->queued > 0 &&
           preempt_for(machine, *job, Ground::priority, unreconciled, now, out)) {
    }
    while (by_fair_share && job->queued > 0 && within_fair_share(*job) &&
           preempt_for(machine, *job, Ground::fair_share, unreconciled, now, out)) {
    }
  }
}

bool Preemption::within_fair_share(const ScheduledJob& job) const {
  return inputs_.teams.within_fair_share(job.team, job.spec.cpus);
}

// Stops tasks here and starts one of the job in their room, in the same answer: the worker obeys
// in order, and a task that cannot save is gone at once. One that can save is told to, and its
// room is used when it is seen to be gone. Returns whether the task was started.
bool Preemption::preempt_for(ScheduledMachine& machine, ScheduledJob& job, Ground ground,
                             const UnreconciledMachines& unreconciled, Ms now,
                             std::vector<Command>& out) {
  const auto victims = choose_victims(machine, job, ground, now);
  if (!victims) return false;
  if (!inputs_.rules.fits_beside({}, machine, job, unreconciled)) return false;
  bool at_once = true;
  for (Victim* victim : *victims) {
    at_once &= stop_task(victim->first, victim->second, out);
    ++count_;
  }
  if (at_once) launcher_.start(machine, job, now, out);
  return at_once;
}

// None: all that may be stopped is not enough.
std::optional<std::vector<Preemption::Victim*>> Preemption::choose_victims(
    ScheduledMachine& machine, const ScheduledJob& job, Ground ground, Ms now) const {
  Resources free = free_for_launches(machine);
  std::vector<Victim*> victims;
  double given = 0;
  for (Victim* candidate : candidates(machine, job, ground, now)) {
    if (covers(free, job.spec)) break;
    const BoundTask& task = candidate->second;
    if (ground == Ground::fair_share) {
      if (!inputs_.teams.keeps_fair_share(*task.team, given, task.size.cpus)) continue;
      given += task.size.cpus;
    }
    free += task.size;
    victims.push_back(candidate);
  }
  if (!covers(free, job.spec)) return std::nullopt;
  return victims;
}

// The lowest priority first, then the youngest: the least work is lost.
std::vector<Preemption::Victim*> Preemption::candidates(ScheduledMachine& machine,
                                                        const ScheduledJob& job, Ground ground,
                                                        Ms now) const {
  std::vector<Victim*> candidates;
  for (Victim& entry : machine.tasks)
    if (may_preempt(entry.second, job, ground, now)) candidates.push_back(&entry);
  std::sort(candidates.begin(), candidates.end(), [](const Victim* a, const Victim* b) {
    const Priority priority_a = a->second.job->priority;
    const Priority priority_b = b->second.job->priority;
    return priority_a != priority_b ? priority_a < priority_b
                                    : a->second.attempt > b->second.attempt;
  });
  return candidates;
}

bool Preemption::may_preempt(const BoundTask& task, const ScheduledJob& job, Ground ground,
                             Ms now) const {
  if (!task.job || task.stop_grace_s || task.phase == TaskPhase::flushing || now < task.kept_until)
    return false;
  if (ground == Ground::priority) return task.job->priority < job.priority;
  // A team keeps its own fair share.
  return task.team != job.team && !task.service && task.job->priority <= job.priority &&
         inputs_.teams.keeps_fair_share(*task.team, 0, task.size.cpus);
}

}  // namespace eiderreel
