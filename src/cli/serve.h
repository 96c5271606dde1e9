// `eiderreel serve`: runs a controller.
#pragma once
#include "cli/settings_files.h"

namespace eiderreel::cli {

/// Runs a controller until the process is killed. Returns the exit code if it cannot start: its
/// settings have problems or an address cannot be bound.
int serve(const SettingsFiles& files);

}  // namespace eiderreel::cli
