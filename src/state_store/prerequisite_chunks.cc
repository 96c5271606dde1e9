// Prerequisite lists that are too long to fit into the record of their job.
#include "state_store/prerequisite_chunks.h"

namespace eiderreel {

void PrerequisiteChunks::add_key(const codec::PrerequisiteChunkKey& key, Ms now) {
  Chunk& chunk = chunks_by_record_[{key.job, key.nonce}][key.chunk];
  if (chunk.first_seen == 0) chunk.first_seen = now;
}

void PrerequisiteChunks::set_jobs(const codec::PrerequisiteChunkKey& key,
                                  std::vector<std::string> jobs) {
  chunks_by_record_[{key.job, key.nonce}][key.chunk].jobs = std::move(jobs);
}

void PrerequisiteChunks::erase(const codec::PrerequisiteChunkKey& key) {
  const auto record_chunks = chunks_by_record_.find({key.job, key.nonce});
  if (record_chunks == chunks_by_record_.end()) return;
  record_chunks->second.erase(key.chunk);
  if (record_chunks->second.empty()) chunks_by_record_.erase(record_chunks);
}

std::optional<std::vector<std::string>> PrerequisiteChunks::take_prerequisites(
    const std::string& job, const std::string& nonce, std::size_t count) {
  std::vector<std::string> prerequisites;
  if (count == 0) return prerequisites;
  const auto record_chunks = chunks_by_record_.find({job, nonce});
  if (record_chunks == chunks_by_record_.end() || record_chunks->second.size() < count)
    return std::nullopt;
  for (auto& [number, chunk] : record_chunks->second) {
    prerequisites.insert(prerequisites.end(), chunk.jobs.begin(), chunk.jobs.end());
    chunk.jobs = {};
  }
  return prerequisites;
}

std::vector<std::string> PrerequisiteChunks::keys() const {
  std::vector<std::string> result;
  for (const auto& [record, chunks] : chunks_by_record_) {
    for (const auto& [number, chunk] : chunks)
      result.push_back(codec::prerequisite_key(record.first, record.second, number));
  }
  return result;
}

std::vector<std::string> PrerequisiteChunks::orphaned_keys(std::size_t max_count,
                                                           const IsOrphaned& is_orphaned) const {
  std::vector<std::string> result;
  for (const auto& [record, chunks] : chunks_by_record_) {
    const auto& [job, nonce] = record;
    for (auto chunk = chunks.rbegin(); chunk != chunks.rend() && result.size() < max_count; ++chunk)
      if (is_orphaned(job, nonce, chunk->second.first_seen))
        result.push_back(codec::prerequisite_key(job, nonce, chunk->first));
  }
  return result;
}

}  // namespace eiderreel
