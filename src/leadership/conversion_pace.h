// How fast stored progress is converted: within a share of the state store's changes, and
// counted.
#pragma once
#include <cstdint>

#include "constants.h"

namespace eiderreel::upgrade {

class ConversionRateLimiter {
 public:
  // `changes_per_s`: what the conversion may take of the state store's changes.
  explicit ConversionRateLimiter(double changes_per_s) : changes_per_s_(changes_per_s) {}

  // Whether a commit may go now. One that takes more changes than are saved up is paid for
  // afterwards.
  bool allows(Ms now);
  void take(std::size_t changes) { tokens_ -= static_cast<double>(changes); }
  void converted(std::size_t values) {
    converted_ += values;
    recent_ += static_cast<double>(values);
  }

  std::uint64_t converted() const { return converted_; }
  double values_per_s() const { return recent_ * 1000.0 / constants::kConversionRateMs; }

 private:
  double changes_per_s_;
  double tokens_ = 0;
  Ms refilled_at_ = 0;
  std::uint64_t converted_ = 0;
  double recent_ = 0;  // values of the last while, the older ones weighed less
};

}  // namespace eiderreel::upgrade
