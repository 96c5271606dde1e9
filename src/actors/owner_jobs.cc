// The jobs of the owner's parts: questions about them, progress and final records.
#include <spdlog/spdlog.h>

#include "actors/owner.h"

namespace eiderreel {

namespace k = constants;

void Owner::job_opened(const std::string& id) {
  const auto& j = state_store_.view().jobs.at(id);
  Owned* o = owned(s_.part_of_team(j.spec.team));
  if (!o || !o->active) return;  // it will read the view
  if (state_store_.view().dependencies.waits(id)) return log_waiting(id);
  open_in(*o, id, {});
  pump(*o);
}

void Owner::log_waiting(const std::string& id) const {
  const auto& dependencies = state_store_.view().dependencies;
  const auto first = dependencies.prerequisites_of(id, 1);
  spdlog::info("job waiting job={} prerequisites={} first={} cancelled={}", id,
               dependencies.prerequisite_count(id), first.empty() ? "-" : first.front(),
               dependencies.cancelled(id));
}

// Invariant 11: the last of its prerequisites is durably done. Until now the part knew nothing of
// the job: it took part in no limit, no guarantee, no need of machines.
void Owner::job_ready(const std::string& id) {
  const auto job = state_store_.view().jobs.find(id);
  if (job == state_store_.view().jobs.end()) return;
  Owned* o = owned(s_.part_of_team(job->second.spec.team));
  if (!o || !o->active) return;
  spdlog::info("job ready job={} term={}", id, o->core->term());
  open_in(*o, id, {});
  // Guard: its user has called it off while it waited, and that is still to be recorded.
  if (auto f = o->flushes.find(id); f != o->flushes.end() && f->second.cancel_asked)
    o->core->cancel_job(id);
  pump(*o);
}

// Opens a job that is free to start. A job that became so after our claim never had a task under an
// earlier owner, whenever it was accepted.
void Owner::open_in(Owned& o, const std::string& id, const std::vector<std::uint32_t>& done) {
  const View& v = state_store_.view();
  const auto& job = v.jobs.at(id);
  const auto readiness = v.dependencies.readiness(id);
  const std::uint64_t free_since = readiness ? readiness->revision : job.revision;
  const bool older = free_since < o.core->term();
  const Ms ready_at = readiness ? readiness->at : job.spec.accepted_at;
  const Ms age = older || readiness ? std::max<Ms>(0, rt_.wall() - ready_at) : 0;
  o.core->open_job(job.spec, job.revision, older, done, age,
                   std::max<Ms>(0, ready_at - job.spec.accepted_at));
  urgency_changed(id);
}

void Owner::urgency_changed(const std::string& id) {
  const auto urgency = state_store_.view().dependencies.urgency(id);
  for (auto& [part, o] : owned_) {
    if (!o.core->has_job(id)) continue;
    if (!urgency) return o.core->set_urgency(id, Priority::best_effort, std::nullopt);
    std::optional<Ms> finish_by = urgency->finish_by;
    if (finish_by) *finish_by += rt_.now() - rt_.wall();
    o.core->set_urgency(id, urgency->priority, finish_by);
  }
}

void Owner::job_closed(const std::string& id) {
  for (auto& [part, o] : owned_) {
    if (auto f = o.flushes.find(id); f != o.flushes.end()) {
      if (f->second.final_commit)
        for (auto& key : f->second.final_commit->left_over) o.unused_keys.push_back(std::move(key));
      o.flushes.erase(f);
    }
    if (!o.core->has_job(id)) continue;
    o.core->close_job(id);
    send_kills(o);
    pump(o);
  }
}

void Owner::ask(const mesh::Ask& a, Reply reply) {
  const int part = part_of_job(a.job);
  Owned* o = part < 0 ? nullptr : acting_owned(part);
  if (!o) return reply(0, "");
  if (state_store_.view().dependencies.waits(a.job)) return ask_waiting(part, a, std::move(reply));
  auto status = o->core->status(a.job);
  if (!status) return reply(0, "");
  if (!a.cancel) {
    // Guard: while a final commit may have landed, a peer may have read it and told its users. What
    // we hold to be open would then go back on that; the state service alone can tell.
    auto f = o->flushes.find(a.job);
    if (f != o->flushes.end() && f->second.final_commit) return reply(0, "");
    return reply(200, codec::job_status(a.job, *status));
  }
  // Its tasks are of no use to anyone from now on. Guard: killed only after the commit, they went
  // on for as long as its outcome was in doubt.
  o->core->cancel_job(a.job);
  send_kills(*o);
  finish(part, a.job, std::move(reply));
}

// A question about a job that waits for others. Invariant 12: its owner alone tells that it is
// cancelled by implication, so that nobody tells older news after that, and whoever owns it next
// knows all that this owner knew.
void Owner::ask_waiting(int part, const mesh::Ask& a, Reply reply) {
  if (state_store_.view().dependencies.cancelled(a.job))
    return reply(200, a.cancel ? codec::job_answer(a.job, JobPhase::cancelled)
                               : codec::job_status(a.job, {JobPhase::cancelled, 0, 0}));
  Owned& o = owned_.at(part);
  if (a.cancel) {
    o.flushes[a.job].cancel_asked = true;
    return finish(part, a.job, std::move(reply));
  }
  const auto f = o.flushes.find(a.job);
  const bool may_be_final = f != o.flushes.end() && f->second.final_commit;
  if (may_be_final || state_store_.replica().is_unresolved(a.job)) return reply(0, "");
  reply(200, codec::job_status(a.job, {JobPhase::queued, 0, 0}));
}

std::vector<codec::Precondition> Owner::job_preconditions(int part, const std::string& id) const {
  const auto& jobs = state_store_.view().jobs;
  const auto job = jobs.find(id);
  return {{codec::part_key(part), owned_.at(part).core->term()},
          {codec::job_key(id), job == jobs.end() ? 0 : job->second.revision}};
}

// Invariant 7: done and cancelled are told only after this commit. It is tried until its outcome
// is proven, for as long as we are the owner, and nothing of the job is started. A job whose tasks
// are all done is done, also for a user who calls it off.
void Owner::finish(int part, const std::string& id, Reply reply) {
  Owned& o = owned_.at(part);
  Flush& f = o.flushes[id];
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
               Outcome out, std::uint64_t) { finished(part, id, term, out, phase, reply); };
  state_store_.commit(std::move(c));
}

// Guard: in doubt it stays in doubt. A later try of it that was refused once let the job's tasks
// start again; then the first landed after all, and another node said "cancelled" while they ran.
void Owner::finished(int part, const std::string& id, std::uint64_t term, Outcome out,
                     JobPhase phase, const Reply& reply) {
  if (out == Outcome::ok) {
    spdlog::info("job {} job={} term={}", codec::phase_name(phase), id, term);
    return reply(200, codec::job_answer(id, phase));
  }
  Owned* o = owned(part);
  if (o && o->core->term() == term)
    if (auto f = o->flushes.find(id); f != o->flushes.end()) {
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

void Owner::flush(int part, Owned& o) {
  const Ms now = rt_.now();
  // While it is silent, users alone are a reason to try; it is asked for the grant all the time.
  const bool silent = now - state_store_.last_good() >= k::kStateSilentMs;
  for (const auto& id : o.core->jobs_to_record()) {
    Flush& f = o.flushes[id];
    if (f.in_flight) continue;
    if (o.core->held(id) || o.core->complete(id)) {
      if (now - f.last >= k::kFinishRetryMs && !silent) finish(part, id, [](int, std::string) {});
    } else if (now - f.last >= k::kDoneBatchMs) {
      flush_job(part, o, id);
    }
  }
  if (silent) return;
  finish_waiting(part, o);
  record_implied(part, o);
  sweep(part, o);
}

// Jobs that were called off while they waited for others, as far as that is not proven yet.
void Owner::finish_waiting(int part, Owned& o) {
  std::vector<std::string> ids;
  for (const auto& [id, f] : o.flushes)
    if (f.cancel_asked && !f.in_flight && !o.core->has_job(id) &&
        state_store_.view().jobs.count(id) && rt_.now() - f.last >= k::kFinishRetryMs)
      ids.push_back(id);
  for (const auto& id : ids) finish(part, id, [](int, std::string) {});
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
    Flush& f = o.flushes[id];
    if (!f.in_flight && (f.last == 0 || rt_.now() - f.last >= k::kFinishRetryMs)) ids.push_back(id);
  }
  if (ids.empty()) return;
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::part_key(part), o.core->term()}};
  for (const auto& id : ids) {
    o.flushes[id].in_flight = true;
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
      if (auto f = o->flushes.find(id); f != o->flushes.end()) {
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
void Owner::flush_job(int part, Owned& o, const std::string& id) {
  Flush& f = o.flushes[id];
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
    auto f = o->flushes.find(id);
    if (f == o->flushes.end()) return;
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
          auto f = o->flushes.find(id);
          if (f != o->flushes.end()) f->second.progress_revisions[key] = row->revision;
        });
    }
  };
  state_store_.commit(std::move(c));
}

}  // namespace eiderreel
