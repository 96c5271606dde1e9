// The machine assigner: on the first heartbeat of a machine, assigns it to the partition with the
// greatest need. The assignment is committed durably before any task starts on the machine.
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

/// Assigns new machines to partitions. Only the cluster leader may use it.
class MachineAssigner {
 public:
  using AssignmentEnded = std::function<void(const std::string& machine)>;

  MachineAssigner(const Settings& settings, const MachineCatalog& catalog,
                  StateStoreClient& state_store, PartitionLeader& partition_leader)
      : settings_(settings),
        catalog_(catalog),
        state_store_(state_store),
        partition_leader_(partition_leader) {}
  /// `assignment_ended` is called for each machine when its assignment has succeeded or failed.
  void start(AssignmentEnded assignment_ended) { assignment_ended_ = std::move(assignment_ended); }

  /// Adds a machine without a partition, which has sent this heartbeat. The newest heartbeat of a
  /// machine is kept until the machine is assigned, and is then answered like any other heartbeat.
  /// An earlier heartbeat is answered with 503, and so is the newest if the assignment fails.
  void enqueue(const Heartbeat& heartbeat, Reply reply);
  /// Assigns all waiting machines, several in one transaction.
  void assign_all();

 private:
  struct PendingAssignment {
    Reply reply;
    Heartbeat heartbeat;
    codec::MachineRecord record;
    bool committing = false;  // its commit is in flight
  };
  struct Capacity {  // in CPUs
    double assigned = 0;
    double requested = 0;
  };
  // The machines that a partition has, and those that it needs.
  struct PartitionShare {
    double weight = 0;  // the partition's fair share in CPUs
    Capacity on_demand;
    Capacity all;
    // The capacity by which a new machine of this kind is assigned.
    const Capacity& capacity_for(bool spot) const { return spot ? all : on_demand; }
    void assign(double cpus, bool spot);
  };

  std::vector<PartitionShare> partition_shares() const;
  static int choose_partition(std::vector<PartitionShare>& shares, double cpus, bool spot);
  void commit_assignments(const std::vector<std::string>& machines);
  void finish_assignment(const std::string& machine, CasOutcome outcome);

  const Settings& settings_;
  const MachineCatalog& catalog_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  AssignmentEnded assignment_ended_;
  std::map<std::string, PendingAssignment> pending_assignments_;  // by machine
};

}  // namespace eiderreel
