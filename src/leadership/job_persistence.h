// Schedules the commits about the jobs of a led partition.
#pragma once
#include <optional>
#include <string>

#include "leadership/garbage_collector.h"
#include "leadership/job_finalizer.h"
#include "leadership/led_partitions.h"
#include "leadership/progress_recorder.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Decides when to send the commits about jobs: progress, final records, deletions of obsolete keys
/// and the conversion of stored progress.
class JobPersistenceSchedule {
 public:
  JobPersistenceSchedule(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                         LedPartitions& led, JobFinalizer& finalizer)
      : runtime_(runtime),
        state_store_(state_store),
        finalizer_(finalizer),
        progress_(runtime, settings, state_store, led),
        garbage_(settings, state_store, led) {}

  /// Sends the commits that are due for a partition of which this controller is the acting leader.
  void tick(LedPartition& led);
  /// See ProgressRecorder::conversion.
  std::optional<ConversionProgress> conversion() const { return progress_.conversion(); }

 private:
  void persist_job(LedPartition& led, const std::string& job, bool store_silent);

  Runtime& runtime_;
  const StateStoreClient& state_store_;
  JobFinalizer& finalizer_;
  ProgressRecorder progress_;
  GarbageCollector garbage_;
};

}  // namespace eiderreel
