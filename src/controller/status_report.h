// What a controller tells of itself under /status.
#pragma once
#include <string>

namespace eiderreel {

class Controller;

/// The status of a controller in JSON, for `eiderreel status`.
std::string status_json(const Controller& controller);

}  // namespace eiderreel
