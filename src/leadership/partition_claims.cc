// Claims partitions that have no leader.
#include "leadership/partition_claims.h"

#include <algorithm>

namespace eiderreel {

namespace k = constants;

bool PartitionClaims::has_pending_claim(int partition) const {
  return claims_in_flight_.contains(partition) || claims_in_doubt_.contains(partition);
}

void PartitionClaims::postpone_until(int partition, Ms until) {
  Ms& postponed_until = postponed_until_[partition];
  postponed_until = std::max(postponed_until, until);
}

std::optional<std::string> PartitionClaims::last_leader(int partition) const {
  const auto leader = last_leader_.find(partition);
  if (leader == last_leader_.end()) return std::nullopt;
  return leader->second;
}

void PartitionClaims::claim_vacant() {
  const ClusterView& view = state_store_.view();
  if (!view.ready || !state_store_.lease_alive()) return;
  const Ms now = runtime_.now();
  for (int partition = 0; partition < settings_.partition_count; ++partition) {
    if (view.partitions.contains(partition) || claims_in_flight_.contains(partition)) {
      vacant_since_.erase(partition);
      continue;
    }
    const Ms since = vacant_since_.emplace(partition, now).first->second;
    if (is_postponed(partition)) continue;
    if (now - since >= claim_delay(partition)) claim(partition);
  }
}

// Invariant 6: a vote is honoured, also one that an earlier process of this node has given. This
// process has no record of such a vote, so after its start it waits until any vote has expired,
// unless this node led the partition last.
bool PartitionClaims::is_postponed(int partition) const {
  const Ms now = runtime_.now();
  const auto postponed = postponed_until_.find(partition);
  if (postponed != postponed_until_.end() && now < postponed->second) return true;
  return last_leader(partition) != settings_.node &&
         now - started_at_ < k::kVoteTtlMs + k::kLeaseMarginMs;
}

// The preferred leader claims first, and nodes in contact with workers claim before those that have
// lost contact.
Ms PartitionClaims::claim_delay(int partition) const {
  const std::string preferred = settings_.preferred_leader_of(partition);
  Ms delay = 0;
  if (preferred != settings_.node) {
    const bool preferred_may_claim =
        state_store_.view().nodes.contains(preferred) && !peers_.has_lost_workers(preferred);
    delay = preferred_may_claim ? k::kClaimDelayPreferredAliveMs : k::kClaimDelayPreferredLostMs;
  }
  if (!workers_.has_worker_contact()) delay += k::kClaimDelayWorkersLostMs;
  return delay;
}

void PartitionClaims::claim(int partition) {
  claims_in_flight_.insert(partition);
  const std::uint64_t lease_id = state_store_.lease_id();
  CompareAndSwap swap;
  swap.nonce = state_store_.nonce();
  swap.preconditions = {{codec::partition_key(partition), 0}};
  swap.writes = {{codec::partition_key(partition),
                  codec::encode(codec::PartitionRecord{settings_.node, lease_id}, swap.nonce),
                  true}};
  swap.request_priority = RequestPriority::urgent;
  swap.done = [this, partition, lease_id](CasOutcome outcome, std::uint64_t revision) {
    on_claim_result(partition, lease_id, outcome, revision);
  };
  state_store_.compare_and_swap(std::move(swap));
}

// A claim with unknown outcome may still take effect, which `partition_changed` detects from the
// partition's key. It may also never take effect, so the partition is claimed again; otherwise it
// could remain without a leader. `superseded` is also treated as unknown: that the key holds
// another claim now does not prove whether an earlier unanswered attempt took effect.
void PartitionClaims::on_claim_result(int partition, std::uint64_t lease_id, CasOutcome outcome,
                                      std::uint64_t revision) {
  const bool same_lease = lease_id == state_store_.lease_id();
  if (outcome == CasOutcome::ok && same_lease) activation_.activate({partition, revision});
  if ((outcome == CasOutcome::unknown || outcome == CasOutcome::superseded) && same_lease)
    claims_in_doubt_.insert(partition);
  runtime_.after(outcome == CasOutcome::refused ? k::kThrottledRetryDelayMs : 0,
                 [this, partition] { claims_in_flight_.erase(partition); });
}

void PartitionClaims::lease_lost() {
  claims_in_doubt_.clear();  // a claim bound to an ended lease can no longer take effect
  led_partitions_.step_down_from_all("lease-lost");
}

void PartitionClaims::partition_changed(int partition) {
  const auto& partitions = state_store_.view().partitions;
  const auto stored = partitions.find(partition);
  const bool ours = stored != partitions.end() && stored->second.leader == settings_.node;
  if (stored != partitions.end()) last_leader_[partition] = stored->second.leader;
  LedPartition* led = led_partitions_.find(partition);
  if (!led) {
    // A claim of this controller has taken effect, possibly one whose outcome was unknown.
    if (ours && stored->second.lease_id == state_store_.lease_id() &&
        !handover_.is_deleting(partition, stored->second.revision))
      activation_.activate({partition, stored->second.revision});
    return;
  }
  if (!ours || stored->second.revision != led->scheduler->fencing_token())
    led_partitions_.step_down(partition, "partition-key-changed");
}

}  // namespace eiderreel
