// The status report that a controller serves under /status.
#pragma once
#include <string>

namespace eiderreel {

class Controller;

/// Returns the status of a controller as JSON; `eiderreel status` prints it.
std::string status_json(const Controller& controller);

}  // namespace eiderreel
