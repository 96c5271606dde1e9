// The machine inventory: the cloud's list of machines. The list lags behind, so it proves the
// termination of a machine only after some time. It also shows machines that failed or that are
// stuck while starting.
#pragma once
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "fleet/machine_catalog.h"
#include "fleet/machine_provisioner.h"
#include "fleet/machine_terminator.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// The machines that exist in the cloud. Only the cluster leader may use it.
class MachineInventory {
 public:
  /// A machine that has been provisioned but not yet assigned to a partition.
  struct PendingMachine {
    const MachineType* type = nullptr;  // owned by the catalog, valid until it is read again
    std::string zone;
    bool spot = false;
  };

  MachineInventory(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store,
                   const PartitionLeader& partition_leader, CloudClient& cloud,
                   const MachineCatalog& catalog, MachineProvisioner& provisioner,
                   MachineTerminator& terminator)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        partition_leader_(partition_leader),
        cloud_(cloud),
        catalog_(catalog),
        provisioner_(provisioner),
        terminator_(terminator) {}
  /// Lists the machines if that is due. Called every constants::kTickMs.
  void tick();
  /// Removes all machines. Called when this controller becomes cluster leader.
  void clear() { machines_.clear(); }

  /// Number of machines that were listed and have not been proven terminated since.
  std::size_t size() const { return machines_.size(); }
  /// Machines that are provisioned or listed but not assigned to a partition yet.
  std::vector<PendingMachine> pending_machines() const;

 private:
  struct Entry {  // a machine as the cloud last listed it
    codec::ListedMachine listed;
    Ms last_seen = 0;
  };

  Ms max_lag_ms() const;
  void start_listing();
  void read_page(const std::string& since);
  void on_page(const std::string& since, const CloudResult<codec::MachineList>& page);
  void finish_listing();
  void process_list();
  void add_recorded_machines();
  std::vector<std::string> remove_terminated();
  void release_failed();
  bool is_stuck(const codec::ListedMachine& machine) const;

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  const PartitionLeader& partition_leader_;
  CloudClient& cloud_;
  const MachineCatalog& catalog_;
  MachineProvisioner& provisioner_;
  MachineTerminator& terminator_;
  std::map<std::string, Entry> machines_;  // by name
  std::set<std::string> current_list_;     // names in the list that is being read, or was read last
  bool listing_ = false;
  Ms list_requested_at_ = 0;  // when the first page was requested
  Ms list_ended_at_ = 0;      // when the last list ended, completely read or not
};

}  // namespace eiderreel
