// Deletes keys in the state store that are no longer needed.
#include "leadership/garbage_collector.h"

#include <utility>

namespace eiderreel {

std::vector<std::string> GarbageCollector::next_keys(LedPartition& led) {
  const auto max_keys = static_cast<std::size_t>(settings_.max_transaction_writes());
  std::vector<std::string> keys;
  while (!led.garbage_keys.empty() && keys.size() < max_keys) {
    keys.push_back(std::move(led.garbage_keys.back()));
    led.garbage_keys.pop_back();
  }
  if (keys.empty() && led.scheduler->index() == 0)
    keys = state_store_.replica().orphaned_chunks(max_keys);
  return keys;
}

void GarbageCollector::collect(LedPartition& led) {
  if (in_flight_) return;
  const std::vector<std::string> keys = next_keys(led);
  if (keys.empty()) return;
  in_flight_ = true;
  const LeadershipTerm term = led.term();
  CompareAndSwap swap;
  swap.request_priority = RequestPriority::progress;
  swap.nonce = state_store_.nonce();
  swap.preconditions = {{codec::partition_key(term.partition), term.fencing_token}};
  for (const auto& key : keys) swap.writes.push_back({key, "", false});
  swap.done = [this, term, keys](CasOutcome outcome, std::uint64_t) {
    on_deleted(term, keys, outcome);
  };
  state_store_.compare_and_swap(std::move(swap));
}

// Unless the deletion is proven, the keys are queued again for a later batch.
void GarbageCollector::on_deleted(const LeadershipTerm& term, const std::vector<std::string>& keys,
                                  CasOutcome outcome) {
  in_flight_ = false;
  if (outcome == CasOutcome::ok) return;
  if (LedPartition* led = led_partitions_.find(term))
    led->garbage_keys.insert(led->garbage_keys.end(), keys.begin(), keys.end());
}

}  // namespace eiderreel
