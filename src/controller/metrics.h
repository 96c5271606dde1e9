// What a node tells of itself: Prometheus text for /metrics, and the same as JSON for `status`.
#pragma once
#include <boost/histogram.hpp>
#include <string>

#include "constants.h"

namespace eiderreel {

class Controller;

// Latencies of one kind, in milliseconds; buckets grow by a factor.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void add(Ms ms);
  // Prometheus lines of a histogram in seconds.
  std::string text(const std::string& name, const std::string& labels) const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(std::declval<Axis>())) histogram_;
  double sum_ms_ = 0;
};

std::string metrics_text(const Controller& controller);
std::string status_json(const Controller& controller);

}  // namespace eiderreel
