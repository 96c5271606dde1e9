// Carries out transactions: bound to a version, tried again, in doubt until there is proof.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>

#include "codec/state_json.h"
#include "config/settings.h"
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/compare_and_swap.h"
#include "state_store/controller_lease.h"
#include "state_store/replicated_view.h"
#include "state_store/request_queue.h"
#include "state_store/revision_waiters.h"
#include "state_store/standby_monitor.h"
#include "state_store/store_reader.h"
#include "versioning/acting_version.h"

namespace eiderreel {

/// Sends transactions until their outcome is known or their tries are used up. What was committed
/// is in the replica before the caller hears of it.
class CompareAndSwapper {
 public:
  /// What it works with; all of it outlives it.
  struct Dependencies {
    Runtime& runtime;
    const Settings& settings;
    RequestQueue& requests;
    ReplicatedView& replica;
    const ControllerLease& lease;
    StoreReader& reader;
    RevisionWaiters& waiters;
    const upgrade::ActingVersion& acting_version;
    const StandbyMonitor& standby;
  };
  explicit CompareAndSwapper(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Carries out the transaction, and calls its `done` once.
  void submit(CompareAndSwap transaction);

 private:
  struct Swap {
    CompareAndSwap transaction;
    int tries_left = 0;                   // with the one that is under way
    std::uint64_t encoded_under = 0;      // revision of the controller's record, see `as_encoded`
    int reads_left = 0;                   // of the reads that settle a doubt
    std::uint64_t conflict_revision = 0;  // the store's revision when a precondition failed
  };
  using SwapPtr = std::shared_ptr<Swap>;

  void attempt(const SwapPtr& swap);
  void on_reply(const SwapPtr& swap, const std::optional<codec::Precondition>& version_guard,
                const HttpReply& reply);
  void on_conflict(const SwapPtr& swap, const std::optional<codec::Precondition>& version_guard,
                   const HttpReply& reply);
  void retry(const SwapPtr& swap, Ms pause);
  void end_without_record(const SwapPtr& swap);
  void on_version_changed(const SwapPtr& swap, std::uint64_t guard_revision);
  void read_back(const SwapPtr& swap);
  void on_read_back(const SwapPtr& swap, const codec::StateRow& row);
  bool is_bound(const Swap& swap) const;
  codec::Precondition version_precondition(const Swap& swap) const;

  Dependencies dependencies_;
};

}  // namespace eiderreel
