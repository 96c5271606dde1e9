// JSON encoding of the upgrade API's requests and replies, and of the step history.
#pragma once
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "upgrade/messages.h"

namespace eiderreel::codec {

/// The parsed order, or the error.
struct ParsedStepOrder {
  std::optional<upgrade::StepOrder> order;
  std::string error;  // for the operator; names the invalid field
};
/// Parses the body of a request to plan or take a step.
ParsedStepOrder parse_step_order(const std::string& body);
/// Encodes the body of a request to plan or take a step.
std::string encode(const upgrade::StepOrder& order);

/// Encodes the reply to a request to plan a step.
std::string encode(const upgrade::StepPlan& plan);
/// Encodes the reply to a request to take a step: the outcome and the plan.
std::string encode(const upgrade::StepAnswer& answer);
/// Encodes the reply to `upgrade status`.
std::string encode(const upgrade::StatusReport& report);

/// Key prefix of the history in the state store; each record has its own key.
std::string history_prefix();
/// The key of a history record; keys sort by time.
std::string history_key(Ms at, const std::string& nonce);
/// Encodes a history record with the nonce of the commit that writes it.
std::string encode(const upgrade::StepRecord& record, const std::string& nonce);
/// Parses a stored history record; the error names the first field that is missing or invalid.
tl::expected<upgrade::StepRecord, upgrade::FieldError> parse_step_record(const std::string& value);
/// Encodes the reply to `upgrade history`; `records` are ordered by time.
std::string encode(const std::vector<upgrade::StepRecord>& records);

}  // namespace eiderreel::codec
