// The votes that this controller gives to peers: not to claim their partitions for a while.
#include "leadership/vote_granter.h"

#include <algorithm>

namespace eiderreel {

namespace k = constants;

// The vote carries every end of a job that the requester's view may lack. A node that has not
// followed the state store for that long cannot know them all, and gives no vote.
peer_rpc::Vote VoteGranter::vote_on(const std::string& node, const peer_rpc::VoteRequest& request) {
  // A node that alone was refused by the state store before the outage has not seen the claim of
  // the partition that it lost. It gave no vote then, and all leases of the partition ended.
  for (const auto& [partition, revision] : request.partitions)
    state_store_.replica().merge_claim(partition, node, revision);
  auto finished = state_store_.replica().finished_since(request.store_revision);
  if (!finished || !may_vote(node, request)) return {request.request_id, false, {}};
  const Ms until =
      runtime_.now() + static_cast<Ms>(static_cast<double>(request.ttl) * (1 + k::kDrift));
  for (const auto& [partition, revision] : request.partitions)
    claims_.postpone_until(partition, until);
  return {request.request_id, true, std::move(*finished)};
}

// A vote is given only while the state store does not answer us either, and only to the leader
// last seen there. A claim of ours that may still land forbids it. An earlier process of this node
// had a lease that is ended before we have one, so none of its claims can land any more.
bool VoteGranter::may_vote(const std::string& node, const peer_rpc::VoteRequest& request) const {
  if (!state_store_.view().ready || state_store_.lease_id() == 0 || request.ttl > k::kVoteMs ||
      runtime_.now() - state_store_.last_good() < k::kStateSilentMs)
    return false;
  return std::all_of(request.partitions.begin(), request.partitions.end(), [&](const auto& asked) {
    const auto& [partition, revision] = asked;
    return is_led_by(partition, node, revision) && !claims_.may_land(partition) &&
           !led_.contains(partition);
  });
}

bool VoteGranter::is_led_by(int partition, const std::string& node, std::uint64_t revision) const {
  const auto& partitions = state_store_.view().partitions;
  const auto found = partitions.find(partition);
  return found != partitions.end() && found->second.leader == node &&
         found->second.revision == revision;
}

}  // namespace eiderreel
