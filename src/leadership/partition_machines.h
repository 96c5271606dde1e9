// The machines of the led partitions: those that come, go or are lost.
#pragma once
#include <string>
#include <vector>

#include "leadership/leadership_counters.h"
#include "leadership/led_partitions.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Tells the schedulers of led partitions what becomes of their machines.
class PartitionMachines {
 public:
  PartitionMachines(Runtime& runtime, const StateStoreClient& state_store, LedPartitions& led,
                    LeadershipCounters& counters)
      : runtime_(runtime), state_store_(state_store), led_(led), counters_(counters) {}

  /// The record of a machine has changed in the view.
  void machine_changed(const std::string& machine);
  /// The cloud has said that these machines are gone.
  void machines_terminated(const std::vector<std::string>& machines);
  /// The cluster leader's advice to let machines run empty.
  void cordon(const peer_rpc::CordonRequest& request);
  /// Gives up the machines of an active partition that were silent beyond their lease.
  void expire_leases(LedPartition& led);

 private:
  Runtime& runtime_;
  const StateStoreClient& state_store_;
  LedPartitions& led_;
  LeadershipCounters& counters_;
};

}  // namespace eiderreel
