// Loading of the settings files for `serve` and `check`.
#include "cli/settings_files.h"

#include <iostream>
#include <utility>

namespace eiderreel::cli {
namespace {

// Returns the cluster versions that this build supports. EIDERREEL_NEWEST_VERSION lowers the newest
// version in builds for upgrade rehearsals.
upgrade::VersionRange build_versions() {
#ifdef EIDERREEL_NEWEST_VERSION
  return {upgrade::kFirstVersion, static_cast<upgrade::ClusterVersion>(EIDERREEL_NEWEST_VERSION)};
#else
  return {};
#endif
}

void print_problems(const std::vector<ConfigProblem>& problems) {
  for (const ConfigProblem& problem : problems) std::cerr << to_string(problem) << "\n";
}

}  // namespace

std::optional<Settings> load_settings_files(const SettingsFiles& files) {
  auto [settings, problems] = load_settings(files.platform);
  settings.upgrade.build = EIDERREEL_VERSION;
  settings.upgrade.range = build_versions();
  print_problems(problems);
  bool valid = problems.empty();
  if (!files.upgrade.empty()) {
    auto upgrade = upgrade::load_upgrade_settings(files.upgrade, std::move(settings.upgrade));
    settings.upgrade = std::move(upgrade.settings);
    print_problems(upgrade.problems);
    valid = valid && upgrade.problems.empty();
  }
  if (!valid) return std::nullopt;
  return std::move(settings);
}

}  // namespace eiderreel::cli
