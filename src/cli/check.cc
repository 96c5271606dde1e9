// `eiderreel check`: validates settings files without starting a controller.
#include "cli/check.h"

#include <iostream>

#include "cli/exit_code.h"

namespace eiderreel::cli {

int check(const SettingsFiles& files) {
  const auto settings = load_settings_files(files);
  if (!settings) return exit_code::kUsage;
  std::cout << files.platform << ": valid; node " << settings->node << ", "
            << settings->peers.size() << " peers, " << settings->teams.size() << " teams in "
            << settings->partition_count << " partitions\n";
  const upgrade::UpgradeSettings& upgrade = settings->upgrade;
  if (upgrade.enabled)
    std::cout << files.upgrade << ": valid; versions " << upgrade::to_string(upgrade.range)
              << ", automatic steps " << (upgrade.automatic ? "on" : "off") << "\n";
  return exit_code::kSuccess;
}

}  // namespace eiderreel::cli
