// Actions and outcomes of steps of the cluster version, with their wire names.
#pragma once
#include <string>
#include <tl/expected.hpp>

#include "upgrade/field_error.h"

namespace eiderreel::upgrade {

/// The kinds of steps.
enum class Action {
  advance,   // one version forward, to a reversible version
  abort,     // one version back
  finalize,  // one version forward, to an irreversible version
};

/// The outcome of a step.
enum class StepOutcome {
  taken,    // the new version is durable
  refused,  // the plan has an obstacle; nothing was changed
  changed,  // a record changed between the plan and the commit; the step changed nothing
  failed,   // the state store failed or refused the request; nothing was changed
  unknown,  // the state store did not reply; the commit may have landed or may still land
};

/// The name of the action in requests and records.
const char* to_string(Action action);
/// The name of the outcome in answers and records.
const char* to_string(StepOutcome outcome);
/// Parses an action name; the error names the field `action`.
tl::expected<Action, FieldError> parse_action(const std::string& text);
/// Parses an outcome name; the error names the field `outcome`.
tl::expected<StepOutcome, FieldError> parse_outcome(const std::string& text);

}  // namespace eiderreel::upgrade
