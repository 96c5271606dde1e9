// The jobs of the led partitions: how they open and close, and questions about them.
#include "leadership/partition_jobs.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "codec/job_json.h"
#include "leadership/job_lookup.h"
#include "runtime/http_status.h"

namespace eiderreel {
namespace {

void decline(const JobQueryDone& done, JobQueryError error) { done(tl::unexpected(error)); }

// Passes the reply of a final commit on to whoever asked for it.
Reply reply_to(const JobQueryDone& done) {
  return [done](int status, std::string body) { done(HttpReply{status, std::move(body)}); };
}

}  // namespace

// Null: it is not led here, or its activation will read the view.
LedPartition* PartitionJobs::active_partition_of(const JobSpec& spec) {
  LedPartition* led = led_.find(settings_.partition_of_team(spec.team));
  return led && led->active ? led : nullptr;
}

void PartitionJobs::job_opened(const std::string& job) {
  const ClusterView& view = state_store_.view();
  LedPartition* led = active_partition_of(view.jobs.at(job).spec);
  if (!led) return;
  if (view.dependencies.waits(job)) return log_waiting(job);
  open(*led, job, {});
  commands_.answer_deferred(*led);
}

void PartitionJobs::log_waiting(const std::string& job) const {
  const auto& dependencies = state_store_.view().dependencies;
  const auto first = dependencies.prerequisites_of(job, 1);
  spdlog::info("job waiting job={} prerequisites={} first={} cancelled={}", job,
               dependencies.prerequisite_count(job), first.empty() ? "-" : first.front(),
               dependencies.cancelled(job));
}

// Invariant 11: the last of its prerequisites is durably done. Until now the partition knew nothing
// of the job: it took part in no quota, no fair share, no need of machines.
void PartitionJobs::job_ready(const std::string& job) {
  const auto& jobs = state_store_.view().jobs;
  const auto entry = jobs.find(job);
  if (entry == jobs.end()) return;
  LedPartition* led = active_partition_of(entry->second.spec);
  if (!led) return;
  spdlog::info("job ready job={} fencing_token={}", job, led->scheduler->fencing_token());
  open(*led, job, {});
  // Its user has cancelled it while it waited, and that is still to be recorded.
  const JobPersistence* persistence = led->find_persistence(job);
  if (persistence && persistence->cancel_asked) led->scheduler->cancel_job(job);
  commands_.answer_deferred(*led);
}

// A job that became free to start after our claim never had a task under an earlier leader,
// whenever it was accepted.
void PartitionJobs::open(LedPartition& led, const std::string& job,
                         const std::vector<std::uint32_t>& done) {
  const ClusterView& view = state_store_.view();
  const auto& entry = view.jobs.at(job);
  const auto readiness = view.dependencies.readiness(job);
  const std::uint64_t free_since = readiness ? readiness->revision : entry.revision;
  const bool predates_claim = free_since < led.scheduler->fencing_token();
  const Ms accepted_at = entry.spec.accepted_at;
  const Ms ready_at = readiness ? readiness->at : accepted_at;
  const bool has_age = predates_claim || readiness.has_value();
  const Ms age = has_age ? std::max<Ms>(0, runtime_.wall() - ready_at) : 0;
  const Ms waited = std::max<Ms>(0, ready_at - accepted_at);
  led.scheduler->open_job(entry.spec, entry.revision, predates_claim, done, age, waited);
  urgency_changed(job);
}

void PartitionJobs::urgency_changed(const std::string& job) {
  const auto urgency = state_store_.view().dependencies.urgency(job);
  for (auto& [partition, led] : led_) {
    if (!led.scheduler->has_job(job)) continue;
    if (!urgency) return led.scheduler->set_urgency(job, Priority::best_effort, std::nullopt);
    std::optional<Ms> finish_by = urgency->finish_by;
    if (finish_by) *finish_by += runtime_.now() - runtime_.wall();
    led.scheduler->set_urgency(job, urgency->priority, finish_by);
  }
}

void PartitionJobs::job_closed(const std::string& job) {
  for (auto& [partition, led] : led_) {
    if (const auto found = led.persistence.find(job); found != led.persistence.end()) {
      if (auto& final_commit = found->second.final_commit)
        led.garbage_keys.insert(led.garbage_keys.end(),
                                std::make_move_iterator(final_commit->left_over.begin()),
                                std::make_move_iterator(final_commit->left_over.end()));
      led.persistence.erase(found);
    }
    if (!led.scheduler->has_job(job)) continue;
    led.scheduler->close_job(job);
    commands_.send_kills(led);
    commands_.answer_deferred(led);
  }
}

void PartitionJobs::query(const peer_rpc::JobQuery& query, const JobQueryDone& done) {
  const auto partition = partition_of_job(state_store_.view(), settings_, query.job);
  if (!partition) return decline(done, JobQueryError::unknown_job);
  LedPartition* led = led_.find_acting(*partition);
  if (!led) return decline(done, JobQueryError::not_leader);
  if (state_store_.view().dependencies.waits(query.job)) return query_waiting(*led, query, done);
  const auto status = led->scheduler->status(query.job);
  if (!status) return decline(done, JobQueryError::unknown_job);
  if (!query.cancel) {
    // While a final commit may have landed, a peer may have read it and told its users. What we
    // hold to be open would then go back on that; the state store alone can tell.
    const JobPersistence* persistence = led->find_persistence(query.job);
    if (persistence && persistence->final_commit)
      return decline(done, JobQueryError::outcome_in_doubt);
    return done(HttpReply{http_status::kOk, codec::job_status_body(query.job, *status)});
  }
  // Its tasks are of no use to anyone from now on. Killed only after the commit, they would go on
  // for as long as its outcome is in doubt.
  led->scheduler->cancel_job(query.job);
  commands_.send_kills(*led);
  finalizer_.commit(*led, query.job, reply_to(done));
}

// Invariant 12: the leader of a waiting job alone tells that it is cancelled by implication, so
// that nobody tells older news after that, and whoever leads it next knows all that this leader
// knew.
void PartitionJobs::query_waiting(LedPartition& led, const peer_rpc::JobQuery& query,
                                  const JobQueryDone& done) {
  if (state_store_.view().dependencies.cancelled(query.job))
    return done(HttpReply{http_status::kOk,
                          query.cancel
                              ? codec::job_phase_body(query.job, JobPhase::cancelled)
                              : codec::job_status_body(query.job, {JobPhase::cancelled, 0, 0})});
  if (query.cancel) {
    led.persistence[query.job].cancel_asked = true;
    return finalizer_.commit(led, query.job, reply_to(done));
  }
  const JobPersistence* persistence = led.find_persistence(query.job);
  const bool may_be_final = persistence != nullptr && persistence->final_commit.has_value();
  if (may_be_final || state_store_.replica().is_unresolved(query.job))
    return decline(done, JobQueryError::outcome_in_doubt);
  done(HttpReply{http_status::kOk, codec::job_status_body(query.job, {JobPhase::queued, 0, 0})});
}

}  // namespace eiderreel
