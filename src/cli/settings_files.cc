// The settings files that `serve` and `check` are given.
#include "cli/settings_files.h"

#include <iostream>
#include <utility>

namespace eiderreel::cli {
namespace {

// The cluster versions of this build. A build for rehearsals may be given a lower newest one.
upgrade::VersionRange build_versions() {
#ifdef EIDERREEL_NEWEST_VERSION
  return {upgrade::kFirstVersion, static_cast<upgrade::ClusterVersion>(EIDERREEL_NEWEST_VERSION)};
#else
  return {};
#endif
}

void print(const std::vector<ConfigProblem>& problems) {
  for (const ConfigProblem& problem : problems) std::cerr << to_string(problem) << "\n";
}

}  // namespace

std::optional<Settings> load(const SettingsFiles& files) {
  auto [settings, problems] = load_settings(files.platform);
  settings.upgrade.build = EIDERREEL_VERSION;
  settings.upgrade.range = build_versions();
  print(problems);
  bool good = problems.empty();
  if (!files.upgrade.empty()) {
    auto upgrade = upgrade::load_upgrade_settings(files.upgrade, std::move(settings.upgrade));
    settings.upgrade = std::move(upgrade.settings);
    print(upgrade.problems);
    good = good && upgrade.problems.empty();
  }
  if (!good) return std::nullopt;
  return std::move(settings);
}

}  // namespace eiderreel::cli
