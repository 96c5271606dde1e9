// Votes of peers not to claim the partitions of this controller, which let it continue to act
// during an outage of the state store.
#include "leadership/leadership_votes.h"

#include <algorithm>

namespace eiderreel {

namespace k = constants;

LeadershipVotes::LeadershipVotes(Runtime& runtime, const Settings& settings,
                                 StateStoreClient& state_store)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      last_request_number_(
          static_cast<std::uint64_t>(runtime.random() * k::kMaxInitialRequestNumber)) {}

// Invariant 6: a controller acts for a partition only while it is certain to be the leader. It is
// certain while its lease is alive or, if no node reaches the state store, while the votes of all
// peers not to claim its partitions are valid.
bool LeadershipVotes::may_act() const {
  if (state_store_.lease_alive()) return true;
  if (state_store_.lease_id() == 0 || settings_.peers.empty()) return false;
  const Ms now = runtime_.now();
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& peer) {
    const auto until = vote_valid_until_.find(peer.name);
    return until != vote_valid_until_.end() && now < until->second;
  });
}

// Votes are requested as soon as the state store stops answering, so that they have arrived by the
// time the lease can no longer be trusted.
std::optional<peer_rpc::VoteRequest> LeadershipVotes::next_request(
    std::vector<std::pair<int, std::uint64_t>> partitions) {
  const Ms now = runtime_.now();
  if (partitions.empty() || now - state_store_.last_executed_at() < k::kStateStoreSilenceMs ||
      now - requested_at_ < k::kVoteRequestIntervalMs)
    return std::nullopt;
  requested_at_ = now;
  peer_rpc::VoteRequest request;
  request.request_id = ++last_request_number_;
  request.ttl = k::kVoteTtlMs;
  request.store_revision = state_store_.view().store_revision;
  request.partitions = std::move(partitions);
  request_sent_at_[request.request_id] = now;
  while (request_sent_at_.size() > k::kMaxPendingVoteRequests)
    request_sent_at_.erase(request_sent_at_.begin());
  return request;
}

// The validity of a vote counts from the time at which its request was sent.
void LeadershipVotes::receive(const std::string& node, const peer_rpc::Vote& vote) {
  const auto sent_at = request_sent_at_.find(vote.request_id);
  if (sent_at == request_sent_at_.end() || !vote.granted) return;
  // The replicated view receives no updates while the controller acts on votes. Finished jobs that
  // the peer may have reported to users must be merged before the vote counts; otherwise the tasks
  // of such a job would run on until the outage is over.
  state_store_.replica().merge_finished(vote.finished);
  const Ms until = sent_at->second + static_cast<Ms>(k::kVoteTtlMs * (1 - k::kClockDriftShare)) -
                   k::kLeaseMarginMs;
  Ms& valid_until = vote_valid_until_[node];
  valid_until = std::max(valid_until, until);
}

}  // namespace eiderreel
