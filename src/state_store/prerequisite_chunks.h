// The prerequisites of jobs that name more of them than fit into their records.
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

/// Keeps the chunks of prerequisites that stand in keys of their own. The nonce in a key is that of
/// the job's record, so that chunks of another try are never taken for its own.
class PrerequisiteChunks {
 public:
  /// Whether a chunk is orphaned, by its job, the nonce of its key, and since when it is here.
  using IsOrphaned = std::function<bool(const std::string& job, const std::string& nonce, Ms seen)>;

  /// A chunk is there at `now`. What it holds is not kept yet.
  void note(const codec::PrerequisiteChunkKey& key, Ms now);
  /// Keeps what a chunk holds.
  void set_jobs(const codec::PrerequisiteChunkKey& key, std::vector<std::string> jobs);
  /// The chunk is gone.
  void erase(const codec::PrerequisiteChunkKey& key);
  /// Takes the prerequisites in all `count` chunks of a job's record, in their order. The chunks
  /// stay known, without their content. nullopt: some of them are not here yet.
  std::optional<std::vector<std::string>> take(const std::string& job, const std::string& nonce,
                                               std::size_t count);

  /// The keys of all chunks.
  std::vector<std::string> keys() const;
  /// The keys of the first `most` orphaned chunks. A job's last chunk comes first.
  std::vector<std::string> orphaned(std::size_t most, const IsOrphaned& is_orphaned) const;

 private:
  using ListKey = std::pair<std::string, std::string>;  // job and nonce
  struct Chunk {
    std::vector<std::string> jobs;
    Ms seen = 0;
  };
  std::map<ListKey, std::map<std::size_t, Chunk>> lists_;
};

}  // namespace eiderreel
