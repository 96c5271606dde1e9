// What the owner writes of its jobs: progress and final records, and the sweep of keys that are of
// no more use.
#include <spdlog/spdlog.h>

#include "actors/owner.h"

namespace eiderreel {

namespace k = constants;

std::vector<codec::Precondition> Owner::job_preconditions(int part, const std::string& id) const {
  const auto& jobs = state_store_.view().jobs;
  const auto job = jobs.find(id);
  return {{codec::part_key(part), owned_.at(part).core->term()},
          {codec::job_key(id), job == jobs.end() ? 0 : job->second.revision}};
}

// Invariant 7: done and cancelled are told only after this commit. It is tried until its outcome
// is proven, for as long as we are the owner, and nothing of the job is started. A job whose tasks
// are all done is done, also for a user who calls it off.
void Owner::commit_final(int part, const std::string& id, Reply reply) {
  Owned& o = owned_.at(part);
  JobPersistence& f = o.persistence[id];
  if (f.in_flight) return reply(503, codec::error_body("the job is changing"));
  f.in_flight = true;
  o.core->hold_job(id);
  const std::uint64_t term = o.core->term();
  if (!f.final_commit) {
    Commit c;
    c.nonce = state_store_.nonce();
    c.preconditions = job_preconditions(part, id);
    const JobPhase phase = o.core->complete(id) ? JobPhase::done : JobPhase::cancelled;
    c.writes = {{codec::final_key(id), codec::encode_final(phase, rt_.wall(), c.nonce), false},
                {codec::job_key(id), "", false}};
    std::vector<std::string> left_over;
    for (const auto& [key, revision] : f.progress_revisions) {
      if (static_cast<int>(c.writes.size()) < s_.batch())
        c.writes.push_back({key, "", false});
      else
        left_over.push_back(key);
    }
    f.final_commit = {phase, std::move(c), std::move(left_over)};
  }
  Commit c = f.final_commit->commit;
  c.done = [this, part, id, term, reply, phase = f.final_commit->phase](
               Outcome out, std::uint64_t) { final_committed(part, id, term, out, phase, reply); };
  state_store_.commit(std::move(c));
}

// Guard: in doubt it stays in doubt. A later try of it that was refused once let the job's tasks
// start again; then the first landed after all, and another node said "cancelled" while they ran.
void Owner::final_committed(int part, const std::string& id, std::uint64_t term, Outcome out,
                            JobPhase phase, const Reply& reply) {
  if (out == Outcome::ok) {
    spdlog::info("job {} job={} term={}", codec::phase_name(phase), id, term);
    return reply(200, codec::job_answer(id, phase));
  }
  Owned* o = owned(part);
  if (o && o->core->term() == term)
    if (auto f = o->persistence.find(id); f != o->persistence.end()) {
      f->second.in_flight = false;
      f->second.last = rt_.now();
      if (out == Outcome::unknown)
        f->second.final_commit->commit.doubt = true;
      else
        f->second.final_commit.reset();
    }
  spdlog::warn("job not-final job={} phase={} term={} outcome={}", id, codec::phase_name(phase),
               term, static_cast<int>(out));
  reply(503, codec::error_body("the state service did not confirm; ask again"));
}

void Owner::persist(int part, Owned& o) {
  const Ms now = rt_.now();
  // While it is silent, users alone are a reason to try; it is asked for the grant all the time.
  const bool silent = now - state_store_.last_good() >= k::kStateSilentMs;
  for (const auto& id : o.core->jobs_to_record()) {
    JobPersistence& f = o.persistence[id];
    if (f.in_flight) continue;
    if (o.core->held(id) || o.core->complete(id)) {
      if (now - f.last >= k::kFinalRetryMs && !silent)
        commit_final(part, id, [](int, std::string) {});
    } else if (now - f.last >= k::kProgressEveryMs) {
      persist_progress(part, o, id);
    }
  }
  if (silent) return;
  commit_finals_of_waiting(part, o);
  record_implied(part, o);
  sweep(part, o);
}

// Jobs that were called off while they waited for others, as far as that is not proven yet.
void Owner::commit_finals_of_waiting(int part, Owned& o) {
  std::vector<std::string> ids;
  for (const auto& [id, f] : o.persistence)
    if (f.cancel_asked && !f.in_flight && !o.core->has_job(id) &&
        state_store_.view().jobs.count(id) && rt_.now() - f.last >= k::kFinalRetryMs)
      ids.push_back(id);
  for (const auto& id : ids) commit_final(part, id, [](int, std::string) {});
}

// Invariant 12: jobs that are cancelled by implication get records of their own, in batches, for as
// long as they have none. Whoever else writes one writes the same.
void Owner::record_implied(int part, Owned& o) {
  const View& v = state_store_.view();
  const auto most = static_cast<std::size_t>(std::max(1, s_.batch() / 2));
  std::vector<std::string> ids;
  for (const auto& id : v.dependencies.all_cancelled()) {
    if (ids.size() == most) break;
    if (part_of_job(id) != part) continue;
    JobPersistence& f = o.persistence[id];
    if (!f.in_flight && (f.last == 0 || rt_.now() - f.last >= k::kFinalRetryMs)) ids.push_back(id);
  }
  if (ids.empty()) return;
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::part_key(part), o.core->term()}};
  for (const auto& id : ids) {
    o.persistence[id].in_flight = true;
    c.preconditions.push_back({codec::job_key(id), v.jobs.at(id).revision});
    c.writes.push_back({codec::final_key(id),
                        codec::encode_final(JobPhase::cancelled, rt_.wall(), c.nonce), false});
    c.writes.push_back({codec::job_key(id), "", false});
  }
  c.done = [this, part, ids, term = o.core->term()](Outcome out, std::uint64_t) {
    if (out == Outcome::ok)
      for (const auto& id : ids) spdlog::info("job cancelled job={} reason=prerequisite", id);
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    for (const auto& id : ids)
      if (auto f = o->persistence.find(id); f != o->persistence.end()) {
        f->second.in_flight = false;
        f->second.last = rt_.now();
      }
  };
  state_store_.commit(std::move(c));
}

// Keys that are of no more use: progress of jobs that are over, found at a takeover or left by a
// final commit that was full; for the leader also spread prerequisites.
void Owner::sweep(int part, Owned& o) {
  if (sweeping_) return;
  const auto most = static_cast<std::size_t>(s_.batch());
  std::vector<std::string> keys;
  while (!o.unused_keys.empty() && keys.size() < most) {
    keys.push_back(std::move(o.unused_keys.back()));
    o.unused_keys.pop_back();
  }
  if (keys.empty() && part == 0) keys = state_store_.replica().orphaned_parts(most);
  if (keys.empty()) return;
  sweeping_ = true;
  Commit c;
  c.pace = Pace::progress;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::part_key(part), o.core->term()}};
  for (const auto& key : keys) c.writes.push_back({key, "", false});
  c.done = [this, part, keys, term = o.core->term()](Outcome out, std::uint64_t) {
    sweeping_ = false;
    Owned* o = owned(part);
    if (out == Outcome::ok || !o || o->core->term() != term) return;
    o->unused_keys.insert(o->unused_keys.end(), keys.begin(), keys.end());
  };
  state_store_.commit(std::move(c));
}

// The done tasks of one job, in one batch of at most a transaction; the rest goes with the next. A
// value is guarded by its own revision, so a late copy of an earlier batch cannot undo a later one.
void Owner::persist_progress(int part, Owned& o, const std::string& id) {
  JobPersistence& f = o.persistence[id];
  f.in_flight = true;
  f.last = rt_.now();
  const std::uint32_t count = o.core->task_count(id);
  const auto value_bytes = static_cast<std::size_t>(s_.state_value_kb * 1024);
  const auto most = static_cast<std::size_t>(s_.batch());
  std::vector<std::uint32_t> tasks;
  std::set<codec::TaskRange> ranges;
  for (auto task : o.core->unrecorded(id)) {
    const codec::TaskRange range = codec::progress_range(task, count, value_bytes);
    if (ranges.size() == most && !ranges.count(range)) break;
    ranges.insert(range);
    tasks.push_back(task);
  }
  Commit c;
  c.pace = Pace::progress;
  c.nonce = state_store_.nonce();
  c.preconditions = job_preconditions(part, id);
  std::vector<std::string> keys;
  for (const codec::TaskRange& range : ranges) {
    const std::string key = codec::done_key(part, id, range);
    const auto revision = f.progress_revisions.find(key);
    const auto done = o.core->done_among(id, range.first, range.count);
    c.preconditions.push_back({key, revision == f.progress_revisions.end() ? 0 : revision->second});
    c.writes.push_back({key, codec::encode_done(done, range, c.nonce), false});
    keys.push_back(key);
  }
  const std::uint64_t term = o.core->term();
  c.done = [this, part, id, term, tasks, keys](Outcome out, std::uint64_t revision) {
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    auto f = o->persistence.find(id);
    if (f == o->persistence.end()) return;
    f->second.in_flight = false;
    if (out == Outcome::ok) {
      for (const auto& key : keys) f->second.progress_revisions[key] = revision;
      o->core->mark_recorded(id, tasks);
    } else if (out != Outcome::refused) {
      // Which batch stands there is not known: read the revisions before the next one.
      for (const auto& key : keys)
        state_store_.read(key, [this, part, id, term, key](auto row) {
          Owned* o = owned(part);
          if (!row || !o || o->core->term() != term) return;
          auto f = o->persistence.find(id);
          if (f != o->persistence.end()) f->second.progress_revisions[key] = row->revision;
        });
    }
  };
  state_store_.commit(std::move(c));
}

}  // namespace eiderreel
