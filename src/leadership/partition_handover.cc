// Giving up partitions: to their preferred leader, or to a peer that still hears workers.
#include "leadership/partition_handover.h"

#include <algorithm>

namespace eiderreel {

namespace k = constants;

bool PartitionHandover::is_deleting(int partition, std::uint64_t revision) const {
  const auto claim = deleting_claims_.find(partition);
  return claim != deleting_claims_.end() && claim->second == revision;
}

// A partition is given up only while the state store surely hears of it.
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
  for (const auto& [partition, led] : led_) {
    const std::string preferred = settings_.preferred_leader_of(partition);
    if (preferred == settings_.node || !led.active || !may_relinquish()) continue;
    if (!may_fail_back_to(preferred)) continue;
    relinquish(partition, "failback");
    return;  // the map has changed; one a tick is enough
  }
}

// A controller that alone has lost its workers keeps its lease, and would keep its partitions; the
// leases of their machines would end, all of them together. It gives the partitions to a peer that
// hears workers, in time for them to find it.
bool PartitionHandover::relinquish_if_workers_lost() {
  if (workers_.hears_workers() || !may_relinquish() || !peers_.any_hears_workers()) return false;
  const auto first =
      std::ranges::find_if(led_, [](const auto& entry) { return entry.second.active; });
  if (first == led_.end()) return false;
  relinquish(first->first, "workers-lost");
  return true;
}

// The claim is deleted under guard, and another node claims the partition. We stop acting before
// the commit is sent, since it may land unanswered.
void PartitionHandover::relinquish(int partition, const char* reason) {
  const LeadershipTerm claim = led_.find(partition)->term();
  led_.step_down(partition, reason);
  ++counters_.failbacks;
  deleting_claims_[partition] = claim.fencing_token;
  delete_claim(claim);
}

// Until the deletion has surely landed, the key says that the partition is ours while nobody acts
// for it. Without retries a refused deletion left the key there for ever: all machines of the
// partition were sent from node to node and back, and no task of it started any more.
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
