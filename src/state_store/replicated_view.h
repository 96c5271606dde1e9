// What this node knows of the keys under `e/`: a replica that follows the state store, and is
// ahead of it by this node's own commits.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "codec/state_json.h"
#include "runtime/runtime.h"
#include "scheduler/dependency_graph.h"
#include "versioning/acting_version.h"

namespace eiderreel {

// What the followed keys say. Read by the other actors, changed by the state store client alone.
struct ClusterView {
  struct PartitionEntry {
    std::string leader;
    std::uint64_t revision = 0, lease_id = 0;
  };
  struct MachineEntry {
    codec::MachineRecord record;
    std::uint64_t revision = 0;
  };
  struct NodeEntry {
    codec::NodeRecord record;
    std::uint64_t revision = 0;
    Ms seen = 0;
  };
  struct JobEntry {
    JobSpec spec;  // its prerequisites are kept by the dependency graph alone
    std::uint64_t revision = 0;
    std::string nonce;  // of its record
  };
  bool ready = false;
  std::uint64_t store_revision = 0;  // all changes up to here are in
  std::map<int, PartitionEntry> partitions;
  std::map<std::string, MachineEntry> machines;
  std::map<std::string, NodeEntry> nodes;
  std::unordered_map<std::string, JobEntry> jobs;
  upgrade::ClusterState cluster;  // followed where cluster versions are enabled
  std::optional<codec::VersionRecord> version_record;  // the step that led there
  DependencyGraph dependencies;                        // of the open jobs that have prerequisites
  // Ends of jobs, the most recent ones; a missing one is read, never taken for unknown.
  std::unordered_map<std::string, DependencyGraph::End> finals;
};

class ReplicatedView {
 public:
  struct Events {
    using OfId = std::function<void(const std::string& id)>;
    // A job is ready when its last prerequisite is done, and not only opened.
    OfId job_opened, job_ready, job_closed, urgency_changed, machine_changed;
    std::function<void(int partition)> partition_changed;
  };

  explicit ReplicatedView(Runtime& runtime) : runtime_(runtime) {}
  void start(Events events) { events_ = std::move(events); }
  const ClusterView& view() const { return view_; }

  // Keys are listed anew: which jobs ended since the changes that were missed is not known.
  void begin_load(std::uint64_t store_revision);
  // What an earlier view had and the list has not is gone.
  void remove_missing(const std::set<std::string>& loaded, std::uint64_t store_revision);
  // All changes up to here are in.
  void applied_up_to(std::uint64_t store_revision);
  void apply(const codec::StateRow& row, bool announce);
  void apply_commit(const std::vector<codec::Write>& writes, std::uint64_t store_revision);
  void remember_final(const std::string& id, const DependencyGraph::End& end);
  // Prerequisites of open jobs of which neither a record nor an end is known here. Their ends are
  // to be read; see `StateStoreClient::read_ends`.
  const std::set<std::string>& unresolved() const { return unresolved_; }
  // Whether it is not known what became of a job that this one needs, directly or through others.
  bool is_unresolved(const std::string& id) const {
    return view_.dependencies.depends_on(id, unresolved_);
  }
  // Keys of spread prerequisites that belong to no open job.
  std::vector<std::string> orphaned_chunks(std::size_t most) const;
  // All jobs that this node knows to have ended after `store_revision`; nullopt when it cannot
  // tell.
  std::optional<std::vector<FinishedJob>> finished_since(std::uint64_t store_revision) const;
  // What a peer knows to be over is over in our view too.
  void merge_finished(const std::vector<FinishedJob>& finished);
  // A peer has claimed a partition after all changes that our view has.
  void merge_claim(int partition, const std::string& leader, std::uint64_t revision);
  // An earlier process of this node has ended its lease.
  void forget_node(const std::string& node) { view_.nodes.erase(node); }

 private:
  struct PrerequisiteChunkEntry {
    std::vector<std::string> jobs;
    Ms seen = 0;
  };
  using PrerequisiteListKey = std::pair<std::string, std::string>;  // job and nonce

  void apply_job(const std::string& id, const codec::StateRow& row, bool announce);
  void apply_chunk(const codec::StateRow& row);
  void apply_node(const std::string& name, const codec::StateRow& row);
  void apply_version(const codec::StateRow& row);
  void open_job(const std::string& id, const codec::StateRow& row, bool announce);
  void open_dependent(JobSpec& spec, std::uint64_t revision);
  bool collect_chunks(const std::string& id, codec::StateRow& row);
  bool is_orphaned(const PrerequisiteListKey& key, const PrerequisiteChunkEntry& chunk) const;
  void find_unresolved();
  void publish(const DependencyGraph::Effects& effects);

  Runtime& runtime_;
  Events events_;
  ClusterView view_;
  std::list<std::string> final_order_;
  // Jobs that ended, as they were learnt; whole for all that ended after `closed_from_`.
  std::deque<FinishedJob> finished_;
  std::uint64_t finished_complete_from_ = 0;
  std::set<std::string> unresolved_;
  std::map<PrerequisiteListKey, std::map<std::size_t, PrerequisiteChunkEntry>> prerequisite_chunks_;
  std::map<std::string, codec::StateRow> incomplete_;  // jobs that lack some of their partitions
};

}  // namespace eiderreel
