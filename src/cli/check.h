// `eiderreel check`: validates settings files without starting a controller.
#pragma once
#include "cli/settings_files.h"

namespace eiderreel::cli {

/// Validates the settings files: prints a summary to standard output if they are valid, otherwise
/// their problems to standard error. Returns the exit code.
int check(const SettingsFiles& files);

}  // namespace eiderreel::cli
