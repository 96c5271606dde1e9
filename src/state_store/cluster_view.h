// A controller's view of the cluster: the watched keys of the state store, grouped by kind.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "codec/state_json.h"
#include "constants.h"
#include "model/job.h"
#include "scheduler/dependency_graph.h"
#include "versioning/acting_version.h"

namespace eiderreel {

/// The decoded values of the watched keys. Other components only read it; the state store client is
/// its only writer. The revision of an entry is the store revision of the last change of its key.
struct ClusterView {
  /// A partition that has a leader.
  struct PartitionEntry {
    std::string leader;
    std::uint64_t revision = 0;
    std::uint64_t lease_id = 0;
  };
  /// A machine that is assigned to a partition or is about to be returned to the cloud.
  struct MachineEntry {
    codec::MachineRecord record;
    std::uint64_t revision = 0;
  };
  /// A controller whose lease has not expired.
  struct NodeEntry {
    codec::NodeRecord record;
    std::uint64_t revision = 0;
    Ms first_seen = 0;  // local steady time when its record under this lease first appeared
  };
  /// An open job.
  struct JobEntry {
    JobSpec spec;  // without its prerequisites, which only the dependency graph stores
    std::uint64_t revision = 0;
    std::string nonce;  // of the job's record
  };

  bool ready = false;                // all watched keys have been loaded
  std::uint64_t store_revision = 0;  // all changes up to this revision are applied
  std::map<int, PartitionEntry> partitions;
  std::map<std::string, MachineEntry> machines;
  std::map<std::string, NodeEntry> nodes;
  std::unordered_map<std::string, JobEntry> jobs;
  upgrade::ClusterState cluster;                       // kept only if cluster versions are enabled
  std::optional<codec::VersionRecord> version_record;  // the record of the last version change
  DependencyGraph dependencies;                        // open jobs that have prerequisites
  // Final states of the most recently ended jobs. A job that is missing from this map may still
  // have ended: its final record must be read from the state store.
  std::unordered_map<std::string, DependencyGraph::FinalRecord> final_states;
};

}  // namespace eiderreel
