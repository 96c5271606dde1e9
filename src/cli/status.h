// `eiderreel status`: what a running controller reports about itself.
#pragma once
#include <string>

namespace eiderreel::cli {

/// Asks the controller at `addr` (IP:PORT) for its status and prints it as tables, or as the JSON
/// of the answer. Returns the exit code; a failure is one line on standard error.
int status(const std::string& addr, bool json);

}  // namespace eiderreel::cli
