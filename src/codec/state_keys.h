// Keys of the state store. Every controller watches all keys under `e/`; keys under `d/` (progress,
// that is finished tasks) are read at failover only.
#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "codec/state_records.h"

namespace eiderreel::codec {

/// The key of the cluster version.
std::string version_key();
/// The prefix of the keys that are watched where cluster versions are enabled.
std::string version_prefix();
/// The prefix of the progress of all partitions.
std::string all_progress_prefix();
/// The key of the claim of a partition's leader.
std::string partition_key(int partition);
/// The key of a machine's record, which says to which partition it is assigned.
std::string machine_key(const std::string& id);
/// The key of a controller's record about itself.
std::string node_key(const std::string& name);
/// The key of an accepted job's record.
std::string job_key(const std::string& id);
/// The key of a job's final record.
std::string final_key(const std::string& id);
/// The prefix of the progress of a partition's jobs.
std::string progress_prefix(int partition);
/// The key of the progress of a range of a job's tasks.
std::string progress_key(int partition, const std::string& id, const TaskRange& range);
/// A key that sorts before the final record of this job, and after those of all lower job ids.
std::string before_final_key(const std::string& id);
/// The key of a chunk of prerequisites that do not fit into the job's record. `nonce` is that of
/// the record, so that the chunks of another attempt to accept the job are never taken for its own.
std::string prerequisite_key(const std::string& id, const std::string& nonce, std::size_t chunk);

/// The parts of the key of a prerequisite chunk.
struct PrerequisiteChunkKey {
  std::string job;
  std::string nonce;
  std::size_t chunk = 0;
};
/// Parses the key of a prerequisite chunk. Returns nothing if the key has another format.
std::optional<PrerequisiteChunkKey> parse_prerequisite_key(const std::string& key);

/// The last segment of a key.
std::string key_name(const std::string& key);
/// The id of the job whose progress is stored under a key.
std::string progress_key_job(const std::string& key);

}  // namespace eiderreel::codec
