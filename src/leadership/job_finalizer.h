// Commits the final records of jobs.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partitions.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Writes the final records of jobs and reports their outcome once it is durable.
class JobFinalizer {
 public:
  JobFinalizer(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
               LedPartitions& led)
      : runtime_(runtime), settings_(settings), state_store_(state_store), led_partitions_(led) {}

  /// Commits the end of a job: done if all its tasks are done, otherwise cancelled. Replies 200
  /// with the phase once the record is durable, and 503 if the commit is not confirmed or another
  /// commit of the job is in flight.
  void commit(LedPartition& led, const std::string& job, const Reply& reply);
  /// Retries the final commits of jobs that were cancelled while they waited for prerequisites,
  /// until they are proven.
  void commit_cancelled_while_waiting(LedPartition& led);
  /// Commits the final records of jobs that are cancelled because a prerequisite was cancelled.
  void commit_implied_cancellations(LedPartition& led);
  /// Whether the last attempt is long enough ago (constants::kFinalCommitRetryMs) for another one.
  bool retry_due(const JobPersistence& persistence) const;

 private:
  FinalCommit prepare(const LedPartition& led, const std::string& job,
                      const upgrade::StoredValues& progress);
  void on_committed(const LeadershipTerm& term, const std::string& job, JobPhase phase,
                    CasOutcome outcome, const Reply& reply);
  std::vector<std::string> next_implied_cancellations(LedPartition& led) const;
  void on_implied_committed(const LeadershipTerm& term, const std::vector<std::string>& jobs,
                            CasOutcome outcome);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
};

}  // namespace eiderreel
