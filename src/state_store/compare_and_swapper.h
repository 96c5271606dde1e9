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
  struct PendingTransaction {
    CompareAndSwap transaction;
    int attempts_left = 0;                      // including the attempt in progress
    std::uint64_t encoded_record_revision = 0;  // of the node record at submission
    int reads_left = 0;                         // attempts left to read back an in-doubt write
    std::uint64_t conflict_revision = 0;        // store revision at which a precondition failed
  };
  using PendingTransactionPtr = std::shared_ptr<PendingTransaction>;

  void attempt(const PendingTransactionPtr& pending);
  void on_reply(const PendingTransactionPtr& pending,
                const std::optional<codec::Precondition>& version_guard, const HttpReply& reply);
  void on_conflict(const PendingTransactionPtr& pending,
                   const std::optional<codec::Precondition>& version_guard, const HttpReply& reply);
  void retry(const PendingTransactionPtr& pending, Ms delay);
  void end_without_record(const PendingTransactionPtr& pending);
  void on_version_changed(const PendingTransactionPtr& pending, std::uint64_t guard_revision);
  void read_back_write(const PendingTransactionPtr& pending);
  void on_read_back(const PendingTransactionPtr& pending, const codec::StateRow& row);
  bool is_bound_to_version(const PendingTransaction& pending) const;
  codec::Precondition version_precondition(const PendingTransaction& pending) const;

  Dependencies dependencies_;
};

}  // namespace eiderreel
