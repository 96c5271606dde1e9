// Prefixes of the keys that every controller watches.
#pragma once
#include <string>
#include <string_view>

namespace eiderreel::followed_keys {

/// The common prefix of all watched keys.
inline constexpr std::string_view kAll = "e/";
/// Chunks of prerequisite lists that do not fit into the record of their job.
inline constexpr std::string_view kPrerequisiteChunks = "e/awaits/";
inline constexpr std::string_view kFinals = "e/final/";
inline constexpr std::string_view kJobs = "e/job/";
inline constexpr std::string_view kMachines = "e/machine/";
inline constexpr std::string_view kNodes = "e/node/";
inline constexpr std::string_view kPartitions = "e/part/";

inline bool is_under(const std::string& key, std::string_view prefix) {
  return key.starts_with(prefix);
}

}  // namespace eiderreel::followed_keys
