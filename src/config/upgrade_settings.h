// The operators' settings for upgrades, which have a file of their own.
#pragma once
#include <string>
#include <vector>

#include "config/config_problem.h"
#include "versioning/cluster_version.h"
#include "versioning/maintenance_window.h"

namespace eiderreel::upgrade {

/// Conversion share of an upgrade file that states none.
inline constexpr double kDefaultConversionShare = 0.1;

/// How this controller takes part in upgrades of the cluster.
struct UpgradeSettings {
  /// Whether a file was given. Without one the controller takes no part in cluster versions.
  bool enabled = false;
  /// Cluster versions of this build; the file may lower the newest one.
  VersionRange range;
  /// Name of this build, for people.
  std::string build;
  /// Share of this controller's changes a second that a conversion of stored values may use.
  double conversion_share = kDefaultConversionShare;
  /// Whether steps are taken without an operator, inside `windows`.
  bool automatic = false;
  MaintenanceWindows windows;
};

/// What was read from an upgrade file. The settings may only be used if there are no problems.
struct UpgradeSettingsResult {
  UpgradeSettings settings;
  std::vector<ConfigProblem> problems;
};

/// Reads the operators' upgrade file and reports all of its problems at once. What the file does
/// not state is taken from `defaults`, in which the build describes itself.
UpgradeSettingsResult load_upgrade_settings(const std::string& file, UpgradeSettings defaults);

}  // namespace eiderreel::upgrade
