// The cluster version: one number for the whole cluster that selects version-dependent behaviour.
// Each build supports a range of versions; the cluster moves one version at a time.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace eiderreel::upgrade {

/// A cluster version. Versions of later builds are valid values without an enumerator.
enum class ClusterVersion : std::uint32_t {
  base = 1,           ///< The formats of the builds before cluster versions.
  write_compact = 2,  ///< Progress is written in the compact form.
  convert = 3,        ///< Progress in the bits form is rewritten in the background.
  compact_only = 4,   ///< No progress in the bits form is left; irreversible.
};

/// The version of a cluster whose state store has no version key.
constexpr ClusterVersion kFirstVersion = ClusterVersion::base;
/// The newest version that this build supports.
constexpr ClusterVersion kNewestVersion = ClusterVersion::compact_only;

/// The number of a version.
constexpr std::uint32_t number(ClusterVersion version) {
  return static_cast<std::uint32_t>(version);
}
/// The version that one step forward leads to.
constexpr ClusterVersion next(ClusterVersion version) {
  return static_cast<ClusterVersion>(number(version) + 1);
}
/// The version that one step back leads to.
constexpr ClusterVersion previous(ClusterVersion version) {
  return static_cast<ClusterVersion>(number(version) - 1);
}
/// The number as text.
std::string to_string(ClusterVersion version);

/// The versions that a build can act under, both ends included.
struct VersionRange {
  ClusterVersion oldest = kFirstVersion;
  ClusterVersion newest = kNewestVersion;

  /// Whether a build of this range can act under the version.
  bool contains(ClusterVersion version) const { return oldest <= version && version <= newest; }
  bool operator==(const VersionRange&) const = default;
};
/// Human-readable range, such as "1 to 4".
std::string to_string(const VersionRange& range);

/// The versions of a controller's build, from the controller's record.
struct BuildVersions {
  VersionRange range;
  ClusterVersion acting = kFirstVersion;
  std::string build;  ///< Human-readable name of the build.
};

/// Feature gates: behaviour that depends on the cluster version. A table lists the range of
/// versions in which each gate is open; no other code compares versions to select behaviour.
enum class Gate {
  write_compact_progress,
  convert_to_compact_progress,
  convert_to_bits_progress,  ///< Reverts the conversion after steps back.
};
/// Whether the gate is open in this version.
bool is_open(Gate gate, ClusterVersion version);

/// Storage format of progress; `bits` is the format of builds from before cluster versions.
enum class ProgressForm : std::uint8_t { bits, compact };

/// How a controller writes and converts progress while it acts under a version.
struct ProgressPolicy {
  ProgressForm write = ProgressForm::bits;
  /// Stored values in the other form are rewritten in this one; std::nullopt: no conversion.
  std::optional<ProgressForm> convert_to;
};
/// The policy of a version.
ProgressPolicy progress_policy(ClusterVersion version);

/// Properties of a version that matter before the cluster moves to it.
struct VersionInfo {
  const char* effect = "";        ///< Shown to operators.
  bool needs_conversion = false;  ///< All progress in the bits form must be converted first.
  bool reversible = true;         ///< The cluster can step back from this version.
};
/// The properties of a version; std::nullopt if this build does not support it.
std::optional<VersionInfo> version_info(ClusterVersion version);

}  // namespace eiderreel::upgrade
