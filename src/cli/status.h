// `eiderreel status`: prints the status of a running controller.
#pragma once
#include <string>

namespace eiderreel::cli {

/// Queries the status of the controller at `addr` (IP:PORT) and prints it as tables, or as the JSON
/// reply if `json` is set. Returns the exit code; a failure is reported as one line on standard
/// error.
int status(const std::string& addr, bool json);

}  // namespace eiderreel::cli
