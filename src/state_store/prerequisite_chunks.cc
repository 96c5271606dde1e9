// Prerequisite lists that are too long to fit into the record of their job.
#include "state_store/prerequisite_chunks.h"

namespace eiderreel {

void PrerequisiteChunks::note(const codec::PrerequisiteChunkKey& key, Ms now) {
  Chunk& chunk = lists_[{key.job, key.nonce}][key.chunk];
  if (chunk.seen == 0) chunk.seen = now;
}

void PrerequisiteChunks::set_jobs(const codec::PrerequisiteChunkKey& key,
                                  std::vector<std::string> jobs) {
  lists_[{key.job, key.nonce}][key.chunk].jobs = std::move(jobs);
}

void PrerequisiteChunks::erase(const codec::PrerequisiteChunkKey& key) {
  const auto list = lists_.find({key.job, key.nonce});
  if (list == lists_.end()) return;
  list->second.erase(key.chunk);
  if (list->second.empty()) lists_.erase(list);
}

std::optional<std::vector<std::string>> PrerequisiteChunks::take(const std::string& job,
                                                                 const std::string& nonce,
                                                                 std::size_t count) {
  std::vector<std::string> prerequisites;
  if (count == 0) return prerequisites;
  const auto list = lists_.find({job, nonce});
  if (list == lists_.end() || list->second.size() < count) return std::nullopt;
  for (auto& [number, chunk] : list->second) {
    prerequisites.insert(prerequisites.end(), chunk.jobs.begin(), chunk.jobs.end());
    chunk.jobs = {};
  }
  return prerequisites;
}

std::vector<std::string> PrerequisiteChunks::keys() const {
  std::vector<std::string> out;
  for (const auto& [list, chunks] : lists_) {
    for (const auto& [number, chunk] : chunks)
      out.push_back(codec::prerequisite_key(list.first, list.second, number));
  }
  return out;
}

std::vector<std::string> PrerequisiteChunks::orphaned(std::size_t most,
                                                      const IsOrphaned& is_orphaned) const {
  std::vector<std::string> out;
  for (const auto& [list, chunks] : lists_) {
    const auto& [job, nonce] = list;
    for (auto chunk = chunks.rbegin(); chunk != chunks.rend() && out.size() < most; ++chunk)
      if (is_orphaned(job, nonce, chunk->second.seen))
        out.push_back(codec::prerequisite_key(job, nonce, chunk->first));
  }
  return out;
}

}  // namespace eiderreel
