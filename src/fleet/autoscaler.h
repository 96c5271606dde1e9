// The autoscaler: provisions machines for waiting work, moves work to spot machines if that saves
// cost, and has machines released that stay idle.
#pragma once
#include <map>
#include <vector>

#include "fleet/machine_catalog.h"
#include "fleet/machine_inventory.h"
#include "fleet/machine_provisioner.h"
#include "fleet/partition_advisor.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Decides how many machines the cluster has. Only the cluster leader may use it.
class Autoscaler {
 public:
  Autoscaler(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store,
             const PartitionLeader& partition_leader, const MachineCatalog& catalog,
             const MachineInventory& inventory, MachineProvisioner& provisioner,
             PartitionAdvisor& advisor)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        partition_leader_(partition_leader),
        catalog_(catalog),
        inventory_(inventory),
        provisioner_(provisioner),
        advisor_(advisor) {}
  /// Makes one scaling decision. Does nothing while the load of any partition is unknown.
  void scale_out_and_in();
  /// Resets the duration of the current shortfall. Called when this controller becomes cluster
  /// leader.
  void reset() { shortfall_since_ = 0; }

 private:
  using Loads = std::map<int, PartitionLoad>;  // by partition
  struct PendingCapacity {                     // of machines without a partition
    std::vector<MachineInventory::PendingMachine> machines;
    double cpus = 0;
    double spot_cpus = 0;
  };

  PendingCapacity pending_capacity() const;
  void provision_for_unschedulable(const Loads& loads, PendingCapacity& pending);
  double requested_cpus(const PartitionLoad& total, bool cost_saving) const;
  bool shortfall_persists(double shortfall_cpus);
  void release_idle(const Loads& loads, double surplus_cpus, double max_spot_cpus);

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  const PartitionLeader& partition_leader_;
  const MachineCatalog& catalog_;
  const MachineInventory& inventory_;
  MachineProvisioner& provisioner_;
  PartitionAdvisor& advisor_;
  Ms shortfall_since_ = 0;  // 0: no shortfall
};

}  // namespace eiderreel
