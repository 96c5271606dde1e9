// Relinquishes partitions to their preferred leader, or to a peer that has contact with workers.
#pragma once
#include <cstdint>
#include <map>

#include "config/settings.h"
#include "leadership/leadership_counters.h"
#include "leadership/led_partitions.h"
#include "leadership/peer_directory.h"
#include "leadership/worker_liveness.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Steps down from partitions and deletes their claims, so that another node can claim them.
class PartitionHandover {
 public:
  PartitionHandover(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                    LedPartitions& led, const PeerDirectory& peers, const WorkerLiveness& workers,
                    LeadershipCounters& counters)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_partitions_(led),
        peers_(peers),
        workers_(workers),
        counters_(counters) {}

  /// Relinquishes at most one partition so that its preferred leader can claim it.
  void fail_back();
  /// Relinquishes one partition if this controller has lost contact with workers and a peer has
  /// not. Returns whether it did.
  bool relinquish_if_workers_lost();
  /// Whether the claim with this revision was relinquished and its deletion is not proven yet.
  bool is_deleting(int partition, std::uint64_t revision) const;

 private:
  bool may_relinquish() const;
  bool may_fail_back_to(const std::string& preferred) const;
  void relinquish(int partition, const char* reason);
  void delete_claim(const LeadershipTerm& claim);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  const PeerDirectory& peers_;
  const WorkerLiveness& workers_;
  LeadershipCounters& counters_;
  std::map<int, std::uint64_t> deleting_claims_;  // revisions of the claims, by partition
};

}  // namespace eiderreel
