// The machine terminator: releases machines, has the cloud delete them and forgets their keys.
#pragma once
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "fleet/machine_provisioner.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Ends the life of machines. To be used by the cluster leader alone.
class MachineTerminator {
 public:
  using Terminated = std::function<void(const std::vector<std::string>& machines)>;

  MachineTerminator(const Settings& settings, StateStoreClient& state_store, CloudClient& cloud,
                    MachineProvisioner& provisioner)
      : settings_(settings), state_store_(state_store), cloud_(cloud), provisioner_(provisioner) {}
  /// `terminated` is called with machines once the cloud has deleted them.
  void start(Terminated terminated) { terminated_hook_ = std::move(terminated); }

  /// Writes durably that a machine is in no partition any more. `record` is what its key holds or
  /// would hold, `revision` that of the key; 0: the machine has none.
  void release(const std::string& machine, const codec::MachineRecord& record,
               std::uint64_t revision);
  /// Has the cloud delete machines that are durably released, one request at a time.
  void terminate_released();
  /// Deletes the keys of machines that are gone.
  void forget(const std::vector<std::string>& machines);

  /// Whether a machine is surely gone.
  bool is_terminated(const std::string& machine) const { return terminated_.contains(machine); }
  /// Machines that the cloud has deleted for this process.
  std::uint64_t terminated_count() const { return terminated_count_; }

 private:
  using Iterator = std::vector<std::string>::const_iterator;

  Iterator forget_batch(Iterator next, Iterator end);
  void on_terminated(const std::vector<std::string>& machines);

  const Settings& settings_;
  StateStoreClient& state_store_;
  CloudClient& cloud_;
  MachineProvisioner& provisioner_;
  Terminated terminated_hook_;
  bool terminating_ = false;
  std::set<std::string> terminated_;  // surely gone; the cloud never uses a name again
  std::set<std::string> changing_;    // machines with a commit of their key on its way
  std::uint64_t terminated_count_ = 0;
};

}  // namespace eiderreel
