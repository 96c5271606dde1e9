#include "state_store/replicated_view.h"

#include <cstdlib>
#include <utility>

namespace eiderreel {
namespace {

namespace k = constants;

bool under(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

void ReplicatedView::begin_load(std::uint64_t store_revision) {
  finished_complete_from_ = store_revision;
  finished_.clear();
}

void ReplicatedView::applied_up_to(std::uint64_t store_revision) {
  view_.store_revision = store_revision;
  if (std::exchange(view_.ready, true)) return;
  find_unresolved();
}

void ReplicatedView::remove_missing(const std::set<std::string>& loaded,
                                    std::uint64_t store_revision) {
  auto is_missing = [&](const std::string& key) { return !loaded.count(key); };
  std::vector<std::string> missing;
  for (const auto& [id, e] : view_.jobs)
    if (is_missing(codec::job_key(id))) missing.push_back(codec::job_key(id));
  for (const auto& [id, e] : view_.machines)
    if (is_missing(codec::machine_key(id))) missing.push_back(codec::machine_key(id));
  for (const auto& [id, e] : view_.nodes)
    if (is_missing(codec::node_key(id))) missing.push_back(codec::node_key(id));
  for (const auto& [id, e] : view_.partitions)
    if (is_missing(codec::partition_key(id))) missing.push_back(codec::partition_key(id));
  if (view_.cluster.revision != 0 && is_missing(codec::version_key()))
    missing.push_back(codec::version_key());
  for (const auto& [list, chunks] : prerequisite_chunks_)
    for (const auto& [number, chunk] : chunks) {
      const std::string key = codec::prerequisite_key(list.first, list.second, number);
      if (is_missing(key)) missing.push_back(key);
    }
  for (const auto& key : missing) {
    codec::StateRow r;
    r.key = key;
    r.deleted = true;
    r.revision = store_revision;
    apply(r, true);
  }
}

void ReplicatedView::remember_final(const std::string& id, const DependencyGraph::End& end) {
  unresolved_.erase(id);
  if (!view_.finals.emplace(id, end).second) return;
  finished_.push_back({id, end.phase, end.revision});
  if (finished_.size() > k::kFinishedKept) {
    finished_complete_from_ = std::max(finished_complete_from_, finished_.front().revision);
    finished_.pop_front();
  }
  final_order_.push_back(id);
  if (final_order_.size() > k::kFinalCache) {
    view_.finals.erase(final_order_.front());
    final_order_.pop_front();
  }
  view_.dependencies.end(id, end);
  publish(view_.dependencies.take_effects());
}

void ReplicatedView::publish(const DependencyGraph::Effects& effects) {
  for (const auto& id : effects.ready) events_.job_ready(id);
  for (const auto& id : effects.urgency_changed)
    if (view_.jobs.count(id)) events_.urgency_changed(id);
}

// Once everything is loaded, what is known of no prerequisite will be told by no later change.
void ReplicatedView::find_unresolved() {
  for (const auto& id : view_.dependencies.prerequisites())
    if (!view_.jobs.count(id)) unresolved_.insert(id);
}

std::optional<std::vector<FinishedJob>> ReplicatedView::finished_since(
    std::uint64_t store_revision) const {
  if (!view_.ready || store_revision < finished_complete_from_) return std::nullopt;
  std::vector<FinishedJob> out;
  for (const auto& c : finished_)
    if (c.revision > store_revision) out.push_back(c);
  return out;
}

void ReplicatedView::merge_finished(const std::vector<FinishedJob>& finished) {
  for (const auto& c : finished) {
    remember_final(c.id, {c.phase, c.revision, runtime_.wall()});
    codec::StateRow record;
    record.key = codec::job_key(c.id);
    record.deleted = true;
    record.revision = c.revision;
    apply(record, true);
  }
}

void ReplicatedView::merge_claim(int partition, const std::string& leader, std::uint64_t revision) {
  // An older claim may have ended within our view, and the changes will not tell so again.
  if (revision <= view_.store_revision) return;
  codec::StateRow claim;
  claim.key = codec::partition_key(partition);
  claim.revision = revision;
  claim.partition = codec::PartitionRecord{leader, 0};
  apply(claim, true);
}

// Rows may come twice and, from our own commits, ahead of their turn: an older revision changes
// nothing, and a final job never opens again.
void ReplicatedView::apply(const codec::StateRow& row, bool announce) {
  const std::string name = codec::key_name(row.key);
  if (under(row.key, "e/job/")) {
    apply_job(name, row, announce);
  } else if (under(row.key, "e/awaits/")) {
    apply_chunk(row);
  } else if (under(row.key, "e/final/")) {
    // Earlier builds did not write the time: it is not later than its telling.
    if (row.final_phase)
      remember_final(name,
                     {*row.final_phase, row.revision, row.final_at.value_or(runtime_.wall())});
  } else if (under(row.key, "e/machine/")) {
    auto& m = view_.machines;
    auto it = m.find(name);
    if (it != m.end() && it->second.revision >= row.revision) return;
    if (row.deleted)
      m.erase(name);
    else if (row.machine)
      m[name] = {*row.machine, row.revision};
    if (announce) events_.machine_changed(name);
  } else if (under(row.key, "e/node/")) {
    apply_node(name, row);
  } else if (row.key == codec::version_key()) {
    apply_version(row);
  } else if (under(row.key, "e/part/")) {
    const int partition = std::atoi(name.c_str());
    auto it = view_.partitions.find(partition);
    if (it != view_.partitions.end() && it->second.revision >= row.revision) return;
    if (row.deleted)
      view_.partitions.erase(partition);
    else if (row.partition)
      view_.partitions[partition] = {row.partition->leader, row.revision, row.partition->lease_id};
    if (announce) events_.partition_changed(partition);
  }
}

void ReplicatedView::apply_node(const std::string& name, const codec::StateRow& row) {
  const auto known = view_.nodes.find(name);
  if (known != view_.nodes.end() && known->second.revision >= row.revision) return;
  if (row.deleted) {
    view_.nodes.erase(name);
    return;
  }
  if (!row.node) return;
  // Under the same lease it has been there all the time, and only names another version now.
  const bool same_lease = known != view_.nodes.end() &&
                          known->second.record.boot == row.node->boot &&
                          known->second.record.lease_id == row.node->lease_id;
  const Ms seen = same_lease ? known->second.seen : runtime_.now();
  view_.nodes[name] = {*row.node, row.revision, seen};
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

void ReplicatedView::apply_job(const std::string& id, const codec::StateRow& row, bool announce) {
  auto it = view_.jobs.find(id);
  if (!row.deleted) {
    if (row.job && it == view_.jobs.end() && !view_.finals.count(id)) open_job(id, row, announce);
    return;
  }
  incomplete_.erase(id);
  if (it == view_.jobs.end() || it->second.revision > row.revision) return;
  view_.jobs.erase(it);
  view_.dependencies.close(id);
  // After changes were missed its record may be gone without a word of its end.
  if (view_.ready && !view_.finals.count(id) && view_.dependencies.is_prerequisite(id))
    unresolved_.insert(id);
  if (announce) events_.job_closed(id);
  publish(view_.dependencies.take_effects());
}

void ReplicatedView::open_job(const std::string& id, const codec::StateRow& row, bool announce) {
  codec::StateRow whole = row;
  if (!collect_chunks(id, whole)) {
    incomplete_[id] = row;
    return;
  }
  incomplete_.erase(id);
  unresolved_.erase(id);
  ClusterView::JobEntry& entry = view_.jobs[id];
  entry = {std::move(*whole.job), whole.revision, whole.nonce};
  if (!entry.spec.prerequisites.empty()) open_dependent(entry.spec, whole.revision);
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
    if (view_.ready && !view_.jobs.count(id)) unresolved_.insert(id);
    pending.push_back(std::move(id));
  }
  view_.dependencies.open(spec, revision, pending, ended);
}

// ------------------------------------------------------------- prerequisites in several values

// Adds the prerequisites that stand in values of their own; false while some are not here yet.
bool ReplicatedView::collect_chunks(const std::string& id, codec::StateRow& row) {
  if (row.prerequisite_chunks == 0) return true;
  const auto chunks = prerequisite_chunks_.find({id, row.nonce});
  if (chunks == prerequisite_chunks_.end() || chunks->second.size() < row.prerequisite_chunks)
    return false;
  auto& prerequisites = row.job->prerequisites;
  for (auto& [number, chunk] : chunks->second) {
    prerequisites.insert(prerequisites.end(), chunk.jobs.begin(), chunk.jobs.end());
    chunk.jobs = {};
  }
  return true;
}

void ReplicatedView::apply_chunk(const codec::StateRow& row) {
  const auto key = codec::parse_prerequisite_key(row.key);
  if (!key) return;
  const PrerequisiteListKey spread{key->job, key->nonce};
  if (row.deleted) {
    auto chunks = prerequisite_chunks_.find(spread);
    if (chunks == prerequisite_chunks_.end()) return;
    chunks->second.erase(key->chunk);
    if (chunks->second.empty()) prerequisite_chunks_.erase(chunks);
    return;
  }
  if (!row.prerequisites) return;
  PrerequisiteChunkEntry& chunk = prerequisite_chunks_[spread][key->chunk];
  if (chunk.seen == 0) chunk.seen = runtime_.now();
  if (view_.jobs.count(key->job) || view_.finals.count(key->job)) return;  // of no more use
  chunk.jobs = row.prerequisites->jobs;
  if (const auto waiting = incomplete_.find(key->job); waiting != incomplete_.end())
    open_job(key->job, codec::StateRow(waiting->second), view_.ready);
}

bool ReplicatedView::is_orphaned(const PrerequisiteListKey& key,
                                 const PrerequisiteChunkEntry& chunk) const {
  const auto& [id, nonce] = key;
  if (view_.finals.count(id)) return true;
  const auto job = view_.jobs.find(id);
  if (job != view_.jobs.end()) return job->second.nonce != nonce;
  return !incomplete_.count(id) && runtime_.now() - chunk.seen >= k::kOrphanedChunksMs;
}

std::vector<std::string> ReplicatedView::orphaned_chunks(std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [key, chunks] : prerequisite_chunks_)
    for (auto chunk = chunks.rbegin(); chunk != chunks.rend(); ++chunk) {
      if (out.size() == most) return out;
      if (is_orphaned(key, chunk->second))
        out.push_back(codec::prerequisite_key(key.first, key.second, chunk->first));
    }
  return out;
}

// -------------------------------------------------------------------------------- own commits

void ReplicatedView::apply_commit(const std::vector<codec::Write>& writes,
                                  std::uint64_t store_revision) {
  // Puts first: the final record of a job must be known when its record goes.
  for (bool deletes : {false, true}) {
    for (const auto& w : writes) {
      if (w.value.empty() != deletes || !under(w.key, "e/")) continue;
      std::string text = codec::stored_row(w.key, w.value, store_revision);
      if (auto row = codec::parse_row(text)) apply(*row, true);
    }
  }
}

}  // namespace eiderreel
