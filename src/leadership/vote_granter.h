// Grants votes to peers: promises not to claim their partitions for a limited time.
#pragma once
#include <string>

#include "leadership/led_partitions.h"
#include "leadership/partition_claims.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Answers the vote requests of peers, and postpones claims according to the granted votes.
class VoteGranter {
 public:
  VoteGranter(Runtime& runtime, StateStoreClient& state_store, const LedPartitions& led,
              PartitionClaims& claims)
      : runtime_(runtime), state_store_(state_store), led_partitions_(led), claims_(claims) {}

  /// Returns the vote for a peer; `granted` is false if the vote is refused.
  peer_rpc::Vote vote_on(const std::string& node, const peer_rpc::VoteRequest& request);

 private:
  bool may_vote(const std::string& node, const peer_rpc::VoteRequest& request) const;
  bool is_led_by(int partition, const std::string& node, std::uint64_t revision) const;

  Runtime& runtime_;
  StateStoreClient& state_store_;
  const LedPartitions& led_partitions_;
  PartitionClaims& claims_;
};

}  // namespace eiderreel
