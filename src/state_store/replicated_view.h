// What this node knows of the followed keys: a replica that follows the state store, and is ahead
// of it by this node's own commits.
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

/// Keeps a ClusterView up to date, and tells of its changes.
class ReplicatedView {
 public:
  /// Called after the view has changed.
  struct Events {
    using OfId = std::function<void(const std::string& id)>;
    OfId job_opened;
    OfId job_ready;  // its last prerequisite is done; not told of a job without prerequisites
    OfId job_closed;
    OfId urgency_changed;
    OfId machine_changed;
    std::function<void(int partition)> partition_changed;
  };

  explicit ReplicatedView(Runtime& runtime) : runtime_(runtime) {}
  /// Sets who is told of changes; to be called once.
  void start(Events events) { events_ = std::move(events); }
  /// What is known now.
  const ClusterView& view() const { return view_; }

  /// Keys are listed anew: which jobs ended since the changes that were missed is not known.
  void begin_load(std::uint64_t store_revision);
  /// What an earlier view had and the list has not is gone.
  void remove_missing(const std::set<std::string>& loaded, std::uint64_t store_revision);
  /// All changes up to here are in.
  void applied_up_to(std::uint64_t store_revision);
  /// Applies the row of a key. Rows may come twice and, from our own commits, ahead of their turn:
  /// an older revision changes nothing, and a final job never opens again. `announce`: whether
  /// events tell of it.
  void apply(const codec::StateRow& row, bool announce);
  /// Applies a transaction of our own that is durable.
  void apply_commit(const std::vector<codec::Write>& writes, std::uint64_t store_revision);

  /// Prerequisites of open jobs of which neither a record nor an end is known here. Their ends are
  /// to be read; see StoreReader::read_ends.
  const std::set<std::string>& unresolved() const { return unresolved_; }
  /// Whether it is not known what became of a job that this one needs, directly or through others.
  bool is_unresolved(const std::string& id) const {
    return view_.dependencies.depends_on(id, unresolved_);
  }
  /// Keys of prerequisite chunks that belong to no open job, `most` of them.
  std::vector<std::string> orphaned_chunks(std::size_t most) const;
  /// All jobs that this node knows to have ended after `store_revision`; nullopt when it cannot
  /// tell.
  std::optional<std::vector<FinishedJob>> finished_since(std::uint64_t store_revision) const;
  /// What a peer knows to be over is over in our view too.
  void merge_finished(const std::vector<FinishedJob>& finished);
  /// A peer has claimed a partition. A claim within the changes that our view has is ignored.
  void merge_claim(int partition, const std::string& leader, std::uint64_t revision);
  /// An earlier process of this node has ended its lease.
  void forget_node(const std::string& node) { view_.nodes.erase(node); }

 private:
  std::vector<std::string> known_keys() const;
  void apply_chunk(const codec::StateRow& row);
  void apply_final(const std::string& id, const codec::StateRow& row);
  void apply_machine(const std::string& id, const codec::StateRow& row, bool announce);
  void apply_node(const std::string& name, const codec::StateRow& row);
  void apply_version(const codec::StateRow& row);
  void apply_partition(int partition, const codec::StateRow& row, bool announce);
  void apply_job(const std::string& id, const codec::StateRow& row, bool announce);
  void close_job(const std::string& id, std::uint64_t revision, bool announce);
  void open_job(const std::string& id, const codec::StateRow& row, bool announce);
  void open_dependent(JobSpec& spec, std::uint64_t revision);
  void remember_final(const std::string& id, const DependencyGraph::FinalRecord& end);
  bool is_final(const std::string& id) const { return view_.finals.contains(id); }
  bool is_open(const std::string& id) const { return view_.jobs.contains(id); }
  bool is_orphaned(const std::string& job, const std::string& nonce, Ms seen) const;
  void find_unresolved();
  void publish(const DependencyGraph::Effects& effects);

  Runtime& runtime_;
  Events events_;
  ClusterView view_;
  std::list<std::string> final_order_;  // of view_.finals, the oldest first
  FinishedJobs finished_;
  std::set<std::string> unresolved_;
  PrerequisiteChunks prerequisite_chunks_;
  std::map<std::string, codec::StateRow> incomplete_;  // jobs that lack some of their chunks
};

}  // namespace eiderreel
