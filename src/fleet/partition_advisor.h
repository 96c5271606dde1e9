// The partition advisor: brings the cluster leader's advice to the leader of a partition, which
// chooses the machines.
#pragma once
#include <functional>
#include <string>

#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Sends advice on machines to partition leaders. Advice may be lost; it is given again while it
/// holds.
class PartitionAdvisor {
 public:
  using Send = std::function<void(const std::string& node, const peer_rpc::Body&)>;

  PartitionAdvisor(const Settings& settings, const StateStoreClient& state_store,
                   PartitionLeader& partition_leader)
      : settings_(settings), state_store_(state_store), partition_leader_(partition_leader) {}
  /// `send` brings a message to a peer.
  void start(Send send) { send_ = std::move(send); }

  /// Idle machines are to move to another partition, or to be released.
  void transfer(const peer_rpc::TransferRequest& request);
  /// Machines are to run empty.
  void cordon(const peer_rpc::CordonRequest& request);

 private:
  // Null: the partition is vacant.
  const std::string* leader_of(int partition) const;

  const Settings& settings_;
  const StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  Send send_;
};

}  // namespace eiderreel
