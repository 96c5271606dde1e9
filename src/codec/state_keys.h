// The keys of the state store.
#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "codec/state_records.h"

namespace eiderreel::codec {

// Keys. All under `e/` is followed by every node; `d/` (done tasks) is read at failover only.
std::string version_key();
std::string version_prefix();       // followed where cluster versions are enabled
std::string all_progress_prefix();  // of every partition
std::string partition_key(int partition);
std::string machine_key(const std::string& id);
std::string node_key(const std::string& name);
std::string job_key(const std::string& id);
std::string final_key(const std::string& id);
std::string done_prefix(int partition);
std::string done_key(int partition, const std::string& id, const TaskRange& range);
// The last key that comes before the final record of this job.
std::string before_final_key(const std::string& id);
// Where the prerequisites of a job are kept that do not fit into its record; the nonce is the
// record's, so that chunks of another try are never taken for its own.
std::string prerequisite_key(const std::string& id, const std::string& nonce, std::size_t chunk);
struct PrerequisiteChunkKey {
  std::string job, nonce;
  std::size_t chunk = 0;
};
std::optional<PrerequisiteChunkKey> parse_prerequisite_key(const std::string& key);
// The last segment of a key, and for done keys the job's id.
std::string key_name(const std::string& key);
std::string done_key_job(const std::string& key);

}  // namespace eiderreel::codec
