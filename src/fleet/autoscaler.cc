// Implements the autoscaler: sums the demand of all partitions, provisions machines for it, and
// releases idle machines.
#include "fleet/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

namespace eiderreel {
namespace {

namespace k = constants;

// Aggregates the loads of all partitions: the longest `slack_s`, the shortest `start_objective_s`
// that is set, and the sums of the other fields. `idle_cpus` includes idle spot machines.
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
    if (load.start_objective_s > 0)
      total.start_objective_s = total.start_objective_s > 0
                                    ? std::min(total.start_objective_s, load.start_objective_s)
                                    : load.start_objective_s;
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
  // If the usual slack before a deadline is long compared with the boot time, cost saving delays
  // few jobs beyond their deadlines.
  const bool cost_saving = total.slack_s >= k::kCostSavingBootFactor * catalog_.longest_boot_s();
  const double requested = requested_cpus(total, cost_saving);
  const double shortfall_cpus = requested - total.idle_cpus - pending.cpus;
  spdlog::debug(
      "scaling decision asked={:.0f} waiting={:.0f} work={:.0f} used={:.0f} idle={:.0f} "
      "pending={:.0f} total={:.0f} spot={:.0f} slack={:.1f}",
      requested, total.waiting_cpus, total.waiting_core_s, total.used_cpus, total.idle_cpus,
      pending.cpus, total.total_cpus, total.spot_cpus, total.slack_s);
  const bool persistent = shortfall_persists(shortfall_cpus);
  // With cost saving, all work that may run on spot machines is moved to them, as long as the cloud
  // has spot capacity.
  const double movable_to_spot_cpus = cost_saving ? total.used_cpus - total.used_service_cpus +
                                                        total.waiting_spot_cpus - total.spot_cpus -
                                                        pending.spot_cpus
                                                  : 0;
  if (persistent || movable_to_spot_cpus > 0) {
    const double spot_shortfall_cpus =
        total.waiting_spot_cpus > pending.cpus ? shortfall_cpus : 0.0;
    provisioner_.provision_cheapest(persistent ? shortfall_cpus : 0,
                                    std::max(movable_to_spot_cpus, spot_shortfall_cpus));
  }
  // With cost saving, a spot machine is released only if no on-demand machine runs work that could
  // move to it. Otherwise it would be provisioned again at once.
  release_idle(loads, total.idle_cpus - total.waiting_cpus,
               cost_saving ? -movable_to_spot_cpus : std::numeric_limits<double>::infinity());
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

// Provisions machines for jobs that are restricted to a zone or to machine types. Such a job is
// handled individually: when the machines of its zone were lost, idle machines in other zones hid
// the shortfall in the sums, and the job waited forever. Each pending machine is counted for only
// one of these jobs.
void Autoscaler::provision_for_unschedulable(const Loads& loads, PendingCapacity& pending) {
  const auto& jobs = state_store_.view().jobs;
  for (const auto& [partition, load] : loads) {
    for (const auto& [id, unschedulable_cpus] : load.unschedulable) {
      const auto job = jobs.find(id);
      if (job == jobs.end()) continue;
      const JobSpec& spec = job->second.spec;
      double remaining_cpus = unschedulable_cpus;
      std::erase_if(pending.machines, [&](const auto& machine) {
        if (remaining_cpus <= 0 || !may_host(spec, *machine.type, machine.zone, machine.spot))
          return false;
        remaining_cpus -= machine.type->cpus;
        return true;
      });
      if (remaining_cpus > 0) pending.cpus += provisioner_.provision_for(spec, remaining_cpus);
    }
  }
}

// Returns the free CPUs to provide for the waiting work. Without cost saving, these are the CPUs of
// all waiting tasks. With cost saving, they are enough to work off the queue within a part of the
// slack. (The work done during a boot is not subtracted: while jobs keep arriving, about as much is
// added.) Waiting services always get all their CPUs.
double Autoscaler::requested_cpus(const PartitionLoad& total, bool cost_saving) const {
  if (!cost_saving) return total.waiting_cpus;
  // Load fluctuations average out less in a small fleet, so its queue must be worked off faster.
  const auto machines = static_cast<double>(inventory_.size());
  const double slack_factor =
      k::kQueueSlackFactor * machines / (machines + k::kSlackHalvingMachines);
  // If job arrays have an objective for their start, the machines must be up well before that time.
  const double queue_limit_s =
      total.start_objective_s > 0
          ? std::min(total.slack_s, total.start_objective_s * k::kWaitSlackShare)
          : total.slack_s;
  const double queue_cpus =
      total.waiting_core_s / (queue_limit_s * slack_factor) - total.total_cpus;
  return std::min(total.waiting_cpus, std::max(queue_cpus, total.waiting_service_cpus));
}

// Returns whether the shortfall has lasted long enough to provision machines for it.
bool Autoscaler::shortfall_persists(double shortfall_cpus) {
  if (shortfall_cpus <= 0) {
    shortfall_since_ = 0;
  } else if (shortfall_since_ == 0) {
    shortfall_since_ = runtime_.now();
  }
  return shortfall_cpus > 0 && runtime_.now() - shortfall_since_ >= k::kScaleOutDelayMs;
}

// Releases machines that have been idle for long, up to the surplus of idle CPUs over waiting work.
// On-demand machines are released first because they cost more.
void Autoscaler::release_idle(const Loads& loads, double surplus_cpus, double max_spot_cpus) {
  for (const bool spot : {false, true}) {
    if (spot) surplus_cpus = std::min(surplus_cpus, max_spot_cpus);
    for (const auto& [partition, load] : loads) {
      const double released_cpus =
          std::min(surplus_cpus, spot ? load.releasable_spot_cpus : load.releasable_cpus);
      if (released_cpus <= 0) continue;
      advisor_.transfer({partition, kReleasedPartition, released_cpus, spot});
      surplus_cpus -= released_cpus;
    }
  }
}

}  // namespace eiderreel
