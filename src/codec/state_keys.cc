// Keys of the state store.
#include "codec/state_keys.h"

#include "codec/wire_names.h"
#include "constants.h"

namespace eiderreel::codec {

namespace {

constexpr std::size_t kChunkIndexMaxDigits = 6;  // more digits than any chunk index has

// The last segment of the key of a task range. A full chunk is named by its index, as earlier
// builds do.
std::string range_name(const TaskRange& range) {
  if (range.whole_job) return wire::key::kWholeJob;
  if (range.count == constants::kProgressChunkTasks)
    return std::to_string(range.first / constants::kProgressChunkTasks);
  return "p" + std::to_string(range.first);
}

}  // namespace

std::string version_key() { return wire::key::kVersion; }
std::string version_prefix() { return wire::key::kUpgrade; }
std::string all_progress_prefix() { return wire::key::kProgress; }
std::string partition_key(int partition) {
  return wire::key::kPartitions + std::to_string(partition);
}
std::string machine_key(const std::string& id) { return wire::key::kMachines + id; }
std::string node_key(const std::string& name) { return wire::key::kNodes + name; }
std::string job_key(const std::string& id) { return wire::key::kJobs + id; }
std::string final_key(const std::string& id) { return wire::key::kFinalRecords + id; }

std::string progress_prefix(int partition) {
  return wire::key::kProgress + std::to_string(partition) + "/";
}

std::string progress_key(int partition, const std::string& id, const TaskRange& range) {
  return progress_prefix(partition) + id + "/" + range_name(range);
}

std::string before_final_key(const std::string& id) {
  std::string key = final_key(id);
  --key.back();
  return key + "~";  // sorts after every key with this prefix, and before the key of `id`
}

std::string prerequisite_key(const std::string& id, const std::string& nonce, std::size_t chunk) {
  return wire::key::kPrerequisites + id + "/" + nonce + "/" + std::to_string(chunk);
}

std::optional<PrerequisiteChunkKey> parse_prerequisite_key(const std::string& key) {
  const std::string prefix = wire::key::kPrerequisites;
  if (!key.starts_with(prefix)) return std::nullopt;
  const auto job_end = key.find('/', prefix.size());
  const auto nonce_end = key.rfind('/');
  if (job_end == std::string::npos || nonce_end <= job_end) return std::nullopt;
  const std::string chunk = key.substr(nonce_end + 1);
  if (chunk.empty() || chunk.size() > kChunkIndexMaxDigits) return std::nullopt;
  if (chunk.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  return PrerequisiteChunkKey{key.substr(prefix.size(), job_end - prefix.size()),
                              key.substr(job_end + 1, nonce_end - job_end - 1), std::stoul(chunk)};
}

std::string key_name(const std::string& key) { return key.substr(key.rfind('/') + 1); }

std::string progress_key_job(const std::string& key) {
  const auto end = key.rfind('/');
  const auto begin = key.rfind('/', end - 1);
  return key.substr(begin + 1, end - begin - 1);
}

}  // namespace eiderreel::codec
