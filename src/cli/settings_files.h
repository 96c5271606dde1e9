// Loading of the settings files for `serve` and `check`.
#pragma once
#include <optional>
#include <string>

#include "config/settings.h"

namespace eiderreel::cli {

/// Paths of the settings files from the command line.
struct SettingsFiles {
  std::string platform;
  std::string upgrade;  ///< The operators' upgrade file; empty if not specified.
};

/// Loads the settings from both files. Returns nullopt if a file has problems, which are written to
/// standard error, one line each.
std::optional<Settings> load_settings_files(const SettingsFiles& files);

}  // namespace eiderreel::cli
