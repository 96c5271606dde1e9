// What the leader writes of its jobs: progress and final records, and the sweep of keys that are of
// no more use.
#include <spdlog/spdlog.h>

#include "codec/job_json.h"
#include "leadership/partition_leader.h"

namespace eiderreel {

namespace k = constants;

std::vector<codec::Precondition> PartitionLeader::job_preconditions(int partition,
                                                                    const std::string& id) const {
  const auto& jobs = state_store_.view().jobs;
  const auto job = jobs.find(id);
  return {{codec::partition_key(partition), led_partitions_.at(partition).core->fencing_token()},
          {codec::job_key(id), job == jobs.end() ? 0 : job->second.revision}};
}

// Invariant 7: done and cancelled are told only after this commit. It is tried until its outcome
// is proven, for as long as we are the leader, and nothing of the job is started. A job whose tasks
// are all done is done, also for a user who cancels it.
void PartitionLeader::commit_final(int partition, const std::string& id, Reply reply) {
  LedPartition& o = led_partitions_.at(partition);
  JobPersistence& f = o.persistence[id];
  if (f.in_flight) return reply(503, codec::error_body("the job is changing"));
  f.in_flight = true;
  o.core->begin_finalizing(id);
  const std::uint64_t fencing_token = o.core->fencing_token();
  if (!f.final_commit) {
    CompareAndSwap c;
    c.nonce = state_store_.nonce();
    c.preconditions = job_preconditions(partition, id);
    const JobPhase phase = o.core->is_complete(id) ? JobPhase::done : JobPhase::cancelled;
    c.writes = {{codec::final_key(id), codec::encode_final(phase, runtime_.wall(), c.nonce), false},
                {codec::job_key(id), "", false}};
    std::vector<std::string> left_over;
    for (const auto& [key, stored] : f.progress) {
      if (stored.unreadable) continue;
      if (static_cast<int>(c.writes.size()) < settings_.batch())
        c.writes.push_back({key, "", false});
      else
        left_over.push_back(key);
    }
    f.final_commit = {phase, std::move(c), std::move(left_over)};
  }
  CompareAndSwap c = f.final_commit->compare_and_swap;
  c.done = [this, partition, id, fencing_token, reply, phase = f.final_commit->phase](
               CasOutcome out, std::uint64_t) {
    final_committed(partition, id, fencing_token, out, phase, reply);
  };
  state_store_.compare_and_swap(std::move(c));
}

// In doubt it stays in doubt. A later try of it that was refused once let the job's tasks
// start again; then the first landed after all, and another node said "cancelled" while they ran.
void PartitionLeader::final_committed(int partition, const std::string& id,
                                      std::uint64_t fencing_token, CasOutcome out, JobPhase phase,
                                      const Reply& reply) {
  if (out == CasOutcome::ok) {
    spdlog::info("job {} job={} fencing_token={}", codec::phase_name(phase), id, fencing_token);
    return reply(200, codec::job_answer(id, phase));
  }
  LedPartition* o = led_partition(partition);
  if (o && o->core->fencing_token() == fencing_token)
    if (auto f = o->persistence.find(id); f != o->persistence.end()) {
      f->second.in_flight = false;
      f->second.last = runtime_.now();
      if (out == CasOutcome::unknown)
        f->second.final_commit->compare_and_swap.doubt = true;
      else
        f->second.final_commit.reset();
    }
  spdlog::warn("job not-final job={} phase={} fencing_token={} outcome={}", id,
               codec::phase_name(phase), fencing_token, static_cast<int>(out));
  reply(503, codec::error_body("the state service did not confirm; ask again"));
}

void PartitionLeader::persist(int partition, LedPartition& o) {
  const Ms now = runtime_.now();
  // While it is silent, users alone are a reason to try; it is asked for the lease all the time.
  const bool silent = now - state_store_.last_good() >= k::kStateSilentMs;
  for (const auto& id : o.core->jobs_to_record()) {
    JobPersistence& f = o.persistence[id];
    if (f.in_flight) continue;
    if (o.core->is_finalizing(id) || o.core->is_complete(id)) {
      if (now - f.last >= k::kFinalRetryMs && !silent)
        commit_final(partition, id, [](int, std::string) {});
    } else if (now - f.last >= k::kProgressEveryMs) {
      persist_progress(partition, o, id);
    }
  }
  if (silent) return;
  commit_finals_of_waiting(partition, o);
  commit_implied_cancellations(partition, o);
  collect_garbage(partition, o);
  convert_progress(partition, o);
}

// Jobs that were cancelled while they waited for others, as far as that is not proven yet.
void PartitionLeader::commit_finals_of_waiting(int partition, LedPartition& o) {
  std::vector<std::string> ids;
  for (const auto& [id, f] : o.persistence)
    if (f.cancel_asked && !f.in_flight && !o.core->has_job(id) &&
        state_store_.view().jobs.count(id) && runtime_.now() - f.last >= k::kFinalRetryMs)
      ids.push_back(id);
  for (const auto& id : ids) commit_final(partition, id, [](int, std::string) {});
}

// Invariant 12: jobs that are cancelled by implication get records of their own, in batches, for as
// long as they have none. Whoever else writes one writes the same.
void PartitionLeader::commit_implied_cancellations(int partition, LedPartition& o) {
  const ClusterView& v = state_store_.view();
  const auto most = static_cast<std::size_t>(std::max(1, settings_.batch() / 2));
  std::vector<std::string> ids;
  for (const auto& id : v.dependencies.all_cancelled()) {
    if (ids.size() == most) break;
    if (partition_of_job(id) != partition) continue;
    JobPersistence& f = o.persistence[id];
    if (!f.in_flight && (f.last == 0 || runtime_.now() - f.last >= k::kFinalRetryMs))
      ids.push_back(id);
  }
  if (ids.empty()) return;
  CompareAndSwap c;
  c.request_priority = RequestPriority::fleet;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::partition_key(partition), o.core->fencing_token()}};
  for (const auto& id : ids) {
    o.persistence[id].in_flight = true;
    c.preconditions.push_back({codec::job_key(id), v.jobs.at(id).revision});
    c.writes.push_back({codec::final_key(id),
                        codec::encode_final(JobPhase::cancelled, runtime_.wall(), c.nonce), false});
    c.writes.push_back({codec::job_key(id), "", false});
  }
  c.done = [this, partition, ids, fencing_token = o.core->fencing_token()](CasOutcome out,
                                                                           std::uint64_t) {
    if (out == CasOutcome::ok)
      for (const auto& id : ids) spdlog::info("job cancelled job={} reason=prerequisite", id);
    LedPartition* o = led_partition(partition);
    if (!o || o->core->fencing_token() != fencing_token) return;
    for (const auto& id : ids)
      if (auto f = o->persistence.find(id); f != o->persistence.end()) {
        f->second.in_flight = false;
        f->second.last = runtime_.now();
      }
  };
  state_store_.compare_and_swap(std::move(c));
}

// Keys that are of no more use: progress of jobs that are over, found at a failover or left by a
// final commit that was full; for the cluster leader also spread prerequisites.
void PartitionLeader::collect_garbage(int partition, LedPartition& o) {
  if (collecting_garbage_) return;
  const auto most = static_cast<std::size_t>(settings_.batch());
  std::vector<std::string> keys;
  while (!o.garbage_keys.empty() && keys.size() < most) {
    keys.push_back(std::move(o.garbage_keys.back()));
    o.garbage_keys.pop_back();
  }
  if (keys.empty() && partition == 0) keys = state_store_.replica().orphaned_chunks(most);
  if (keys.empty()) return;
  collecting_garbage_ = true;
  CompareAndSwap c;
  c.request_priority = RequestPriority::progress;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::partition_key(partition), o.core->fencing_token()}};
  for (const auto& key : keys) c.writes.push_back({key, "", false});
  c.done = [this, partition, keys, fencing_token = o.core->fencing_token()](CasOutcome out,
                                                                            std::uint64_t) {
    collecting_garbage_ = false;
    LedPartition* o = led_partition(partition);
    if (out == CasOutcome::ok || !o || o->core->fencing_token() != fencing_token) return;
    o->garbage_keys.insert(o->garbage_keys.end(), keys.begin(), keys.end());
  };
  state_store_.compare_and_swap(std::move(c));
}

// ------------------------------------------------------------------------------ progress

upgrade::ProgressOfJob PartitionLeader::progress_of(int partition, const LedPartition& o,
                                                    const std::string& id) const {
  const PartitionScheduler* core = o.core.get();
  return {partition,
          id,
          core->task_count(id),
          static_cast<std::size_t>(settings_.state_value_kb * 1024),
          [core, id](std::uint32_t first, std::uint32_t count) {
            return core->done_tasks(id, first, count);
          },
          o.persistence.at(id).progress};
}

// The done tasks of one job, in one batch of at most a transaction; the rest goes with the next.
void PartitionLeader::persist_progress(int partition, LedPartition& o, const std::string& id) {
  o.persistence[id].last = runtime_.now();
  const std::string nonce = state_store_.nonce();
  auto batch = upgrade::batch_to_record(progress_of(partition, o, id), o.core->unrecorded(id),
                                        state_store_.progress_policy().write,
                                        static_cast<std::size_t>(settings_.batch()), nonce);
  if (!batch.empty()) commit_progress(partition, o, id, nonce, std::move(batch), false);
}

// One job at a time, and only within the share of the state store's changes that the operators
// leave to it. What is left to do stands in the values themselves, so any leader can go on with it.
void PartitionLeader::convert_progress(int partition, LedPartition& o) {
  const auto policy = state_store_.progress_policy();
  if (!state_store_.acting_version().enabled() || !policy.convert_to) return;
  if (runtime_.now() < o.look_for_conversion_at || !conversion_rate_limiter_.allows(runtime_.now()))
    return;
  for (const auto& [id, f] : o.persistence) {
    if (f.in_flight || !o.core->has_job(id) || o.core->is_finalizing(id) ||
        o.core->is_complete(id) || upgrade::values_to_convert(f.progress, *policy.convert_to) == 0)
      continue;
    const std::string nonce = state_store_.nonce();
    auto batch = upgrade::batch_to_convert(progress_of(partition, o, id), *policy.convert_to,
                                           static_cast<std::size_t>(settings_.batch()), nonce);
    if (batch.empty()) continue;
    conversion_rate_limiter_.take(batch.writes.size() + batch.deletes.size());
    return commit_progress(partition, o, id, nonce, std::move(batch), true);
  }
  // A look at all jobs in every tick would cost more than the conversion itself.
  o.look_for_conversion_at = runtime_.now() + k::kConversionLookMs;
}

// Each value is guarded by its own revision, so a late copy of an earlier batch cannot undo a later
// one. The values are in the form of the version acted under, and never land under another.
void PartitionLeader::commit_progress(int partition, LedPartition& o, const std::string& id,
                                      const std::string& nonce, upgrade::ProgressBatch batch,
                                      bool conversion) {
  JobPersistence& f = o.persistence[id];
  f.in_flight = true;
  auto revision_of = [&](const std::string& key) {
    const auto stored = f.progress.find(key);
    return stored == f.progress.end() ? 0 : stored->second.revision;
  };
  CompareAndSwap c;
  c.request_priority = RequestPriority::progress;
  c.nonce = nonce;
  c.binding = VersionBinding::as_encoded;
  c.preconditions = job_preconditions(partition, id);
  for (auto& value : batch.writes) {
    c.preconditions.push_back({value.key, revision_of(value.key)});
    c.writes.push_back({value.key, std::move(value.value), false});
  }
  for (const auto& key : batch.deletes) {
    c.preconditions.push_back({key, revision_of(key)});
    c.writes.push_back({key, "", false});
  }
  c.done = [this, partition, id, fencing_token = o.core->fencing_token(), batch, conversion](
               CasOutcome out, std::uint64_t revision) {
    if (out == CasOutcome::ok && conversion)
      conversion_rate_limiter_.converted(batch.writes.size() + batch.deletes.size());
    LedPartition* o = led_partition(partition);
    if (!o || o->core->fencing_token() != fencing_token) return;
    auto f = o->persistence.find(id);
    if (f == o->persistence.end()) return;
    f->second.in_flight = false;
    if (out == CasOutcome::ok)
      progress_committed(partition, id, batch, revision);
    else if (out != CasOutcome::refused)
      read_progress_again(partition, id, batch);
  };
  state_store_.compare_and_swap(std::move(c));
}

void PartitionLeader::progress_committed(int partition, const std::string& id,
                                         const upgrade::ProgressBatch& batch,
                                         std::uint64_t revision) {
  LedPartition& o = led_partitions_.at(partition);
  auto& progress = o.persistence.at(id).progress;
  for (const auto& value : batch.writes) progress[value.key] = {revision, value.form, false};
  for (const auto& key : batch.deletes) progress.erase(key);
  o.core->mark_recorded(id, batch.recorded);
}

// Which batch stands there is not known: the revisions are read before the next one.
void PartitionLeader::read_progress_again(int partition, const std::string& id,
                                          const upgrade::ProgressBatch& batch) {
  std::vector<std::string> keys = batch.deletes;
  for (const auto& value : batch.writes) keys.push_back(value.key);
  const std::uint64_t fencing_token = led_partitions_.at(partition).core->fencing_token();
  for (const auto& key : keys)
    state_store_.read(key, [this, partition, id, fencing_token, key](auto row) {
      LedPartition* o = led_partition(partition);
      if (!row || !o || o->core->fencing_token() != fencing_token) return;
      auto f = o->persistence.find(id);
      if (f == o->persistence.end()) return;
      if (row->revision == 0)
        f->second.progress.erase(key);
      else
        f->second.progress[key] = upgrade::stored_progress(*row);
    });
}

std::optional<ConversionProgress> PartitionLeader::conversion() const {
  if (!state_store_.acting_version().enabled()) return std::nullopt;
  ConversionProgress sum;
  sum.values_converted = conversion_rate_limiter_.converted();
  sum.values_per_s = conversion_rate_limiter_.values_per_s();
  const auto to = state_store_.progress_policy().convert_to;
  for (const auto& [partition, o] : led_partitions_)
    for (const auto& [id, f] : o.persistence) {
      if (to) sum.values_left += upgrade::values_to_convert(f.progress, *to);
      for (const auto& [key, stored] : f.progress) sum.unreadable += stored.unreadable;
    }
  return sum;
}

std::optional<ConversionProgress> PartitionLeader::peer_conversion(const std::string& node) const {
  const auto peer = peers_.find(node);
  if (peer == peers_.end() || !peer_alive(node)) return std::nullopt;
  return peer->second.status.conversion;
}

}  // namespace eiderreel
