// What the owner writes of its jobs: progress and final records, and the sweep of keys that are of
// no more use.
#include <spdlog/spdlog.h>

#include "leadership/partition_leader.h"

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
    for (const auto& [key, stored] : f.progress) {
      if (stored.unreadable) continue;
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
  convert_progress(part, o);
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

// ------------------------------------------------------------------------------ progress

upgrade::ProgressOfJob Owner::progress_of(int part, const Owned& o, const std::string& id) const {
  const Part* core = o.core.get();
  return {part,
          id,
          core->task_count(id),
          static_cast<std::size_t>(s_.state_value_kb * 1024),
          [core, id](std::uint32_t first, std::uint32_t count) {
            return core->done_among(id, first, count);
          },
          o.persistence.at(id).progress};
}

// The done tasks of one job, in one batch of at most a transaction; the rest goes with the next.
void Owner::persist_progress(int part, Owned& o, const std::string& id) {
  o.persistence[id].last = rt_.now();
  const std::string nonce = state_store_.nonce();
  auto batch = upgrade::batch_to_record(progress_of(part, o, id), o.core->unrecorded(id),
                                        state_store_.progress_policy().write,
                                        static_cast<std::size_t>(s_.batch()), nonce);
  if (!batch.empty()) commit_progress(part, o, id, nonce, std::move(batch), false);
}

// One job at a time, and only within the share of the state service's changes that the operators
// leave to it. What is left to do stands in the values themselves, so any owner can go on with it.
void Owner::convert_progress(int part, Owned& o) {
  const auto policy = state_store_.progress_policy();
  if (!state_store_.acting_version().enabled() || !policy.convert_to) return;
  if (rt_.now() < o.look_for_conversion_at || !conversion_pace_.allows(rt_.now())) return;
  for (const auto& [id, f] : o.persistence) {
    if (f.in_flight || !o.core->has_job(id) || o.core->held(id) || o.core->complete(id) ||
        upgrade::values_to_convert(f.progress, *policy.convert_to) == 0)
      continue;
    const std::string nonce = state_store_.nonce();
    auto batch = upgrade::batch_to_convert(progress_of(part, o, id), *policy.convert_to,
                                           static_cast<std::size_t>(s_.batch()), nonce);
    if (batch.empty()) continue;
    conversion_pace_.take(batch.writes.size() + batch.deletes.size());
    return commit_progress(part, o, id, nonce, std::move(batch), true);
  }
  // Guard: a look at all jobs in every tick would cost more than the conversion itself.
  o.look_for_conversion_at = rt_.now() + k::kConversionLookMs;
}

// Each value is guarded by its own revision, so a late copy of an earlier batch cannot undo a later
// one. The values are in the form of the version acted under, and never land under another.
void Owner::commit_progress(int part, Owned& o, const std::string& id, const std::string& nonce,
                            upgrade::ProgressBatch batch, bool conversion) {
  JobPersistence& f = o.persistence[id];
  f.in_flight = true;
  auto revision_of = [&](const std::string& key) {
    const auto stored = f.progress.find(key);
    return stored == f.progress.end() ? 0 : stored->second.revision;
  };
  Commit c;
  c.pace = Pace::progress;
  c.nonce = nonce;
  c.binding = VersionBinding::as_encoded;
  c.preconditions = job_preconditions(part, id);
  for (auto& value : batch.writes) {
    c.preconditions.push_back({value.key, revision_of(value.key)});
    c.writes.push_back({value.key, std::move(value.value), false});
  }
  for (const auto& key : batch.deletes) {
    c.preconditions.push_back({key, revision_of(key)});
    c.writes.push_back({key, "", false});
  }
  c.done = [this, part, id, term = o.core->term(), batch, conversion](Outcome out,
                                                                      std::uint64_t revision) {
    if (out == Outcome::ok && conversion)
      conversion_pace_.converted(batch.writes.size() + batch.deletes.size());
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    auto f = o->persistence.find(id);
    if (f == o->persistence.end()) return;
    f->second.in_flight = false;
    if (out == Outcome::ok)
      progress_committed(part, id, batch, revision);
    else if (out != Outcome::refused)
      read_progress_again(part, id, batch);
  };
  state_store_.commit(std::move(c));
}

void Owner::progress_committed(int part, const std::string& id, const upgrade::ProgressBatch& batch,
                               std::uint64_t revision) {
  Owned& o = owned_.at(part);
  auto& progress = o.persistence.at(id).progress;
  for (const auto& value : batch.writes) progress[value.key] = {revision, value.form, false};
  for (const auto& key : batch.deletes) progress.erase(key);
  o.core->mark_recorded(id, batch.recorded);
}

// Which batch stands there is not known: the revisions are read before the next one.
void Owner::read_progress_again(int part, const std::string& id,
                                const upgrade::ProgressBatch& batch) {
  std::vector<std::string> keys = batch.deletes;
  for (const auto& value : batch.writes) keys.push_back(value.key);
  const std::uint64_t term = owned_.at(part).core->term();
  for (const auto& key : keys)
    state_store_.read(key, [this, part, id, term, key](auto row) {
      Owned* o = owned(part);
      if (!row || !o || o->core->term() != term) return;
      auto f = o->persistence.find(id);
      if (f == o->persistence.end()) return;
      if (row->revision == 0)
        f->second.progress.erase(key);
      else
        f->second.progress[key] = upgrade::stored_progress(*row);
    });
}

std::optional<ConversionProgress> Owner::conversion() const {
  if (!state_store_.acting_version().enabled()) return std::nullopt;
  ConversionProgress sum;
  sum.values_converted = conversion_pace_.converted();
  sum.values_per_s = conversion_pace_.values_per_s();
  const auto to = state_store_.progress_policy().convert_to;
  for (const auto& [part, o] : owned_)
    for (const auto& [id, f] : o.persistence) {
      if (to) sum.values_left += upgrade::values_to_convert(f.progress, *to);
      for (const auto& [key, stored] : f.progress) sum.unreadable += stored.unreadable;
    }
  return sum;
}

std::optional<ConversionProgress> Owner::peer_conversion(const std::string& node) const {
  const auto peer = peers_.find(node);
  if (peer == peers_.end() || !peer_alive(node)) return std::nullopt;
  return peer->second.status.conversion;
}

}  // namespace eiderreel
