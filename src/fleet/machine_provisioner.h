// Machine provisioning: asks the cloud for machines, the cheapest that will do, and knows which of
// them are still on their way. Only the cluster leader provisions.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "model/machine.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

class MachineProvisioner {
 public:
  struct ProvisionedMachine {  // ours, not listed or not up yet
    std::string type, zone;
    bool spot = false;
    Ms at = 0;
  };

  MachineProvisioner(Runtime& runtime, const Settings& settings,
                     const StateStoreClient& state_store, CloudClient& cloud)
      : runtime_(runtime), settings_(settings), state_store_(state_store), cloud_(cloud) {}
  void types_known(const std::vector<MachineType>& types) { types_ = types; }

  void provision_cheapest(double cpus, double spot_cpus);
  double provision_for(const JobSpec& job, double cpus);

  const std::map<std::string, ProvisionedMachine>& provisioned() const { return provisioned_; }
  std::uint64_t provisioned_count() const { return provisioned_count_; }
  // It is up, or gone.
  void forget(const std::string& machine) { provisioned_.erase(machine); }
  void forget_all() { provisioned_.clear(); }
  // Those that are up, and those that the cloud has not listed for so long.
  void drop_lost(const std::set<std::string>& listed, Ms patience);

 private:
  bool can_provision(const MachineType& t, const std::string& zone, bool spot) const;
  static std::string slot(const MachineType& t, const std::string& zone, bool spot);
  void provision(const MachineType& t, const std::string& zone, bool spot, int count);
  void send_provision_request(const MachineType& t, const std::string& zone, bool spot, int count,
                              const std::string& request_name, int tries);

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  CloudClient& cloud_;
  std::vector<MachineType> types_;
  std::map<std::string, ProvisionedMachine> provisioned_;
  std::map<std::string, Ms> refused_;   // type/zone/kind -> when to ask again
  std::set<std::string> provisioning_;  // type/zone/kind with a request on its way
  std::uint64_t request_counter_ = 0, provisioned_count_ = 0;
};

}  // namespace eiderreel
