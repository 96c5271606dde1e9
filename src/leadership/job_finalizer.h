// The commits that end jobs.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partitions.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Writes the final records of jobs, and tells their outcome once it is durable.
class JobFinalizer {
 public:
  JobFinalizer(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
               LedPartitions& led)
      : runtime_(runtime), settings_(settings), state_store_(state_store), led_(led) {}

  /// Commits the end of a job: done if its tasks are, otherwise cancelled. Replies 200 with the
  /// phase once it is durable, 503 while it is not.
  void commit(LedPartition& led, const std::string& job, const Reply& reply);
  /// Commits the ends of jobs that were cancelled while they waited for others, as far as they are
  /// not proven yet.
  void commit_cancelled_while_waiting(LedPartition& led);
  /// Commits the ends of jobs that are cancelled because a prerequisite is.
  void commit_implied_cancellations(LedPartition& led);
  /// Whether the last try of a final commit is long enough ago for another.
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
  LedPartitions& led_;
};

}  // namespace eiderreel
