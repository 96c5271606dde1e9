// Records the done tasks of jobs, and converts progress that is stored in another form.
#include "leadership/progress_recorder.h"

#include <utility>
#include <vector>

#include "leadership/job_lookup.h"

namespace eiderreel {

namespace k = constants;

// The configured conversion share of the state store's write rate is divided equally among all
// controllers.
ProgressRecorder::ProgressRecorder(Runtime& runtime, const Settings& settings,
                                   StateStoreClient& state_store, LedPartitions& led)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      led_partitions_(led),
      conversion_rate_limiter_(settings.upgrade.conversion_share * settings.state_write_rps /
                               static_cast<double>(settings.peers.size() + 1)) {}

upgrade::ProgressOfJob ProgressRecorder::progress_of(const LedPartition& led,
                                                     const std::string& job) const {
  const PartitionScheduler* scheduler = led.scheduler.get();
  return {scheduler->index(),
          job,
          scheduler->task_count(job),
          static_cast<std::size_t>(settings_.state_value_kb * 1024),
          [scheduler, job](std::uint32_t first, std::uint32_t count) {
            return scheduler->done_tasks(job, first, count);
          },
          led.persistence.at(job).progress};
}

void ProgressRecorder::record(LedPartition& led, const std::string& job) {
  led.persistence[job].last_commit_at = runtime_.now();
  const std::string nonce = state_store_.nonce();
  auto batch =
      upgrade::batch_to_record(progress_of(led, job), led.scheduler->unrecorded_tasks(job),
                               state_store_.progress_policy().write,
                               static_cast<std::size_t>(settings_.max_transaction_writes()), nonce);
  if (!batch.empty()) commit(led, job, nonce, std::move(batch), false);
}

bool ProgressRecorder::is_convertible(const LedPartition& led, const std::string& job,
                                      const JobPersistence& persistence,
                                      upgrade::ProgressForm form) {
  const PartitionScheduler& scheduler = *led.scheduler;
  return !persistence.in_flight && scheduler.has_job(job) && !scheduler.is_finalizing(job) &&
         !scheduler.is_complete(job) && upgrade::values_to_convert(persistence.progress, form) > 0;
}

// Converts one job at a time, within the configured share of the state store's write rate. The
// stored values themselves show what remains to be converted, so any later leader can continue.
void ProgressRecorder::convert(LedPartition& led) {
  const auto policy = state_store_.progress_policy();
  if (!state_store_.acting_version().enabled() || !policy.convert_to) return;
  if (runtime_.now() < led.next_conversion_scan_at ||
      !conversion_rate_limiter_.allows(runtime_.now()))
    return;
  for (const auto& [job, persistence] : led.persistence) {
    if (!is_convertible(led, job, persistence, *policy.convert_to)) continue;
    const std::string nonce = state_store_.nonce();
    auto batch = upgrade::batch_to_convert(
        progress_of(led, job), *policy.convert_to,
        static_cast<std::size_t>(settings_.max_transaction_writes()), nonce);
    if (batch.empty()) continue;
    conversion_rate_limiter_.take(batch.size());
    return commit(led, job, nonce, std::move(batch), true);
  }
  // Scanning all jobs in every tick would cost more than the conversion itself.
  led.next_conversion_scan_at = runtime_.now() + k::kConversionScanPauseMs;
}

// The revision of each value is a precondition, so a delayed duplicate of an earlier batch cannot
// undo a later one. The values are encoded in the form of the acting cluster version, and the
// commit is bound to that version, so they are never committed under another.
void ProgressRecorder::commit(LedPartition& led, const std::string& job, const std::string& nonce,
                              upgrade::ProgressBatch batch, bool is_conversion) {
  JobPersistence& persistence = led.persistence[job];
  persistence.in_flight = true;
  const auto revision_of = [&](const std::string& key) {
    const auto stored = persistence.progress.find(key);
    return stored == persistence.progress.end() ? 0 : stored->second.revision;
  };
  CompareAndSwap swap;
  swap.request_priority = RequestPriority::progress;
  swap.nonce = nonce;
  swap.binding = VersionBinding::as_encoded;
  swap.preconditions = job_preconditions(state_store_.view(), led.term(), job);
  for (auto& value : batch.writes) {
    swap.preconditions.push_back({value.key, revision_of(value.key)});
    swap.writes.push_back({value.key, std::move(value.value), false});
  }
  for (const auto& key : batch.deletes) {
    swap.preconditions.push_back({key, revision_of(key)});
    swap.writes.push_back({key, "", false});
  }
  swap.done = [this, term = led.term(), job, batch = std::move(batch), is_conversion](
                  CasOutcome outcome, std::uint64_t revision) {
    if (outcome == CasOutcome::ok && is_conversion)
      conversion_rate_limiter_.add_converted(batch.size());
    on_committed(term, job, batch, outcome, revision);
  };
  state_store_.compare_and_swap(std::move(swap));
}

void ProgressRecorder::on_committed(const LeadershipTerm& term, const std::string& job,
                                    const upgrade::ProgressBatch& batch, CasOutcome outcome,
                                    std::uint64_t revision) {
  LedPartition* led = led_partitions_.find(term);
  JobPersistence* persistence = led ? led->find_persistence(job) : nullptr;
  if (!persistence) return;
  persistence->in_flight = false;
  if (outcome == CasOutcome::refused) return;
  if (outcome != CasOutcome::ok) return reread_revisions(term, job, batch);
  for (const auto& value : batch.writes)
    persistence->progress[value.key] = {revision, value.form, false};
  for (const auto& key : batch.deletes) persistence->progress.erase(key);
  led->scheduler->mark_recorded(job, batch.recorded);
}

// It is not known which batch is stored, so the revisions are read before the next one.
void ProgressRecorder::reread_revisions(const LeadershipTerm& term, const std::string& job,
                                        const upgrade::ProgressBatch& batch) {
  std::vector<std::string> keys = batch.deletes;
  for (const auto& value : batch.writes) keys.push_back(value.key);
  for (const auto& key : keys)
    state_store_.read(key, [this, term, job, key](const auto& row) {
      LedPartition* led = led_partitions_.find(term);
      JobPersistence* persistence = led ? led->find_persistence(job) : nullptr;
      if (!row || !persistence) return;
      if (row->revision == 0)
        persistence->progress.erase(key);
      else
        persistence->progress[key] = upgrade::stored_progress(*row);
    });
}

std::optional<ConversionProgress> ProgressRecorder::conversion() const {
  if (!state_store_.acting_version().enabled()) return std::nullopt;
  ConversionProgress sum;
  sum.values_converted = conversion_rate_limiter_.converted();
  sum.values_per_s = conversion_rate_limiter_.values_per_s();
  const auto form = state_store_.progress_policy().convert_to;
  for (const auto& [partition, led] : std::as_const(led_partitions_))
    for (const auto& [job, persistence] : led.persistence) {
      if (form) sum.values_left += upgrade::values_to_convert(persistence.progress, *form);
      for (const auto& [key, stored] : persistence.progress)
        if (stored.unreadable) ++sum.unreadable;
    }
  return sum;
}

}  // namespace eiderreel
