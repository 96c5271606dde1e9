// Transfers machines to other partitions, or releases them to the cloud.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partitions.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Invariant 3: a machine is transferred only by the leader of its partition, only while it is
/// idle, and only in a commit whose preconditions include the leader's claim.
class MachineTransfers {
 public:
  MachineTransfers(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                   LedPartitions& led)
      : runtime_(runtime), settings_(settings), state_store_(state_store), led_partitions_(led) {}

  /// Carries out a request of the cluster leader: transfers idle machines of one kind to another
  /// partition, or releases them to the cloud if `to` is negative. Does nothing unless this
  /// controller is the acting leader of the partition.
  void transfer(const peer_rpc::TransferRequest& request);

 private:
  using Machines = std::vector<std::string>;

  void transfer_batch(const LeadershipTerm& term, int to, const Machines& machines);
  void commit(const LeadershipTerm& term, const Machines& machines, CompareAndSwap swap);
  void retry(const LeadershipTerm& term, const Machines& machines, const CompareAndSwap& swap);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
};

}  // namespace eiderreel
