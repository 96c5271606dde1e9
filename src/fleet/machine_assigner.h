// The machine assigner: gives machines whose first heartbeat arrives to the partition with the
// greatest need, by a durable commit before their first start.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

// What the fair shares of a partition's teams come to, in CPUs; its share of the machines at least.
double fair_share_cpus_of(const Settings& settings, int partition);

class MachineAssigner {
 public:
  MachineAssigner(const Settings& settings, StateStoreClient& state_store,
                  PartitionLeader& partition_leader)
      : settings_(settings), state_store_(state_store), partition_leader_(partition_leader) {}
  void types_known(const std::vector<MachineType>& types) { types_ = types; }
  // Called with each machine whose assignment has ended, whatever came of it.
  void start(std::function<void(const std::string& machine)> ended) { ended_ = std::move(ended); }

  // A machine without a partition has sent a heartbeat; the newest heartbeat is kept, and answered
  // once the machine is assigned.
  void add(const Heartbeat& r, Reply reply);
  // Machines that come up together are dealt out together, many in a transaction.
  void assign_all();

 private:
  struct PendingAssignment {
    Reply reply;
    Heartbeat heartbeat;
    codec::MachineRecord record;
    bool sent = false;  // its commit is on its way
  };
  struct Share {  // what a partition has and asks for; index 0: ordinary machines, 1: all
    double weight = 0, cpus[2] = {0, 0}, asked[2] = {0, 0};
  };

  std::vector<Share> shares() const;
  static int choose_partition(std::vector<Share>& shares, double cpus, bool spot);
  void send(std::vector<std::string> machines);
  void end(const std::string& machine, CasOutcome outcome);

  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  std::vector<MachineType> types_;
  std::function<void(const std::string&)> ended_;
  std::map<std::string, PendingAssignment> pending_assignments_;  // by machine
};

}  // namespace eiderreel
