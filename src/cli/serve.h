// `eiderreel serve`: runs a controller.
#pragma once
#include "cli/settings_files.h"

namespace eiderreel::cli {

/// Runs a controller until the process is killed. Returns, with the exit code, only if the
/// controller cannot start because its settings are invalid or an address cannot be bound.
int serve(const SettingsFiles& files);

}  // namespace eiderreel::cli
