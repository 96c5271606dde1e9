// Admission of jobs: the checks of prerequisites and the commit of the record.
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
  // Idempotent request: a repeated submission waits for the outcome of the one on its way.
  if (auto same = pending_.find(job.id); same != pending_.end())
    return same->second->waiting.push_back(std::move(done));
  const auto submission = std::make_shared<Submission>();
  submission->job = std::move(job);
  submission->waiting.push_back(std::move(done));
  pending_[submission->job.id] = submission;
  check_prerequisites(submission);
}

void JobAdmission::end(const PendingSubmission& submission, const AdmissionResult& result) {
  pending_.erase(submission->job.id);
  for (const Done& done : submission->waiting) done(result);
}

// ------------------------------------------------------------------------- prerequisites

// Prerequisites of which this node's view has neither a record nor a final record. The job's own id
// counts as unknown, unless the job itself was accepted through another node.
std::vector<std::string> JobAdmission::unknown_prerequisites(const JobSpec& job) const {
  const ClusterView& view = state_store_.view();
  std::vector<std::string> unknown;
  for (const auto& id : job.prerequisites)
    if (!view.jobs.contains(id) && !view.final_states.contains(id)) unknown.push_back(id);
  return unknown;
}

// A view lags, and a node that has just started has read no final records. So the state store is
// asked for what is missing. Final records come first, since prerequisites that are done need not
// be kept in the job's record.
void JobAdmission::check_prerequisites(const PendingSubmission& submission) {
  auto unknown = unknown_prerequisites(submission->job);
  if (unknown.empty()) return write(submission);
  state_store_.read_final_records(std::move(unknown), [this, submission](const auto& read) {
    if (!read) return end(submission, failed(AdmissionFailure::unconfirmed));
    check_accepted(submission);
  });
}

void JobAdmission::check_accepted(const PendingSubmission& submission) {
  auto asked = unknown_prerequisites(submission->job);
  if (asked.empty()) return write(submission);
  asked.push_back(submission->job.id);
  state_store_.find_accepted(asked, [this, submission, asked](const auto& found) {
    if (!found) return end(submission, failed(AdmissionFailure::unconfirmed));
    // Idempotent request: a job that was accepted is not refused for other prerequisites that a
    // repeated submission names.
    if (found->contains(submission->job.id)) return end(submission, Admission::known_before);
    if (found->size() + 1 < asked.size())
      return end(submission, failed(AdmissionFailure::unknown_prerequisite));
    write(submission);
  });
}

// -------------------------------------------------------------------------------- record

// What is durably done is left out of the record. A cancelled prerequisite stays in it: with that
// record the job is cancelled too.
void JobAdmission::write(const PendingSubmission& submission) {
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
                [this, submission](const AdmissionResult& result) { end(submission, result); });
}

// The chunks first: the job is accepted with its record, the last key to be written. The record is
// committed only while its last chunk stands. When chunks without a job are swept, the last one is
// deleted first.
void JobAdmission::write_with_chunks(const PendingSubmission& submission,
                                     const std::string& nonce) {
  chunk_writer_.write(submission->job, nonce, [this, submission, nonce](const auto& chunks) {
    if (!chunks) return end(submission, failed(AdmissionFailure::unconfirmed));
    const JobSpec& job = submission->job;
    commit_record(job, codec::encode_with_chunks(job, chunks->count, nonce), nonce, {chunks->last},
                  [this, submission](const AdmissionResult& result) { end(submission, result); });
  });
}

// Any node may accept a job. The preconditions say that no node has, and that it never ended.
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
    // Idempotent request: an earlier one has been accepted, here or through another node.
    if (outcome == CasOutcome::conflict || outcome == CasOutcome::superseded)
      return done(Admission::known_before);
    spdlog::debug("job refused job={} outcome={}", id, to_string(outcome));
    done(failed(AdmissionFailure::unconfirmed));
  };
  state_store_.compare_and_swap(std::move(commit));
}

}  // namespace eiderreel
