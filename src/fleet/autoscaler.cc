// The autoscaler: the demand of all partitions, what is provisioned for it, and what is released.
#include "fleet/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

namespace eiderreel {
namespace {

namespace k = constants;

// Sums, but for `slack_s` (the longest) and `wait_s` (the shortest that is stated). `idle_cpus` is
// of all kinds of machines.
PartitionLoad total_of(const std::map<int, PartitionLoad>& loads) {
  PartitionLoad total;
  for (const auto& [partition, load] : loads) {
    total.waiting_cpus += load.waiting_cpus;
    total.waiting_spot_cpus += load.waiting_spot_cpus;
    total.waiting_service_cpus += load.waiting_service_cpus;
    total.waiting_core_s += load.waiting_core_s;
    total.total_cpus += load.total_cpus;
    total.spot_cpus += load.spot_cpus;
    total.used_cpus += load.used_cpus;
    total.used_service_cpus += load.used_service_cpus;
    total.slack_s = std::max(total.slack_s, load.slack_s);
    if (load.wait_s > 0)
      total.wait_s = total.wait_s > 0 ? std::min(total.wait_s, load.wait_s) : load.wait_s;
    total.idle_cpus += load.idle_cpus + load.idle_spot_cpus;
  }
  return total;
}

void log_loads(const std::map<int, PartitionLoad>& loads) {
  for (const auto& [partition, load] : loads)
    spdlog::debug(
        "partition load partition={} waiting={:.0f} used={:.0f} services={:.0f} total={:.0f} "
        "idle={}",
        partition, load.waiting_cpus, load.used_cpus, load.used_service_cpus, load.total_cpus,
        load.idle_machines);
}

}  // namespace

void Autoscaler::scale_out_and_in() {
  const Loads loads = partition_leader_.partition_loads();
  if (static_cast<int>(loads.size()) < settings_.partition_count) return;
  log_loads(loads);
  const PartitionLoad total = total_of(loads);
  PendingCapacity pending = pending_capacity();
  provision_for_unschedulable(loads, pending);
  // Where the usual slack before a deadline is long beside a boot time, cost saving costs little.
  const bool saves_cost = total.slack_s >= k::kCostSavingBootFactor * catalog_.longest_boot_s();
  const double requested = requested_cpus(total, saves_cost);
  const double lack = requested - total.idle_cpus - pending.cpus;
  spdlog::debug(
      "fleet asked={:.0f} waiting={:.0f} work={:.0f} used={:.0f} idle={:.0f} pending={:.0f} "
      "total={:.0f} spot={:.0f} slack={:.1f}",
      requested, total.waiting_cpus, total.waiting_core_s, total.used_cpus, total.idle_cpus,
      pending.cpus, total.total_cpus, total.spot_cpus, total.slack_s);
  const bool lasts = lack_lasts(lack);
  // Where cost saving pays, what may run on spot machines is moved to them while there are any.
  const double movable_to_spot = saves_cost ? total.used_cpus - total.used_service_cpus +
                                                  total.waiting_spot_cpus - total.spot_cpus -
                                                  pending.spot_cpus
                                            : 0;
  if (lasts || movable_to_spot > 0) {
    const double spot_lack = total.waiting_spot_cpus > pending.cpus ? lack : 0.0;
    provisioner_.provision_cheapest(lasts ? lack : 0, std::max(movable_to_spot, spot_lack));
  }
  // Spot machines that dearer ones do the work of would be provisioned again at once.
  release_idle(loads, total.idle_cpus - total.waiting_cpus,
               saves_cost ? -movable_to_spot : std::numeric_limits<double>::infinity());
}

Autoscaler::PendingCapacity Autoscaler::pending_capacity() const {
  PendingCapacity pending;
  pending.machines = inventory_.pending_machines();
  for (const auto& machine : pending.machines) {
    pending.cpus += machine.type->cpus;
    if (machine.spot) pending.spot_cpus += machine.type->cpus;
  }
  return pending;
}

// Jobs bound to a zone whose machines were lost waited for ever while idle ones elsewhere
// made up for them in the sums. Each pending machine is counted for one such job alone.
void Autoscaler::provision_for_unschedulable(const Loads& loads, PendingCapacity& pending) {
  const auto& jobs = state_store_.view().jobs;
  for (const auto& [partition, load] : loads) {
    for (const auto& [id, lacking_cpus] : load.unschedulable) {
      const auto job = jobs.find(id);
      if (job == jobs.end()) continue;
      const JobSpec& spec = job->second.spec;
      double lacking = lacking_cpus;
      std::erase_if(pending.machines, [&](const auto& machine) {
        if (lacking <= 0 || !may_host(spec, *machine.type, machine.zone, machine.spot))
          return false;
        lacking -= machine.type->cpus;
        return true;
      });
      if (lacking > 0) pending.cpus += provisioner_.provision_for(spec, lacking);
    }
  }
}

// The free CPUs that the waiting work should have. Without cost saving that is all that waits. With
// it, enough for the queue to be worked off within a part of the slack. (What is done during a boot
// is not taken off: while work keeps coming, as much is added.) Services wait for nothing.
double Autoscaler::requested_cpus(const PartitionLoad& total, bool saves_cost) const {
  if (!saves_cost) return total.waiting_cpus;
  // A small fleet evens out less, so its queue is given less time.
  const auto machines = static_cast<double>(inventory_.size());
  const double patience = k::kQueueSlackFactor * machines / (machines + k::kSlackHalvingMachines);
  // Where arrays should start within a stated time, machines must be up well before it.
  const double queue_s =
      total.wait_s > 0 ? std::min(total.slack_s, total.wait_s * k::kWaitSlackShare) : total.slack_s;
  const double queue_cpus = total.waiting_core_s / (queue_s * patience) - total.total_cpus;
  return std::min(total.waiting_cpus, std::max(queue_cpus, total.waiting_service_cpus));
}

// Whether capacity has lacked for so long that it is worth a machine.
bool Autoscaler::lack_lasts(double lack) {
  if (lack <= 0) {
    lacking_since_ = 0;
  } else if (lacking_since_ == 0) {
    lacking_since_ = runtime_.now();
  }
  return lack > 0 && runtime_.now() - lacking_since_ >= k::kScaleOutDelayMs;
}

// Machines idle for long are released while nothing waits, on-demand ones first: they are dearer.
void Autoscaler::release_idle(const Loads& loads, double surplus, double most_spot) {
  for (const bool spot : {false, true}) {
    if (spot) surplus = std::min(surplus, most_spot);
    for (const auto& [partition, load] : loads) {
      const double released =
          std::min(surplus, spot ? load.releasable_spot_cpus : load.releasable_cpus);
      if (released <= 0) continue;
      advisor_.transfer({partition, kReleasedPartition, released, spot});
      surplus -= released;
    }
  }
}

}  // namespace eiderreel
