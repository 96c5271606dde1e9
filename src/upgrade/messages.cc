#include "upgrade/messages.h"

#include <algorithm>
#include <array>

namespace eiderreel::upgrade {
namespace {

constexpr std::array<const char*, 5> kOutcomes = {"taken", "refused", "changed", "failed",
                                                  "unknown"};

}  // namespace

const char* to_string(StepOutcome outcome) { return kOutcomes[static_cast<std::size_t>(outcome)]; }

std::optional<StepOutcome> parse_outcome(const std::string& text) {
  const auto found = std::find(kOutcomes.begin(), kOutcomes.end(), text);
  if (found == kOutcomes.end()) return std::nullopt;
  return static_cast<StepOutcome>(found - kOutcomes.begin());
}

}  // namespace eiderreel::upgrade
