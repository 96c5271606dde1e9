// JSON of the operators' requests about upgrades, their answers, and the history kept of them.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "upgrade/messages.h"

namespace eiderreel::codec {

struct ParsedStepOrder {
  std::optional<upgrade::StepOrder> order;
  std::string error;  // names the field that is wrong
};
ParsedStepOrder parse_step_order(const std::string& body);
std::string encode(const upgrade::StepOrder& order);

std::string encode(const upgrade::StepPlan& plan);
std::string encode(const upgrade::StepAnswer& answer);
std::string encode(const upgrade::StatusReport& report);

// The history in the state store: one key for each record, in the order of time.
std::string history_prefix();
std::string history_key(Ms at, const std::string& nonce);
std::string encode(const upgrade::StepRecord& record, const std::string& nonce);
std::optional<upgrade::StepRecord> parse_step_record(const std::string& value);
// `records` in the order of time.
std::string encode(const std::vector<upgrade::StepRecord>& records);

}  // namespace eiderreel::codec
