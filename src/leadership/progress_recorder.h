// Recording the done tasks of jobs, and converting what is recorded in another form.
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

/// Writes the progress values of jobs in led partitions.
class ProgressRecorder {
 public:
  ProgressRecorder(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                   LedPartitions& led);

  /// Records the done tasks of one job, in one batch of at most a transaction; the rest goes with
  /// the next.
  void record(LedPartition& led, const std::string& job);
  /// Converts a batch of values of one job of the partition, if the rate limit has room.
  void convert(LedPartition& led);
  /// How far the conversion has come in all led partitions; nothing where cluster versions are
  /// disabled.
  std::optional<ConversionProgress> conversion() const;

 private:
  upgrade::ProgressOfJob progress_of(const LedPartition& led, const std::string& job) const;
  static bool is_convertible(const LedPartition& led, const std::string& job,
                             const JobPersistence& persistence, upgrade::ProgressForm form);
  void commit(LedPartition& led, const std::string& job, const std::string& nonce,
              upgrade::ProgressBatch batch, bool conversion);
  void on_committed(const LeadershipTerm& term, const std::string& job,
                    const upgrade::ProgressBatch& batch, CasOutcome outcome,
                    std::uint64_t revision);
  void read_again(const LeadershipTerm& term, const std::string& job,
                  const upgrade::ProgressBatch& batch);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_;
  upgrade::ConversionRateLimiter conversion_rate_limiter_;
};

}  // namespace eiderreel
