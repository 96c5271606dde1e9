// Relinquishes partitions to their preferred leader, or to a peer that has contact with workers.
#include "leadership/partition_handover.h"

#include <algorithm>

namespace eiderreel {

namespace k = constants;

bool PartitionHandover::is_deleting(int partition, std::uint64_t revision) const {
  const auto claim = deleting_claims_.find(partition);
  return claim != deleting_claims_.end() && claim->second == revision;
}

// A partition is relinquished only while the state store is reachable, so that the deletion of the
// claim can be committed.
bool PartitionHandover::may_relinquish() const {
  return state_store_.lease_alive() &&
         runtime_.now() - state_store_.last_executed_at() < k::kStateStoreSilenceMs;
}

bool PartitionHandover::may_fail_back_to(const std::string& preferred) const {
  const auto& nodes = state_store_.view().nodes;
  const auto node = nodes.find(preferred);
  return node != nodes.end() && runtime_.now() - node->second.first_seen >= k::kFailbackDelayMs &&
         peers_.alive(preferred) && !peers_.has_lost_workers(preferred);
}

void PartitionHandover::fail_back() {
  for (const auto& [partition, led] : led_partitions_) {
    const std::string preferred = settings_.preferred_leader_of(partition);
    if (preferred == settings_.node || !led.active || !may_relinquish()) continue;
    if (!may_fail_back_to(preferred)) continue;
    relinquish(partition, "failback");
    return;  // the iterators are invalid now; one partition per tick is enough
  }
}

// If only this controller has lost contact with the workers, its lease in the state store stays
// alive and it would keep its partitions, while the leases of all their machines expire together.
// It relinquishes them to a peer that has contact with workers, early enough for the workers to
// find that peer before their leases expire.
bool PartitionHandover::relinquish_if_workers_lost() {
  if (workers_.has_worker_contact() || !may_relinquish() || !peers_.any_has_worker_contact())
    return false;
  const auto first =
      std::ranges::find_if(led_partitions_, [](const auto& entry) { return entry.second.active; });
  if (first == led_partitions_.end()) return false;
  relinquish(first->first, "workers-lost");
  return true;
}

// Deletes the claim on the precondition that it is unchanged, after which another node claims the
// partition. The controller steps down before the commit is sent, since the commit may take effect
// without an answer.
void PartitionHandover::relinquish(int partition, const char* reason) {
  const LeadershipTerm claim = led_partitions_.find(partition)->term();
  led_partitions_.step_down(partition, reason);
  ++counters_.failbacks;
  deleting_claims_[partition] = claim.fencing_token;
  delete_claim(claim);
}

// Until the deletion is committed, the key names this controller as leader although no node acts
// for the partition. Without retries, a refused deletion left the key in place permanently: all
// machines of the partition were redirected back and forth between nodes, and none of its tasks
// started.
void PartitionHandover::delete_claim(const LeadershipTerm& claim) {
  CompareAndSwap swap;
  swap.nonce = state_store_.nonce();
  swap.preconditions = {{codec::partition_key(claim.partition), claim.fencing_token}};
  swap.writes = {{codec::partition_key(claim.partition), "", false}};
  swap.request_priority = RequestPriority::urgent;
  swap.done = [this, claim](CasOutcome outcome, std::uint64_t) {
    const auto& partitions = state_store_.view().partitions;
    const auto stored = partitions.find(claim.partition);
    if (outcome == CasOutcome::ok || outcome == CasOutcome::conflict ||
        stored == partitions.end() || stored->second.revision != claim.fencing_token) {
      deleting_claims_.erase(claim.partition);
      return;
    }
    runtime_.after(k::kRetryDelayMs, [this, claim] { delete_claim(claim); });
  };
  state_store_.compare_and_swap(std::move(swap));
}

}  // namespace eiderreel
