// The cluster version: one number for the whole cluster that says which new behaviour is in force.
// Each build knows a range of versions; the cluster moves through them one step at a time.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace eiderreel::upgrade {

/// A cluster version. Those of later builds have numbers without a name here.
enum class ClusterVersion : std::uint32_t {
  base = 1,           ///< The formats of the builds before cluster versions.
  write_compact = 2,  ///< Progress is written in the compact form.
  convert = 3,        ///< Progress in the bits form is rewritten in the background.
  compact_only = 4,   ///< No progress in the bits form is left; there is no way back.
};

/// The version of a cluster whose state store holds none.
constexpr ClusterVersion kFirstVersion = ClusterVersion::base;
/// The newest version that this build knows.
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
/// For people: "1 to 4".
std::string to_string(const VersionRange& range);

/// What a controller's record says about its build.
struct BuildVersions {
  VersionRange range;
  ClusterVersion acting = kFirstVersion;
  std::string build;  ///< Name of the build, for people.
};

/// Behaviour that depends on the version. Each gate is open in a range of versions, which is listed
/// in one table; nothing else compares versions to decide what to do.
enum class Gate {
  write_compact_progress,
  convert_to_compact_progress,
  convert_to_bits_progress,  ///< After steps back.
};
/// Whether the gate is open in this version.
bool is_open(Gate gate, ClusterVersion version);

/// How progress is stored; `bits` is the form of the builds before cluster versions.
enum class ProgressForm : std::uint8_t { bits, compact };

/// What a controller does with progress while it acts under a version.
struct ProgressPolicy {
  ProgressForm write = ProgressForm::bits;
  /// Stored values in the other form are rewritten in this one; nothing if all are left alone.
  std::optional<ProgressForm> convert_to;
};
/// The policy of a version.
ProgressPolicy progress_policy(ClusterVersion version);

/// What an operator should know about a version before the cluster enters it.
struct VersionInfo {
  const char* effect = "";
  bool needs_conversion = false;  ///< No progress in the bits form may be left.
  bool reversible = true;         ///< The cluster may go back from it.
};
/// The notes on a version; nothing if this build does not know it.
std::optional<VersionInfo> version_info(ClusterVersion version);

}  // namespace eiderreel::upgrade
