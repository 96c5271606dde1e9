// Limits how fast stored progress is converted, to a share of the state store's changes.
#pragma once
#include <cstddef>
#include <cstdint>

#include "constants.h"

namespace eiderreel::upgrade {

/// A token bucket of changes, which also counts what was converted.
class ConversionRateLimiter {
 public:
  /// `changes_per_s`: what the conversion may take of the state store's changes.
  explicit ConversionRateLimiter(double changes_per_s) : changes_per_s_(changes_per_s) {}

  /// Refills the bucket, and tells whether a commit may go now. One that takes more changes than
  /// are saved up is paid for afterwards.
  bool allows(Ms now);
  /// A commit with so many changes is sent.
  void take(std::size_t changes) { tokens_ -= static_cast<double>(changes); }
  /// So many values are durably converted.
  void converted(std::size_t values) {
    converted_ += values;
    recent_ += static_cast<double>(values);
  }

  /// Values that this process has converted.
  std::uint64_t converted() const { return converted_; }
  /// Values converted a second, averaged over constants::kConversionRateAveragingMs.
  double values_per_s() const { return recent_ * 1000.0 / constants::kConversionRateAveragingMs; }

 private:
  double changes_per_s_;
  double tokens_ = 0;
  Ms refilled_at_ = 0;
  std::uint64_t converted_ = 0;
  double recent_ = 0;  // values converted lately, the older ones weighed less
};

}  // namespace eiderreel::upgrade
