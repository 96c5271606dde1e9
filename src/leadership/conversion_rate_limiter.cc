// Limits the rate at which stored progress is converted to a share of the state store's write rate.
#include "leadership/conversion_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace eiderreel::upgrade {

namespace k = constants;

bool ConversionRateLimiter::allows(Ms now) {
  const double elapsed_ms = refilled_at_ == 0 ? 0 : static_cast<double>(now - refilled_at_);
  refilled_at_ = now;
  const double max_tokens = std::max(1.0, changes_per_s_ * k::kConversionBurstS);
  tokens_ = std::min(max_tokens, tokens_ + elapsed_ms / 1000 * changes_per_s_);
  recent_values_ *= std::exp(-elapsed_ms / k::kConversionRateAveragingMs);
  return tokens_ >= 1;
}

}  // namespace eiderreel::upgrade
