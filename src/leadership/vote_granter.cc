// Grants votes to peers: promises not to claim their partitions for a limited time.
#include "leadership/vote_granter.h"

#include <algorithm>

namespace eiderreel {

namespace k = constants;

// A vote carries all finished jobs that the requester's view may lack. A node whose record of
// finished jobs does not reach back to the requester's revision grants no vote.
peer_rpc::Vote VoteGranter::vote_on(const std::string& node, const peer_rpc::VoteRequest& request) {
  // Merges the claims from the request first: a node whose requests alone were refused by the state
  // store before the outage has not seen the claim of the partition that it lost. Without the merge
  // it granted no vote, and all leases of the partition expired.
  for (const auto& [partition, revision] : request.partitions)
    state_store_.replica().merge_claim(partition, node, revision);
  auto finished = state_store_.replica().finished_since(request.store_revision);
  if (!finished || !may_vote(node, request)) return {request.request_id, false, {}};
  const Ms until = runtime_.now() +
                   static_cast<Ms>(static_cast<double>(request.ttl) * (1 + k::kClockDriftShare));
  for (const auto& [partition, revision] : request.partitions)
    claims_.postpone_until(partition, until);
  return {request.request_id, true, std::move(*finished)};
}

// A vote is granted only while the state store does not answer this node either, and only to the
// last known leader of the partitions. It is refused while a claim of this node may still take
// effect. Claims of an earlier process of this node cannot: its lease is ended before this process
// gets one.
bool VoteGranter::may_vote(const std::string& node, const peer_rpc::VoteRequest& request) const {
  if (!state_store_.view().ready || state_store_.lease_id() == 0 || request.ttl > k::kVoteTtlMs ||
      runtime_.now() - state_store_.last_executed_at() < k::kStateStoreSilenceMs)
    return false;
  return std::all_of(request.partitions.begin(), request.partitions.end(), [&](const auto& claim) {
    const auto& [partition, revision] = claim;
    return is_led_by(partition, node, revision) && !claims_.has_pending_claim(partition) &&
           !led_partitions_.contains(partition);
  });
}

bool VoteGranter::is_led_by(int partition, const std::string& node, std::uint64_t revision) const {
  const auto& partitions = state_store_.view().partitions;
  const auto found = partitions.find(partition);
  return found != partitions.end() && found->second.leader == node &&
         found->second.revision == revision;
}

}  // namespace eiderreel
