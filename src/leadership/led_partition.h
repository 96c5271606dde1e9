// What this controller keeps for each partition that it leads.
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

/// One period of leading a partition. Callbacks keep it to find out whether that period still
/// lasts.
struct LeadershipTerm {
  int partition = 0;
  std::uint64_t fencing_token = 0;  ///< the revision of the claim
};

/// The reply to a heartbeat, kept back until there is work for the machine.
struct DeferredReply {
  Reply reply;
  Ms until = 0;  ///< steady time at which it goes out at the latest
};

/// The commit that ends a job, kept so that a retry sends the very same one.
struct FinalCommit {
  JobPhase phase = JobPhase::done;
  CompareAndSwap compare_and_swap;
  std::vector<std::string> left_over;  ///< progress keys for which the transaction had no room
};

/// What is written, or being written, of one job.
struct JobPersistence {
  Ms last_commit_at = 0;  ///< steady time of the last try; 0: none yet
  bool in_flight = false;
  upgrade::StoredValues progress;
  bool cancel_asked = false;  ///< by its user, while it waited for other jobs
  /// The final commit that was sent and is not proven undone: it may have landed, or still may.
  std::optional<FinalCommit> final_commit;
};

/// A partition that this controller has claimed.
struct LedPartition {
  std::unique_ptr<PartitionScheduler> scheduler;
  bool active = false;                                ///< its stored progress is loaded
  std::map<std::string, DeferredReply> deferred;      ///< by machine
  std::map<std::string, JobPersistence> persistence;  ///< by job
  std::vector<std::string> garbage_keys;              ///< to be deleted, see GarbageCollector
  Ms look_for_conversion_at = 0;  ///< nothing was left to convert when last looked for

  /// The partition and the fencing token under which it is led.
  LeadershipTerm term() const { return {scheduler->index(), scheduler->fencing_token()}; }
  /// Removes and returns the deferred reply of this machine; null: there is none.
  Reply take_deferred(const std::string& machine);
  /// Null: nothing is kept of this job.
  JobPersistence* find_persistence(const std::string& job);
};

}  // namespace eiderreel
