// The rebalancer: requests moves of machines between partitions, so that no work waits in one
// partition while another has free room.
#pragma once
#include <map>

#include "fleet/machine_catalog.h"
#include "fleet/partition_advisor.h"
#include "leadership/partition_leader.h"

namespace eiderreel {

/// Moves machines to the partitions that need them. Only the cluster leader may use it.
class Rebalancer {
 public:
  Rebalancer(const Settings& settings, const MachineCatalog& catalog,
             const PartitionLeader& partition_leader, PartitionAdvisor& advisor)
      : settings_(settings),
        catalog_(catalog),
        partition_leader_(partition_leader),
        advisor_(advisor) {}
  /// Sends the requests that follow from the latest loads of the partitions. The catalog must not
  /// be empty.
  void rebalance();

 private:
  using Loads = std::map<int, PartitionLoad>;  // by partition

  void move_idle_machines(Loads& loads);
  void raise_to_fair_share(const Loads& loads);
  void drain_one_machine(const Loads& loads);
  void cordon_free_room(Loads& loads);

  const Settings& settings_;
  const MachineCatalog& catalog_;
  const PartitionLeader& partition_leader_;
  PartitionAdvisor& advisor_;
};

}  // namespace eiderreel
