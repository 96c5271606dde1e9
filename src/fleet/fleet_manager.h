// The fleet: machines of the cloud. Only the leader acts, the owner of part 0: it has new machines
// assigned to parts, advises moves of idle ones, rents and returns. Every node reads the catalog.
#pragma once
#include <map>
#include <set>
#include <string>

#include "cloud/cloud_client.h"
#include "fleet/machine_assigner.h"
#include "fleet/machine_provisioner.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

class Fleet {
 public:
  struct Hooks {
    std::function<void(const std::vector<MachineType>&)> types_known;
    std::function<void(const std::string& node, const mesh::Body&)> send;
    std::function<void(const std::vector<std::string>&)> machines_gone;  // here and at peers
  };
  struct Counters {
    std::uint64_t returned = 0, moves = 0;
  };

  Fleet(Runtime& rt, const Settings& s, StateStoreClient& state_store, Owner& owner);
  void start(Hooks hooks);
  void tick();
  void assign(const Report& r, Reply reply);  // an unknown machine has reported to us, the leader
  const Counters& counters() const { return counters_; }
  const CloudClient& cloud() const { return cloud_; }
  const MachineRental& rental() const { return rental_; }

 private:
  struct Known {  // a machine as the cloud last listed it
    codec::ListedMachine listed;
    Ms last_seen = 0;
  };
  struct Coming {  // a machine that is rented and not in use yet
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
  };
  std::vector<Coming> coming() const;
  void get_catalog();
  void list(const std::string& since);
  void listed_all();
  void balance();
  void scale();
  void release(const std::string& id, const codec::MachineRecord& record, std::uint64_t revision);
  void return_released();
  void forget(const std::vector<std::string>& ids);
  void advise(int from, int to, double cpus, bool spot);
  void shed(int from, double cpus, bool drain);
  void drain_one(const std::map<int, PartNeed>& needs);
  void raise_to_base(const std::map<int, PartNeed>& needs, double largest);

  Runtime& rt_;
  const Settings& s_;
  StateStoreClient& state_store_;
  Owner& owner_;
  CloudClient cloud_;
  MachineAssigner assigner_;
  MachineRental rental_;
  Hooks hooks_;
  std::vector<MachineType> types_;
  bool catalog_asked_ = false, listing_ = false, returning_ = false;
  Ms catalog_at_ = 0, listed_at_ = 0, list_sent_ = 0, balanced_at_ = 0, scaled_at_ = 0,
     short_since_ = 0;
  bool was_leading_ = false;
  Ms leading_since_ = 0;
  std::set<std::string> in_list_;
  std::set<std::string> gone_;  // machines that are surely gone; names are never used again
  std::map<std::string, Known> known_;
  std::set<std::string> changing_;  // machine keys with a commit on its way
  Counters counters_;
};

}  // namespace eiderreel
