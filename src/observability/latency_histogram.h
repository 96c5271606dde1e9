// Latency histograms for /metrics.
#pragma once
#include <boost/histogram.hpp>
#include <string>
#include <utility>

#include "constants.h"

namespace eiderreel {

/// A histogram of latencies whose bucket widths grow by a constant factor.
class LatencyHistogram {
 public:
  LatencyHistogram();
  /// Adds one latency; a value below 1 ms is counted in the first bucket.
  void add(Ms latency);
  /// Formats the histogram as Prometheus text, in seconds; `labels` is inserted between the braces
  /// of each line.
  std::string text(const std::string& name, const std::string& labels) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(std::declval<Axis>())) histogram_;
  double sum_ms_ = 0;
};

}  // namespace eiderreel
