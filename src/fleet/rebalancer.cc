// The rebalancer: which partition gives machines to which.
#include "fleet/rebalancer.h"

#include <algorithm>

#include "fleet/fair_share.h"

namespace eiderreel {
namespace {

namespace k = constants;

// Whether so little waits in `giver` that it may give machines to `receiver`.
bool may_give(const PartitionLoad& giver, const PartitionLoad& receiver) {
  return giver.waiting_cpus <= receiver.waiting_cpus * k::kMaxGiverWaitingShare;
}

}  // namespace

void Rebalancer::rebalance() {
  Loads loads = partition_leader_.partition_loads();
  move_idle_machines(loads);
  raise_to_fair_share(loads);
  drain_one_machine(loads);
  cordon_free_room(loads);
}

// Idle machines move from partitions where little waits to the partition in need.
void Rebalancer::move_idle_machines(Loads& loads) {
  const double largest = catalog_.largest_cpus();
  for (auto& [to, load] : loads) {
    double wanted = load.waiting_cpus;
    for (auto& [from, giver] : loads) {
      if (from == to || !may_give(giver, load)) continue;
      for (const bool spot : {true, false}) {
        double& idle = spot ? giver.idle_spot_cpus : giver.idle_cpus;
        const double most = spot ? std::min(wanted, load.waiting_spot_cpus) : wanted;
        if (most <= 0 || idle <= 0) continue;
        const double given = std::min(idle, std::max(most, largest));
        advisor_.transfer({from, to, given, spot});
        idle -= given;
        wanted -= given;
      }
    }
  }
}

// A partition that has given its idle machines away has none when its own work comes. While work
// waits in all others too, nobody gave it any, and its jobs never began. Below its base by the fair
// shares it therefore gets machines from the partition that is furthest above its own.
void Rebalancer::raise_to_fair_share(const Loads& loads) {
  if (static_cast<int>(loads.size()) < settings_.partition_count) return;
  double cpus = 0;
  double weights = 0;
  for (const auto& [partition, load] : loads) {
    cpus += load.total_cpus;
    weights += fair_share_cpus_of(settings_, partition);
  }
  const auto above_base = [&](int partition) {
    return loads.at(partition).total_cpus -
           k::kFairShareBaseShare * cpus * fair_share_cpus_of(settings_, partition) / weights;
  };
  for (const auto& [to, load] : loads) {
    if (load.waiting_cpus <= 0 || above_base(to) >= 0) continue;
    int from = to;
    for (const auto& [partition, other] : loads)
      if (above_base(partition) > above_base(from)) from = partition;
    const double given = std::max(-above_base(to), catalog_.largest_cpus());
    if (above_base(from) < given) continue;
    advisor_.cordon({from, given, false});
    advisor_.transfer({from, to, given, false});
  }
}

// A job must not wait beside room that services of other partitions keep from running empty. One
// machine at a time: users notice when services move.
void Rebalancer::drain_one_machine(const Loads& loads) {
  const double smallest = catalog_.smallest_cpus();
  for (const auto& [to, load] : loads) {
    if (load.waited_s < k::kDrainAfterS) continue;
    for (const auto& [from, giver] : loads)
      if (from != to && giver.waiting_cpus <= 0 && giver.total_cpus - giver.used_cpus >= smallest)
        return advisor_.cordon({from, smallest, true});
  }
}

// A partition with free room but no idle machine lets some run empty for the one that waits most.
void Rebalancer::cordon_free_room(Loads& loads) {
  for (auto& [to, load] : loads) {
    double wanted = load.waiting_cpus;
    for (auto& [from, giver] : loads) {
      if (from == to || wanted < k::kMinCordonCpus || !may_give(giver, load)) continue;
      const double given =
          std::min(wanted, (giver.total_cpus - giver.used_cpus) * k::kCordonFreeShare);
      if (given < k::kMinCordonCpus) continue;
      wanted -= given;
      giver.used_cpus += given;
      advisor_.cordon({from, given, false});
    }
  }
}

}  // namespace eiderreel
