// The jobs of the led partitions: opening, closing, status queries and cancellation.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/job_finalizer.h"
#include "leadership/job_query.h"
#include "leadership/led_partitions.h"
#include "leadership/worker_commands.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Applies changes of jobs to the schedulers of led partitions, and answers queries about jobs.
class PartitionJobs {
 public:
  PartitionJobs(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store,
                LedPartitions& led, JobFinalizer& finalizer, WorkerCommands& commands)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_partitions_(led),
        finalizer_(finalizer),
        commands_(commands) {}

  /// Handles an accepted job, which must be in the view.
  void job_opened(const std::string& job);
  /// Handles a job whose last prerequisite is durably done.
  void job_ready(const std::string& job);
  /// Handles a job that has become final.
  void job_closed(const std::string& job);
  /// Handles a change of the urgency that a job inherits from the jobs that depend on it.
  void urgency_changed(const std::string& job);
  /// Opens a job that does not wait for prerequisites. `done`: the indices of its tasks that are
  /// recorded as done.
  void open(LedPartition& led, const std::string& job, const std::vector<std::uint32_t>& done);
  /// Reports the state of a job, or cancels it, if this controller is the acting leader of its
  /// partition. `done` is called exactly once, immediately or after a final commit.
  void query(const peer_rpc::JobQuery& query, const JobQueryDone& done);

 private:
  LedPartition* active_partition_of(const JobSpec& spec);
  void log_waiting(const std::string& job) const;
  void query_waiting(LedPartition& led, const peer_rpc::JobQuery& query, const JobQueryDone& done);

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  JobFinalizer& finalizer_;
  WorkerCommands& commands_;
};

}  // namespace eiderreel
