// Records that controllers keep in the state store. wire_names.h lists their field names; the
// section "Controller nodes -> state service" of the protocol describes the state store.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/job.h"
#include "versioning/cluster_version.h"

namespace eiderreel::codec {

/// The claim of the controller that leads a partition. It is deleted when the controller's lease
/// ends.
struct PartitionRecord {
  std::string leader;
  std::uint64_t lease_id = 0;
};

/// The partition to which a machine is assigned, and the properties of the machine that the
/// partition's leader needs.
struct MachineRecord {
  int partition = -1;  // -1: released, to be returned to the cloud
  std::string type;
  std::string zone;
  std::string addr;  // IP:PORT of the worker
  bool spot = false;
};

/// The record that a controller publishes about itself. It is deleted when the controller's lease
/// ends.
struct NodeRecord {
  std::string boot_id;  // id of one run of the process
  std::uint64_t lease_id = 0;
  std::uint64_t features = 0;  // bit set, see constants::kFeatures; 0: the build predates features
  // Empty if the build predates cluster versions, or the controller does not take part in them.
  std::optional<upgrade::BuildVersions> versions = std::nullopt;
};

/// The finished tasks within one range of a job's tasks.
struct ProgressRecord {
  std::vector<std::uint32_t> tasks;
  upgrade::ProgressForm form = upgrade::ProgressForm::bits;
};

/// The stored cluster version, and the upgrade step that set it.
struct VersionRecord {
  upgrade::ClusterVersion version = upgrade::kFirstVersion;
  upgrade::ClusterVersion previous_version = upgrade::kFirstVersion;
  Ms at = 0;                 // wall clock
  std::string requested_by;  // operator or automation that requested the step
  std::string request_id;    // id of the request, chosen by the requester
};

/// Some of the prerequisites of a job whose prerequisites do not fit into its record.
struct PrerequisiteChunk {
  std::vector<std::string> jobs;
};

/// A range of a job's tasks whose progress is stored in one value. A job with more tasks than fit
/// into one value has several ranges.
struct TaskRange {
  std::uint32_t first = 0;
  std::uint32_t count = 0;
  bool whole_job = false;  // true: all tasks of the job; used by the compact form only
  bool operator<(const TaskRange& other) const { return first < other.first; }
};

/// The range that contains `task` in a job of `tasks` tasks, for values of at most `value_bytes`.
TaskRange progress_range(std::uint32_t task, std::uint32_t tasks, std::size_t value_bytes);

/// Encodes a record as the value of its key: a partition leader's claim. In all records, the nonce
/// lets a writer tell its own write from those of others.
std::string encode(const PartitionRecord& record, const std::string& nonce);
/// Encodes the record of a machine.
std::string encode(const MachineRecord& record, const std::string& nonce);
/// Encodes the record of a controller.
std::string encode(const NodeRecord& record, const std::string& nonce);
/// Encodes a chunk of prerequisites.
std::string encode(const PrerequisiteChunk& record, const std::string& nonce);
/// Encodes the record of the cluster version.
std::string encode(const VersionRecord& record, const std::string& nonce);
/// Encodes the record of an accepted job, with all of its prerequisites.
std::string encode(const JobSpec& spec, const std::string& nonce);
/// Encodes the record of a job whose prerequisites are stored in `chunks` values of their own.
std::string encode_with_chunks(const JobSpec& spec, std::size_t chunks, const std::string& nonce);
/// Encodes the final record of a job.
std::string encode_final(JobPhase phase, Ms at, const std::string& nonce);
/// Encodes the finished tasks of a range. `tasks` must be in ascending order.
std::string encode_progress(const std::vector<std::uint32_t>& tasks, const TaskRange& range,
                            upgrade::ProgressForm form, const std::string& nonce);

}  // namespace eiderreel::codec
