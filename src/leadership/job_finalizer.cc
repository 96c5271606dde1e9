// Commits the final records of jobs.
#include "leadership/job_finalizer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "codec/job_json.h"
#include "leadership/job_lookup.h"
#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

bool JobFinalizer::retry_due(const JobPersistence& persistence) const {
  return runtime_.now() - persistence.last_commit_at >= k::kFinalCommitRetryMs;
}

// Invariant 7: a job is reported as done or cancelled only after this commit. While this controller
// leads the partition, the commit is retried until its outcome is proven, and no task of the job is
// started meanwhile.
void JobFinalizer::commit(LedPartition& led, const std::string& job, const Reply& reply) {
  JobPersistence& persistence = led.persistence[job];
  if (persistence.in_flight)
    return reply(http_status::kServiceUnavailable, codec::error_body("the job is changing"));
  persistence.in_flight = true;
  led.scheduler->begin_finalizing(job);
  if (!persistence.final_commit) persistence.final_commit = prepare(led, job, persistence.progress);
  CompareAndSwap swap = persistence.final_commit->compare_and_swap;
  const JobPhase phase = persistence.final_commit->phase;
  swap.done = [this, term = led.term(), job, phase, reply](CasOutcome outcome, std::uint64_t) {
    on_committed(term, job, phase, outcome, reply);
  };
  state_store_.compare_and_swap(std::move(swap));
}

// A job whose tasks are all done ends as done, even if its user cancels it.
FinalCommit JobFinalizer::prepare(const LedPartition& led, const std::string& job,
                                  const upgrade::StoredValues& progress) {
  FinalCommit commit;
  commit.phase = led.scheduler->is_complete(job) ? JobPhase::done : JobPhase::cancelled;
  CompareAndSwap& swap = commit.compare_and_swap;
  swap.nonce = state_store_.nonce();
  swap.preconditions = job_preconditions(state_store_.view(), led.term(), job);
  swap.writes = {{codec::final_key(job),
                  codec::encode_final(commit.phase, runtime_.wall_clock_now(), swap.nonce), false},
                 {codec::job_key(job), "", false}};
  for (const auto& [key, stored] : progress) {
    if (stored.unreadable) continue;
    if (static_cast<int>(swap.writes.size()) < settings_.max_transaction_writes())
      swap.writes.push_back({key, "", false});
    else
      commit.remaining_progress_keys.push_back(key);
  }
  return commit;
}

// Once the outcome of an attempt is unknown, the commit stays marked as in doubt. Otherwise the
// refusal of a later attempt allowed the job's tasks to start again; when the first attempt then
// took effect, another node reported "cancelled" while the tasks were running.
void JobFinalizer::on_committed(const LeadershipTerm& term, const std::string& job, JobPhase phase,
                                CasOutcome outcome, const Reply& reply) {
  if (outcome == CasOutcome::ok) {
    spdlog::info("job {} job={} fencing_token={}", codec::phase_name(phase), job,
                 term.fencing_token);
    return reply(http_status::kOk, codec::job_phase_body(job, phase));
  }
  LedPartition* led = led_partitions_.find(term);
  if (JobPersistence* persistence = led ? led->find_persistence(job) : nullptr) {
    persistence->in_flight = false;
    persistence->last_commit_at = runtime_.now();
    if (outcome == CasOutcome::unknown)
      persistence->final_commit->compare_and_swap.in_doubt = true;
    else
      persistence->final_commit.reset();
  }
  spdlog::warn("job final commit not confirmed job={} phase={} fencing_token={} outcome={}", job,
               codec::phase_name(phase), term.fencing_token, to_string(outcome));
  reply(http_status::kServiceUnavailable,
        codec::error_body("the state service did not confirm; ask again"));
}

void JobFinalizer::commit_cancelled_while_waiting(LedPartition& led) {
  const auto& open_jobs = state_store_.view().jobs;
  std::vector<std::string> due;
  for (const auto& [job, persistence] : led.persistence)
    if (persistence.cancel_requested && !persistence.in_flight && !led.scheduler->has_job(job) &&
        open_jobs.contains(job) && retry_due(persistence))
      due.push_back(job);
  for (const auto& job : due) commit(led, job, [](int, const std::string&) {});
}

// Invariant 12: jobs that are cancelled because a prerequisite was cancelled get their own final
// records, in batches, until each has one. Any other writer of such a record writes the same phase.
void JobFinalizer::commit_implied_cancellations(LedPartition& led) {
  const std::vector<std::string> jobs = next_implied_cancellations(led);
  if (jobs.empty()) return;
  const ClusterView& view = state_store_.view();
  const LeadershipTerm term = led.term();
  CompareAndSwap swap;
  swap.request_priority = RequestPriority::fleet;
  swap.nonce = state_store_.nonce();
  swap.preconditions = {{codec::partition_key(term.partition), term.fencing_token}};
  for (const auto& job : jobs) {
    led.persistence[job].in_flight = true;
    swap.preconditions.push_back({codec::job_key(job), view.jobs.at(job).revision});
    swap.writes.push_back(
        {codec::final_key(job),
         codec::encode_final(JobPhase::cancelled, runtime_.wall_clock_now(), swap.nonce), false});
    swap.writes.push_back({codec::job_key(job), "", false});
  }
  swap.done = [this, term, jobs](CasOutcome outcome, std::uint64_t) {
    on_implied_committed(term, jobs, outcome);
  };
  state_store_.compare_and_swap(std::move(swap));
}

// Each job needs two writes of the transaction: its final record and the deletion of its job
// record.
std::vector<std::string> JobFinalizer::next_implied_cancellations(LedPartition& led) const {
  const ClusterView& view = state_store_.view();
  const auto max_jobs =
      static_cast<std::size_t>(std::max(1, settings_.max_transaction_writes() / 2));
  std::vector<std::string> jobs;
  for (const auto& job : view.dependencies.all_cancelled()) {
    if (jobs.size() == max_jobs) break;
    if (partition_of_job(view, settings_, job) != led.scheduler->index()) continue;
    const JobPersistence& persistence = led.persistence[job];
    const bool never_tried = persistence.last_commit_at == 0;
    if (!persistence.in_flight && (never_tried || retry_due(persistence))) jobs.push_back(job);
  }
  return jobs;
}

void JobFinalizer::on_implied_committed(const LeadershipTerm& term,
                                        const std::vector<std::string>& jobs, CasOutcome outcome) {
  if (outcome == CasOutcome::ok)
    for (const auto& job : jobs) spdlog::info("job cancelled job={} reason=prerequisite", job);
  LedPartition* led = led_partitions_.find(term);
  if (!led) return;
  for (const auto& job : jobs) {
    JobPersistence* persistence = led->find_persistence(job);
    if (!persistence) continue;
    persistence->in_flight = false;
    persistence->last_commit_at = runtime_.now();
  }
}

}  // namespace eiderreel
