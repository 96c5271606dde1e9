// Name tables, each in the order of its enumeration.
#include "upgrade/step_names.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace eiderreel::upgrade {
namespace {

constexpr std::array kActions = {"advance", "abort", "finalize"};
constexpr std::array kOutcomes = {"taken", "refused", "changed", "failed", "unknown"};

template <class Enum, std::size_t Count>
tl::expected<Enum, FieldError> parse_name(const std::string& text, const char* field,
                                          const std::array<const char*, Count>& names) {
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) return tl::make_unexpected(FieldError{field});
  return static_cast<Enum>(found - names.begin());
}

}  // namespace

const char* to_string(Action action) { return kActions.at(static_cast<std::size_t>(action)); }

const char* to_string(StepOutcome outcome) {
  return kOutcomes.at(static_cast<std::size_t>(outcome));
}

tl::expected<Action, FieldError> parse_action(const std::string& text) {
  return parse_name<Action>(text, "action", kActions);
}

tl::expected<StepOutcome, FieldError> parse_outcome(const std::string& text) {
  return parse_name<StepOutcome>(text, "outcome", kOutcomes);
}

}  // namespace eiderreel::upgrade
