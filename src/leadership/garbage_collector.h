// Deleting keys that are of no more use.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partitions.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Deletes progress of jobs that are over, found at a failover or left by a final commit that was
/// full; on the cluster leader also prerequisite lists of jobs that are not open.
class GarbageCollector {
 public:
  GarbageCollector(const Settings& settings, StateStoreClient& state_store, LedPartitions& led)
      : settings_(settings), state_store_(state_store), led_(led) {}

  /// Deletes the next keys, at most a transaction of them, unless a deletion is on its way.
  void collect(LedPartition& led);

 private:
  std::vector<std::string> next_keys(LedPartition& led);
  void on_deleted(const LeadershipTerm& term, const std::vector<std::string>& keys,
                  CasOutcome outcome);

  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_;
  bool in_flight_ = false;
};

}  // namespace eiderreel
