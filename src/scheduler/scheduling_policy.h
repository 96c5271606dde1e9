// The settings by which a partition schedules.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "constants.h"
#include "model/team.h"

namespace eiderreel {

/// What applies until the configuration says otherwise.
constexpr Ms kDefaultLeaseMs = 10000;
constexpr Ms kDefaultFairShareStartMs = 5000;

/// What the operators have set for the scheduling of every partition.
struct SchedulingPolicy {
  Ms lease_ms = kDefaultLeaseMs;
  Ms heartbeat_interval_ms = 1000;
  std::map<std::string, std::vector<CompletionObjective>> completion_objectives;  // by class
  std::map<std::string, double> start_objectives_s;  // seconds to a start, by class
  // Work within a fair share should start by then.
  Ms fair_share_start_ms = kDefaultFairShareStartMs;

  /// The time in which every machine sends a heartbeat; an interval is a quarter longer at most.
  Ms heartbeat_round_ms() const { return heartbeat_interval_ms * 5 / 4; }
};

}  // namespace eiderreel
