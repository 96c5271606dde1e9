// The machine assigner: gives machines that report for the first time to the partition with the
// greatest need, by a durable commit before their first start.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

// What the guarantees of a partition's teams come to, in CPUs; its share of the machines at least.
double guaranteed_cpus(const Settings& s, int part);

class MachineAssigner {
 public:
  MachineAssigner(const Settings& s, StateStoreClient& state_store, Owner& owner)
      : s_(s), state_store_(state_store), owner_(owner) {}
  void types_known(const std::vector<MachineType>& types) { types_ = types; }
  // Called with each machine whose assignment has ended, whatever came of it.
  void start(std::function<void(const std::string& machine)> ended) { ended_ = std::move(ended); }

  // A machine without a partition has reported; the newest report is kept, and answered once the
  // machine is assigned.
  void add(const Report& r, Reply reply);
  // Machines that come up together are dealt out together, many in a transaction.
  void assign_all();

 private:
  struct Assigning {
    Reply reply;
    Report report;
    codec::MachineRecord record;
    bool sent = false;  // its commit is on its way
  };
  struct Share {  // what a partition has and asks for; index 0: ordinary machines, 1: all
    double weight = 0, cpus[2] = {0, 0}, asked[2] = {0, 0};
  };

  std::vector<Share> shares() const;
  static int part_for(std::vector<Share>& shares, double cpus, bool spot);
  void send(std::vector<std::string> machines);
  void end(const std::string& machine, Outcome outcome);

  const Settings& s_;
  StateStoreClient& state_store_;
  Owner& owner_;
  std::vector<MachineType> types_;
  std::function<void(const std::string&)> ended_;
  std::map<std::string, Assigning> assigning_;  // by machine
};

}  // namespace eiderreel
