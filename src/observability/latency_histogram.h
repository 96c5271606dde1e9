// A histogram of latencies for /metrics.
#pragma once
#include <boost/histogram.hpp>
#include <string>
#include <utility>

#include "constants.h"

namespace eiderreel {

/// Latencies of one kind; the buckets grow by a constant factor.
class LatencyHistogram {
 public:
  LatencyHistogram();
  /// Counts one latency; below 1 ms it falls into the first bucket.
  void add(Ms latency);
  /// The Prometheus lines of the histogram, in seconds; `labels` stand inside the braces.
  std::string text(const std::string& name, const std::string& labels) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(std::declval<Axis>())) histogram_;
  double sum_ms_ = 0;
};

}  // namespace eiderreel
