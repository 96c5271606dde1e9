// The machine terminator: releases machines, has the cloud delete them, and deletes their keys.
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

/// Terminates machines. Only the cluster leader may use it.
class MachineTerminator {
 public:
  using Terminated = std::function<void(const std::vector<std::string>& machines)>;

  MachineTerminator(const Settings& settings, StateStoreClient& state_store, CloudClient& cloud,
                    MachineProvisioner& provisioner)
      : settings_(settings), state_store_(state_store), cloud_(cloud), provisioner_(provisioner) {}
  /// `terminated` is called with the machines that the cloud has deleted.
  void start(Terminated terminated) { terminated_hook_ = std::move(terminated); }

  /// Writes durably that a machine no longer belongs to a partition. `record` is the value of its
  /// key, or what the value would be; `revision` is the revision of the key, or 0 if there is no
  /// key.
  void release(const std::string& machine, const codec::MachineRecord& record,
               std::uint64_t revision);
  /// Has the cloud delete the machines that are durably released, with one request at a time.
  void terminate_released();
  /// Deletes the keys of machines that no longer exist.
  void delete_keys(const std::vector<std::string>& machines);

  /// Whether a machine is proven not to exist any more.
  bool is_terminated(const std::string& machine) const { return terminated_.contains(machine); }
  /// Number of machines that the cloud has deleted at the request of this process.
  std::uint64_t terminated_count() const { return terminated_count_; }

 private:
  using Iterator = std::vector<std::string>::const_iterator;

  Iterator delete_key_batch(Iterator next, Iterator end);
  void on_terminated(const std::vector<std::string>& machines);

  const Settings& settings_;
  StateStoreClient& state_store_;
  CloudClient& cloud_;
  MachineProvisioner& provisioner_;
  Terminated terminated_hook_;
  bool terminating_ = false;
  std::set<std::string> terminated_;  // machines proven not to exist; the cloud never reuses a name
  std::set<std::string> pending_commits_;  // machines with a commit of their key in flight
  std::uint64_t terminated_count_ = 0;
};

}  // namespace eiderreel
