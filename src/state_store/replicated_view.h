// This node's replica of the watched keys. It follows the changes of the state store and also
// contains this node's own commits before the watch delivers them.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "codec/state_json.h"
#include "runtime/runtime.h"
#include "scheduler/dependency_graph.h"
#include "state_store/cluster_view.h"
#include "state_store/finished_jobs.h"
#include "state_store/prerequisite_chunks.h"

namespace eiderreel {

/// Keeps a ClusterView up to date and reports its changes.
class ReplicatedView {
 public:
  /// Callbacks, called after the view has changed.
  struct Events {
    using IdCallback = std::function<void(const std::string& id)>;
    IdCallback job_opened;
    IdCallback job_ready;  // the last prerequisite is done; not for jobs without prerequisites
    IdCallback job_closed;
    IdCallback urgency_changed;
    IdCallback machine_changed;
    std::function<void(int partition)> partition_changed;
  };

  explicit ReplicatedView(Runtime& runtime) : runtime_(runtime) {}
  /// Sets the event callbacks; must be called once.
  void start(Events events) { events_ = std::move(events); }
  /// The current view.
  const ClusterView& view() const { return view_; }

  /// Begins to load all keys at `store_revision`. Clears the history of finished jobs, which may
  /// lack those that ended in missed changes.
  void begin_load(std::uint64_t store_revision);
  /// Removes the entries whose keys are missing from the complete list of keys.
  void remove_missing(const std::set<std::string>& listed_keys, std::uint64_t store_revision);
  /// Records that all changes up to `store_revision` are applied.
  void mark_applied(std::uint64_t store_revision);
  /// Applies the row of a key. A row may arrive twice or, from this node's own commits, ahead of
  /// earlier changes: an older revision is ignored, and a final job is never reopened. `announce`:
  /// whether events are raised for the change.
  void apply(const codec::StateRow& row, bool announce);
  /// Applies the writes of a durable transaction of this node.
  void apply_commit(const std::vector<codec::Write>& writes, std::uint64_t store_revision);

  /// Prerequisites of open jobs that have neither an open nor a final record in the view. Their
  /// final records must be read; see StoreReader::read_final_records.
  const std::set<std::string>& unresolved_prerequisites() const {
    return unresolved_prerequisites_;
  }
  /// Whether any direct or transitive prerequisite of the job is unresolved.
  bool has_unresolved_prerequisite(const std::string& id) const {
    return view_.dependencies.depends_on(id, unresolved_prerequisites_);
  }
  /// Keys of prerequisite chunks that belong to no open job, at most `max_count`.
  std::vector<std::string> orphaned_chunks(std::size_t max_count) const;
  /// All jobs that ended after `store_revision`, or nullopt if the history of this node is
  /// incomplete.
  std::optional<std::vector<FinishedJob>> finished_since(std::uint64_t store_revision) const;
  /// Merges ended jobs that a peer reported.
  void merge_finished(const std::vector<FinishedJob>& finished);
  /// Merges a partition claim that a peer reported. A claim that is not newer than the view is
  /// ignored.
  void merge_claim(int partition, const std::string& leader, std::uint64_t revision);
  /// Removes the entry of a node whose lease was revoked.
  void remove_node(const std::string& node) { view_.nodes.erase(node); }

 private:
  std::vector<std::string> view_keys() const;
  void apply_chunk(const codec::StateRow& row);
  void apply_final_record(const std::string& id, const codec::StateRow& row);
  void apply_machine(const std::string& id, const codec::StateRow& row, bool announce);
  void apply_node(const std::string& name, const codec::StateRow& row);
  void apply_version(const codec::StateRow& row);
  void apply_partition(int partition, const codec::StateRow& row, bool announce);
  void apply_job(const std::string& id, const codec::StateRow& row, bool announce);
  void close_job(const std::string& id, std::uint64_t revision, bool announce);
  void open_job(const std::string& id, const codec::StateRow& row, bool announce);
  void open_dependent(JobSpec& spec, std::uint64_t revision);
  void add_final_state(const std::string& id, const DependencyGraph::FinalRecord& end);
  bool is_final(const std::string& id) const { return view_.final_states.contains(id); }
  bool is_open(const std::string& id) const { return view_.jobs.contains(id); }
  bool is_orphaned(const std::string& job, const std::string& nonce, Ms first_seen) const;
  void find_unresolved_prerequisites();
  void raise_events(const DependencyGraph::Effects& effects);

  Runtime& runtime_;
  Events events_;
  ClusterView view_;
  std::list<std::string> final_states_order_;  // keys of view_.final_states, oldest first
  FinishedJobs finished_jobs_;
  std::set<std::string> unresolved_prerequisites_;
  PrerequisiteChunks prerequisite_chunks_;
  std::map<std::string, codec::StateRow> incomplete_jobs_;  // jobs with missing prerequisite chunks
};

}  // namespace eiderreel
