// Updates machines, jobs, teams' usage and totals with each binding and release.
#include "scheduler/task_bindings.h"

#include <algorithm>
#include <cstdint>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

BoundTask& TaskBindings::bind(ScheduledMachine& machine, ScheduledJob& job, std::uint32_t index,
                              std::uint64_t attempt, TaskPhase phase, Ms now) {
  BoundTask& task = machine.tasks[{job.spec.id, index}];
  task = {};
  task.job = &job;
  task.attempt = attempt;
  task.phase = phase;
  task.resources = Resources::of(job.spec);
  task.team = job.team;
  task.service = job.is_service();
  task.estimated_end = now + static_cast<Ms>(job.spec.estimate_s * 1000);
  totals_.add_free_cpus(machine, -task.resources.cpus);
  machine.used += task.resources;
  if (task.service) {
    machine.service_cpus += task.resources.cpus;
    machine.largest_service_cpus = std::max(machine.largest_service_cpus, task.resources.cpus);
  }
  // The machine has the image cached or fetches it from now on, so it counts as cached when further
  // tasks with this image are placed.
  machine.images.insert(job.image);
  teams_.add_usage(job.team, task.resources);
  if (job.tasks[index] == TaskState::queued) {
    job.tasks[index] = TaskState::bound;
    --job.queued;
  }
  ++job.bound;
  job.has_started = true;
  if (phase == TaskPhase::running) ++job.running;
  ++job.zones[machine.zone];
  return task;
}

BoundTask& TaskBindings::bind_orphan(ScheduledMachine& machine, const TaskStatus& status,
                                     const ScheduledJob* job, Ms now) {
  BoundTask& task = machine.tasks[{status.job, status.index}];
  task = {};
  task.attempt = status.attempt;
  task.phase = status.phase;
  task.reported = true;
  task.estimated_end = now;
  task.stop_grace_s = 0;
  if (job) {
    task.resources = Resources::of(job->spec);
    task.team = job->team;
    teams_.add_usage(job->team, task.resources);
  } else {
    machines_.add_unknown_tasks(machine, 1);
  }
  machine.used += task.resources;
  return task;
}

void TaskBindings::release(ScheduledMachine& machine, const TaskKey& key, Requeue requeue, Ms now) {
  const auto found = machine.tasks.find(key);
  if (found == machine.tasks.end()) return;
  const BoundTask task = found->second;
  machine.tasks.erase(found);
  machine.used -= task.resources;
  if (task.service) machine.service_cpus -= task.resources.cpus;
  if (!task.team) machines_.add_unknown_tasks(machine, -1);
  if (machine.tasks.empty()) {  // resets accumulated rounding errors
    machine.used = {};
    machine.service_cpus = 0;
  }
  totals_.add_free_cpus(machine, task.resources.cpus);
  if (task.team) teams_.subtract_usage(*task.team, task.resources);
  if (!task.job) return;
  ScheduledJob& job = *task.job;
  --job.bound;
  if (task.phase == TaskPhase::running) --job.running;
  if (--job.zones[machine.zone] == 0) job.zones.erase(machine.zone);
  if (requeue == Requeue::yes) jobs_.requeue(job, key.index, now);
}

void TaskBindings::release_all(ScheduledMachine& machine, Ms now) {
  while (!machine.tasks.empty()) {
    const TaskKey key = machine.tasks.begin()->first;
    release(machine, key, Requeue::yes, now);
  }
}

}  // namespace eiderreel
