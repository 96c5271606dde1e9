// Executes compare-and-swap transactions: binds them to the cluster version, retries them and
// resolves uncertain outcomes.
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

/// Sends transactions until their outcome is known or their attempts are used up. Committed writes
/// are applied to the replica before the caller is notified.
class CompareAndSwapper {
 public:
  /// References to the collaborators, which must outlive this object.
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

  /// Executes the transaction and calls its `done` exactly once.
  void submit(CompareAndSwap transaction);

 private:
  struct Swap {
    CompareAndSwap transaction;
    int tries_left = 0;               // including the attempt in progress
    std::uint64_t encoded_under = 0;  // revision of the node record at submission; see `as_encoded`
    int reads_left = 0;               // attempts left to read back an in-doubt write
    std::uint64_t conflict_revision = 0;  // store revision at which a precondition failed
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
