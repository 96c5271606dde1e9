// The machine assigner: gives machines whose first heartbeat arrives to the partition with the
// greatest need, by a durable commit before their first start.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet/machine_catalog.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Assigns new machines to partitions. To be used by the cluster leader alone.
class MachineAssigner {
 public:
  using Ended = std::function<void(const std::string& machine)>;

  MachineAssigner(const Settings& settings, const MachineCatalog& catalog,
                  StateStoreClient& state_store, PartitionLeader& partition_leader)
      : settings_(settings),
        catalog_(catalog),
        state_store_(state_store),
        partition_leader_(partition_leader) {}
  /// `ended` is called with each machine whose assignment has ended, whatever came of it.
  void start(Ended ended) { ended_ = std::move(ended); }

  /// A machine without a partition has sent a heartbeat. The newest heartbeat is kept, and answered
  /// once the machine is assigned; 503 answers an earlier one, or where it cannot be assigned.
  void add(const Heartbeat& heartbeat, Reply reply);
  /// Assigns all machines that wait. Those that come up together share transactions.
  void assign_all();

 private:
  struct PendingAssignment {
    Reply reply;
    Heartbeat heartbeat;
    codec::MachineRecord record;
    bool sent = false;  // its commit is on its way
  };
  struct Capacity {  // in CPUs
    double assigned = 0;
    double requested = 0;
  };
  // What a partition has and asks for.
  struct Share {
    double weight = 0;  // its fair share in CPUs
    Capacity on_demand;
    Capacity all;
    // What counts for a new machine of this kind.
    const Capacity& of(bool spot) const { return spot ? all : on_demand; }
    void assign(double cpus, bool spot);
  };

  std::vector<Share> shares() const;
  static int choose_partition(std::vector<Share>& shares, double cpus, bool spot);
  void send(const std::vector<std::string>& machines);
  void end(const std::string& machine, CasOutcome outcome);

  const Settings& settings_;
  const MachineCatalog& catalog_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  Ended ended_;
  std::map<std::string, PendingAssignment> pending_assignments_;  // by machine
};

}  // namespace eiderreel
