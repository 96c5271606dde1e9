// Claiming partitions that have no leader.
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

/// Claims vacant partitions, and follows who leads which.
class PartitionClaims {
 public:
  PartitionClaims(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                  LedPartitions& led, const PeerDirectory& peers, const WorkerLiveness& workers,
                  const PartitionHandover& handover, PartitionActivation& activation)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_(led),
        peers_(peers),
        workers_(workers),
        handover_(handover),
        activation_(activation),
        started_at_(runtime.now()) {}

  /// Claims every partition that has been vacant for long enough.
  void claim_vacant();
  /// The key of a partition has changed in the view.
  void partition_changed(int partition);
  /// This controller has lost its lease: nothing is led any more.
  void lease_lost();
  /// Whether a claim of ours is on its way, or in doubt.
  bool may_land(int partition) const;
  /// Invariant 6: by our vote, the partition is not claimed before this steady time.
  void postpone_until(int partition, Ms until);
  /// The node that led the partition last, as far as this process has seen; nothing: none was seen.
  std::optional<std::string> last_leader(int partition) const;

 private:
  bool is_postponed(int partition) const;
  Ms vacancy_before_claim(int partition) const;
  void claim(int partition);
  void on_claim_result(int partition, std::uint64_t lease_id, CasOutcome outcome,
                       std::uint64_t revision);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_;
  const PeerDirectory& peers_;
  const WorkerLiveness& workers_;
  const PartitionHandover& handover_;
  PartitionActivation& activation_;
  Ms started_at_;
  std::map<int, Ms> vacant_since_;
  std::map<int, Ms> postponed_until_;
  std::map<int, std::string> last_leader_;
  std::set<int> claiming_;  // a claim of ours is on its way
  std::set<int> in_doubt_;  // one may still land, for as long as our lease lasts
};

}  // namespace eiderreel
