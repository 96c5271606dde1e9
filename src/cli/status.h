// `eiderreel status`: what a running node says of itself, for a person or as JSON. Read-only.
#pragma once
#include <string>

namespace eiderreel::cli {

// Prints to standard output; a failure is one line on standard error. The exit code.
int status(const std::string& addr, bool json);

}  // namespace eiderreel::cli
