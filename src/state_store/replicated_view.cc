// Applies rows of the state store to the view.
#include "state_store/replicated_view.h"

#include <cstdlib>
#include <utility>

#include "constants.h"
#include "state_store/followed_keys.h"

namespace eiderreel {

namespace k = constants;

namespace {

codec::StateRow deleted_row(const std::string& key, std::uint64_t revision) {
  codec::StateRow row;
  row.key = key;
  row.deleted = true;
  row.revision = revision;
  return row;
}

// Whether a row is not newer than the existing entry for its key.
template <typename Map, typename Key>
bool is_stale(const Map& entries, const Key& key, const codec::StateRow& row) {
  const auto entry = entries.find(key);
  return entry != entries.end() && entry->second.revision >= row.revision;
}

}  // namespace

// -------------------------------------------------------------------------------- loading

void ReplicatedView::begin_load(std::uint64_t store_revision) {
  finished_jobs_.clear(store_revision);
}

void ReplicatedView::mark_applied(std::uint64_t store_revision) {
  view_.store_revision = store_revision;
  if (!std::exchange(view_.ready, true)) find_unresolved_prerequisites();
}

// Once all keys are loaded, a prerequisite without an open or final record may have ended before
// the load, in which case no later change will report it.
void ReplicatedView::find_unresolved_prerequisites() {
  for (const auto& id : view_.dependencies.prerequisites())
    if (!is_open(id)) unresolved_prerequisites_.insert(id);
}

// The keys of all entries of the view except final states, which are never removed by a reload.
std::vector<std::string> ReplicatedView::view_keys() const {
  std::vector<std::string> keys;
  for (const auto& [id, entry] : view_.jobs) keys.push_back(codec::job_key(id));
  for (const auto& [id, entry] : view_.machines) keys.push_back(codec::machine_key(id));
  for (const auto& [name, entry] : view_.nodes) keys.push_back(codec::node_key(name));
  for (const auto& [partition, entry] : view_.partitions)
    keys.push_back(codec::partition_key(partition));
  if (view_.cluster.revision != 0) keys.push_back(codec::version_key());
  for (auto& key : prerequisite_chunks_.keys()) keys.push_back(std::move(key));
  return keys;
}

void ReplicatedView::remove_missing(const std::set<std::string>& listed_keys,
                                    std::uint64_t store_revision) {
  for (const auto& key : view_keys())
    if (!listed_keys.contains(key)) apply(deleted_row(key, store_revision), true);
}

// --------------------------------------------------------------------------------- rows

void ReplicatedView::apply(const codec::StateRow& row, bool announce) {
  using followed_keys::has_prefix;
  const std::string name = codec::key_name(row.key);
  if (has_prefix(row.key, followed_keys::kJobsPrefix))
    apply_job(name, row, announce);
  else if (has_prefix(row.key, followed_keys::kPrerequisiteChunksPrefix))
    apply_chunk(row);
  else if (has_prefix(row.key, followed_keys::kFinalRecordsPrefix))
    apply_final_record(name, row);
  else if (has_prefix(row.key, followed_keys::kMachinesPrefix))
    apply_machine(name, row, announce);
  else if (has_prefix(row.key, followed_keys::kNodesPrefix))
    apply_node(name, row);
  else if (row.key == codec::version_key())
    apply_version(row);
  else if (has_prefix(row.key, followed_keys::kPartitionsPrefix))
    apply_partition(std::atoi(name.c_str()), row, announce);
}

void ReplicatedView::apply_final_record(const std::string& id, const codec::StateRow& row) {
  if (!row.final_phase) return;
  // Records of earlier builds lack the time of the end; the current time is an upper bound.
  const Ms at = row.final_at.value_or(runtime_.wall_clock_now());
  add_final_state(id, {.phase = *row.final_phase, .revision = row.revision, .at = at});
}

void ReplicatedView::apply_machine(const std::string& id, const codec::StateRow& row,
                                   bool announce) {
  if (is_stale(view_.machines, id, row)) return;
  if (row.deleted)
    view_.machines.erase(id);
  else if (row.machine)
    view_.machines[id] = {.record = *row.machine, .revision = row.revision};
  if (announce) events_.machine_changed(id);
}

void ReplicatedView::apply_partition(int partition, const codec::StateRow& row, bool announce) {
  if (is_stale(view_.partitions, partition, row)) return;
  if (row.deleted) {
    view_.partitions.erase(partition);
  } else if (row.partition) {
    view_.partitions[partition] = {.leader = row.partition->leader,
                                   .revision = row.revision,
                                   .lease_id = row.partition->lease_id};
  }
  if (announce) events_.partition_changed(partition);
}

void ReplicatedView::apply_node(const std::string& name, const codec::StateRow& row) {
  if (is_stale(view_.nodes, name, row)) return;
  if (row.deleted) {
    view_.nodes.erase(name);
    return;
  }
  if (!row.node) return;
  // A rewrite of the record under the same lease only changes the acting version, so the time at
  // which the controller was first seen is kept.
  const auto previous = view_.nodes.find(name);
  const bool same_lease = previous != view_.nodes.end() &&
                          previous->second.record.boot_id == row.node->boot_id &&
                          previous->second.record.lease_id == row.node->lease_id;
  const Ms first_seen = same_lease ? previous->second.first_seen : runtime_.now();
  view_.nodes[name] = {.record = *row.node, .revision = row.revision, .first_seen = first_seen};
}

void ReplicatedView::apply_version(const codec::StateRow& row) {
  if (view_.cluster.revision >= row.revision) return;
  if (row.deleted) {
    view_.cluster = {};
    view_.version_record.reset();
    return;
  }
  view_.version_record = row.version;
  view_.cluster.revision = row.revision;
  view_.cluster.version = std::nullopt;
  if (row.version) view_.cluster.version = row.version->version;
}

// Puts are applied before deletes, so that the final record of a job is in the view when its open
// record is removed.
void ReplicatedView::apply_commit(const std::vector<codec::Write>& writes,
                                  std::uint64_t store_revision) {
  for (const bool deletes_only : {false, true}) {
    for (const auto& write : writes) {
      const bool is_delete = write.value.empty();
      if (is_delete != deletes_only ||
          !followed_keys::has_prefix(write.key, followed_keys::kCommonPrefix))
        continue;
      const std::string text = codec::stored_row(write.key, write.value, store_revision);
      if (const auto row = codec::parse_row(text)) apply(*row, true);
    }
  }
}

// ------------------------------------------------------------------------------ open jobs

void ReplicatedView::apply_job(const std::string& id, const codec::StateRow& row, bool announce) {
  if (row.deleted)
    close_job(id, row.revision, announce);
  else if (row.job && !is_open(id) && !is_final(id))
    open_job(id, row, announce);
}

void ReplicatedView::close_job(const std::string& id, std::uint64_t revision, bool announce) {
  incomplete_jobs_.erase(id);
  const auto job = view_.jobs.find(id);
  if (job == view_.jobs.end() || job->second.revision > revision) return;
  view_.jobs.erase(job);
  view_.dependencies.remove_job(id);
  // If changes were missed, the open record may disappear although no final record was received.
  if (view_.ready && !is_final(id) && view_.dependencies.is_prerequisite(id))
    unresolved_prerequisites_.insert(id);
  if (announce) events_.job_closed(id);
  raise_events(view_.dependencies.take_effects());
}

void ReplicatedView::open_job(const std::string& id, const codec::StateRow& row, bool announce) {
  const auto chunked_prerequisites =
      prerequisite_chunks_.take_prerequisites(id, row.nonce, row.prerequisite_chunks);
  if (!chunked_prerequisites) {
    incomplete_jobs_[id] = row;
    return;
  }
  JobSpec spec = *row.job;
  spec.prerequisites.insert(spec.prerequisites.end(), chunked_prerequisites->begin(),
                            chunked_prerequisites->end());
  incomplete_jobs_.erase(id);
  unresolved_prerequisites_.erase(id);
  ClusterView::JobEntry& entry = view_.jobs[id];
  entry = {.spec = std::move(spec), .revision = row.revision, .nonce = row.nonce};
  if (!entry.spec.prerequisites.empty()) open_dependent(entry.spec, entry.revision);
  if (announce) events_.job_opened(id);
  raise_events(view_.dependencies.take_effects());
}

void ReplicatedView::open_dependent(JobSpec& spec, std::uint64_t revision) {
  std::vector<std::string> pending;
  std::vector<DependencyGraph::FinalRecord> ended;
  for (std::string& id : std::exchange(spec.prerequisites, {})) {
    const auto end = view_.final_states.find(id);
    if (end != view_.final_states.end()) {
      ended.push_back(end->second);
      continue;
    }
    if (view_.ready && !is_open(id)) unresolved_prerequisites_.insert(id);
    pending.push_back(std::move(id));
  }
  view_.dependencies.add_job(spec, revision, pending, ended);
}

void ReplicatedView::raise_events(const DependencyGraph::Effects& effects) {
  for (const auto& id : effects.ready) events_.job_ready(id);
  for (const auto& id : effects.urgency_changed)
    if (is_open(id)) events_.urgency_changed(id);
}

// ---------------------------------------------------------------------------- prerequisites

void ReplicatedView::apply_chunk(const codec::StateRow& row) {
  const auto key = codec::parse_prerequisite_key(row.key);
  if (!key) return;
  if (row.deleted) {
    prerequisite_chunks_.erase(*key);
    return;
  }
  if (!row.prerequisites) return;
  prerequisite_chunks_.add_key(*key, runtime_.now());
  if (is_open(key->job) || is_final(key->job)) return;  // the content is no longer needed
  prerequisite_chunks_.set_jobs(*key, row.prerequisites->jobs);
  const auto waiting = incomplete_jobs_.find(key->job);
  if (waiting == incomplete_jobs_.end()) return;
  const codec::StateRow job = waiting->second;  // a copy, since open_job() erases the entry
  open_job(key->job, job, view_.ready);
}

bool ReplicatedView::is_orphaned(const std::string& job, const std::string& nonce,
                                 Ms first_seen) const {
  if (is_final(job)) return true;
  const auto open = view_.jobs.find(job);
  if (open != view_.jobs.end()) return open->second.nonce != nonce;
  return !incomplete_jobs_.contains(job) && runtime_.now() - first_seen >= k::kOrphanedChunkAgeMs;
}

std::vector<std::string> ReplicatedView::orphaned_chunks(std::size_t max_count) const {
  return prerequisite_chunks_.orphaned_keys(
      max_count, [this](const std::string& job, const std::string& nonce, Ms first_seen) {
        return is_orphaned(job, nonce, first_seen);
      });
}

// --------------------------------------------------------------------------- final states

void ReplicatedView::add_final_state(const std::string& id,
                                     const DependencyGraph::FinalRecord& end) {
  unresolved_prerequisites_.erase(id);
  if (!view_.final_states.emplace(id, end).second) return;
  finished_jobs_.add({.id = id, .phase = end.phase, .revision = end.revision});
  final_states_order_.push_back(id);
  if (final_states_order_.size() > k::kMaxCachedFinalJobs) {
    view_.final_states.erase(final_states_order_.front());
    final_states_order_.pop_front();
  }
  view_.dependencies.record_final(id, end);
  raise_events(view_.dependencies.take_effects());
}

std::optional<std::vector<FinishedJob>> ReplicatedView::finished_since(
    std::uint64_t store_revision) const {
  if (!view_.ready) return std::nullopt;
  return finished_jobs_.since(store_revision);
}

// ------------------------------------------------------------------------ reports of peers

void ReplicatedView::merge_finished(const std::vector<FinishedJob>& finished) {
  for (const auto& job : finished) {
    add_final_state(
        job.id, {.phase = job.phase, .revision = job.revision, .at = runtime_.wall_clock_now()});
    apply(deleted_row(codec::job_key(job.id), job.revision), true);
  }
}

void ReplicatedView::merge_claim(int partition, const std::string& leader, std::uint64_t revision) {
  // A claim that is not newer than the view may have ended by a change that is already applied and
  // will not be delivered again.
  if (revision <= view_.store_revision) return;
  codec::StateRow claim;
  claim.key = codec::partition_key(partition);
  claim.revision = revision;
  claim.partition = codec::PartitionRecord{.leader = leader, .lease_id = 0};
  apply(claim, true);
}

}  // namespace eiderreel
