// The fleet manager, which manages the machines that are rented from the cloud. Every controller
// reads the catalog. Only the cluster leader, which is the leader of partition 0, assigns new
// machines to partitions, rebalances machines between partitions, and scales out and in.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "fleet/autoscaler.h"
#include "fleet/machine_assigner.h"
#include "fleet/machine_catalog.h"
#include "fleet/machine_inventory.h"
#include "fleet/machine_provisioner.h"
#include "fleet/machine_terminator.h"
#include "fleet/partition_advisor.h"
#include "fleet/rebalancer.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Owns the components of fleet management and schedules their work.
class FleetManager {
 public:
  struct Hooks {
    /// Called with the machine types whenever the catalog has been read.
    MachineCatalog::Updated catalog_updated;
    /// Sends a message to a peer.
    PartitionAdvisor::Send send;
    /// Reports machines that the cloud has deleted to this controller's partitions and to the
    /// peers.
    MachineTerminator::Terminated machines_terminated;
  };

  FleetManager(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
               PartitionLeader& partition_leader);
  /// Starts to read the catalog. Must be called once.
  void start(Hooks hooks);
  /// Runs the components whose intervals have elapsed. Called every constants::kTickMs.
  void tick();
  /// Handles the heartbeat of a machine without a partition; called on the cluster leader. The
  /// reply is sent when the machine has been assigned; if the assignment fails, it is a 503.
  void assign(const Heartbeat& heartbeat, Reply reply);

  /// Number of machines that this process has provisioned.
  std::uint64_t provisioned_count() const { return provisioner_.provisioned_count(); }
  /// Number of machines that the cloud has deleted at the request of this process.
  std::uint64_t terminated_count() const { return terminator_.terminated_count(); }
  /// The cloud client, for its counters.
  const CloudClient& cloud() const { return cloud_; }

 private:
  void become_cluster_leader();

  Runtime& runtime_;
  PartitionLeader& partition_leader_;
  CloudClient cloud_;
  MachineCatalog catalog_;
  MachineAssigner assigner_;
  MachineProvisioner provisioner_;
  MachineTerminator terminator_;
  MachineInventory inventory_;
  PartitionAdvisor advisor_;
  Rebalancer rebalancer_;
  Autoscaler autoscaler_;
  bool was_cluster_leader_ = false;
  Ms cluster_leader_since_ = 0;
  Ms rebalanced_at_ = 0;
  Ms scaled_at_ = 0;
};

}  // namespace eiderreel
