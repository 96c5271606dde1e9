// Prerequisite lists that are too long to fit into the record of their job.
#pragma once
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "codec/state_json.h"
#include "constants.h"

namespace eiderreel {

/// Stores the chunks of prerequisite lists, each of which has a key of its own in the state store.
/// The nonce in the key equals that of the job's record, so chunks written by another submission
/// attempt of the same job are never used for it.
class PrerequisiteChunks {
 public:
  /// Decides whether a chunk is orphaned, given its job, the nonce in its key, and when this node
  /// first received it.
  using IsOrphaned =
      std::function<bool(const std::string& job, const std::string& nonce, Ms first_seen)>;

  /// Records that a chunk exists, first received at `now`, without storing its content.
  void add_key(const codec::PrerequisiteChunkKey& key, Ms now);
  /// Stores the content of a chunk.
  void set_jobs(const codec::PrerequisiteChunkKey& key, std::vector<std::string> jobs);
  /// Removes a chunk that was deleted from the state store.
  void erase(const codec::PrerequisiteChunkKey& key);
  /// Moves out the prerequisites of all `count` chunks of a job's record, in order. The keys of the
  /// chunks are kept, without their content. Returns nullopt if some chunks have not arrived yet.
  std::optional<std::vector<std::string>> take_prerequisites(const std::string& job,
                                                             const std::string& nonce,
                                                             std::size_t count);

  /// The keys of all chunks.
  std::vector<std::string> keys() const;
  /// The keys of at most `max_count` orphaned chunks. The chunks of a job are listed last to first.
  std::vector<std::string> orphaned_keys(std::size_t max_count,
                                         const IsOrphaned& is_orphaned) const;

 private:
  using RecordKey = std::pair<std::string, std::string>;  // job ID and nonce of its record
  struct Chunk {
    std::vector<std::string> jobs;
    Ms first_seen = 0;
  };
  std::map<RecordKey, std::map<std::size_t, Chunk>> chunks_by_record_;
};

}  // namespace eiderreel
