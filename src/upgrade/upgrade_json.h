// JSON of the operators' requests about upgrades, their answers, and the history kept of them.
#pragma once
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "upgrade/messages.h"

namespace eiderreel::codec {

/// An order as it was read, or what is wrong with it.
struct ParsedStepOrder {
  std::optional<upgrade::StepOrder> order;
  std::string error;  // for the operator; names the field that is wrong
};
/// Reads the body of a request to plan or take a step.
ParsedStepOrder parse_step_order(const std::string& body);
/// The body of such a request.
std::string encode(const upgrade::StepOrder& order);

/// The bodies of the answers.
std::string encode(const upgrade::StepPlan& plan);
/// The outcome of a step, with its plan.
std::string encode(const upgrade::StepAnswer& answer);
/// The answer to `upgrade status`.
std::string encode(const upgrade::StatusReport& report);

/// The history in the state store: one key for each record, in the order of time.
std::string history_prefix();
/// The key of a record; keys sort by time.
std::string history_key(Ms at, const std::string& nonce);
/// The value of a record, with the nonce of the commit that writes it.
std::string encode(const upgrade::StepRecord& record, const std::string& nonce);
/// Reads such a value; the error names the first field that is missing or invalid.
tl::expected<upgrade::StepRecord, upgrade::FieldError> parse_step_record(const std::string& value);
/// The answer to a question for the history, `records` in the order of time.
std::string encode(const std::vector<upgrade::StepRecord>& records);

}  // namespace eiderreel::codec
