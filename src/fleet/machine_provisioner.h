// Machine provisioning: asks the cloud for machines, the cheapest that will do, and knows which of
// them are still on their way.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cloud/cloud_client.h"
#include "fleet/machine_catalog.h"
#include "model/machine.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Provisions machines. To be used by the cluster leader alone.
class MachineProvisioner {
 public:
  /// A machine that we provisioned and that is not listed or not up yet.
  struct ProvisionedMachine {
    std::string type;
    std::string zone;
    bool spot = false;
    Ms at = 0;
  };

  MachineProvisioner(Runtime& runtime, const Settings& settings,
                     const StateStoreClient& state_store, CloudClient& cloud,
                     const MachineCatalog& catalog)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        cloud_(cloud),
        catalog_(catalog) {}

  /// Provisions so many CPUs, the cheapest first and evenly over the zones; on spot machines at
  /// most `spot_cpus`.
  void provision_cheapest(double cpus, double spot_cpus);
  /// Provisions so many CPUs of the cheapest kind that may host this job. Returns the CPUs that
  /// were asked for; 0: no kind that may host it can be had now.
  double provision_for(const JobSpec& job, double cpus);

  /// Machines on their way, by name.
  const std::map<std::string, ProvisionedMachine>& provisioned() const { return provisioned_; }
  /// Machines that this process has provisioned.
  std::uint64_t provisioned_count() const { return provisioned_count_; }
  /// The machine is up, or gone.
  void forget(const std::string& machine) { provisioned_.erase(machine); }
  /// Forgets all machines that are on their way.
  void forget_all() { provisioned_.clear(); }
  /// Forgets the machines that are up, and those that the cloud has not listed for `patience` ms.
  void drop_lost(const std::set<std::string>& listed, Ms patience);

 private:
  // What the cloud runs out of: machines of one type, zone and kind.
  struct Pool {
    std::string type;
    std::string zone;
    bool spot = false;
    bool operator<(const Pool& other) const {
      return std::tie(type, zone, spot) < std::tie(other.type, other.zone, other.spot);
    }
  };
  struct Offer {
    const MachineType* type = nullptr;
    Pool pool;
    double price_per_cpu = 0;  // an hour
  };

  std::vector<Offer> offers(const std::function<bool(const Offer&)>& wanted) const;
  bool can_provision(const Pool& pool) const;
  void provision(const Pool& pool, int count);
  void send(const Pool& pool, const ProvisionRequest& request, int tries);
  void on_reply(const Pool& pool, const ProvisionRequest& request, int tries,
                const CloudResult<std::vector<std::string>>& machines);
  void add(const ProvisionRequest& request, const std::vector<std::string>& machines);
  void pause(const Pool& pool);

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  CloudClient& cloud_;
  const MachineCatalog& catalog_;
  std::map<std::string, ProvisionedMachine> provisioned_;
  std::map<Pool, Ms> paused_until_;  // pools without capacity
  std::set<Pool> provisioning_;      // pools with a request on its way
  std::uint64_t request_counter_ = 0;
  std::uint64_t provisioned_count_ = 0;
};

}  // namespace eiderreel
