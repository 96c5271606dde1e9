// Claims partitions that have no leader.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "config/settings.h"
#include "leadership/led_partitions.h"
#include "leadership/partition_activation.h"
#include "leadership/partition_handover.h"
#include "leadership/peer_directory.h"
#include "leadership/worker_liveness.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Claims vacant partitions and tracks the leader of each partition.
class PartitionClaims {
 public:
  PartitionClaims(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                  LedPartitions& led, const PeerDirectory& peers, const WorkerLiveness& workers,
                  const PartitionHandover& handover, PartitionActivation& activation)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_partitions_(led),
        peers_(peers),
        workers_(workers),
        handover_(handover),
        activation_(activation),
        started_at_(runtime.now()) {}

  /// Claims every partition that has been vacant for longer than this controller's claim delay.
  void claim_vacant();
  /// Handles a change of a partition's key in the view.
  void partition_changed(int partition);
  /// Handles the loss of this controller's lease: steps down from all partitions.
  void lease_lost();
  /// Whether a claim of this controller is in flight, or its outcome is unknown.
  bool has_pending_claim(int partition) const;
  /// Invariant 6: records the vote of this controller not to claim the partition before this steady
  /// time.
  void postpone_until(int partition, Ms until);
  /// The last leader of the partition that this process has seen, or std::nullopt if it has seen
  /// none.
  std::optional<std::string> last_leader(int partition) const;

 private:
  bool is_postponed(int partition) const;
  Ms claim_delay(int partition) const;
  void claim(int partition);
  void on_claim_result(int partition, std::uint64_t lease_id, CasOutcome outcome,
                       std::uint64_t revision);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  const PeerDirectory& peers_;
  const WorkerLiveness& workers_;
  const PartitionHandover& handover_;
  PartitionActivation& activation_;
  Ms started_at_;
  std::map<int, Ms> vacant_since_;
  std::map<int, Ms> postponed_until_;
  std::map<int, std::string> last_leader_;
  std::set<int> claims_in_flight_;  // partitions with a claim in flight
  std::set<int> claims_in_doubt_;   // partitions with a claim of unknown outcome under this lease
};

}  // namespace eiderreel
