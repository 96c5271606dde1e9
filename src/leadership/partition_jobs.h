// The jobs of the led partitions: how they open and close, and questions about them.
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

/// Tells the schedulers of led partitions what becomes of their jobs, and answers for them.
class PartitionJobs {
 public:
  PartitionJobs(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store,
                LedPartitions& led, JobFinalizer& finalizer, WorkerCommands& commands)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_(led),
        finalizer_(finalizer),
        commands_(commands) {}

  /// A job was accepted; it must be in the view.
  void job_opened(const std::string& job);
  /// The last prerequisite of a job is durably done.
  void job_ready(const std::string& job);
  /// A job is final.
  void job_closed(const std::string& job);
  /// Other jobs wait more, or less, urgently for this one.
  void urgency_changed(const std::string& job);
  /// Opens a job that is free to start. `done`: its tasks that are recorded as done.
  void open(LedPartition& led, const std::string& job, const std::vector<std::uint32_t>& done);
  /// Tells the state of a job, or cancels it, if this controller may speak for it.
  void query(const peer_rpc::JobQuery& query, const JobQueryDone& done);

 private:
  LedPartition* active_partition_of(const JobSpec& spec);
  void log_waiting(const std::string& job) const;
  void query_waiting(LedPartition& led, const peer_rpc::JobQuery& query, const JobQueryDone& done);

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  LedPartitions& led_;
  JobFinalizer& finalizer_;
  WorkerCommands& commands_;
};

}  // namespace eiderreel
