// `eiderreel check`: checks settings files without starting a controller.
#pragma once
#include "cli/settings_files.h"

namespace eiderreel::cli {

/// Prints a summary of good settings to standard output, or their problems to standard error.
/// Returns the exit code.
int check(const SettingsFiles& files);

}  // namespace eiderreel::cli
