// The machine inventory: the cloud's list of machines. It lags, so that it proves a machine gone
// only some time after; it also shows machines that failed or never come up.
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

/// The machines that the cloud has. To be used by the cluster leader alone.
class MachineInventory {
 public:
  /// A machine that is provisioned and in no partition yet.
  struct PendingMachine {
    const MachineType* type = nullptr;  // of the catalog, until it is read again
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
  /// Lists the machines when that is due; every constants::kTickMs.
  void tick();
  /// Forgets all machines: this controller has just become cluster leader.
  void clear() { machines_.clear(); }

  /// Machines listed and not proven gone since.
  std::size_t size() const { return machines_.size(); }
  /// Machines that are provisioned or listed, and have no partition yet.
  std::vector<PendingMachine> pending_machines() const;

 private:
  struct Entry {  // a machine as the cloud last listed it
    codec::ListedMachine listed;
    Ms last_seen = 0;
  };

  Ms lag() const;
  void begin_list();
  void read_page(const std::string& since);
  void on_page(const std::string& since, const CloudResult<codec::MachineList>& page);
  void end_list();
  void on_list_complete();
  void add_known_machines();
  std::vector<std::string> remove_gone();
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
  std::set<std::string> in_list_;          // what the list being read, or read last, has
  bool listing_ = false;
  Ms list_sent_ = 0;  // when the first page was asked for
  Ms listed_at_ = 0;  // when the last list ended, read whole or not
};

}  // namespace eiderreel
