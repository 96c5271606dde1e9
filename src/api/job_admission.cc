#include "api/job_admission.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace eiderreel {

namespace k = constants;

void JobAcceptor::accept(JobSpec job, Done done) {
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

void JobAcceptor::end(const Pending& p, Acceptance acceptance) {
  pending_.erase(p->job.id);
  for (const Done& done : p->waiting) done(acceptance);
}

// ------------------------------------------------------------------------- prerequisites

// Those of which this node's view has neither a record nor an end. The job's own id is none that
// was accepted, unless the job itself was, through another node.
std::vector<std::string> JobAcceptor::unknown_prerequisites(const JobSpec& job) const {
  const View& v = state_store_.view();
  std::vector<std::string> out;
  for (const auto& id : job.prerequisites)
    if (!v.jobs.count(id) && !v.finals.count(id)) out.push_back(id);
  return out;
}

// A view lags, and a node that has just started has read no ends: the state service is asked for
// what is missing. Ends first, since what is done need not be kept in the record.
void JobAcceptor::check_prerequisites(const Pending& p) {
  auto unknown = unknown_prerequisites(p->job);
  if (unknown.empty()) return write(p);
  state_store_.read_ends(std::move(unknown), [this, p](bool read) {
    if (!read) return end(p, Acceptance::unconfirmed);
    check_accepted(p);
  });
}

void JobAcceptor::check_accepted(const Pending& p) {
  auto asked = unknown_prerequisites(p->job);
  if (asked.empty()) return write(p);
  asked.push_back(p->job.id);
  state_store_.find_accepted(asked, [this, p, asked](std::optional<std::set<std::string>> found) {
    if (!found) return end(p, Acceptance::unconfirmed);
    // Guard: a job that was accepted with other prerequisites is not refused for these.
    if (found->count(p->job.id)) return end(p, Acceptance::known);
    if (found->size() + 1 < asked.size()) return end(p, Acceptance::unknown_prerequisite);
    write(p);
  });
}

// -------------------------------------------------------------------------------- record

// What is durably done is left out of the record. A cancelled prerequisite stays in it: with that
// record the job is cancelled too.
void JobAcceptor::write(const Pending& p) {
  const auto& finals = state_store_.view().finals;
  std::erase_if(p->job.prerequisites, [&](const std::string& id) {
    const auto end = finals.find(id);
    return end != finals.end() && end->second.phase == JobPhase::done;
  });
  p->nonce = state_store_.nonce();
  std::string value = codec::encode(p->job, p->nonce);
  if (value.size() > value_limit() && !p->job.prerequisites.empty()) {
    split(*p);
    return write_parts(p);
  }
  commit_record(p->job, std::move(value), p->nonce, {},
                [this, p](Acceptance acceptance) { end(p, acceptance); });
}

void JobAcceptor::split(Submission& submission) const {
  codec::PrerequisitePart part;
  std::size_t bytes = k::kRecordOverhead;
  auto close = [&] {
    submission.parts.push_back(codec::encode(part, submission.nonce));
    part.jobs.clear();
    bytes = k::kRecordOverhead;
  };
  for (const auto& id : submission.job.prerequisites) {
    const std::size_t size = id.size() + sizeof("\"\",") - 1;
    if (bytes + size > value_limit()) close();
    bytes += size;
    part.jobs.push_back(id);
  }
  close();
}

// The parts first, as many at once as a transaction takes; the job is accepted with its record, the
// last key to be written. Guard: the record stands only beside its last part, which goes first when
// parts without a job are swept.
void JobAcceptor::write_parts(const Pending& p) {
  const JobSpec& job = p->job;
  if (p->written == p->parts.size()) {
    const std::string last = codec::prerequisite_key(job.id, p->nonce, p->parts.size() - 1);
    return commit_record(job, codec::encode_spread(job, p->parts.size(), p->nonce), p->nonce,
                         {{last, p->last_part_revision}},
                         [this, p](Acceptance acceptance) { end(p, acceptance); });
  }
  Commit c;
  c.nonce = p->nonce;
  std::size_t bytes = 0, next = p->written;
  const auto most = static_cast<std::size_t>(s_.batch());
  while (next < p->parts.size() && c.writes.size() < most &&
         (c.writes.empty() || bytes + p->parts[next].size() <= k::kTransactionBytes)) {
    const std::string key = codec::prerequisite_key(job.id, p->nonce, next);
    bytes += p->parts[next].size();
    c.preconditions.push_back({key, 0});
    c.writes.push_back({key, p->parts[next], false});
    ++next;
  }
  c.done = [this, p, next](Outcome out, std::uint64_t revision) {
    if (out != Outcome::ok) return end(p, Acceptance::unconfirmed);
    p->written = next;
    p->last_part_revision = revision;
    write_parts(p);
  };
  state_store_.commit(std::move(c));
}

// Any node may accept: the preconditions say that nobody has, and that it was never over before.
void JobAcceptor::commit_record(const JobSpec& job, std::string value, std::string nonce,
                                std::vector<codec::Precondition> preconditions, Done done) {
  if (value.size() > value_limit()) return done(Acceptance::too_large);
  Commit c;
  c.nonce = std::move(nonce);
  c.preconditions = std::move(preconditions);
  c.preconditions.insert(c.preconditions.begin(),
                         {{codec::job_key(job.id), 0}, {codec::final_key(job.id), 0}});
  c.writes = {{codec::job_key(job.id), std::move(value), false}};
  c.done = [id = job.id, done = std::move(done)](Outcome out, std::uint64_t revision) {
    if (out == Outcome::ok) {
      spdlog::info("job accepted job={} revision={}", id, revision);
      return done(Acceptance::accepted);
    }
    if (out == Outcome::conflict || out == Outcome::superseded) return done(Acceptance::known);
    spdlog::debug("job refused job={} outcome={}", id, static_cast<int>(out));
    done(Acceptance::unconfirmed);
  };
  state_store_.commit(std::move(c));
}

}  // namespace eiderreel
