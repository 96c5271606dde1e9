// Implements the rebalancer: chooses the partitions that give machines and those that get them.
#include "fleet/rebalancer.h"

#include <algorithm>

#include "fleet/fair_share.h"

namespace eiderreel {
namespace {

namespace k = constants;

// Returns whether `donor` has so little waiting work that it may give machines to `receiver`.
bool may_donate(const PartitionLoad& donor, const PartitionLoad& receiver) {
  return donor.waiting_cpus <= receiver.waiting_cpus * k::kMaxDonorWaitingShare;
}

}  // namespace

void Rebalancer::rebalance() {
  Loads loads = partition_leader_.partition_loads();
  move_idle_machines(loads);
  raise_to_fair_share(loads);
  drain_one_machine(loads);
  cordon_free_room(loads);
}

// Moves idle machines from partitions with little waiting work to partitions with more.
void Rebalancer::move_idle_machines(Loads& loads) {
  const double largest_cpus = catalog_.largest_cpus();
  for (auto& [to, load] : loads) {
    double needed_cpus = load.waiting_cpus;
    for (auto& [from, donor] : loads) {
      if (from == to || !may_donate(donor, load)) continue;
      for (const bool spot : {true, false}) {
        double& idle = spot ? donor.idle_spot_cpus : donor.idle_cpus;
        const double max_cpus = spot ? std::min(needed_cpus, load.waiting_spot_cpus) : needed_cpus;
        if (max_cpus <= 0 || idle <= 0) continue;
        const double moved_cpus = std::min(idle, std::max(max_cpus, largest_cpus));
        advisor_.transfer({from, to, moved_cpus, spot});
        idle -= moved_cpus;
        needed_cpus -= moved_cpus;
      }
    }
  }
}

// A partition that gave its idle machines away has none when new work arrives. While work waited in
// all other partitions too, none of them gave machines back, and its jobs never started. A
// partition below its base by fair share therefore gets machines from the partition that is
// furthest above its own base.
void Rebalancer::raise_to_fair_share(const Loads& loads) {
  if (static_cast<int>(loads.size()) < settings_.partition_count) return;
  double cpus = 0;
  double weights = 0;
  for (const auto& [partition, load] : loads) {
    cpus += load.total_cpus;
    weights += fair_share_cpus_of(settings_, partition);
  }
  const auto cpus_above_base = [&](int partition) {
    return loads.at(partition).total_cpus -
           k::kFairShareBaseShare * cpus * fair_share_cpus_of(settings_, partition) / weights;
  };
  for (const auto& [to, load] : loads) {
    if (load.waiting_cpus <= 0 || cpus_above_base(to) >= 0) continue;
    int from = to;
    for (const auto& [partition, other] : loads)
      if (cpus_above_base(partition) > cpus_above_base(from)) from = partition;
    const double moved_cpus = std::max(-cpus_above_base(to), catalog_.largest_cpus());
    if (cpus_above_base(from) < moved_cpus) continue;
    advisor_.cordon({from, moved_cpus, false});
    advisor_.transfer({from, to, moved_cpus, false});
  }
}

// Drains a machine for a job that has waited for long while another partition has free room, but
// only on machines that never become idle because they run services. Only one machine is drained at
// a time, because users notice when services move.
void Rebalancer::drain_one_machine(const Loads& loads) {
  const double smallest_cpus = catalog_.smallest_cpus();
  for (const auto& [to, load] : loads) {
    if (load.longest_wait_s < k::kDrainAfterS) continue;
    for (const auto& [from, donor] : loads)
      if (from != to && donor.waiting_cpus <= 0 &&
          donor.total_cpus - donor.used_cpus >= smallest_cpus)
        return advisor_.cordon({from, smallest_cpus, true});
  }
}

// Cordons machines with free room in partitions with little waiting work, so that the machines
// become idle and can be moved to a partition with more.
void Rebalancer::cordon_free_room(Loads& loads) {
  for (auto& [to, load] : loads) {
    double needed_cpus = load.waiting_cpus;
    for (auto& [from, donor] : loads) {
      if (from == to || needed_cpus < k::kMinCordonCpus || !may_donate(donor, load)) continue;
      const double moved_cpus =
          std::min(needed_cpus, (donor.total_cpus - donor.used_cpus) * k::kCordonFreeShare);
      if (moved_cpus < k::kMinCordonCpus) continue;
      needed_cpus -= moved_cpus;
      donor.used_cpus += moved_cpus;
      advisor_.cordon({from, moved_cpus, false});
    }
  }
}

}  // namespace eiderreel
