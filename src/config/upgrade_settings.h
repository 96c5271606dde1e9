// The operators' settings for upgrades, which are in a separate file.
#pragma once
#include <string>
#include <vector>

#include "config/config_problem.h"
#include "versioning/cluster_version.h"
#include "versioning/maintenance_window.h"

namespace eiderreel::upgrade {

/// Default of `conversion_share`, for an upgrade file that does not state it.
inline constexpr double kDefaultConversionShare = 0.1;

/// How this controller takes part in upgrades of the cluster.
struct UpgradeSettings {
  /// Whether an upgrade file was given. Without one, the controller does not take part in cluster
  /// versions.
  bool enabled = false;
  /// Cluster versions that this build supports. The file may lower the newest one.
  VersionRange range;
  /// Human-readable name of this build.
  std::string build;
  /// Share of this controller's changes per second in the state store that the conversion of stored
  /// values may use.
  double conversion_share = kDefaultConversionShare;
  /// Whether upgrade steps are taken without an operator, within `windows`.
  bool automatic = false;
  MaintenanceWindows windows;
};

/// The result of reading an upgrade file. The settings may only be used if there are no problems.
struct UpgradeSettingsResult {
  UpgradeSettings settings;
  std::vector<ConfigProblem> problems;
};

/// Reads the operators' upgrade file and reports all of its problems at once. `defaults` provides
/// the fields that the file does not state, and the name and versions of this build.
UpgradeSettingsResult load_upgrade_settings(const std::string& file, UpgradeSettings defaults);

}  // namespace eiderreel::upgrade
