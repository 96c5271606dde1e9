// Latency histograms in the Prometheus text format.
#include "observability/latency_histogram.h"

#include <fmt/format.h>

#include <algorithm>

namespace eiderreel {

namespace k = constants;

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(
          Axis(k::kLatencyBuckets, k::kMinLatencyMs, k::kMaxLatencyMs))) {}

void LatencyHistogram::add(Ms latency) {
  histogram_(static_cast<double>(std::max<Ms>(latency, 1)));
  sum_ms_ += static_cast<double>(latency);
}

std::string LatencyHistogram::text(const std::string& name, const std::string& labels) const {
  std::string out;
  double cumulative_count = histogram_.at(-1);
  const auto& axis = histogram_.axis(0);
  for (int i = 0; i < axis.size(); ++i) {
    cumulative_count += histogram_.at(i);
    out += fmt::format("eiderreel_{}_bucket{{{},le=\"{:.4g}\"}} {}\n", name, labels,
                       axis.bin(i).upper() / 1000, cumulative_count);
  }
  cumulative_count += histogram_.at(axis.size());
  out += fmt::format(
      "eiderreel_{0}_bucket{{{1},le=\"+Inf\"}} {2}\neiderreel_{0}_sum{{{1}}} {3}\n"
      "eiderreel_{0}_count{{{1}}} {2}\n",
      name, labels, cumulative_count, sum_ms_ / 1000);
  return out;
}

}  // namespace eiderreel
