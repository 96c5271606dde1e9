// Checks of free resources, quotas, zones and unreconciled machines.
#include "scheduler/placement_rules.h"

#include "constants.h"
#include "model/job.h"
#include "model/machine.h"
#include "scheduler/machine_pool.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {
namespace {

bool has_room(const Resources& taken, const MachineType& type, const JobSpec& spec) {
  return taken.cpus + spec.cpus <= type.cpus + kRoundingTolerance &&
         taken.gpus + spec.gpus <= type.gpus + kRoundingTolerance &&
         taken.memory_gb + spec.memory_gb <= type.memory_gb + kRoundingTolerance;
}

bool satisfies_zone_rules(const ScheduledMachine& machine, const ScheduledJob& job) {
  const JobSpec& spec = job.spec;
  if (spec.one_zone && !job.zones.empty() && !job.zones.contains(machine.zone)) return false;
  if (!spec.spread) return true;
  const auto zone = job.zones.find(machine.zone);
  const int tasks_in_zone = zone == job.zones.end() ? 0 : zone->second;
  return tasks_in_zone + 1 <= static_cast<int>((spec.tasks + 1) / 2);
}

}  // namespace

bool PlacementRules::may_start(const ScheduledMachine& machine, const ScheduledJob& job,
                               const UnreconciledMachines& unreconciled, Ms now) const {
  if (job.queued == 0 || job.finalizing || job.not_before > now) return false;
  // Invariant 5: tasks of a job that is older than the partition's claim may already run on any
  // unreconciled machine that could host them, so none is started as long as such machines exist.
  if (job.predates_claim && (job.spec.spot ? unreconciled.count : unreconciled.on_demand) > 0)
    return false;
  const auto avoided = job.avoided_machines.find(machine.id);
  return avoided == job.avoided_machines.end() || avoided->second <= now ||
         job.avoided_machines.size() >= machines_.size();
}

bool PlacementRules::fits_given_usage(const Resources& taken, const ScheduledMachine& machine,
                                      const ScheduledJob& job,
                                      const UnreconciledMachines& unreconciled) const {
  return has_room(taken, *machine.type, job.spec) &&
         may_host(job.spec, *machine.type, machine.zone, machine.spot) &&
         // Machines that may run unknown tasks count towards the quota with all their CPUs.
         teams_.within_quota(job.team, job.spec, unreconciled.cpus) &&
         satisfies_zone_rules(machine, job);
}

}  // namespace eiderreel
