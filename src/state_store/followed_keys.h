// Prefixes of the keys that every controller watches.
#pragma once
#include <string>
#include <string_view>

namespace eiderreel::followed_keys {

/// The common prefix of all watched keys.
inline constexpr std::string_view kCommonPrefix = "e/";
/// Chunks of prerequisite lists that do not fit into the record of their job.
inline constexpr std::string_view kPrerequisiteChunksPrefix = "e/awaits/";
inline constexpr std::string_view kFinalRecordsPrefix = "e/final/";
inline constexpr std::string_view kJobsPrefix = "e/job/";
inline constexpr std::string_view kMachinesPrefix = "e/machine/";
inline constexpr std::string_view kNodesPrefix = "e/node/";
inline constexpr std::string_view kPartitionsPrefix = "e/part/";

inline bool has_prefix(const std::string& key, std::string_view prefix) {
  return key.starts_with(prefix);
}

}  // namespace eiderreel::followed_keys
