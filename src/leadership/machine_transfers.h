// Giving machines to other partitions, or back to the cloud.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partitions.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Invariant 3: only its leader gives a machine away, idle, under guard of the claim.
class MachineTransfers {
 public:
  MachineTransfers(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                   LedPartitions& led)
      : runtime_(runtime), settings_(settings), state_store_(state_store), led_(led) {}

  /// The cluster leader's advice: gives idle machines of one kind to another partition, or releases
  /// them where `to` is negative. Nothing happens if the partition is not led here.
  void transfer(const peer_rpc::TransferRequest& request);

 private:
  using Machines = std::vector<std::string>;

  void transfer_batch(const LeadershipTerm& term, int to, const Machines& machines);
  void commit(const LeadershipTerm& term, const Machines& machines, CompareAndSwap swap);
  void retry(const LeadershipTerm& term, const Machines& machines, const CompareAndSwap& swap);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_;
};

}  // namespace eiderreel
