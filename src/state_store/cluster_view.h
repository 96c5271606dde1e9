// What a controller knows of the cluster: the followed keys of the state store, by their kind.
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

/// What the followed keys say. Read by the other actors, changed by the state store client alone.
/// The revision of an entry is that of the last change of its key.
struct ClusterView {
  /// A partition that is led.
  struct PartitionEntry {
    std::string leader;
    std::uint64_t revision = 0;
    std::uint64_t lease_id = 0;
  };
  /// A machine that belongs to a partition, or is to be returned.
  struct MachineEntry {
    codec::MachineRecord record;
    std::uint64_t revision = 0;
  };
  /// A controller whose lease is alive.
  struct NodeEntry {
    codec::NodeRecord record;
    std::uint64_t revision = 0;
    Ms seen = 0;  // since when it has been there under this lease, by our clock
  };
  /// An open job.
  struct JobEntry {
    JobSpec spec;  // its prerequisites are kept by the dependency graph alone
    std::uint64_t revision = 0;
    std::string nonce;  // of its record
  };

  bool ready = false;                // every key has been loaded
  std::uint64_t store_revision = 0;  // all changes up to here are in
  std::map<int, PartitionEntry> partitions;
  std::map<std::string, MachineEntry> machines;
  std::map<std::string, NodeEntry> nodes;
  std::unordered_map<std::string, JobEntry> jobs;
  upgrade::ClusterState cluster;  // followed where cluster versions are enabled
  std::optional<codec::VersionRecord> version_record;  // the step that led there
  DependencyGraph dependencies;                        // of the open jobs that have prerequisites
  // Ends of jobs, the most recent ones. Of a job that is missing here, the end is read from the
  // state store; it is never assumed that there is none.
  std::unordered_map<std::string, DependencyGraph::FinalRecord> finals;
};

}  // namespace eiderreel
