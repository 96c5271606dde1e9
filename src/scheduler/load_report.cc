// Computes the load of a partition from its queue and its machines.
#include "scheduler/load_report.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

#include "constants.h"
#include "model/load.h"
#include "model/machine.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

PartitionLoad LoadReport::measure(Ms now) const {
  PartitionLoad load;
  add_jobs(load, now);
  add_machines(load, now);
  load.slack_s = jobs_.slack_s();
  load.start_objective_s = jobs_.wait_s();
  return load;
}

void LoadReport::add_jobs(PartitionLoad& load, Ms now) const {
  std::vector<double> quota_left(teams_.size());
  for (std::size_t team = 0; team < teams_.size(); ++team) {
    quota_left[team] = teams_.remaining_quota_cpus(team);
    load.used_cpus += teams_.used_cpus(team);
  }
  for (const ScheduledJob* job : jobs_.jobs()) {
    if (job->is_service()) load.used_service_cpus += job->bound * job->spec.cpus;
    if (job->queued == 0 || job->finalizing || job->not_before > now) continue;
    const double demand_cpus = std::min(job->queued_cpus(), quota_left[job->team]);
    quota_left[job->team] -= demand_cpus;
    load.waiting_cpus += demand_cpus;
    // Longest wait of a job without bound tasks although its team's quota allows one: other
    // partitions may have room for it, on machines that never run empty.
    if (job->bound == 0 && demand_cpus >= job->spec.cpus)
      load.longest_wait_s =
          std::max(load.longest_wait_s, static_cast<double>(now - job->waiting_since) / 1000);
    if (job->spec.spot) load.waiting_spot_cpus += demand_cpus;
    if (job->is_service()) load.waiting_service_cpus += demand_cpus;
    load.waiting_core_s += job->queued_cpus() * job->spec.estimate_s;
    if (load.unschedulable.size() >= constants::kMaxUnschedulableJobs) continue;
    if (const double shortage_cpus = std::min(demand_cpus, unschedulable_cpus(*job, now));
        shortage_cpus > 0)
      load.unschedulable.emplace_back(job->spec.id, shortage_cpus);
  }
}

void LoadReport::add_machines(PartitionLoad& load, Ms now) const {
  for (const auto& [id, machine] : machines_) {
    if (machine->lease_expired || !machine->heartbeat_received || !machine->type ||
        machine->transferring)
      continue;
    const double cpus = machine->type->cpus;
    load.total_cpus += cpus;
    if (machine->spot) load.spot_cpus += cpus;
    if (!machine->schedulable(now) || !machine->tasks.empty()) continue;
    ++load.idle_machines;
    (machine->spot ? load.idle_spot_cpus : load.idle_cpus) += cpus;
    if (now - machine->idle_since >= totals_.min_idle_ms())
      (machine->spot ? load.releasable_spot_cpus : load.releasable_cpus) += cpus;
  }
}

// The CPUs that a job restricted to a zone or to machine types lacks: those of its queued tasks,
// less the room on machines that it may use.
double LoadReport::unschedulable_cpus(const ScheduledJob& job, Ms now) const {
  const JobSpec& spec = job.spec;
  const bool restricted = !spec.zone.empty() || !spec.types.empty();
  if (!restricted || now - job.waiting_since < constants::kUnschedulableAfterMs) return 0;
  double shortage_cpus = job.queued_cpus();
  for (const auto& [id, machine] : machines_)
    if (shortage_cpus > 0 && machine->accepts_tasks(now) &&
        may_host(spec, *machine->type, machine->zone, machine->spot))
      shortage_cpus -=
          std::floor((machine->type->cpus - machine->used.cpus) / spec.cpus) * spec.cpus;
  return std::max(0.0, shortage_cpus);
}

std::vector<std::string> LoadReport::idle_machines(bool spot, double cpus, bool only_releasable,
                                                   Ms now) const {
  std::vector<const ScheduledMachine*> idle;
  for (const auto& [id, machine] : machines_)
    // Cordoned machines are included: one that was cordoned to run empty is released as soon as it
    // is idle, and the cordon is renewed continually.
    if (machine->spot == spot && machine->schedulable(now) && machine->tasks.empty() &&
        (!only_releasable || now - machine->idle_since >= totals_.min_idle_ms()))
      idle.push_back(machine.get());
  std::sort(idle.begin(), idle.end(), [](const ScheduledMachine* a, const ScheduledMachine* b) {
    return std::tie(a->idle_since, a->id) < std::tie(b->idle_since, b->id);
  });
  std::vector<std::string> ids;
  for (const ScheduledMachine* machine : idle) {
    if (machine->type->cpus > cpus) continue;
    cpus -= machine->type->cpus;
    ids.push_back(machine->id);
  }
  return ids;
}

}  // namespace eiderreel
