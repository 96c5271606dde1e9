// The cluster version: one number for the whole cluster that says which new behaviour is in force.
// Each build knows a range of versions; the cluster moves through them one step at a time.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace eiderreel::upgrade {

// A version of a later build may have a number that has no name here.
enum class ClusterVersion : std::uint32_t {
  base = 1,           // the formats of the builds before cluster versions
  write_compact = 2,  // progress is written in the compact form
  convert = 3,        // progress in the bits form is rewritten in the background
  compact_only = 4,   // no progress in the bits form is left; there is no way back
};

constexpr ClusterVersion kFirstVersion = ClusterVersion::base;
constexpr ClusterVersion kNewestVersion = ClusterVersion::compact_only;

constexpr std::uint32_t number(ClusterVersion version) {
  return static_cast<std::uint32_t>(version);
}
constexpr ClusterVersion next(ClusterVersion version) {
  return static_cast<ClusterVersion>(number(version) + 1);
}
constexpr ClusterVersion previous(ClusterVersion version) {
  return static_cast<ClusterVersion>(number(version) - 1);
}
std::string to_string(ClusterVersion version);

// The versions that a build can act under, both ends included.
struct VersionRange {
  ClusterVersion oldest = kFirstVersion;
  ClusterVersion newest = kNewestVersion;

  bool contains(ClusterVersion version) const { return oldest <= version && version <= newest; }
  bool operator==(const VersionRange&) const = default;
};
std::string to_string(const VersionRange& range);

// What a controller's record says of its build.
struct BuildVersions {
  VersionRange range;
  ClusterVersion acting = kFirstVersion;
  std::string build;  // its name, for people
};

// New behaviour. Each gate is open in a range of versions that stands in one table; nothing else
// compares versions to decide what to do.
enum class Gate {
  write_compact_progress,
  convert_to_compact_progress,
  convert_to_bits_progress,  // after a way back
};
bool is_open(Gate gate, ClusterVersion version);

// How progress is stored; `bits` is the form of the builds before cluster versions.
enum class ProgressForm : std::uint8_t { bits, compact };

// What a controller does with progress while it acts under a version.
struct ProgressPolicy {
  ProgressForm write = ProgressForm::bits;
  std::optional<ProgressForm> convert_to;  // values in the other form are rewritten
};
ProgressPolicy progress_policy(ClusterVersion version);

// What an operator should know of a version before the cluster enters it.
struct VersionNotes {
  const char* effect;
  bool needs_conversion = false;  // no progress in the bits form may be left
  bool reversible = true;         // the cluster may go back from it
};
// Nothing for a version that this build does not know.
std::optional<VersionNotes> notes(ClusterVersion version);

}  // namespace eiderreel::upgrade
