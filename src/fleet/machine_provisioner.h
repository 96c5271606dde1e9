// Machine provisioning: requests the cheapest suitable machines from the cloud and tracks those
// that are not assigned to a partition yet.
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

/// Provisions machines. Only the cluster leader may use it.
class MachineProvisioner {
 public:
  /// A machine that this controller has provisioned and that is not assigned to a partition yet.
  struct ProvisionedMachine {
    std::string type;
    std::string zone;
    bool spot = false;
    Ms provisioned_at = 0;
  };

  MachineProvisioner(Runtime& runtime, const Settings& settings,
                     const StateStoreClient& state_store, CloudClient& cloud,
                     const MachineCatalog& catalog)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        cloud_(cloud),
        catalog_(catalog) {}

  /// Provisions machines with `cpus` CPUs in total, the cheapest type first and evenly over its
  /// zones. At most `spot_cpus` of them are on spot machines; these are provisioned even if `cpus`
  /// is 0.
  void provision_cheapest(double cpus, double spot_cpus);
  /// Provisions machines with `cpus` CPUs in total, of the cheapest pool that may host the job.
  /// Returns the CPUs that were requested, or 0 if no pool that may host the job is available now.
  double provision_for(const JobSpec& job, double cpus);

  /// Machines that are not assigned to a partition yet, by name.
  const std::map<std::string, ProvisionedMachine>& provisioned() const { return provisioned_; }
  /// Number of machines that this process has provisioned.
  std::uint64_t provisioned_count() const { return provisioned_count_; }
  /// Stops tracking a machine that has been assigned or terminated.
  void remove(const std::string& machine) { provisioned_.erase(machine); }
  /// Stops tracking all machines.
  void clear() { provisioned_.clear(); }
  /// Stops tracking the machines that are assigned to a partition, and those that are still not in
  /// the cloud's list `timeout` ms after they were provisioned.
  void remove_assigned_and_lost(const std::set<std::string>& listed, Ms timeout);

 private:
  // Machines of one type, zone and kind. The cloud may run out of capacity for each pool
  // separately.
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
    double price_per_cpu = 0;  // per hour
  };

  std::vector<Offer> offers(const std::function<bool(const Offer&)>& matches) const;
  bool can_provision(const Pool& pool) const;
  void provision(const Pool& pool, int count);
  void send_request(const Pool& pool, const ProvisionRequest& request, int attempts_left);
  void on_reply(const Pool& pool, const ProvisionRequest& request, int attempts_left,
                const CloudResult<std::vector<std::string>>& machines);
  void record_provisioned(const ProvisionRequest& request,
                          const std::vector<std::string>& machines);
  void pause(const Pool& pool);

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  CloudClient& cloud_;
  const MachineCatalog& catalog_;
  std::map<std::string, ProvisionedMachine> provisioned_;
  std::map<Pool, Ms> paused_until_;  // pools without capacity
  std::set<Pool> pending_pools_;     // pools with a request in flight
  std::uint64_t request_counter_ = 0;
  std::uint64_t provisioned_count_ = 0;
};

}  // namespace eiderreel
