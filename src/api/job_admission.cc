// Admission of jobs: checks of prerequisites and commit of the job record.
#include "api/job_admission.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "api/value_limit.h"

namespace eiderreel {

namespace {

AdmissionResult failed(AdmissionFailure failure) { return tl::make_unexpected(failure); }

}  // namespace

void JobAdmission::accept(JobSpec job, Done done) {
  if (job.prerequisites.empty()) {
    const std::string nonce = state_store_.nonce();
    std::string value = codec::encode(job, nonce);
    return commit_record(job, std::move(value), nonce, {}, std::move(done));
  }
  // Idempotent request: a repeated submission waits for the outcome of the pending one.
  if (auto pending = pending_.find(job.id); pending != pending_.end())
    return pending->second->callbacks.push_back(std::move(done));
  const auto submission = std::make_shared<Submission>();
  submission->job = std::move(job);
  submission->callbacks.push_back(std::move(done));
  pending_[submission->job.id] = submission;
  check_prerequisites(submission);
}

void JobAdmission::finish(const PendingSubmission& submission, const AdmissionResult& result) {
  pending_.erase(submission->job.id);
  for (const Done& done : submission->callbacks) done(result);
}

// ------------------------------------------------------------------------- prerequisites

// Returns the prerequisites for which this node's view has neither a job record nor a final record.
// A job that names itself as a prerequisite finds its own id unknown, unless it was accepted
// through another node.
std::vector<std::string> JobAdmission::unknown_prerequisites(const JobSpec& job) const {
  const ClusterView& view = state_store_.view();
  std::vector<std::string> unknown;
  for (const auto& id : job.prerequisites)
    if (!view.jobs.contains(id) && !view.final_states.contains(id)) unknown.push_back(id);
  return unknown;
}

// The view may lag, and a node that has just started has read no final records. So the records of
// unknown prerequisites are read from the state store. Final records are read first, because
// prerequisites that are done are omitted from the job's record.
void JobAdmission::check_prerequisites(const PendingSubmission& submission) {
  auto unknown = unknown_prerequisites(submission->job);
  if (unknown.empty()) return write_record(submission);
  state_store_.read_final_records(std::move(unknown), [this, submission](const auto& read) {
    if (!read) return finish(submission, failed(AdmissionFailure::unconfirmed));
    check_prerequisites_accepted(submission);
  });
}

void JobAdmission::check_prerequisites_accepted(const PendingSubmission& submission) {
  auto ids_to_find = unknown_prerequisites(submission->job);
  if (ids_to_find.empty()) return write_record(submission);
  ids_to_find.push_back(submission->job.id);
  state_store_.find_accepted(ids_to_find, [this, submission, ids_to_find](const auto& found) {
    if (!found) return finish(submission, failed(AdmissionFailure::unconfirmed));
    // Idempotent request: a repeated submission of an accepted job is not refused, even if it names
    // other prerequisites.
    if (found->contains(submission->job.id)) return finish(submission, Admission::accepted_before);
    if (found->size() + 1 < ids_to_find.size())
      return finish(submission, failed(AdmissionFailure::unknown_prerequisite));
    write_record(submission);
  });
}

// -------------------------------------------------------------------------------- record

// Prerequisites that are durably done are omitted from the record. A cancelled prerequisite is
// kept, so that the job is cancelled as well once it is accepted.
void JobAdmission::write_record(const PendingSubmission& submission) {
  JobSpec& job = submission->job;
  const auto& finals = state_store_.view().final_states;
  std::erase_if(job.prerequisites, [&](const std::string& id) {
    const auto final_record = finals.find(id);
    return final_record != finals.end() && final_record->second.phase == JobPhase::done;
  });
  const std::string nonce = state_store_.nonce();
  std::string value = codec::encode(job, nonce);
  if (value.size() > value_limit_bytes(settings_) && !job.prerequisites.empty())
    return write_with_chunks(submission, nonce);
  commit_record(job, std::move(value), nonce, {},
                [this, submission](const AdmissionResult& result) { finish(submission, result); });
}

// The chunks are written before the record, which is the last key and makes the job accepted. The
// commit of the record requires that the last chunk still exists unchanged. Garbage collection of
// chunks without a job deletes the last chunk first, so it makes this commit conflict.
void JobAdmission::write_with_chunks(const PendingSubmission& submission,
                                     const std::string& nonce) {
  chunk_writer_.write(submission->job, nonce, [this, submission, nonce](const auto& chunks) {
    if (!chunks) return finish(submission, failed(AdmissionFailure::unconfirmed));
    const JobSpec& job = submission->job;
    commit_record(
        job, codec::encode_with_chunks(job, chunks->count, nonce), nonce, {chunks->last_chunk},
        [this, submission](const AdmissionResult& result) { finish(submission, result); });
  });
}

// Any node may accept a job. The preconditions require that no node has accepted it yet and that it
// has no final record.
void JobAdmission::commit_record(const JobSpec& job, std::string value, std::string nonce,
                                 std::vector<codec::Precondition> preconditions, Done done) {
  if (value.size() > value_limit_bytes(settings_)) return done(failed(AdmissionFailure::too_large));
  CompareAndSwap commit;
  commit.nonce = std::move(nonce);
  commit.preconditions = std::move(preconditions);
  commit.preconditions.insert(commit.preconditions.begin(),
                              {{codec::job_key(job.id), 0}, {codec::final_key(job.id), 0}});
  commit.writes = {{codec::job_key(job.id), std::move(value), false}};
  commit.done = [id = job.id, done = std::move(done)](CasOutcome outcome, std::uint64_t revision) {
    if (outcome == CasOutcome::ok) {
      spdlog::info("job accepted job={} revision={}", id, revision);
      return done(Admission::accepted);
    }
    // Idempotent request: an earlier submission was accepted by this node or another one.
    if (outcome == CasOutcome::conflict || outcome == CasOutcome::superseded)
      return done(Admission::accepted_before);
    spdlog::debug("job refused job={} outcome={}", id, to_string(outcome));
    done(failed(AdmissionFailure::unconfirmed));
  };
  state_store_.compare_and_swap(std::move(commit));
}

}  // namespace eiderreel
