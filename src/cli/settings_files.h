// The settings files that `serve` and `check` are given.
#pragma once
#include <optional>
#include <string>

#include "config/settings.h"

namespace eiderreel::cli {

/// Paths of the settings files.
struct SettingsFiles {
  std::string platform;
  std::string upgrade;  ///< The operators' upgrade file; empty if none is given.
};

/// Reads both files. Nothing if one of them has problems, which are written to standard error, one
/// line each.
std::optional<Settings> load(const SettingsFiles& files);

}  // namespace eiderreel::cli
