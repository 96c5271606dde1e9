// What a controller tells of itself under /metrics.
#pragma once
#include <string>

namespace eiderreel {

class Controller;

/// The metrics of a controller in the text format of Prometheus.
std::string metrics_text(const Controller& controller);

}  // namespace eiderreel
