// The fleet: machines of the cloud. Only the cluster leader acts, the leader of partition 0: it has
// new machines assigned to partitions, advises moves of idle ones, scales out and in. Every node
// reads the catalog.
#pragma once
#include <map>
#include <set>
#include <string>

#include "cloud/cloud_client.h"
#include "codec/cloud_json.h"
#include "fleet/machine_assigner.h"
#include "fleet/machine_provisioner.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

class FleetManager {
 public:
  struct Hooks {
    std::function<void(const std::vector<MachineType>&)> types_known;
    std::function<void(const std::string& node, const peer_rpc::Body&)> send;
    std::function<void(const std::vector<std::string>&)> machines_terminated;  // here and at peers
  };
  struct Counters {
    std::uint64_t terminated = 0, moves = 0;
  };

  FleetManager(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
               PartitionLeader& partition_leader);
  void start(Hooks hooks);
  void tick();
  void assign(const Heartbeat& r,
              Reply reply);  // an unknown machine has sent a heartbeat to us, the cluster leader
  const Counters& counters() const { return counters_; }
  const CloudClient& cloud() const { return cloud_; }
  const MachineProvisioner& provisioner() const { return provisioner_; }

 private:
  struct ListedMachineEntry {  // a machine as the cloud last listed it
    codec::ListedMachine listed;
    Ms last_seen = 0;
  };
  struct PendingMachine {  // a machine that is provisioned and not in use yet
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
  };
  std::vector<PendingMachine> pending_machines() const;
  void get_catalog();
  void list_machines(const std::string& since);
  void on_list_complete();
  void rebalance();
  void scale_out_and_in();
  void release(const std::string& id, const codec::MachineRecord& record, std::uint64_t revision);
  void terminate_released();
  void forget(const std::vector<std::string>& ids);
  void advise_transfer(int from, int to, double cpus, bool spot);
  void advise_cordon(int from, double cpus, bool drain);
  void drain_one_machine(const std::map<int, PartitionLoad>& partition_loads);
  void raise_to_fair_share(const std::map<int, PartitionLoad>& partition_loads, double largest);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  CloudClient cloud_;
  MachineAssigner assigner_;
  MachineProvisioner provisioner_;
  Hooks hooks_;
  std::vector<MachineType> types_;
  bool catalog_asked_ = false, listing_ = false, terminating_ = false;
  Ms catalog_at_ = 0, listed_at_ = 0, list_sent_ = 0, balanced_at_ = 0, scaled_at_ = 0,
     short_since_ = 0;
  bool was_cluster_leader_ = false;
  Ms cluster_leader_since_ = 0;
  std::set<std::string> in_list_;
  std::set<std::string> terminated_;  // machines that are surely gone; names are never used again
  std::map<std::string, ListedMachineEntry> listed_machines_;
  std::set<std::string> changing_;  // machine keys with a commit on its way
  Counters counters_;
};

}  // namespace eiderreel
