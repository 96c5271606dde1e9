// The partition advisor: passes the cluster leader's requests to the leader of a partition, which
// chooses the machines.
#pragma once
#include <functional>
#include <string>

#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Sends transfer and cordon requests to partition leaders. A request may be lost; the cluster
/// leader repeats it while the reason for it persists.
class PartitionAdvisor {
 public:
  using Send = std::function<void(const std::string& node, const peer_rpc::Body&)>;

  PartitionAdvisor(const Settings& settings, const StateStoreClient& state_store,
                   PartitionLeader& partition_leader)
      : settings_(settings), state_store_(state_store), partition_leader_(partition_leader) {}
  /// `send` sends a message to a peer.
  void start(Send send) { send_ = std::move(send); }

  /// Requests that idle machines be moved to another partition or released.
  void transfer(const peer_rpc::TransferRequest& request);
  /// Requests that machines be cordoned.
  void cordon(const peer_rpc::CordonRequest& request);

 private:
  // Returns null if the partition is vacant.
  const std::string* leader_of(int partition) const;

  const Settings& settings_;
  const StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  Send send_;
};

}  // namespace eiderreel
