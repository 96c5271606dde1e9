// The autoscaler: provisions machines for work that waits, moves work to spot machines where cost
// saving pays, and has machines released that stay idle.
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

/// Decides how many machines there are. To be used by the cluster leader alone.
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
  /// One decision. Does nothing while the load of any partition is not known.
  void scale_out_and_in();
  /// Forgets since when capacity lacks: this controller has just become cluster leader.
  void reset() { lacking_since_ = 0; }

 private:
  using Loads = std::map<int, PartitionLoad>;  // by partition
  struct PendingCapacity {                     // of machines on their way
    std::vector<MachineInventory::PendingMachine> machines;
    double cpus = 0;
    double spot_cpus = 0;
  };

  PendingCapacity pending_capacity() const;
  void provision_for_unschedulable(const Loads& loads, PendingCapacity& pending);
  double requested_cpus(const PartitionLoad& total, bool saves_cost) const;
  bool lack_lasts(double lack);
  void release_idle(const Loads& loads, double surplus, double most_spot);

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  const PartitionLeader& partition_leader_;
  const MachineCatalog& catalog_;
  const MachineInventory& inventory_;
  MachineProvisioner& provisioner_;
  PartitionAdvisor& advisor_;
  Ms lacking_since_ = 0;  // 0: nothing lacks
};

}  // namespace eiderreel
