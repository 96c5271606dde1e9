// The metrics that a controller serves under /metrics.
#pragma once
#include <string>

namespace eiderreel {

class Controller;

/// Returns the metrics of a controller in the Prometheus text format.
std::string metrics_text(const Controller& controller);

}  // namespace eiderreel
