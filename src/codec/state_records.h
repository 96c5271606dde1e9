// The records that controllers keep in the state store. Their fields on the wire are listed in
// wire_names.h; "Controller nodes -> state service" in the protocol tells what a store does.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/job.h"
#include "versioning/cluster_version.h"

namespace eiderreel::codec {

/// The claim of the controller that leads a partition; it goes with the controller's lease.
struct PartitionRecord {
  std::string leader;
  std::uint64_t lease_id = 0;
};

/// The partition to which a machine is assigned, and what the partition has to know of it.
struct MachineRecord {
  int partition = -1;  // -1: released, to be returned
  std::string type;
  std::string zone;
  std::string addr;  // IP:PORT of its worker
  bool spot = false;
};

/// What a controller says of itself; it goes with the controller's lease.
struct NodeRecord {
  std::string boot;  // a name for one run of the process
  std::uint64_t lease_id = 0;
  std::uint64_t features =
      0;  // see constants::kBuildFeatureBits; 0: a build from before there were any
  // Nothing: a build from before cluster versions, or one that takes no part in them.
  std::optional<upgrade::BuildVersions> versions = std::nullopt;
};

/// The finished tasks of a job, in one range of its tasks.
struct DoneRecord {
  std::vector<std::uint32_t> tasks;
  upgrade::ProgressForm form = upgrade::ProgressForm::bits;
};

/// The durable cluster version, and the step that led to it.
struct VersionRecord {
  upgrade::ClusterVersion version = upgrade::kFirstVersion;
  upgrade::ClusterVersion from = upgrade::kFirstVersion;
  Ms at = 0;            // time of day
  std::string who;      // asked for the step
  std::string request;  // its name, chosen by who asked
};

/// Prerequisites of a job that names more than fit into its record.
struct PrerequisiteChunk {
  std::vector<std::string> jobs;
};

/// Tasks of a job whose progress shares a value. A job with more tasks than fit into one has
/// several.
struct TaskRange {
  std::uint32_t first = 0;
  std::uint32_t count = 0;
  bool whole = false;  // all tasks of the job, however many; compact progress only
  bool operator<(const TaskRange& other) const { return first < other.first; }
};

/// The range that holds a task of a job with so many, for values of at most so many bytes.
TaskRange progress_range(std::uint32_t task, std::uint32_t tasks, std::size_t value_bytes);

/// The value of a record. The nonce tells a write of one's own from those of others.
std::string encode(const PartitionRecord& record, const std::string& nonce);
/// The value of a machine.
std::string encode(const MachineRecord& record, const std::string& nonce);
/// The value of a controller.
std::string encode(const NodeRecord& record, const std::string& nonce);
/// The value of a chunk of prerequisites.
std::string encode(const PrerequisiteChunk& record, const std::string& nonce);
/// The value of the cluster version.
std::string encode(const VersionRecord& record, const std::string& nonce);
/// The record of an accepted job, with all of its prerequisites.
std::string encode(const JobSpec& spec, const std::string& nonce);
/// The record of a job whose prerequisites stand in so many values of their own.
std::string encode_with_chunks(const JobSpec& spec, std::size_t chunks, const std::string& nonce);
/// The record of a job's end.
std::string encode_final(JobPhase phase, Ms at, const std::string& nonce);
/// The finished tasks of a range, in ascending order.
std::string encode_done(const std::vector<std::uint32_t>& tasks, const TaskRange& range,
                        upgrade::ProgressForm form, const std::string& nonce);

}  // namespace eiderreel::codec
