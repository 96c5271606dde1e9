// Deletes keys in the state store that are no longer needed.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partitions.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Deletes the progress keys of finished jobs: those found when a partition is activated, and those
/// that did not fit into the final commit's transaction. On the cluster leader, it also deletes
/// chunks of prerequisite lists whose jobs are not open.
class GarbageCollector {
 public:
  GarbageCollector(const Settings& settings, StateStoreClient& state_store, LedPartitions& led)
      : settings_(settings), state_store_(state_store), led_partitions_(led) {}

  /// Deletes the next keys, at most one transaction of them. Does nothing while an earlier deletion
  /// is in flight.
  void collect(LedPartition& led);

 private:
  std::vector<std::string> next_keys(LedPartition& led);
  void on_deleted(const LeadershipTerm& term, const std::vector<std::string>& keys,
                  CasOutcome outcome);

  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  bool in_flight_ = false;
};

}  // namespace eiderreel
