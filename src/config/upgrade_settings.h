// The operators' settings for upgrades; a file of their own, beside the platform's.
#pragma once
#include <string>
#include <vector>

#include "versioning/cluster_version.h"
#include "versioning/maintenance_window.h"

namespace eiderreel::upgrade {

struct UpgradeSettings {
  bool enabled = false;  // no file was given: the controller takes no part in cluster versions
  VersionRange range;    // of the build; the file may lower its upper end
  std::string build;     // its name, for people
  // Of this controller's part of the changes a second that the state store takes.
  double conversion_share = 0.1;
  bool automatic = false;
  MaintenanceWindows windows;
};

// Reads the file into `out`, which is enabled by it; every problem becomes one line
// "FILE: FIELD: what is wrong".
std::vector<std::string> load_upgrade_settings(const std::string& file, UpgradeSettings& out);

}  // namespace eiderreel::upgrade
