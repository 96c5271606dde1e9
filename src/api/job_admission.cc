#include "api/job_admission.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace eiderreel {

namespace k = constants;

void JobAdmission::accept(JobSpec job, Done done) {
  if (job.prerequisites.empty()) {
    const std::string nonce = state_store_.nonce();
    std::string value = codec::encode(job, nonce);
    return commit_record(job, std::move(value), nonce, {}, std::move(done));
  }
  if (auto same = pending_.find(job.id); same != pending_.end())
    return same->second->waiting.push_back(std::move(done));
  const Pending p = std::make_shared<Submission>();
  p->job = std::move(job);
  p->waiting.push_back(std::move(done));
  pending_[p->job.id] = p;
  check_prerequisites(p);
}

void JobAdmission::end(const Pending& p, AdmissionResult admission) {
  pending_.erase(p->job.id);
  for (const Done& done : p->waiting) done(admission);
}

// ------------------------------------------------------------------------- prerequisites

// Those of which this node's view has neither a record nor an end. The job's own id is none that
// was accepted, unless the job itself was, through another node.
std::vector<std::string> JobAdmission::unknown_prerequisites(const JobSpec& job) const {
  const ClusterView& v = state_store_.view();
  std::vector<std::string> out;
  for (const auto& id : job.prerequisites)
    if (!v.jobs.count(id) && !v.finals.count(id)) out.push_back(id);
  return out;
}

// A view lags, and a node that has just started has read no ends: the state store is asked for
// what is missing. Ends first, since what is done need not be kept in the record.
void JobAdmission::check_prerequisites(const Pending& p) {
  auto unknown = unknown_prerequisites(p->job);
  if (unknown.empty()) return write(p);
  state_store_.read_ends(std::move(unknown), [this, p](const StoreResult<void>& read) {
    if (!read) return end(p, AdmissionResult::unconfirmed);
    check_accepted(p);
  });
}

void JobAdmission::check_accepted(const Pending& p) {
  auto asked = unknown_prerequisites(p->job);
  if (asked.empty()) return write(p);
  asked.push_back(p->job.id);
  state_store_.find_accepted(asked, [this, p, asked](const auto& found) {
    if (!found) return end(p, AdmissionResult::unconfirmed);
    // A job that was accepted with other prerequisites is not refused for these.
    if (found->count(p->job.id)) return end(p, AdmissionResult::known);
    if (found->size() + 1 < asked.size()) return end(p, AdmissionResult::unknown_prerequisite);
    write(p);
  });
}

// -------------------------------------------------------------------------------- record

// What is durably done is left out of the record. A cancelled prerequisite stays in it: with that
// record the job is cancelled too.
void JobAdmission::write(const Pending& p) {
  const auto& finals = state_store_.view().finals;
  std::erase_if(p->job.prerequisites, [&](const std::string& id) {
    const auto end = finals.find(id);
    return end != finals.end() && end->second.phase == JobPhase::done;
  });
  p->nonce = state_store_.nonce();
  std::string value = codec::encode(p->job, p->nonce);
  if (value.size() > value_limit() && !p->job.prerequisites.empty()) {
    split(*p);
    return write_chunks(p);
  }
  commit_record(p->job, std::move(value), p->nonce, {},
                [this, p](AdmissionResult admission) { end(p, admission); });
}

void JobAdmission::split(Submission& submission) const {
  codec::PrerequisiteChunk chunk;
  std::size_t bytes = k::kRecordOverhead;
  auto close = [&] {
    submission.chunks.push_back(codec::encode(chunk, submission.nonce));
    chunk.jobs.clear();
    bytes = k::kRecordOverhead;
  };
  for (const auto& id : submission.job.prerequisites) {
    const std::size_t size = id.size() + sizeof("\"\",") - 1;
    if (bytes + size > value_limit()) close();
    bytes += size;
    chunk.jobs.push_back(id);
  }
  close();
}

// The chunks first, as many at once as a transaction takes; the job is accepted with its record,
// the last key to be written. The record stands only beside its last chunk, which goes first
// when chunks without a job are swept.
void JobAdmission::write_chunks(const Pending& p) {
  const JobSpec& job = p->job;
  if (p->written == p->chunks.size()) {
    const std::string last = codec::prerequisite_key(job.id, p->nonce, p->chunks.size() - 1);
    return commit_record(job, codec::encode_with_chunks(job, p->chunks.size(), p->nonce), p->nonce,
                         {{last, p->last_chunk_revision}},
                         [this, p](AdmissionResult admission) { end(p, admission); });
  }
  CompareAndSwap c;
  c.nonce = p->nonce;
  std::size_t bytes = 0, next = p->written;
  const auto most = static_cast<std::size_t>(settings_.batch());
  while (next < p->chunks.size() && c.writes.size() < most &&
         (c.writes.empty() || bytes + p->chunks[next].size() <= k::kTransactionBytes)) {
    const std::string key = codec::prerequisite_key(job.id, p->nonce, next);
    bytes += p->chunks[next].size();
    c.preconditions.push_back({key, 0});
    c.writes.push_back({key, p->chunks[next], false});
    ++next;
  }
  c.done = [this, p, next](CasOutcome out, std::uint64_t revision) {
    if (out != CasOutcome::ok) return end(p, AdmissionResult::unconfirmed);
    p->written = next;
    p->last_chunk_revision = revision;
    write_chunks(p);
  };
  state_store_.compare_and_swap(std::move(c));
}

// Any node may accept: the preconditions say that nobody has, and that it was never over before.
void JobAdmission::commit_record(const JobSpec& job, std::string value, std::string nonce,
                                 std::vector<codec::Precondition> preconditions, Done done) {
  if (value.size() > value_limit()) return done(AdmissionResult::too_large);
  CompareAndSwap c;
  c.nonce = std::move(nonce);
  c.preconditions = std::move(preconditions);
  c.preconditions.insert(c.preconditions.begin(),
                         {{codec::job_key(job.id), 0}, {codec::final_key(job.id), 0}});
  c.writes = {{codec::job_key(job.id), std::move(value), false}};
  c.done = [id = job.id, done = std::move(done)](CasOutcome out, std::uint64_t revision) {
    if (out == CasOutcome::ok) {
      spdlog::info("job accepted job={} revision={}", id, revision);
      return done(AdmissionResult::accepted);
    }
    if (out == CasOutcome::conflict || out == CasOutcome::superseded)
      return done(AdmissionResult::known);
    spdlog::debug("job refused job={} outcome={}", id, static_cast<int>(out));
    done(AdmissionResult::unconfirmed);
  };
  state_store_.compare_and_swap(std::move(c));
}

}  // namespace eiderreel
