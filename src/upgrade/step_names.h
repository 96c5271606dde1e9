// The steps of the cluster version and their outcomes, with their names on the wire.
#pragma once
#include <string>
#include <tl/expected.hpp>

#include "upgrade/field_error.h"

namespace eiderreel::upgrade {

/// What an operator can ask for.
enum class Action {
  advance,   // one version forward, to one that can be left again
  abort,     // one version back
  finalize,  // one version forward, to one that has no way back
};

/// What came of a step.
enum class StepOutcome {
  taken,    // it is durable
  refused,  // an obstacle stands in its way; nothing was done
  changed,  // the cluster or a controller changed meanwhile; nothing was done
  failed,   // the state store refused; nothing was done
  unknown,  // no answer: it may be done, or may still be
};

/// The name of the action in requests and records.
const char* to_string(Action action);
/// The name of the outcome in answers and records.
const char* to_string(StepOutcome outcome);
/// The value with this name; the error names the field `action`.
tl::expected<Action, FieldError> parse_action(const std::string& text);
/// The value with this name; the error names the field `outcome`.
tl::expected<StepOutcome, FieldError> parse_outcome(const std::string& text);

}  // namespace eiderreel::upgrade
