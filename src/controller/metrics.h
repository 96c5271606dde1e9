// What a node tells of itself: Prometheus text for /metrics, and the same as JSON for `status`.
#pragma once
#include <string>

namespace eiderreel {

class Controller;

std::string metrics_text(const Controller& controller);
std::string status_json(const Controller& controller);

}  // namespace eiderreel
