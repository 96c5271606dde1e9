// Records the done tasks of jobs, and converts progress that is stored in another form.
#pragma once
#include <optional>
#include <string>

#include "config/settings.h"
#include "leadership/conversion_rate_limiter.h"
#include "leadership/led_partitions.h"
#include "leadership/progress_plan.h"
#include "model/load.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Writes the progress values of the jobs in led partitions.
class ProgressRecorder {
 public:
  ProgressRecorder(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                   LedPartitions& led);

  /// Records the done tasks of one job in one batch of at most one transaction. The remaining tasks
  /// are recorded by later batches.
  void record(LedPartition& led, const std::string& job);
  /// Converts a batch of values of one job of the partition, if the rate limit allows it.
  void convert(LedPartition& led);
  /// The state of the conversion in all led partitions, or std::nullopt if cluster versions are
  /// disabled.
  std::optional<ConversionProgress> conversion() const;

 private:
  upgrade::ProgressOfJob progress_of(const LedPartition& led, const std::string& job) const;
  static bool is_convertible(const LedPartition& led, const std::string& job,
                             const JobPersistence& persistence, upgrade::ProgressForm form);
  void commit(LedPartition& led, const std::string& job, const std::string& nonce,
              upgrade::ProgressBatch batch, bool is_conversion);
  void on_committed(const LeadershipTerm& term, const std::string& job,
                    const upgrade::ProgressBatch& batch, CasOutcome outcome,
                    std::uint64_t revision);
  void reread_revisions(const LeadershipTerm& term, const std::string& job,
                        const upgrade::ProgressBatch& batch);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  upgrade::ConversionRateLimiter conversion_rate_limiter_;
};

}  // namespace eiderreel
