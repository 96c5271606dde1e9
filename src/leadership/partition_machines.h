// The machines of the led partitions: added, transferred, cordoned or lost.
#pragma once
#include <string>
#include <vector>

#include "leadership/leadership_counters.h"
#include "leadership/led_partitions.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Applies changes of machines to the schedulers of led partitions.
class PartitionMachines {
 public:
  PartitionMachines(Runtime& runtime, const StateStoreClient& state_store, LedPartitions& led,
                    LeadershipCounters& counters)
      : runtime_(runtime), state_store_(state_store), led_partitions_(led), counters_(counters) {}

  /// Handles a change of a machine's record in the view.
  void machine_changed(const std::string& machine);
  /// Handles the report of the cloud that these machines are terminated.
  void machines_terminated(const std::vector<std::string>& machines);
  /// Carries out a request of the cluster leader to cordon machines, so that they drain.
  void cordon(const peer_rpc::CordonRequest& request);
  /// Declares those machines of an active partition lost whose lease has expired without a
  /// heartbeat.
  void expire_leases(LedPartition& led);

 private:
  Runtime& runtime_;
  const StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  LeadershipCounters& counters_;
};

}  // namespace eiderreel
