// Implements the partition advisor: requests for partitions that this controller leads are carried
// out directly, all others are sent to the leader of the partition.
#include "fleet/partition_advisor.h"

namespace eiderreel {

const std::string* PartitionAdvisor::leader_of(int partition) const {
  const auto& partitions = state_store_.view().partitions;
  const auto found = partitions.find(partition);
  return found == partitions.end() ? nullptr : &found->second.leader;
}

void PartitionAdvisor::transfer(const peer_rpc::TransferRequest& request) {
  const std::string* leader = leader_of(request.partition);
  if (!leader) return;
  if (*leader == settings_.node) {
    partition_leader_.transfer_machines(request);
  } else {
    send_(*leader, request);
  }
}

void PartitionAdvisor::cordon(const peer_rpc::CordonRequest& request) {
  const std::string* leader = leader_of(request.partition);
  if (!leader) return;
  if (*leader == settings_.node) {
    partition_leader_.cordon(request);
  } else {
    send_(*leader, request);
  }
}

}  // namespace eiderreel
