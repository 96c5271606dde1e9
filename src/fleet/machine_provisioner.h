// Machine rental: asks the cloud for machines, the cheapest that will do, and knows which of them
// are still on their way. Only the leader rents.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

class MachineRental {
 public:
  struct Rented {  // ours, not listed or not up yet
    std::string type, zone;
    bool spot = false;
    Ms at = 0;
  };

  MachineRental(Runtime& rt, const Settings& s, const StateStoreClient& state_store,
                CloudClient& cloud)
      : rt_(rt), s_(s), state_store_(state_store), cloud_(cloud) {}
  void types_known(const std::vector<MachineType>& types) { types_ = types; }

  void rent_cheapest(double cpus, double spot_cpus);
  double rent_for(const JobSpec& job, double cpus);

  const std::map<std::string, Rented>& rented() const { return rented_; }
  std::uint64_t rented_count() const { return rented_count_; }
  // It is up, or gone.
  void forget(const std::string& machine) { rented_.erase(machine); }
  void forget_all() { rented_.clear(); }
  // Those that are up, and those that the cloud has not listed for so long.
  void drop_lost(const std::set<std::string>& listed, Ms patience);

 private:
  bool rentable(const MachineType& t, const std::string& zone, bool spot) const;
  static std::string slot(const MachineType& t, const std::string& zone, bool spot);
  void rent(const MachineType& t, const std::string& zone, bool spot, int count);
  void send_charter(const MachineType& t, const std::string& zone, bool spot, int count,
                    const std::string& charter, int tries);

  Runtime& rt_;
  const Settings& s_;
  const StateStoreClient& state_store_;
  CloudClient& cloud_;
  std::vector<MachineType> types_;
  std::map<std::string, Rented> rented_;
  std::map<std::string, Ms> refused_;  // type/zone/kind -> when to ask again
  std::set<std::string> renting_;      // type/zone/kind with a request on its way
  std::uint64_t charter_counter_ = 0, rented_count_ = 0;
};

}  // namespace eiderreel
