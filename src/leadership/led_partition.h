// State that this controller keeps for each partition that it leads.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "leadership/progress_plan.h"
#include "runtime/runtime.h"
#include "scheduler/partition_scheduler.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// One period of leadership of a partition. Callbacks capture it to check whether that period is
/// still current.
struct LeadershipTerm {
  int partition = 0;
  std::uint64_t fencing_token = 0;  ///< the revision of the claim
};

/// The reply to a heartbeat, deferred until there is work for the machine.
struct DeferredReply {
  Reply reply;
  Ms reply_by = 0;  ///< steady time at which it is sent at the latest
};

/// The commit that ends a job, kept so that a retry sends an identical commit.
struct FinalCommit {
  JobPhase phase = JobPhase::done;
  CompareAndSwap compare_and_swap;
  std::vector<std::string>
      remaining_progress_keys;  ///< progress keys that did not fit into the transaction
};

/// What is stored, or being written, about one job.
struct JobPersistence {
  Ms last_commit_at = 0;  ///< steady time of the last attempt; 0: none yet
  bool in_flight = false;
  upgrade::StoredValues progress;
  bool cancel_requested = false;  ///< by its user, while the job waited for prerequisites
  /// The final commit that was sent and is not proven to have failed: it may have taken effect, or
  /// may still do so.
  std::optional<FinalCommit> final_commit;
};

/// A partition that this controller has claimed.
struct LedPartition {
  std::unique_ptr<PartitionScheduler> scheduler;
  bool active = false;  ///< its stored progress, machines and jobs are loaded
  std::map<std::string, DeferredReply> deferred;      ///< by machine
  std::map<std::string, JobPersistence> persistence;  ///< by job
  std::vector<std::string> garbage_keys;              ///< keys to delete, see GarbageCollector
  Ms next_conversion_scan_at = 0;                     ///< set when a scan found nothing to convert

  /// The partition and the fencing token under which it is led.
  LeadershipTerm term() const { return {scheduler->index(), scheduler->fencing_token()}; }
  /// Removes and returns the deferred reply to this machine, or null if there is none.
  Reply take_deferred(const std::string& machine);
  /// Returns null if there is no persistence state of this job.
  JobPersistence* find_persistence(const std::string& job);
};

}  // namespace eiderreel
