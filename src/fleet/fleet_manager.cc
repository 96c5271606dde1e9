// Implements the fleet manager: creates its components and runs them at their intervals.
#include "fleet/fleet_manager.h"

#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

FleetManager::FleetManager(Runtime& runtime, const Settings& settings,
                           StateStoreClient& state_store, PartitionLeader& partition_leader)
    : runtime_(runtime),
      partition_leader_(partition_leader),
      cloud_(runtime, settings),
      catalog_(runtime, cloud_),
      assigner_(settings, catalog_, state_store, partition_leader),
      provisioner_(runtime, settings, state_store, cloud_, catalog_),
      terminator_(settings, state_store, cloud_, provisioner_),
      inventory_(runtime, settings, state_store, partition_leader, cloud_, catalog_, provisioner_,
                 terminator_),
      advisor_(settings, state_store, partition_leader),
      rebalancer_(settings, catalog_, partition_leader, advisor_),
      autoscaler_(runtime, settings, state_store, partition_leader, catalog_, inventory_,
                  provisioner_, advisor_) {}

void FleetManager::start(Hooks hooks) {
  cloud_.start();
  assigner_.start([this](const std::string& machine) { provisioner_.remove(machine); });
  terminator_.start(std::move(hooks.machines_terminated));
  advisor_.start(std::move(hooks.send));
  catalog_.start(std::move(hooks.catalog_updated));
}

void FleetManager::tick() {
  catalog_.tick();
  if (!partition_leader_.is_cluster_leader() || catalog_.empty()) {
    was_cluster_leader_ = false;
    return;
  }
  if (!was_cluster_leader_) become_cluster_leader();
  const Ms now = runtime_.now();
  assigner_.assign_all();
  inventory_.tick();
  if (now - rebalanced_at_ >= k::kRebalanceIntervalMs) {
    rebalanced_at_ = now;
    rebalancer_.rebalance();
    terminator_.terminate_released();
  }
  // A new cluster leader first collects the list of machines and the loads of the partitions.
  if (now - scaled_at_ >= k::kScalingIntervalMs &&
      now - cluster_leader_since_ >= k::kClusterLeaderWarmupMs) {
    scaled_at_ = now;
    autoscaler_.scale_out_and_in();
  }
}

// Discards the state of an earlier term as cluster leader, which may be stale.
void FleetManager::become_cluster_leader() {
  was_cluster_leader_ = true;
  cluster_leader_since_ = runtime_.now();
  autoscaler_.reset();
  provisioner_.clear();
  inventory_.clear();
}

void FleetManager::assign(const Heartbeat& heartbeat, Reply reply) {
  // A delayed duplicate of a heartbeat must not assign a terminated machine to a partition.
  if (catalog_.empty() || terminator_.is_terminated(heartbeat.machine))
    return reply(http_status::kServiceUnavailable, "");
  assigner_.enqueue(heartbeat, std::move(reply));
}

}  // namespace eiderreel
