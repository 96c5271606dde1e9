// Limits the rate at which stored progress is converted to a share of the state store's write rate.
#pragma once
#include <cstddef>
#include <cstdint>

#include "constants.h"

namespace eiderreel::upgrade {

/// A token bucket in units of state store changes (writes and deletes). It also counts the
/// converted values.
class ConversionRateLimiter {
 public:
  /// `changes_per_s`: the number of state store changes per second that the conversion may use.
  explicit ConversionRateLimiter(double changes_per_s) : changes_per_s_(changes_per_s) {}

  /// Refills the bucket and returns whether a commit may be sent now. One token is enough: a larger
  /// commit leaves the bucket negative, which delays the commits after it.
  bool allows(Ms now);
  /// Consumes tokens for a commit of `changes` changes that is being sent.
  void take(std::size_t changes) { tokens_ -= static_cast<double>(changes); }
  /// Counts `values` values as durably converted.
  void add_converted(std::size_t values) {
    converted_ += values;
    recent_values_ += static_cast<double>(values);
  }

  /// The number of values converted since the start of the process.
  std::uint64_t converted() const { return converted_; }
  /// Values converted per second, as an exponentially decaying average with the time constant
  /// constants::kConversionRateAveragingMs.
  double values_per_s() const {
    return recent_values_ * 1000.0 / constants::kConversionRateAveragingMs;
  }

 private:
  double changes_per_s_;
  double tokens_ = 0;
  Ms refilled_at_ = 0;
  std::uint64_t converted_ = 0;
  double recent_values_ = 0;  // values converted, decayed exponentially with age
};

}  // namespace eiderreel::upgrade
