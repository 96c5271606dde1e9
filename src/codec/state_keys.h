// The keys of the state store. All under `e/` is followed by every node; `d/` (done tasks) is read
// at failover only.
#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "codec/state_records.h"

namespace eiderreel::codec {

/// The cluster version.
std::string version_key();
/// The keys that are followed where cluster versions are enabled.
std::string version_prefix();
/// The progress of all partitions.
std::string all_progress_prefix();
/// The claim of a partition's leader.
std::string partition_key(int partition);
/// The partition to which a machine is assigned.
std::string machine_key(const std::string& id);
/// What a controller says of itself.
std::string node_key(const std::string& name);
/// The record of an accepted job.
std::string job_key(const std::string& id);
/// The record of a job's end.
std::string final_key(const std::string& id);
/// The progress of a partition's jobs.
std::string done_prefix(int partition);
/// The progress of some tasks of a job.
std::string done_key(int partition, const std::string& id, const TaskRange& range);
/// The last key that comes before the final record of this job.
std::string before_final_key(const std::string& id);
/// Where the prerequisites of a job are kept that do not fit into its record; the nonce is the
/// record's, so that chunks of another try are never taken for its own.
std::string prerequisite_key(const std::string& id, const std::string& nonce, std::size_t chunk);

/// The parts of such a key.
struct PrerequisiteChunkKey {
  std::string job;
  std::string nonce;
  std::size_t chunk = 0;
};
/// Nothing: the key has not this form.
std::optional<PrerequisiteChunkKey> parse_prerequisite_key(const std::string& key);

/// The last segment of a key.
std::string key_name(const std::string& key);
/// The job whose progress is kept under a key.
std::string done_key_job(const std::string& key);

}  // namespace eiderreel::codec
