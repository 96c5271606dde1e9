// Applies the rows of the state store to the view.
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

// Whether the entry of a map is at least as new as a row.
template <typename Map, typename Key>
bool is_outdated(const Map& entries, const Key& key, const codec::StateRow& row) {
  const auto entry = entries.find(key);
  return entry != entries.end() && entry->second.revision >= row.revision;
}

}  // namespace

// -------------------------------------------------------------------------------- loading

void ReplicatedView::begin_load(std::uint64_t store_revision) { finished_.restart(store_revision); }

void ReplicatedView::applied_up_to(std::uint64_t store_revision) {
  view_.store_revision = store_revision;
  if (!std::exchange(view_.ready, true)) find_unresolved();
}

// Once everything is loaded, what is known of no prerequisite will be told by no later change.
void ReplicatedView::find_unresolved() {
  for (const auto& id : view_.dependencies.prerequisites())
    if (!is_open(id)) unresolved_.insert(id);
}

// The key of everything in the view but ends, which are never removed.
std::vector<std::string> ReplicatedView::known_keys() const {
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

void ReplicatedView::remove_missing(const std::set<std::string>& loaded,
                                    std::uint64_t store_revision) {
  for (const auto& key : known_keys())
    if (!loaded.contains(key)) apply(deleted_row(key, store_revision), true);
}

// --------------------------------------------------------------------------------- rows

void ReplicatedView::apply(const codec::StateRow& row, bool announce) {
  using followed_keys::is_under;
  const std::string name = codec::key_name(row.key);
  if (is_under(row.key, followed_keys::kJobs))
    apply_job(name, row, announce);
  else if (is_under(row.key, followed_keys::kPrerequisiteChunks))
    apply_chunk(row);
  else if (is_under(row.key, followed_keys::kFinals))
    apply_final(name, row);
  else if (is_under(row.key, followed_keys::kMachines))
    apply_machine(name, row, announce);
  else if (is_under(row.key, followed_keys::kNodes))
    apply_node(name, row);
  else if (row.key == codec::version_key())
    apply_version(row);
  else if (is_under(row.key, followed_keys::kPartitions))
    apply_partition(std::atoi(name.c_str()), row, announce);
}

void ReplicatedView::apply_final(const std::string& id, const codec::StateRow& row) {
  if (!row.final_phase) return;
  // Earlier builds did not write the time: it is not later than now.
  const Ms at = row.final_at.value_or(runtime_.wall());
  remember_final(id, {.phase = *row.final_phase, .revision = row.revision, .at = at});
}

void ReplicatedView::apply_machine(const std::string& id, const codec::StateRow& row,
                                   bool announce) {
  if (is_outdated(view_.machines, id, row)) return;
  if (row.deleted)
    view_.machines.erase(id);
  else if (row.machine)
    view_.machines[id] = {.record = *row.machine, .revision = row.revision};
  if (announce) events_.machine_changed(id);
}

void ReplicatedView::apply_partition(int partition, const codec::StateRow& row, bool announce) {
  if (is_outdated(view_.partitions, partition, row)) return;
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
  if (is_outdated(view_.nodes, name, row)) return;
  if (row.deleted) {
    view_.nodes.erase(name);
    return;
  }
  if (!row.node) return;
  // Under the same lease it has been there all the time, and only names another version now.
  const auto known = view_.nodes.find(name);
  const bool same_lease = known != view_.nodes.end() &&
                          known->second.record.boot_id == row.node->boot_id &&
                          known->second.record.lease_id == row.node->lease_id;
  const Ms seen = same_lease ? known->second.seen : runtime_.now();
  view_.nodes[name] = {.record = *row.node, .revision = row.revision, .seen = seen};
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

// Puts first: the final record of a job must be known when its record goes.
void ReplicatedView::apply_commit(const std::vector<codec::Write>& writes,
                                  std::uint64_t store_revision) {
  for (const bool deletes : {false, true}) {
    for (const auto& write : writes) {
      const bool is_delete = write.value.empty();
      if (is_delete != deletes || !followed_keys::is_under(write.key, followed_keys::kAll))
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
  incomplete_.erase(id);
  const auto job = view_.jobs.find(id);
  if (job == view_.jobs.end() || job->second.revision > revision) return;
  view_.jobs.erase(job);
  view_.dependencies.close(id);
  // After changes were missed its record may be gone without a word of its end.
  if (view_.ready && !is_final(id) && view_.dependencies.is_prerequisite(id))
    unresolved_.insert(id);
  if (announce) events_.job_closed(id);
  publish(view_.dependencies.take_effects());
}

void ReplicatedView::open_job(const std::string& id, const codec::StateRow& row, bool announce) {
  const auto more = prerequisite_chunks_.take(id, row.nonce, row.prerequisite_chunks);
  if (!more) {
    incomplete_[id] = row;
    return;
  }
  JobSpec spec = *row.job;
  spec.prerequisites.insert(spec.prerequisites.end(), more->begin(), more->end());
  incomplete_.erase(id);
  unresolved_.erase(id);
  ClusterView::JobEntry& entry = view_.jobs[id];
  entry = {.spec = std::move(spec), .revision = row.revision, .nonce = row.nonce};
  if (!entry.spec.prerequisites.empty()) open_dependent(entry.spec, entry.revision);
  if (announce) events_.job_opened(id);
  publish(view_.dependencies.take_effects());
}

void ReplicatedView::open_dependent(JobSpec& spec, std::uint64_t revision) {
  std::vector<std::string> pending;
  std::vector<DependencyGraph::End> ended;
  for (std::string& id : std::exchange(spec.prerequisites, {})) {
    const auto end = view_.finals.find(id);
    if (end != view_.finals.end()) {
      ended.push_back(end->second);
      continue;
    }
    if (view_.ready && !is_open(id)) unresolved_.insert(id);
    pending.push_back(std::move(id));
  }
  view_.dependencies.open(spec, revision, pending, ended);
}

void ReplicatedView::publish(const DependencyGraph::Effects& effects) {
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
  prerequisite_chunks_.note(*key, runtime_.now());
  if (is_open(key->job) || is_final(key->job)) return;  // its content is of no more use
  prerequisite_chunks_.set_jobs(*key, row.prerequisites->jobs);
  const auto waiting = incomplete_.find(key->job);
  if (waiting == incomplete_.end()) return;
  const codec::StateRow job = waiting->second;  // opening it removes it from there
  open_job(key->job, job, view_.ready);
}

bool ReplicatedView::is_orphaned(const std::string& job, const std::string& nonce, Ms seen) const {
  if (is_final(job)) return true;
  const auto open = view_.jobs.find(job);
  if (open != view_.jobs.end()) return open->second.nonce != nonce;
  return !incomplete_.contains(job) && runtime_.now() - seen >= k::kOrphanedChunksMs;
}

std::vector<std::string> ReplicatedView::orphaned_chunks(std::size_t most) const {
  return prerequisite_chunks_.orphaned(
      most, [this](const std::string& job, const std::string& nonce, Ms seen) {
        return is_orphaned(job, nonce, seen);
      });
}

// --------------------------------------------------------------------------- ends of jobs

void ReplicatedView::remember_final(const std::string& id, const DependencyGraph::End& end) {
  unresolved_.erase(id);
  if (!view_.finals.emplace(id, end).second) return;
  finished_.add({.id = id, .phase = end.phase, .revision = end.revision});
  final_order_.push_back(id);
  if (final_order_.size() > k::kFinalCache) {
    view_.finals.erase(final_order_.front());
    final_order_.pop_front();
  }
  view_.dependencies.end(id, end);
  publish(view_.dependencies.take_effects());
}

std::optional<std::vector<FinishedJob>> ReplicatedView::finished_since(
    std::uint64_t store_revision) const {
  if (!view_.ready) return std::nullopt;
  return finished_.since(store_revision);
}

// ------------------------------------------------------------------------ told by the peers

void ReplicatedView::merge_finished(const std::vector<FinishedJob>& finished) {
  for (const auto& job : finished) {
    remember_final(job.id, {.phase = job.phase, .revision = job.revision, .at = runtime_.wall()});
    apply(deleted_row(codec::job_key(job.id), job.revision), true);
  }
}

void ReplicatedView::merge_claim(int partition, const std::string& leader, std::uint64_t revision) {
  // An older claim may have ended within our view, and the changes will not tell so again.
  if (revision <= view_.store_revision) return;
  codec::StateRow claim;
  claim.key = codec::partition_key(partition);
  claim.revision = revision;
  claim.partition = codec::PartitionRecord{.leader = leader, .lease_id = 0};
  apply(claim, true);
}

}  // namespace eiderreel
