// The fleet: machines of the cloud. Only the cluster leader acts, the leader of partition 0: it has
// new machines assigned to partitions, advises moves of idle ones, scales out and in. Every node
// reads the catalog.
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

/// Owns the parts of the fleet management and says when each of them acts.
class FleetManager {
 public:
  struct Hooks {
    /// The catalog has been read.
    MachineCatalog::Updated types_known;
    /// Sends a message to a peer.
    PartitionAdvisor::Send send;
    /// Tells of machines that the cloud has deleted, here and at the peers.
    MachineTerminator::Terminated machines_terminated;
  };

  FleetManager(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
               PartitionLeader& partition_leader);
  /// Begins to read the catalog; to be called once.
  void start(Hooks hooks);
  /// Every constants::kTickMs.
  void tick();
  /// A machine without a partition has sent a heartbeat to us, the cluster leader. It is answered
  /// once the machine is assigned, or with 503.
  void assign(const Heartbeat& heartbeat, Reply reply);

  /// Machines that this process has provisioned.
  std::uint64_t provisioned_count() const { return provisioner_.provisioned_count(); }
  /// Machines that the cloud has deleted for this process.
  std::uint64_t terminated_count() const { return terminator_.terminated_count(); }
  /// The client of the cloud, for its counters.
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
  Ms balanced_at_ = 0;
  Ms scaled_at_ = 0;
};

}  // namespace eiderreel
